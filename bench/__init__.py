"""Experiments that compare policies, and measurements of capacity, with fakes."""
