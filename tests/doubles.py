"""Test doubles for parts of a host, and a scripted HTTP target."""

from __future__ import annotations

import asyncio
import random
from collections.abc import AsyncIterator, Awaitable, Callable, Mapping
from contextlib import suppress
from typing import Any

from cranberryrun.configuration import Configuration
from cranberryrun.engines import Engine, EngineClient, Engines, Piece, StreamOrder
from cranberryrun.events import Events
from cranberryrun.exceptions import (
    AppendUnknownError,
    LogReadError,
    LogUnavailableError,
    StreamCutError,
)
from cranberryrun.http import HttpClients
from cranberryrun.kernel import Kernel, Service
from cranberryrun.log import Log, LogPage, Record
from cranberryrun.membership import Membership
from cranberryrun.metrics import Metrics
from cranberryrun.models import EngineSpec, ServiceSpec, ServiceTarget
from cranberryrun.pause_detector import PauseDetector
from cranberryrun.request_router import RequestRouter
from cranberryrun.routing import BoundedAffinity, LeastLoaded
from cranberryrun.services import Answer, Call, ServiceClient, Sink
from cranberryrun.settings import Settings, parse_settings
from cranberryrun.state import ConfigState, Resource

Script = Callable[[asyncio.StreamWriter], Awaitable[None]]


def settings(host: str = "h1", **changes: Any) -> Settings:
    """Return valid settings of a host; nothing listens at its URLs."""
    data = {
        "id": host,
        "incarnation": 1,
        "zone": "z1",
        "api_port": 0,
        "peer_port": 0,
        "log": {"url": "http://127.0.0.1:1"},
        "host_list_url": "http://127.0.0.1:1",
    }
    return parse_settings(data | changes)


def report(sequence):
    """Return the report of an engine that has accepted so many orders."""
    return b'{"busy": false, "models": [], "sequence": %d}' % sequence


class RawTarget:
    """An HTTP/1.1 server on a raw socket that records the bytes it receives.

    :param scripts: answer the requests in turn; the last one is used again.
    """

    def __init__(self, *scripts: Script) -> None:
        self._scripts = list(scripts)
        self.connections = 0
        self.received = bytearray()
        self.requests: list[tuple[str, bytes]] = []
        self._server: asyncio.Server | None = None

    async def __aenter__(self) -> RawTarget:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return self

    async def __aexit__(self, *error: Any) -> None:
        self._server.close()

    @property
    def url(self) -> str:
        """The base URL."""
        return f"http://127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    def target(self, name: str = "t1", zone: str = "z1") -> ServiceTarget:
        """Return the target's declaration for a service."""
        return ServiceTarget(id=name, url=self.url, zone=zone)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connections += 1
        with suppress(EOFError, ConnectionError, asyncio.CancelledError):
            while not writer.is_closing():
                await self._serve_one(reader, writer)
        writer.close()

    async def _serve_one(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        head = await reader.readuntil(b"\r\n\r\n")
        self.received += head
        length = 0
        for line in head.lower().split(b"\r\n"):
            if line.startswith(b"content-length:"):
                length = int(line.split(b":")[1])
        body = await reader.readexactly(length)
        self.received += body
        self.requests.append((head.decode(), body))
        script = self._scripts.pop(0) if len(self._scripts) > 1 else self._scripts[0]
        await script(writer)
        await writer.drain()


def answer(body: bytes = b"ok", status: str = "200 OK", *headers: str) -> Script:
    """Return a script that answers with ``body``."""

    async def script(writer: asyncio.StreamWriter) -> None:
        lines = [f"HTTP/1.1 {status}", f"Content-Length: {len(body)}", *headers]
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)

    return script


def head(status: str, *headers: str) -> Script:
    """Return a script that sends only the head of an answer."""

    async def script(writer: asyncio.StreamWriter) -> None:
        writer.write("\r\n".join([f"HTTP/1.1 {status}", *headers, "", ""]).encode())

    return script


def refuse() -> Script:
    """Return a script that refuses the request and marks it as not run."""
    return answer(b"", "503 Service Unavailable", "X-Not-Run: 1")


async def drop(writer: asyncio.StreamWriter) -> None:
    """Close the connection without an answer."""
    writer.close()


async def hang(writer: asyncio.StreamWriter) -> None:
    """Keep the connection open without an answer."""
    await asyncio.sleep(3600)


def cut(body: bytes, missing: int) -> Script:
    """Return a script whose answer lacks the last ``missing`` bytes of its body."""

    async def script(writer: asyncio.StreamWriter) -> None:
        length = len(body) + missing
        writer.write(f"HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n".encode())
        writer.write(body)
        await writer.drain()
        writer.close()

    return script


class ListSink(Sink):
    """Stores the parts of an answer in a list."""

    def __init__(self) -> None:
        self.parts: list[bytes] = []
        self.length: int | None = None

    async def begin(
        self, status: int, headers: Mapping[str, str], length: int | None
    ) -> None:
        self.begun = True
        self.length = length

    async def write(self, data: bytes) -> None:
        self.parts.append(data)


class StubConfiguration(Configuration):
    """A configuration whose content a test writes."""

    def __init__(self) -> None:
        Service.__init__(self)
        self.state = ConfigState()
        self.ready = asyncio.Event()
        self.ready.set()
        self.log_up = True

    async def start(self) -> None:
        return

    def declare(self, name: str, spec: ServiceSpec) -> None:
        """Declare a service."""
        resource = Resource("services", name, 1, spec, 0, 0.0, "c1")
        self.state.by_key["services", name] = resource


class StubMembership(Membership):
    """A membership that starts with an empty host list and does not poll."""

    async def start(self) -> None:
        self.apply_host_list([])


class StubPauseDetector(PauseDetector):
    """Detects no pauses."""

    async def start(self) -> None:
        return

    async def refresh_if_stale(self) -> None:
        return


class StubEngines(Engines):
    """Engines that a test adds."""

    async def start(self) -> None:
        return

    def add(self, name: str, client: EngineClient, pool: str = "p1") -> Engine:
        """Add an engine of ``pool``."""
        spec = EngineSpec(url="http://127.0.0.1:1", zone="z1", pool=pool)
        self.by_name[name] = Engine(name, spec, 0, client)
        self._names_by_pool.setdefault(pool, []).append(name)
        self._subset_by_pool[pool] = self._names_by_pool[pool]
        return self.by_name[name]

    def usable(self, pool: str) -> list[Engine]:
        return [
            engine
            for engine in self.by_name.values()
            if engine.spec.pool == pool and engine.health.usable()
        ]


class StubTraffic(RequestRouter):
    """Traffic whose clients a test may replace, by target id."""

    client_by_id: dict[str, ServiceClient] = {}

    def client_for(self, target: ServiceTarget) -> ServiceClient:
        return self.client_by_id.get(target.id) or super().client_for(target)


class TrafficHost:
    """The services of a host that forward requests to targets."""

    def __init__(self, **changes: Any) -> None:
        host_settings = settings(**changes)
        self.settings = host_settings
        rng = random.Random(7)
        self.kernel = Kernel()
        self.configuration = StubConfiguration()
        self.membership = StubMembership(host_settings, 1)
        self.engines = StubEngines(host_settings)
        self.traffic = StubTraffic(
            host_settings, BoundedAffinity(LeastLoaded(rng)), rng
        )
        self.events = Events(host_settings.id, 1, 1000)
        self.metrics = Metrics(host_settings.id)
        self.traffic.client_by_id = {}
        for service in (
            self.events,
            self.metrics,
            HttpClients(host_settings.timing.connect_timeout),
            self.configuration,
            self.membership,
            StubPauseDetector(host_settings),
            self.engines,
            self.traffic,
        ):
            self.kernel.register(service)

    async def __aenter__(self) -> TrafficHost:
        # Bypasses Kernel.start(), which fails if a required service is missing: the
        # stubs inherit requirements that they do not need.
        for service in self.kernel._by_name.values():
            await service.start()
            self.kernel._started.append(service)
        return self

    async def __aexit__(self, *error: Any) -> None:
        await self.kernel.stop()

    def declare(self, *targets: ServiceTarget, **fields: Any) -> None:
        """Declare the service ``s``."""
        spec = ServiceSpec(targets=list(targets), **fields)
        self.configuration.declare("s", spec)

    async def send(
        self, method: str = "GET", sink: Sink | None = None, **fields: Any
    ) -> Answer:
        """Send a request to the service ``s``."""
        return await self.traffic.send(call(method, **fields), sink)

    def events_named(self, name: str) -> list[dict[str, Any]]:
        """Return the events called ``name``."""
        rows = [event.as_dict() for event in self.events.after(-1)]
        return [row for row in rows if row["event"] == name]


def call(method: str = "GET", seconds: float = 5.0, **fields: Any) -> Call:
    """Return a call to the service ``s``."""
    values = {
        "service": "s",
        "path": "x",
        "request": "r1",
        "caller": "c1",
        "deadline": asyncio.get_running_loop().time() + seconds,
    }
    return Call(method=method, **(values | fields))


class Streams(dict[str, list[Record]]):
    """The streams of a log, with the events to set when a record is added."""

    def __init__(self) -> None:
        super().__init__()
        self.waiters: set[asyncio.Event] = set()


class MemoryLog(Log):
    """An in-memory log; several hosts may share its ``streams``.

    :ivar down: whether the log refuses every call.
    :ivar lose: number of appends to come that take effect but whose answers are lost.
    :ivar delay: if not zero, appends take effect after this many seconds, and their
        answers are lost.
    :ivar appends: number of appends that were accepted.
    :ivar clock: time stamp of new records.
    """

    def __init__(self, streams: Streams | None = None) -> None:
        super().__init__()
        self.streams = Streams() if streams is None else streams
        self.down = False
        self.lose = 0
        self.delay = 0.0
        self.appends = 0
        self.clock = 0.0

    async def append(self, stream: str, values: list[Any]) -> int:
        await asyncio.sleep(0.001)
        if self.down:
            raise LogUnavailableError("down")
        self.appends += 1
        if self.delay:
            loop = asyncio.get_running_loop()
            loop.call_later(self.delay, self._add, stream, values)
            raise AppendUnknownError("slow")
        offset = self._add(stream, values)
        if self.lose:
            self.lose -= 1
            raise AppendUnknownError("lost")
        return offset

    def _add(self, stream: str, values: list[Any]) -> int:
        records = self.streams.setdefault(stream, [])
        offset = records[-1].offset + 1 if records else 0
        for n, value in enumerate(values):
            records.append(Record(offset + n, self.clock, value))
        for waiter in self.streams.waiters:
            waiter.set()
        return offset

    async def read(self, stream: str, start: int, limit: int, wait: float) -> LogPage:
        deadline = asyncio.get_running_loop().time() + wait
        while True:
            await asyncio.sleep(0.001)
            if self.down:
                raise LogReadError("down")
            records = self.streams.get(stream, [])
            page = [record for record in records if record.offset >= start][:limit]
            is_past_deadline = asyncio.get_running_loop().time() >= deadline
            if page or is_past_deadline:
                first = records[0].offset if records else 0
                after = page[-1].offset + 1 if page else start
                return LogPage(page, first, after)
            await self._wait(deadline)

    async def _wait(self, deadline: float) -> None:
        waiter = asyncio.Event()
        self.streams.waiters.add(waiter)
        with suppress(TimeoutError):
            async with asyncio.timeout_at(deadline):
                await waiter.wait()
        self.streams.waiters.discard(waiter)


class ScriptedEngine(EngineClient):
    """Generates ``total`` pieces, one every tenth of a second.

    :param cuts: sequence numbers of the pieces before which the connection breaks,
        once each.
    """

    def __init__(self, total: int, cuts: set[int] | None = None) -> None:
        self.total = total
        self.cuts = cuts or set()
        self.started: list[StreamOrder] = []
        self.resumed: list[int] = []
        self.cancelled: list[str] = []

    async def generate(self, order: StreamOrder) -> AsyncIterator[Piece]:
        self.started.append(order)
        async for piece in self._generate_from(0):
            yield piece

    async def resume(self, stream: str, start: int) -> AsyncIterator[Piece]:
        self.resumed.append(start)
        async for piece in self._generate_from(start):
            yield piece

    async def _generate_from(self, start: int) -> AsyncIterator[Piece]:
        for seq in range(start, self.total):
            await asyncio.sleep(0.1)
            if seq in self.cuts:
                self.cuts.discard(seq)
                raise StreamCutError("cut")
            yield Piece(seq, 1, f"{seq} ", 3, seq == self.total - 1)

    async def cancel(self, stream: str) -> None:
        self.cancelled.append(stream)

    async def load(self) -> Any:
        raise NotImplementedError

    async def state(self) -> Any:
        raise NotImplementedError

    async def order(self, order: Any) -> None:
        raise NotImplementedError
