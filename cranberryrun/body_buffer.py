"""Collects the body of a message without a second copy of it."""

from __future__ import annotations

import mmap

# Larger bodies are mapped: the heap would copy them to let them grow, and keep the
# memory of the copies.
_MAPPED_FROM_BYTES = 262_144
_GROWTH_BYTES = 1_048_576


class BodyBuffer:
    """Bytes that arrive in pieces of any size."""

    def __init__(self) -> None:
        self._parts: bytes | bytearray = b""
        self._map: mmap.mmap | None = None
        self._size = 0

    def __len__(self) -> int:
        return self._size

    def append(self, chunk: bytes) -> None:
        """Add ``chunk`` at the end."""
        size = self._size + len(chunk)
        if size < _MAPPED_FROM_BYTES:
            if not self._size:
                self._parts = chunk
            else:
                if not isinstance(self._parts, bytearray):
                    self._parts = bytearray(self._parts)
                self._parts += chunk
            self._size = size
            return
        if self._map is None:
            # A shared mapping could not grow.
            flags = mmap.MAP_PRIVATE | mmap.MAP_ANONYMOUS
            self._map = mmap.mmap(-1, _rounded(size), flags=flags)
            self._map[: self._size] = self._parts
            self._parts = b""
        elif size > len(self._map):
            self._map.resize(_rounded(size))
        self._map[self._size : size] = chunk
        self._size = size

    def contents(self) -> bytes | memoryview:
        """Return all bytes; nothing may be added afterwards."""
        if self._map is not None:
            return memoryview(self._map)[: self._size].toreadonly()
        return bytes(self._parts)


def _rounded(size: int) -> int:
    """Return ``size`` rounded up, in bytes."""
    return -(-size // _GROWTH_BYTES) * _GROWTH_BYTES
