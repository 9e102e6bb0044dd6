"""Durable batches: accepting, storing and running them, and listing their results."""
