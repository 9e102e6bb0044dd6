"""Decides which reward call is sent next, and to which target. Does no I/O."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from .models import PendingCall

# Callers' requests share the targets with reward calls, so reward calls leave this
# share of each target's slots free.
_RESERVED_SLOT_SHARE = 1 / 3
# A second target is asked once an answer takes this multiple of the mean, but not
# before _MIN_HEDGE_DELAY_SECONDS.
_HEDGE_FACTOR = 3.0
_MIN_HEDGE_DELAY_SECONDS = 0.25
# A call that no target answers would otherwise occupy a slot at every target.
_MAX_CONCURRENT_ATTEMPTS = 3
_FIRST_RETRY_DELAY_SECONDS = 0.1
_MAX_RETRY_DELAY_SECONDS = 1.0


@dataclass(slots=True)
class TargetLoad:
    """A target as this host sees it.

    ``in_flight`` counts all requests of this host at the target. ``mean_seconds`` is
    the mean time of its answers, and ``permits`` how many requests its limit allows
    now; None if it has none.
    """

    id: str
    slots: int
    in_flight: int
    mean_seconds: float
    permits: int | None = None

    @property
    def usable_slots(self) -> int:
        """How many slots reward calls may occupy; at least one."""
        return max(1, self.slots - int(self.slots * _RESERVED_SLOT_SHARE))

    @property
    def accepts_call(self) -> bool:
        """Whether a call may be sent there now."""
        return self.in_flight < self.usable_slots and self.permits != 0

    def expected_seconds(self) -> float:
        """Return the time in which one more request would be answered."""
        return self.mean_seconds * (1.0 + self.in_flight / self.slots)


@dataclass(frozen=True, slots=True)
class Attempt:
    """The decision to send a call to a target; ``hedge`` marks a second attempt."""

    pending: PendingCall
    target_id: str
    hedge: bool


def hedge_delay(mean_seconds: float) -> float:
    """Return the seconds to wait for an answer before another target is asked."""
    return max(_MIN_HEDGE_DELAY_SECONDS, _HEDGE_FACTOR * mean_seconds)


def retry_delay(errors: int) -> float:
    """Return the seconds until the next attempt after ``errors`` failed attempts."""
    return min(
        _MAX_RETRY_DELAY_SECONDS, _FIRST_RETRY_DELAY_SECONDS * 2 ** max(0, errors - 1)
    )


def plan_attempts(
    pending_calls: Sequence[PendingCall],
    targets_by_call: Mapping[str, Sequence[TargetLoad]],
    now: float,
) -> list[Attempt]:
    """Return the attempts to start now, and count them in the targets' loads.

    Calls without a running attempt come first, then those whose attempts take long.
    Within both classes, the call that is due first goes first, and of those due at the
    same time the one whose group lacks the fewest items.

    :param targets_by_call: the targets that each call may be sent to, by call id.
    :param now: the current time, in loop seconds.
    """
    attempts: list[Attempt] = []
    for pending in sorted(
        (pending for pending in pending_calls if now >= pending.retry_at), key=_urgency
    ):
        targets = targets_by_call.get(pending.call.id, ())
        hedge = bool(pending.started_at_by_target)
        if hedge and not _may_hedge(pending, targets, now):
            continue
        target = _choose_target(pending, targets)
        if target is None:
            continue
        target.in_flight += 1
        if target.permits is not None:
            target.permits -= 1
        attempts.append(Attempt(pending, target.id, hedge))
    return attempts


def _urgency(pending: PendingCall) -> tuple[bool, float, int]:
    return (
        bool(pending.started_at_by_target),
        pending.due,
        pending.unfinished_in_group,
    )


def _may_hedge(pending: PendingCall, targets: Sequence[TargetLoad], now: float) -> bool:
    if len(pending.started_at_by_target) >= _MAX_CONCURRENT_ATTEMPTS or not targets:
        return False
    # A slow target must not raise the delay after which it is left for another.
    fastest = min(target.mean_seconds for target in targets)
    return now >= pending.last_started_at + hedge_delay(fastest)


def _choose_target(
    pending: PendingCall, targets: Sequence[TargetLoad]
) -> TargetLoad | None:
    """Return the target that should answer first.

    A target that already failed the call is chosen only after all others; the call
    rather waits for a slot at one of those, since only a few failures are allowed.
    """
    others = [
        target for target in targets if target.id not in pending.started_at_by_target
    ]
    untried = [
        target for target in others if target.id not in pending.failed_target_ids
    ]
    free = [target for target in untried or others if target.accepts_call]
    return min(free, key=TargetLoad.expected_seconds, default=None)
