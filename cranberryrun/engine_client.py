"""The adapter of a model engine: streams, reports and orders."""

from __future__ import annotations

import asyncio
import json
from abc import ABC, abstractmethod
from collections.abc import AsyncIterator
from dataclasses import dataclass, field
from typing import Any, Literal

import aiohttp

from .exceptions import (
    EngineError,
    StaleFenceError,
    StreamCutError,
    StreamExistsError,
    StreamIdleError,
    StreamLostError,
    TargetRefusedError,
    TargetUnreachableError,
)
from .http import HttpClients

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
    """What an engine is asked to generate. A higher ``priority`` goes first.

    An engine that can't reach ``min_version`` refuses. ``piece_tokens`` asks for
    pieces of at least so many tokens, but where the version changes or the stream
    ends; None leaves it to the engine.
    """

    stream: str
    workload: str
    prompt: str
    max_tokens: int
    seed: int
    priority: int
    min_version: int | None = None
    piece_tokens: int | None = None


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
    role: str | None = None


@dataclass(frozen=True, slots=True)
class VersionOrder:
    """An order to load a weight version. ``fence`` grows with newer orders."""

    order: str
    fence: int
    workload: str
    version: int


NamedKind = Literal["load_model", "load_adapter", "set_role"]


@dataclass(frozen=True, slots=True)
class NamedOrder:
    """An order to load a model or an adapter, or to take a role."""

    order: str
    fence: int
    kind: NamedKind
    workload: str
    value: str


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

    async def order_named(self, order: NamedOrder) -> None:
        """Give an order; :raises StaleFenceError, EngineError: if not taken."""
        raise EngineError(f"the engine takes no order to {order.kind}")


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
            "min_version": order.min_version,
        }
        if order.piece_tokens is not None:
            body["piece_tokens"] = order.piece_tokens
        call = self._clients.no_retry.post(
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
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            raise TargetUnreachableError(str(error)) from None
        except aiohttp.SocketTimeoutError as error:
            raise StreamIdleError(f"no piece came: {error!r}") from None
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
        try:
            return LoadReport(
                int(body["running"]),
                int(body["queued"]),
                float(body["tokens_per_second"]),
            )
        except (KeyError, TypeError, ValueError) as error:
            raise EngineError(f"/v1/load has no known form: {error!r}") from None

    async def state(self) -> EngineState:
        """See :meth:`EngineClient.state`."""
        body = await self._get("/v1/state")
        try:
            by_workload = {
                workload: LoadedVersion(row["version"], row["fence"], row["loading"])
                for workload, row in body["by_workload"].items()
            }
            return EngineState(int(body["incarnation"]), by_workload, body.get("role"))
        except (AttributeError, KeyError, TypeError, ValueError) as error:
            raise EngineError(f"/v1/state has no known form: {error!r}") from None

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
        await self._order(
            {
                "order": order.order,
                "fence": order.fence,
                "kind": "load_version",
                "workload": order.workload,
                "version": order.version,
            }
        )

    async def order_named(self, order: NamedOrder) -> None:
        """See :meth:`EngineClient.order_named`."""
        await self._order(
            {
                "order": order.order,
                "fence": order.fence,
                "kind": order.kind,
                "workload": order.workload,
                "name": order.value,
            }
        )

    async def _order(self, body: dict[str, Any]) -> None:
        try:
            async with self._clients.shared.post(
                f"{self._url}/v1/orders", json=body, timeout=self._timeout
            ) as answer:
                if answer.status == 409:
                    raise StaleFenceError(f"order {body['order']} is older")
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
    if not isinstance(row, dict) or row.get("seq") != expected:
        raise StreamCutError(f"piece {expected} did not come: {line[:80]!r}")
    version = row.get("version")
    if not isinstance(version, int) or isinstance(version, bool):
        version = None
    return Piece(
        seq=expected,
        tokens=int(row.get("tokens", 0)),
        text=str(row.get("text", "")),
        version=version,
        done=bool(row.get("done", False)),
    )
