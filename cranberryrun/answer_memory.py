"""Bounds the memory of all answers that are being read at the same time."""

from __future__ import annotations

import aiohttp


class AnswerTooLongError(aiohttp.ClientPayloadError):
    """An answer was longer than the memory for answers allows."""


class AnswerMemory:
    """Reads whole answers; together they take about ``limit_bytes`` at most.

    A target in trouble may send a body without end. While the limit is exceeded, the
    longest answer fails, so that short answers are still read beside an endless one.

    :param limit_bytes: limit of the bytes of all answers that are being read.
    """

    def __init__(self, limit_bytes: int) -> None:
        self._limit_bytes = limit_bytes
        self._size_by_response: dict[aiohttp.ClientResponse, int] = {}

    async def read(self, response: aiohttp.ClientResponse) -> bytes:
        """Return the complete body of ``response``.

        :raises AnswerTooLongError: the body is too long; the connection is closed.
        """
        body = bytearray()
        self._size_by_response[response] = 0
        try:
            while chunk := await response.content.readany():
                body += chunk
                self._size_by_response[response] = len(body)
                self._check(response)
        finally:
            del self._size_by_response[response]
        return bytes(body)

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
