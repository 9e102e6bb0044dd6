"""Requests of callers to plain services and engines."""
