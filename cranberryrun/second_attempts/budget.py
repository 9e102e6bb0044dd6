"""The holder's budget: which second attempts are allowed, over all hosts."""

from __future__ import annotations

import math
from collections import Counter, deque
from dataclasses import dataclass, field
from typing import Any

from .client import Expectation, HedgeReport, PermitAsk, Refusal
from .policy import expectation_of
from .response_times import ResponseTimes

# Unused permits of more than this many runs lapse, so that a quiet hour does not allow
# a burst of extra runs when all targets are slow.
_MAX_CREDIT = 5.0
_SHARE_HALF_LIFE_SECONDS = 10.0
# Shorter, as a burst fills the targets within a second or two.
_LOAD_HALF_LIFE_SECONDS = 2.0
_EXPECTATION_SECONDS = 1.0
# Most slow responses begin and are asked about within this time. When all targets
# became slow in a test, 6 of 183 requests were hedged; without this rule 22.
_SLOW_WINDOW_SECONDS = 1.5
_MIN_SLOW_REQUESTS = 3
_MAX_SLOW_SHARE = 0.5
# Above this share of its slots in use, queues form at single targets of a service.
_MAX_SLOTS_SHARE = 0.8


class _Rate:
    """Events a second; each event's weight halves every ``half_life`` seconds."""

    def __init__(self, half_life: float) -> None:
        self._half_life = half_life
        self._weight = 0.0
        self._updated_at = 0.0

    def add(self, count: float, now: float) -> None:
        self._weight = self._weight_at(now) + count
        self._updated_at = now

    def per_second(self, now: float) -> float:
        return self._weight_at(now) * math.log(2) / self._half_life

    def _weight_at(self, now: float) -> float:
        age = max(0.0, now - self._updated_at)
        return self._weight * 0.5 ** (age / self._half_life)


@dataclass(slots=True)
class _ServiceState:
    times: ResponseTimes = field(default_factory=ResponseTimes)
    sent: _Rate = field(default_factory=lambda: _Rate(_LOAD_HALF_LIFE_SECONDS))
    begun: deque[tuple[float, int]] = field(default_factory=deque)
    asked: deque[tuple[float, str]] = field(default_factory=deque)
    expectation: Expectation | None = None
    computed_at: float = float("-inf")


@dataclass(frozen=True, slots=True)
class TargetLoad:
    """The slots of a target and how many of them the holder itself uses."""

    slots: int
    in_flight: int


class Budget:
    """Grants second attempts while they stay under a share of all runs.

    Each reported run adds ``max_extra_share`` of a permit; a new holder begins with
    none. It responds to the load of all hosts: the requests that they report, their
    response times, and the slots that the holder's own calls use.
    """

    def __init__(self, max_extra_share: float) -> None:
        self._max_extra_share = max_extra_share
        self._credit = 0.0
        self._runs = _Rate(_SHARE_HALF_LIFE_SECONDS)
        self._begun = _Rate(_SHARE_HALF_LIFE_SECONDS)
        self._state_by_service: dict[str, _ServiceState] = {}

    def record_runs(self, count: int, now: float) -> None:
        """Count runs, of which a share may be extra.

        :param now: the current time, in loop seconds.
        """
        if not count:
            return
        self._runs.add(count, now)
        self._credit = min(_MAX_CREDIT, self._credit + count * self._max_extra_share)

    def record_report(self, report: HedgeReport, now: float) -> None:
        """Count what a host reports."""
        self._credit = min(_MAX_CREDIT, self._credit + report.unused)
        for service, counts in report.counts_by_service.items():
            state = self._state_by_service.setdefault(service, _ServiceState())
            state.times.merge(counts.times, now)
            self.record_runs(counts.sent, now)
            if counts.sent:
                state.sent.add(counts.sent, now)
            if counts.begun:
                self._begun.add(counts.begun, now)
                state.begun.append((now, counts.begun))
            # Services that are never asked about get reports, too.
            _forget_old(state.begun, now)

    def expectations(self, now: float) -> dict[str, Expectation]:
        """Return the expectation of each service that is known well enough."""
        expectation_by_service = {}
        for service, state in self._state_by_service.items():
            if now >= state.computed_at + _EXPECTATION_SECONDS:
                state.computed_at = now
                state.expectation = expectation_of(state.times, self._permit_share(now))
            if state.expectation is not None:
                expectation_by_service[service] = state.expectation
        return expectation_by_service

    def _permit_share(self, now: float) -> float:
        """Return the share of repeatable requests that may have a second attempt."""
        begun = self._begun.per_second(now)
        if begun <= 0:
            return 1.0
        runs = self._runs.per_second(now)
        return min(1.0, self._max_extra_share * runs / begun)

    def take(
        self, ask: PermitAsk, load_by_target: dict[str, TargetLoad], now: float
    ) -> Refusal | None:
        """Take the permit for a second attempt; return why it is refused, if it is.

        :param load_by_target: the load of all targets of the service.
        """
        state = self._state_by_service.get(ask.service)
        if state is None or state.expectation is None:
            return "unknown"
        state.asked.append((now, ask.slow_target))
        if self._all_slow(state, len(load_by_target), now):
            return "slow"
        if self._full(state, ask.target, load_by_target, now):
            return "full"
        if self._credit < 1.0:
            return "no_budget"
        self._credit -= 1.0
        return None

    def _all_slow(self, state: _ServiceState, target_count: int, now: float) -> bool:
        """Return whether the responses of more than one target are slow.

        A single slow target is left out: it is what second attempts are for.
        """
        _forget_old(state.begun, now)
        _forget_old(state.asked, now)
        count_by_target = Counter(target for _, target in state.asked)
        slow = len(state.asked) - max(count_by_target.values(), default=0)
        begun = sum(count for _, count in state.begun)
        begun *= (target_count - 1) / max(1, target_count)
        return slow >= _MIN_SLOW_REQUESTS and slow > _MAX_SLOW_SHARE * begun

    def _full(
        self,
        state: _ServiceState,
        target: str,
        load_by_target: dict[str, TargetLoad],
        now: float,
    ) -> bool:
        """Return whether the target or its service has no slot that is surely free.

        By Little's law, requests a second times mean response time is the number of
        requests that the hosts have in flight.
        """
        load = load_by_target.get(target)
        if load is None or state.expectation is None:
            return True
        in_flight = state.sent.per_second(now) * state.expectation.mean
        if in_flight / len(load_by_target) + load.in_flight + 1 > load.slots:
            return True
        own = sum(each.in_flight for each in load_by_target.values())
        slots = sum(each.slots for each in load_by_target.values())
        return in_flight + own > _MAX_SLOTS_SHARE * slots


def _forget_old(entries: deque[tuple[float, Any]], now: float) -> None:
    """Remove the entries that say nothing of the present load."""
    while entries and entries[0][0] < now - _SLOW_WINDOW_SECONDS:
        entries.popleft()
