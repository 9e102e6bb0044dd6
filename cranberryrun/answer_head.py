"""Checks the heads of answers (RFC 9112), which the parser of aiohttp reads leniently.

The parser joins a line that begins with a blank to the line before it and accepts
blanks after some names, so what it returns does not show what the peer sent.
"""

from __future__ import annotations

import re

import aiohttp
from aiohttp import HttpVersion11, hdrs

_SWITCHING_PROTOCOLS = 101
_MAX_QUOTED_BYTES = 80
_MAX_LENGTH_DIGITS = 18

# Empty lines may come before an answer, and a line may end with LF alone (section 2.2).
_STATUS_LINE = rb"HTTP/1\.[01] [0-9]{3}(?: [\t -~\x80-\xff]*+)?\r?\n"
_FIELD_LINE = rb"[!#$%&'*+.^_`|~0-9A-Za-z-]++:[\t -~\x80-\xff]*+\r?\n"
_HEAD_PATTERN = re.compile(
    rb"[\r\n]*+" + _STATUS_LINE + rb"(?:" + _FIELD_LINE + rb")*+\r?\n"
)
_VALID_LINES_PATTERN = re.compile(
    rb"[\r\n]*+(?:" + _STATUS_LINE + rb"(?:" + _FIELD_LINE + rb")*+)?"
)


class RawHeads:
    """The bytes of an answer from its first interim head to its final one.

    The parser finds the end of each head; the bytes after the final one are its body.
    """

    def __init__(self) -> None:
        self._bytes = bytearray()

    def __len__(self) -> int:
        return len(self._bytes)

    def add(self, data: bytes) -> None:
        """Add bytes; those that follow the final head do no harm."""
        self._bytes += data

    def clear(self) -> None:
        """Drop all bytes."""
        self._bytes.clear()

    def take(self) -> str | None:
        """Drop the first head, which is complete; return its fault, if it has one."""
        head = _HEAD_PATTERN.match(self._bytes)
        if head is None:
            return f"the head has the line {self._first_invalid_line()!r}"
        del self._bytes[: head.end()]
        return None

    def _first_invalid_line(self) -> bytes:
        valid = _VALID_LINES_PATTERN.match(self._bytes)
        start = valid.end() if valid is not None else 0
        line = self._bytes[start:].partition(b"\n")[0]
        return bytes(line[:_MAX_QUOTED_BYTES])


def is_interim(status: int) -> bool:
    """Return whether another answer to the same request follows."""
    return 100 <= status <= 199 and status != _SWITCHING_PROTOCOLS


def message_fault(message: aiohttp.RawResponseMessage) -> str | None:
    """Return why a parsed head is not an answer to a request; None if it is one."""
    status = message.code
    if not 100 <= status <= 599:
        return f"the status {status:03} is not valid"
    if status == _SWITCHING_PROTOCOLS:
        return f"the status is {status}, but no request asks for another protocol"
    return _framing_fault(message)


def _framing_fault(message: aiohttp.RawResponseMessage) -> str | None:
    """Return why the head does not tell where the body ends (RFC 9112, section 6).

    The parser reads a body with an unknown transfer coding until the connection ends,
    and takes the greatest length that it can count for none.
    """
    codings = message.headers.getall(hdrs.TRANSFER_ENCODING, ())
    length = message.headers.get(hdrs.CONTENT_LENGTH, "0")
    if codings:
        coding = ", ".join(codings)[:_MAX_QUOTED_BYTES]
        # No request asks for another coding.
        if coding.lower() != "chunked":
            return f"the transfer coding is {coding!r} instead of chunked"
        if message.version < HttpVersion11:
            return "the body is chunked, which HTTP/1.0 does not have"
    if len(length) > _MAX_LENGTH_DIGITS:
        return f"the content length has {len(length)} digits"
    if (codings or length.strip("0")) and _has_no_body(message.code):
        return f"an answer with status {message.code} has a body"
    return None


def _has_no_body(status: int) -> bool:
    # One with status 304 may have the length of the body that it leaves out.
    return status < 200 or status == 204
