"""Request routing: sends requests of callers to plain services and to engines."""

from __future__ import annotations

import asyncio
import random
from collections import defaultdict

from . import clock
from .admission import Admission
from .configuration import Configuration
from .crash_suspects import CrashSuspects
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
from .requests.crash_records import RequestCrashesTargetsError
from .retries import RetryBudget, RetryState
from .routing import RoutingHints, RoutingPolicy
from .services import Answer, Call, HttpServiceClient, ServiceClient, Sink
from .settings import Settings
from .state import Resource
from .targets import Targets, TargetSink, TargetState

_RETRY_AFTER_SECONDS = 1.0
_AFFINITY_KEY_CHARACTERS = 256  # from the start of the prompt
# Only an answer below shows that a call does its target no harm.
_SERVER_ERROR_STATUS = 500
_ATTEMPT_TIMEOUT_SHARE = 1 / 3  # of the service's timeout; leaves time for retries


class RequestRouter(Service):
    """Routes each request to a usable target; retries only if a second run is safe."""

    name = "traffic"
    requires = ("configuration", "engines", "http", "events", "pauses", "metrics")

    def __init__(
        self, settings: Settings, policy: RoutingPolicy, rng: random.Random
    ) -> None:
        super().__init__()
        self._settings = settings
        self._policy = policy
        self._rng = rng
        self._suspects = CrashSuspects()
        self._targets_by_service: dict[str, Targets] = {}
        self._admission_by_service: dict[str, Admission] = {}
        self._budget_by_service: dict[str, RetryBudget] = defaultdict(
            lambda: RetryBudget(settings.limits.retry_share)
        )

    async def start(self) -> None:
        """Register the gauge of the queue lengths."""
        self.kernel.get(Metrics).register_gauge("queue", self._queue_length_by_service)

    def _queue_length_by_service(self) -> dict[str, int]:
        return {
            service: admission.waiting
            for service, admission in self._admission_by_service.items()
        }

    def client_for(self, target: ServiceTarget) -> ServiceClient:
        """Return a client for ``target``; tests override this method."""
        return HttpServiceClient(
            target,
            self.kernel.get(HttpClients),
            self._settings.timing.connect_timeout,
        )

    def service(self, name: str) -> Resource:
        """Return the declared service ``name``.

        :raises NotFoundError: no such service is declared.
        :raises NotReadyError: this host has no configuration yet.
        """
        configuration = self.kernel.get(Configuration)
        if not configuration.ready.is_set():
            raise NotReadyError("the host has no configuration yet", retry_after=1)
        resource = configuration.state.get("services", name)
        if resource is None:
            raise NotFoundError(f"services/{name} does not exist")
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
        """Return the target's answer to ``call``; a large one is written to ``sink``.

        Without a sink the returned answer is complete. If the answer has begun in
        ``sink`` when this raises, the caller may have received part of it: abort the
        connection, so that the caller does not take that part for a complete answer.

        :raises RefusedError: no part of the call was run.
        :raises OutcomeUnknownError: the call may have been run.
        """
        resource = self.service(call.service)
        started_at = clock.now()
        try:
            self._refuse_if_crashing(call)
            async with self._admission(resource).hold_slot(call.deadline):
                answer = await self._send_with_retries(resource.spec, call, sink)
        except CranberryrunError as error:
            self._report_failure(call, error, clock.now() - started_at)
            raise
        self.kernel.get(Events).emit(
            "request_answered", request=call.request, status=answer.status
        )
        self._record_outcome(call, "answered", clock.now() - started_at)
        return answer

    def _refuse_if_crashing(self, call: Call) -> None:
        """Return if the call may be sent now.

        :raises RequestCrashesTargetsError: targets ended under the call.
        """
        if self._suspects.empty:
            return
        decision = self._suspects.decide(_fingerprint(call), clock.now())
        if decision.trial is not None and decision.wait > 0:
            raise RequestCrashesTargetsError.after(decision)

    def _report_failure(
        self, call: Call, error: CranberryrunError, seconds: float
    ) -> None:
        was_refused = isinstance(error, (RefusedError, RequestError))
        name = "request_refused" if was_refused else "request_unknown"
        self.kernel.get(Events).emit(
            name, request=call.request, error=error.code, reason=error.detail
        )
        if isinstance(error, CallerGoneError):
            self._record_outcome(call, "caller_gone", seconds)
            return
        self._record_outcome(call, "refused" if was_refused else "unknown", seconds)

    def _record_outcome(self, call: Call, outcome: str, seconds: float) -> None:
        self.kernel.get(Metrics).request(call.service, outcome, seconds)

    async def _send_with_retries(
        self, spec: ServiceSpec, call: Call, sink: Sink | None
    ) -> Answer:
        repeatable = call.method in spec.repeatable and call.key is None
        retry_state = RetryState(repeatable, self._budget_by_service[call.service])
        tried: set[str] = set()
        while True:
            try:
                return await self._send_attempt(spec, call, repeatable, tried, sink)
            except CranberryrunError as error:
                answer_begun = sink is not None and sink.begun
                deadline_passed = clock.now() >= call.deadline
                if (
                    not retry_state.should_retry(error)
                    or answer_begun
                    or deadline_passed
                    or not self._suspects.may_repeat(_fingerprint(call))
                ):
                    raise retry_state.final_error(error) from None
                self._report_retry(call, error)
            # Every attempt so far used a different target: retry without a delay.
            if len(tried) == retry_state.count:
                continue
            await asyncio.sleep(retry_state.retry_delay(self._rng))

    def _report_retry(self, call: Call, error: CranberryrunError) -> None:
        self.kernel.get(Events).emit(
            "request_retried",
            request=call.request,
            error=error.code,
            reason=error.detail,
        )
        self.kernel.get(Metrics).retry(call.service)

    async def _send_attempt(
        self,
        spec: ServiceSpec,
        call: Call,
        repeatable: bool,
        tried: set[str],
        sink: Sink | None,
    ) -> Answer:
        await self._refresh_views()
        if clock.now() >= call.deadline:
            raise DeadlineError("the deadline passed before the request was sent")
        if spec.pool is not None:
            return await self._send_to_engine(spec, call, tried, sink)
        state = self._choose_target(spec, call, tried)
        tried.add(state.target.id)
        self.kernel.get(Events).emit(
            "request_routed", request=call.request, target=state.target.id
        )
        min_idle_timeout = spec.timeout
        if repeatable:
            min_idle_timeout = max(
                self._suspect_timeout, spec.timeout * _ATTEMPT_TIMEOUT_SHARE
            )
        idle_timeout = state.idle_timeout(min_idle_timeout)
        return await self._send_to_target(state, call, repeatable, idle_timeout, sink)

    async def _refresh_views(self) -> None:
        """Refresh this host's views if they are stale.

        :raises IsolatedError: this host has no contact with any other host.
        """
        pauses = self.kernel.get(PauseDetector)
        await pauses.refresh_if_stale()
        if pauses.is_isolated():
            raise IsolatedError(
                "this host has no contact with any other host", retry_after=1
            )

    @property
    def _suspect_timeout(self) -> float:
        return self._settings.timing.suspect_after

    async def _send_to_target(
        self,
        state: TargetState,
        call: Call,
        repeatable: bool,
        idle_timeout: float,
        sink: Sink | None,
    ) -> Answer:
        started_at = clock.now()
        target_sink = None if sink is None else TargetSink(state, sink)
        state.request_started()
        try:
            answer = await state.client.send(
                call, repeatable, idle_timeout, target_sink
            )
        except CranberryrunError as error:
            self._record_target_error(state, error, clock.now() - started_at)
            self._record_suspect(state, call, error)
            raise
        finally:
            state.request_ended()
        answered_at = target_sink.began_at if answer.streamed else clock.now()
        if not self._suspects.empty and answer.status < _SERVER_ERROR_STATUS:
            self._suspects.record_answer(state.target.id, _fingerprint(call))
        if state.record_answer(answered_at - started_at):
            self.kernel.get(Events).emit("target_back", target=state.target.id)
        return answer

    def _record_suspect(
        self, state: TargetState, call: Call, error: CranberryrunError
    ) -> None:
        now = clock.now()
        if isinstance(error, TargetUnreachableError):
            self._suspects.record_unreachable(state.target.id, now)
        elif isinstance(error, TargetFailedError) and not isinstance(
            error, TargetTimeoutError
        ):
            self._suspects.record_lost(state.target.id, _fingerprint(call), now)

    def _record_target_error(
        self, state: TargetState, error: CranberryrunError, seconds: float
    ) -> None:
        """Record ``error`` in the target's health.

        A timeout counts as a failure only after the suspect timeout, since a short
        deadline of the caller is not a fault of the target.
        """
        if isinstance(error, TargetRefusedError):
            failing = state.health.record_refusal()
        elif isinstance(error, TargetTimeoutError):
            state.record_duration(seconds)
            failing = seconds >= self._suspect_timeout and state.health.record_failure()
        elif isinstance(error, (TargetUnreachableError, TargetFailedError)):
            failing = state.health.record_failure()
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
            targets = Targets(self.client_for, self._suspect_timeout)
            self._targets_by_service[call.service] = targets
        targets.apply_declared(spec.targets)
        is_leaving = self.kernel.get(Membership).target_leaving
        return targets.choose(self._policy, self._settings.zone, is_leaving, tried)

    async def _send_to_engine(
        self, spec: ServiceSpec, call: Call, tried: set[str], sink: Sink | None
    ) -> Answer:
        """Generate the answer on an engine of the service's pool."""
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
            engines.record_failure(engine, error)
            raise
        except TargetRefusedError:
            raise
        except BaseException as error:
            # Nothing reads the rest of the stream, also if this task was cancelled.
            self.spawn(engine.client.cancel(order.stream))
            if isinstance(error, TargetFailedError) and clock.now() < call.deadline:
                engines.record_failure(engine, error)
            raise
        finally:
            engine.in_flight -= 1

    def _choose_engine(self, pool: str, prompt: str, tried: set[str]) -> Engine:
        engines = self.kernel.get(Engines)
        usable = engines.usable(pool)
        untried = [engine for engine in usable if engine.name not in tried]
        chosen = self._policy.choose(
            [engine.candidate() for engine in untried or usable],
            RoutingHints(self._settings.zone, prompt[:_AFFINITY_KEY_CHARACTERS]),
        )
        if chosen is None:
            raise NoTargetError(
                f"pool {pool} has no usable engine now",
                retry_after=_RETRY_AFTER_SECONDS,
            )
        return engines.by_name[chosen.id]


def _fingerprint(call: Call) -> str:
    """Return the same text for all repeats of a call, whatever their ids."""
    return f"{call.service}/{call.caller}/{call.digest()}"
