"""The server side of HTTP connections, with limits that aiohttp does not have."""

from __future__ import annotations

import asyncio
from typing import Any

from aiohttp import web
from aiohttp.http import RawRequestMessage

# Closing a connection that has unread bytes may reset it before the caller has read the
# answer, so the rest of a request that is not valid is read, up to this limit.
_MAX_DISCARDED_BYTES = 1_048_576


class RequestProtocol(web.RequestHandler):
    """A connection that parses nothing after a request that is not valid.

    aiohttp goes on parsing until that request is answered, and queues an error for each
    read, which quotes what was read. The event loop may read a socket that always has
    more bytes dozens of times in a row. Therefore the limit applies while the bytes are
    parsed.
    """

    def __init__(self, *arguments: Any, **options: Any) -> None:
        super().__init__(*arguments, **options)
        self._invalid = False
        self._discarded_bytes = 0

    def data_received(self, data: bytes) -> None:
        """See :meth:`asyncio.Protocol.data_received`."""
        if self._invalid:
            self._discarded_bytes += len(data)
            if self._discarded_bytes > _MAX_DISCARDED_BYTES:
                self.pause_reading()
            return
        super().data_received(data)
        if self._messages:
            newest, _ = self._messages[-1]
            self._invalid = not isinstance(newest, RawRequestMessage)


class Server(web.Server):
    """Makes connections of one class; see aiohttp for the other options.

    :param protocol_class: :class:`RequestProtocol` or a class below it.
    """

    def __init__(
        self,
        handler: Any,
        protocol_class: type[RequestProtocol] = RequestProtocol,
        *,
        request_factory: Any = None,
        handler_cancellation: bool = False,
        **options: Any,
    ) -> None:
        super().__init__(
            handler,
            request_factory=request_factory,
            handler_cancellation=handler_cancellation,
            **options,
        )
        self._protocol_class = protocol_class
        self._options = options

    def __call__(self) -> RequestProtocol:
        """Return a new connection."""
        loop = asyncio.get_running_loop()
        return self._protocol_class(self, loop=loop, **self._options)


class AppRunner(web.AppRunner):
    """Serves an application over connections that are :class:`RequestProtocol`."""

    async def _make_server(self) -> web.Server:
        # aiohttp has no public option for this; a test sends requests without end.
        server = await super()._make_server()
        return Server(
            server.request_handler,
            request_factory=server.request_factory,
            **self._kwargs,
        )
