"""Reward calls: requests that have a service score a complete sample."""
