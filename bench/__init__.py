"""Experiments: policies and capacity, measured over small fakes."""
