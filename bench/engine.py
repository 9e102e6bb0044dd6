"""A fake model engine that divides its token rate among its running streams."""

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
_LOADING_SPEED_FACTOR = 0.5
_REPORT_INTERVAL_SECONDS = 1.0
_PREFIX_CACHE_SIZE = 8
_QUEUE_LIMIT = 256


def sample_tokens(prompt: str, seed: int, max_tokens: int) -> int:
    """Return the tokens of an output: log-normal for samples, fixed for requests."""
    if prompt.startswith("request"):
        return REQUEST_TOKENS
    rng = random.Random(f"{prompt}/{seed}")
    return max(
        1,
        min(max_tokens, int(rng.lognormvariate(math.log(MEDIAN_TOKENS), LENGTH_SIGMA))),
    )


@dataclass(slots=True, eq=False)
class FakeStream:
    """One stream and its progress.

    ``engine_seconds`` is the engine time that the stream used; a second in one slot
    counts as 1 / slots. ``prefill`` is in tokens that are still to be processed.
    """

    id: str
    workload: str
    priority: int
    length: int
    prefill: float
    arrival: int
    generated_tokens: float = 0.0
    engine_seconds: float = 0.0
    pieces: list[Piece] = field(default_factory=list)
    state: str = "queued"
    changed: asyncio.Event = field(default_factory=asyncio.Event)
    ended_at: float = 0.0

    def notify(self) -> None:
        """Wake the tasks that wait for pieces of the stream."""
        self.changed.set()
        self.changed = asyncio.Event()


class FakeEngine:
    """A continuously batching engine on the virtual clock.

    :param tokens_per_second: highest tokens per second over all running streams.
    :param stream_tokens_per_second: highest tokens per second of a single stream.
    """

    def __init__(
        self,
        name: str,
        zone: str,
        slots: int,
        tokens_per_second: float,
        stream_tokens_per_second: float,
        store: WeightStore,
    ) -> None:
        self.name = name
        self.zone = zone
        self.slots = slots
        self._tokens_per_second = tokens_per_second
        self._stream_tokens_per_second = stream_tokens_per_second
        self._store = store
        self.down = False
        self.speed = 1.0
        self.incarnation = 1
        self.request_attempts = 0
        self.refused_share = 0.0
        self._refusals_due = 0.0
        self.request_prefill = 10.0
        self.streams: dict[str, FakeStream] = {}
        self.history: list[FakeStream] = []
        self.loaded_by_workload: dict[str, LoadedVersion] = {}
        self.engine_seconds_by_minute: dict[tuple[str, int], float] = {}
        self.prefix_hits = 0
        self.prefix_misses = 0
        self._running: list[FakeStream] = []
        self._queue: list[FakeStream] = []
        self._loading = 0
        self._prefix_cache: OrderedDict[str, None] = OrderedDict()
        self._advanced_at = clock.now()
        self._timer: asyncio.TimerHandle | None = None
        self._reports: deque[tuple[float, LoadReport]] = deque(maxlen=8)

    def start_stream(self, order: StreamOrder) -> FakeStream:
        """Queue a stream.

        :raises StreamExistsError: the engine already has a stream of this name.
        :raises TargetRefusedError: the queue is full, or the engine refuses the order.
        """
        if order.stream in self.streams:
            raise StreamExistsError(
                f"engine {self.name} already has stream {order.stream}"
            )
        if len(self._queue) >= _QUEUE_LIMIT:
            raise TargetRefusedError(
                f"queue of engine {self.name} is full; {order.stream} was refused"
            )
        self._refuse_configured_share()
        stream = FakeStream(
            order.stream,
            order.workload,
            order.priority,
            sample_tokens(order.prompt, order.seed, order.max_tokens),
            self._prefill_tokens(order.prompt),
            len(self.history),
        )
        self.streams[order.stream] = stream
        self.history.append(stream)
        self._advance()
        self._queue.append(stream)
        self._fill_slots()
        self._schedule_tick()
        return stream

    def _refuse_configured_share(self) -> None:
        """Refuse ``refused_share`` of the orders, spread evenly."""
        self._refusals_due += self.refused_share
        if self._refusals_due >= 1:
            self._refusals_due -= 1
            raise TargetRefusedError(
                f"engine {self.name} refused an order (refused_share)"
            )

    def _prefill_tokens(self, prompt: str) -> float:
        """Return the tokens of prefill that ``prompt`` needs; 0 on a cache hit."""
        if prompt in self._prefix_cache:
            self._prefix_cache.move_to_end(prompt)
            self.prefix_hits += 1
            return 0.0
        self.prefix_misses += 1
        self._prefix_cache[prompt] = None
        if len(self._prefix_cache) > _PREFIX_CACHE_SIZE:
            self._prefix_cache.popitem(last=False)
        is_request = prompt.startswith("request")
        return self.request_prefill if is_request else PREFILL_TOKENS

    def cancel(self, stream_id: str) -> None:
        """Cancel a stream that is queued or running."""
        stream = self.streams.get(stream_id)
        if stream is None or stream.state not in ("queued", "running"):
            return
        self._advance()
        self._end_stream(stream, "cancelled")
        self._fill_slots()
        self._schedule_tick()

    def crash(self) -> None:
        """Take the engine down, with the loss of its streams, versions and cache."""
        self._advance()
        self.down = True
        for stream in list(self.streams.values()):
            if stream.state in ("queued", "running"):
                self._end_stream(stream, "lost")
        self.streams.clear()
        self.loaded_by_workload.clear()
        self._prefix_cache.clear()
        self.incarnation += 1
        self._schedule_tick()

    def set_speed(self, speed: float) -> None:
        """Multiply the rates of the engine by ``speed`` from now on."""
        self._advance()
        self.speed = speed
        self._schedule_tick()

    def _end_stream(self, stream: FakeStream, state: str) -> None:
        stream.state = state
        stream.ended_at = clock.now()
        if stream in self._running:
            self._running.remove(stream)
        if stream in self._queue:
            self._queue.remove(stream)
        stream.notify()

    def _fill_slots(self) -> None:
        """Run queued streams in free slots; then preempt streams of lower priority."""
        self._queue.sort(key=lambda each: (-each.priority, each.arrival))
        while self._queue and len(self._running) < self.slots:
            self._start_running(self._queue.pop(0))
        while self._queue:
            lowest = min(self._running, key=lambda each: (each.priority, -each.arrival))
            if lowest.priority >= self._queue[0].priority:
                return
            self._running.remove(lowest)
            lowest.state = "queued"
            self._start_running(self._queue.pop(0))
            self._queue.append(lowest)
            self._queue.sort(key=lambda each: (-each.priority, each.arrival))

    def _start_running(self, stream: FakeStream) -> None:
        stream.state = "running"
        self._running.append(stream)

    def _stream_rate(self) -> float:
        """Return the tokens per second of each running stream."""
        loading = _LOADING_SPEED_FACTOR if self._loading else 1.0
        share = self._tokens_per_second / max(1, len(self._running))
        return min(self._stream_tokens_per_second, share) * self.speed * loading

    def _advance(self) -> None:
        """Advance all running streams to the present time."""
        now = clock.now()
        seconds = now - self._advanced_at
        self._advanced_at = now
        if seconds <= 0:
            return
        rate = self._stream_rate()
        minute = int(now // 60)
        for stream in list(self._running):
            stream.engine_seconds += seconds / self.slots
            key = (stream.workload, minute)
            self.engine_seconds_by_minute[key] = (
                self.engine_seconds_by_minute.get(key, 0) + seconds / self.slots
            )
            self._generate(stream, rate * seconds)

    def _generate(self, stream: FakeStream, tokens: float) -> None:
        """Use ``tokens`` of engine work for prefill first, then for output pieces."""
        prefill = min(stream.prefill, tokens)
        stream.prefill -= prefill
        stream.generated_tokens += tokens - prefill
        loaded = self.loaded_by_workload.get(stream.workload)
        version = loaded.version if loaded else 0
        while True:
            emitted = emitted_tokens(stream)
            size = min(_PIECE_TOKENS, stream.length - emitted)
            if stream.generated_tokens + 1e-3 < emitted + size:
                return
            last = emitted + size >= stream.length
            stream.pieces.append(Piece(len(stream.pieces), size, "", version, last))
            if last:
                self._end_stream(stream, "finished")
                self._fill_slots()
                return
            stream.notify()

    def _schedule_tick(self) -> None:
        """Schedule a tick for when the next piece of any stream is complete."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if not self._running:
            return
        remaining_tokens = min(
            stream.prefill
            + min(_PIECE_TOKENS, stream.length - emitted_tokens(stream))
            - (stream.generated_tokens - emitted_tokens(stream))
            for stream in self._running
        )
        delay = max(0.02, remaining_tokens / self._stream_rate())
        self._timer = asyncio.get_running_loop().call_later(delay, self._tick)

    def _tick(self) -> None:
        self._timer = None
        self._advance()
        self._schedule_tick()

    def report(self) -> LoadReport:
        """Return the newest load report that is at least a report interval old.

        The delay models engines whose reports lag behind their load.
        """
        now = clock.now()
        if not self._reports or now - self._reports[-1][0] >= _REPORT_INTERVAL_SECONDS:
            current = LoadReport(
                len(self._running), len(self._queue), self._tokens_per_second
            )
            self._reports.append((now, current))
        for at, report in reversed(self._reports):
            if at <= now - _REPORT_INTERVAL_SECONDS:
                return report
        return LoadReport(0, 0, self._tokens_per_second)

    def order(self, order: VersionOrder) -> None:
        """Start to load a version.

        :raises StaleFenceError: an order with a higher fencing token was accepted.
        """
        loaded = self.loaded_by_workload.get(order.workload)
        if loaded is not None and order.fence < loaded.fence:
            raise StaleFenceError(
                f"engine {self.name} accepted a higher fence than {order.fence} before"
            )
        if loaded is not None and loaded.loading == order.version:
            return
        if loaded is not None and loaded.version >= order.version:
            return
        version = loaded.version if loaded else 0
        self.loaded_by_workload[order.workload] = LoadedVersion(
            version, order.fence, order.version
        )
        asyncio.get_running_loop().create_task(self._load(order, self.incarnation))

    async def _load(self, order: VersionOrder, incarnation: int) -> None:
        self._advance()
        self._loading += 1
        self._schedule_tick()
        succeeded = await self._store.download()
        self._advance()
        self._loading -= 1
        loaded = self.loaded_by_workload.get(order.workload)
        if self.incarnation == incarnation and loaded is not None:
            version = order.version if succeeded else loaded.version
            loading = None if loaded.loading == order.version else loaded.loading
            self.loaded_by_workload[order.workload] = LoadedVersion(
                max(version, loaded.version), loaded.fence, loading
            )
        self._schedule_tick()


def emitted_tokens(stream: FakeStream) -> int:
    """Return the tokens of the pieces that are complete."""
    return min(len(stream.pieces) * _PIECE_TOKENS, stream.length)


class FakeEngineClient(EngineClient):
    """One host's client of a fake engine."""

    def __init__(self, engine: FakeEngine, zone: str, network: Network) -> None:
        self._engine = engine
        self._zone = zone
        self._network = network

    async def _reach_engine(self) -> None:
        """Wait for the latency to the engine.

        :raises TargetUnreachableError: the engine is down or one of the zones is lost.
        """
        engine = self._engine
        await self._network.delay(self._zone, engine.zone)
        if engine.down or {engine.zone, self._zone} & self._network.lost_zones:
            raise TargetUnreachableError(f"engine {engine.name} is unreachable")

    async def generate(self, order: StreamOrder) -> AsyncIterator[Piece]:
        """See :meth:`EngineClient.generate`."""
        self._engine.request_attempts += order.stream.startswith("call.")
        await self._reach_engine()
        stream = self._engine.start_stream(order)
        async for piece in self._pieces(stream, 0):
            yield piece

    async def resume(self, stream: str, start: int) -> AsyncIterator[Piece]:
        """See :meth:`EngineClient.resume`."""
        await self._reach_engine()
        loaded = self._engine.streams.get(stream)
        if loaded is None or loaded.state == "cancelled":
            raise StreamLostError(
                f"engine {self._engine.name} has no stream {stream} to resume"
            )
        async for piece in self._pieces(loaded, start):
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
                raise StreamCutError(
                    f"stream {stream.id} stopped at engine {engine.name}"
                    f" in state {stream.state}"
                )
            if {engine.zone, self._zone} & self._network.lost_zones:
                raise StreamCutError(
                    f"engine {engine.name} became unreachable: a zone is lost"
                )
            try:
                async with asyncio.timeout(5):
                    await stream.changed.wait()
            except TimeoutError:
                continue

    async def cancel(self, stream: str) -> None:
        """See :meth:`EngineClient.cancel`."""
        try:
            await self._reach_engine()
        except TargetUnreachableError:
            return
        self._engine.cancel(stream)

    async def load(self) -> LoadReport:
        """See :meth:`EngineClient.load`."""
        await self._reach_engine_control()
        return self._engine.report()

    async def state(self) -> EngineState:
        """See :meth:`EngineClient.state`."""
        await self._reach_engine_control()
        return EngineState(
            self._engine.incarnation, dict(self._engine.loaded_by_workload)
        )

    async def order(self, order: VersionOrder) -> None:
        """See :meth:`EngineClient.order`."""
        await self._reach_engine_control()
        self._engine.order(order)

    async def _reach_engine_control(self) -> None:
        """Wait for the latency to the engine; raise ``EngineError`` if unreachable."""
        try:
            await self._reach_engine()
        except TargetUnreachableError as error:
            raise EngineError(error.detail) from None
