"""Bounds the bytes that a process holds for all its connections together.

Responds to callers and targets that send or read slowly or not at all, in any number.
The decisions are made here, without I/O; their users close connections.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass

from .exceptions import RefusedError

# An answer that is written for longer than this has a slow reader. The largest page of
# results takes 0.4 s over a link of 21 Mbit/s.
_SLOW_AFTER_SECONDS = 2.0
# A call that holds no more than this is small.
SMALL_BYTES = 65_536
# The share of the limit that only small calls may use.
_SMALL_CALL_SHARE = 0.25


class BufferPath(enum.Enum):
    """What the bytes are held for."""

    HEAD = "head"
    CALL = "call"
    REQUEST_BODY = "request_body"
    SUBMISSION = "submission"
    ANSWER = "answer"
    PAGE = "page"
    ITEM_BODY = "item_body"
    STREAM = "stream"
    RELAY_BODY = "relay_body"
    RELAY_ANSWER = "relay_answer"
    RELAY_STREAM = "relay_stream"


# Requests that may not have arrived as a whole.
INCOMPLETE = frozenset(
    {
        BufferPath.HEAD,
        BufferPath.REQUEST_BODY,
        BufferPath.SUBMISSION,
        BufferPath.RELAY_BODY,
    }
)
# Given up when memory runs out, unless they must be kept. A stream never loses events.
_ABANDONABLE = INCOMPLETE | {
    BufferPath.ANSWER,
    BufferPath.PAGE,
    BufferPath.ITEM_BODY,
    BufferPath.RELAY_ANSWER,
}


class BuffersFullError(RefusedError):
    """The host holds so many bytes that it takes no more; nothing was sent on."""

    code = "buffers_full"


@dataclass(eq=False, slots=True)
class Hold:
    """Bytes held for one transfer.

    ``progress_at`` is when it began or last made progress, in loop seconds. While
    ``kept`` is set it is not given up: a target needs a body that is complete.
    ``patience`` is how much longer than others it may make no progress.
    """

    path: BufferPath
    size: int
    progress_at: float
    kept: bool = False
    patience: float = 1.0


class BufferBudget:
    """Counts the bytes that are held, and decides what happens beyond the limit.

    A quarter of the limit is kept for small calls, which are served beside any number
    of large ones. One transfer may be larger than the rest of the limit.

    :param limit_bytes: limit of the bytes of all holds together, but for what the one
        large transfer takes beyond its part.
    :param single_bytes: limit of a single transfer; None: without one.
    """

    def __init__(self, limit_bytes: int, single_bytes: int | None = None) -> None:
        self.limit_bytes = limit_bytes
        self.single_bytes = single_bytes
        self.used_bytes = 0
        self._holds: set[Hold] = set()
        # The hold that is larger than the part for large calls.
        self._single: Hold | None = None

    @property
    def large_call_bytes(self) -> int:
        """The part of the limit that large calls may use."""
        return int(self.limit_bytes * (1 - _SMALL_CALL_SHARE))

    def hold(self, path: BufferPath, size: int, now: float) -> Hold:
        """Count ``size`` bytes that are held already or were found to fit."""
        hold = Hold(path, 0, now)
        self._holds.add(hold)
        self.resize(hold, size)
        return hold

    def resize(self, hold: Hold, size: int) -> None:
        """Count ``size`` bytes for ``hold`` from now on."""
        if hold not in self._holds:
            return
        self.used_bytes += size - hold.size
        hold.size = size
        if size > self.large_call_bytes:
            self._single = hold
        elif hold is self._single:
            self._single = None

    def release(self, hold: Hold) -> None:
        """Stop counting ``hold``; a repeated call has no effect."""
        self.resize(hold, 0)
        self._holds.discard(hold)

    def fits(self, size: int, hold: Hold | None = None) -> bool:
        """Return whether ``size`` more bytes may be held, for ``hold`` if given.

        While the others hold no more than the part for small calls, one may be as large
        as a single transfer may be; otherwise it could never be served.
        """
        own = hold.size if hold is not None else 0
        total = own + size
        others = self._counted_bytes() - min(own, self.large_call_bytes)
        limit = self.limit_bytes if total <= SMALL_BYTES else self.large_call_bytes
        if others + total <= limit:
            return True
        if self.never_fits(total):
            return False
        return others <= self.limit_bytes - self.large_call_bytes

    def never_fits(self, size: int) -> bool:
        """Return whether a transfer of ``size`` bytes is too large for this process."""
        return self.single_bytes is not None and size > self.single_bytes

    def _counted_bytes(self) -> int:
        """Return the bytes held, of which a large transfer counts as its part only."""
        if self._single is None:
            return self.used_bytes
        return self.used_bytes - self._single.size + self.large_call_bytes

    def stalled_holds(
        self, size: int, now: float, hold: Hold | None = None
    ) -> list[Hold]:
        """Return the holds to give up so that ``size`` more bytes fit, for ``hold``.

        These are the largest of those without progress for long, as few as are needed;
        those with more patience come last.
        An empty list is returned if all of them together would not be enough.
        """
        own = hold.size if hold is not None else 0
        limit = self.limit_bytes
        if own + size > SMALL_BYTES:
            limit = self.large_call_bytes
        excess = self._counted_bytes() + size - limit
        if excess <= 0:
            return []
        stalled = [
            each
            for each in self._holds
            if each is not hold
            and each.path in _ABANDONABLE
            and each.size
            and not each.kept
            and now - each.progress_at >= _SLOW_AFTER_SECONDS * each.patience
        ]
        stalled.sort(key=lambda each: (each.patience, -each.size))
        chosen = []
        for each in stalled:
            if excess <= 0:
                break
            chosen.append(each)
            excess -= each.size
        return chosen if excess <= 0 else []

    def used_by_path(self) -> dict[str, float]:
        """Return the bytes held for each path, by its name."""
        used = dict.fromkeys((path.value for path in BufferPath), 0.0)
        for hold in self._holds:
            used[hold.path.value] += hold.size
        return used
