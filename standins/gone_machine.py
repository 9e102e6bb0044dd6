"""Stand-in for a machine that is gone: connects to its address get no answer."""

from __future__ import annotations

import socket


class GoneMachine:
    """An address at which connects hang.

    The queue of its listener is full, so the kernel drops further connects.

    :param port: the port on loopback that nothing uses any more; 0 takes a free one.
    """

    def __init__(self, port: int = 0) -> None:
        self._sockets = [socket.create_server(("127.0.0.1", port), backlog=0)]
        host, port = self._sockets[0].getsockname()
        self.address = f"{host}:{port}"
        for _ in range(3):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex((host, port))
            self._sockets.append(filler)

    def close(self) -> None:
        """Free the address."""
        for each in self._sockets:
            each.close()
