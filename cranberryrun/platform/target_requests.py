"""Opens HTTP requests to targets and translates the errors of aiohttp."""

from __future__ import annotations

import asyncio
import enum
from collections.abc import AsyncIterator, Iterator
from contextlib import AsyncExitStack, asynccontextmanager, contextmanager
from dataclasses import dataclass
from typing import Any
from urllib.parse import quote

import aiohttp
from yarl import URL

from .. import clock
from ..exceptions import (
    TargetFailedError,
    TargetUnreachableError,
    TruncatedAnswerError,
)
from ..exchanges import Exchange, exchanging
from ..fleet.client import ConnectionLostError, ItemImpossibleError
from ..fleet.directory import Target
from ..fleet.failures import failure_of
from ..fleet.neighbours import Neighbours
from ..fleet.target_paths import CallWatch, TargetPaths
from ..http import HttpClients
from ..kernel import Kernel
from ..metrics import Metrics
from ..stall_watch import StallWatch
from .answer_checks import is_framed

# aiohttp would add these to a request that does not have them.
_AUTO_HEADERS = ("Accept", "Accept-Encoding", "User-Agent", "Content-Type")
# Connecting takes some milliseconds even over the longest link. Where it takes longer
# the request was not sent, and another way has to be left time for it.
_CONNECT_TIMEOUT_SECONDS = 0.2
# Another way takes this long: a question to neighbours, and the connect of one of them.
_OTHER_WAY_SECONDS = 0.5
# A second connect may always take this long.
_MIN_CONNECT_TIMEOUT_SECONDS = 0.05
_MIN_SECONDS = 0.001
_CONNECTION_ENDED = (
    aiohttp.ServerDisconnectedError,
    aiohttp.ClientOSError,
    aiohttp.ClientPayloadError,
)


# Each neighbour has said within seconds that it reaches targets.
_MAX_RELAYS = 3
# The path of calls that one host passes on for another, and the header of each answer
# that says how it went. Without it the neighbour did not get so far as to pass it on.
RELAY_PREFIX = "/relay/"
RELAY_OUTCOME = "Relay-Outcome"


class RelayOutcome(enum.Enum):
    """What became of a call at a neighbour.

    Nothing was sent if the target is ``UNKNOWN`` to it or ``UNREACHABLE``. If the
    connection was ``LOST``, the target may have run the call.
    """

    ANSWERED = "answered"
    UNKNOWN = "unknown target"
    UNREACHABLE = "unreachable"
    LOST = "lost"


@dataclass(frozen=True, slots=True)
class OpenedCall:
    """A request whose answer has begun. ``watch`` is None if a neighbour made it."""

    response: aiohttp.ClientResponse
    watch: CallWatch | None

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the bytes of the body as they arrive."""
        with _translated_errors(self.response.url.authority):
            async for chunk in self.response.content.iter_any():
                if self.watch is not None:
                    self.watch.heard()
                yield chunk

    async def read_body(self, clients: HttpClients) -> bytes | memoryview:
        """Return the complete body.

        A body without Content-Length or Transfer-Encoding ends with the connection, so
        it is complete only if the target closed the connection without an error.

        :raises TruncatedAnswerError: the connection was reset.
        """
        connection = self.response.connection
        protocol = connection.protocol if connection is not None else None
        body = await clients.read_for_caller(self.response)
        if is_framed(self.response):
            return body
        if protocol is None or not isinstance(
            protocol.exception(), (aiohttp.ServerDisconnectedError, type(None))
        ):
            raise TruncatedAnswerError("the connection was reset before the body ended")
        return body


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
    except ItemImpossibleError:
        raise
    except (aiohttp.ClientError, asyncio.TimeoutError) as error:
        raise TargetFailedError(f"request to {authority} failed: {error!r}") from None
    except Exception as error:
        raise failure_of(error) from None


@contextmanager
def _watched(watch: CallWatch | None) -> Iterator[None]:
    """Tell ``watch`` how the call ended."""
    if watch is None:
        yield
        return
    try:
        yield
    except TargetUnreachableError:
        watch.unreachable()
        raise
    except ConnectionLostError:
        watch.lost()
        raise
    except (TargetFailedError, asyncio.CancelledError, GeneratorExit):
        watch.abandoned()
        raise
    finally:
        watch.end()


class _Sending:
    """One request on its way to a target, directly or through a neighbour."""

    def __init__(
        self,
        kernel: Kernel,
        stack: AsyncExitStack,
        method: str,
        target: Target,
        path: str,
        seconds: float,
        exchange: Exchange,
        options: dict[str, Any],
    ) -> None:
        self._exchange = exchange
        self._kernel = kernel
        self._stack = stack
        self._method = method
        self._target = target
        self._path = path
        self._deadline = clock.now() + seconds
        self._options = options

    async def send_directly(self) -> OpenedCall:
        """Send the request to the target itself."""
        watch = self._kernel.get(TargetPaths).watch(self._target.id)
        with _watched(watch):
            response = await self._request(f"{self._target.address}{self._path}")
            watch.heard()
            return OpenedCall(response, watch)

    async def send_through_neighbours(self) -> OpenedCall | None:
        """Send the request through a neighbour; return None if none can pass it on.

        :raises ConnectionLostError: a neighbour may have passed it on.
        """
        paths = self._kernel.get(TargetPaths)
        neighbours = self._kernel.get(Neighbours)
        path = f"{RELAY_PREFIX}{quote(self._target.id, safe='')}{self._path}"
        for host in (await paths.relays())[:_MAX_RELAYS]:
            address = neighbours.address_of(host)
            if address is None:
                continue
            try:
                response = await self._request(f"{address}{path}")
            except TargetUnreachableError:
                paths.refute_relay(host)
                continue
            outcome = response.headers.get(RELAY_OUTCOME)
            if outcome == RelayOutcome.ANSWERED.value:
                self._kernel.get(Metrics).relayed_call()
                return OpenedCall(response, None)
            if outcome == RelayOutcome.UNREACHABLE.value:
                paths.refute_relay(host)
            elif outcome != RelayOutcome.UNKNOWN.value:
                raise ConnectionLostError(
                    f"host {host} has no answer of {self._target.id}: {outcome}"
                )
        return None

    async def _request(self, location: str) -> aiohttp.ClientResponse:
        """Return the response, whose connection is released with the stack.

        Connecting is tried again where it timed out while this host's event loop
        stalled: the connection may have been made long before the loop noticed. Where
        the deadline is near, it leaves time for another way.
        """
        authority, _, _ = location.partition("/")
        connect_seconds = _CONNECT_TIMEOUT_SECONDS
        while True:
            stalls = StallWatch(connect_seconds)
            with _translated_errors(authority), stalls:
                url = URL(f"http://{location}", encoded=True)
                try:
                    return await self._send_once(url, connect_seconds)
                except aiohttp.ConnectionTimeoutError:
                    if not stalls.stalled or clock.now() >= self._deadline:
                        raise
            spare_seconds = self._deadline - clock.now() - _OTHER_WAY_SECONDS
            connect_seconds = min(
                _CONNECT_TIMEOUT_SECONDS,
                max(_MIN_CONNECT_TIMEOUT_SECONDS, spare_seconds),
            )

    async def _send_once(
        self, url: URL, connect_seconds: float
    ) -> aiohttp.ClientResponse:
        with exchanging(self._exchange):
            return await self._stack.enter_async_context(
                self._kernel.get(HttpClients).shared.request(
                    self._method,
                    url,
                    allow_redirects=False,
                    skip_auto_headers=_AUTO_HEADERS,
                    timeout=_timeout(self._deadline - clock.now(), connect_seconds),
                    **self._options,
                )
            )


def _timeout(seconds: float, connect_seconds: float) -> aiohttp.ClientTimeout:
    """Return the time limits of a call, which replace those of the session."""
    seconds = max(_MIN_SECONDS, seconds)
    return aiohttp.ClientTimeout(
        total=seconds, sock_connect=min(seconds, connect_seconds)
    )


class TargetRequests:
    """Makes one attempt at each request."""

    def __init__(self, kernel: Kernel) -> None:
        self._kernel = kernel

    @asynccontextmanager
    async def open(
        self,
        method: str,
        target: Target,
        path: str,
        seconds: float,
        *,
        exchange: Exchange,
        relayable: bool,
        **options: Any,
    ) -> AsyncIterator[OpenedCall]:
        """Send a request; the block gets the call once its answer has begun.

        :param seconds: how long the call may take.
        :param exchange: how the answer of the request is known.
        :param relayable: whether a neighbour may pass the request on if this host can't
            reach the target. Load orders may not be: engines tell holders by the host.
        :param options: further arguments of aiohttp's ``request``.
        :raises TargetUnreachableError: nothing was sent.
        :raises ConnectionLostError: the connection ended before the answer did.
        :raises TargetFailedError: there is no complete answer.
        """
        async with AsyncExitStack() as stack:
            sending = _Sending(
                self._kernel, stack, method, target, path, seconds, exchange, options
            )
            call = await (self._send(sending) if relayable else sending.send_directly())
            with _watched(call.watch), _translated_errors(call.response.url.authority):
                yield call

    async def _send(self, sending: _Sending) -> OpenedCall:
        """Send a request the way that is likely to work, then the other one.

        The other one is tried only if nothing was sent the first way.
        """
        paths = self._kernel.get(TargetPaths)
        if paths.doubtful:
            call = await sending.send_through_neighbours()
            if call is not None:
                return call
            if paths.lost:
                raise TargetUnreachableError(
                    "neither this host nor a neighbour reaches targets"
                )
            return await sending.send_directly()
        try:
            return await sending.send_directly()
        except TargetUnreachableError:
            call = await sending.send_through_neighbours()
            if call is None:
                raise
            return call
