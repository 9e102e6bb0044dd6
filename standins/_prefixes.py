"""Prefix cache of the engine stand-in."""

import base64
from collections import OrderedDict, deque
from dataclasses import dataclass
from typing import Any, Literal

from ._program import StandinError, loop_time

PREFIX_CHARACTERS = 256
EVENT_DELAY_SECONDS = 1.0
LOST_EVENT_INTERVAL = 10
MAX_CACHE_EVENTS = 10_000


class PrefixNotCached(StandinError):
    """The prefix is not cached."""


@dataclass
class CacheEvent:
    """One change of the cache; ``time`` is loop time."""

    n: int
    time: float
    kind: Literal["stored", "evicted"]
    prefix: str


class PrefixCache:
    """LRU cache of prompt prefixes.

    :param capacity: number of cached prefixes.
    """

    def __init__(self, capacity: int) -> None:
        self.capacity = capacity
        self._workload_by_prefix: OrderedDict[str, str | None] = OrderedDict()
        self._events: deque[CacheEvent] = deque(maxlen=MAX_CACHE_EVENTS)
        self._next_event = 0

    def __len__(self) -> int:
        return len(self._workload_by_prefix)

    def lookup_or_store(self, prompt: str, workload: str) -> int:
        """Cache the prompt's prefix; return how many characters were cached already."""
        prefix = prompt[:PREFIX_CHARACTERS]
        if prefix in self._workload_by_prefix:
            self._workload_by_prefix.move_to_end(prefix)
            return len(prefix)
        self._store(prefix, workload)
        return 0

    def drop_workload(self, workload: str) -> None:
        """Evict the prefixes that a workload's previous weights computed."""
        for prefix, prefix_workload in list(self._workload_by_prefix.items()):
            if prefix_workload == workload:
                self._evict(prefix)

    def clear(self) -> None:
        """Drop all prefixes without events, as a crash does."""
        self._workload_by_prefix.clear()

    def export_blob(self, prefix: str) -> str:
        """Return the cached data of a prefix as base64 text.

        :raises PrefixNotCached: the prefix is not cached.
        """
        if prefix not in self._workload_by_prefix:
            raise PrefixNotCached
        return base64.b64encode(prefix.encode()).decode()

    def import_blob(self, prefix: str) -> None:
        """Cache a prefix that another engine computed."""
        if prefix not in self._workload_by_prefix:
            self._store(prefix, None)

    def events(self, start: int) -> tuple[list[dict[str, Any]], int]:
        """Return the events from number ``start`` on and the next number to ask for.

        Events are visible after ``EVENT_DELAY_SECONDS``, and every
        ``LOST_EVENT_INTERVAL``-th is lost.
        """
        visible_until = loop_time() - EVENT_DELAY_SECONDS
        events = []
        next_number = start
        for event in self._events:
            if event.n < start or event.time > visible_until:
                continue
            next_number = event.n + 1
            if event.n % LOST_EVENT_INTERVAL == LOST_EVENT_INTERVAL - 1:
                continue
            events.append({"n": event.n, "kind": event.kind, "prefix": event.prefix})
        return events, next_number

    def _store(self, prefix: str, workload: str | None) -> None:
        if not self.capacity:
            return
        self._workload_by_prefix[prefix] = workload
        self._add_event("stored", prefix)
        if len(self._workload_by_prefix) > self.capacity:
            self._evict(next(iter(self._workload_by_prefix)))

    def _evict(self, prefix: str) -> None:
        del self._workload_by_prefix[prefix]
        self._add_event("evicted", prefix)

    def _add_event(self, kind: Literal["stored", "evicted"], prefix: str) -> None:
        self._events.append(CacheEvent(self._next_event, loop_time(), kind, prefix))
        self._next_event += 1
