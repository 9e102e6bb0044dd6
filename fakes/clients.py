"""Trainers, callers and operators that write a history of what they saw."""

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

from .loop import start_for
from .network import Broken, Channel, NetworkError, TimedOut
from .world import World

WORKLOAD = "denoiser"
SERVICE = "portal"
IDLE_SECONDS = 8.0
CONNECT_SECONDS = 5.0
PAUSE_SECONDS = 0.2
MAX_TOKENS = 64
CALL_SECONDS = 8.0


class Client:
    """A place outside that asks one host after another."""

    def __init__(self, world: World, name: str) -> None:
        self.world = world
        self.name = name
        self._next = world.rng.randrange(100)

    def next_host(self) -> str:
        """Return a host that the balancer still sends work to."""
        names = sorted(self.world.running()) or sorted(self.world.host_by_name)
        self._next += 1
        return names[self._next % len(names)]

    async def ask(self, host: str, work: Any, timeout: float) -> Any:
        """Have ``work(kernel)`` done at ``host`` as one request."""
        kernel = self.world.host_by_name[host].kernel

        async def serve() -> Any:
            with kernel.get(Api).request():
                return await work(kernel)

        return await self.world.network.carry(self.name, host, serve, timeout)

    def note_cut(self, id: str, host: str, error: Exception) -> None:
        """Note a connection that the host ended, unless a fault killed the host."""
        if isinstance(error, Broken) and not isinstance(error, TimedOut):
            if host not in self.world.killed:
                now = clock.now()
                self.world.history.note("ok", "cut", id, now, host, why=repr(error))


class Connection:
    """What a host streams to a trainer; it ends with an exception or None."""

    def __init__(self, trainer: "Trainer", host: str, request: StepRequest) -> None:
        self._trainer = trainer
        self._host = host
        self._request = request
        self.events: asyncio.Queue[Any] = asyncio.Queue()
        self.is_open = True
        self._channel = Channel(
            trainer.world.network, host, trainer.name, self._deliver
        )

    async def send(self, event: Any) -> None:
        """Take one event of the host."""
        world = self._trainer.world
        if not self.is_open and not world.network.is_cut(
            self._host, self._trainer.name
        ):
            raise ConnectionResetError("the trainer has gone")
        if isinstance(event, GroupEvent):
            self._note_handed(event)
            world.reach("hand_over", self._host)
        self._channel.send(event.model_copy(deep=True))

    def _deliver(self, item: Any) -> None:
        if self.is_open:
            self.events.put_nowait(item)

    def end(self, error: Exception | None) -> None:
        """Note that the host ended the answer, or that there is no connection."""
        error = error or Broken("the answer has ended")
        if self._trainer.world.network.is_cut(self._host, self._trainer.name):
            self._deliver(error)
            return
        self._channel.send(error)

    def close(self) -> None:
        """End the connection from the trainer's side."""
        self.is_open = False

    def _note_handed(self, event: GroupEvent) -> None:
        trainer = self._trainer
        for sample in event.samples:
            trainer.world.history.note(
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
    """A step as its trainer knows it."""

    number: int
    groups: list[dict[str, Any]]
    received: set[tuple[str, int]] = field(default_factory=set)
    checkpoint: Any = None
    ends_at: float = 0.0
    done: bool = False


class Trainer(Client):
    """Asks for steps, and again with what it received until each is done."""

    def __init__(self, world: World, name: str = "trainer", bound: int = 1) -> None:
        super().__init__(world, name)
        self.workload = WORKLOAD
        self.bound = bound
        self.version = 0

    async def announce(self, version: int, host: str | None = None) -> None:
        """Announce a version until a host takes it."""
        self.version = max(self.version, version)
        id = f"{self.name}-v{version}"
        while True:
            at = host or self.next_host()
            host = None

            async def work(kernel: Any) -> Any:
                return await kernel.get(Versions).announce(self.workload, version)

            try:
                await self.ask(at, work, CALL_SECONDS)
            except (NetworkError, CranberryrunError) as error:
                self.note_cut(id, at, error)
                await asyncio.sleep(PAUSE_SECONDS)
                continue
            value = {"workload": self.workload, "version": version}
            self.world.history.note("ok", "version", id, clock.now(), at, **value)
            return

    def make_step(self, number: int, groups: int = 3, samples: int = 2) -> Step:
        """Return a step's groups, the same for every call."""
        rows = []
        for n in range(groups):
            prompt = f"{self.name} step {number} group {n}"
            seed = number * 100 + n * 10
            row = {"group": f"g{n}", "prompt": prompt, "samples": samples}
            rows.append(row | {"max_tokens": MAX_TOKENS, "seed": seed})
        return Step(number, rows)

    async def run_step(self, step: Step, limit: float, host: str | None = None) -> None:
        """Ask for a step until it is done."""
        id = f"{self.workload}/{step.number}"
        slots = [
            f"{id}/{group['group']}/{index}"
            for group in step.groups
            for index in range(group["samples"])
        ]
        now = clock.now()
        step.ends_at = now + limit
        self.world.history.note("invoke", "step", id, now, slots=slots, limit=limit)
        while not step.done:
            await self.call_step(step, host or self.next_host())
            host = None
        self.world.history.note("ok", "step", id, clock.now())

    async def call_step(self, step: Step, host: str) -> None:
        """Make one call for a step and take what comes."""
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
            await self._take_events(step, host, connection)
        except (NetworkError, CranberryrunError, TimeoutError) as error:
            self.note_cut(f"{self.name}/{step.number}", host, error)
            await asyncio.sleep(PAUSE_SECONDS)
        finally:
            connection.close()

    async def _connect(
        self, host: str, step: Step, request: StepRequest, connection: Connection
    ) -> None:
        begun: asyncio.Future[None] = asyncio.get_running_loop().create_future()

        async def work(kernel: Any) -> None:
            steps = kernel.get(Steps)
            resource = steps.resolve_workload(self.workload)
            begun.set_result(None)
            number = step.number
            await steps.run(resource, number, request, connection.send)

        stream = start_for("", self._stream(host, work, connection))
        stream.add_done_callback(lambda task: begun.done() or begun.cancel())
        async with asyncio.timeout(CONNECT_SECONDS):
            await asyncio.wait({begun, stream}, return_when=asyncio.FIRST_COMPLETED)

    async def _stream(self, host: str, work: Any, connection: Connection) -> None:
        try:
            await self.ask(host, work, 3600)
        except (NetworkError, CranberryrunError, ConnectionError) as error:
            connection.end(error)
        else:
            connection.end(None)

    async def _take_events(self, step: Step, host: str, connection: Connection) -> None:
        while True:
            async with asyncio.timeout(IDLE_SECONDS):
                event = await connection.events.get()
            if isinstance(event, ConnectionError):
                return
            if isinstance(event, Exception):
                raise event
            if event.event == "group":
                self._take_group(step, event)
                self.world.reach("acknowledge", host)
            elif event.event == "done":
                step.done = True
                return
            else:
                step.checkpoint = [each.model_dump() for each in event.placements]
            if event.event in ("moved", "failed"):
                return

    def _take_group(self, step: Step, event: GroupEvent) -> None:
        group = next(each for each in step.groups if each["group"] == event.group)
        id = f"{self.workload}/{step.number}"
        for sample in event.samples:
            step.received.add((sample.group, sample.index))
            prompt, seed = group["prompt"], group["seed"] + sample.index
            length = generated_length(prompt, seed, MAX_TOKENS)
            self.world.history.note(
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
    """Sends calls and repeats those with a key until their outcome is known."""

    count = 0

    async def call(
        self, token: str, method: str = "POST", key: str | None = None, host: str = ""
    ) -> str:
        """Send one request and return ``ok``, ``fail`` or ``unknown``."""
        host = host or self.next_host()
        self.count += 1
        request = f"{self.name}-{self.count}"
        note = self.world.history.note
        note("invoke", "call", request, clock.now(), host, key=key)

        async def work(kernel: Any) -> Answer:
            deadline = clock.now() + CALL_SECONDS
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
            sender = kernel.get(KeyedCalls if key is not None else RequestRouter)
            try:
                return await sender.send(call)
            except CranberryrunError as error:
                return problem_answer(error)

        try:
            answer = await self.ask(host, work, CALL_SECONDS + 2)
        except NetworkError as error:
            self.note_cut(request, host, error)
            note("unknown", "call", request, clock.now(), host)
            return "unknown"
        body = json.loads(answer.body)
        now = clock.now()
        if answer.status == 200:
            note("ok", "call", request, now, host, got=body["echo"], due=token)
            return "ok"
        if body.get("not_run"):
            note("fail", "call", request, now, host, not_run=True)
            return "fail"
        note("unknown", "call", request, now, host)
        return "unknown"

    async def keyed(self, token: str, hosts: int = 1, limit: float = 15.0) -> None:
        """Send a keyed call, at several hosts at once, until its outcome is known.

        A key is repeated only while it is remembered, which is half of the log's
        retention.
        """
        ends_at = clock.now() + limit
        while clock.now() < ends_at:
            calls = [self.call(token, key=f"key-{token}") for _ in range(hosts)]
            if "ok" in await asyncio.gather(*calls):
                return
            await asyncio.sleep(1)

    async def run(self, seconds: float, every: float = 0.4) -> None:
        """Send calls of all kinds for a while and wait for their answers."""
        sent = []
        ends_at = clock.now() + seconds
        while clock.now() < ends_at:
            n = len(sent)
            token = f"{self.name}-token-{n}"
            if n % 3 == 0:
                work = self.keyed(token, hosts=1 + n % 2)
            elif n % 3 == 1:
                work = self.call(token, "GET")
            else:
                work = self.call(token, "POST")
            sent.append(start_for("", work))
            await asyncio.sleep(every * self.world.rng.uniform(0.5, 1.5))
        await asyncio.gather(*sent)


class Operator(Client):
    """Declares resources, and asks again with the same id until it knows."""

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
        """Put a resource and return ``ok``, ``fail`` or ``unknown``."""
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
        """Put a resource with the change id ``id`` at one host, once."""
        note = self.world.history.note
        note("invoke", "change", id, clock.now(), host)

        async def work(kernel: Any) -> Any:
            return await kernel.get(Resources).change(
                "put", kind, name, spec, expected, id
            )

        try:
            resource = await self.ask(host, work, 15.0)
        except RequestError:
            note("fail", "change", id, clock.now(), host, not_run=True)
            return "conflict"
        except RefusedError:
            note("fail", "change", id, clock.now(), host, not_run=True)
            return "fail"
        except (NetworkError, OutcomeUnknownError) as error:
            self.note_cut(id, host, error)
            note("unknown", "change", id, clock.now(), host)
            return "unknown"
        changed = (f"{kind}/{name}", resource.generation)
        value = {"offset": resource.offset, "resource": changed}
        note("ok", "change", id, clock.now(), host, **value)
        return "ok"


def workload_spec(priority: int = 0, bound: int = 1) -> dict[str, Any]:
    """Return the spec of the workload."""
    return {
        "pool": "rollout",
        "freshness_bound": bound,
        "rate": 3,
        "priority": priority,
    }


async def declare_all(world: World, operator: Operator) -> None:
    """Declare engines, workload and service."""
    for name, engine in world.engine_by_name.items():
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
        {"id": name, "url": f"http://{name}", "zone": world.zone_of(name)}
        for name in world.service_by_name
    ]
    await operator.put("services", SERVICE, {"targets": targets})
