"""How fast one engine is, judged from the events of its runs. Does no I/O.

Answers two loads: noise, in which each engine is a few times slower for some tenths of
a second at a time, and engines that are slower for seconds or for good. An engine
generates the next event of all its runs together, so all of them show a slow span.
"""

from __future__ import annotations

from collections import deque

# An engine is slow now if its events take longer than this multiple of the usual
# interval. Single gaps at full speed reach 1.5 times, those of slow spans 2.5 times.
_SLOW_NOW_FACTOR = 1.8
# An engine is at full speed now if its last event took at most this multiple.
_FULL_SPEED_FACTOR = 1.4
# Without an event, an engine is no longer taken to be at full speed after this multiple
# of the usual interval.
_FULL_SPEED_SILENCE_FACTOR = 1.6
# An engine that gave no events since a slow one counts as slow for this long, which is
# the length of a slow span.
_SLOW_SPAN_SECONDS = 0.6
# The lasting interval is that of the fastest _FASTEST_SECONDS in _WINDOW_SECONDS. Three
# slow spans of 0.6 s in a row do not change it, and slowness shows after 1.9 s.
_WINDOW_SECONDS = 2.2
_FASTEST_SECONDS = 0.3
# Intervals that differ from it by less than this factor are averaged.
_SAME_SPEED_FACTOR = 1.5
# The engine's runs must cover this much of the window before it becomes slower, because
# it may have been fast in the time without events; and this much before it is measured
# at all, which is more than one slow span.
_MIN_COVERED_SECONDS = 1.6
_MIN_FIRST_COVERED_SECONDS = 0.7
# Events of runs that advance together come within this time and say the same.
_SAME_EVENT_SECONDS = 0.002


class EngineSpeed:
    """The speed of one engine in the events that this host receives from it.

    All times are in loop seconds. Without measurements the engine counts as normal.
    """

    __slots__ = (
        "_last_event_at",
        "_last_interval",
        "_lasting_interval",
        "_runs",
        "_samples",
        "_silent_since",
    )

    def __init__(self) -> None:
        self._runs = 0
        self._last_event_at = float("-inf")
        self._last_interval = 0.0
        self._silent_since = float("-inf")
        # When each interval ended, how long it was, and how much of it no earlier
        # event of another run covers.
        self._samples: deque[tuple[float, float, float]] = deque()
        self._lasting_interval = 0.0

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
        if previous_at is not None:
            self._last_interval = now - previous_at
            covered = now - max(previous_at, self._last_event_at)
            if covered > _SAME_EVENT_SECONDS:
                self._samples.append((now, now - previous_at, covered))
        self._silent_since = self._last_event_at = now
        while self._samples and self._samples[0][0] <= now - _WINDOW_SECONDS:
            self._samples.popleft()

    def restore(self, interval: float) -> None:
        """Take over the lasting interval, in seconds, that another host measured."""
        self._lasting_interval = interval

    def lasting_interval(self) -> float:
        """Return the seconds between events without slow spans; 0 if not known.

        The result is that of the last measurement, however long ago it was.
        """
        covered = sum(sample[2] for sample in self._samples)
        known = self._lasting_interval
        if covered < (_FASTEST_SECONDS if known else _MIN_FIRST_COVERED_SECONDS):
            return known
        fastest = self._fastest_interval()
        seconds = events = 0.0
        for _, interval, covered_seconds in self._samples:
            if fastest / _SAME_SPEED_FACTOR <= interval <= fastest * _SAME_SPEED_FACTOR:
                seconds += covered_seconds
                events += covered_seconds / interval
        measured = seconds / events
        if measured > _SAME_SPEED_FACTOR * known > 0.0:
            if covered < _MIN_COVERED_SECONDS:
                return known
        self._lasting_interval = measured
        return measured

    def _fastest_interval(self) -> float:
        """Return the longest interval in the fastest part of the window."""
        fast_seconds = interval = 0.0
        for interval, seconds in sorted(sample[1:] for sample in self._samples):
            fast_seconds += seconds
            if fast_seconds >= _FASTEST_SECONDS:
                break
        return interval

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
