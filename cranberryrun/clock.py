"""Clocks: the event loop's for durations, the system's for timestamps."""

import asyncio
from datetime import datetime, timezone


def now() -> float:
    """Return the time of the running event loop, in seconds; tests can advance it."""
    return asyncio.get_running_loop().time()


def wall() -> float:
    """Return seconds since 1970 (UTC), for records that people read."""
    return datetime.now(timezone.utc).timestamp()
