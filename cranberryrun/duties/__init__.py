"""Calls to the platform's API that only the holder of the lease may make."""
