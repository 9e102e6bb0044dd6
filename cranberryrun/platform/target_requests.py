"""Opens HTTP requests to targets and translates the errors of aiohttp."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Iterator
from contextlib import asynccontextmanager, contextmanager
from dataclasses import dataclass
from typing import Any

import aiohttp
from yarl import URL

from ..exceptions import TargetFailedError, TargetUnreachableError
from ..fleet.client import ConnectionLostError
from ..fleet.directory import Target
from ..fleet.target_paths import CallWatch, TargetPaths
from ..http import HttpClients
from ..kernel import Kernel

# aiohttp would add these to a request that does not have them.
_AUTO_HEADERS = ("Accept", "Accept-Encoding", "User-Agent", "Content-Type")
# Connecting takes some milliseconds even over the longest link. Where it takes longer
# the request was not sent, and another way has to be left time for it.
_CONNECT_TIMEOUT_SECONDS = 0.2
_MIN_SECONDS = 0.001
_CONNECTION_ENDED = (
    aiohttp.ServerDisconnectedError,
    aiohttp.ClientOSError,
    aiohttp.ClientPayloadError,
)


@dataclass(frozen=True, slots=True)
class OpenedCall:
    """A request whose answer has begun."""

    response: aiohttp.ClientResponse
    watch: CallWatch

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the bytes of the body as they arrive."""
        async for chunk in self.response.content.iter_any():
            self.watch.heard()
            yield chunk


@contextmanager
def _translated_errors(authority: str) -> Iterator[None]:
    try:
        yield
    except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
        raise TargetUnreachableError(
            f"can't connect to {authority}: {error!r}"
        ) from None
    except _CONNECTION_ENDED as error:
        raise ConnectionLostError(f"request to {authority} failed: {error!r}") from None
    except (aiohttp.ClientError, asyncio.TimeoutError, ValueError) as error:
        raise TargetFailedError(f"request to {authority} failed: {error!r}") from None


@contextmanager
def _watched(watch: CallWatch) -> Iterator[None]:
    """Tell ``watch`` how the call ended."""
    try:
        yield
    except (TargetUnreachableError, ConnectionLostError):
        watch.failed()
        raise
    except (TargetFailedError, asyncio.CancelledError, GeneratorExit):
        watch.abandoned()
        raise
    finally:
        watch.end()


def _timeout(seconds: float) -> aiohttp.ClientTimeout:
    """Return the time limits of a call, which replace those of the session."""
    seconds = max(_MIN_SECONDS, seconds)
    return aiohttp.ClientTimeout(
        total=seconds, sock_connect=min(seconds, _CONNECT_TIMEOUT_SECONDS)
    )


class TargetRequests:
    """Makes one attempt at each request."""

    def __init__(self, kernel: Kernel) -> None:
        self._kernel = kernel

    @asynccontextmanager
    async def open(
        self, method: str, target: Target, path: str, seconds: float, **options: Any
    ) -> AsyncIterator[OpenedCall]:
        """Send a request; the block gets the call once its answer has begun.

        :param seconds: how long the call may take.
        :param options: further arguments of aiohttp's ``request``.
        :raises TargetUnreachableError: nothing was sent.
        :raises ConnectionLostError: the connection ended before the answer did.
        :raises TargetFailedError: there is no complete answer.
        """
        url = URL(f"http://{target.address}{path}", encoded=True)
        session = self._kernel.get(HttpClients).shared
        watch = self._kernel.get(TargetPaths).watch(target.id)
        with _watched(watch), _translated_errors(url.authority):
            async with session.request(
                method,
                url,
                allow_redirects=False,
                skip_auto_headers=_AUTO_HEADERS,
                timeout=_timeout(seconds),
                **options,
            ) as response:
                watch.heard()
                yield OpenedCall(response, watch)
