"""Stand-in for a caller that reads its answer slowly, or not at all."""

from __future__ import annotations

import asyncio
import socket

_RECEIVE_BUFFER_BYTES = 65_536


class SlowCaller:
    """One connection that reads only when told to; the kernel holds little of it.

    :param address: IP and port of the host.
    """

    def __init__(self, address: str) -> None:
        self._host, _, port = address.rpartition(":")
        self._port = int(port)
        self._socket = socket.socket()
        self._socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, _RECEIVE_BUFFER_BYTES
        )
        self._socket.setblocking(False)
        self._loop = asyncio.get_running_loop()

    async def connect(self) -> None:
        """Open the connection."""
        await self._loop.sock_connect(self._socket, (self._host, self._port))

    async def send(self, data: bytes) -> None:
        """Send raw bytes."""
        await self._loop.sock_sendall(self._socket, data)

    async def request(
        self, path: str, headers: dict[str, str], body: bytes = b""
    ) -> None:
        """Connect and send a whole request."""
        await self.connect()
        lines = [f"POST {path} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        lines += [f"Content-Length: {len(body)}", "", ""]
        await self.send("\r\n".join(lines).encode() + body)

    async def read(self, size: int, rate: float = float("inf")) -> bytes:
        """Return up to ``size`` bytes, read at ``rate`` bytes a second.

        :raises ConnectionError: the connection was reset.
        """
        data = bytearray()
        piece = int(min(65_536, max(1, rate / 10)))
        while len(data) < size:
            received = await self._loop.sock_recv(
                self._socket, min(piece, size - len(data))
            )
            if not received:
                break
            data += received
            await asyncio.sleep(len(received) / rate)
        return bytes(data)

    async def read_until(self, end: bytes) -> bytes:
        """Return the bytes that arrive until they end with ``end``."""
        data = b""
        while not data.endswith(end):
            received = await self._loop.sock_recv(self._socket, 65_536)
            if not received:
                break
            data += received
        return data

    def close(self) -> None:
        """Close the connection."""
        self._socket.close()
