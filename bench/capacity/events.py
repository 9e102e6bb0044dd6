"""Memory of one host's timeline, by the number of events that it keeps."""

from __future__ import annotations

import asyncio
from collections import deque

from absl import logging

from cranberryrun.events import Events

from .slopes import Point, Slope, allocated_bytes

EVENT_COUNTS = (1_000, 5_000, 20_000)


def build_ring(size: int) -> deque:
    """Return a full ring buffer of sample events."""
    events = Events("host-001", 1_700_000_000_000, size)
    for n in range(size):
        events.emit(
            "sample_whole",
            step="denoiser/1234",
            slot=(f"g{n % 128}", n % 8),
            stream=f"denoiser.1234.{n:016x}.1",
        )
    return events._ring


async def _measure() -> list[Slope]:
    logging.set_verbosity(logging.WARNING)
    points = [
        Point(size, allocated_bytes(lambda: build_ring(size)) / 1024)
        for size in EVENT_COUNTS
    ]
    return [Slope("events: memory", "KiB", "events kept", points)]


def measure() -> list[Slope]:
    """Return the slope of the ring buffer of events."""
    return asyncio.run(_measure())
