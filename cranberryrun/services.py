"""Plain services: a call, its answer, and the adapter for one target."""

from __future__ import annotations

import asyncio
from abc import ABC, abstractmethod
from collections.abc import Mapping
from dataclasses import dataclass, field

import aiohttp
import xxhash

from . import clock
from .engines import NOT_RUN_HEADER
from .exceptions import (
    TargetFailedError,
    TargetRefusedError,
    TargetUnreachableError,
    TruncatedAnswerError,
)
from .http import HttpClients
from .models import ServiceTarget

_RETRY_AFTER_SECONDS = 1.0
_HOP_HEADERS = frozenset(
    {
        "authorization",
        "connection",
        "content-length",
        "host",
        "keep-alive",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "x-deadline-ms",
        "x-request-id",
    }
)


@dataclass(frozen=True, slots=True)
class Call:
    """One request of a caller. ``deadline`` is in the loop's time."""

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
    """A target's whole answer."""

    status: int
    headers: dict[str, str]
    body: bytes


class ServiceClient(ABC):
    """Speaks to one target. Replace it for services with another protocol."""

    @abstractmethod
    async def send(self, call: Call, repeatable: bool) -> Answer:
        """Send ``call`` and return the whole answer.

        :param repeatable: whether the call may be sent again by a library.
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

    async def send(self, call: Call, repeatable: bool) -> Answer:
        """See :meth:`ServiceClient.send`."""
        target = self._target
        session = self._clients.shared if repeatable else self._clients.once
        left = max(0.001, call.deadline - clock.now())
        timeout = aiohttp.ClientTimeout(total=left, sock_connect=self._connect_timeout)
        headers = forwarded(call.headers) | {
            "X-Request-Id": call.request,
            "X-Deadline-Ms": str(int(left * 1000)),
        }
        try:
            async with session.request(
                call.method,
                f"{target.url}/{call.path}",
                headers=headers,
                data=call.body or None,
                timeout=timeout,
                allow_redirects=False,
            ) as answer:
                if answer.headers.get(NOT_RUN_HEADER) == "1":
                    raise TargetRefusedError(
                        f"{target.id} answered {answer.status}",
                        retry_after=_RETRY_AFTER_SECONDS,
                    )
                body = await _whole_body(answer, target.id)
                return Answer(answer.status, forwarded(answer.headers), body)
        except aiohttp.ConnectionTimeoutError as error:
            raise TargetUnreachableError(str(error)) from None
        except aiohttp.ClientConnectorError as error:
            raise TargetUnreachableError(str(error)) from None
        except (aiohttp.ClientError, asyncio.TimeoutError) as error:
            raise TargetFailedError(f"{target.id}: {error!r}") from None


async def _whole_body(answer: aiohttp.ClientResponse, target: str) -> bytes:
    try:
        return await answer.read()
    except (aiohttp.ClientPayloadError, aiohttp.ClientConnectionError) as error:
        raise TruncatedAnswerError(f"{target}: {error!r}") from None


def forwarded(headers: Mapping[str, str]) -> dict[str, str]:
    """Return the headers that go on to the other side."""
    return {
        name: value
        for name, value in headers.items()
        if name.lower() not in _HOP_HEADERS and name.lower() != "content-encoding"
    }
