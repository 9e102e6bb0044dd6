"""HTTP listeners of the host."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

from aiohttp import web

from .settings import split_address

_LISTEN_BACKLOG = 512

Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]


async def listen(
    address: str, handler: Handler, keepalive: float
) -> tuple[web.ServerRunner, web.TCPSite]:
    """Serve ``handler`` at ``address``.

    :param keepalive: how long an idle connection stays open, in seconds.
    """
    host, port = split_address(address)
    server = web.Server(
        handler,
        handler_cancellation=True,
        keepalive_timeout=keepalive,
        access_log=None,
        lingering_time=1.0,
    )
    runner = web.ServerRunner(server)
    await runner.setup()
    site = web.TCPSite(runner, host, port, backlog=_LISTEN_BACKLOG, reuse_address=True)
    await site.start()
    return runner, site
