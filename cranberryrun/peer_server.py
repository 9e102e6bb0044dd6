"""The server for calls between hosts: one task for each connection."""

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
_CLOSE_TIMEOUT_SECONDS = 1.0
_MALFORMED_INPUT_ERRORS = (
    TException,
    ValueError,
    TypeError,
    AttributeError,
    KeyError,
    struct.error,
)


class BoundedTransport(TAsyncBufferedTransport):
    """Rejects values that are longer than any peer would send."""

    async def read(self, sz: int) -> bytes:
        """Read ``sz`` bytes.

        :raises TTransportException: if ``sz`` is negative or over the limit.
        """
        if not 0 <= sz <= _MAX_VALUE_BYTES:
            raise TTransportException(
                message=f"value of {sz} bytes is over {_MAX_VALUE_BYTES} or negative"
            )
        return await super().read(sz)


class PeerServer:
    """Serves a Thrift service on one address.

    :param handler: an object with a coroutine method for each call of the service.
    """

    def __init__(self, service: ModuleType, handler: Any) -> None:
        self._processor = TAsyncProcessor(service, handler)
        self._server: asyncio.Server | None = None
        self._writer_by_task: dict[asyncio.Task[Any], asyncio.StreamWriter] = {}

    @property
    def address(self) -> tuple[str, int]:
        """The IP address and port that the server listens on."""
        return self._server.sockets[0].getsockname()

    async def start(
        self, ip: str, port: int, tls: ssl.SSLContext | None = None
    ) -> None:
        """Start to listen; :raises KernelError: if the address can't be bound."""
        try:
            self._server = await asyncio.start_server(
                self._serve_connection, ip, port, ssl=tls
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
            await asyncio.wait(
                list(self._writer_by_task), timeout=_CLOSE_TIMEOUT_SECONDS
            )
        for task in list(self._writer_by_task):
            task.cancel()

    async def _serve_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        self._writer_by_task[task] = writer
        try:
            await self._serve_calls(StreamHandler(reader, writer))
        except asyncio.CancelledError:
            # asyncio's stream callback would log a cancelled task as an error.
            return
        finally:
            writer.close()
            del self._writer_by_task[task]

    async def _serve_calls(self, connection: StreamHandler) -> None:
        """Answer calls one after another until the connection ends."""
        transport = BoundedTransport(connection)
        protocol = TAsyncBinaryProtocol(transport)
        try:
            while not connection.reader.at_eof():
                await self._processor.process(protocol, protocol)
        except (TTransportException, OSError):
            return
        except CranberryrunError as error:
            logging.warning(
                "a call of a peer failed; closing its connection: %r", error
            )
        except _MALFORMED_INPUT_ERRORS as error:
            logging.warning(
                "a peer sent malformed data; closing its connection: %r", error
            )
