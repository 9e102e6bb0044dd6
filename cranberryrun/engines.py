"""Model engines: the adapter for one, and what this host knows of all of them."""

from __future__ import annotations

import asyncio
import json
from abc import ABC, abstractmethod
from collections.abc import AsyncIterator
from dataclasses import dataclass, field
from typing import Any

import aiohttp

from . import clock
from .configuration import Configuration
from .events import Events
from .exceptions import (
    CranberryrunError,
    EngineError,
    StaleFenceError,
    StreamCutError,
    StreamExistsError,
    StreamLostError,
    TargetRefusedError,
    TargetUnreachableError,
)
from .health import Health
from .http import HttpClients
from .kernel import Service
from .membership import Membership
from .models import EngineSpec
from .routing import Candidate
from .settings import Settings

NOT_RUN_HEADER = "X-Not-Run"
_STATE_TIMEOUT_SECONDS = 2.0


@dataclass(frozen=True, slots=True)
class Piece:
    """A part of a stream; ``version`` made it, None if the engine did not say."""

    seq: int
    tokens: int
    text: str
    version: int | None
    done: bool


@dataclass(frozen=True, slots=True)
class StreamOrder:
    """What an engine is asked to generate. A higher ``priority`` goes first."""

    stream: str
    workload: str
    prompt: str
    max_tokens: int
    seed: int
    priority: int


@dataclass(frozen=True, slots=True)
class LoadReport:
    """An engine's own, late word on its load."""

    running: int
    queued: int
    tokens_per_second: float


@dataclass(frozen=True, slots=True)
class LoadedVersion:
    """What an engine runs for one workload; ``loading`` is under way."""

    version: int
    fence: int
    loading: int | None


@dataclass(frozen=True, slots=True)
class EngineState:
    """What an engine runs now."""

    incarnation: int
    by_workload: dict[str, LoadedVersion] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class VersionOrder:
    """An order to load a weight version. ``fence`` grows with newer orders."""

    order: str
    fence: int
    workload: str
    version: int


class EngineClient(ABC):
    """Speaks to one engine. Replace it for engines with another protocol."""

    @abstractmethod
    def generate(self, order: StreamOrder) -> AsyncIterator[Piece]:
        """Start a stream and yield its pieces.

        :raises StreamExistsError: the stream runs already; resume it.
        :raises TargetUnreachableError, TargetRefusedError: nothing was run.
        :raises StreamCutError: the connection broke before the last piece.
        """

    @abstractmethod
    def resume(self, stream: str, start: int) -> AsyncIterator[Piece]:
        """Yield the pieces of a stream from number ``start`` on.

        :raises StreamLostError: the engine doesn't know the stream.
        """

    @abstractmethod
    async def cancel(self, stream: str) -> None:
        """Stop a stream; one that isn't there counts as stopped."""

    @abstractmethod
    async def load(self) -> LoadReport:
        """Return the engine's load report; :raises EngineError: if there is none."""

    @abstractmethod
    async def state(self) -> EngineState:
        """Return what the engine runs; :raises EngineError: if it doesn't say."""

    @abstractmethod
    async def order(self, order: VersionOrder) -> None:
        """Give an order; :raises StaleFenceError, EngineError: if not taken."""


class HttpEngineClient(EngineClient):
    """An engine over HTTP, as ``docs/PLATFORM.md`` has it."""

    def __init__(self, url: str, clients: HttpClients, idle: float) -> None:
        self._url = url
        self._clients = clients
        self._stream_timeout = aiohttp.ClientTimeout(
            total=None, sock_connect=1, sock_read=idle
        )
        self._timeout = aiohttp.ClientTimeout(total=_STATE_TIMEOUT_SECONDS)

    async def generate(self, order: StreamOrder) -> AsyncIterator[Piece]:
        """See :meth:`EngineClient.generate`."""
        body = {
            "stream": order.stream,
            "workload": order.workload,
            "prompt": order.prompt,
            "max_tokens": order.max_tokens,
            "seed": order.seed,
            "priority": order.priority,
        }
        call = self._clients.once.post(
            f"{self._url}/v1/generate", json=body, timeout=self._stream_timeout
        )
        async for piece in self._pieces(call, 0):
            yield piece

    async def resume(self, stream: str, start: int) -> AsyncIterator[Piece]:
        """See :meth:`EngineClient.resume`."""
        call = self._clients.shared.get(
            f"{self._url}/v1/streams/{stream}",
            params={"from": str(start)},
            timeout=self._stream_timeout,
        )
        async for piece in self._pieces(call, start):
            yield piece

    async def _pieces(self, call: Any, start: int) -> AsyncIterator[Piece]:
        expected = start
        try:
            async with call as answer:
                _raise_for(answer)
                async for line in answer.content:
                    piece = _piece(line, expected)
                    expected += 1
                    yield piece
                    if piece.done:
                        return
        except aiohttp.ClientConnectorError as error:
            raise TargetUnreachableError(str(error)) from None
        except (aiohttp.ClientError, asyncio.TimeoutError, ValueError) as error:
            raise StreamCutError(f"the stream was cut: {error!r}") from None
        raise StreamCutError("the stream ended before its last piece")

    async def cancel(self, stream: str) -> None:
        """See :meth:`EngineClient.cancel`."""
        try:
            async with self._clients.shared.delete(
                f"{self._url}/v1/streams/{stream}", timeout=self._timeout
            ):
                return
        except (aiohttp.ClientError, asyncio.TimeoutError):
            return

    async def load(self) -> LoadReport:
        """See :meth:`EngineClient.load`."""
        body = await self._get("/v1/load")
        return LoadReport(
            int(body["running"]), int(body["queued"]), float(body["tokens_per_second"])
        )

    async def state(self) -> EngineState:
        """See :meth:`EngineClient.state`."""
        body = await self._get("/v1/state")
        by_workload = {
            workload: LoadedVersion(row["version"], row["fence"], row["loading"])
            for workload, row in body["by_workload"].items()
        }
        return EngineState(int(body["incarnation"]), by_workload)

    async def _get(self, path: str) -> Any:
        try:
            async with self._clients.shared.get(
                self._url + path, timeout=self._timeout
            ) as answer:
                if answer.status != 200:
                    raise EngineError(f"{path} answered {answer.status}")
                return await answer.json()
        except (aiohttp.ClientError, asyncio.TimeoutError, ValueError) as error:
            raise EngineError(f"{path}: {error!r}") from None

    async def order(self, order: VersionOrder) -> None:
        """See :meth:`EngineClient.order`."""
        body = {
            "order": order.order,
            "fence": order.fence,
            "kind": "load_version",
            "workload": order.workload,
            "version": order.version,
        }
        try:
            async with self._clients.shared.post(
                f"{self._url}/v1/orders", json=body, timeout=self._timeout
            ) as answer:
                if answer.status == 409:
                    raise StaleFenceError(f"order {order.order} is older")
                if answer.status != 202:
                    raise EngineError(f"the order was answered {answer.status}")
        except (aiohttp.ClientError, asyncio.TimeoutError) as error:
            raise EngineError(f"the order's answer is lost: {error!r}") from None


def _raise_for(answer: aiohttp.ClientResponse) -> None:
    if answer.status == 200:
        return
    if answer.status == 409:
        raise StreamExistsError("the stream runs already")
    if answer.status == 404:
        raise StreamLostError("the engine doesn't know the stream")
    if answer.headers.get(NOT_RUN_HEADER) == "1":
        raise TargetRefusedError(f"the engine answered {answer.status}")
    raise StreamCutError(f"the engine answered {answer.status}")


def _piece(line: bytes, expected: int) -> Piece:
    row = json.loads(line)
    if row.get("seq") != expected:
        raise StreamCutError(f"piece {row.get('seq')} came in place of {expected}")
    return Piece(
        seq=expected,
        tokens=int(row.get("tokens", 0)),
        text=str(row.get("text", "")),
        version=row.get("version"),
        done=bool(row.get("done", False)),
    )


@dataclass(slots=True)
class Engine:
    """One declared engine as this host knows it."""

    name: str
    spec: EngineSpec
    offset: int
    client: EngineClient
    health: Health = field(default_factory=Health)
    in_flight: int = 0
    load: LoadReport | None = None
    load_at: float = 0.0
    state: EngineState | None = None
    state_at: float = 0.0

    def version_of(self, workload: str) -> int | None:
        """Return the version the engine last said it runs for ``workload``."""
        if self.state is None or workload not in self.state.by_workload:
            return None
        return self.state.by_workload[workload].version

    def candidate(self) -> Candidate:
        """Return the engine as a candidate of a routing policy."""
        reported = self.load.running + self.load.queued if self.load else 0
        return Candidate(
            id=self.name,
            zone=self.spec.zone,
            slots=self.spec.slots,
            in_flight=self.in_flight,
            reported=reported,
            report_age=clock.now() - self.load_at if self.load else float("inf"),
        )


class Engines(Service):
    """Follows the declared engines and polls each one's load and state."""

    name = "engines"
    requires = ("configuration", "membership", "http", "events")

    def __init__(self, settings: Settings) -> None:
        super().__init__()
        self._settings = settings
        self.by_name: dict[str, Engine] = {}
        self._polls_by_name: dict[str, asyncio.Task[Any]] = {}

    def client_for(self, spec: EngineSpec) -> EngineClient:
        """Return a client; tests put another one here."""
        return HttpEngineClient(
            spec.url, self.kernel.get(HttpClients), self._settings.timing.stream_idle
        )

    async def start(self) -> None:
        """Begin to follow the configuration."""
        self.supervise(self._follow)

    async def _follow(self) -> None:
        configuration = self.kernel.get(Configuration)
        offset = -2
        while True:
            offset = configuration.state.offset
            self._declare()
            await configuration.wait_past(offset, 60)

    def _declare(self) -> None:
        configuration = self.kernel.get(Configuration)
        declared = {each.name: each for each in configuration.state.list("engines")}
        for name in list(self.by_name):
            if name in declared:
                continue
            del self.by_name[name]
            self._polls_by_name.pop(name).cancel()
        for name, resource in declared.items():
            known = self.by_name.get(name)
            if known is not None and known.offset == resource.offset:
                continue
            client = self.client_for(resource.spec)
            engine = Engine(name, resource.spec, resource.offset, client)
            if known is not None:
                engine.in_flight = known.in_flight
                self._polls_by_name.pop(name).cancel()
            self.by_name[name] = engine
            self._polls_by_name[name] = self.spawn(self._poll(engine))

    async def _poll(self, engine: Engine) -> None:
        while True:
            await self.refresh(engine)
            await asyncio.sleep(self._settings.timing.engine_poll)

    async def refresh(self, engine: Engine) -> None:
        """Ask ``engine`` for its state and load now."""
        try:
            engine.state = await engine.client.state()
            engine.state_at = clock.now()
            engine.load = await engine.client.load()
            engine.load_at = clock.now()
        except CranberryrunError as error:
            self.failed(engine, error)
            return
        self.answered(engine)

    def failed(self, engine: Engine, error: CranberryrunError) -> None:
        """Note a failure of ``engine``; it gets nothing for a while."""
        if engine.health.failed():
            self.kernel.get(Events).emit(
                "target_failed", engine=engine.name, error=error.detail
            )

    def answered(self, engine: Engine) -> None:
        """Note that ``engine`` answers."""
        if engine.health.answered():
            self.kernel.get(Events).emit("target_back", engine=engine.name)

    def usable(self, pool: str) -> list[Engine]:
        """Return the engines of ``pool`` that may get new work now."""
        membership = self.kernel.get(Membership)
        return [
            engine
            for engine in self.by_name.values()
            if engine.spec.pool == pool
            and engine.health.usable()
            and not membership.target_leaving(engine.name)
        ]
