"""HTTP listeners of the host."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

from aiohttp import web
from aiohttp.http_exceptions import BadHttpMessage, BadHttpMethod, HttpProcessingError

from .settings import split_address

_LISTEN_BACKLOG = 512
_NOT_HTTP = "the request is not valid HTTP"

Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]


class _Connection(web.RequestHandler):
    """A connection whose errors repeat nothing that the caller sent.

    An error of the parser quotes the line that it rejects, which may have a key.
    """

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Answer a request that failed, and log the error."""
        if isinstance(exc, HttpProcessingError):
            # The kind decides the level of the log line.
            kind = BadHttpMethod if isinstance(exc, BadHttpMethod) else BadHttpMessage
            exc, message = kind(_NOT_HTTP), _NOT_HTTP
        return super().handle_error(request, status, exc, message)


class _Server(web.Server):
    def __init__(self, handler: Handler, **options: Any) -> None:
        super().__init__(handler, handler_cancellation=True, **options)
        self._options = options

    def __call__(self) -> web.RequestHandler:
        loop = asyncio.get_running_loop()
        return _Connection(self, loop=loop, **self._options)


async def listen(
    address: str, handler: Handler, keepalive: float
) -> tuple[web.ServerRunner, web.TCPSite]:
    """Serve ``handler`` at ``address``.

    :param keepalive: how long an idle connection stays open, in seconds.
    """
    host, port = split_address(address)
    server = _Server(
        handler,
        keepalive_timeout=keepalive,
        access_log=None,
        lingering_time=1.0,
    )
    runner = web.ServerRunner(server)
    await runner.setup()
    site = web.TCPSite(runner, host, port, backlog=_LISTEN_BACKLOG, reuse_address=True)
    await site.start()
    return runner, site
