"""Decides how many requests a target may get that names a limit. Does no I/O."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Container
from dataclasses import dataclass, field

from ..exceptions import NoTargetError

# A bucket holds the requests of this time, but never less than _MIN_BURST.
_BURST_SECONDS = 0.5
_MIN_BURST = 2.0
# A target that takes fewer requests a second still gets this many; without any answer
# nothing would show that its limit has ended.
_MIN_RATE = 0.25
# The least recently named limits beyond this many are forgotten.
_MAX_TARGETS = 1024
# After a caller's request, background work leaves a token for the next one this long.
_RESERVATION_SECONDS = 2.0


class TargetLimitedError(NoTargetError):
    """The target named a limit, and what it allows for now is used up."""

    code = "target_limited"


class TokenBucket:
    """A token bucket on the caller's clock.

    :param rate: tokens a second.
    :param burst: the most tokens that it holds.
    :param level: the tokens that it holds at ``now``.
    """

    __slots__ = ("rate", "burst", "_level", "_updated_at")

    def __init__(self, rate: float, burst: float, level: float, now: float) -> None:
        self.rate = rate
        self.burst = burst
        self._level = level
        self._updated_at = now

    def level(self, now: float, share: float = 1.0) -> float:
        """Return the tokens at ``now``; since the last call ``share`` of the rate came.

        Time that runs backwards adds and removes nothing.
        """
        elapsed = max(0.0, now - self._updated_at)
        self._level = min(self.burst, self._level + elapsed * self.rate * share)
        self._updated_at = max(now, self._updated_at)
        return self._level

    def take(self, now: float, share: float = 1.0, leave: float = 0.0) -> bool:
        """Take one token unless fewer than ``leave`` would remain."""
        if self.level(now, share) < 1.0 + leave:
            return False
        self._level -= 1.0
        return True

    def seconds_until_token(self, now: float, share: float = 1.0) -> float:
        """Return after how many seconds there is a whole token."""
        missing = 1.0 - self.level(now, share)
        return max(0.0, missing / (self.rate * share))


@dataclass(slots=True)
class _NamedLimit:
    rate: float
    named_at: float
    bucket: TokenBucket
    reserved_until: float = float("-inf")


@dataclass(slots=True)
class NamedLimits:
    """The limits that targets named, with the tokens left of each.

    Times are in seconds of one clock. A bucket starts empty, so that a host that just
    started or took over adds nothing to what others sent before.
    """

    _limit_by_target: OrderedDict[str, _NamedLimit] = field(default_factory=OrderedDict)
    _ended_at_by_target: OrderedDict[str, float] = field(default_factory=OrderedDict)

    def rate_by_target(self) -> dict[str, float]:
        """Return the limits in force, in requests a second."""
        return {
            target_id: limit.rate for target_id, limit in self._limit_by_target.items()
        }

    def rate(self, target_id: str) -> float | None:
        """Return the target's limit in requests a second; None if it named none."""
        limit = self._limit_by_target.get(target_id)
        return limit.rate if limit is not None else None

    def named_at(self, target_id: str) -> float:
        """Return when the target's limit was last named; it must have one."""
        return self._limit_by_target[target_id].named_at

    def record_named(self, target_id: str, rate: float, at: float, now: float) -> bool:
        """Record that the target named ``rate`` at ``at``; return whether it is new.

        What is older than the newest information on the target has no effect.
        """
        limit = self._limit_by_target.get(target_id)
        if limit is None:
            if at < self._ended_at_by_target.get(target_id, float("-inf")):
                return False
            allowed = max(rate, _MIN_RATE)
            bucket = TokenBucket(allowed, _burst(allowed), 0.0, now)
            self._limit_by_target[target_id] = _NamedLimit(rate, at, bucket)
            _keep_newest(self._limit_by_target)
            return True
        if at < limit.named_at:
            return False
        limit.named_at = at
        self._limit_by_target.move_to_end(target_id)
        if rate == limit.rate:
            return False
        limit.bucket.level(now)
        limit.rate = rate
        limit.bucket.rate = max(rate, _MIN_RATE)
        limit.bucket.burst = _burst(limit.bucket.rate)
        return True

    def record_unnamed(self, target_id: str, sent_at: float, now: float) -> bool:
        """Record an answer that names no limit; return whether that ended one.

        :param sent_at: when its request was sent. An answer to an earlier request than
            the one that was answered with the limit may be older than the limit.
        """
        limit = self._limit_by_target.get(target_id)
        if limit is None or sent_at < limit.named_at:
            return False
        self.end(target_id, now)
        return True

    def end(self, target_id: str, now: float) -> None:
        """End the target's limit."""
        if self._limit_by_target.pop(target_id, None) is not None:
            self._ended_at_by_target[target_id] = now
            _keep_newest(self._ended_at_by_target)

    def forget_all_but(self, target_ids: Container[str]) -> None:
        """Forget the limits of targets that are gone."""
        for by_target in (self._limit_by_target, self._ended_at_by_target):
            for target_id in [each for each in by_target if each not in target_ids]:
                del by_target[target_id]

    def available(self, target_id: str, now: float, share: float) -> int | None:
        """Return how many background requests may be sent; None if there is no limit.

        :param share: the part of the rate that this host may use.
        """
        limit = self._limit_by_target.get(target_id)
        if limit is None:
            return None
        leave = 1.0 if now < limit.reserved_until else 0.0
        return max(0, int(limit.bucket.level(now, share) - leave))

    def take(
        self, target_id: str, now: float, share: float, background: bool = False
    ) -> bool:
        """Take the permit of one request; return whether it may be sent.

        :param background: whether a caller's request goes before this one.
        """
        limit = self._limit_by_target.get(target_id)
        if limit is None:
            return True
        if not background:
            limit.reserved_until = now + _RESERVATION_SECONDS
            return limit.bucket.take(now, share)
        leave = 1.0 if now < limit.reserved_until else 0.0
        return limit.bucket.take(now, share, leave)

    def seconds_until_token(self, target_id: str, now: float, share: float) -> float:
        """Return after how many seconds a caller's request may be sent."""
        limit = self._limit_by_target.get(target_id)
        if limit is None:
            return 0.0
        return limit.bucket.seconds_until_token(now, share)


def _burst(rate: float) -> float:
    return max(_MIN_BURST, _BURST_SECONDS * rate)


def _keep_newest(by_target: OrderedDict) -> None:
    while len(by_target) > _MAX_TARGETS:
        by_target.popitem(last=False)
