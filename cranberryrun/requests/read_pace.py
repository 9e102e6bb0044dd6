"""Tells whether a stream ended because its caller had not read it.

Responds to callers that read more slowly than a target sends. The target's connection
is then not read, and the target may end it.
"""

from __future__ import annotations

# A part that takes longer arrives as it is sent: nothing before it was left unread.
# Parts that had to wait for the caller are in this host's or the kernel's buffers.
_CAUGHT_UP_SECONDS = 0.01
# Shorter times between two parts are those of the event loop, not of the caller.
_PAUSE_SECONDS = 0.02
# Targets end a connection that stays unread for some seconds.
_UNREAD_SECONDS = 1.0
# An end that took longer was not there yet when reading went on.
_END_SECONDS = 0.5


class ReadPace:
    """How far an attempt at a stream is behind its target; times in loop seconds."""

    def __init__(self) -> None:
        self._behind_since: float | None = None
        self._reading_since = 0.0
        self._part_at: float | None = None

    def begin_read(self, now: float) -> None:
        """Record that the caller took the last part and the next one is read."""
        self._reading_since = now
        if self._part_at is None or now - self._part_at < _PAUSE_SECONDS:
            return
        if self._behind_since is None:
            self._behind_since = self._part_at

    def end_read(self, now: float) -> None:
        """Record that a part arrived and goes to the caller."""
        self._part_at = now
        if now - self._reading_since >= _CAUGHT_UP_SECONDS:
            self._behind_since = None

    def ended_unread(self, now: float) -> bool:
        """Return whether a stream that failed just now had been left unread."""
        if self._behind_since is None or now - self._reading_since >= _END_SECONDS:
            return False
        return self._reading_since - self._behind_since >= _UNREAD_SECONDS
