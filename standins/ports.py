"""Listening ports that no other process of this project uses at the same time."""

import fcntl
import random
import socket
import tempfile
from collections.abc import Iterator
from pathlib import Path
from typing import IO

from ._program import StandinError

IP = "127.0.0.1"
# Below the kernel's range for outgoing connections, so that none of those can take a
# port before the program listens on it.
_LISTENING_PORTS = range(12_000, 32_000)
_BLOCK_SIZE = 100


class _PortBlocks:
    """Hands out ports from blocks that this process has locked.

    Two test suites that only looked for free ports took the same one now and then, as
    some time passes until a program listens on its port. A lock ends with its process.
    """

    def __init__(self) -> None:
        self._locks: list[IO[str]] = []
        self._ports: Iterator[int] = iter(())

    def next_port(self) -> int:
        """Return a port; lock another block if the last one is used up."""
        port = next(self._ports, None)
        if port is not None:
            return port
        self._ports = iter(self._lock_block())
        return next(self._ports)

    def _lock_block(self) -> range:
        starts = _LISTENING_PORTS[::_BLOCK_SIZE]
        folder = Path(tempfile.gettempdir()) / "cranberryrun-ports"
        folder.mkdir(exist_ok=True)
        for start in random.sample(starts, len(starts)):
            lock = (folder / str(start)).open("w")
            try:
                fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
            except OSError:
                lock.close()
                continue
            self._locks.append(lock)
            return range(start, start + _BLOCK_SIZE)
        raise StandinError("all blocks of ports are in use")


_blocks = _PortBlocks()


def free_port() -> int:
    """Return a TCP port that is free and stays so for this process.

    :raises StandinError: other processes use all ports.
    """
    while True:
        port = _blocks.next_port()
        with socket.socket() as probe:
            try:
                probe.bind((IP, port))
            except OSError:
                continue
            return port
