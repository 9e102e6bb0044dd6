"""The buffer budget of a host: its transfers, metric and events."""

from __future__ import annotations

import asyncio
from types import TracebackType

from aiohttp import web
from multidict import CIMultiDict

from .. import clock
from ..answer_memory import AnswerReader
from ..body_buffer import BodyBuffer
from ..buffer_budget import BufferBudget, BufferPath, BuffersFullError, Hold
from ..client_limits import RecordedLimits
from ..events import Events
from ..exceptions import RequestError, TooLargeError
from ..fleet.directory import Directory
from ..fleet.manifest import Limits
from ..kernel import Kernel, Service
from ..metrics import Metrics
from ..open_connections import descriptor_limit
from ..piecewise_payload import PIECE_BYTES, PiecewiseResponse, pieces
from .http_server import Connection

# The buffer for the answer of a target that is passed on as it arrives. Small, because
# there is one for each stream; reading stops at twice this size.
STREAM_READ_BYTES = 16_384
# What the connection of a target holds of an answer before there is room for it: twice
# the buffer, and the read that filled it.
ANSWER_READ_BYTES = 3 * STREAM_READ_BYTES
# A batch is decoded from one piece of memory, beside that in which it arrived.
_SUBMISSION_COPIES = 2


class BodyTimeoutError(RequestError):
    """The caller stopped sending the body of its request; nothing was sent on."""

    code = "body_timeout"
    status = 408


class HostLimits(RecordedLimits):
    """The limits of the manifest in force."""

    def __init__(self, kernel: Kernel, budget: BufferBudget, connections: int) -> None:
        super().__init__(kernel.get(Metrics), kernel.get(Events), budget, connections)
        self._kernel = kernel

    def _limits(self) -> Limits:
        manifest = self._kernel.get(Directory).manifest
        return manifest.limits if manifest is not None else Limits()

    @property
    def head_bytes(self) -> int:  # type: ignore[override]
        """See :class:`ClientLimits`."""
        return self._limits().header_bytes

    @property
    def head_seconds(self) -> float:  # type: ignore[override]
        """See :class:`ClientLimits`."""
        return self._limits().header_timeout


class Buffers(Service):
    """Holds the budget of this host.

    :param limit_bytes: limit of the bytes that are held on all paths together.
    :param single_bytes: limit of the bytes of a single transfer.
    :param max_connections: limit of the connections of clients, if the descriptors of
        the process allow as many.
    """

    name = "buffers"
    requires = ("events", "metrics")

    def __init__(
        self, limit_bytes: int, single_bytes: int, max_connections: int
    ) -> None:
        super().__init__()
        self._max_connections = max_connections
        self.budget = BufferBudget(limit_bytes, single_bytes)
        self.limits: HostLimits

    async def start(self) -> None:
        """Register the metric."""
        connections = min(descriptor_limit(), self._max_connections)
        self.limits = HostLimits(self.kernel, self.budget, connections)
        metrics = self.kernel.get(Metrics)
        metrics.register_gauge("buffered_bytes", self.budget.used_by_path)

    def transfer(self, request: web.BaseRequest) -> Transfer:
        """Return the transfer of a request that has just arrived."""
        return Transfer(self, request)

    def check(self, path: BufferPath, size: int, hold: Hold | None = None) -> None:
        """Return if ``size`` more bytes fit, perhaps because others are given up.

        :raises BuffersFullError: they do not.
        """
        if self.limits.make_room(size, hold):
            return
        used = self.budget.used_bytes
        self.kernel.get(Metrics).buffers_full(path.value)
        self.limits.events.emit(
            "buffers_full",
            path=path.value,
            size=size,
            used=used,
            limit=self.budget.limit_bytes,
        )
        raise BuffersFullError(f"this host holds {used} bytes for its connections")

    def hold(self, path: BufferPath, size: int, connection: Connection) -> Hold:
        """Count bytes that are held for a connection, whether they fit or not."""
        self.limits.make_room(size)
        return self.limits.hold(path, size, connection)

    def release(self, hold: Hold) -> None:
        """Stop counting ``hold``."""
        self.limits.release(hold)


class Transfer(AnswerReader):
    """One request of a caller or another host: its body, and the answer to it."""

    def __init__(self, buffers: Buffers, request: web.BaseRequest) -> None:
        self._buffers = buffers
        self._request = request
        self._answer: Hold | None = None
        assert isinstance(request.protocol, Connection)
        self._connection = request.protocol

    def __enter__(self) -> Transfer:
        self._connection.on_stall = self._record_stall
        return self

    def __exit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self._connection.limit_stall(None)
        self._connection.on_stall = None
        if self._answer is not None:
            self._buffers.release(self._answer)
        self._answer = None

    def limit_stall(self, seconds: float) -> None:
        """Close the connection when nothing is read for ``seconds``."""
        self._connection.limit_stall(seconds)

    async def read_body(
        self, path: BufferPath, limit: int | None, max_silence: float
    ) -> bytes | memoryview:
        """Return the body of the request.

        Its connection counts it as it arrives, so that a sender that stops holds no
        more memory than what it sent.

        :param limit: the maximum size in bytes.
        :param max_silence: how long the sender may send nothing, in seconds.
        :raises TooLargeError: the body exceeds ``limit``.
        :raises BuffersFullError: the host has no memory for it.
        :raises BodyTimeoutError: the sender stopped.
        """
        copies = _SUBMISSION_COPIES if path is BufferPath.SUBMISSION else 1
        declared = self._request.content_length or 0
        if limit is not None and declared > limit:
            raise TooLargeError(f"the request body exceeds {limit} bytes")
        self._buffers.check(path, declared * copies)
        body = BodyBuffer()
        while chunk := await self._read_chunk(max_silence):
            if limit is not None and len(body) + len(chunk) > limit:
                raise TooLargeError(f"the request body exceeds {limit} bytes")
            self._check_held_body(path)
            body.append(chunk)
        self.extend_body(path, len(body) * (copies - 1))
        return body.contents()

    def _check_held_body(self, path: BufferPath) -> None:
        hold = self._connection.body_hold
        if hold is not None:
            hold.path = path
            self._buffers.check(path, 0, hold)

    def extend_body(self, path: BufferPath, size: int) -> None:
        """Count ``size`` more bytes for a body that is complete, and is kept.

        :raises BuffersFullError: the host has no memory for them.
        """
        hold = self._connection.body_hold
        if hold is None:
            return
        self._buffers.check(path, size, hold)
        self._buffers.budget.resize(hold, hold.size + size)
        hold.kept = True

    async def _read_chunk(self, max_silence: float) -> bytes:
        try:
            async with asyncio.timeout(max_silence):
                return await self._request.content.readany()
        except TimeoutError:
            raise BodyTimeoutError(
                f"nothing of the request body arrived for {max_silence:g} s"
            ) from None

    def reserve_answer(
        self, path: BufferPath, size: int = ANSWER_READ_BYTES, patience: float = 1.0
    ) -> None:
        """Count an answer that is yet to be built or read, and may be refused.

        :param size: what is held of it before :meth:`make_room` is asked, in bytes.
        :param patience: how much longer than others its reader may make no progress.
        :raises BuffersFullError: the host has no memory for it.
        """
        self._buffers.check(path, size)
        self._answer = self._buffers.hold(path, size, self._connection)
        self._answer.patience = patience
        # Its reader can't be slow before it is sent.
        self._answer.kept = True

    async def make_room(self, size: int) -> None:
        """See :meth:`AnswerReader.make_room`."""
        if self._answer is not None:
            await self._buffers.limits.wait_for_room(size, self._answer)

    def drop(self, size: int) -> None:
        """See :meth:`AnswerReader.drop`."""
        if self._answer is not None:
            self._buffers.budget.resize(self._answer, self._answer.size - size)

    async def send(
        self, response: web.StreamResponse, path: BufferPath = BufferPath.ANSWER
    ) -> None:
        """Write the answer; return once the caller's socket has all of it."""
        if self._connection.release_body():
            response.force_close()
        body = _whole_body(response)
        if body is not None:
            if self._answer is None:
                self._answer = self._buffers.hold(path, len(body), self._connection)
            self._answer.progress_at = clock.now()
            self._answer.kept = False
            self._buffers.budget.resize(self._answer, len(body))
        try:
            await response.prepare(self._request)
            if isinstance(response, PiecewiseResponse):
                await self._write_pieces(response)
            await response.write_eof()
        except ConnectionError:
            # aiohttp ends the connection when it writes to it again.
            return

    async def _write_pieces(self, response: PiecewiseResponse) -> None:
        for piece in pieces(response.whole_body):
            await response.write(piece)
            await self._request.writer.drain()
            if self._answer is not None:
                self._answer.progress_at = clock.now()

    async def write_part(
        self,
        response: web.StreamResponse,
        data: bytes,
        path: BufferPath = BufferPath.STREAM,
    ) -> None:
        """Write a part of a stream; return once the caller's socket has all of it.

        Meanwhile the stream is not read from its target, whose connection holds
        ``ANSWER_READ_BYTES`` at most before the transport stops reading.
        """
        size = min(len(data), PIECE_BYTES)
        hold = self._buffers.hold(path, size, self._connection)
        try:
            for piece in pieces(data):
                await response.write(piece)
                if self._connection.writing_paused:
                    await self._request.writer.drain()
        finally:
            self._buffers.release(hold)

    def _record_stall(self, seconds: float, unsent: int) -> None:
        self._buffers.limits.events.emit(
            "caller_stalled",
            path=self._request.path,
            seconds=round(seconds, 3),
            unsent=unsent,
            peer=self._connection.peer,
        )


def _whole_body(response: web.StreamResponse) -> bytes | memoryview | None:
    """Return the body of a response that has all of it already."""
    if isinstance(response, PiecewiseResponse):
        return response.whole_body
    if isinstance(response, web.Response) and isinstance(response.body, bytes):
        return response.body
    return None


def whole_response(
    status: int, headers: CIMultiDict[str], body: bytes | memoryview
) -> web.StreamResponse:
    """Return a response that is written in pieces if its body is large."""
    if len(body) <= PIECE_BYTES:
        return web.Response(status=status, headers=headers, body=bytes(body))
    return PiecewiseResponse(body, status=status, headers=headers)
