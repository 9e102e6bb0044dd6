"""Tells whether a stream ended because its caller had not read it.

Responds to callers that read more slowly than a target sends. The target's connection
is then not read, and the target may end it.
"""

from __future__ import annotations

# Targets end a connection that stays unread for some seconds.
_UNREAD_SECONDS = 1.0
# A stream that waits for its target for the difference of the two is up to date again,
# however long its caller did not read before.
_MAX_BEHIND_SECONDS = 3.0
# An end that took longer was not there yet when reading went on.
_END_SECONDS = 0.5


class ReadPace:
    """How far an attempt at a stream is behind its target; times in loop seconds.

    The time in which the caller takes a part adds to it. The time in which the target
    has nothing to read takes from it. On a busy host reading what waits takes time,
    too, so that one short wait does not show that nothing is left.
    """

    def __init__(self) -> None:
        self._behind_seconds = 0.0
        self._reading_since = 0.0
        self._part_at: float | None = None

    def begin_read(self, now: float) -> None:
        """Record that the caller took the last part and the next one is read."""
        self._reading_since = now
        if self._part_at is not None:
            self._behind_seconds = min(
                _MAX_BEHIND_SECONDS, self._behind_seconds + now - self._part_at
            )

    def end_read(self, now: float) -> None:
        """Record that a part arrived and goes to the caller."""
        self._part_at = now
        waited = now - self._reading_since
        self._behind_seconds = max(0.0, self._behind_seconds - waited)

    def ended_unread(self, now: float) -> bool:
        """Return whether a stream that failed just now had been left unread."""
        if now - self._reading_since >= _END_SECONDS:
            return False
        return self._behind_seconds >= _UNREAD_SECONDS
