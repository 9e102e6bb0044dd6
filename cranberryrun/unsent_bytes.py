"""Drops what a connection has not sent yet."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct

_NO_LINGER = struct.pack("ii", 1, 0)


def abort_unsent(transport: asyncio.Transport) -> None:
    """Close a connection; the kernel drops its part of what is unsent as well."""
    connection = transport.get_extra_info("socket")
    if connection is not None:
        # The caller may have closed the connection already.
        with contextlib.suppress(OSError):
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _NO_LINGER)
    transport.abort()
