"""Forwards callers' requests to targets and records how they ended."""

from __future__ import annotations

import asyncio
import copy
import random

from .. import clock
from ..events import Events
from ..exceptions import (
    CranberryrunError,
    NoTargetError,
    RefusedError,
    TargetFailedError,
)
from ..fleet.absent_ids import drop_absent
from ..fleet.client import Answer, Request, TargetClient
from ..fleet.directory import Directory, Target
from ..fleet.failures import log_failure_of
from ..fleet.manifest import Route
from ..fleet.origin import Origin
from ..fleet.rate_limits import TargetLimitedError
from ..fleet.send_permits import SendPermits
from ..kernel import Service
from ..metrics import Metrics
from ..routing import Candidate, LeastLoaded, RoutingHints
from ..second_attempts.policy import SecondTarget, second_targets
from ..second_attempts.service import SecondAttempts
from ..usage_counts.counter import RequestUsage, UsageCounter
from .attempts import RETRY_AFTER_SECONDS, SERVER_ERROR_STATUS, Attempts
from .crashes import Crashes
from .queued_attempts import QueuedAttempts
from .target_state import TargetState
from .waiting import Waiting

# A hedged request is sent when an answer takes this many times the mean.
_HEDGE_FACTOR = 3.0
_MIN_HEDGE_DELAY_SECONDS = 0.06
_NEWEST_ANSWER_WEIGHT = 0.1
_INITIAL_MEAN_SECONDS = 0.05


class Forwarder(Service):
    """Forwards requests and buffers each answer until it is complete.

    A repeatable request is sent to a second target when the first is slow or fails. Any
    other request is sent to another target only if the first certainly did not run it.

    :param usage: counts the requests that targets began; None counts nothing.
    """

    name = "forwarder"
    requires = (
        "events",
        "metrics",
        "directory",
        "send_permits",
        "crashes",
        "second_attempts",
        "target_client",
    )

    def __init__(
        self, zone: str, rng: random.Random, usage: UsageCounter | None = None
    ) -> None:
        super().__init__()
        self.usage = usage
        self.zone = zone
        self.waiting = Waiting()
        self._rng = rng
        self._policy = LeastLoaded(rng)
        self._state_by_target: dict[str, TargetState] = {}
        self._mean_seconds_by_service: dict[str, float] = {}

    async def start(self) -> None:
        """Let the budget of second attempts see the calls that are in flight."""
        self.kernel.get(SecondAttempts).in_flight_at = self.in_flight_at
        self.kernel.get(Metrics).register_gauge("queue", self.waiting.count_by_service)

    async def stop(self) -> None:
        """Refuse the requests that wait."""
        self.waiting.close()
        await super().stop()

    async def forward(self, route: Route, request: Request) -> Answer:
        """Return the complete answer of a target.

        :raises RefusedError: no target ran the request, and none will run it.
        :raises OutcomeUnknownError: a target may have run it.
        """
        started_at = clock.now()
        service = self.choose_service(route)
        try:
            await self.kernel.get(Crashes).admit(request)
            if route.kind.repeatable:
                self.kernel.get(SecondAttempts).begin(service)
            answer = await self._attempts(route, service, request).answer()
        except CranberryrunError as error:
            outcome = "refused" if isinstance(error, RefusedError) else "unknown"
            self.record_outcome(
                route, service, request, started_at, outcome, error.detail
            )
            raise
        except asyncio.CancelledError:
            self.record_outcome(
                route, service, request, started_at, "caller_gone", "cancelled"
            )
            raise
        self.record_outcome(
            route, service, request, started_at, "answered", str(answer.status)
        )
        return answer

    def _attempts(
        self, route: Route, service: str, request: Request
    ) -> Attempts | QueuedAttempts:
        """Return the attempts at a request, which may wait only with workspaces."""
        manifest = self.kernel.get(Directory).manifest
        if manifest is None or manifest.keyring is None:
            return Attempts(self, route, service, request)
        return QueuedAttempts(self, route, service, request)

    def record_outcome(
        self,
        route: Route,
        service: str,
        request: Request,
        started_at: float,
        outcome: str,
        reason: str,
    ) -> None:
        """Count and log the outcome of a request."""
        seconds = clock.now() - started_at
        self.kernel.get(Metrics).request(service, outcome, seconds)
        if outcome != "refused":
            self.kernel.get(SecondAttempts).record_run(service)
        event_name = {
            "answered": "request_answered",
            "refused": "request_refused",
            "unknown": "request_unknown",
            "caller_gone": "caller_gone",
        }[outcome]
        manifest = self.kernel.get(Directory).manifest
        self.kernel.get(Events).emit(
            event_name,
            request=request.id,
            route=route.name,
            service=service,
            manifest=manifest.version if manifest is not None else None,
            seconds=round(seconds, 4),
            left=round(request.deadline - clock.now(), 3),
            reason=reason,
        )

    def choose_service(self, route: Route) -> str:
        """Return a service of ``route``, chosen at random by the weights."""
        weights = [backend.weight for backend in route.backends]
        return self._rng.choices(route.backends, weights)[0].service

    def dry_run(self) -> Forwarder:
        """Return a forwarder that chooses as this one does next, without changing it.

        Without a copy of the random state, asking where a request would go would
        change where the next one goes.
        """
        twin = copy.copy(self)
        twin._rng = random.Random()
        twin._rng.setstate(self._rng.getstate())
        twin._policy = LeastLoaded(twin._rng)
        twin._state_by_target = dict(self._state_by_target)
        return twin

    def choose_target(
        self, service: str, tried: set[str], origin: Origin | None = None
    ) -> Target | None:
        """Return the target for the next attempt; None if no target is left."""
        candidates = self.candidates(service, tried, origin)
        chosen = self._policy.choose(candidates, RoutingHints(self.zone))
        if chosen is None:
            return None
        return self.kernel.get(Directory).target_by_id[chosen.id]

    def candidates(
        self, service: str, tried: set[str], origin: Origin | None = None
    ) -> list[Candidate]:
        """Return the targets of which one may get the next attempt.

        Targets in cooldown are chosen only if there are no others, and targets whose
        limit is used up are not chosen.

        :param origin: where the stream began that the target is to go on with.
        """
        permits = self.kernel.get(SendPermits)
        targets = {
            target.id: target
            for target in self.kernel.get(Directory).targets_of(service)
            if target.id not in tried
            and not permits.exhausted(target.id)
            and (origin is None or origin.allows(target))
        }
        usable = [
            target_id
            for target_id in targets
            if self.state_of(target_id).health.usable()
        ]
        return [
            Candidate(
                id=target_id,
                zone=targets[target_id].zone,
                slots=targets[target_id].slots,
                in_flight=self.state_of(target_id).in_flight,
            )
            for target_id in usable or targets
        ]

    def choose_second_target(self, service: str, first: Target) -> Target | None:
        """Return the target for an attempt beside ``first``; None if all are full.

        Unlike for a first attempt, a target in cooldown or without a free slot is never
        chosen.
        """
        permits = self.kernel.get(SendPermits)
        targets = {
            target.id: target
            for target in self.kernel.get(Directory).targets_of(service)
            if target.id != first.id and not permits.exhausted(target.id)
        }
        candidates = [
            Candidate(
                id=second.id,
                zone=second.zone,
                slots=second.slots,
                in_flight=second.in_flight,
            )
            for second in second_targets(
                [self.second_target(target) for target in targets.values()], first.zone
            )
        ]
        chosen = self._policy.choose(candidates, RoutingHints(self.zone))
        return targets[chosen.id] if chosen is not None else None

    def second_target(self, target: Target) -> SecondTarget:
        """Return what this host knows of a target that may get a second attempt."""
        state = self.state_of(target.id)
        health = state.health
        return SecondTarget(
            id=target.id,
            zone=target.zone,
            slots=target.slots,
            in_flight=state.in_flight,
            usable=health.usable() and not health.probing() and not health.refusals,
        )

    def no_target_error(self, service: str) -> NoTargetError:
        """Return the error of a request for which no target is left."""
        permits = self.kernel.get(SendPermits)
        waits = [
            permits.seconds_until_permit(target.id)
            for target in self.kernel.get(Directory).targets_of(service)
        ]
        if not waits or min(waits) <= 0:
            return NoTargetError(
                f"service {service} has no target that accepts requests",
                retry_after=RETRY_AFTER_SECONDS,
            )
        return TargetLimitedError(
            f"the targets of service {service} take no more requests for now, as they "
            "named limits",
            retry_after=max(RETRY_AFTER_SECONDS, min(waits)),
        )

    def state_of(self, target_id: str) -> TargetState:
        """Return the state of a target; a new one at its first use."""
        state = self._state_by_target.get(target_id)
        if state is None:
            target_by_id = self.kernel.get(Directory).target_by_id
            drop_absent(self._state_by_target, target_by_id)
            state = self._state_by_target[target_id] = TargetState()
        return state

    def in_flight_at(self, target_id: str) -> int:
        """Return how many calls of this host a target runs now."""
        return self.state_of(target_id).in_flight

    def may_hedge(self, request: Request) -> bool:
        """Return whether a second target may run the request beside the first."""
        return self.kernel.get(Crashes).may_hedge(request)

    def may_repeat(self, request: Request) -> bool:
        """Return whether a request that may have run may go to another target."""
        return self.kernel.get(Crashes).may_repeat(request)

    def hedge_delay(self, service: str) -> float:
        """Return the seconds to wait for an answer before a hedged request is sent."""
        mean = self._mean_seconds_by_service.get(service, _INITIAL_MEAN_SECONDS)
        return max(_MIN_HEDGE_DELAY_SECONDS, _HEDGE_FACTOR * mean)

    def record_answer_time(self, service: str, seconds: float) -> None:
        """Add the time of one answer to the moving average of ``service``."""
        mean = self._mean_seconds_by_service.get(service, _INITIAL_MEAN_SECONDS)
        self._mean_seconds_by_service[service] = mean + _NEWEST_ANSWER_WEIGHT * (
            seconds - mean
        )

    async def send(
        self,
        target: Target,
        request: Request,
        usage: RequestUsage,
        repeated: bool = False,
    ) -> Answer:
        """Send ``request`` to ``target`` once and record the result.

        :param repeated: whether targets refused the request a moment ago.
        :raises TargetLimitedError: the target's limit allows no request; none was sent.
        :raises RefusedError: the target did not run the request.
        :raises OutcomeUnknownError: it may have run the request.
        """
        await self.kernel.get(SendPermits).acquire(target)
        state = self.state_of(target.id)
        state.in_flight += 1
        started_at = clock.now()
        freed = True
        try:
            with usage.attempt():
                answer = await self.kernel.get(TargetClient).send(target, request)
        except Exception as error:
            failure = log_failure_of(self.kernel, error)
            if not isinstance(failure, RefusedError):
                state.health.record_failure()
                self._record_time(target, started_at, complete=False)
            else:
                freed = False
                if not repeated:
                    state.health.record_refusal()
            self.record_failed_attempt(request, target, started_at, failure)
            await self.kernel.get(Crashes).examine(target, request, failure)
            raise failure from None
        except asyncio.CancelledError:
            self.kernel.get(Crashes).suspect(target, request)
            self._record_time(target, started_at, complete=False)
            raise
        finally:
            state.in_flight -= 1
            state.last_result_at = clock.now()
            if freed:
                self.waiting.open_turn(target.service)
        if answer.status >= SERVER_ERROR_STATUS:
            state.health.record_failure()
            reason = TargetFailedError(
                f"target {target.id} answered with status {answer.status}"
            )
            self.record_failed_attempt(request, target, started_at, reason)
            return answer
        state.health.record_answer()
        self.kernel.get(Crashes).record_answer(request)
        self.record_answer_time(target.service, clock.now() - started_at)
        self._record_time(target, started_at, complete=True)
        return answer

    def _record_time(self, target: Target, started_at: float, complete: bool) -> None:
        seconds = clock.now() - started_at
        self.kernel.get(SecondAttempts).record_time(target.service, seconds, complete)

    def record_failed_attempt(
        self,
        request: Request,
        target: Target,
        started_at: float,
        error: CranberryrunError,
    ) -> None:
        """Count and log a failed attempt."""
        self.kernel.get(Metrics).retry(target.service)
        self.kernel.get(Events).emit(
            "target_failed",
            request=request.id,
            target=target.id,
            code=error.code,
            seconds=round(clock.now() - started_at, 4),
            reason=error.detail,
        )
