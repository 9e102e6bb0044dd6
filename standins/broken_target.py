"""Stand-in for a target in trouble whose answers are not valid HTTP."""

from __future__ import annotations

import asyncio

from ._raw_server import RawServer

_ATTEMPT_ID = b"x-cranberryrun-attempt-id"
_LAST_EVENT_ID = b"last-event-id"
_PLACEHOLDER = b"ATTEMPT-ID"
_EVENT = b"id: 1\ndata: broken\n\n"
_LENGTH = b"Content-Length: %d" % len(_EVENT)
_FIELDS = (
    b"X-Cranberryrun-Attempt-Id: " + _PLACEHOLDER,
    b"X-Cranberryrun-Server-Signature: 1.2.3",
    b"X-Cranberryrun-Weight-Versions: 1",
    b"Content-Type: text/event-stream",
)

# Fields by which a target says that it did not run the request, that it takes no more
# requests and that it is leaving; the first two in both protocols.
CLAIMS = (
    b"X-Cranberryrun-Not-Executed: 1",
    b"X-Not-Run: 1",
    b"Server-Limit: 0.001",
    b"Server-Leaving: 1",
    b"Retry-After: 60",
)


def _answer(
    status_line: bytes = b"HTTP/1.1 200 OK",
    *lines: bytes,
    framing: bytes = _LENGTH,
    body: bytes = _EVENT,
) -> bytes:
    head = b"\r\n".join((status_line, *_FIELDS, *lines, framing))
    return head + b"\r\n\r\n" + body


# Whole answers by the name of the fault.
BROKEN_ANSWERS: dict[str, bytes] = {
    "status 000": _answer(b"HTTP/1.1 000 OK"),
    "status 099": _answer(b"HTTP/1.1 099 OK"),
    "status 600": _answer(b"HTTP/1.1 600 OK"),
    "status 999": _answer(b"HTTP/1.1 999 OK"),
    "status 101": _answer(b"HTTP/1.1 101 OK", b"Connection: upgrade", b"Upgrade: x"),
    "status 101 without upgrade": _answer(b"HTTP/1.1 101 OK"),
}


class BrokenTarget(RawServer):
    """Answers every request with the answer of ``fault`` and keeps the connection.

    ``fault`` is a key of :data:`BROKEN_ANSWERS`. With ``claims``, the head begins with
    :data:`CLAIMS`. ``requests`` lists the attempt ids of the requests, ``resumed``
    those of requests for the rest of a stream.
    """

    def __init__(self, target_id: str, fault: str, claims: bool = False) -> None:
        super().__init__()
        self.id = target_id
        self.requests: list[str] = []
        self.resumed: list[str] = []
        self._fault = fault
        self._claims = claims

    async def _answer(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while True:
            header_by_name = await _read_request(reader)
            attempt_id = header_by_name.get(_ATTEMPT_ID, b"")
            self.requests.append(attempt_id.decode())
            if _LAST_EVENT_ID in header_by_name:
                self.resumed.append(attempt_id.decode())
            writer.write(self._raw_answer(attempt_id))
            await writer.drain()

    def _raw_answer(self, attempt_id: bytes) -> bytes:
        answer = BROKEN_ANSWERS[self._fault].replace(_PLACEHOLDER, attempt_id)
        if not self._claims:
            return answer
        status_line, _, rest = answer.partition(b"\r\n")
        return b"\r\n".join((status_line, *CLAIMS, rest))


async def _read_request(reader: asyncio.StreamReader) -> dict[bytes, bytes]:
    """Read one request whose body has a length; return its headers in lower case."""
    head = await reader.readuntil(b"\r\n\r\n")
    header_by_name: dict[bytes, bytes] = {}
    for line in head.split(b"\r\n")[1:]:
        name, _, value = line.partition(b":")
        header_by_name[name.lower()] = value.strip()
    await reader.readexactly(int(header_by_name.get(b"content-length", 0)))
    return header_by_name
