"""A small HTTP/1.1 client for stand-ins; one request at a time on a connection."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field


class ChannelClosed(Exception):
    """The connection ended before the answer was complete."""


@dataclass
class Answer:
    """A complete answer."""

    status: int
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    """Return the first line and the headers, by lower-case name."""
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.lower()] = value.strip()
    return first, headers


async def read_body(reader: asyncio.StreamReader, headers: dict[str, str]) -> bytes:
    """Return the body that the headers announce."""
    if "chunked" not in headers.get("transfer-encoding", ""):
        return await reader.readexactly(int(headers.get("content-length", "0")))
    body = b""
    while size := int((await reader.readline()).split(b";")[0], 16):
        body += await reader.readexactly(size)
        await reader.readexactly(2)
    await reader.readuntil(b"\r\n")
    return body


class Channel:
    """One connection of a client, which is kept for several requests."""

    def __init__(self, address: str) -> None:
        self._address = address
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    async def send(
        self,
        method: str,
        path: str,
        headers: dict[str, str],
        body: bytes = b"",
        seconds: float = 5.0,
    ) -> Answer:
        """Send one request and return its answer.

        :raises ChannelClosed: there is no complete answer in time.
        """
        try:
            async with asyncio.timeout(seconds):
                return await self._send(method, path, headers, body)
        except (OSError, EOFError, TimeoutError, ValueError) as error:
            self.close()
            raise ChannelClosed(repr(error)) from None

    async def _send(
        self, method: str, path: str, headers: dict[str, str], body: bytes
    ) -> Answer:
        if self._writer is None:
            host, port = self._address.split(":")
            self._reader, self._writer = await asyncio.open_connection(host, int(port))
        assert self._reader is not None
        lines = [f"{method} {path} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        lines.append(f"Content-Length: {len(body)}")
        self._writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
        first, answer_headers = await read_head(self._reader)
        answer_body = await read_body(self._reader, answer_headers)
        if answer_headers.get("connection", "").lower() == "close":
            self.close()
        return Answer(int(first.split()[1]), answer_headers, answer_body)

    def close(self) -> None:
        """Close the connection; the next request opens another one."""
        if self._writer is not None:
            self._writer.close()
        self._reader = self._writer = None


async def call(
    address: str,
    method: str,
    path: str,
    headers: dict[str, str],
    body: bytes = b"",
    seconds: float = 5.0,
) -> Answer:
    """Send one request on a connection of its own."""
    channel = Channel(address)
    try:
        return await channel.send(method, path, headers, body, seconds)
    finally:
        channel.close()
