"""Bounds the memory of all answers that are being read at the same time."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Iterator
from contextlib import contextmanager
from contextvars import ContextVar

import aiohttp

from .body_buffer import BodyBuffer


class AnswerTooLongError(aiohttp.ClientPayloadError):
    """An answer was longer than the memory for answers allows."""


class AnswerReader(ABC):
    """The caller of an answer, for whom it is held until it is delivered."""

    @abstractmethod
    async def make_room(self, size: int) -> None:
        """Return once ``size`` more bytes of an answer may be read from its target."""

    @abstractmethod
    def drop(self, size: int) -> None:
        """Count ``size`` bytes no longer, as their answer is not used."""


_current: ContextVar[AnswerReader | None] = ContextVar("answer_reader", default=None)


@contextmanager
def reading_for(reader: AnswerReader) -> Iterator[None]:
    """Have the answers of targets that are read in this block be for ``reader``."""
    token = _current.set(reader)
    try:
        yield
    finally:
        _current.reset(token)


class AnswerRoom:
    """What one answer takes of the room for its reader, from when it is read."""

    def __init__(self) -> None:
        self._reader = _current.get()
        self._size = 0

    async def extend(self, size: int) -> None:
        """Return once there is room for ``size`` bytes in all."""
        if self._reader is not None and size > self._size:
            await self._reader.make_room(size - self._size)
            self._size = size

    def shrink(self, size: int) -> None:
        """Give back all but ``size`` bytes."""
        if self._reader is not None and size < self._size:
            self._reader.drop(self._size - size)
            self._size = size


class AnswerMemory:
    """Reads whole answers; together they take about ``limit_bytes`` at most.

    A target in trouble may send a body without end. While the limit is exceeded, the
    longest answer fails, so that short answers are still read beside an endless one.
    An answer for a caller is read only as there is room to hold it until the caller has
    it; meanwhile its target waits.

    :param limit_bytes: limit of the bytes of all answers that are being read.
    """

    def __init__(self, limit_bytes: int) -> None:
        self._limit_bytes = limit_bytes
        self._size_by_response: dict[aiohttp.ClientResponse, int] = {}

    async def read(self, response: aiohttp.ClientResponse) -> bytes:
        """Return the complete body of ``response``, which is for no caller.

        :raises AnswerTooLongError: the body is too long; the connection is closed.
        """
        return bytes(await self._read(response, None))

    async def read_for_caller(
        self, response: aiohttp.ClientResponse
    ) -> bytes | memoryview:
        """Return the complete body of ``response`` once its reader has room for it.

        :raises AnswerTooLongError: the body is too long; the connection is closed.
        """
        length = response.content_length or 0
        if length > self._limit_bytes:
            response.close()
            raise AnswerTooLongError(
                f"an answer of {length} bytes exceeds {self._limit_bytes} bytes"
            )
        room = AnswerRoom()
        try:
            await room.extend(length)
            return await self._read(response, room)
        except BaseException:
            room.shrink(0)
            raise

    async def _read(
        self, response: aiohttp.ClientResponse, room: AnswerRoom | None
    ) -> bytes | memoryview:
        body = BodyBuffer()
        self._size_by_response[response] = 0
        try:
            while chunk := await response.content.readany():
                if room is not None:
                    await room.extend(len(body) + len(chunk))
                body.append(chunk)
                self._size_by_response[response] = len(body)
                self._check(response)
        finally:
            del self._size_by_response[response]
        return body.contents()

    def _check(self, response: aiohttp.ClientResponse) -> None:
        sizes = self._size_by_response.values()
        if sum(sizes) <= self._limit_bytes:
            return
        size = self._size_by_response[response]
        if size < max(sizes):
            return
        response.close()
        raise AnswerTooLongError(
            f"the answer was closed after {size} bytes, because the answers being read "
            f"exceed {self._limit_bytes} bytes"
        )
