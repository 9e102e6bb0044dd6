"""Bounds the bytes that a host holds because others read or send slowly.

Responds to callers and targets that read slowly or not at all, in any number. The
decisions are made here, without I/O; their users close connections.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass

from .exceptions import RefusedError

# An answer that is written for longer than this has a slow reader. The largest page of
# results takes 0.4 s over a link of 21 Mbit/s.
_SLOW_AFTER_SECONDS = 2.0


class BufferPath(enum.Enum):
    """What the bytes are held for."""

    REQUEST_BODY = "request_body"
    SUBMISSION = "submission"
    ANSWER = "answer"
    PAGE = "page"
    ITEM_BODY = "item_body"
    STREAM = "stream"
    RELAY_BODY = "relay_body"
    RELAY_ANSWER = "relay_answer"
    RELAY_STREAM = "relay_stream"


# Answers that are given up when memory runs out. A body is needed until a target has
# it, and a stream never loses events.
_ABANDONABLE = frozenset(
    {
        BufferPath.ANSWER,
        BufferPath.PAGE,
        BufferPath.ITEM_BODY,
        BufferPath.RELAY_ANSWER,
    }
)


class BuffersFullError(RefusedError):
    """The host holds so many bytes that it takes no more; nothing was sent on."""

    code = "buffers_full"


@dataclass(eq=False, slots=True)
class Hold:
    """Bytes held for one transfer since ``started_at``, in loop seconds."""

    path: BufferPath
    size: int
    started_at: float


class BufferBudget:
    """Counts the bytes that are held, and decides what happens beyond the limit.

    :param limit_bytes: limit of the bytes of all holds together.
    """

    def __init__(self, limit_bytes: int) -> None:
        self.limit_bytes = limit_bytes
        self.used_bytes = 0
        self._holds: set[Hold] = set()

    def hold(self, path: BufferPath, size: int, now: float) -> Hold:
        """Count ``size`` bytes that are held already or were found to fit."""
        hold = Hold(path, 0, now)
        self._holds.add(hold)
        self.resize(hold, size)
        return hold

    def resize(self, hold: Hold, size: int) -> None:
        """Count ``size`` bytes for ``hold`` from now on."""
        if hold in self._holds:
            self.used_bytes += size - hold.size
            hold.size = size

    def release(self, hold: Hold) -> None:
        """Stop counting ``hold``; a repeated call has no effect."""
        self.resize(hold, 0)
        self._holds.discard(hold)

    def fits(self, size: int, hold: Hold | None = None) -> bool:
        """Return whether ``size`` more bytes may be held, for ``hold`` if given.

        A transfer that is larger than the whole budget fits while nothing else is
        held; otherwise it could never be served.
        """
        others = self.used_bytes - (hold.size if hold is not None else 0)
        return others == 0 or self.used_bytes + size <= self.limit_bytes

    def slow_answers(self, size: int, now: float) -> list[Hold]:
        """Return the answers to give up so that ``size`` more bytes fit.

        These are the largest of those whose readers are slow, as few as are needed. An
        empty list is returned if all of them together would not be enough.
        """
        excess = self.used_bytes + size - self.limit_bytes
        if excess <= 0:
            return []
        slow = [
            hold
            for hold in self._holds
            if hold.path in _ABANDONABLE
            and hold.size
            and now - hold.started_at >= _SLOW_AFTER_SECONDS
        ]
        slow.sort(key=lambda hold: hold.size, reverse=True)
        chosen = []
        for hold in slow:
            if excess <= 0:
                break
            chosen.append(hold)
            excess -= hold.size
        return chosen if excess <= 0 else []

    def used_by_path(self) -> dict[str, float]:
        """Return the bytes held for each path, by its name."""
        used = dict.fromkeys((path.value for path in BufferPath), 0.0)
        for hold in self._holds:
            used[hold.path.value] += hold.size
        return used
