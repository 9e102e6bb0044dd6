"""Clients of model engines: streams, load and state reports, and orders."""

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
WORKSPACE_HEADER = "Cranberryrun-Workspace"
_CONTROL_TIMEOUT_SECONDS = 2.0


@dataclass(frozen=True, slots=True)
class Piece:
    """A part of a stream.

    ``version`` is the weight version that generated it, None if not stated.
    """

    seq: int
    tokens: int
    text: str
    version: int | None
    done: bool


@dataclass(frozen=True, slots=True)
class StreamOrder:
    """A request to generate one stream.

    :ivar priority: streams with a higher value are scheduled first.
    :ivar min_version: an engine that can't reach this version refuses the order.
    :ivar piece_tokens: minimum tokens per piece, except where the version changes
        or the stream ends; None leaves the size to the engine.
    :ivar workspace: the workspace that the engine is told, if any is declared.
    """

    stream: str
    workload: str
    prompt: str
    max_tokens: int
    seed: int
    priority: int
    min_version: int | None = None
    piece_tokens: int | None = None
    workspace: str | None = None


@dataclass(frozen=True, slots=True)
class LoadReport:
    """The load that an engine reports; it lags behind the actual load."""

    running: int
    queued: int
    tokens_per_second: float


@dataclass(frozen=True, slots=True)
class LoadedVersion:
    """A workload's version on an engine; ``loading`` is one being loaded, if any."""

    version: int
    fence: int
    loading: int | None


@dataclass(frozen=True, slots=True)
class EngineState:
    """The state that an engine reports: its versions and its role."""

    incarnation: int
    by_workload: dict[str, LoadedVersion] = field(default_factory=dict)
    role: str | None = None


@dataclass(frozen=True, slots=True)
class VersionOrder:
    """An order to load a weight version.

    ``order`` is its id; ``fence`` is its fencing token, higher for newer orders.
    """

    order: str
    fence: int
    workload: str
    version: int


NamedKind = Literal["load_model", "load_adapter", "set_role"]


@dataclass(frozen=True, slots=True)
class NamedOrder:
    """An order to load a model or an adapter, or to switch to a role."""

    order: str
    fence: int
    kind: NamedKind
    workload: str
    value: str


class EngineClient(ABC):
    """The interface to one engine; implement it to support another protocol."""

    @abstractmethod
    def generate(self, order: StreamOrder) -> AsyncIterator[Piece]:
        """Start a stream and yield its pieces.

        :raises StreamExistsError: the stream exists already; resume it.
        :raises TargetUnreachableError, TargetRefusedError: nothing was run.
        :raises StreamCutError: the connection closed before the last piece.
        """

    @abstractmethod
    def resume(self, stream: str, start: int) -> AsyncIterator[Piece]:
        """Yield the pieces of a stream, starting with sequence number ``start``.

        :raises StreamLostError: the engine doesn't know the stream.
        """

    @abstractmethod
    async def cancel(self, stream: str) -> None:
        """Cancel a stream; does nothing if the engine doesn't know it."""

    @abstractmethod
    async def load(self) -> LoadReport:
        """Return the engine's load report.

        :raises EngineError: the engine returned no valid report.
        """

    @abstractmethod
    async def state(self) -> EngineState:
        """Return the engine's state report.

        :raises EngineError: the engine returned no valid report.
        """

    @abstractmethod
    async def order(self, order: VersionOrder) -> None:
        """Order the engine to load a weight version.

        :raises StaleFenceError: the engine has accepted a higher fencing token.
        :raises EngineError: the order failed, or its outcome is unknown.
        """

    async def order_named(self, order: NamedOrder) -> None:
        """Order the engine to load a model or an adapter, or to switch to a role.

        :raises StaleFenceError: the engine has accepted a higher fencing token.
        :raises EngineError: the order failed, or its outcome is unknown.
        """
        raise EngineError(f"the engine client does not support {order.kind} orders")


class HttpEngineClient(EngineClient):
    """A client for the HTTP protocol described in ``docs/PLATFORM.md``.

    :param idle_timeout: seconds without data after which a stream is abandoned.
    """

    def __init__(self, url: str, clients: HttpClients, idle_timeout: float) -> None:
        self._url = url
        self._clients = clients
        self._stream_timeout = aiohttp.ClientTimeout(
            total=None, sock_connect=1, sock_read=idle_timeout
        )
        self._timeout = aiohttp.ClientTimeout(total=_CONTROL_TIMEOUT_SECONDS)

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
        request_context = self._clients.single_use.post(
            f"{self._url}/v1/generate",
            json=body,
            headers={WORKSPACE_HEADER: order.workspace} if order.workspace else None,
            timeout=self._stream_timeout,
            allow_redirects=False,
        )
        async for piece in self._read_pieces(request_context, 0):
            yield piece

    async def resume(self, stream: str, start: int) -> AsyncIterator[Piece]:
        """See :meth:`EngineClient.resume`."""
        request_context = self._clients.reads.get(
            f"{self._url}/v1/streams/{stream}",
            params={"from": str(start)},
            timeout=self._stream_timeout,
            allow_redirects=False,
        )
        async for piece in self._read_pieces(request_context, start):
            yield piece

    async def _read_pieces(
        self, request_context: Any, start: int
    ) -> AsyncIterator[Piece]:
        expected = start
        try:
            async with request_context as response:
                _raise_for_status(response)
                async for line in response.content:
                    piece = _parse_piece(line, expected)
                    expected += 1
                    yield piece
                    if piece.done:
                        return
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            raise TargetUnreachableError(str(error)) from None
        except aiohttp.SocketTimeoutError as error:
            raise StreamIdleError(
                f"no data from the engine within the idle timeout: {error!r}"
            ) from None
        except (aiohttp.ClientError, asyncio.TimeoutError, ValueError) as error:
            raise StreamCutError(
                f"the stream failed before its last piece: {error!r}"
            ) from None
        raise StreamCutError("the engine closed the stream before its last piece")

    async def cancel(self, stream: str) -> None:
        """See :meth:`EngineClient.cancel`."""
        try:
            async with self._clients.shared.delete(
                f"{self._url}/v1/streams/{stream}",
                timeout=self._timeout,
                allow_redirects=False,
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
            raise EngineError(f"invalid response from /v1/load: {error!r}") from None

    async def state(self) -> EngineState:
        """See :meth:`EngineClient.state`."""
        body = await self._get("/v1/state")
        try:
            by_workload = {
                workload: LoadedVersion(
                    fields["version"], fields["fence"], fields["loading"]
                )
                for workload, fields in body["by_workload"].items()
            }
            return EngineState(int(body["incarnation"]), by_workload, body.get("role"))
        except (AttributeError, KeyError, TypeError, ValueError) as error:
            raise EngineError(f"invalid response from /v1/state: {error!r}") from None

    async def _get(self, path: str) -> Any:
        try:
            async with self._clients.reads.get(
                self._url + path, timeout=self._timeout, allow_redirects=False
            ) as response:
                if response.status != 200:
                    raise EngineError(f"GET {path} returned status {response.status}")
                return json.loads(await self._clients.read(response))
        except (aiohttp.ClientError, asyncio.TimeoutError, ValueError) as error:
            raise EngineError(f"GET {path} failed: {error!r}") from None

    async def order(self, order: VersionOrder) -> None:
        """See :meth:`EngineClient.order`."""
        await self._send_order(
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
        await self._send_order(
            {
                "order": order.order,
                "fence": order.fence,
                "kind": order.kind,
                "workload": order.workload,
                "name": order.value,
            }
        )

    async def _send_order(self, body: dict[str, Any]) -> None:
        try:
            async with self._clients.shared.post(
                f"{self._url}/v1/orders",
                json=body,
                timeout=self._timeout,
                allow_redirects=False,
            ) as response:
                if response.status == 409:
                    raise StaleFenceError(
                        f"the engine rejected order {body['order']}: stale fence"
                    )
                if response.status != 202:
                    raise EngineError(
                        f"the engine rejected order {body['order']} with status "
                        f"{response.status}"
                    )
        except (aiohttp.ClientError, asyncio.TimeoutError) as error:
            raise EngineError(
                f"no response to order {body['order']}; its outcome is unknown: "
                f"{error!r}"
            ) from None


def _raise_for_status(response: aiohttp.ClientResponse) -> None:
    if response.status == 200:
        return
    if response.status == 409:
        raise StreamExistsError("the stream exists already on the engine")
    if response.status == 404:
        raise StreamLostError("the engine doesn't know the stream")
    if response.headers.get(NOT_RUN_HEADER) == "1":
        raise TargetRefusedError(
            f"the engine refused the stream with status {response.status}"
        )
    raise StreamCutError(f"the stream request failed with status {response.status}")


def _parse_piece(line: bytes, expected: int) -> Piece:
    fields = json.loads(line)
    if not isinstance(fields, dict) or fields.get("seq") != expected:
        raise StreamCutError(f"expected piece {expected}, got {line[:80]!r}")
    version = fields.get("version")
    if not isinstance(version, int) or isinstance(version, bool):
        version = None
    return Piece(
        seq=expected,
        tokens=int(fields.get("tokens", 0)),
        text=str(fields.get("text", "")),
        version=version,
        done=bool(fields.get("done", False)),
    )
