"""Reads connections in pieces of a bounded size."""

from __future__ import annotations

import asyncio
from abc import ABC, abstractmethod

_MAX_READ_BYTES = 65_536
# All connections of a thread share it: what was read is copied before the next read.
_BUFFER = memoryview(bytearray(_MAX_READ_BYTES))


class ReadSizes(ABC):
    """A protocol that decides how much is read at once."""

    @abstractmethod
    def read_size(self) -> int:
        """Return the bytes that the next read may take at the most."""


class BoundedReads(asyncio.BufferedProtocol):
    """Passes the bytes of a transport on to a protocol, in pieces that it chose.

    Without it uvloop reads up to 256 KB at once, before the protocol can say anything.
    A protocol puts this one in its place once its connection is made.

    :param protocol: an :class:`asyncio.Protocol` that is :class:`ReadSizes` as well.
    """

    def __init__(self, protocol: asyncio.Protocol) -> None:
        assert isinstance(protocol, ReadSizes)
        self._read_size = protocol.read_size
        self._data_received = protocol.data_received
        # Set as attributes, because each method would cost a call.
        for name in ("connection_lost", "eof_received", "pause_writing"):
            setattr(self, name, getattr(protocol, name))
        self.resume_writing = protocol.resume_writing  # type: ignore[method-assign]

    def get_buffer(self, sizehint: int) -> memoryview:
        """See :meth:`asyncio.BufferedProtocol.get_buffer`."""
        return _BUFFER[: min(self._read_size(), _MAX_READ_BYTES)]

    def buffer_updated(self, nbytes: int) -> None:
        """See :meth:`asyncio.BufferedProtocol.buffer_updated`."""
        self._data_received(bytes(_BUFFER[:nbytes]))
