"""Counts requests and response times, and obtains permits for second attempts.

Each host reports to the holder of the lease, which merges the reports and keeps the
budget of all hosts. Nothing of it is stored: a new holder begins with the reports that
it receives.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from .. import clock
from ..events import Event, Events
from ..exceptions import PeerError
from ..fleet.directory import Directory
from ..fleet.lease import Lease
from ..fleet.permit_client import NotHolderError
from ..kernel import Service
from .budget import Budget, TargetLoad
from .client import (
    Expectation,
    HedgeAnswer,
    HedgeClient,
    HedgeReport,
    PermitAsk,
    ServiceCounts,
)

# A request that begins when the expectation is older than this has the host report and
# ask anew. Hosts that get a request every few seconds so make one call for each.
_REFRESH_SECONDS = 1.0
# An older expectation is not used: the holder may be gone or the load another.
_MAX_AGE_SECONDS = 5.0
# A permit is asked for twice the time of the last call before it is needed, but not
# earlier than this. Where responses take 80 ms, a fixed 30 ms had most requests ask.
_MAX_ASK_AHEAD_SECONDS = 0.03
# Time without calls after the holder could not be reached.
_COOLDOWN_SECONDS = 0.5
# One run each: a moved item ends once, and moves are not extra runs.
_HOLDER_RUN_EVENTS = frozenset({"item_finished", "reward_call_ended"})


def _none_in_flight(target_id: str) -> int:
    """Return that this host has no request in flight."""
    return 0


class SecondAttempts(Service):
    """Says when a second attempt is worth its cost and asks the holder to allow it.

    :param host: the name of this host.
    :param max_extra_share: second attempts as a share of all runs over all hosts. With
        None or 0 nothing is counted and no host is called.
    """

    name = "second_attempts"
    requires = ("events", "directory", "lease", "hedge_client")

    def __init__(self, host: str, max_extra_share: float | None) -> None:
        super().__init__()
        self._host = host
        self._max_extra_share = max_extra_share
        self._pending = HedgeReport()
        self._budget: Budget | None = None
        self._expectation_by_service: dict[str, Expectation] = {}
        self._answered_at = float("-inf")
        self._call_again_at = float("-inf")
        self._call_seconds = 0.0
        self._refresh_task: asyncio.Task[HedgeAnswer | None] | None = None
        # Returns how many calls this host has in flight at a target.
        self.in_flight_at: Callable[[str], int] = _none_in_flight

    @property
    def limited(self) -> bool:
        """Whether the settings limit second attempts; else they have a fixed delay."""
        return self._max_extra_share is not None

    @property
    def enabled(self) -> bool:
        """Whether second attempts with permits are made."""
        return bool(self._max_extra_share)

    @property
    def ask_ahead_seconds(self) -> float:
        """How long before a permit is needed it is asked for, in seconds."""
        return min(_MAX_ASK_AHEAD_SECONDS, 2 * self._call_seconds)

    async def start(self) -> None:
        """Follow the lease and count the runs that this host starts as its holder."""
        if not self.enabled:
            return
        self.kernel.get(Lease).observers.append(self._reset_budget)
        self.kernel.get(Events).observers.append(self._count_holder_run)

    def begin(self, service: str) -> None:
        """Count a repeatable request that arrived; renew an old expectation."""
        if not self.enabled:
            return
        self._counts(service).begun += 1
        if (
            self._refresh_task is None
            and clock.now() >= self._answered_at + _REFRESH_SECONDS
        ):
            self._refresh_task = self.spawn(self._call(None))
            self._refresh_task.add_done_callback(self._clear_refresh_task)

    def record_run(self, service: str) -> None:
        """Count a request that a target may have run."""
        if self.enabled:
            self._counts(service).sent += 1

    def record_time(self, service: str, seconds: float, complete: bool) -> None:
        """Count the time of an attempt.

        :param complete: whether the response came; else the attempt was cancelled.
        """
        if self.enabled:
            self._counts(service).times.record(seconds, complete)

    async def expectation(self, service: str) -> Expectation | None:
        """Return what the holder recently said of ``service``, perhaps after a call."""
        if not self._answer_is_recent and self._refresh_task is not None:
            await asyncio.shield(self._refresh_task)
        if not self._answer_is_recent:
            return None
        return self._expectation_by_service.get(service)

    @property
    def _answer_is_recent(self) -> bool:
        return clock.now() < self._answered_at + _MAX_AGE_SECONDS

    def explain(self, service: str) -> tuple[Expectation | None, float | None]:
        """Return the expectation that is in use and the age of the answer in s."""
        if not self._answer_is_recent:
            return None, None
        age = clock.now() - self._answered_at
        return self._expectation_by_service.get(service), age

    async def acquire(self, ask: PermitAsk) -> str | None:
        """Obtain a permit; return why there is none, if it was refused."""
        call = self.spawn(self._call(ask))
        try:
            answer = await asyncio.shield(call)
        except asyncio.CancelledError:
            call.add_done_callback(self._give_back_grant)
            raise
        if answer is None:
            return "no_holder"
        return None if answer.granted else answer.refusal or "unknown"

    def give_back(self) -> None:
        """Return a permit that was granted and not used."""
        self._pending.unused += 1

    def serve(self, report: HedgeReport) -> HedgeAnswer:
        """Answer the report of a host.

        :raises NotHolderError: this host does not hold the lease.
        """
        if not self.kernel.get(Lease).held or not self._max_extra_share:
            raise NotHolderError(f"host {self._host} allows no second attempts")
        if self._budget is None:
            self._budget = Budget(self._max_extra_share)
        now = clock.now()
        self._budget.record_report(report, now)
        answer = HedgeAnswer(expectation_by_service=self._budget.expectations(now))
        if report.ask is not None:
            answer.refusal = self._budget.take(
                report.ask, self._load_by_target(report.ask.service), now
            )
            answer.granted = answer.refusal is None
        return answer

    def _load_by_target(self, service: str) -> dict[str, TargetLoad]:
        return {
            target.id: TargetLoad(target.slots, self.in_flight_at(target.id))
            for target in self.kernel.get(Directory).targets_of(service)
        }

    def _counts(self, service: str) -> ServiceCounts:
        return self._pending.counts_by_service.setdefault(service, ServiceCounts())

    async def _call(self, ask: PermitAsk | None) -> HedgeAnswer | None:
        """Report to the holder; return its answer, or None if there is none.

        The counts of a call without an answer are dropped: the holder may have them,
        and counting them twice would allow more second attempts than the limit.
        """
        holder = self.kernel.get(Lease).holder_host
        if holder is None or clock.now() < self._call_again_at:
            return None
        report, self._pending = self._pending, HedgeReport()
        report.ask = ask
        called_at = clock.now()
        try:
            if holder == self._host:
                answer = self.serve(report)
            else:
                answer = await self.kernel.get(HedgeClient).report(holder, report)
        except NotHolderError:
            self._pending.add(report)
            self._call_again_at = clock.now() + _COOLDOWN_SECONDS
            return None
        except PeerError as error:
            self._call_again_at = clock.now() + _COOLDOWN_SECONDS
            self.kernel.get(Events).emit(
                "hedge_holder_unreachable", holder=holder, reason=error.detail
            )
            return None
        self._expectation_by_service = answer.expectation_by_service
        self._answered_at = clock.now()
        self._call_seconds = self._answered_at - called_at
        return answer

    def _clear_refresh_task(self, task: asyncio.Task[HedgeAnswer | None]) -> None:
        self._refresh_task = None

    def _give_back_grant(self, call: asyncio.Task[HedgeAnswer | None]) -> None:
        """Return the permit of a call whose request ended meanwhile."""
        if call.cancelled() or call.exception() is not None:
            return
        answer = call.result()
        if answer is not None and answer.granted:
            self.give_back()

    def _reset_budget(self) -> None:
        """Forget the budget of an earlier time as the holder."""
        self._budget = None

    def _count_holder_run(self, event: Event) -> None:
        if event.kind.name not in _HOLDER_RUN_EVENTS or self._budget is None:
            return
        self._budget.record_runs(1, clock.now())
