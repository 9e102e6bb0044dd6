"""Divides the work that a stream's bytes bring, so that no peer holds up the loop.

A read may bring thousands of small events. They are parsed in parts, between which
others have their turn, and those of a part are passed on together.
"""

from __future__ import annotations

from collections.abc import Sequence

from ..fleet.client import StreamedEvents
from .event_parser import ParsedEvent

_PART_BYTES = 1024
# The work of a turn, as :attr:`EventParser.work` counts it.
WORK_A_TURN = 64


def parts(chunk: bytes) -> Sequence[bytes]:
    """Return the parts of a chunk that are parsed at once."""
    if len(chunk) <= _PART_BYTES:
        return (chunk,)
    return [
        chunk[start : start + _PART_BYTES]
        for start in range(0, len(chunk), _PART_BYTES)
    ]


def joined(events: Sequence[ParsedEvent]) -> list[StreamedEvents]:
    """Return events whose numbers follow each other as one."""
    if len(events) == 1:
        (event,) = events
        return [StreamedEvents(event.number, event.number, event.raw)]
    runs = []
    start = 0
    for end in range(1, len(events) + 1):
        if end < len(events) and events[end].number == events[end - 1].number + 1:
            continue
        raw = b"".join(event.raw for event in events[start:end])
        runs.append(StreamedEvents(events[start].number, events[end - 1].number, raw))
        start = end
    return runs
