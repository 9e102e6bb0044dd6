"""One host's rollout services over scripted engines, on the virtual clock."""

import asyncio
import random
from collections.abc import AsyncIterator
from dataclasses import dataclass, field

from cranberryrun import clock
from cranberryrun.configuration import Configuration
from cranberryrun.engines import (
    EngineClient,
    Engines,
    EngineState,
    LoadedVersion,
    LoadReport,
    NamedOrder,
    Piece,
    StreamOrder,
    VersionOrder,
)
from cranberryrun.events import Events
from cranberryrun.exceptions import (
    EngineError,
    StaleFenceError,
    StreamCutError,
    StreamExistsError,
    StreamLostError,
    TargetUnreachableError,
)
from cranberryrun.kernel import Kernel
from cranberryrun.membership import HostEntry, HostList, Membership
from cranberryrun.models import Change, StepRequest
from cranberryrun.peers import Peers
from cranberryrun.routing import LeastLoaded
from cranberryrun.settings import Settings
from cranberryrun.steps import StepPolicies, Steps
from cranberryrun.versions import Versions
from cranberryrun.weights import Weights

from .doubles import StubPauseDetector

POOL = "rollout"
WORKLOAD = "denoise"
TOKENS_PER_PIECE = 10


@dataclass(eq=False)
class ScriptedStream:
    """A stream of an engine; ``grown`` is set when ``pieces`` gets a new one."""

    order: StreamOrder
    pieces: list[Piece] = field(default_factory=list)
    grown: asyncio.Event = field(default_factory=asyncio.Event)
    ended: bool = False
    task: asyncio.Task | None = None


class ScriptedEngine(EngineClient):
    """An engine whose speed, version stamps and faults a test sets.

    :ivar piece_seconds: time for each piece, in seconds.
    :ivar length: number of pieces of a sample, by its seed; 5 for other seeds.
    :ivar unstamped: whether pieces are sent without a version.
    :ivar cut_once_at: sequence number of the piece before which the engine closes
        the connection, once.
    :ivar fail_loads: number of version loads to come that fail.
    :ivar answer_seconds: time until an order is answered, in seconds.
    :ivar most_running: highest number of streams generated at the same time.
    """

    def __init__(self, slots: int = 4) -> None:
        self.slots = slots
        self.piece_seconds = 1.0
        self.length: dict[int, int] = {}
        self.down = False
        self.unstamped = False
        self.cut_once_at: int | None = None
        self.fencing = True
        self.load_seconds = 1.0
        self.fail_loads = 0
        self.answer_seconds = 0.0
        self.incarnation = 1
        self.role: str | None = None
        self.loaded: dict[str, LoadedVersion] = {}
        self.streams: dict[str, ScriptedStream] = {}
        self.generated: list[StreamOrder] = []
        self.resumed: list[str] = []
        self.cancelled: list[str] = []
        self.orders: list[VersionOrder] = []
        self.named_orders: list[NamedOrder] = []
        self.most_running = 0
        self.polls = 0

    def run_version(self, version: int, workload: str = WORKLOAD) -> None:
        """Have ``version`` loaded from now on."""
        fence = self.loaded[workload].fence if workload in self.loaded else 0
        self.loaded[workload] = LoadedVersion(version, fence, None)

    def crash(self) -> None:
        """Lose all streams and versions, as a restart of the engine does."""
        for stream in self.streams.values():
            stream.task.cancel()
            stream.ended = True
            stream.grown.set()
        self.streams.clear()
        self.loaded.clear()
        self.incarnation += 1

    @property
    def running(self) -> int:
        """The number of streams that are being generated."""
        return sum(not stream.ended for stream in self.streams.values())

    async def generate(self, order: StreamOrder) -> AsyncIterator[Piece]:
        """See :meth:`EngineClient.generate`."""
        self._check_reachable()
        if order.stream in self.streams:
            raise StreamExistsError("the engine already has the stream")
        self.generated.append(order)
        stream = ScriptedStream(order)
        self.streams[order.stream] = stream
        stream.task = asyncio.create_task(self._generate_pieces(stream))
        self.most_running = max(self.most_running, self.running)
        async for piece in self._read(stream, 0):
            yield piece

    async def resume(self, stream: str, start: int) -> AsyncIterator[Piece]:
        """See :meth:`EngineClient.resume`."""
        self._check_reachable()
        self.resumed.append(stream)
        if stream not in self.streams:
            raise StreamLostError("the engine does not have the stream")
        async for piece in self._read(self.streams[stream], start):
            yield piece

    def _check_reachable(self) -> None:
        if self.down:
            raise TargetUnreachableError("down")

    async def _generate_pieces(self, stream: ScriptedStream) -> None:
        length = self.length.get(stream.order.seed, 5)
        for seq in range(length):
            await asyncio.sleep(self.piece_seconds)
            loaded = self.loaded.get(stream.order.workload)
            version = loaded.version if loaded else 0
            stream.pieces.append(
                Piece(
                    seq,
                    TOKENS_PER_PIECE,
                    f"{stream.order.seed}.{seq} ",
                    None if self.unstamped else version,
                    seq == length - 1,
                )
            )
            stream.grown.set()
        stream.ended = True

    async def _read(self, stream: ScriptedStream, start: int) -> AsyncIterator[Piece]:
        seq = start
        while True:
            while seq < len(stream.pieces):
                if self.cut_once_at == seq:
                    self.cut_once_at = None
                    raise StreamCutError("cut")
                yield stream.pieces[seq]
                seq += 1
                if stream.pieces[seq - 1].done:
                    return
            if stream.ended or self.down:
                raise StreamCutError("lost")
            stream.grown.clear()
            await stream.grown.wait()

    async def cancel(self, stream: str) -> None:
        """See :meth:`EngineClient.cancel`."""
        self.cancelled.append(stream)
        removed = self.streams.pop(stream, None)
        if removed is not None:
            removed.task.cancel()
            removed.ended = True
            removed.grown.set()

    async def load(self) -> LoadReport:
        """See :meth:`EngineClient.load`."""
        return LoadReport(self.running, 0, 40.0)

    async def state(self) -> EngineState:
        """See :meth:`EngineClient.state`."""
        self.polls += 1
        if self.down:
            raise EngineError("down")
        return EngineState(self.incarnation, dict(self.loaded), self.role)

    async def order(self, order: VersionOrder) -> None:
        """See :meth:`EngineClient.order`."""
        await asyncio.sleep(self.answer_seconds)
        if self.down:
            raise EngineError("down")
        known = self.loaded.get(order.workload, LoadedVersion(0, 0, None))
        if self.fencing and order.fence < known.fence:
            raise StaleFenceError("older")
        self.orders.append(order)
        self.loaded[order.workload] = LoadedVersion(
            known.version, order.fence, order.version
        )
        asyncio.create_task(self._load(order, self.incarnation))

    async def _load(self, order: VersionOrder, incarnation: int) -> None:
        await asyncio.sleep(self.load_seconds)
        known = self.loaded.get(order.workload)
        if incarnation != self.incarnation or known is None:
            return
        if self.fail_loads:
            self.fail_loads -= 1
            self.loaded[order.workload] = LoadedVersion(
                known.version, known.fence, None
            )
            return
        self.loaded[order.workload] = LoadedVersion(order.version, known.fence, None)

    async def order_named(self, order: NamedOrder) -> None:
        """See :meth:`EngineClient.order_named`."""
        self.named_orders.append(order)
        if order.kind == "set_role":
            self.role = order.value


class NoPeers(Peers):
    """Peers that neither listen nor exchange views."""

    async def start(self) -> None:
        """Open no listener."""

    async def stop(self) -> None:
        """Close nothing."""


class StubConfiguration(Configuration):
    """A configuration whose content a test writes; ``age`` is in seconds."""

    age = 0.0

    async def start(self) -> None:
        """Become ready without following the log."""
        self.ready.set()

    def contact_age(self) -> float:
        """See :meth:`Configuration.contact_age`."""
        return self.age


class StubHostList(HostList):
    """A host list whose entries a test writes."""

    def __init__(self, *entries: HostEntry) -> None:
        self.entries = list(entries)

    async def read(self) -> list[HostEntry]:
        """See :meth:`HostList.read`."""
        return self.entries


class StubEngines(Engines):
    """Engines whose clients are :class:`ScriptedEngine`."""

    def __init__(self, settings: Settings, by_name: dict[str, ScriptedEngine]) -> None:
        super().__init__(settings)
        self._scripted_by_name = by_name

    def client_for(self, spec) -> ScriptedEngine:
        """Return the scripted engine that the URL names."""
        return self._scripted_by_name[spec.url.removeprefix("http://")]


def entry(name: str, zone: str = "zone-a", **changes) -> HostEntry:
    """Return the host list entry of a live host."""
    return HostEntry(id=name, kind="entry", zone=zone, **changes)


class Rollouts:
    """The rollout services of one host, ``host-1``, and its scripted engines."""

    def __init__(
        self,
        engines: int = 2,
        slots: int = 4,
        policies: StepPolicies | None = None,
        weights: bool = False,
        **settings,
    ) -> None:
        self.settings = Settings.model_validate(
            {
                "id": "host-1",
                "incarnation": 1,
                "zone": "zone-a",
                "api_port": 0,
                "peer_port": 0,
                "log": {"url": "http://log"},
                "host_list_url": "http://list",
                **settings,
            }
        )
        rng = random.Random(1)
        self.engine_by_name = {
            f"engine-{n}": ScriptedEngine(slots) for n in range(engines)
        }
        self.kernel = Kernel()
        self.membership = Membership(self.settings, 1)
        self.hosts = StubHostList(entry("host-1"))
        self.membership.use_host_list(self.hosts)
        self.configuration = StubConfiguration(self.settings, rng)
        self.engines = StubEngines(self.settings, self.engine_by_name)
        self.steps = Steps(self.settings, LeastLoaded(rng), rng, policies)
        services = [
            Events("host-1", 1, 100_000),
            self.membership,
            NoPeers(self.settings, rng),
            self.configuration,
            StubPauseDetector(self.settings),
            self.engines,
            Versions(self.settings),
            self.steps,
        ]
        if weights:
            services.append(Weights(self.settings))
        for service in services:
            self.kernel.register(service)
        self.versions = self.kernel.get(Versions)

    async def __aenter__(self) -> "Rollouts":
        await self.membership.start()
        await self.configuration.start()
        for name, engine in self.engine_by_name.items():
            await self.declare_engine(name, engine)
        await self.put("workloads", WORKLOAD, pool=POOL, freshness_bound=1, rate=100)
        for name in ("engines", "steps", "weights"):
            service = self.kernel._by_name.get(name)
            if service is not None:
                await service.start()
        await asyncio.sleep(0.01)
        return self

    async def __aexit__(self, *error) -> None:
        for name in ("weights", "steps", "engines", "membership"):
            service = self.kernel._by_name.get(name)
            if service is not None:
                await service.stop()

    async def declare_engine(self, name: str, engine: ScriptedEngine, **spec) -> None:
        """Declare an engine of :data:`POOL`."""
        self.engine_by_name[name] = engine
        spec = {"url": f"http://{name}", "zone": "zone-a", "pool": POOL} | spec
        await self.put("engines", name, **{"slots": engine.slots} | spec)

    async def put(self, kind: str, name: str, **spec) -> None:
        """Put a resource into the configuration."""
        await self._change(kind, name, "put", spec)

    async def delete(self, kind: str, name: str) -> None:
        """Delete a resource from the configuration."""
        await self._change(kind, name, "delete", None)

    async def _change(self, kind: str, name: str, operation: str, spec) -> None:
        state = self.configuration.state
        offset = state.offset + 1
        change = Change(
            change_id=str(offset),
            kind=kind,
            name=name,
            expected_generation=state.generation(kind, name),
            operation=operation,
            spec=spec,
        )
        state.apply(offset, 0.0, change.model_dump()).unwrap()
        async with self.configuration._state_changed:
            self.configuration._state_changed.notify_all()
        await asyncio.sleep(0)

    def run_version(self, version: int) -> None:
        """Have every engine run ``version``, and record it at this host."""
        for engine in self.engine_by_name.values():
            engine.run_version(version)
        self.versions.learn(WORKLOAD, version)

    def events(self, name: str) -> list[dict]:
        """Return the fields of every event of this name."""
        events = self.kernel.get(Events).after(-1, 100_000)
        return [event.fields for event in events if event.kind.name == name]

    def event_times(self, name: str) -> list[float]:
        """Return the loop times of every event of this name."""
        events = self.kernel.get(Events).after(-1, 100_000)
        return [event.loop for event in events if event.kind.name == name]

    def generated(self) -> list[StreamOrder]:
        """Return the orders of all streams that the engines were asked to generate."""
        return [
            order
            for engine in self.engine_by_name.values()
            for order in engine.generated
        ]


class Trainer:
    """Records the events of a step; ``read_seconds`` is the time to read an event."""

    def __init__(self, read_seconds: float = 0.0) -> None:
        self.read_seconds = read_seconds
        self.disconnected = False
        self.events: list = []
        self.at: list[float] = []

    async def send(self, event) -> None:
        """Record one event.

        :raises ConnectionResetError: the trainer has disconnected.
        """
        if self.disconnected:
            raise ConnectionResetError("gone")
        self.events.append(event)
        self.at.append(clock.now())
        await asyncio.sleep(self.read_seconds)

    def of(self, kind: str) -> list:
        """Return the events of one kind."""
        return [event for event in self.events if event.event == kind]

    @property
    def samples(self) -> list:
        """All samples that were handed over."""
        return [sample for group in self.of("group") for sample in group.samples]

    @property
    def slots(self) -> list[tuple[str, int]]:
        """The slots of the samples that were handed over."""
        return [(sample.group, sample.index) for sample in self.samples]


def request(groups: int = 2, samples: int = 2, version: int = 1, **fields):
    """Return a step's request; the n-th slot of the step has the seed n."""
    rows = [
        {
            "group": f"g{n}",
            "prompt": f"prompt {n}",
            "samples": samples,
            "seed": n * samples,
        }
        for n in range(groups)
    ]
    return StepRequest.model_validate({"version": version, "groups": rows} | fields)
