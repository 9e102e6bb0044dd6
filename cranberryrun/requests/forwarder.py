"""Forwards callers' requests to targets, with retries and hedged requests."""

from __future__ import annotations

import asyncio
import random

from .. import clock
from ..events import Events
from ..exceptions import (
    CranberryrunError,
    DeadlineError,
    NoTargetError,
    OutcomeUnknownError,
    RefusedError,
    TargetFailedError,
    TargetTimeoutError,
    TargetUnreachableError,
)
from ..fleet.client import Answer, Request, TargetClient
from ..fleet.directory import Directory, Target
from ..fleet.manifest import Route
from ..fleet.origin import Origin
from ..fleet.rate_limits import TargetLimitedError
from ..fleet.send_permits import SendPermits
from ..kernel import Service
from ..metrics import Metrics
from ..routing import Candidate, LeastLoaded, RoutingHints
from ..usage_counts.counter import RequestUsage, UsageCounter
from .crashes import Crashes
from .target_state import TargetState

# A hedged request is sent when an answer takes this many times the mean.
_HEDGE_FACTOR = 3.0
_MIN_HEDGE_DELAY_SECONDS = 0.06
_NEWEST_ANSWER_WEIGHT = 0.1
_INITIAL_MEAN_SECONDS = 0.05
_RETRY_AFTER_SECONDS = 0.2
# Statuses from here on say that the target failed, not that the request is malformed.
_SERVER_ERROR_STATUS = 500


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
        "target_client",
    )

    def __init__(
        self, zone: str, rng: random.Random, usage: UsageCounter | None = None
    ) -> None:
        super().__init__()
        self.usage = usage
        self._zone = zone
        self._rng = rng
        self._policy = LeastLoaded(rng)
        self._state_by_target: dict[str, TargetState] = {}
        self._mean_seconds_by_service: dict[str, float] = {}

    async def forward(self, route: Route, request: Request) -> Answer:
        """Return the complete answer of a target.

        :raises RefusedError: no target ran the request, and none will run it.
        :raises OutcomeUnknownError: a target may have run it.
        """
        started_at = clock.now()
        service = self.choose_service(route)
        try:
            await self.kernel.get(Crashes).admit(request)
            answer = await _Attempts(self, route, service, request).answer()
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

    def choose_target(
        self, service: str, tried: set[str], origin: Origin | None = None
    ) -> Target | None:
        """Return the target for the next attempt; None if no target is left.

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
        candidates = [
            Candidate(
                id=target_id,
                zone=targets[target_id].zone,
                slots=targets[target_id].slots,
                in_flight=self.state_of(target_id).in_flight,
            )
            for target_id in usable or targets
        ]
        chosen = self._policy.choose(candidates, RoutingHints(self._zone))
        return targets[chosen.id] if chosen is not None else None

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
                retry_after=_RETRY_AFTER_SECONDS,
            )
        return TargetLimitedError(
            f"the targets of service {service} take no more requests for now, as they "
            "named limits",
            retry_after=max(_RETRY_AFTER_SECONDS, min(waits)),
        )

    def state_of(self, target_id: str) -> TargetState:
        """Return the state of a target; a new one at its first use."""
        return self._state_by_target.setdefault(target_id, TargetState())

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
        self, target: Target, request: Request, usage: RequestUsage
    ) -> Answer:
        """Send ``request`` to ``target`` once and record the result.

        :raises TargetLimitedError: the target's limit allows no request; none was sent.
        """
        await self.kernel.get(SendPermits).acquire(target)
        state = self.state_of(target.id)
        state.in_flight += 1
        started_at = clock.now()
        try:
            with usage.attempt():
                answer = await self.kernel.get(TargetClient).send(target, request)
        except RefusedError as error:
            state.health.record_refusal()
            self.record_failed_attempt(request, target, started_at, error)
            await self.kernel.get(Crashes).examine(target, request, error)
            raise
        except TargetFailedError as error:
            state.health.record_failure()
            self.record_failed_attempt(request, target, started_at, error)
            await self.kernel.get(Crashes).examine(target, request, error)
            raise
        except asyncio.CancelledError:
            self.kernel.get(Crashes).suspect(target, request)
            raise
        finally:
            state.in_flight -= 1
        if answer.status >= _SERVER_ERROR_STATUS:
            state.health.record_failure()
            reason = TargetFailedError(
                f"target {target.id} answered with status {answer.status}"
            )
            self.record_failed_attempt(request, target, started_at, reason)
            return answer
        state.health.record_answer()
        self.kernel.get(Crashes).record_answer(request)
        self.record_answer_time(target.service, clock.now() - started_at)
        return answer

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


class _Attempts:
    """The attempts at one request, each of which sends it to another target."""

    def __init__(
        self, forwarder: Forwarder, route: Route, service: str, request: Request
    ) -> None:
        self._forwarder = forwarder
        self._route = route
        self._service = service
        self._request = request
        self._usage = RequestUsage(forwarder.usage, request)
        self._tried: set[str] = set()
        self._unsent_count = 0
        self._running: set[asyncio.Task[Answer]] = set()
        self._error_to_raise: CranberryrunError | None = None
        self._error_answer: Answer | None = None

    async def answer(self) -> Answer:
        """Return the first complete answer; attempts that still run are cancelled.

        For a repeatable request an answer with a server error is returned only if no
        other target gives a better answer.
        """
        try:
            async with asyncio.timeout_at(self._request.deadline):
                return await self._first_answer()
        except TimeoutError:
            if self._error_answer is not None:
                return self._error_answer
            raise self._final_error(deadline_passed=True) from None
        finally:
            self._usage.close()
            for task in self._running:
                task.add_done_callback(_discard_outcome)
                task.cancel()

    async def _first_answer(self) -> Answer:
        self._start_attempt()
        while self._running:
            may_hedge = (
                self._route.kind.repeatable
                and self._forwarder.may_hedge(self._request)
                and self._may_start_attempt()
            )
            hedge_delay = (
                self._forwarder.hedge_delay(self._service) if may_hedge else None
            )
            done, self._running = await asyncio.wait(
                self._running, timeout=hedge_delay, return_when=asyncio.FIRST_COMPLETED
            )
            if not done:
                self._start_attempt()
                continue
            for task in done:
                if task.exception() is None and not self._should_retry(task.result()):
                    return task.result()
            for task in done:
                self._handle_failure(task)
        if self._error_answer is not None:
            return self._error_answer
        raise self._final_error(deadline_passed=False)

    def _should_retry(self, answer: Answer) -> bool:
        """Return whether another target may give a better answer than ``answer``."""
        return answer.status >= _SERVER_ERROR_STATUS and self._route.kind.repeatable

    def _handle_failure(self, task: asyncio.Task[Answer]) -> None:
        error = task.exception()
        if error is None:
            self._error_answer = task.result()
        elif isinstance(error, CranberryrunError):
            may_have_run = isinstance(error, OutcomeUnknownError)
            if self._error_to_raise is None or may_have_run:
                self._error_to_raise = error
            if isinstance(error, (TargetLimitedError, TargetUnreachableError)):
                # Nothing was sent, so another target may still be tried instead.
                self._unsent_count += 1
            # Another attempt could run the request a second time.
            if may_have_run and not self._may_run_again():
                return
        else:
            raise error
        if not self._running and self._may_start_attempt():
            self._start_attempt()

    def _may_run_again(self) -> bool:
        return self._route.kind.repeatable and self._forwarder.may_repeat(self._request)

    def _may_start_attempt(self) -> bool:
        sent_count = len(self._tried) - self._unsent_count
        if sent_count >= max(1, self._route.max_attempts):
            return False
        return self._forwarder.choose_target(self._service, self._tried) is not None

    def _start_attempt(self) -> None:
        target = self._forwarder.choose_target(self._service, self._tried)
        if target is None:
            return
        self._tried.add(target.id)
        attempt = self._forwarder.send(target, self._request, self._usage)
        self._running.add(asyncio.get_running_loop().create_task(attempt))

    def _final_error(self, deadline_passed: bool) -> CranberryrunError:
        if deadline_passed and self._tried:
            return TargetTimeoutError("no target answered before the deadline")
        if deadline_passed:
            return DeadlineError(
                "the deadline passed before the request was sent to a target",
                retry_after=0,
            )
        if self._error_to_raise is None or isinstance(
            self._error_to_raise, TargetLimitedError
        ):
            return self._forwarder.no_target_error(self._service)
        if isinstance(self._error_to_raise, RefusedError):
            self._error_to_raise.retry_after = _RETRY_AFTER_SECONDS
        return self._error_to_raise


def _discard_outcome(task: asyncio.Task[Answer]) -> None:
    """Retrieve the exception of an abandoned attempt.

    Otherwise asyncio would warn that the exception was never retrieved. The attempt
    has already logged its failure.
    """
    if not task.cancelled():
        task.exception()
