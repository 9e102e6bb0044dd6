"""The fake of a model engine: shares its speed among the streams it runs."""

from __future__ import annotations

import asyncio
import math
import random
from collections import OrderedDict, deque
from collections.abc import AsyncIterator
from dataclasses import dataclass, field

from cranberryrun import clock
from cranberryrun.engines import (
    EngineClient,
    EngineState,
    LoadedVersion,
    LoadReport,
    Piece,
    StreamOrder,
    VersionOrder,
)
from cranberryrun.exceptions import (
    EngineError,
    StaleFenceError,
    StreamCutError,
    StreamExistsError,
    StreamLostError,
    TargetRefusedError,
    TargetUnreachableError,
)

from .fakes import Network, WeightStore

MEDIAN_TOKENS = 2500.0
LENGTH_SIGMA = 0.6
REQUEST_TOKENS = 60
PREFILL_TOKENS = 300.0
_PIECE_TOKENS = 100
_LOADING_SPEED = 0.5
_REPORT_EVERY_SECONDS = 1.0
_CACHED_PREFIXES = 8
_QUEUE_LIMIT = 256


def sample_tokens(prompt: str, seed: int, most: int) -> int:
    """Return the length of a sample, long-tailed; short for requests."""
    if prompt.startswith("request"):
        return REQUEST_TOKENS
    source = random.Random(f"{prompt}/{seed}")
    return max(
        1, min(most, int(source.lognormvariate(math.log(MEDIAN_TOKENS), LENGTH_SIGMA)))
    )


@dataclass(slots=True, eq=False)
class FakeStream:
    """One stream. ``busy`` is in engine-seconds: a full engine's slot is 1/slots."""

    id: str
    workload: str
    priority: int
    length: int
    prefill: float
    arrival: int
    made: float = 0.0
    busy: float = 0.0
    pieces: list[Piece] = field(default_factory=list)
    state: str = "queued"
    changed: asyncio.Event = field(default_factory=asyncio.Event)
    ended_at: float = 0.0

    def notify(self) -> None:
        """Wake the readers."""
        self.changed.set()
        self.changed = asyncio.Event()


class FakeEngine:
    """A continuously batching engine on the virtual clock.

    :param alone: tokens a second of a single stream; ``total`` of all together.
    """

    def __init__(
        self,
        name: str,
        zone: str,
        slots: int,
        total: float,
        alone: float,
        store: WeightStore,
    ) -> None:
        self.name = name
        self.zone = zone
        self.slots = slots
        self._total = total
        self._alone = alone
        self._store = store
        self.down = False
        self.speed = 1.0
        self.incarnation = 1
        self.requests_asked = 0
        self.refused_share = 0.0
        self._refused_before = 0.0
        self.request_prefill = 10.0
        self.streams: dict[str, FakeStream] = {}
        self.history: list[FakeStream] = []
        self.loaded_by_workload: dict[str, LoadedVersion] = {}
        self.busy_by_minute: dict[tuple[str, int], float] = {}
        self.prefix_hits = 0
        self.prefix_misses = 0
        self._running: list[FakeStream] = []
        self._queue: list[FakeStream] = []
        self._loading = 0
        self._prefixes: OrderedDict[str, None] = OrderedDict()
        self._advanced_at = clock.now()
        self._timer: asyncio.TimerHandle | None = None
        self._reports: deque[tuple[float, LoadReport]] = deque(maxlen=8)

    def start_stream(self, order: StreamOrder) -> FakeStream:
        """Queue a stream."""
        if order.stream in self.streams:
            raise StreamExistsError("the stream runs already")
        if len(self._queue) >= _QUEUE_LIMIT:
            raise TargetRefusedError("the engine's queue is full")
        self._refuse_some()
        stream = FakeStream(
            order.stream,
            order.workload,
            order.priority,
            sample_tokens(order.prompt, order.seed, order.max_tokens),
            self._prefill(order.prompt),
            len(self.history),
        )
        self.streams[order.stream] = stream
        self.history.append(stream)
        self._advance()
        self._queue.append(stream)
        self._admit()
        self._arm()
        return stream

    def _refuse_some(self) -> None:
        """Refuse the share of orders that the engine should, evenly spread."""
        self._refused_before += self.refused_share
        if self._refused_before >= 1:
            self._refused_before -= 1
            raise TargetRefusedError("the engine refuses a share of its orders")

    def _prefill(self, prompt: str) -> float:
        if prompt in self._prefixes:
            self._prefixes.move_to_end(prompt)
            self.prefix_hits += 1
            return 0.0
        self.prefix_misses += 1
        self._prefixes[prompt] = None
        if len(self._prefixes) > _CACHED_PREFIXES:
            self._prefixes.popitem(last=False)
        is_request = prompt.startswith("request")
        return self.request_prefill if is_request else PREFILL_TOKENS

    def cancel(self, stream_id: str) -> None:
        """Stop a stream."""
        stream = self.streams.get(stream_id)
        if stream is None or stream.state not in ("queued", "running"):
            return
        self._advance()
        self._end(stream, "cancelled")
        self._admit()
        self._arm()

    def crash(self) -> None:
        """Lose all streams and versions."""
        self._advance()
        self.down = True
        for stream in list(self.streams.values()):
            if stream.state in ("queued", "running"):
                self._end(stream, "lost")
        self.streams.clear()
        self.loaded_by_workload.clear()
        self._prefixes.clear()
        self.incarnation += 1
        self._arm()

    def set_speed(self, speed: float) -> None:
        """Run at ``speed`` of the usual one from now on."""
        self._advance()
        self.speed = speed
        self._arm()

    def _end(self, stream: FakeStream, state: str) -> None:
        stream.state = state
        stream.ended_at = clock.now()
        if stream in self._running:
            self._running.remove(stream)
        if stream in self._queue:
            self._queue.remove(stream)
        stream.notify()

    def _admit(self) -> None:
        self._queue.sort(key=lambda each: (-each.priority, each.arrival))
        while self._queue and len(self._running) < self.slots:
            self._run(self._queue.pop(0))
        while self._queue:
            lowest = min(self._running, key=lambda each: (each.priority, -each.arrival))
            if lowest.priority >= self._queue[0].priority:
                return
            self._running.remove(lowest)
            lowest.state = "queued"
            self._run(self._queue.pop(0))
            self._queue.append(lowest)
            self._queue.sort(key=lambda each: (-each.priority, each.arrival))

    def _run(self, stream: FakeStream) -> None:
        stream.state = "running"
        self._running.append(stream)

    def _rate(self) -> float:
        """Return tokens a second of each running stream."""
        loading = _LOADING_SPEED if self._loading else 1.0
        share = self._total / max(1, len(self._running))
        return min(self._alone, share) * self.speed * loading

    def _advance(self) -> None:
        """Bring all running streams to now."""
        now = clock.now()
        seconds = now - self._advanced_at
        self._advanced_at = now
        if seconds <= 0:
            return
        rate = self._rate()
        minute = int(now // 60)
        for stream in list(self._running):
            stream.busy += seconds / self.slots
            key = (stream.workload, minute)
            self.busy_by_minute[key] = (
                self.busy_by_minute.get(key, 0) + seconds / self.slots
            )
            self._make(stream, rate * seconds)

    def _make(self, stream: FakeStream, tokens: float) -> None:
        prefill = min(stream.prefill, tokens)
        stream.prefill -= prefill
        stream.made += tokens - prefill
        loaded = self.loaded_by_workload.get(stream.workload)
        version = loaded.version if loaded else 0
        while True:
            done = sum_tokens(stream)
            size = min(_PIECE_TOKENS, stream.length - done)
            if stream.made + 1e-3 < done + size:
                return
            last = done + size >= stream.length
            stream.pieces.append(Piece(len(stream.pieces), size, "", version, last))
            if last:
                self._end(stream, "finished")
                self._admit()
                return
            stream.notify()

    def _arm(self) -> None:
        """Wake up when the next piece of any stream is made."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if not self._running:
            return
        lacking = min(
            stream.prefill
            + min(_PIECE_TOKENS, stream.length - sum_tokens(stream))
            - (stream.made - sum_tokens(stream))
            for stream in self._running
        )
        delay = max(0.02, lacking / self._rate())
        self._timer = asyncio.get_running_loop().call_later(delay, self._tick)

    def _tick(self) -> None:
        self._timer = None
        self._advance()
        self._arm()

    def report(self) -> LoadReport:
        """Return a load report that is some seconds old."""
        now = clock.now()
        if not self._reports or now - self._reports[-1][0] >= _REPORT_EVERY_SECONDS:
            mine = LoadReport(len(self._running), len(self._queue), self._total)
            self._reports.append((now, mine))
        for at, report in reversed(self._reports):
            if at <= now - _REPORT_EVERY_SECONDS:
                return report
        return LoadReport(0, 0, self._total)

    def order(self, order: VersionOrder) -> None:
        """Begin to load a version."""
        known = self.loaded_by_workload.get(order.workload)
        if known is not None and order.fence < known.fence:
            raise StaleFenceError("an order with a higher number was taken")
        if known is not None and known.loading == order.version:
            return
        if known is not None and known.version >= order.version:
            return
        version = known.version if known else 0
        self.loaded_by_workload[order.workload] = LoadedVersion(
            version, order.fence, order.version
        )
        asyncio.get_running_loop().create_task(self._load(order, self.incarnation))

    async def _load(self, order: VersionOrder, incarnation: int) -> None:
        self._advance()
        self._loading += 1
        self._arm()
        done = await self._store.download()
        self._advance()
        self._loading -= 1
        known = self.loaded_by_workload.get(order.workload)
        if self.incarnation == incarnation and known is not None:
            version = order.version if done else known.version
            loading = None if known.loading == order.version else known.loading
            self.loaded_by_workload[order.workload] = LoadedVersion(
                max(version, known.version), known.fence, loading
            )
        self._arm()


def sum_tokens(stream: FakeStream) -> int:
    """Return the tokens of the pieces made so far."""
    return min(len(stream.pieces) * _PIECE_TOKENS, stream.length)


class FakeEngineClient(EngineClient):
    """One host's way to a fake engine."""

    def __init__(self, engine: FakeEngine, zone: str, network: Network) -> None:
        self._engine = engine
        self._zone = zone
        self._network = network

    async def _arrive(self) -> None:
        """Take the way there; :raises TargetUnreachableError:."""
        engine = self._engine
        await self._network.travel(self._zone, engine.zone)
        if engine.down or {engine.zone, self._zone} & self._network.lost_zones:
            raise TargetUnreachableError(f"{engine.name} does not answer")

    async def generate(self, order: StreamOrder) -> AsyncIterator[Piece]:
        """See :meth:`EngineClient.generate`."""
        self._engine.requests_asked += order.stream.startswith("call.")
        await self._arrive()
        stream = self._engine.start_stream(order)
        async for piece in self._pieces(stream, 0):
            yield piece

    async def resume(self, stream: str, start: int) -> AsyncIterator[Piece]:
        """See :meth:`EngineClient.resume`."""
        await self._arrive()
        known = self._engine.streams.get(stream)
        if known is None or known.state == "cancelled":
            raise StreamLostError("the engine doesn't know the stream")
        async for piece in self._pieces(known, start):
            yield piece

    async def _pieces(self, stream: FakeStream, start: int) -> AsyncIterator[Piece]:
        sent = start
        engine = self._engine
        while True:
            while sent < len(stream.pieces):
                piece = stream.pieces[sent]
                sent += 1
                yield piece
                if piece.done:
                    return
            if stream.state in ("cancelled", "lost") or engine.down:
                raise StreamCutError(f"the stream was {stream.state}")
            if {engine.zone, self._zone} & self._network.lost_zones:
                raise StreamCutError("the zone is lost")
            try:
                async with asyncio.timeout(5):
                    await stream.changed.wait()
            except TimeoutError:
                continue

    async def cancel(self, stream: str) -> None:
        """See :meth:`EngineClient.cancel`."""
        try:
            await self._arrive()
        except TargetUnreachableError:
            return
        self._engine.cancel(stream)

    async def load(self) -> LoadReport:
        """See :meth:`EngineClient.load`."""
        await self._asked()
        return self._engine.report()

    async def state(self) -> EngineState:
        """See :meth:`EngineClient.state`."""
        await self._asked()
        return EngineState(
            self._engine.incarnation, dict(self._engine.loaded_by_workload)
        )

    async def order(self, order: VersionOrder) -> None:
        """See :meth:`EngineClient.order`."""
        await self._asked()
        self._engine.order(order)

    async def _asked(self) -> None:
        try:
            await self._arrive()
        except TargetUnreachableError as error:
            raise EngineError(error.detail) from None
