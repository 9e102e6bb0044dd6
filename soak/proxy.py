"""A TCP proxy on loopback that delays, resets, cuts or silences connections."""

from __future__ import annotations

import asyncio
import contextlib
import enum

_CHUNK_BYTES = 65_536


class LinkState(enum.Enum):
    """What happens to bytes and connections. Up is from the connecting side."""

    PASS = "pass"
    DELAY = "delay"
    SILENT = "silent"
    CUT_UP = "cut_up"
    CUT_DOWN = "cut_down"
    RESET = "reset"


_HOLDS_UP = frozenset({LinkState.SILENT, LinkState.CUT_UP})
_HOLDS_DOWN = frozenset({LinkState.SILENT, LinkState.CUT_DOWN})


class Proxy:
    """Passes connections on to one address. Held bytes go on when the link heals."""

    def __init__(self, target: str) -> None:
        self.target = target
        self.address = ""
        self.delay = 0.0
        self._state = LinkState.PASS
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen on a free port of loopback."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"

    async def stop(self) -> None:
        """Close the listener and all connections."""
        if self._server is not None:
            self._server.close()
        self.reset()
        for task in list(self._tasks):
            task.cancel()
        if self._tasks:
            await asyncio.wait(self._tasks)

    @property
    def state(self) -> LinkState:
        """What happens to bytes now."""
        return self._state

    def turn(self, state: LinkState, delay: float = 0.0) -> None:
        """Change what happens from now on; ``delay`` is in seconds."""
        self._state = state
        self.delay = delay
        if state is LinkState.RESET:
            self.reset()
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    def reset(self) -> None:
        """Reset every open connection."""
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        self._writers.add(writer)
        try:
            await self._connect(reader, writer)
        except (OSError, asyncio.CancelledError):
            # A connection that breaks, or ends with the proxy, is what is wanted.
            writer.transport.abort()
        finally:
            self._tasks.discard(task)
            self._writers.discard(writer)

    async def _connect(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self._state is LinkState.RESET:
            writer.transport.abort()
            return
        await self._passable(_HOLDS_UP)
        host, _, port = self.target.rpartition(":")
        far_reader, far_writer = await asyncio.open_connection(host, int(port))
        self._writers.add(far_writer)
        try:
            await asyncio.gather(
                self._pump(reader, far_writer, _HOLDS_UP),
                self._pump(far_reader, writer, _HOLDS_DOWN),
            )
        finally:
            self._writers.discard(far_writer)
            far_writer.transport.abort()
            writer.transport.abort()

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        holds: frozenset[LinkState],
    ) -> None:
        while chunk := await reader.read(_CHUNK_BYTES):
            if self._state is LinkState.DELAY:
                await asyncio.sleep(self.delay)
            await self._passable(holds)
            writer.write(chunk)
            await writer.drain()
        await self._passable(holds)
        with contextlib.suppress(OSError):
            writer.write_eof()

    async def _passable(self, holds: frozenset[LinkState]) -> None:
        while self._state in holds:
            await self._changed.wait()
