"""The HTTP client sessions that a host's services share."""

from __future__ import annotations

import ssl
from collections.abc import Mapping

import aiohttp

from .kernel import Service

_IDLE_SECONDS = 15.0
# A request on its way while the target closes the connection would be lost.
_IDLE_MARGIN_SECONDS = 1.0


# Headers that concern one connection only, or that the library sets itself.
HOP_HEADERS = frozenset(
    {
        "connection",
        "content-length",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
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


class _Connector(aiohttp.TCPConnector):
    """A connector whose idle time can be changed while it is used."""

    def keep(self, seconds: float) -> None:
        """Keep unused connections for ``seconds`` from now on."""
        # There is no public setter; a test counts connections.
        self._keepalive_timeout = seconds


class HttpClients(Service):
    """Holds two sessions; neither keeps cookies.

    ``shared`` keeps connections open. ``no_retry`` opens a new connection for each
    request and never sends one again: the library repeats idempotent methods by
    itself when a connection breaks, which a request that may not be repeated
    can't have.

    :param connect_timeout: in seconds.
    :param tls: what the certificates of targets are checked with.
    :param idle: seconds for which an unused connection is kept.
    :param decode: whether compressed answers are unpacked.
    """

    name = "http"

    def __init__(
        self,
        connect_timeout: float,
        tls: ssl.SSLContext | None = None,
        *,
        idle: float = _IDLE_SECONDS,
        decode: bool = True,
    ) -> None:
        super().__init__()
        self._idle = idle
        self._told_idle: float | None = None
        self._decode = decode
        self._connect_timeout = connect_timeout
        self._tls = tls
        self.shared: aiohttp.ClientSession
        self.no_retry: aiohttp.ClientSession

    async def start(self) -> None:
        """Open the sessions."""
        self.shared = self._session(keep=True)
        self.no_retry = self._session(keep=False)
        # There is no public switch for this; a test counts what arrives.
        self.no_retry._retry_connection = False

    def _session(self, keep: bool) -> aiohttp.ClientSession:
        connector = _Connector(
            limit=0,
            force_close=not keep,
            ssl=self._tls or True,
            **({"keepalive_timeout": self._idle} if keep else {}),
        )
        return aiohttp.ClientSession(
            connector=connector,
            auto_decompress=self._decode,
            # Callers share the sessions; one's cookies are not another's.
            cookie_jar=aiohttp.DummyCookieJar(),
            timeout=aiohttp.ClientTimeout(
                total=None, sock_connect=self._connect_timeout
            ),
        )

    def apply_keepalive_timeout(self, seconds: float) -> None:
        """Follow what a target says of its own idle time; the least one counts."""
        kept = seconds - _IDLE_MARGIN_SECONDS
        if kept <= 0 or (self._told_idle is not None and kept >= self._told_idle):
            return
        self._told_idle = kept
        connector = self.shared.connector
        assert isinstance(connector, _Connector)
        connector.keep(kept)

    async def stop(self) -> None:
        """Close the sessions."""
        await self.shared.close()
        await self.no_retry.close()
