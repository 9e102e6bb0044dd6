"""Stand-in for an engine that sends sound small events as fast as its caller reads.

``python -m standins.fast_target FORM`` runs it as a process, which prints its address.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterator

import click

from ._raw_server import RawServer, read_request

_HEAD = (
    b"HTTP/1.1 200 OK\r\n"
    b"X-Cranberryrun-Server-Signature: 1.2.3\r\n"
    b"X-Cranberryrun-Weight-Versions: 1\r\n"
    b"Content-Type: text/event-stream\r\n"
    b"Transfer-Encoding: chunked\r\n"
    b"X-Cranberryrun-Attempt-Id: %b\r\n\r\n"
)
_NOT_RUN = (
    b"HTTP/1.1 503 Busy\r\nX-Cranberryrun-Not-Executed: 1\r\nContent-Length: 0\r\n"
    b"X-Cranberryrun-Attempt-Id: %b\r\n\r\n"
)
_REPORT = b'{"busy": false, "sequence": 0, "models": [{"name": "m", "version": 1}]}'
_REPORT_ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b"
_EVENTS_A_WRITE = 2000


def _small(number: int) -> bytes:
    return b"id:%d\ndata:\n\n" % number


def _alone(number: int) -> bytes:
    """Return an event as an HTTP chunk of its own."""
    event = _small(number)
    return b"%x\r\n%b\r\n" % (len(event), event)


def _in_bytes(number: int) -> bytes:
    """Return an event of which each byte is an HTTP chunk of its own."""
    return b"".join(b"1\r\n%c\r\n" % byte for byte in _small(number))


def _with_comments(number: int) -> bytes:
    return b":\n\n" * 20 + _small(number)


def _chunk(content: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(content), content)


# Returns the bytes of an event, and whether they are HTTP chunks already.
FORMS: dict[str, tuple[Callable[[int], bytes], bool]] = {
    "small": (_small, False),
    "comments": (_with_comments, False),
    "chunks": (_alone, True),
    "bytes": (_in_bytes, True),
}


class FastTarget(RawServer):
    """Answers each request with ``events`` events, or with events without end."""

    def __init__(self, form: str, events: int | None = None) -> None:
        super().__init__()
        self._event, self._is_chunked = FORMS[form]
        self._events = events
        self._writes: list[bytes] = []

    async def _answer(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while True:
            request = await read_request(reader)
            if b"x-cranberryrun-attempt-id" not in request:
                writer.write(_REPORT_ANSWER % (len(_REPORT), _REPORT))
                continue
            attempt_id = request[b"x-cranberryrun-attempt-id"]
            if int(request.get(b"last-event-id", b"0")):
                writer.write(_NOT_RUN % attempt_id)
                continue
            writer.write(_HEAD % attempt_id)
            for content in self._contents():
                writer.write(content)
                await writer.drain()
            writer.write(b"0\r\n\r\n")

    def _contents(self) -> Iterator[bytes]:
        """Yield what is written, which is made once for all answers."""
        position = 0
        while self._events is None or position * _EVENTS_A_WRITE < self._events:
            if position == len(self._writes):
                self._writes.append(self._content(position * _EVENTS_A_WRITE))
            yield self._writes[position]
            position += 1

    def _content(self, start: int) -> bytes:
        numbers = range(start + 1, start + 1 + _EVENTS_A_WRITE)
        content = b"".join(map(self._event, numbers))
        return content if self._is_chunked else _chunk(content)


async def _serve(form: str) -> None:
    target = FastTarget(form)
    await target.start()
    click.echo(target.address)
    await asyncio.Event().wait()


@click.command()
@click.argument("form", type=click.Choice(list(FORMS)))
def main(form: str) -> None:
    """Send small events without end until the process is killed."""
    asyncio.run(_serve(form))


if __name__ == "__main__":
    main()
