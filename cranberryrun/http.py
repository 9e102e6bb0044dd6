"""HTTP client sessions that the services of a host share."""

from __future__ import annotations

import ssl
from collections.abc import Mapping
from typing import Any

import aiohttp

from .answer_memory import AnswerMemory
from .answer_protocol import Connector
from .kernel import Service

_KEEPALIVE_SECONDS = 15.0
# A request sent just as the target closes the idle connection would be lost.
_KEEPALIVE_MARGIN_SECONDS = 1.0
# Event loops have no timers of any length.
_MAX_KEEPALIVE_SECONDS = 86_400.0
_ANSWER_BYTES = 64_000_000


# Headers that apply to a single connection, or that aiohttp sets itself.
HOP_HEADERS = frozenset(
    {
        "connection",
        "content-length",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "relay-outcome",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)


def forwardable(headers: Mapping[str, str]) -> tuple[tuple[str, str], ...]:
    """Return the headers that may be passed on to another connection."""
    return tuple(
        (name, value)
        for name, value in headers.items()
        if name.lower() not in HOP_HEADERS
    )


class _Connector(Connector):
    """A connector whose keep-alive timeout can be changed while it is in use."""

    def set_keepalive_timeout(self, seconds: float) -> None:
        """Close idle connections after ``seconds`` from now on."""
        # aiohttp has no public setter for this; a test counts connections.
        self._keepalive_timeout = seconds


class HttpClients(Service):
    """Holds three sessions; none keeps cookies.

    ``shared`` reuses connections. ``single_use`` opens a new connection for each
    request. Neither ever sends a request twice, so a request that could not connect
    was not sent. aiohttp by itself repeats requests with idempotent methods when a
    kept connection breaks. ``reads``, which shares the connections of ``shared``,
    leaves it to do so; it is for reads of the project's own protocols.

    Callers pass ``allow_redirects=False``, as a redirect would repeat the request.

    :param connect_timeout: in seconds.
    :param tls: the context that verifies the certificates of targets.
    :param idle: seconds after which an idle connection is closed.
    :param decode: whether compressed answers are decompressed.
    :param answer_bytes: limit of the memory of answers that :meth:`read` reads at the
        same time.
    """

    name = "http"

    def __init__(
        self,
        connect_timeout: float,
        tls: ssl.SSLContext | None = None,
        *,
        idle: float = _KEEPALIVE_SECONDS,
        decode: bool = True,
        answer_bytes: int = _ANSWER_BYTES,
    ) -> None:
        super().__init__()
        self._answers = AnswerMemory(answer_bytes)
        self._idle = idle
        self._advertised_keepalive: float | None = None
        self._decode = decode
        self._connect_timeout = connect_timeout
        self._tls = tls
        self.shared: aiohttp.ClientSession
        self.single_use: aiohttp.ClientSession
        self.reads: aiohttp.ClientSession

    async def start(self) -> None:
        """Open the sessions."""
        connector = self._connector(keepalive_timeout=self._idle)
        self.shared = self._session(connector)
        self.single_use = self._session(self._connector(force_close=True))
        self.reads = self._session(connector, owns_connector=False)
        for session in (self.shared, self.single_use):
            # aiohttp has no public switch for this; a test counts the requests.
            session._retry_connection = False

    def session_for(self, method: str) -> aiohttp.ClientSession:
        """Return the session for a call of the project's own protocols."""
        return self.reads if method == "GET" else self.shared

    def _connector(self, **options: Any) -> _Connector:
        return _Connector(limit=0, ssl=self._tls or True, **options)

    def _session(
        self, connector: _Connector, owns_connector: bool = True
    ) -> aiohttp.ClientSession:
        return aiohttp.ClientSession(
            connector=connector,
            connector_owner=owns_connector,
            auto_decompress=self._decode,
            # Callers share the sessions, so a cookie of one would reach another.
            cookie_jar=aiohttp.DummyCookieJar(),
            timeout=aiohttp.ClientTimeout(
                total=None, sock_connect=self._connect_timeout
            ),
        )

    async def read(self, response: aiohttp.ClientResponse) -> bytes:
        """Return the complete body of an answer to a request of any session.

        :raises AnswerTooLongError: the body is too long; the connection is closed.
        """
        return await self._answers.read(response)

    async def read_for_caller(
        self, response: aiohttp.ClientResponse
    ) -> bytes | memoryview:
        """Return the complete body of an answer that is passed on.

        It waits until its reader has room for it; see :class:`AnswerMemory`.

        :raises AnswerTooLongError: the body is too long; the connection is closed.
        """
        return await self._answers.read_for_caller(response)

    def apply_keepalive_timeout(self, seconds: float) -> None:
        """Apply the keep-alive timeout that a target advertises.

        The least timeout of all targets applies to all connections. A day is the most.

        :param seconds: as in the target's ``Keep-Alive`` header.
        """
        timeout_seconds = min(
            seconds - _KEEPALIVE_MARGIN_SECONDS, _MAX_KEEPALIVE_SECONDS
        )
        if timeout_seconds <= 0 or (
            self._advertised_keepalive is not None
            and timeout_seconds >= self._advertised_keepalive
        ):
            return
        self._advertised_keepalive = timeout_seconds
        connector = self.shared.connector
        assert isinstance(connector, _Connector)
        connector.set_keepalive_timeout(timeout_seconds)

    async def stop(self) -> None:
        """Close the sessions."""
        for session in (self.reads, self.shared, self.single_use):
            await session.close()
