"""Events that clients can cause in any number, of which a few are logged."""

from __future__ import annotations

from collections import Counter
from typing import Any

from . import clock
from .events import Events

_INTERVAL_SECONDS = 1.0


class PacedEvents:
    """Emits one event of each name a second; the next says how many were omitted."""

    def __init__(self, events: Events) -> None:
        self._events = events
        self._next_at_by_name: dict[str, float] = {}
        self._omitted_by_name: Counter[str] = Counter()

    def emit(self, name: str, **fields: Any) -> None:
        """Emit an event, or count it as omitted."""
        now = clock.now()
        if now < self._next_at_by_name.get(name, now):
            self._omitted_by_name[name] += 1
            return
        self._next_at_by_name[name] = now + _INTERVAL_SECONDS
        omitted = self._omitted_by_name.pop(name, 0)
        if omitted:
            fields["omitted"] = omitted
        self._events.emit(name, **fields)
