"""Events of a host: a bounded ring of numbered events, which are also logged."""

from __future__ import annotations

import json
from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from typing import Any

from absl import logging

from . import clock
from .catalogue import ERROR, EVENT_BY_NAME, WARNING, EventKind
from .kernel import Service

# Rate limit of log lines for each kind of event; OPERATIONS.md documents it.
_MAX_LINES_PER_SECOND = 200.0
_BURST_LINES = 1000.0
_LEVEL_BY_NAME = {ERROR: logging.ERROR, WARNING: logging.WARNING}


@dataclass(frozen=True, slots=True)
class Event:
    """One event. ``wall`` is in seconds since 1970, ``loop`` in loop time."""

    n: int
    wall: float
    loop: float
    host: str
    incarnation: int
    kind: EventKind
    fields: dict[str, Any] = field(default_factory=dict)

    def as_dict(self) -> dict[str, Any]:
        """Return the event as a JSON object."""
        return {
            "n": self.n,
            "wall": round(self.wall, 6),
            "loop": round(self.loop, 6),
            "host": self.host,
            "incarnation": self.incarnation,
            "number": self.kind.number,
            "event": self.kind.name,
            **self.fields,
        }


class _LineLimiter:
    """Limits the log lines of each kind of event by a token bucket."""

    def __init__(self) -> None:
        self._bucket_by_name: dict[str, tuple[float, float]] = {}
        self._omitted_by_name: dict[str, int] = {}

    def admit(self, name: str, now: float) -> int | None:
        """Return how many lines were omitted before this one, or None to omit it."""
        tokens, refilled_at = self._bucket_by_name.get(name, (_BURST_LINES, now))
        tokens = min(_BURST_LINES, tokens + (now - refilled_at) * _MAX_LINES_PER_SECOND)
        if tokens < 1:
            self._bucket_by_name[name] = (tokens, now)
            self._omitted_by_name[name] = self._omitted_by_name.get(name, 0) + 1
            return None
        self._bucket_by_name[name] = (tokens - 1, now)
        return self._omitted_by_name.pop(name, 0)


class Events(Service):
    """Logs events and keeps the newest ``ring`` of them.

    The limit of log lines applies to each kind of event separately, so a flood of
    one kind hides no other. The ring keeps events whose log line is omitted, too.

    Fields that correlate events of several processes have the same name in all
    events: ``step``, ``request``, ``change``, ``offset``, ``stream``, ``engine``,
    ``workload``.
    """

    name = "events"

    def __init__(self, host: str, incarnation: int, ring: int) -> None:
        super().__init__()
        self._host = host
        self._incarnation = incarnation
        self._ring: deque[Event] = deque(maxlen=ring)
        self._next = 0
        self._limiter = _LineLimiter()
        self.observers: list[Callable[[Event], None]] = []

    def emit(self, name: str, **fields: Any) -> None:
        """Record the event called ``name`` in the catalogue."""
        kind = EVENT_BY_NAME[name]
        event = Event(
            self._next,
            clock.wall(),
            clock.now(),
            self._host,
            self._incarnation,
            kind,
            fields,
        )
        self._next += 1
        self._ring.append(event)
        for observer in self.observers:
            observer(event)
        level = _LEVEL_BY_NAME.get(kind.level, logging.INFO)
        if logging.get_verbosity() < level:
            return
        omitted = self._limiter.admit(kind.name, event.loop)
        if omitted is None:
            return
        log_entry = event.as_dict()
        if omitted:
            log_entry["left_out"] = omitted
        logging.log(level, "%s", json.dumps(log_entry, default=str))

    @property
    def event_count(self) -> int:
        """The number of events in the ring."""
        return len(self._ring)

    def after(self, n: int, limit: int = 10_000) -> Iterator[Event]:
        """Yield at most ``limit`` events of the ring whose number is above ``n``."""
        remaining = limit
        for event in self._ring:
            if event.n <= n:
                continue
            if remaining == 0:
                return
            remaining -= 1
            yield event
