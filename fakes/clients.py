"""Simulated trainers, callers and operators that record a history."""

import asyncio
import json
from dataclasses import dataclass, field
from typing import Any

from cranberryrun import clock
from cranberryrun.api import Api
from cranberryrun.caller_http import problem_answer
from cranberryrun.exceptions import (
    CranberryrunError,
    OutcomeUnknownError,
    RefusedError,
    RequestError,
)
from cranberryrun.keyed_calls import KeyedCalls
from cranberryrun.models import GroupEvent, StepRequest
from cranberryrun.request_router import RequestRouter
from cranberryrun.resources import Resources
from cranberryrun.services import Answer, Call
from cranberryrun.steps import Steps
from cranberryrun.versions import Versions
from standins._generation import generated_length, generated_text

from .loop import start_task
from .network import Channel, ConnectionLost, NetworkError, TimedOut
from .simulation import Simulation

WORKLOAD = "denoiser"
SERVICE = "portal"
IDLE_TIMEOUT_SECONDS = 8.0
CONNECT_TIMEOUT_SECONDS = 5.0
RETRY_DELAY_SECONDS = 0.2
MAX_TOKENS = 64
CALL_TIMEOUT_SECONDS = 8.0


class Client:
    """A client outside the deployment that sends requests to the hosts in turn."""

    def __init__(self, simulation: Simulation, name: str) -> None:
        self.simulation = simulation
        self.name = name
        self._next = simulation.rng.randrange(100)

    def next_host(self) -> str:
        """Return the next running host, as a load balancer would choose it."""
        names = sorted(self.simulation.running()) or sorted(
            self.simulation.host_by_name
        )
        self._next += 1
        return names[self._next % len(names)]

    async def send_request(self, host: str, handler: Any, timeout: float) -> Any:
        """Run ``handler(kernel)`` at ``host``, counted as one request in flight."""
        kernel = self.simulation.host_by_name[host].kernel

        async def serve() -> Any:
            with kernel.get(Api).request():
                return await handler(kernel)

        return await self.simulation.network.call(self.name, host, serve, timeout)

    def record_cut(self, id: str, host: str, error: Exception) -> None:
        """Record a connection that a host closed, unless a fault killed the host."""
        if isinstance(error, ConnectionLost) and not isinstance(error, TimedOut):
            if host not in self.simulation.killed_hosts:
                now = clock.now()
                self.simulation.history.record(
                    "ok", "cut", id, now, host, why=repr(error)
                )


class Connection:
    """Streams a host's events to a trainer.

    The last entry of ``events`` is the exception with which the connection ended.
    """

    def __init__(self, trainer: "Trainer", host: str, request: StepRequest) -> None:
        self._trainer = trainer
        self._host = host
        self._request = request
        self.events: asyncio.Queue[Any] = asyncio.Queue()
        self.is_open = True
        self._channel = Channel(
            trainer.simulation.network, host, trainer.name, self._deliver
        )

    async def send(self, event: Any) -> None:
        """Send one event from the host to the trainer.

        :raises ConnectionResetError: the trainer closed the connection.
        """
        simulation = self._trainer.simulation
        if not self.is_open and not simulation.network.is_partitioned(
            self._host, self._trainer.name
        ):
            raise ConnectionResetError("the trainer closed the connection")
        if isinstance(event, GroupEvent):
            self._record_handed_over(event)
            simulation.reach_fault_point("hand_over", self._host)
        self._channel.send(event.model_copy(deep=True))

    def _deliver(self, item: Any) -> None:
        if self.is_open:
            self.events.put_nowait(item)

    def end(self, error: Exception | None) -> None:
        """Report to the trainer that the host ended the answer or was not reached."""
        error = error or ConnectionLost("the host ended the answer")
        if self._trainer.simulation.network.is_partitioned(
            self._host, self._trainer.name
        ):
            self._deliver(error)
            return
        self._channel.send(error)

    def close(self) -> None:
        """Close the connection from the trainer's side."""
        self.is_open = False

    def _record_handed_over(self, event: GroupEvent) -> None:
        trainer = self._trainer
        for sample in event.samples:
            trainer.simulation.history.record(
                "ok",
                "handed",
                f"{sample.group}/{sample.index}",
                clock.now(),
                self._host,
                workload=trainer.workload,
                slot=f"{sample.group}/{sample.index}",
                stated=self._request.version,
                bound=trainer.bound,
                oldest=min(span.version for span in sample.versions),
            )


@dataclass
class Step:
    """A step's groups and what its trainer has received so far."""

    number: int
    groups: list[dict[str, Any]]
    received: set[tuple[str, int]] = field(default_factory=set)
    checkpoint: Any = None
    ends_at: float = 0.0
    done: bool = False


class Trainer(Client):
    """Requests steps and announces versions.

    Repeats the request of a step, with the list of received samples, until the step
    is done.
    """

    def __init__(
        self, simulation: Simulation, name: str = "trainer", bound: int = 1
    ) -> None:
        super().__init__(simulation, name)
        self.workload = WORKLOAD
        self.bound = bound
        self.version = 0

    async def announce(self, version: int, host: str | None = None) -> None:
        """Announce a version, on one host after another, until a host accepts it."""
        self.version = max(self.version, version)
        id = f"{self.name}-v{version}"
        while True:
            at = host or self.next_host()
            host = None

            async def handler(kernel: Any) -> Any:
                return await kernel.get(Versions).announce(self.workload, version)

            try:
                await self.send_request(at, handler, CALL_TIMEOUT_SECONDS)
            except (NetworkError, CranberryrunError) as error:
                self.record_cut(id, at, error)
                await asyncio.sleep(RETRY_DELAY_SECONDS)
                continue
            value = {"workload": self.workload, "version": version}
            self.simulation.history.record(
                "ok", "version", id, clock.now(), at, **value
            )
            return

    def make_step(self, number: int, groups: int = 3, samples: int = 2) -> Step:
        """Return a step whose groups depend only on the arguments."""
        rows = []
        for n in range(groups):
            prompt = f"{self.name} step {number} group {n}"
            seed = number * 100 + n * 10
            row = {"group": f"g{n}", "prompt": prompt, "samples": samples}
            rows.append(row | {"max_tokens": MAX_TOKENS, "seed": seed})
        return Step(number, rows)

    async def run_step(self, step: Step, limit: float, host: str | None = None) -> None:
        """Request a step until it is done; ``limit`` is its deadline in seconds."""
        id = f"{self.workload}/{step.number}"
        slots = [
            f"{id}/{group['group']}/{index}"
            for group in step.groups
            for index in range(group["samples"])
        ]
        now = clock.now()
        step.ends_at = now + limit
        self.simulation.history.record(
            "invoke", "step", id, now, slots=slots, limit=limit
        )
        while not step.done:
            await self.call_step(step, host or self.next_host())
            host = None
        self.simulation.history.record("ok", "step", id, clock.now())

    async def call_step(self, step: Step, host: str) -> None:
        """Make one request for a step and consume its events until it ends."""
        request = StepRequest(
            version=self.version,
            deadline_seconds=max(1.0, step.ends_at - clock.now()),
            groups=step.groups,
            received=sorted(step.received),
            checkpoint=step.checkpoint,
        )
        connection = Connection(self, host, request)
        try:
            await self._connect(host, step, request, connection)
            await self._consume_events(step, host, connection)
        except (NetworkError, CranberryrunError, TimeoutError) as error:
            self.record_cut(f"{self.name}/{step.number}", host, error)
            await asyncio.sleep(RETRY_DELAY_SECONDS)
        finally:
            connection.close()

    async def _connect(
        self, host: str, step: Step, request: StepRequest, connection: Connection
    ) -> None:
        accepted: asyncio.Future[None] = asyncio.get_running_loop().create_future()

        async def handler(kernel: Any) -> None:
            steps = kernel.get(Steps)
            resource = steps.resolve_workload(self.workload)
            accepted.set_result(None)
            number = step.number
            await steps.run(resource, number, request, connection.send)

        stream = start_task("", self._run_stream(host, handler, connection))
        stream.add_done_callback(lambda task: accepted.done() or accepted.cancel())
        async with asyncio.timeout(CONNECT_TIMEOUT_SECONDS):
            await asyncio.wait({accepted, stream}, return_when=asyncio.FIRST_COMPLETED)

    async def _run_stream(
        self, host: str, handler: Any, connection: Connection
    ) -> None:
        try:
            await self.send_request(host, handler, 3600)
        except (NetworkError, CranberryrunError, ConnectionError) as error:
            connection.end(error)
        else:
            connection.end(None)

    async def _consume_events(
        self, step: Step, host: str, connection: Connection
    ) -> None:
        while True:
            async with asyncio.timeout(IDLE_TIMEOUT_SECONDS):
                event = await connection.events.get()
            if isinstance(event, ConnectionError):
                return
            if isinstance(event, Exception):
                raise event
            if event.event == "group":
                self._record_group(step, event)
                self.simulation.reach_fault_point("acknowledge", host)
            elif event.event == "done":
                step.done = True
                return
            else:
                step.checkpoint = [each.model_dump() for each in event.placements]
            if event.event in ("moved", "failed"):
                return

    def _record_group(self, step: Step, event: GroupEvent) -> None:
        group = next(each for each in step.groups if each["group"] == event.group)
        id = f"{self.workload}/{step.number}"
        for sample in event.samples:
            step.received.add((sample.group, sample.index))
            prompt, seed = group["prompt"], group["seed"] + sample.index
            length = generated_length(prompt, seed, MAX_TOKENS)
            self.simulation.history.record(
                "ok",
                "sample",
                f"{id}/{sample.group}/{sample.index}",
                clock.now(),
                trainer=self.name,
                step=id,
                slot=f"{id}/{sample.group}/{sample.index}",
                engine=sample.engine,
                versions=[(span.version, span.tokens) for span in sample.versions],
                got=sample.text,
                due=generated_text(prompt, seed, 0, length),
            )


class Caller(Client):
    """Sends calls; repeats those with an idempotency key until one succeeds."""

    count = 0

    async def call(
        self, token: str, method: str = "POST", key: str | None = None, host: str = ""
    ) -> str:
        """Send one request and return ``ok``, ``fail`` or ``unknown``."""
        host = host or self.next_host()
        self.count += 1
        request = f"{self.name}-{self.count}"
        record = self.simulation.history.record
        record("invoke", "call", request, clock.now(), host, key=key)

        async def handler(kernel: Any) -> Answer:
            deadline = clock.now() + CALL_TIMEOUT_SECONDS
            kernel.get(Api).record_deadline(deadline)
            call = Call(
                service=SERVICE,
                method=method,
                path="seats",
                request=request,
                caller=self.name,
                deadline=deadline,
                body=json.dumps(token).encode(),
                key=key,
            )
            service = kernel.get(KeyedCalls if key is not None else RequestRouter)
            try:
                return await service.send(call)
            except CranberryrunError as error:
                return problem_answer(error)

        try:
            answer = await self.send_request(host, handler, CALL_TIMEOUT_SECONDS + 2)
        except NetworkError as error:
            self.record_cut(request, host, error)
            record("unknown", "call", request, clock.now(), host)
            return "unknown"
        body = json.loads(answer.body)
        now = clock.now()
        if answer.status == 200:
            record("ok", "call", request, now, host, got=body["echo"], due=token)
            return "ok"
        if body.get("not_run"):
            record("fail", "call", request, now, host, not_run=True)
            return "fail"
        record("unknown", "call", request, now, host)
        return "unknown"

    async def call_with_key(
        self, token: str, hosts: int = 1, limit: float = 15.0
    ) -> None:
        """Send a call with an idempotency key until it succeeds or ``limit`` is over.

        :param hosts: number of hosts that get the call at the same time.
        :param limit: seconds; must be below half of the log's retention, for which
            hosts remember a key: a later repeat could run the call a second time.
        """
        ends_at = clock.now() + limit
        while clock.now() < ends_at:
            calls = [self.call(token, key=f"key-{token}") for _ in range(hosts)]
            if "ok" in await asyncio.gather(*calls):
                return
            await asyncio.sleep(1)

    async def run(self, seconds: float, interval: float = 0.4) -> None:
        """Send calls with a key, GETs and POSTs in turn; wait for all answers."""
        sent = []
        ends_at = clock.now() + seconds
        while clock.now() < ends_at:
            n = len(sent)
            token = f"{self.name}-token-{n}"
            if n % 3 == 0:
                coroutine = self.call_with_key(token, hosts=1 + n % 2)
            elif n % 3 == 1:
                coroutine = self.call(token, "GET")
            else:
                coroutine = self.call(token, "POST")
            sent.append(start_task("", coroutine))
            await asyncio.sleep(interval * self.simulation.rng.uniform(0.5, 1.5))
        await asyncio.gather(*sent)


class Operator(Client):
    """Declares resources.

    Repeats a change, with the same change id, until it succeeds or conflicts.
    """

    count = 0

    async def put(
        self,
        kind: str,
        name: str,
        spec: dict[str, Any],
        host: str | None = None,
        expected: int | None = None,
        limit: float = 40.0,
    ) -> str:
        """Put a resource; return ``ok``, ``conflict``, ``fail`` or ``unknown``."""
        self.count += 1
        change_id = f"{self.name}-{self.count}"
        ends_at = clock.now() + limit
        outcome = "unknown"
        while clock.now() < ends_at:
            at = host or self.next_host()
            host = None
            outcome = await self.put_once(at, kind, name, spec, expected, change_id)
            if outcome in ("ok", "conflict"):
                break
            await asyncio.sleep(0.5)
        return outcome

    async def put_once(
        self,
        host: str,
        kind: str,
        name: str,
        spec: dict[str, Any],
        expected: int | None,
        id: str,
    ) -> str:
        """Send a put with the change id ``id`` to one host, without a retry."""
        record = self.simulation.history.record
        record("invoke", "change", id, clock.now(), host)

        async def handler(kernel: Any) -> Any:
            return await kernel.get(Resources).change(
                "put", kind, name, spec, expected, id
            )

        try:
            resource = await self.send_request(host, handler, 15.0)
        except RequestError:
            record("fail", "change", id, clock.now(), host, not_run=True)
            return "conflict"
        except RefusedError:
            record("fail", "change", id, clock.now(), host, not_run=True)
            return "fail"
        except (NetworkError, OutcomeUnknownError) as error:
            self.record_cut(id, host, error)
            record("unknown", "change", id, clock.now(), host)
            return "unknown"
        changed = (f"{kind}/{name}", resource.generation)
        value = {"offset": resource.offset, "resource": changed}
        record("ok", "change", id, clock.now(), host, **value)
        return "ok"


def workload_spec(priority: int = 0, bound: int = 1) -> dict[str, Any]:
    """Return the spec of the workload under test."""
    return {
        "pool": "rollout",
        "freshness_bound": bound,
        "rate": 3,
        "priority": priority,
    }


async def declare_all(simulation: Simulation, operator: Operator) -> None:
    """Declare all engines, the workload and the plain service."""
    for name, engine in simulation.engine_by_name.items():
        spec = {
            "url": f"http://{name}",
            "zone": engine.zone,
            "pool": "rollout",
            "slots": 4,
            "fencing": "honoured" if engine.orders.fencing else "ignored",
        }
        await operator.put("engines", name, spec)
    await operator.put("workloads", WORKLOAD, workload_spec())
    targets = [
        {"id": name, "url": f"http://{name}", "zone": simulation.zone_of(name)}
        for name in simulation.service_by_name
    ]
    await operator.put("services", SERVICE, {"targets": targets})
