"""Simulated platform services, targets and callers for tests and the demo."""
