"""Stand-in for a target in trouble whose answers are not valid HTTP."""

from __future__ import annotations

import asyncio

from ._raw_server import RawServer, read_request

_ATTEMPT_ID = b"x-cranberryrun-attempt-id"
_LAST_EVENT_ID = b"last-event-id"
_PLACEHOLDER = b"ATTEMPT-ID"
_PAUSE = b"PAUSE"
_PAUSE_SECONDS = 0.03
_OK = b"HTTP/1.1 200 OK"
_EVENT = b"id: 1\ndata: broken\n\n"
_LENGTH = b"Content-Length: %d" % len(_EVENT)
_CODING = b"Transfer-Encoding: "
_CHUNK = b"%x\r\n%b\r\n" % (len(_EVENT), _EVENT)
_CHUNKS = _CHUNK + b"0\r\n\r\n"
_ECHO = b"X-Cranberryrun-Attempt-Id: " + _PLACEHOLDER
_FIELDS = (
    _ECHO,
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
    status_line: bytes = _OK,
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
    "version 0.9": _answer(b"HTTP/0.9 200 OK"),
    "version 2.0": _answer(b"HTTP/2.0 200 OK"),
    "other protocol": _answer(b"RTSP/1.0 200 OK"),
    "reason with control": _answer(b"HTTP/1.1 200 O\x01K"),
    "reason with nul": _answer(b"HTTP/1.1 200 O\x00K"),
    "name with blank": _answer(_OK, b"X Own: 1"),
    "name with tab": _answer(_OK, b"X\tOwn: 1"),
    "name with control": _answer(_OK, b"X\x01Own: 1"),
    "name with nul": _answer(_OK, b"X\x00Own: 1"),
    "name with delete": _answer(_OK, b"X\x7fOwn: 1"),
    "name with CR": _answer(_OK, b"X\rOwn: 1"),
    "name outside ASCII": _answer(_OK, b"X\xc3\x84: 1"),
    "name before blank": _answer(_OK, b"X-Own : 1"),
    "name before control": _answer(_OK, b"X-Own\x0b: 1"),
    "length before blank": _answer(framing=_LENGTH.replace(b":", b" :")),
    "coding before blank": _answer(
        framing=b"Transfer-Encoding : chunked", body=_CHUNKS
    ),
    "connection before blank": _answer(_OK, b"Connection : close"),
    "empty name": _answer(_OK, b": 1"),
    "line without colon": _answer(_OK, b"X-Own"),
    "name after blank": _answer(b"HTTP/1.1 200 OK\r\n X-Own: 1"),
    "name after tab": _answer(b"HTTP/1.1 200 OK\r\n\tX-Own: 1"),
    "folded line": _answer(_OK, b"X-Own: 1\r\n X-Other: 1"),
    "folded line after LF": _answer(_OK, b"X-Own: 1\n X-Other: 1"),
    "folded length": _answer(framing=b" " + _LENGTH, body=_EVENT + b"more"),
    "folded coding": _answer(framing=b"\tTransfer-Encoding: chunked", body=_CHUNKS),
    "value with control": _answer(_OK, b"X-Own: a\x01b"),
    "value with escape": _answer(_OK, b"X-Own: a\x1b[2J"),
    "value with delete": _answer(_OK, b"X-Own: a\x7fb"),
    "value with nul": _answer(_OK, b"X-Own: a\x00b"),
    "value with CR": _answer(_OK, b"X-Own: a\rX-Other: b"),
    "value before control": _answer(_OK, b"X-Own: a\x0b"),
    "transfer coding gzip": _answer(framing=_CODING + b"gzip"),
    "transfer coding identity": _answer(framing=_CODING + b"identity"),
    "empty transfer coding": _answer(framing=_CODING),
    "gzip before chunked": _answer(framing=_CODING + b"gzip, chunked", body=_CHUNKS),
    "chunked before gzip": _answer(framing=_CODING + b"chunked, gzip"),
    "chunked twice": _answer(framing=_CODING + b"chunked, chunked", body=_CHUNKS),
    "chunked in two lines": _answer(
        _OK, _CODING + b"chunked", framing=_CODING + b"chunked", body=_CHUNKS
    ),
    "chunked with parameter": _answer(framing=_CODING + b"chunked;q=1"),
    "quoted chunked": _answer(framing=_CODING + b'"chunked"'),
    "chunked in old version": _answer(
        b"HTTP/1.0 200 OK", framing=_CODING + b"chunked", body=_CHUNKS
    ),
    "chunked with length": _answer(_OK, _LENGTH, framing=_CODING + b"chunked"),
    "length with chunked": _answer(_OK, _CODING + b"chunked", framing=_LENGTH),
    "two lengths": _answer(_OK, _LENGTH),
    "length in a list": _answer(framing=_LENGTH + b", 19"),
    "length with sign": _answer(framing=b"Content-Length: +19"),
    "negative length": _answer(framing=b"Content-Length: -1"),
    "empty length": _answer(framing=b"Content-Length:"),
    "length of 64 bits": _answer(framing=b"Content-Length: 18446744073709551615"),
    "length beyond 64 bits": _answer(framing=b"Content-Length: 18446744073709551616"),
    "body of an interim answer": _answer(b"HTTP/1.1 103 Hints") + _answer(),
    "chunked interim answer": _answer(
        b"HTTP/1.1 199 X", framing=_CODING + b"chunked", body=_CHUNKS
    )
    + _answer(),
    "body of no content": _answer(b"HTTP/1.1 204 OK"),
    "chunked no content": _answer(
        b"HTTP/1.1 204 OK", framing=_CODING + b"chunked", body=b""
    ),
    "broken interim answer": b"HTTP/1.1 103 Hints\r\n X-Own: 1\r\n\r\n" + _answer(),
}


# Answers whose bodies break some time after their heads, at :data:`_PAUSE`.
_CHUNKED_HEAD = _answer(framing=_CODING + b"chunked", body=b"")
BROKEN_BODIES: dict[str, bytes] = {
    "chunk size": _CHUNKED_HEAD + _CHUNK + _PAUSE + b"size\r\n",
    "chunk size with sign": _CHUNKED_HEAD + _CHUNK + _PAUSE + b"-1\r\n",
    "chunk size of 68 bits": _CHUNKED_HEAD + _CHUNK + _PAUSE + b"f" * 17 + b"\r\n",
    "chunk longer than its size": _CHUNKED_HEAD + _CHUNK[:-2] + _PAUSE + b"more\r\n",
    "chunk extension": _CHUNKED_HEAD + _CHUNK + _PAUSE + b"1;\x00\r\n",
    "trailer with blank": _CHUNKED_HEAD + _CHUNK + _PAUSE + b"0\r\nX Own: 1\r\n\r\n",
    "trailer with length": _CHUNKED_HEAD
    + _CHUNK
    + _PAUSE
    + b"0\r\nContent-Length: 1\r\n\r\n",
}
_ANSWERS = BROKEN_ANSWERS | BROKEN_BODIES


class BrokenTarget(RawServer):
    """Answers every request with the answer of ``fault`` and keeps the connection.

    ``fault`` is a key of :data:`BROKEN_ANSWERS` or :data:`BROKEN_BODIES`. With
    ``claims``, the head begins with :data:`CLAIMS`. ``requests`` lists the attempt ids
    of the requests, ``resumed`` those of requests for the rest of a stream.
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
            header_by_name = await read_request(reader)
            attempt_id = header_by_name.get(_ATTEMPT_ID, b"")
            self.requests.append(attempt_id.decode())
            if _LAST_EVENT_ID in header_by_name:
                self.resumed.append(attempt_id.decode())
            first, *rest = self._raw_answer(attempt_id).split(_PAUSE)
            writer.write(first)
            for part in rest:
                await asyncio.sleep(_PAUSE_SECONDS)
                writer.write(part)
            await writer.drain()

    def _raw_answer(self, attempt_id: bytes) -> bytes:
        answer = _ANSWERS[self._fault]
        if not attempt_id:
            answer = answer.replace(_ECHO + b"\r\n", b"")
        answer = answer.replace(_PLACEHOLDER, attempt_id)
        if not self._claims:
            return answer
        status_line, _, rest = answer.partition(b"\r\n")
        return b"\r\n".join((status_line, *CLAIMS, rest))
