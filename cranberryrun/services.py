"""Plain services: a call, its answer, and the adapter for one target."""

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
from .engines import NOT_RUN_HEADER
from .exceptions import (
    TargetFailedError,
    TargetRefusedError,
    TargetTimeoutError,
    TargetUnreachableError,
    TruncatedAnswerError,
)
from .http import HOP_HEADERS, HttpClients
from .models import ServiceTarget

_RETRY_AFTER_SECONDS = 1.0
_HELD_BYTES = 256 * 1024
_MAX_WHOLE_BYTES = 32 * 1024 * 1024
_HOP_HEADERS = HOP_HEADERS | {
    "authorization",
    "expect",
    "host",
    "x-deadline-ms",
    "x-request-id",
}
_LIBRARY_HEADERS = ("Accept", "Accept-Encoding", "Content-Type", "User-Agent")


@dataclass(frozen=True, slots=True)
class Call:
    """One request of a caller. ``deadline`` is in the loop's time.

    ``path`` is percent-encoded, with its query and without a leading slash.
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

    def digest(self) -> str:
        """Return what tells two requests with one key apart."""
        head = f"{self.method} {self.path}\n".encode()
        return xxhash.xxh3_128_hexdigest(head + self.body)


@dataclass(frozen=True, slots=True)
class Answer:
    """A target's whole answer.

    ``length`` is the length that the target declared, which for HEAD is not that
    of ``body``. Of a ``streamed`` answer all parts have gone to the sink.
    """

    status: int
    headers: Mapping[str, str]
    body: bytes = b""
    length: int | None = None
    streamed: bool = False


class Sink(ABC):
    """Takes an answer that is too large to be held, or that comes slowly.

    Both calls raise :class:`CallerGoneError` if nobody takes the answer.
    """

    begun = False

    @abstractmethod
    async def begin(
        self, status: int, headers: Mapping[str, str], length: int | None
    ) -> None:
        """Take the head. From here on the answer can only be ended or broken."""

    @abstractmethod
    async def write(self, data: bytes) -> None:
        """Take a part of the body; returns when there is room for more."""


class ServiceClient(ABC):
    """Speaks to one target. Replace it for services with another protocol."""

    @abstractmethod
    async def send(
        self, call: Call, repeatable: bool, patience: float, sink: Sink | None = None
    ) -> Answer:
        """Send ``call`` and return the answer; a large one goes to ``sink``.

        :param repeatable: whether the call may be sent again by a library.
        :param patience: longest silence of the target, in seconds.
        :raises TargetUnreachableError, TargetRefusedError: nothing was run.
        :raises TargetFailedError: it may have been run.
        """


class HttpServiceClient(ServiceClient):
    """A plain service over HTTP, as ``docs/PLATFORM.md`` has it."""

    def __init__(
        self, target: ServiceTarget, clients: HttpClients, connect_timeout: float
    ) -> None:
        self._target = target
        self._clients = clients
        self._connect_timeout = connect_timeout

    async def send(
        self, call: Call, repeatable: bool, patience: float, sink: Sink | None = None
    ) -> Answer:
        """See :meth:`ServiceClient.send`."""
        session = self._clients.shared if repeatable else self._clients.no_retry
        left = max(0.001, call.deadline - clock.now())
        headers = forwarded(call.headers)
        headers["X-Request-Id"] = call.request
        headers["X-Deadline-Ms"] = str(int(left * 1000))
        request = session.request(
            call.method,
            URL(f"{self._target.url}/{call.path}", encoded=True),
            headers=headers,
            data=call.body or None,
            timeout=aiohttp.ClientTimeout(
                total=left, sock_connect=self._connect_timeout, sock_read=patience
            ),
            allow_redirects=False,
            auto_decompress=False,
            skip_auto_headers=_LIBRARY_HEADERS,
        )
        try:
            async with request as answer:
                self._check_refusal(answer)
                return await self._take(answer, sink)
        except aiohttp.ConnectionTimeoutError as error:
            raise TargetUnreachableError(str(error)) from None
        except aiohttp.ClientConnectorError as error:
            raise TargetUnreachableError(str(error)) from None
        except asyncio.TimeoutError:
            raise TargetTimeoutError(f"{self._target.id}: no answer in time") from None
        except (aiohttp.ClientError, ConnectionError) as error:
            raise TargetFailedError(f"{self._target.id}: {error!r}") from None

    def _check_refusal(self, answer: aiohttp.ClientResponse) -> None:
        if answer.headers.get(NOT_RUN_HEADER) != "1":
            return
        raise TargetRefusedError(
            f"{self._target.id} answered {answer.status}",
            retry_after=_RETRY_AFTER_SECONDS,
        )

    async def _take(self, answer: aiohttp.ClientResponse, sink: Sink | None) -> Answer:
        headers = forwarded(answer.headers)
        length = answer.content_length
        limit = _HELD_BYTES if sink else _MAX_WHOLE_BYTES
        body = await self._read(answer, limit)
        if len(body) <= limit:
            return Answer(answer.status, headers, body, length)
        if sink is None:
            raise TargetFailedError(f"{self._target.id}: the answer is too large")
        await sink.begin(answer.status, headers, length)
        while body:
            await sink.write(body)
            body = await self._read(answer, 0)
        return Answer(answer.status, headers, b"", length, streamed=True)

    async def _read(self, answer: aiohttp.ClientResponse, limit: int) -> bytes:
        """Return the next bytes: all that are left, or more than ``limit``."""
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
            raise TruncatedAnswerError(f"{self._target.id}: {error!r}") from None
        return bytes(parts)


def forwarded(headers: Mapping[str, str]) -> CIMultiDict[str]:
    """Return the headers that go on to the other side, repeated ones too."""
    items = list(headers.items())
    named = {
        token.strip().lower()
        for name, value in items
        if name.lower() == "connection"
        for token in value.split(",")
    }
    kept: CIMultiDict[str] = CIMultiDict()
    for name, value in items:
        if name.lower() in _HOP_HEADERS or name.lower() in named:
            continue
        kept.add(name, value)
    return kept
