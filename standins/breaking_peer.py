"""Stand-in for a peer whose connections break while it works on a request."""

from __future__ import annotations

import asyncio


class BreakingPeer:
    """Answers requests; from :meth:`break_next` on, the next one fails.

    ``reset`` closes its connection without an answer, ``crash`` stops listening as
    well, and ``redirect`` answers with status 307 and the peer's own address. Later
    requests are answered again. ``requests`` lists the first line of each request.
    """

    def __init__(self) -> None:
        self.address = ""
        self.requests: list[str] = []
        self._fault = ""
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

    def break_next(self, fault: str) -> None:
        """Let the next request fail, and forget those so far."""
        self._fault = fault
        self.requests.clear()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
                _, _, length = head.partition("content-length: ")
                await reader.readexactly(int(length.split("\r\n")[0] or 0))
                self.requests.append(head.split("\r\n")[0])
                fault, self._fault = self._fault, ""
                if fault == "crash":
                    await self.stop()
                if fault in ("reset", "crash"):
                    return
                writer.write(self._answer(fault))
        except (ConnectionError, asyncio.IncompleteReadError):
            # The caller closed the connection.
            return
        finally:
            writer.close()

    def _answer(self, fault: str) -> bytes:
        if fault == "redirect":
            location = f"Location: http://{self.address}/elsewhere\r\n"
            head = f"HTTP/1.1 307 Temporary Redirect\r\n{location}"
            return f"{head}Content-Length: 0\r\n\r\n".encode()
        return b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"
