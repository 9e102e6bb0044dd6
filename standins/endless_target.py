"""Stand-in for a target in trouble that sends bytes without end.

``python -m standins.endless_target FAULT`` runs it as a process, which prints its
address. With ``--to ADDRESS`` it is a caller that sends requests without end.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Iterator

import click

from ._raw_server import RawServer

_CHUNK = b"x" * 16_384
_HEAD = (
    b"HTTP/1.1 200 OK\r\n"
    b"X-Cranberryrun-Server-Signature: 1.2.3\r\n"
    b"X-Cranberryrun-Weight-Versions: 1\r\n"
)
_STREAM = _HEAD + b"Content-Type: text/event-stream\r\n"
_CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"

# What is sent first and then repeated, by the name of the fault.
ENDLESS_ANSWERS: dict[str, tuple[bytes, bytes]] = {
    "status line": (b"HTTP/1.1 200 ", _CHUNK),
    "header line": (_HEAD + b"X-Long: ", _CHUNK),
    "header lines": (_HEAD, b"X-Again: 1\r\n" * 1000),
    "interim answers": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 500),
    "interim answers with headers": (
        b"",
        (b"HTTP/1.1 103 Early Hints\r\n" + b"X-Again: 1\r\n" * 100 + b"\r\n") * 20,
    ),
    "answers": (b"", b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n" * 500),
    "garbage": (b"", b"\x00\xff\x13" * 5000),
    "body without length": (_HEAD + b"\r\n", _CHUNK),
    "chunked body": (_HEAD + _CHUNKED, b"4000\r\n" + _CHUNK + b"\r\n"),
    "chunk size": (_HEAD + _CHUNKED, b"0" * 16_384),
    "small chunks": (_HEAD + _CHUNKED, b"1\r\nx\r\n" * 3000),
    "long body": (_HEAD + b"Content-Length: 99999999999\r\n\r\n", _CHUNK),
    "event": (_STREAM + b"\r\ndata: ", _CHUNK),
    "chunked event": (_STREAM + _CHUNKED, b"4000\r\n" + _CHUNK + b"\r\n"),
    "event lines": (_STREAM + b"\r\n", b"data: x\n" * 2000),
}

_REQUEST = b"POST /x HTTP/1.1\r\nHost: a\r\n"

# The same for callers, by the name of the fault.
ENDLESS_REQUESTS: dict[str, tuple[bytes, bytes]] = {
    "requests": (b"", b"GET /x HTTP/1.1\r\nHost: a\r\n\r\n" * 500),
    "empty lines": (b"", b"\r\n" * 5000),
    "header line": (_REQUEST + b"X-Long: ", _CHUNK),
    "header lines": (_REQUEST, b"X-Again: 1\r\n" * 1000),
    "chunked body": (_REQUEST + _CHUNKED, b"4000\r\n" + _CHUNK + b"\r\n"),
    "small chunks": (_REQUEST + _CHUNKED, b"1\r\nx\r\n" * 3000),
    "trailers": (_REQUEST + _CHUNKED + b"0\r\n", b"X-Again: 1\r\n" * 1000),
    "garbage": (b"", b"\x00\xff\x13" * 5000),
    "upgrade": (
        b"GET /x HTTP/1.1\r\nHost: a\r\n"
        b"Connection: Upgrade\r\nUpgrade: websocket\r\n\r\n",
        _CHUNK,
    ),
    "tunnel": (b"CONNECT a:1 HTTP/1.1\r\nHost: a\r\n\r\n", _CHUNK),
}


class EndlessTarget(RawServer):
    """Answers every request with bytes that end only when the caller closes.

    ``fault`` is a key of :data:`ENDLESS_ANSWERS`. With ``trickle_seconds``, a single
    byte is sent per that time after the first part. ``sent_bytes`` counts what callers
    took.
    """

    def __init__(self, fault: str, trickle_seconds: float = 0.0) -> None:
        super().__init__()
        self._first, self._repeated = ENDLESS_ANSWERS[fault]
        self._trickle_seconds = trickle_seconds
        self.sent_bytes = 0
        self.requests = 0

    async def _answer(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b"\r\n\r\n")
        self.requests += 1
        for part in self._parts():
            writer.write(part)
            await writer.drain()
            self.sent_bytes += len(part)
            await asyncio.sleep(self._trickle_seconds)

    def _parts(self) -> Iterator[bytes]:
        yield self._first
        while not self._trickle_seconds:
            yield self._repeated
        while True:
            for byte in self._repeated:
                yield bytes([byte])


async def _send_requests(address: str, fault: str) -> None:
    host, port = address.split(":")
    _, writer = await asyncio.open_connection(host, int(port))
    first, repeated = ENDLESS_REQUESTS[fault]
    writer.write(first)
    with contextlib.suppress(ConnectionError):
        while True:
            writer.write(repeated)
            await writer.drain()


async def _serve(fault: str) -> None:
    target = EndlessTarget(fault)
    await target.start()
    click.echo(target.address)
    await asyncio.Event().wait()


@click.command()
@click.argument("fault")
@click.option("--to", "address", help="Where a caller sends its requests.")
def main(fault: str, address: str | None) -> None:
    """Send bytes without end until the process is killed."""
    asyncio.run(_send_requests(address, fault) if address else _serve(fault))


if __name__ == "__main__":
    main()
