"""The client side of HTTP connections: closed for answers that are not valid.

aiohttp's parser is lenient, and nothing bounds the number of heads. A target in trouble
may send anything, so an answer that is rejected here says nothing: the request may have
run, whatever the answer claims.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Hashable
from functools import partial
from typing import Any

import aiohttp
from aiohttp.client_proto import ResponseHandler
from aiohttp.http_exceptions import HttpProcessingError

from .answer_head import RawHeads, is_interim, message_fault
from .bounded_reads import BoundedReads, ReadSizes
from .exchanges import Exchange, current_exchange

# An answer may follow some interim responses (RFC 9110, section 15.2).
_MAX_HEADS = 16
# A head takes 25 bytes at least, and as a message twenty times as much memory.
_PARSED_AT_ONCE_BYTES = 65_536
_MIN_READ_BYTES = 16_384
# The parser quotes lines of up to 8 kB.
_MAX_REASON_CHARACTERS = 200
# The parser allows 128 fields of 8 kB.
_MAX_HEAD_BYTES = 1_100_000
# A connection that has carried this many requests is closed, so that what it remembers
# of them stays small.
_MAX_CARRIED = 512


class MalformedAnswerError(aiohttp.ClientError):
    """A peer sent an answer that is not valid HTTP; it may have run the request."""


class AnswerProtocol(ResponseHandler, ReadSizes):
    """A connection that is closed when the peer sends an answer that is not valid.

    It is also closed when an answer arrives while no request waits for one, as the next
    request on the connection would get it, when the answer is not that of the request,
    and when the peer sends too many heads for one request. Heads wait in a queue
    without a limit, and nobody takes them from it meanwhile: the event loop may read a
    socket that always has more bytes dozens of times in a row. Therefore the limit
    applies while the bytes are parsed.

    The reader of an answer gets a :class:`MalformedAnswerError`.
    """

    def __init__(self, *arguments: Any, **options: Any) -> None:
        super().__init__(*arguments, **options)
        self._head_count = 0
        self._awaits_head = False
        self._raw_heads = RawHeads()
        self._fault: str | None = None
        self._exchange: Exchange | None = None
        self._key_required = False
        self._carried: set[Hashable] = set()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """See :meth:`asyncio.Protocol.connection_made`."""
        super().connection_made(transport)
        # Transports of uvloop are not of the types of asyncio.
        transport.set_protocol(BoundedReads(self))  # type: ignore[attr-defined]

    def read_size(self) -> int:
        """See :meth:`ReadSizes.read_size`."""
        return min(max(_MIN_READ_BYTES, self._read_bufsize), _PARSED_AT_ONCE_BYTES)

    def suits(self, exchange: Exchange) -> bool:
        """Return whether no earlier answer can be taken for that of ``exchange``."""
        if exchange.key is None:
            previous = self._exchange
            if previous is None or previous.key is not None:
                return True
            return previous.read and exchange.read
        return exchange.key not in self._carried

    def set_response_params(self, **options: Any) -> None:
        """See aiohttp; called when a request takes the connection."""
        previous, self._exchange = self._exchange, current_exchange()
        # A second copy of the answer before would have no key.
        self._key_required = previous is not None and previous.key is None
        if self._exchange is not None and self._exchange.key is not None:
            self._carried.add(self._exchange.key)
            if len(self._carried) >= _MAX_CARRIED:
                self.force_close()
        self._head_count = 0
        self._awaits_head = True
        self._raw_heads.clear()
        super().set_response_params(**options)

    def feed_data(self, data: Any, size: int = 0) -> None:
        """Add a head, with its body to come, to the queue unless it is at fault."""
        if self._fault is not None:
            return
        self._head_count += 1
        message, _ = data
        self._fault = self._find_fault(message)
        if self._fault is None:
            super().feed_data(data, size)

    def _find_fault(self, message: aiohttp.RawResponseMessage) -> str | None:
        if self._head_count > _MAX_HEADS:
            return f"more than {_MAX_HEADS} heads for one request"
        if not self._awaits_head:
            return "no request waits for the answer"
        fault = self._raw_heads.take() or message_fault(message)
        if not is_interim(message.code):
            if fault is None and self._exchange is not None:
                fault = self._exchange.find_fault(message.headers, self._key_required)
            # What follows is the body.
            self._awaits_head = False
            self._raw_heads.clear()
        return fault

    def data_received(self, data: bytes) -> None:
        """See :meth:`asyncio.Protocol.data_received`."""
        if len(data) <= _PARSED_AT_ONCE_BYTES:
            self._parse(data)
            return
        for start in range(0, len(data), _PARSED_AT_ONCE_BYTES):
            self._parse(data[start : start + _PARSED_AT_ONCE_BYTES])

    def _parse(self, data: bytes) -> None:
        if self._fault is not None:
            return
        if self._awaits_head:
            self._raw_heads.add(data)
        super().data_received(data)
        if self._fault is None and len(self._raw_heads) > _MAX_HEAD_BYTES:
            self._fault = f"the head is longer than {_MAX_HEAD_BYTES} bytes"
        if self._fault is not None:
            self._give_up(self._fault)

    def _give_up(self, fault: str) -> None:
        """Close the connection; the heads that are queued can still be read."""
        if self.transport is not None:
            self.transport.abort()
        if not self.is_eof():
            self.set_exception(MalformedAnswerError(fault))

    def set_exception(self, exc: BaseException, *causes: BaseException) -> None:
        """Let the reader of the answer fail; an error of the parser becomes typed.

        aiohttp would add the headers of the request to it, which may have secrets.
        """
        if isinstance(exc, HttpProcessingError):
            # The parser marks the position of the error on a line of its own.
            reason = " ".join(exc.message.split()).rstrip(" ^")
            exc = MalformedAnswerError(reason[:_MAX_REASON_CHARACTERS])
            if self._payload is not None and not self._payload.is_eof():
                # aiohttp would let the reader of the body wait for its deadline.
                self._payload.set_exception(exc)
        super().set_exception(exc, *causes)


class Connector(aiohttp.TCPConnector):
    """A connector whose connections are :class:`AnswerProtocol`.

    An idle connection is used again only if it has not carried a request whose answers
    could be taken for those of the new one.
    """

    def __init__(self, **options: Any) -> None:
        super().__init__(**options)
        # aiohttp has no public option for this; a test sends heads without end.
        self._factory = partial(AnswerProtocol, loop=self._loop)

    async def _get(self, key: Any, traces: list[Any]) -> Any:
        # aiohttp has no public option for this; a test counts the connections.
        exchange = current_exchange()
        idle = self._conns.get(key, ())
        unsuitable = [
            entry
            for entry in idle
            if exchange is not None and not entry[0].suits(exchange)
        ]
        if not unsuitable:
            return await super()._get(key, traces)
        if len(unsuitable) == len(idle):
            return None
        self._conns[key] = deque(entry for entry in idle if entry not in unsuitable)
        try:
            # Does not suspend, as the sessions trace nothing.
            return await super()._get(key, traces)
        finally:
            self._conns[key] = deque([*unsuitable, *self._conns.get(key, ())])
