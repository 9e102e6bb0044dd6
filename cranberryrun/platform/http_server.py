"""HTTP listeners of the host."""

from __future__ import annotations

import asyncio
import contextlib
import fcntl
import socket
import struct
import termios
from collections.abc import Awaitable, Callable
from typing import Any, cast

from aiohttp import web

from ..client_limits import ClientLimits
from ..request_protocol import RequestProtocol
from ..request_server import Server
from .settings import split_address

_LISTEN_BACKLOG = 512
# Reading a body stops at twice this size until its handler reads it. The default of
# aiohttp would let 200 connections hold 100 MB.
_READ_BUFFER_BYTES = 65_536
# How often in its time limit an unread connection is looked at.
_STALL_CHECKS = 4
# How many unsent bytes the kernel takes for a connection, beside those on their way. By
# default it takes 3 MB, which a host with 200 slow callers does not have.
_KERNEL_UNSENT_BYTES = 65_536
_INT = struct.Struct("i")

Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]


class Connection(RequestProtocol):
    """A connection that is closed if its caller does not read for too long.

    The handler of a request sets the time. Writing pauses as soon as the kernel takes
    no more bytes, so that the unsent rest is known.

    ``on_stall`` is called before a connection is closed because it is not read, with
    the time in seconds and the number of unsent bytes.
    """

    refuses_bodies = True

    def __init__(self, *arguments: Any, **options: Any) -> None:
        super().__init__(*arguments, **options)
        self.on_stall: Callable[[float, int], None] | None = None
        self._stall_timer: asyncio.TimerHandle | None = None
        self._stall_seconds: float | None = None
        self._progress_at = 0.0
        self._unsent = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """See :meth:`asyncio.Protocol.connection_made`."""
        # Transports of uvloop are not of the types of asyncio.
        transport = cast(asyncio.Transport, transport)
        transport.set_write_buffer_limits(high=0)
        connection = transport.get_extra_info("socket")
        # The caller may have closed the connection already.
        with contextlib.suppress(OSError):
            connection.setsockopt(
                socket.IPPROTO_TCP, socket.TCP_NOTSENT_LOWAT, _KERNEL_UNSENT_BYTES
            )
        super().connection_made(transport)

    def connection_lost(self, exc: BaseException | None) -> None:
        """See :meth:`asyncio.Protocol.connection_lost`."""
        self._cancel_stall_timer()
        super().connection_lost(exc)

    def pause_writing(self) -> None:
        """See :meth:`asyncio.Protocol.pause_writing`."""
        super().pause_writing()
        self._watch_stall()

    def resume_writing(self) -> None:
        """See :meth:`asyncio.Protocol.resume_writing`."""
        super().resume_writing()
        self._cancel_stall_timer()

    def limit_stall(self, seconds: float | None) -> None:
        """Close the connection when it is not read for ``seconds``; None: never."""
        self._stall_seconds = seconds
        self._cancel_stall_timer()
        if self.writing_paused:
            self._watch_stall()

    def _watch_stall(self) -> None:
        if self._stall_seconds is None or self.transport is None:
            return
        self._progress_at = self._loop.time()
        self._unsent = self._unsent_bytes(self.transport)
        self._plan_stall_check(self._stall_seconds)

    def _plan_stall_check(self, stall_seconds: float) -> None:
        self._stall_timer = self._loop.call_later(
            stall_seconds / _STALL_CHECKS, self._check_stall
        )

    def _check_stall(self) -> None:
        if self._stall_seconds is None or self.transport is None:
            return
        now = self._loop.time()
        unsent = self._unsent_bytes(self.transport)
        if unsent != self._unsent:
            self._unsent = unsent
            self._progress_at = now
        seconds = now - self._progress_at
        if seconds < self._stall_seconds:
            self._plan_stall_check(self._stall_seconds)
            return
        if self.on_stall is not None:
            self.on_stall(seconds, unsent)
        self.abort()

    def _unsent_bytes(self, transport: asyncio.Transport) -> int:
        """Return the bytes that the caller's kernel does not have yet.

        The buffer of the transport alone changes in steps of 32 KB, for which a caller
        that reads 10 KB/s needs longer than some time limits.
        """
        connection = transport.get_extra_info("socket")
        unsent = transport.get_write_buffer_size()
        try:
            answer = fcntl.ioctl(
                connection.fileno(), termios.TIOCOUTQ, bytes(_INT.size)
            )
        except OSError:
            # Not every kernel tells; the socket may also be closed already.
            return unsent
        return unsent + _INT.unpack(answer)[0]

    def _cancel_stall_timer(self) -> None:
        if self._stall_timer is not None:
            self._stall_timer.cancel()
            self._stall_timer = None


async def listen(
    address: str,
    handler: Handler,
    keepalive: float,
    limits: ClientLimits | None = None,
    *,
    essential: bool = False,
) -> tuple[web.ServerRunner, web.TCPSite]:
    """Serve ``handler`` at ``address``.

    :param keepalive: how long an idle connection stays open, in seconds.
    :param limits: what the connections may hold; None: defaults for this address alone.
    :param essential: whether the platform or neighbours need the connections.
    """
    host, port = split_address(address)
    server = Server(
        handler,
        Connection,
        limits=limits,
        essential=essential,
        handler_cancellation=True,
        keepalive_timeout=keepalive,
        access_log=None,
        lingering_time=1.0,
        read_bufsize=_READ_BUFFER_BYTES,
    )
    runner = web.ServerRunner(server)
    await runner.setup()
    site = web.TCPSite(runner, host, port, backlog=_LISTEN_BACKLOG, reuse_address=True)
    await site.start()
    return runner, site
