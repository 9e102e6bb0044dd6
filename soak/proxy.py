"""TCP proxy on loopback that delays, blocks or resets connections."""

from __future__ import annotations

import asyncio
import contextlib
import enum

_CHUNK_BYTES = 65_536


class LinkState(enum.Enum):
    """How the proxy treats the bytes of its connections.

    ``SILENT`` blocks both directions, ``CUT_UP`` the bytes from the connecting side
    and ``CUT_DOWN`` the bytes to it. ``RESET`` resets open and new connections.
    """

    PASS = "pass"
    DELAY = "delay"
    SILENT = "silent"
    CUT_UP = "cut_up"
    CUT_DOWN = "cut_down"
    RESET = "reset"


_BLOCKS_UPSTREAM = frozenset({LinkState.SILENT, LinkState.CUT_UP})
_BLOCKS_DOWNSTREAM = frozenset({LinkState.SILENT, LinkState.CUT_DOWN})


class Proxy:
    """Forwards connections to one address; blocked bytes are sent after recovery."""

    def __init__(self, target: str) -> None:
        self.target = target
        self.address = ""
        self.delay = 0.0
        self._state = LinkState.PASS
        self._state_changed = asyncio.Event()
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen on a free loopback port."""
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
        """How bytes are treated now."""
        return self._state

    def set_state(self, state: LinkState, delay: float = 0.0) -> None:
        """Set the link state; ``delay`` (seconds) applies to ``DELAY``."""
        self._state = state
        self.delay = delay
        if state is LinkState.RESET:
            self.reset()
        state_changed, self._state_changed = self._state_changed, asyncio.Event()
        state_changed.set()

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
            await self._forward(reader, writer)
        except (OSError, asyncio.CancelledError):
            # Expected: a fault broke the connection or the proxy is stopping.
            writer.transport.abort()
        finally:
            self._tasks.discard(task)
            self._writers.discard(writer)

    async def _forward(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self._state is LinkState.RESET:
            writer.transport.abort()
            return
        await self._wait_while_blocked(_BLOCKS_UPSTREAM)
        host, _, port = self.target.rpartition(":")
        upstream_reader, upstream_writer = await asyncio.open_connection(
            host, int(port)
        )
        self._writers.add(upstream_writer)
        try:
            await asyncio.gather(
                self._copy(reader, upstream_writer, _BLOCKS_UPSTREAM),
                self._copy(upstream_reader, writer, _BLOCKS_DOWNSTREAM),
            )
        finally:
            self._writers.discard(upstream_writer)
            upstream_writer.transport.abort()
            writer.transport.abort()

    async def _copy(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        blocking_states: frozenset[LinkState],
    ) -> None:
        while chunk := await reader.read(_CHUNK_BYTES):
            if self._state is LinkState.DELAY:
                await asyncio.sleep(self.delay)
            await self._wait_while_blocked(blocking_states)
            writer.write(chunk)
            await writer.drain()
        await self._wait_while_blocked(blocking_states)
        with contextlib.suppress(OSError):
            writer.write_eof()

    async def _wait_while_blocked(self, blocking_states: frozenset[LinkState]) -> None:
        while self._state in blocking_states:
            await self._state_changed.wait()
