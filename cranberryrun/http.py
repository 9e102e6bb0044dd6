"""The HTTP client sessions that a host's services share."""

from __future__ import annotations

import aiohttp

from .kernel import Service


class HttpClients(Service):
    """Holds two sessions.

    ``shared`` keeps connections open. ``once`` opens a new connection for each
    request: the library sends a request again by itself when a kept connection
    turns out to be closed, which a request that may not be repeated can't have.
    """

    name = "http"

    def __init__(self, connect_timeout: float) -> None:
        super().__init__()
        self._connect_timeout = connect_timeout
        self.shared: aiohttp.ClientSession
        self.once: aiohttp.ClientSession

    async def start(self) -> None:
        """Open the sessions."""
        timeout = aiohttp.ClientTimeout(total=None, sock_connect=self._connect_timeout)
        self.shared = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0), timeout=timeout
        )
        self.once = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0, force_close=True), timeout=timeout
        )

    async def stop(self) -> None:
        """Close the sessions."""
        await self.shared.close()
        await self.once.close()
