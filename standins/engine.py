"""Stand-in for a model engine with continuous batching."""

import asyncio
import json
from collections import deque
from collections.abc import AsyncIterator
from contextlib import aclosing
from dataclasses import dataclass
from typing import Any

import click
from aiohttp import web
from pydantic import BaseModel, Field, NonNegativeInt, PositiveInt

from ._downloads import FixedDelaySource, HttpSource, WeightSource
from ._generation import (
    PIECE_TOKENS,
    Piece,
    StreamState,
    TokenStream,
    generated_length,
)
from ._orders import Order, OrderBook, StaleFence
from ._prefixes import PrefixCache, PrefixNotCached
from ._program import (
    ConnectionBroken,
    FaultSettings,
    Program,
    Standin,
    StandinError,
    close_connection,
    listen_options,
    loop_time,
    parse_body,
    run_program,
    wall_time,
)

TICK_SECONDS = 0.02
MAX_TICK_SECONDS = 0.2
UNREAD_STREAM_TTL_SECONDS = 60.0
PREFILL_CHARACTERS_PER_SECOND = 4000.0
LOADING_SLOWDOWN_FACTOR = 1.5
MAX_RECORDED_LOADS = 100_000


class RefusedBeforeRun(StandinError):
    """The engine refused the request without running it."""


class StreamExists(StandinError):
    """A stream with this id exists already."""


class UnknownStream(StandinError):
    """No stream has this id."""


class EngineFaults(FaultSettings):
    """Fault settings of an engine; ``slow`` is the factor that divides its rate."""

    refuse: NonNegativeInt = 0
    cut_after: PositiveInt | None = None
    slow: float = Field(default=1.0, gt=0)
    fail_loads: NonNegativeInt = 0
    unstamped: bool = False
    crash: bool = False


class GenerateBody(BaseModel):
    """A request to generate, in the format of the protocol."""

    stream: str
    workload: str
    prompt: str
    max_tokens: PositiveInt
    seed: int = 0
    priority: int = 0
    min_version: int | None = None
    piece_tokens: PositiveInt = PIECE_TOKENS


class ExportBody(BaseModel):
    """Body of a request that exports a cached prefix."""

    prefix: str


class ImportBody(ExportBody):
    """Body of a request that imports a prefix from another engine."""

    blob: str


@dataclass
class LoadSample:
    """Load of the engine from the loop time ``since`` on."""

    since: float
    running: int
    queued: int
    cached_prefixes: int


class EngineStandin(Standin):
    """Engine that divides its token rate among the running streams.

    :param slots: maximum number of running streams.
    :param tokens_per_second: rate of all running streams together.
    :param fencing: whether orders with an old fencing token are rejected.
    :param source: source of the weights.
    :param load_lag: seconds by which the load report lags.
    :param cache_prefixes: capacity of the prefix cache.
    """

    def __init__(
        self,
        engine_id: str = "engine",
        zone: str = "a",
        slots: int = 8,
        tokens_per_second: float = 1000.0,
        fencing: bool = True,
        source: WeightSource | None = None,
        load_lag: float = 1.0,
        cache_prefixes: int = 64,
    ) -> None:
        self.id = engine_id
        self.zone = zone
        self.slots = slots
        self.tokens_per_second = tokens_per_second
        self.load_lag = load_lag
        self.faults: EngineFaults = EngineFaults()
        self.incarnation = int(wall_time() * 1000)
        self.cache = PrefixCache(cache_prefixes)
        self.orders = OrderBook(
            fencing,
            source or FixedDelaySource(),
            self._consume_load_fault,
            self._on_load_finished,
        )
        self.by_stream: dict[str, TokenStream] = {}
        self._queue: list[TokenStream] = []
        self._running: list[TokenStream] = []
        self._streams: list[TokenStream] = []
        self._loads = deque(
            [LoadSample(float("-inf"), 0, 0, 0)], maxlen=MAX_RECORDED_LOADS
        )
        self._refused = 0
        self._crashes = 0
        self._has_work = asyncio.Event()
        self._tick_task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start the generation loop."""
        self._tick_task = asyncio.create_task(self._run_ticks())

    async def stop(self) -> None:
        """Stop generation and loads."""
        if self._tick_task is not None:
            self._tick_task.cancel()
        self._drop_all()
        self.orders.reset()

    def generate(self, body: GenerateBody) -> TokenStream:
        """Queue a new stream.

        :raises RefusedBeforeRun: the request was refused without a run.
        :raises StreamExists: a stream with this id exists already.
        """
        self._expire()
        if body.stream in self.by_stream:
            raise StreamExists
        self._check_refusal(body)
        stream = TokenStream(
            id=body.stream,
            workload=body.workload,
            prompt=body.prompt,
            seed=body.seed,
            length=generated_length(body.prompt, body.seed, body.max_tokens),
            priority=body.priority,
            min_version=body.min_version,
            arrival=len(self._streams),
            piece_tokens=body.piece_tokens,
            unread_since=loop_time(),
        )
        self.by_stream[stream.id] = stream
        self._streams.append(stream)
        self._queue.append(stream)
        self._queue.sort(key=lambda queued: (-queued.priority, queued.arrival))
        self._schedule()
        self._has_work.set()
        return stream

    async def read(self, stream_id: str, start: int = 0) -> AsyncIterator[Piece]:
        """Yield the pieces from number ``start`` on as they are generated.

        :raises UnknownStream: no stream has this id.
        :raises ConnectionBroken: the stream was dropped or cut by a fault.
        """
        self._expire()
        stream = self.by_stream.get(stream_id)
        if stream is None:
            raise UnknownStream
        stream.readers += 1
        try:
            async for piece in self._follow_pieces(stream, start):
                yield piece
        finally:
            stream.readers -= 1
            stream.unread_since = loop_time()

    def cancel(self, stream_id: str) -> None:
        """Cancel and drop a stream; an unknown stream is ignored."""
        stream = self.by_stream.get(stream_id)
        if stream is not None:
            self._drop(stream, StreamState.CANCELLED)
            self._schedule()

    def load(self) -> dict[str, Any]:
        """Return the load of ``load_lag`` seconds ago."""
        visible_until = loop_time() - self.load_lag
        while len(self._loads) > 1 and self._loads[1].since <= visible_until:
            self._loads.popleft()
        load = self._loads[0]
        return {
            "as_of": wall_time() - self.load_lag,
            "running": load.running,
            "queued": load.queued,
            "slots": self.slots,
            "tokens_per_second": self.tokens_per_second / self.faults.slow,
            "cached_prefixes": load.cached_prefixes,
        }

    def state(self) -> dict[str, Any]:
        """Return the incarnation, the role and the version of each workload."""
        by_workload = {}
        for workload, state in self.orders.by_workload.items():
            if not workload:
                continue
            by_workload[workload] = {
                "version": state.version,
                "fence": state.fence,
                "loading": state.loading,
            }
        return {
            "incarnation": self.incarnation,
            "role": self.orders.role,
            "by_workload": by_workload,
        }

    def crash(self) -> None:
        """Drop all streams, versions and caches and restart with a new incarnation."""
        self._drop_all()
        self.orders.reset()
        self.cache.clear()
        self.incarnation = max(self.incarnation + 1, int(wall_time() * 1000))
        self._crashes += 1
        self._record_load()

    def on_faults_changed(self, names: set[str]) -> None:
        """Crash if the ``crash`` fault was set."""
        if self.faults.crash:
            self.faults.crash = False
            self.crash()

    def record(self) -> dict[str, Any]:
        """Return all streams and orders, including those before a crash."""
        return {
            "id": self.id,
            "zone": self.zone,
            "incarnation": self.incarnation,
            "crashes": self._crashes,
            "refused": self._refused,
            "tokens": sum(stream.tokens for stream in self._streams),
            "streams": [stream.as_record() for stream in self._streams],
            "orders_applied": [order.as_record() for order in self.orders.accepted],
            "orders_refused": list(self.orders.refused),
        }

    def _check_refusal(self, body: GenerateBody) -> None:
        refused = self.faults.refuse > 0
        if refused:
            self.faults.refuse -= 1
        state = self.orders.state(body.workload)
        newest_version = max(state.version, state.loading or 0)
        if body.min_version is not None and newest_version < body.min_version:
            refused = True
        if refused:
            self._refused += 1
            raise RefusedBeforeRun

    async def _follow_pieces(
        self, stream: TokenStream, start: int
    ) -> AsyncIterator[Piece]:
        seq = start
        while True:
            if stream.is_dropped:
                raise ConnectionBroken
            changed = stream.changed
            for piece in stream.pieces[seq:]:
                self._raise_if_cut(stream, seq - start)
                yield piece
                seq += 1
            if stream.state is StreamState.FINISHED and seq >= len(stream.pieces):
                return
            await changed.wait()

    def _raise_if_cut(self, stream: TokenStream, sent: int) -> None:
        limit = self.faults.cut_after
        if limit is None or stream.was_cut or sent < limit:
            return
        stream.was_cut = True
        raise ConnectionBroken

    async def _run_ticks(self) -> None:
        while True:
            await self._has_work.wait()
            before = loop_time()
            await asyncio.sleep(TICK_SECONDS)
            self._tick(min(loop_time() - before, MAX_TICK_SECONDS))

    def _tick(self, elapsed: float) -> None:
        self._expire()
        self._schedule()
        rate = self._current_rate()
        tokens_per_stream = rate * elapsed / max(len(self._running), 1)
        for stream in list(self._running):
            stream.prefill_seconds_left -= elapsed
            if stream.prefill_seconds_left > 0:
                continue
            stream.add_credit(tokens_per_stream, self._version_stamp(stream.workload))
            if not stream.is_open:
                self._running.remove(stream)
        self._schedule()
        if not self._running and not self._queue:
            self._has_work.clear()

    def _current_rate(self) -> float:
        rate = self.tokens_per_second / self.faults.slow
        return rate / LOADING_SLOWDOWN_FACTOR if self.orders.is_loading else rate

    def _version_stamp(self, workload: str) -> int | None:
        if self.faults.unstamped:
            return None
        return self.orders.state(workload).version

    def _schedule(self) -> None:
        for stream in list(self._queue):
            if len(self._running) >= self.slots:
                break
            needed = stream.min_version
            version = self.orders.state(stream.workload).version
            if needed is not None and version < needed:
                continue
            self._queue.remove(stream)
            self._start_stream(stream)
        self._record_load()

    def _start_stream(self, stream: TokenStream) -> None:
        cached = self.cache.lookup_or_store(stream.prompt, stream.workload)
        uncached_characters = len(stream.prompt) - cached
        stream.prefill_seconds_left = (
            uncached_characters / PREFILL_CHARACTERS_PER_SECOND
        )
        stream.state = StreamState.RUNNING
        stream.started_wall = wall_time()
        self._running.append(stream)

    def _record_load(self) -> None:
        load = LoadSample(
            loop_time(), len(self._running), len(self._queue), len(self.cache)
        )
        last = self._loads[-1]
        if (load.running, load.queued) != (last.running, last.queued):
            self._loads.append(load)

    def _expire(self) -> None:
        unread_before = loop_time() - UNREAD_STREAM_TTL_SECONDS
        for stream in list(self.by_stream.values()):
            if stream.readers or stream.unread_since > unread_before:
                continue
            self._drop(stream, StreamState.EXPIRED)

    def _drop(self, stream: TokenStream, state: StreamState) -> None:
        del self.by_stream[stream.id]
        if stream in self._queue:
            self._queue.remove(stream)
        if stream in self._running:
            self._running.remove(stream)
        if stream.is_open:
            stream.end(state)
        stream.drop_pieces()

    def _drop_all(self) -> None:
        for stream in list(self.by_stream.values()):
            self._drop(stream, StreamState.LOST)

    def _consume_load_fault(self) -> bool:
        if not self.faults.fail_loads:
            return False
        self.faults.fail_loads -= 1
        return True

    def _on_load_finished(self, workload: str) -> None:
        self.cache.drop_workload(workload)
        version = self.orders.state(workload).version
        for stream in list(self._queue):
            if stream.workload != workload or stream.min_version is None:
                continue
            if version < stream.min_version:
                self._drop(stream, StreamState.LOST)
        self._schedule()


class EngineProgram(Program):
    """HTTP server of an engine."""

    name = "engine"
    standin: EngineStandin

    def routes(self) -> list[web.RouteDef]:
        """Return the routes of an engine."""
        return [
            web.post("/v1/generate", self._generate),
            web.get("/v1/streams/{id}", self._read),
            web.delete("/v1/streams/{id}", self._cancel),
            web.get("/v1/load", self._load),
            web.get("/v1/state", self._state),
            web.post("/v1/orders", self._order),
            web.post("/v1/kv/export", self._export),
            web.post("/v1/kv/import", self._import),
            web.get("/v1/cache/events", self._events),
        ]

    async def _generate(self, request: web.Request) -> web.StreamResponse:
        body = await parse_body(request, GenerateBody)
        try:
            stream = self.standin.generate(body)
        except StreamExists:
            return web.json_response({"code": "stream_exists"}, status=409)
        except RefusedBeforeRun:
            headers = {"X-Not-Run": "1"}
            return web.json_response({"code": "refused"}, status=503, headers=headers)
        return await self._send(request, stream.id, 0)

    async def _read(self, request: web.Request) -> web.StreamResponse:
        start = max(int(request.query.get("from", 0)), 0)
        stream_id = request.match_info["id"]
        if stream_id not in self.standin.by_stream:
            return web.json_response({"code": "unknown_stream"}, status=404)
        return await self._send(request, stream_id, start)

    async def _send(
        self, request: web.Request, stream_id: str, start: int
    ) -> web.StreamResponse:
        response = web.StreamResponse(headers={"Content-Type": "application/x-ndjson"})
        async with aclosing(self.standin.read(stream_id, start)) as pieces:
            await response.prepare(request)
            try:
                async for piece in pieces:
                    await response.write(json.dumps(piece.as_json()).encode() + b"\n")
            except (ConnectionBroken, UnknownStream):
                close_connection(request)
        return response

    async def _cancel(self, request: web.Request) -> web.Response:
        self.standin.cancel(request.match_info["id"])
        return web.Response(status=204)

    async def _load(self, request: web.Request) -> web.Response:
        return web.json_response(self.standin.load())

    async def _state(self, request: web.Request) -> web.Response:
        return web.json_response(self.standin.state())

    async def _order(self, request: web.Request) -> web.Response:
        order = await parse_body(request, Order)
        try:
            self.standin.orders.accept(order)
        except StaleFence as error:
            answer = {"code": "stale_fence", "fence": error.fence}
            return web.json_response(answer, status=409)
        return web.json_response({"order": order.order}, status=202)

    async def _export(self, request: web.Request) -> web.Response:
        body = await parse_body(request, ExportBody)
        try:
            blob = self.standin.cache.export_blob(body.prefix)
        except PrefixNotCached:
            return web.json_response({"code": "not_cached"}, status=404)
        return web.json_response({"prefix": body.prefix, "blob": blob})

    async def _import(self, request: web.Request) -> web.Response:
        body = await parse_body(request, ImportBody)
        self.standin.cache.import_blob(body.prefix)
        return web.Response(status=204)

    async def _events(self, request: web.Request) -> web.Response:
        start = int(request.query.get("from", 0))
        events, next_number = self.standin.cache.events(start)
        return web.json_response({"events": events, "next": next_number})


@click.command()
@listen_options
@click.option("--id", "engine_id", default="engine", help="Name of the engine.")
@click.option("--zone", default="a", help="Availability zone.")
@click.option("--slots", type=int, default=8, help="Maximum running streams.")
@click.option("--tokens-per-second", type=float, default=1000.0)
@click.option(
    "--fencing", type=click.Choice(["honoured", "ignored"]), default="honoured"
)
@click.option("--weights", help="Base URL of the weight store.")
@click.option(
    "--load-lag", type=float, default=1.0, help="Lag of the load report, seconds."
)
@click.option("--cache-prefixes", type=int, default=64)
def main(ip: str, port: int, fencing: str, weights: str | None, **options: Any) -> None:
    """Serve the stand-in of a model engine."""
    source = HttpSource(weights) if weights else FixedDelaySource()
    standin = EngineStandin(fencing=fencing == "honoured", source=source, **options)
    run_program(EngineProgram(standin), ip, port)


if __name__ == "__main__":
    main()
