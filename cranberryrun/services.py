"""Plain services: a call, its answer, and the client of one target."""

from __future__ import annotations

import asyncio
from abc import ABC, abstractmethod
from collections.abc import Mapping
from dataclasses import dataclass, field

import aiohttp
import xxhash
from multidict import CIMultiDict
from yarl import URL

from . import clock
from .engines import NOT_RUN_HEADER, WORKSPACE_HEADER
from .exceptions import (
    TargetFailedError,
    TargetRefusedError,
    TargetTimeoutError,
    TargetUnreachableError,
    TruncatedAnswerError,
)
from .http import HOP_HEADERS, HttpClients
from .models import ServiceTarget

KEY_HEADER = "Cranberryrun-Key"
_RETRY_AFTER_SECONDS = 1.0
_STREAM_THRESHOLD_BYTES = 256 * 1024
_MAX_ANSWER_BYTES = 32 * 1024 * 1024
_HOP_HEADERS = HOP_HEADERS | {
    "authorization",
    # Dropped without workspaces too: a host may not have read the first one yet.
    KEY_HEADER.lower(),
    "expect",
    "host",
    "x-deadline-ms",
    "x-request-id",
}
_SKIPPED_AUTO_HEADERS = ("Accept", "Accept-Encoding", "Content-Type", "User-Agent")


@dataclass(frozen=True, slots=True)
class Call:
    """One request of a caller. ``deadline`` is in the loop's time.

    ``path`` is percent-encoded, with the query and without a leading slash.
    """

    service: str
    method: str
    path: str
    request: str
    caller: str
    deadline: float
    headers: Mapping[str, str] = field(default_factory=dict)
    body: bytes = b""
    key: str | None = None

    @property
    def workspace(self) -> str | None:
        """The name of the workspace that sent the call; None without workspaces."""
        return self.headers.get(WORKSPACE_HEADER)

    def digest(self) -> str:
        """Return a hash by which requests with the same key are compared."""
        head = f"{self.method} {self.path}\n".encode()
        return xxhash.xxh3_128_hexdigest(head + self.body)


@dataclass(frozen=True, slots=True)
class Answer:
    """A target's complete answer.

    ``length`` is the content length that the target declared, which for HEAD
    differs from that of ``body``. If ``streamed``, the sink received the body.
    """

    status: int
    headers: Mapping[str, str]
    body: bytes = b""
    length: int | None = None
    streamed: bool = False


class Sink(ABC):
    """Receives an answer that is too large to be buffered, or that is streamed.

    Both methods raise :class:`CallerGoneError` if the caller has disconnected.
    """

    begun = False

    @abstractmethod
    async def begin(
        self, status: int, headers: Mapping[str, str], length: int | None
    ) -> None:
        """Send the head; afterwards the answer can only be completed or aborted."""

    @abstractmethod
    async def write(self, data: bytes) -> None:
        """Send a part of the body; return when the next one may be written."""


class ServiceClient(ABC):
    """Sends calls to one target. Subclass it for services with another protocol."""

    @abstractmethod
    async def send(
        self,
        call: Call,
        repeatable: bool,
        idle_timeout: float,
        sink: Sink | None = None,
    ) -> Answer:
        """Send ``call`` and return the answer; a large one is written to ``sink``.

        :param repeatable: whether the HTTP library may send the call again.
        :param idle_timeout: longest time without data from the target, in seconds.
        :raises TargetUnreachableError, TargetRefusedError: nothing was run.
        :raises TargetFailedError: the call may have been run.
        """


class HttpServiceClient(ServiceClient):
    """Sends calls to a target over HTTP, as ``docs/PLATFORM.md`` specifies."""

    def __init__(
        self, target: ServiceTarget, clients: HttpClients, connect_timeout: float
    ) -> None:
        self._target = target
        self._clients = clients
        self._connect_timeout = connect_timeout

    async def send(
        self,
        call: Call,
        repeatable: bool,
        idle_timeout: float,
        sink: Sink | None = None,
    ) -> Answer:
        """See :meth:`ServiceClient.send`."""
        session = self._clients.shared if repeatable else self._clients.single_use
        seconds_left = max(0.001, call.deadline - clock.now())
        headers = end_to_end_headers(call.headers)
        headers["X-Request-Id"] = call.request
        headers["X-Deadline-Ms"] = str(int(seconds_left * 1000))
        request = session.request(
            call.method,
            URL(f"{self._target.url}/{call.path}", encoded=True),
            headers=headers,
            data=call.body or None,
            timeout=aiohttp.ClientTimeout(
                total=seconds_left,
                sock_connect=self._connect_timeout,
                sock_read=idle_timeout,
            ),
            allow_redirects=False,
            auto_decompress=False,
            skip_auto_headers=_SKIPPED_AUTO_HEADERS,
        )
        try:
            async with request as answer:
                self._check_refusal(answer)
                return await self._receive(answer, sink)
        except aiohttp.ConnectionTimeoutError as error:
            raise TargetUnreachableError(str(error)) from None
        except aiohttp.ClientConnectorError as error:
            raise TargetUnreachableError(str(error)) from None
        except asyncio.TimeoutError:
            raise TargetTimeoutError(
                f"target {self._target.id} did not answer in time"
            ) from None
        except (aiohttp.ClientError, ConnectionError) as error:
            raise TargetFailedError(
                f"connection to target {self._target.id} failed: {error!r}"
            ) from None

    def _check_refusal(self, answer: aiohttp.ClientResponse) -> None:
        if answer.headers.get(NOT_RUN_HEADER) != "1":
            return
        raise TargetRefusedError(
            f"target {self._target.id} refused the call: HTTP status {answer.status}",
            retry_after=_RETRY_AFTER_SECONDS,
        )

    async def _receive(
        self, answer: aiohttp.ClientResponse, sink: Sink | None
    ) -> Answer:
        headers = end_to_end_headers(answer.headers)
        length = answer.content_length
        limit = _STREAM_THRESHOLD_BYTES if sink else _MAX_ANSWER_BYTES
        body = await self._read(answer, limit)
        if len(body) <= limit:
            return Answer(answer.status, headers, body, length)
        if sink is None:
            raise TargetFailedError(
                f"the answer of target {self._target.id} exceeds {limit} bytes"
            )
        await sink.begin(answer.status, headers, length)
        while body:
            await sink.write(body)
            body = await self._read(answer, 0)
        return Answer(answer.status, headers, b"", length, streamed=True)

    async def _read(self, answer: aiohttp.ClientResponse, limit: int) -> bytes:
        """Read until the body ends or more than ``limit`` bytes were read."""
        parts = bytearray()
        try:
            while len(parts) <= limit:
                part = await answer.content.readany()
                if not part:
                    break
                parts += part
        except asyncio.TimeoutError:
            raise
        except (aiohttp.ClientError, ConnectionError) as error:
            raise TruncatedAnswerError(
                f"target {self._target.id} ended its answer too early: {error!r}"
            ) from None
        return bytes(parts)


def end_to_end_headers(headers: Mapping[str, str]) -> CIMultiDict[str]:
    """Return the end-to-end headers of a message, repeated ones included."""
    items = list(headers.items())
    connection_headers = {
        token.strip().lower()
        for name, value in items
        if name.lower() == "connection"
        for token in value.split(",")
    }
    end_to_end: CIMultiDict[str] = CIMultiDict()
    for name, value in items:
        if name.lower() in _HOP_HEADERS or name.lower() in connection_headers:
            continue
        end_to_end.add(name, value)
    return end_to_end
