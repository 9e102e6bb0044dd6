"""Decides whether a request under which targets ended may be sent. Does no I/O."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field

from ..exceptions import RefusedError

# With fewer crashes a request is sent as any other, because a crash often has another
# cause. A service of three targets keeps one of them.
_CRASH_LIMIT = 2
# Seconds from the last crash or trial to each trial. Targets that crashed before are
# back by then. An innocent request is answered in its first trial and is free again.
_TRIAL_DELAYS_SECONDS = (5.0, 20.0, 60.0)
# The least recently changed records beyond this many are forgotten.
_MAX_REQUESTS = 512
_MAX_CRASHES_PER_REQUEST = 16
_KEEP_SECONDS = 3600.0
# What a caller is told to wait for when there is no further trial.
_FINAL_WAIT_SECONDS = 60.0
_MIN_WAIT_SECONDS = 1.0


@dataclass(frozen=True, slots=True)
class Decision:
    """What to do with a request.

    ``trial`` is the number of the trial that it would be, and ``wait`` the seconds
    until that is due; without a trial, the request may be sent as any other.
    """

    trial: int | None = None
    wait: float = 0.0


class RequestCrashesTargetsError(RefusedError):
    """Targets ended each time they ran this request, so it is not sent now."""

    code = "request_crashes_targets"

    @classmethod
    def after(cls, decision: Decision) -> RequestCrashesTargetsError:
        """Return the error for a request that ``decision`` does not let through."""
        return cls(
            "targets ended while they ran this request",
            retry_after=max(_MIN_WAIT_SECONDS, decision.wait),
        )


@dataclass(slots=True)
class _Record:
    changed_at: float
    targets: set[str] = field(default_factory=set)
    trials: set[int] = field(default_factory=set)


class CrashRecords:
    """The crashes and trials of requests, by fingerprint.

    Times are in seconds of one clock. The records of all hosts make one state, in
    whatever order they arrive.
    """

    def __init__(self) -> None:
        self._record_by_fingerprint: OrderedDict[str, _Record] = OrderedDict()

    def __len__(self) -> int:
        return len(self._record_by_fingerprint)

    def __contains__(self, fingerprint: str) -> bool:
        return fingerprint in self._record_by_fingerprint

    def crash_count(self, fingerprint: str) -> int:
        """Return how many targets ended under the request."""
        record = self._record_by_fingerprint.get(fingerprint)
        return len(record.targets) if record is not None else 0

    def changed_at(self, fingerprint: str) -> float | None:
        """Return when the record of the request last changed; None without one."""
        record = self._record_by_fingerprint.get(fingerprint)
        return record.changed_at if record is not None else None

    def may_repeat(self, fingerprint: str) -> bool:
        """Return whether the request may be sent to another target at once."""
        return self.crash_count(fingerprint) < _CRASH_LIMIT

    def record_crash(self, fingerprint: str, target: str, now: float) -> None:
        """Record that a process of a target ended under the request."""
        record = self._record_by_fingerprint.get(fingerprint)
        if record is not None and len(record.targets) >= _MAX_CRASHES_PER_REQUEST:
            return
        record = self._changed(fingerprint, now)
        record.targets.add(target)

    def record_trial(self, fingerprint: str, number: int, now: float) -> None:
        """Record that some host sends the request as a trial."""
        self._changed(fingerprint, now).trials.add(number)

    def _changed(self, fingerprint: str, now: float) -> _Record:
        record = self._record_by_fingerprint.setdefault(fingerprint, _Record(now))
        record.changed_at = now
        self._record_by_fingerprint.move_to_end(fingerprint)
        while len(self._record_by_fingerprint) > _MAX_REQUESTS:
            self._record_by_fingerprint.popitem(last=False)
        return record

    def clear(self, fingerprint: str) -> None:
        """Forget the request: a target has answered it."""
        self._record_by_fingerprint.pop(fingerprint, None)

    def expired(self, now: float) -> list[str]:
        """Return the requests whose records are too old to count."""
        return [
            fingerprint
            for fingerprint, record in self._record_by_fingerprint.items()
            if now >= record.changed_at + _KEEP_SECONDS
        ]

    def decide(self, fingerprint: str, now: float) -> Decision:
        """Return whether the request may be sent now."""
        record = self._record_by_fingerprint.get(fingerprint)
        if record is None or len(record.targets) < _CRASH_LIMIT:
            return Decision()
        number = len(record.trials)
        if number >= len(_TRIAL_DELAYS_SECONDS):
            return Decision(number, _FINAL_WAIT_SECONDS)
        due_at = record.changed_at + _TRIAL_DELAYS_SECONDS[number]
        return Decision(number, max(0.0, due_at - now))
