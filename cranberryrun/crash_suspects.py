"""Calls under which targets of this host ended, as seen in later attempts. Does no I/O.

A call whose connection was lost is a suspect until its target answers or refuses a
connection. A refused one shows that the target ended.
"""

from __future__ import annotations

from .requests.crash_records import CrashRecords, Decision
from .requests.lost_connections import LostConnections

# A target that ended refuses connections at once; a much later refusal has another
# cause.
_CONFIRMATION_SECONDS = 5.0


class CrashSuspects:
    """Tells which calls end their targets. Times are in seconds of one clock."""

    def __init__(self) -> None:
        self._records = CrashRecords()
        self._lost = LostConnections(_CONFIRMATION_SECONDS)

    @property
    def empty(self) -> bool:
        """Whether nothing is known of any call or target."""
        return not len(self._records) and not len(self._lost)

    def decide(self, fingerprint: str, now: float) -> Decision:
        """Return whether a call may be sent now; a due trial counts as made."""
        decision = self._records.decide(fingerprint, now)
        if decision.trial is not None and decision.wait <= 0:
            self._records.record_trial(fingerprint, decision.trial, now)
        return decision

    def may_repeat(self, fingerprint: str) -> bool:
        """Return whether a call that may have run may go to another target."""
        return self._records.may_repeat(fingerprint)

    def record_lost(self, target: str, fingerprint: str, now: float) -> None:
        """Record that a call's connection to ``target`` was lost."""
        self._lost.record(target, fingerprint, now)

    def record_unreachable(self, target: str, now: float) -> None:
        """Record that ``target`` refused a connection."""
        for fingerprint in self._lost.confirm(target, now):
            self._records.record_crash(fingerprint, f"{target}@{now}", now)

    def record_answer(self, target: str, fingerprint: str) -> None:
        """Record that ``target`` answered: it runs, and the call is harmless."""
        self._lost.forget(target)
        self._records.clear(fingerprint)
