"""Prefix cache of the engine stand-in."""

import base64
from collections import OrderedDict, deque
from dataclasses import dataclass
from typing import Any, Literal

from ._program import StandinError, loop_time

PREFIX_CHARACTERS = 256
EVENT_DELAY_SECONDS = 1.0
LOST_EVENT_EVERY = 10
KEPT_EVENTS = 10_000


class PrefixNotCached(StandinError):
    """The prefix is not in the cache."""


@dataclass
class CacheEvent:
    """One change of the cache, at a loop time."""

    n: int
    time: float
    kind: Literal["stored", "evicted"]
    prefix: str


class PrefixCache:
    """Least recently used prompt prefixes.

    :param capacity: prefixes kept.
    """

    def __init__(self, capacity: int) -> None:
        self.capacity = capacity
        self._workload_by_prefix: OrderedDict[str, str | None] = OrderedDict()
        self._events: deque[CacheEvent] = deque(maxlen=KEPT_EVENTS)
        self._next_event = 0

    def __len__(self) -> int:
        return len(self._workload_by_prefix)

    def use(self, prompt: str, workload: str) -> int:
        """Store the prompt's prefix; return how many characters were cached."""
        prefix = prompt[:PREFIX_CHARACTERS]
        if prefix in self._workload_by_prefix:
            self._workload_by_prefix.move_to_end(prefix)
            return len(prefix)
        self._store(prefix, workload)
        return 0

    def drop_workload(self, workload: str) -> None:
        """Evict what an older version of the workload's weights computed."""
        for prefix, owner in list(self._workload_by_prefix.items()):
            if owner == workload:
                self._evict(prefix)

    def clear(self) -> None:
        """Forget all prefixes without telling it, as a crash does."""
        self._workload_by_prefix.clear()

    def export_blob(self, prefix: str) -> str:
        """Return the cache of a prefix as text.

        :raises PrefixNotCached: it is not in the cache.
        """
        if prefix not in self._workload_by_prefix:
            raise PrefixNotCached
        return base64.b64encode(prefix.encode()).decode()

    def import_blob(self, prefix: str) -> None:
        """Store a prefix that another engine computed."""
        if prefix not in self._workload_by_prefix:
            self._store(prefix, None)

    def events(self, start: int) -> tuple[list[dict[str, Any]], int]:
        """Return the events from number ``start`` on, late and with gaps."""
        visible_until = loop_time() - EVENT_DELAY_SECONDS
        events = []
        following = start
        for event in self._events:
            if event.n < start or event.time > visible_until:
                continue
            following = event.n + 1
            if event.n % LOST_EVENT_EVERY == LOST_EVENT_EVERY - 1:
                continue
            events.append({"n": event.n, "kind": event.kind, "prefix": event.prefix})
        return events, following

    def _store(self, prefix: str, workload: str | None) -> None:
        if not self.capacity:
            return
        self._workload_by_prefix[prefix] = workload
        self._note("stored", prefix)
        if len(self._workload_by_prefix) > self.capacity:
            self._evict(next(iter(self._workload_by_prefix)))

    def _evict(self, prefix: str) -> None:
        del self._workload_by_prefix[prefix]
        self._note("evicted", prefix)

    def _note(self, kind: Literal["stored", "evicted"], prefix: str) -> None:
        self._events.append(CacheEvent(self._next_event, loop_time(), kind, prefix))
        self._next_event += 1
