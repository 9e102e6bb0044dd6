"""Forwarding of callers' requests to plain services and engines."""
