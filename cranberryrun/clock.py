"""Time: durations by the event loop's clock, dates by the system's."""

import asyncio
from datetime import datetime, timezone


def now() -> float:
    """Return the running loop's time, in seconds; tests may advance it."""
    return asyncio.get_running_loop().time()


def wall() -> float:
    """Return seconds since 1970 (UTC), for records that people read."""
    return datetime.now(timezone.utc).timestamp()
