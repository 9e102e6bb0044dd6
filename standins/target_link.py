"""The network path between one host and a target, which can be cut."""

from __future__ import annotations

import asyncio
import contextlib
import enum
import socket

_CHUNK_BYTES = 65_536
# More connections than a listener with the smallest backlog accepts.
_FILLING_CONNECTIONS = 6


class Cut(enum.Enum):
    """How a cut shows.

    ``HANG``: all connections, open and new, hang. ``REFUSE``: open ones are reset and
    new ones refused. ``REFUSE_NEW``: open ones live on.
    """

    HANG = "hang"
    REFUSE = "refuse"
    REFUSE_NEW = "refuse new"


class TargetLink:
    """Forwards connections to one address until it is cut."""

    def __init__(self, target: str) -> None:
        self.target = target
        self._port = 0
        self._server: asyncio.Server | None = None
        self._blocker: list[socket.socket] = []
        self._flowing = asyncio.Event()
        self._flowing.set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._writers: set[asyncio.StreamWriter] = set()

    @property
    def address(self) -> str:
        """The address at which the host reaches the target."""
        return f"127.0.0.1:{self._port}"

    async def start(self) -> None:
        """Listen on a loopback port."""
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", self._port, reuse_address=True
        )
        self._port = self._server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Close the listener and all connections."""
        self._stop_listening()
        self._unblock()
        for task in list(self._tasks):
            task.cancel()
        if self._tasks:
            await asyncio.wait(self._tasks)

    def cut(self, how: Cut) -> None:
        """Cut the path."""
        self._stop_listening()
        if how is Cut.HANG:
            self._flowing.clear()
            self._block()
        elif how is Cut.REFUSE:
            for writer in list(self._writers):
                writer.transport.abort()

    async def heal(self) -> None:
        """Forward connections again; what was held up arrives."""
        self._unblock()
        self._flowing.set()
        if self._server is None:
            await self.start()

    def _stop_listening(self) -> None:
        if self._server is not None:
            self._server.close()
            self._server = None

    def _block(self) -> None:
        """Let new connections hang.

        A listener whose queue is full drops the packets that open connections.
        """
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind(("127.0.0.1", self._port))
        listener.listen(0)
        self._blocker = [listener]
        for _ in range(_FILLING_CONNECTIONS):
            filler = socket.socket()
            filler.setblocking(False)
            with contextlib.suppress(BlockingIOError):
                filler.connect(("127.0.0.1", self._port))
            self._blocker.append(filler)

    def _unblock(self) -> None:
        for each in reversed(self._blocker):
            each.close()
        self._blocker = []

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        host, _, port = self.target.rpartition(":")
        upstream: asyncio.StreamWriter | None = None
        copies: list[asyncio.Task[None]] = []
        try:
            upstream_reader, upstream = await asyncio.open_connection(host, int(port))
            self._writers |= {writer, upstream}
            copies = [
                asyncio.create_task(self._copy(reader, upstream)),
                asyncio.create_task(self._copy(upstream_reader, writer)),
            ]
            await asyncio.wait(copies, return_when=asyncio.FIRST_COMPLETED)
        except (OSError, asyncio.CancelledError):
            # Expected: the target refused the connection, or the link is stopping.
            pass
        finally:
            for copy in copies:
                copy.cancel()
            for each in (writer, upstream):
                if each is not None:
                    each.transport.abort()
                    self._writers.discard(each)
            self._tasks.discard(task)

    async def _copy(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(OSError):
            while chunk := await reader.read(_CHUNK_BYTES):
                await self._flowing.wait()
                writer.write(chunk)
                await writer.drain()
