"""The server side of HTTP connections, with limits that aiohttp does not have."""

from __future__ import annotations

import asyncio
from typing import Any

from aiohttp import web
from aiohttp.http import RawRequestMessage
from aiohttp.http_exceptions import HttpProcessingError
from aiohttp.streams import EmptyStreamReader, StreamReader
from aiohttp.web_protocol import _ErrInfo

from . import clock
from .bounded_reads import BoundedReads, ReadSizes
from .buffer_budget import BufferPath, Hold
from .client_limits import ClientLimits
from .last_answer import HeadTooLongError, LastAnswer
from .open_connections import OpenConnection
from .unsent_bytes import abort_unsent

# The rest of a request that is not valid is read, up to this limit.
_MAX_DISCARDED_BYTES = 1_048_576
_HEAD_READ_BYTES = 16_384
_BODY_READ_BYTES = 65_536
# While memory is short, connections are read in small pieces.
_SHORT_READ_BYTES = 2_048
# What a line of a head takes as the objects of aiohttp and of a call that is passed on,
# beside a few copies of its text.
_LINE_BYTES = 600
_TEXT_COPIES = 3
# A call whose head takes no more is answered with a refusal where there is no room.
_REFUSED_HEAD_BYTES = 16_384
# The parser bounds each line and their number, but not the head as a whole.
_PARSER_LIMIT = 2**31
# The rest of a head may have arrived while the event loop stood still.
_HEAD_GRACE_SECONDS = 0.2
_END_OF_HEAD = b"\r\n\r\n"


class RequestProtocol(web.RequestHandler, ReadSizes, OpenConnection):
    """A connection whose requests are counted from their first byte.

    The head of a request is bounded in size and in time, whatever it consists of: empty
    lines before it, many small fields, a long path. Where it is too long the caller
    gets 431. Where the process has no room for it, a small call is answered with a
    refusal, and other connections are closed, as nothing was sent on.

    After a request that is not valid nothing is parsed. aiohttp would go on parsing
    until that request is answered, and queue an error for each read, which quotes what
    was read. The event loop may read a socket that always has more bytes dozens of
    times in a row. Therefore all limits apply before bytes are parsed.

    :param limits: what the connections of the process may hold together.
    :param essential: see :class:`OpenConnection`.
    """

    #: Whether handlers refuse bodies for which there is no room. Otherwise their
    #: connections are closed.
    refuses_bodies = False

    def __init__(
        self,
        *arguments: Any,
        limits: ClientLimits,
        essential: bool = False,
        **options: Any,
    ) -> None:
        super().__init__(
            *arguments,
            max_line_size=_PARSER_LIMIT,
            max_field_size=_PARSER_LIMIT,
            max_headers=_PARSER_LIMIT,
            # A body is passed on as its caller encoded it.
            auto_decompress=False,
            **options,
        )
        self.limits = limits
        self.essential = essential
        self._invalid = False
        self._discarded_bytes = 0
        self._max_discarded_bytes = _MAX_DISCARDED_BYTES
        self._hold: Hold | None = None
        # What arrived while the queue of requests was full.
        self._unparsed = b""
        self._noted_count = 0
        self._head_bytes = 0
        # The newest bytes of an incomplete head, which may be a part of its end.
        self._head_tail = b""
        self._head_timer: asyncio.TimerHandle | None = None
        # The body of the newest request; its length, unless it is sent in chunks.
        self._body: StreamReader | EmptyStreamReader | None = None
        self._body_length: int | None = None
        self._body_bytes = 0
        # Bytes since the body last grew: sizes of chunks, trailers.
        self._framing_bytes = 0
        self._lines_cost = 0
        self.body_hold: Hold | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """See :meth:`asyncio.Protocol.connection_made`."""
        super().connection_made(transport)
        # Transports of uvloop are not of the types of asyncio.
        transport.set_protocol(BoundedReads(self))  # type: ignore[attr-defined]
        if not self.limits.connections.add(self):
            self._close_for("connections")

    def connection_lost(self, exc: BaseException | None) -> None:
        """See :meth:`asyncio.Protocol.connection_lost`."""
        self._cancel_head_timer()
        self.limits.connections.remove(self)
        for hold in (self._hold, self.body_hold):
            if hold is not None:
                self.limits.release(hold)
        super().connection_lost(exc)

    def read_size(self) -> int:
        """See :meth:`ReadSizes.read_size`."""
        if self._invalid:
            return _BODY_READ_BYTES
        body = self._body
        in_body = body is not None and not body.is_eof()
        # What follows a body in chunks may be a head, which is parsed with it.
        long = in_body and self._body_length is not None
        size = _BODY_READ_BYTES if long else _HEAD_READ_BYTES
        hold = self.body_hold if in_body else self._hold
        return size if self.limits.budget.fits(size, hold) else _SHORT_READ_BYTES

    def data_received(self, data: bytes) -> None:
        """See :meth:`asyncio.Protocol.data_received`."""
        if self._invalid:
            self._discard(len(data))
            return
        if not data:
            # Reading goes on, and the parser has kept what it did not parse.
            super().data_received(data)
            self._note_new_requests()
        data, self._unparsed = self._unparsed + data, b""
        while data and not self._invalid and not self._force_close:
            if len(self._messages) >= self._max_msg_queue_size:
                self._unparsed = data
                return
            if self._body is None or self._body.is_eof():
                data = self._receive_head(data)
                continue
            rest = self._receive_body(data, self._body)
            if len(rest) == len(data):
                # The parser is paused before the end of the body.
                self._unparsed = rest
                return
            data = rest

    def _receive_head(self, data: bytes) -> bytes:
        """Parse a part of a head; return the bytes that are not a part of it."""
        if not self._head_tail:
            # Empty lines before a head mean nothing (RFC 9112, section 2.2). If they
            # were parsed, each pair of them would look like the end of a head.
            lines = data.lstrip(b"\r\n")
            self._head_bytes += len(data) - len(lines)
            data = lines
        end = (self._head_tail + data).find(_END_OF_HEAD)
        if end >= 0:
            end += len(_END_OF_HEAD) - len(self._head_tail)
            data, rest = data[:end], data[end:]
        else:
            rest = b""
        if self._head_bytes + len(data) > self.limits.head_bytes:
            self._reject(f"the head exceeds {self.limits.head_bytes} bytes")
            return b""
        if not data:
            return b""
        cost = _TEXT_COPIES * len(data) + _LINE_BYTES * data.count(b"\n")
        refusable = end >= 0 and cost <= _REFUSED_HEAD_BYTES
        if not self.limits.make_room(cost, self._hold) and not refusable:
            self._close_for("head")
            return b""
        self._count(cost)
        self._head_bytes += len(data)
        self._head_tail = (self._head_tail + data)[1 - len(_END_OF_HEAD) :]
        super().data_received(data)
        self._note_new_requests()
        if self._head_bytes and self._head_timer is None and data.strip(b"\r\n"):
            self._start_head_timer()
        return rest

    def _receive_body(self, data: bytes, body: StreamReader) -> bytes:
        """Parse a part of a body; return the bytes that are not a part of it."""
        rest = b""
        if self._body_length is not None:
            left = self._body_length - self._body_bytes
            data, rest = data[:left], data[left:]
        elif not self._count_lines(data):
            return b""
        self._body_bytes += len(data)
        if not self._count_body(len(data)):
            self._close_for("body")
            return b""
        before = body.total_bytes
        super().data_received(data)
        self._note_new_requests()
        if body.total_bytes != before:
            self._framing_bytes = 0
            self._uncount_lines()
            return rest
        self._framing_bytes += len(data)
        if self._framing_bytes > self.limits.head_bytes and not body.is_eof():
            self._close_for("framing")
        return rest

    def _count_body(self, size: int) -> bool:
        """Count ``size`` more bytes of a body; return whether they may be held."""
        hold = self.body_hold
        if hold is None:
            path = BufferPath.REQUEST_BODY
            hold = self.body_hold = self.limits.hold(path, 0, self)
        hold.progress_at = clock.now()
        fits = self.limits.make_room(size, hold)
        self.limits.budget.resize(hold, hold.size + size)
        return fits or self.refuses_bodies

    @property
    def discarded_bytes(self) -> int | None:
        """How much has been discarded; None if no more will be."""
        if self._discarded_bytes >= self._max_discarded_bytes:
            return None
        return self._discarded_bytes

    def release_body(self) -> bool:
        """Count the body of the newest request no longer, as it is not needed.

        Return whether it is incomplete. Its rest is then discarded, and the connection
        must be closed after the answer.
        """
        if self._messages:
            # It is that of a request that waits for this one.
            return False
        if self.body_hold is not None:
            self.limits.release(self.body_hold)
            self.body_hold = None
        if self._body is None or self._body.is_eof():
            return False
        self._invalid = True
        if self._body_length is not None:
            self._max_discarded_bytes = self._body_length - self._body_bytes
        return True

    def _discard(self, size: int) -> None:
        self._discarded_bytes += size
        if self._discarded_bytes < self._max_discarded_bytes:
            return
        self._pause_transport_reading()
        if self._body is not None and not self._body.is_eof():
            # Ends the time that aiohttp waits for the rest of the body.
            self._body.feed_eof()

    def _count_lines(self, data: bytes) -> bool:
        """Count what the lines of a body in chunks take, if they are trailers.

        Return whether there is room for them; otherwise the connection is closed.
        """
        cost = _LINE_BYTES * data.count(b"\n")
        if not self.limits.make_room(cost, self._hold):
            self._close_for("framing")
            return False
        self._count(cost)
        self._lines_cost += cost
        return True

    def _uncount_lines(self) -> None:
        """Count lines no longer, as they were the framing of a part of the body."""
        if self._hold is not None and self._lines_cost:
            size = max(0, self._hold.size - self._lines_cost)
            self.limits.budget.resize(self._hold, size)
        self._lines_cost = 0

    def _note_new_requests(self) -> None:
        """Look at the newest request, if any was just parsed."""
        if self._request_count == self._noted_count:
            return
        self._noted_count = self._request_count
        self._cancel_head_timer()
        newest, self._body = self._messages[-1]
        if not isinstance(newest, RawRequestMessage):
            self._invalid = True
            return
        length = newest.headers.get("Content-Length")
        self._body_length = int(length) if length is not None else None
        self._body_bytes = self._framing_bytes = self._lines_cost = 0
        self._head_bytes = 0
        self._head_tail = b""
        if self._hold is not None:
            self._hold.path = BufferPath.CALL

    def _reject(self, reason: str) -> None:
        """Let the caller get 431, and parse nothing more."""
        self._invalid = True
        self._cancel_head_timer()
        error = HeadTooLongError(message=reason)
        fault = _ErrInfo(status=error.code, exc=error, message=reason)
        self._messages.append((fault, EmptyStreamReader()))
        if self._waits():
            self._waiter.set_result(None)

    def _count(self, size: int) -> None:
        """Count ``size`` more bytes that are held for this connection."""
        if self._hold is None:
            self._hold = self.limits.hold(BufferPath.HEAD, size, self)
        else:
            self.limits.budget.resize(self._hold, self._hold.size + size)

    def request_done(self) -> bool:
        """Count no longer what a request took that was answered.

        Return whether the connection must be closed; see :meth:`release_body`.
        """
        must_close = self.release_body()
        self._release_heads()
        self.limits.connections.note_request(self)
        return must_close

    def waits_for_request(self) -> bool:
        """See :meth:`OpenConnection.waits_for_request`."""
        return self._waits() and not self._head_bytes

    def waits_for_head(self) -> bool:
        """See :meth:`OpenConnection.waits_for_head`."""
        return self._waits() and self._head_bytes > 0

    def _waits(self) -> bool:
        """Return whether no request is in progress."""
        return self._waiter is not None and not self._waiter.done()

    def _release_heads(self) -> None:
        if self._hold is None:
            return
        queued = len(self._messages) + (1 if self._head_bytes else 0)
        if queued:
            # What each of them takes is not known.
            size = self._hold.size * queued // (queued + 1)
            self.limits.budget.resize(self._hold, size)
            return
        self.limits.release(self._hold)
        self._hold = None

    def _start_head_timer(self) -> None:
        self._head_timer = self._loop.call_later(
            self.limits.head_seconds, self._check_head
        )

    def _check_head(self) -> None:
        """Close the connection unless the rest of the head has arrived meanwhile."""
        if not self._waits():
            # The request before is in progress, and reading may be paused.
            self._start_head_timer()
            return
        self._head_timer = self._loop.call_later(
            _HEAD_GRACE_SECONDS, self._close_for, "head timeout"
        )

    def _cancel_head_timer(self) -> None:
        if self._head_timer is not None:
            self._head_timer.cancel()
            self._head_timer = None

    def _close_for(self, cause: str) -> None:
        self.limits.record_closed(cause, self.peer)
        self.abort()

    @property
    def peer(self) -> str:
        """Address and port of the client."""
        host, port, *_ = self.peername or ("unknown", 0)
        return f"{host}:{port}"

    def abort(self) -> None:
        """Close the connection without sending what is unsent.

        The kernel drops its part as well, which may be some megabytes.
        """
        if self.transport is not None:
            abort_unsent(self.transport)

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Answer a request that failed, and log an error of the process.

        What a caller sent is no such error. The answer repeats nothing of it, as the
        parser quotes the line that it rejects, which may have a key.
        """
        if not isinstance(exc, HttpProcessingError):
            return super().handle_error(request, status, exc, message)
        cause = "too long" if isinstance(exc, HeadTooLongError) else "not HTTP"
        self.limits.record_closed(cause, self.peer)
        return LastAnswer.to(exc, status)
