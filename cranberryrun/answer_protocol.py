"""The client side of HTTP connections, with limits that aiohttp does not have."""

from __future__ import annotations

from functools import partial
from typing import Any

import aiohttp
from aiohttp.client_proto import ResponseHandler
from aiohttp.http_exceptions import BadHttpMessage

# An answer may follow some interim responses (RFC 9110, section 15.2).
_MAX_HEADS = 16
# A head takes 25 bytes at least, and as a message twenty times as much memory.
_PARSED_AT_ONCE_BYTES = 65_536


class AnswerProtocol(ResponseHandler):
    """A connection that is closed when the peer sends too many heads for one request.

    Heads wait in a queue without a limit, and nobody takes them from it meanwhile: the
    event loop may read a socket that always has more bytes dozens of times in a row.
    Therefore the limit applies while the bytes are parsed.
    """

    def __init__(self, *arguments: Any, **options: Any) -> None:
        super().__init__(*arguments, **options)
        self._head_count = 0

    def set_response_params(self, **options: Any) -> None:
        """See aiohttp; called when a request takes the connection."""
        self._head_count = 0
        super().set_response_params(**options)

    def feed_data(self, data: Any, size: int = 0) -> None:
        """Add a head, with its body to come, to the queue."""
        self._head_count += 1
        super().feed_data(data, size)

    def data_received(self, data: bytes) -> None:
        """See :meth:`asyncio.Protocol.data_received`."""
        if len(data) <= _PARSED_AT_ONCE_BYTES:
            super().data_received(data)
            if self._head_count > _MAX_HEADS:
                self._give_up()
            return
        for start in range(0, len(data), _PARSED_AT_ONCE_BYTES):
            super().data_received(data[start : start + _PARSED_AT_ONCE_BYTES])
            if self._head_count > _MAX_HEADS:
                self._give_up()
                return

    def _give_up(self) -> None:
        """Close the connection; the heads that are queued can still be read."""
        if self.transport is not None:
            self.transport.abort()
        if not self.is_eof():
            self.set_exception(
                BadHttpMessage(f"more than {_MAX_HEADS} heads for one request")
            )


class Connector(aiohttp.TCPConnector):
    """A connector whose connections are :class:`AnswerProtocol`."""

    def __init__(self, **options: Any) -> None:
        super().__init__(**options)
        # aiohttp has no public option for this; a test sends heads without end.
        self._factory = partial(AnswerProtocol, loop=self._loop)
