"""Servers whose connections share the limits of a process."""

from __future__ import annotations

import asyncio
from typing import Any

from aiohttp import web

from .client_limits import ClientLimits
from .request_protocol import RequestProtocol


class Server(web.Server):
    """Makes connections of one class; see aiohttp for the other options.

    :param protocol_class: :class:`RequestProtocol` or a class below it.
    :param limits: what the connections may hold; None: defaults for this server alone.
    :param essential: whether the platform or neighbours need the connections.
    """

    def __init__(
        self,
        handler: Any,
        protocol_class: type[RequestProtocol] = RequestProtocol,
        *,
        limits: ClientLimits | None = None,
        essential: bool = False,
        request_factory: Any = None,
        handler_cancellation: bool = False,
        **options: Any,
    ) -> None:
        super().__init__(
            _noting_end(handler),
            request_factory=request_factory,
            handler_cancellation=handler_cancellation,
            **options,
        )
        self._protocol_class = protocol_class
        self._options = options | {
            "limits": limits or ClientLimits(),
            "essential": essential,
        }

    def __call__(self) -> RequestProtocol:
        """Return a new connection."""
        loop = asyncio.get_running_loop()
        return self._protocol_class(self, loop=loop, **self._options)


def _noting_end(handler: Any) -> Any:
    """Return a handler that tells the connection when a request is done."""

    async def handle(request: web.BaseRequest) -> web.StreamResponse:
        protocol = request.protocol
        try:
            response = await handler(request)
        finally:
            must_close = protocol.request_done()
        if must_close:
            response.force_close()
        return response

    return handle


class AppRunner(web.AppRunner):
    """Serves an application over connections that are :class:`RequestProtocol`.

    :param limits: as for :class:`Server`.
    """

    def __init__(
        self,
        app: web.Application,
        *,
        limits: ClientLimits | None = None,
        **options: Any,
    ) -> None:
        super().__init__(app, **options)
        self._limits = limits

    async def _make_server(self) -> web.Server:
        # aiohttp has no public option for this; a test sends requests without end.
        server = await super()._make_server()
        return Server(
            server.request_handler,
            limits=self._limits,
            request_factory=server.request_factory,
            **self._kwargs,
        )
