"""Request traffic: from callers to plain services and to engines."""

from __future__ import annotations

import asyncio
import random
from collections import defaultdict

from . import clock
from .admission import Admission
from .configuration import Configuration
from .engine_requests import generate, stream_order_for
from .engines import Engine, Engines
from .events import Events
from .exceptions import (
    CallerGoneError,
    CranberryrunError,
    DeadlineError,
    IsolatedError,
    NoTargetError,
    NotFoundError,
    NotReadyError,
    RefusedError,
    RequestError,
    TargetFailedError,
    TargetRefusedError,
    TargetTimeoutError,
    TargetUnreachableError,
)
from .http import HttpClients
from .kernel import Service
from .membership import Membership
from .metrics import Metrics
from .models import GroupRequest, ServiceSpec, ServiceTarget, check_json
from .pause_detector import PauseDetector
from .retries import RetryBudget, RetryState
from .routing import RoutingHints, RoutingPolicy
from .services import Answer, Call, HttpServiceClient, ServiceClient, Sink
from .settings import Settings
from .state import Resource
from .targets import Targets, TargetSink, TargetState

_RETRY_AFTER_SECONDS = 1.0
_PREFIX_CHARACTERS = 256
_ATTEMPT_SHARE = 1 / 3


class Traffic(Service):
    """Sends each request to one usable target; again only where that is safe."""

    name = "traffic"
    requires = ("configuration", "engines", "http", "events", "pauses", "metrics")

    def __init__(
        self, settings: Settings, policy: RoutingPolicy, rng: random.Random
    ) -> None:
        super().__init__()
        self._settings = settings
        self._policy = policy
        self._rng = rng
        self._targets_by_service: dict[str, Targets] = {}
        self._admission_by_service: dict[str, Admission] = {}
        self._budget_by_service: dict[str, RetryBudget] = defaultdict(
            lambda: RetryBudget(settings.limits.retry_share)
        )

    async def start(self) -> None:
        """Let the queue be measured."""
        self.kernel.get(Metrics).register_gauge("queue", self._waiting)

    def _waiting(self) -> dict[str, int]:
        return {
            service: admission.waiting
            for service, admission in self._admission_by_service.items()
        }

    def client_for(self, target: ServiceTarget) -> ServiceClient:
        """Return a client; tests put another one here."""
        return HttpServiceClient(
            target,
            self.kernel.get(HttpClients),
            self._settings.timing.connect_timeout,
        )

    def service(self, name: str) -> Resource:
        """Return the service; :raises NotFoundError, NotReadyError:."""
        configuration = self.kernel.get(Configuration)
        if not configuration.ready.is_set():
            raise NotReadyError("the host has no configuration yet", retry_after=1)
        resource = configuration.state.get("services", name)
        if resource is None:
            raise NotFoundError(f"there is no services/{name}")
        return resource

    def _admission(self, resource: Resource) -> Admission:
        admission = self._admission_by_service.get(resource.name)
        if admission is None:
            admission = Admission(
                resource.spec.concurrency, self._settings.limits.queue
            )
            self._admission_by_service[resource.name] = admission
        admission.resize(resource.spec.concurrency)
        return admission

    async def send(self, call: Call, sink: Sink | None = None) -> Answer:
        """Return the target's answer to ``call``; a large one goes to ``sink``.

        Without a sink the answer is whole. If a sink was begun when this raises,
        the answer is cut and must be seen to be.

        :raises RefusedError: no part of it was run.
        :raises OutcomeUnknownError: it may have been run.
        """
        resource = self.service(call.service)
        began = clock.now()
        try:
            async with self._admission(resource).enter(call.deadline):
                answer = await self._attempts(resource.spec, call, sink)
        except CranberryrunError as error:
            self._note_failure(call, error, clock.now() - began)
            raise
        self.kernel.get(Events).emit(
            "request_answered", request=call.request, status=answer.status
        )
        self._measure(call, "answered", clock.now() - began)
        return answer

    def _note_failure(
        self, call: Call, error: CranberryrunError, seconds: float
    ) -> None:
        refused = isinstance(error, (RefusedError, RequestError))
        name = "request_refused" if refused else "request_unknown"
        self.kernel.get(Events).emit(name, request=call.request, error=error.code)
        if isinstance(error, CallerGoneError):
            self._measure(call, "caller_gone", seconds)
            return
        self._measure(call, "refused" if refused else "unknown", seconds)

    def _measure(self, call: Call, outcome: str, seconds: float) -> None:
        self.kernel.get(Metrics).request(call.service, outcome, seconds)

    async def _attempts(
        self, spec: ServiceSpec, call: Call, sink: Sink | None
    ) -> Answer:
        repeatable = call.method in spec.repeatable and call.key is None
        attempts = RetryState(repeatable, self._budget_by_service[call.service])
        tried: set[str] = set()
        while True:
            try:
                return await self._attempt(spec, call, repeatable, tried, sink)
            except CranberryrunError as error:
                cut = sink is not None and sink.begun
                late = clock.now() >= call.deadline
                if not attempts.should_retry(error) or cut or late:
                    raise attempts.final_error(error) from None
                self._note_retry(call, error)
            if len(tried) == attempts.count:
                continue
            await asyncio.sleep(attempts.retry_delay(self._rng))

    def _note_retry(self, call: Call, error: CranberryrunError) -> None:
        self.kernel.get(Events).emit(
            "request_retried", request=call.request, error=error.code
        )
        self.kernel.get(Metrics).retry(call.service)

    async def _attempt(
        self,
        spec: ServiceSpec,
        call: Call,
        repeatable: bool,
        tried: set[str],
        sink: Sink | None,
    ) -> Answer:
        await self._check_views()
        if clock.now() >= call.deadline:
            raise DeadlineError("the deadline passed before the request was sent")
        if spec.pool is not None:
            return await self._to_engine(spec, call, tried, sink)
        state = self._choose_target(spec, call, tried)
        tried.add(state.target.id)
        self.kernel.get(Events).emit(
            "request_routed", request=call.request, target=state.target.id
        )
        least = spec.timeout
        if repeatable:
            least = max(self._silence, spec.timeout * _ATTEMPT_SHARE)
        patience = state.patience(least)
        return await self._to_target(state, call, repeatable, patience, sink)

    async def _check_views(self) -> None:
        """Renew views that are old; :raises IsolatedError: if nobody is heard."""
        pauses = self.kernel.get(PauseDetector)
        await pauses.refresh_if_stale()
        if pauses.is_isolated():
            raise IsolatedError("this host hears no other", retry_after=1)

    @property
    def _silence(self) -> float:
        return self._settings.timing.suspect_after

    async def _to_target(
        self,
        state: TargetState,
        call: Call,
        repeatable: bool,
        patience: float,
        sink: Sink | None,
    ) -> Answer:
        began = clock.now()
        watched = None if sink is None else TargetSink(state, sink)
        state.sent()
        try:
            answer = await state.client.send(call, repeatable, patience, watched)
        except CranberryrunError as error:
            self._note_error(state, error, clock.now() - began)
            raise
        finally:
            state.ended()
        ended = watched.began_at if answer.streamed else clock.now()
        if state.answered(ended - began):
            self.kernel.get(Events).emit("target_back", target=state.target.id)
        return answer

    def _note_error(
        self, state: TargetState, error: CranberryrunError, seconds: float
    ) -> None:
        """Judge the target by ``error``; a caller's short deadline is not its fault."""
        if isinstance(error, TargetRefusedError):
            failing = state.health.refused()
        elif isinstance(error, TargetTimeoutError):
            state.took(seconds)
            failing = seconds >= self._silence and state.health.failed()
        elif isinstance(error, (TargetUnreachableError, TargetFailedError)):
            failing = state.health.failed()
        else:
            return
        if failing:
            self.kernel.get(Events).emit(
                "target_failed", target=state.target.id, error=error.detail
            )

    def _choose_target(
        self, spec: ServiceSpec, call: Call, tried: set[str]
    ) -> TargetState:
        targets = self._targets_by_service.get(call.service)
        if targets is None:
            targets = Targets(self.client_for, self._silence)
            self._targets_by_service[call.service] = targets
        targets.declare(spec.targets)
        leaving = self.kernel.get(Membership).target_leaving
        return targets.choose(self._policy, self._settings.zone, leaving, tried)

    async def _to_engine(
        self, spec: ServiceSpec, call: Call, tried: set[str], sink: Sink | None
    ) -> Answer:
        """Generate an answer on an engine of the service's pool."""
        request = check_json(GroupRequest, call.body)
        engines = self.kernel.get(Engines)
        engine = self._choose_engine(spec.pool, request.prompt, tried)
        tried.add(engine.name)
        self.kernel.get(Events).emit(
            "request_routed", request=call.request, engine=engine.name
        )
        order = stream_order_for(call, spec, request)
        engine.in_flight += 1
        try:
            with engines.usage.stream(call.service, engine.spec.slots) as meter:
                return await generate(engine, order, call.deadline, sink, meter)
        except TargetUnreachableError as error:
            engines.failed(engine, error)
            raise
        except TargetRefusedError:
            raise
        except BaseException as error:
            # Nobody takes the rest, the caller's task having been cancelled, too.
            self.spawn(engine.client.cancel(order.stream))
            if isinstance(error, TargetFailedError) and clock.now() < call.deadline:
                engines.failed(engine, error)
            raise
        finally:
            engine.in_flight -= 1

    def _choose_engine(self, pool: str, prompt: str, tried: set[str]) -> Engine:
        engines = self.kernel.get(Engines)
        usable = engines.usable(pool)
        untried = [engine for engine in usable if engine.name not in tried]
        chosen = self._policy.choose(
            [engine.candidate() for engine in untried or usable],
            RoutingHints(self._settings.zone, prompt[:_PREFIX_CHARACTERS]),
        )
        if chosen is None:
            raise NoTargetError(
                f"no engine of pool {pool} may be used",
                retry_after=_RETRY_AFTER_SECONDS,
            )
        return engines.by_name[chosen.id]
