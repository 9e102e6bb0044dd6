"""Durable batches: accept once, keep, run, list results at fixed positions, end."""
