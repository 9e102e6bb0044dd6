"""The listening side of the talk between hosts: one task for each connection."""

from __future__ import annotations

import asyncio
import ssl
import struct
from types import ModuleType
from typing import Any

from absl import logging
from thriftpy2.contrib.aio.processor import TAsyncProcessor
from thriftpy2.contrib.aio.protocol.binary import TAsyncBinaryProtocol
from thriftpy2.contrib.aio.socket import StreamHandler
from thriftpy2.contrib.aio.transport.buffered import TAsyncBufferedTransport
from thriftpy2.thrift import TException
from thriftpy2.transport import TTransportException

from .exceptions import CranberryrunError, KernelError

_MAX_VALUE_BYTES = 64 * 1024 * 1024
_CLOSE_SECONDS = 1.0
_BAD_INPUT = (TException, ValueError, TypeError, AttributeError, KeyError, struct.error)


class BoundedTransport(TAsyncBufferedTransport):
    """Refuses to read a value that is longer than any peer would send."""

    async def read(self, sz: int) -> bytes:
        """Read ``sz`` bytes; :raises TTransportException: too many are asked for."""
        if not 0 <= sz <= _MAX_VALUE_BYTES:
            raise TTransportException(message=f"a value of {sz} bytes")
        return await super().read(sz)


class PeerServer:
    """Serves a thrift service on one address.

    :param handler: has a coroutine method for each of the service's calls.
    """

    def __init__(self, service: ModuleType, handler: Any) -> None:
        self._processor = TAsyncProcessor(service, handler)
        self._server: asyncio.Server | None = None
        self._writer_by_task: dict[asyncio.Task[Any], asyncio.StreamWriter] = {}

    @property
    def address(self) -> tuple[str, int]:
        """The IP and port that are listened on."""
        return self._server.sockets[0].getsockname()

    async def start(
        self, ip: str, port: int, tls: ssl.SSLContext | None = None
    ) -> None:
        """Listen; :raises KernelError: the address can't be had."""
        try:
            self._server = await asyncio.start_server(
                self._connected, ip, port, ssl=tls
            )
        except OSError as error:
            raise KernelError(f"can't listen for peers: {error}") from None

    async def stop(self) -> None:
        """Close the listener and all connections."""
        if self._server is None:
            return
        self._server.close()
        for writer in self._writer_by_task.values():
            writer.close()
        if self._writer_by_task:
            await asyncio.wait(list(self._writer_by_task), timeout=_CLOSE_SECONDS)
        for task in list(self._writer_by_task):
            task.cancel()

    async def _connected(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        self._writer_by_task[task] = writer
        try:
            await self._serve(StreamHandler(reader, writer))
        except asyncio.CancelledError:
            # The streams' own callback would log a cancelled task as a failure.
            return
        finally:
            writer.close()
            del self._writer_by_task[task]

    async def _serve(self, connection: StreamHandler) -> None:
        """Answer one call after another until the connection ends."""
        transport = BoundedTransport(connection)
        protocol = TAsyncBinaryProtocol(transport)
        try:
            while not connection.reader.at_eof():
                await self._processor.process(protocol, protocol)
        except (TTransportException, OSError):
            return
        except CranberryrunError as error:
            logging.warning("a peer's call failed: %r", error)
        except _BAD_INPUT as error:
            logging.warning("a peer sent what can't be served: %r", error)
