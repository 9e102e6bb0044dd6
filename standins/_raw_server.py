"""A server on a raw socket, for stand-ins that do not follow HTTP."""

from __future__ import annotations

import asyncio
import contextlib
from abc import ABC, abstractmethod


class RawServer(ABC):
    """Serves each connection until the caller closes it.

    ``open_connections`` counts the connections that callers have not closed.
    """

    def __init__(self) -> None:
        self.address = ""
        self.open_connections = 0
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on a free loopback port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"

    async def stop(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.open_connections += 1
        try:
            # The caller closes the connection.
            with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
                await self._answer(reader, writer)
        finally:
            self.open_connections -= 1
            writer.close()

    @abstractmethod
    async def _answer(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer the requests of one connection."""


async def read_request(reader: asyncio.StreamReader) -> dict[bytes, bytes]:
    """Read one request whose body has a length; return its headers in lower case."""
    head = await reader.readuntil(b"\r\n\r\n")
    header_by_name: dict[bytes, bytes] = {}
    for line in head.split(b"\r\n")[1:]:
        name, _, value = line.partition(b":")
        header_by_name[name.lower()] = value.strip()
    await reader.readexactly(int(header_by_name.get(b"content-length", 0)))
    return header_by_name
