"""Slopes of state, messages, processor time and memory, and the target's size."""
