"""Sends a caller's request to a target, and again where its kind allows it."""

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
)
from ..fleet.client import Answer, Request, TargetClient
from ..fleet.directory import Directory, Target
from ..fleet.manifest import Route
from ..health import Health
from ..kernel import Service
from ..metrics import Metrics
from ..routing import Candidate, LeastLoaded, RoutingHints

# A second target is asked when an answer takes this many times the mean.
_HEDGE_FACTOR = 3.0
_LEAST_HEDGE_SECONDS = 0.06
_MEAN_WEIGHT = 0.1
_FIRST_MEAN_SECONDS = 0.05
_RETRY_AFTER_SECONDS = 0.2
# From this status on a target failed the request, though it is well formed.
_SERVER_ERROR = 500


class TargetUse:
    """What this host saw of one target of a plain service."""

    def __init__(self) -> None:
        self.health = Health()
        self.in_flight = 0


class Forwarder(Service):
    """Forwards requests whose answers are buffered whole before they are passed on.

    Repeatable requests go to a second target when the first is slow or fails; others
    go to another one only where the first certainly did not run them.
    """

    name = "forwarder"
    requires = ("events", "metrics", "directory", "target_client")

    def __init__(self, zone: str, rng: random.Random) -> None:
        super().__init__()
        self._zone = zone
        self._rng = rng
        self._policy = LeastLoaded(rng)
        self._use_by_target: dict[str, TargetUse] = {}
        self._mean_by_service: dict[str, float] = {}

    async def forward(self, route: Route, request: Request) -> Answer:
        """Return the whole answer of a target.

        :raises RefusedError: no target ran the request, and none will.
        :raises OutcomeUnknownError: a target may have run it.
        """
        began = clock.now()
        service = self.service_of(route)
        try:
            answer = await _Attempts(self, route, service, request).answer()
        except CranberryrunError as error:
            outcome = "refused" if isinstance(error, RefusedError) else "unknown"
            self.note(route, service, request, began, outcome, error.detail)
            raise
        except asyncio.CancelledError:
            self.note(route, service, request, began, "caller_gone", "cancelled")
            raise
        self.note(route, service, request, began, "answered", str(answer.status))
        return answer

    def note(
        self,
        route: Route,
        service: str,
        request: Request,
        began: float,
        outcome: str,
        reason: str,
    ) -> None:
        """Count and log how a request ended."""
        seconds = clock.now() - began
        self.kernel.get(Metrics).request(service, outcome, seconds)
        name = {
            "answered": "request_answered",
            "refused": "request_refused",
            "unknown": "request_unknown",
            "caller_gone": "caller_gone",
        }[outcome]
        manifest = self.kernel.get(Directory).manifest
        self.kernel.get(Events).emit(
            name,
            request=request.id,
            route=route.name,
            service=service,
            manifest=manifest.version if manifest is not None else None,
            seconds=round(seconds, 4),
            left=round(request.deadline - clock.now(), 3),
            reason=reason,
        )

    def service_of(self, route: Route) -> str:
        """Return the service that takes a request of ``route``, by the weights."""
        weights = [backend.weight for backend in route.backends]
        return self._rng.choices(route.backends, weights)[0].service

    def choose(self, service: str, tried: set[str]) -> Target | None:
        """Return the target that gets the next attempt, if there is one."""
        targets = {
            target.id: target
            for target in self.kernel.get(Directory).targets_of(service)
            if target.id not in tried
        }
        usable = [
            target_id for target_id in targets if self.use(target_id).health.usable()
        ]
        candidates = [
            Candidate(
                id=target_id,
                zone=targets[target_id].zone,
                slots=targets[target_id].slots,
                in_flight=self.use(target_id).in_flight,
            )
            for target_id in usable or targets
        ]
        chosen = self._policy.choose(candidates, RoutingHints(self._zone))
        return targets[chosen.id] if chosen is not None else None

    def use(self, target_id: str) -> TargetUse:
        """Return what is known of a target."""
        return self._use_by_target.setdefault(target_id, TargetUse())

    def hedge_after(self, service: str) -> float:
        """Return after how many seconds a second target is asked."""
        mean = self._mean_by_service.get(service, _FIRST_MEAN_SECONDS)
        return max(_LEAST_HEDGE_SECONDS, _HEDGE_FACTOR * mean)

    def took(self, service: str, seconds: float) -> None:
        """Count ``seconds`` as the time of an answer."""
        mean = self._mean_by_service.get(service, _FIRST_MEAN_SECONDS)
        self._mean_by_service[service] = mean + _MEAN_WEIGHT * (seconds - mean)

    async def send(self, target: Target, request: Request) -> Answer:
        """Send ``request`` to ``target`` once, and note how it did."""
        use = self.use(target.id)
        use.in_flight += 1
        began = clock.now()
        try:
            answer = await self.kernel.get(TargetClient).send(target, request)
        except RefusedError as error:
            use.health.refused()
            self.note_attempt(request, target, began, error)
            raise
        except TargetFailedError as error:
            use.health.failed()
            self.note_attempt(request, target, began, error)
            raise
        finally:
            use.in_flight -= 1
        if answer.status >= _SERVER_ERROR:
            use.health.failed()
            reason = TargetFailedError(f"it answered {answer.status}")
            self.note_attempt(request, target, began, reason)
            return answer
        use.health.answered()
        self.took(target.service, clock.now() - began)
        return answer

    def note_attempt(
        self, request: Request, target: Target, began: float, error: CranberryrunError
    ) -> None:
        """Count and log an attempt that failed."""
        self.kernel.get(Metrics).retry(target.service)
        self.kernel.get(Events).emit(
            "target_failed",
            request=request.id,
            target=target.id,
            code=error.code,
            seconds=round(clock.now() - began, 4),
            reason=error.detail,
        )


class _Attempts:
    """The attempts at one request."""

    def __init__(
        self, forwarder: Forwarder, route: Route, service: str, request: Request
    ) -> None:
        self._forwarder = forwarder
        self._route = route
        self._service = service
        self._request = request
        self._tried: set[str] = set()
        self._running: set[asyncio.Task[Answer]] = set()
        self._failure: CranberryrunError | None = None
        self._failing_answer: Answer | None = None

    async def answer(self) -> Answer:
        """Return the first whole answer; no attempt outlives this call.

        A target's own failure of a repeatable request is returned only if no other
        target does better.
        """
        try:
            async with asyncio.timeout_at(self._request.deadline):
                return await self._first_answer()
        except TimeoutError:
            if self._failing_answer is not None:
                return self._failing_answer
            raise self._verdict(late=True) from None
        finally:
            for task in self._running:
                task.add_done_callback(_retrieve)
                task.cancel()

    async def _first_answer(self) -> Answer:
        self._start()
        while self._running:
            may_hedge = self._route.kind.repeatable and self._may_start()
            wait = self._forwarder.hedge_after(self._service) if may_hedge else None
            done, self._running = await asyncio.wait(
                self._running, timeout=wait, return_when=asyncio.FIRST_COMPLETED
            )
            if not done:
                self._start()
                continue
            for task in done:
                if task.exception() is None and not self._may_do_better(task.result()):
                    return task.result()
            for task in done:
                self._failed(task)
        if self._failing_answer is not None:
            return self._failing_answer
        raise self._verdict(late=False)

    def _may_do_better(self, answer: Answer) -> bool:
        """Say whether another target may answer better than with ``answer``."""
        return answer.status >= _SERVER_ERROR and self._route.kind.repeatable

    def _failed(self, task: asyncio.Task[Answer]) -> None:
        error = task.exception()
        if error is None:
            self._failing_answer = task.result()
        elif isinstance(error, CranberryrunError):
            may_have_run = isinstance(error, OutcomeUnknownError)
            if self._failure is None or may_have_run:
                self._failure = error
            if may_have_run and not self._route.kind.repeatable:
                return
        else:
            raise error
        if not self._running and self._may_start():
            self._start()

    def _may_start(self) -> bool:
        if len(self._tried) >= max(1, self._route.max_attempts):
            return False
        return self._forwarder.choose(self._service, self._tried) is not None

    def _start(self) -> None:
        target = self._forwarder.choose(self._service, self._tried)
        if target is None:
            return
        self._tried.add(target.id)
        work = self._forwarder.send(target, self._request)
        self._running.add(asyncio.get_running_loop().create_task(work))

    def _verdict(self, late: bool) -> CranberryrunError:
        if late and self._tried:
            return TargetTimeoutError("no target answered before the deadline")
        if late:
            return DeadlineError("the deadline passed", retry_after=0)
        if self._failure is None:
            return NoTargetError(
                f"service {self._service} has no target now",
                retry_after=_RETRY_AFTER_SECONDS,
            )
        if isinstance(self._failure, RefusedError):
            self._failure.retry_after = _RETRY_AFTER_SECONDS
        return self._failure


def _retrieve(task: asyncio.Task[Answer]) -> None:
    """Take the outcome of an attempt that nobody waits for; it was logged."""
    if not task.cancelled():
        task.exception()
