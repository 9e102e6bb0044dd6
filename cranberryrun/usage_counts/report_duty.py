"""Decides on the usage report of each window. No I/O."""

from __future__ import annotations

import math

from ..duties.client import DutyClient, UsageReport
from ..duties.duty import Duty, DutyCall
from .totals import UsageTotals

# All windows are one subject.
_SUBJECT = "windows"
# An answer comes at most 1.5 s after the start of a request, and its host writes its
# count within the next second. Of the 10 s until a report is late, the rest is left for
# a takeover, which takes 4 s.
_REPORT_DELAY_SECONDS = 4.0
_MAX_DELAY_SHARE = 0.4
MAX_AGE_SECONDS = 60.0


class ReportDuty(Duty):
    """Reports each window once, some seconds after its end, oldest first.

    :param window_seconds: length of a window.
    :param late_seconds: time from the end of a window until its report is late.
    :param started_at: the start of this process in seconds since 1970. Without any
        record the reports begin with its window, or the first window with counts.
    """

    name = "usage"

    def __init__(
        self,
        totals: UsageTotals,
        window_seconds: float,
        late_seconds: float,
        started_at: float,
    ) -> None:
        self._totals = totals
        self._window_seconds = window_seconds
        self._late_seconds = late_seconds
        self._delay = min(_REPORT_DELAY_SECONDS, _MAX_DELAY_SHARE * late_seconds)
        self._started_at = started_at
        self._next_window: int | None = None

    def apply_record(self, call: DutyCall) -> None:
        """See :meth:`Duty.apply_record`."""
        self._next_window = call.number + 1
        self._totals.end_window(call.number)

    def apply_answer(self, call: DutyCall, accepted: bool) -> None:
        """See :meth:`Duty.apply_answer`."""

    def next_call(self, now: float) -> DutyCall | None:
        """See :meth:`Duty.next_call`."""
        window = self._window_to_report(now)
        if not self._totals.complete(self._end_of(window) + self._delay):
            return None
        counts = self._totals.counts_of(window)
        return DutyCall(self.name, _SUBJECT, window, {"counts": counts})

    def _window_to_report(self, now: float) -> int:
        oldest = self._window_of(now - MAX_AGE_SECONDS)
        if self._next_window is None:
            first = self._window_of(self._started_at)
            counted = self._totals.oldest_window()
            if counted is not None:
                first = min(first, counted)
            return max(first, oldest)
        if self._next_window < oldest:
            self.skipped_count += oldest - self._next_window
            self._next_window = oldest
        return self._next_window

    async def send(
        self, client: DutyClient, call: DutyCall, holder: str, fence: int
    ) -> None:
        """See :meth:`Duty.send`."""
        report = UsageReport(call.number, call.content["counts"])
        await client.report_usage(report, holder, fence)

    def expired(self, call: DutyCall, now: float) -> bool:
        """See :meth:`Duty.expired`."""
        return now > self._end_of(call.number) + MAX_AGE_SECONDS + self._late_seconds

    def due_at(self, call: DutyCall) -> float | None:
        """See :meth:`Duty.due_at`."""
        return self._end_of(call.number) + self._late_seconds

    def _window_of(self, wall: float) -> int:
        return math.floor(wall / self._window_seconds)

    def _end_of(self, window: int) -> float:
        return (window + 1) * self._window_seconds
