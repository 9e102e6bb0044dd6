"""How fast one engine is, judged from the events of its runs. Does no I/O.

Answers two loads: noise, in which each engine is a few times slower for some tenths of
a second at a time, and engines that are slower for seconds or for good. An engine
generates the next event of all its runs together, so all of them show a slow span.
"""

from __future__ import annotations

# An engine is slow now if its events take longer than this multiple of the usual
# interval. Single gaps of an engine at full speed reach 1.5 times, slow spans begin at
# 2.5 times.
_SLOW_NOW_FACTOR = 1.8
# An engine is at full speed now if its last event took at most this multiple.
_FULL_SPEED_FACTOR = 1.4
# Without an event, an engine is no longer taken to be at full speed after this multiple
# of the usual interval.
_FULL_SPEED_SILENCE_FACTOR = 1.6
# An engine that gave no events since a slow one counts as slow for this long, which is
# the length of a slow span.
_SLOW_SPAN_SECONDS = 0.6


class EngineSpeed:
    """The speed of one engine in the events that this host receives from it.

    All times are in loop seconds. Without measurements the engine counts as normal.
    """

    __slots__ = ("_last_event_at", "_last_interval", "_runs", "_silent_since")

    def __init__(self) -> None:
        self._runs = 0
        self._last_event_at = float("-inf")
        self._last_interval = 0.0
        self._silent_since = float("-inf")

    def record_start(self, now: float) -> None:
        """Record that a run was sent to the engine."""
        if not self._runs:
            self._silent_since = now
        self._runs += 1

    def record_end(self) -> None:
        """Record that a run at the engine has ended or was stopped."""
        self._runs -= 1

    def record_event(self, now: float, previous_at: float | None) -> None:
        """Record an event of one run.

        :param previous_at: when the run had its previous event; None for its first
            one, which also waited for the prompt and says little about the speed.
        """
        self._silent_since = self._last_event_at = now
        if previous_at is not None:
            self._last_interval = now - previous_at

    def slow_now(self, now: float, usual_interval: float) -> bool:
        """Return whether the engine is in a slow span.

        :param usual_interval: seconds between events at full speed.
        """
        slow_interval = _SLOW_NOW_FACTOR * usual_interval
        if self._runs and now - self._silent_since > slow_interval:
            return True
        return (
            self._last_interval > slow_interval
            and now < self._last_event_at + _SLOW_SPAN_SECONDS
        )

    def full_speed_now(self, now: float, usual_interval: float) -> bool:
        """Return whether the engine's last event shows full speed at this moment.

        :param usual_interval: seconds between events at full speed.
        """
        if not 0.0 < self._last_interval <= _FULL_SPEED_FACTOR * usual_interval:
            return False
        silence = now - self._last_event_at
        return silence <= _FULL_SPEED_SILENCE_FACTOR * usual_interval
