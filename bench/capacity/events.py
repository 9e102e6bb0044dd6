"""The time line of one host: memory by the number of events kept."""

from __future__ import annotations

import asyncio
from collections import deque

from absl import logging

from cranberryrun.events import Events

from .slopes import Point, Slope, allocated_bytes

SIZES = (1_000, 5_000, 20_000)


def ring_of(size: int) -> deque:
    """Return a full ring of events of samples."""
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
        Point(size, allocated_bytes(lambda: ring_of(size)) / 1024) for size in SIZES
    ]
    return [Slope("events: memory", "KiB", "events kept", points)]


def measure() -> list[Slope]:
    """Return the slope of the ring of events."""
    return asyncio.run(_measure())
