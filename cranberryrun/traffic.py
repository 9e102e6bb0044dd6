"""Request traffic: from callers to plain services and to engines."""

from __future__ import annotations

import asyncio
import json
import random
from collections import defaultdict
from contextlib import aclosing, asynccontextmanager
from dataclasses import dataclass, field

from . import clock
from .configuration import Configuration
from .engines import Engines, StreamOrder
from .events import Events
from .exceptions import (
    CranberryrunError,
    DeadlineError,
    NoTargetError,
    NotFoundError,
    NotReadyError,
    OverloadedError,
    RefusedError,
    StreamCutError,
    TargetFailedError,
    TargetRefusedError,
    TargetUnreachableError,
    TruncatedAnswerError,
)
from .health import Health
from .http import HttpClients
from .kernel import Service
from .membership import Membership
from .models import GroupRequest, ServiceSpec, ServiceTarget, check_json
from .routing import Candidate, Need, RoutingPolicy
from .services import Answer, Call, HttpServiceClient, ServiceClient
from .settings import Settings
from .state import Resource

_MAX_ATTEMPTS = 3
_RETRY_TOKENS_MAX = 20.0
_RETRY_AFTER_SECONDS = 1.0


@dataclass(slots=True)
class TargetState:
    """A plain service's target as this host knows it."""

    target: ServiceTarget
    client: ServiceClient
    health: Health = field(default_factory=Health)
    in_flight: int = 0

    def candidate(self) -> Candidate:
        """Return the target as a candidate of a routing policy."""
        return Candidate(
            id=self.target.id, zone=self.target.zone, in_flight=self.in_flight
        )


@dataclass(slots=True)
class RetryBudget:
    """Lets retries be a share of the requests sent."""

    share: float
    tokens: float = _RETRY_TOKENS_MAX / 2

    def sent(self) -> None:
        """Note a first attempt."""
        self.tokens = min(_RETRY_TOKENS_MAX, self.tokens + self.share)

    def take(self) -> bool:
        """Take one retry, if there is one left."""
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


class Admission:
    """Bounds how many requests of a service run here, and how many wait."""

    def __init__(self, concurrency: int, queue: int) -> None:
        self._slots = asyncio.Semaphore(concurrency)
        self._queue = queue
        self._waiting = 0

    @asynccontextmanager
    async def enter(self, deadline: float):
        """Hold one place; :raises OverloadedError: if none comes free in time."""
        if self._slots.locked() and self._waiting >= self._queue:
            raise OverloadedError("the queue is full", retry_after=_RETRY_AFTER_SECONDS)
        self._waiting += 1
        try:
            async with asyncio.timeout(max(0.0, deadline - clock.now())):
                await self._slots.acquire()
        except TimeoutError:
            raise OverloadedError(
                "no place came free before the deadline",
                retry_after=_RETRY_AFTER_SECONDS,
            ) from None
        finally:
            self._waiting -= 1
        try:
            yield
        finally:
            self._slots.release()


class Traffic(Service):
    """Sends each request to one usable target; again only where that is safe."""

    name = "traffic"
    requires = ("configuration", "membership", "engines", "http", "events")

    def __init__(
        self, settings: Settings, policy: RoutingPolicy, rng: random.Random
    ) -> None:
        super().__init__()
        self._settings = settings
        self._policy = policy
        self._rng = rng
        self._targets_by_service: dict[str, dict[str, TargetState]] = {}
        self._admission_by_service: dict[str, tuple[int, Admission]] = {}
        self._budget_by_service: dict[str, RetryBudget] = defaultdict(
            lambda: RetryBudget(settings.limits.retry_share)
        )

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
        known = self._admission_by_service.get(resource.name)
        if known is None or known[0] != resource.offset:
            admission = Admission(
                resource.spec.concurrency, self._settings.limits.queue
            )
            known = (resource.offset, admission)
            self._admission_by_service[resource.name] = known
        return known[1]

    async def send(self, call: Call) -> Answer:
        """Return the target's whole answer to ``call``.

        :raises RefusedError: no part of it was run.
        :raises OutcomeUnknownError: it may have been run.
        """
        resource = self.service(call.service)
        events = self.kernel.get(Events)
        try:
            async with self._admission(resource).enter(call.deadline):
                answer = await self._attempts(resource.spec, call)
        except RefusedError as error:
            events.emit("request_refused", request=call.request, error=error.code)
            raise
        except CranberryrunError as error:
            events.emit("request_unknown", request=call.request, error=error.code)
            raise
        events.emit("request_answered", request=call.request, status=answer.status)
        return answer

    async def _attempts(self, spec: ServiceSpec, call: Call) -> Answer:
        repeatable = call.method in spec.repeatable and call.key is None
        budget = self._budget_by_service[call.service]
        budget.sent()
        tried: set[str] = set()
        attempt = 0
        while True:
            attempt += 1
            try:
                return await self._attempt(spec, call, repeatable, tried)
            except NoTargetError:
                raise
            except (RefusedError, TargetFailedError) as error:
                safe = isinstance(error, RefusedError) or repeatable
                late = clock.now() >= call.deadline
                if not safe or late or attempt >= _MAX_ATTEMPTS or not budget.take():
                    raise
                self.kernel.get(Events).emit(
                    "request_retried", request=call.request, error=error.code
                )

    async def _attempt(
        self, spec: ServiceSpec, call: Call, repeatable: bool, tried: set[str]
    ) -> Answer:
        if clock.now() >= call.deadline:
            raise DeadlineError("the deadline passed before the request was sent")
        if spec.pool is not None:
            return await self._to_engine(spec, call, tried)
        state = self._choose_target(spec, call, tried)
        tried.add(state.target.id)
        self.kernel.get(Events).emit(
            "request_routed", request=call.request, target=state.target.id
        )
        state.in_flight += 1
        try:
            answer = await state.client.send(call, repeatable)
        except TargetRefusedError:
            raise
        except (RefusedError, TargetFailedError) as error:
            self._failed(state, error)
            raise
        finally:
            state.in_flight -= 1
        if state.health.answered():
            self.kernel.get(Events).emit("target_back", target=state.target.id)
        return answer

    def _failed(self, state: TargetState, error: CranberryrunError) -> None:
        if state.health.failed():
            self.kernel.get(Events).emit(
                "target_failed", target=state.target.id, error=error.detail
            )

    def _targets(self, spec: ServiceSpec, service: str) -> dict[str, TargetState]:
        by_id = self._targets_by_service.setdefault(service, {})
        declared = {target.id: target for target in spec.targets}
        for target_id in list(by_id):
            if target_id not in declared:
                del by_id[target_id]
        for target_id, target in declared.items():
            if target_id not in by_id or by_id[target_id].target != target:
                by_id[target_id] = TargetState(target, self.client_for(target))
        return by_id

    def _choose_target(
        self, spec: ServiceSpec, call: Call, tried: set[str]
    ) -> TargetState:
        membership = self.kernel.get(Membership)
        by_id = self._targets(spec, call.service)
        staying = [
            state
            for state in by_id.values()
            if not membership.target_leaving(state.target.id)
            and state.target.id not in tried
        ]
        usable = [state for state in staying if state.health.usable()]
        candidates = [state.candidate() for state in usable or staying]
        chosen = self._policy.choose(candidates, Need(self._settings.zone))
        if chosen is None:
            raise NoTargetError(
                f"no target of {call.service} may be used",
                retry_after=_RETRY_AFTER_SECONDS,
            )
        return by_id[chosen.id]

    async def _to_engine(
        self, spec: ServiceSpec, call: Call, tried: set[str]
    ) -> Answer:
        """Generate an answer on an engine of the service's pool."""
        prompt = check_json(GroupRequest, call.body)
        engines = self.kernel.get(Engines)
        usable = [
            engine for engine in engines.usable(spec.pool) if engine.name not in tried
        ]
        chosen = self._policy.choose(
            [engine.candidate() for engine in usable],
            Need(self._settings.zone, prompt.prompt),
        )
        if chosen is None:
            raise NoTargetError(
                f"no engine of pool {spec.pool} may be used",
                retry_after=_RETRY_AFTER_SECONDS,
            )
        tried.add(chosen.id)
        engine = engines.by_name[chosen.id]
        order = StreamOrder(
            stream=f"call.{call.request}.{len(tried)}",
            workload=call.service,
            prompt=prompt.prompt,
            max_tokens=prompt.max_tokens,
            seed=prompt.seed,
            priority=spec.priority,
        )
        engine.in_flight += 1
        try:
            async with asyncio.timeout(max(0.001, call.deadline - clock.now())):
                lines = await _generate(engine.client, order)
        except StreamCutError as error:
            engines.failed(engine, error)
            raise TruncatedAnswerError(error.detail) from None
        except TargetUnreachableError as error:
            engines.failed(engine, error)
            raise
        except TimeoutError:
            await engine.client.cancel(order.stream)
            raise TargetFailedError("the deadline passed while generating") from None
        finally:
            engine.in_flight -= 1
        return Answer(200, {"Content-Type": "application/x-ndjson"}, lines)


async def _generate(client, order: StreamOrder) -> bytes:
    lines: list[bytes] = []
    async with aclosing(client.generate(order)) as pieces:
        async for piece in pieces:
            row = {"text": piece.text, "tokens": piece.tokens, "done": piece.done}
            lines.append(json.dumps(row).encode() + b"\n")
    return b"".join(lines)
