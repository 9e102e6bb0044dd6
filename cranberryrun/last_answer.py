"""The answer after which a connection ends, as nothing more is parsed on it."""

from __future__ import annotations

import asyncio
from http import HTTPStatus
from typing import Protocol, cast

from aiohttp import web
from aiohttp.http_exceptions import HttpProcessingError

from . import clock

_NOT_HTTP = "the request is not valid HTTP"
_LINGER_SECONDS = 1.0
_PAUSE_SECONDS = 0.05


class HeadTooLongError(HttpProcessingError):
    """The head of a request exceeds its limit."""

    code = HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE


class Discarding(Protocol):
    """A connection that discards what it receives."""

    @property
    def discarded_bytes(self) -> int | None:
        """How much has been discarded; None if no more will be."""


class LastAnswer(web.Response):
    """The answer to a request that is not valid."""

    @classmethod
    def to(cls, error: HttpProcessingError, status: int) -> LastAnswer:
        """Return the answer to a request with ``error``, whose text may be secret."""
        too_long = isinstance(error, HeadTooLongError)
        answer = cls(status=status, text=error.message if too_long else _NOT_HTTP)
        answer.force_close()
        return answer

    async def write_eof(self, data: bytes = b"") -> None:
        """Write the answer, and let the caller read it."""
        request = self._req
        await super().write_eof(data)
        if request is not None:
            await _linger(cast(Discarding, request.protocol))


async def _linger(connection: Discarding) -> None:
    """Return when the caller pauses, or after a second.

    Closing a connection that has unread bytes may reset it before the caller has read
    the answer.
    """
    deadline = clock.now() + _LINGER_SECONDS
    discarded = None
    while clock.now() < deadline:
        previous, discarded = discarded, connection.discarded_bytes
        if discarded is None or discarded == previous:
            return
        await asyncio.sleep(_PAUSE_SECONDS)
