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
    """Have the answers that are read in this block be those of ``reader``."""
    token = _current.set(reader)
    try:
        yield
    finally:
        _current.reset(token)


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

    async def read(self, response: aiohttp.ClientResponse) -> bytes | memoryview:
        """Return the complete body of ``response``, as bytes unless it is a caller's.

        :raises AnswerTooLongError: the body is too long; the connection is closed.
        """
        reader = _current.get()
        if reader is None:
            return bytes(await self._read(response))
        length = response.content_length or 0
        if length > self._limit_bytes:
            response.close()
            raise AnswerTooLongError(
                f"an answer of {length} bytes exceeds {self._limit_bytes} bytes"
            )
        room = _Room(reader)
        try:
            await room.extend(length)
            return await self._read(response, room)
        except BaseException:
            room.drop()
            raise

    async def _read(
        self, response: aiohttp.ClientResponse, room: _Room | None = None
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


class _Room:
    """What one answer has been given of its reader's room."""

    def __init__(self, reader: AnswerReader) -> None:
        self._reader = reader
        self._size = 0

    async def extend(self, size: int) -> None:
        """Return once there is room for ``size`` bytes in all."""
        if size > self._size:
            await self._reader.make_room(size - self._size)
            self._size = size

    def drop(self) -> None:
        """Give all of it back."""
        self._reader.drop(self._size)
        self._size = 0
