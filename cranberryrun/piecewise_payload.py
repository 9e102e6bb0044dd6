"""Writes the body of a message in pieces, so that no connection holds a copy of it."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

from aiohttp import web
from aiohttp.abc import AbstractStreamWriter
from aiohttp.payload import BytesPayload

PIECE_BYTES = 65_536


def pieces(body: bytes | memoryview) -> Iterator[memoryview]:
    """Yield the pieces of a body in their order."""
    view = memoryview(body)
    for start in range(0, len(view), PIECE_BYTES):
        yield view[start : start + PIECE_BYTES]


def payload(body: bytes | memoryview) -> Any:
    """Return what aiohttp's client sends as ``body``; None for an empty one.

    aiohttp joins a head and a body that are written together.
    """
    if len(body) <= PIECE_BYTES:
        return bytes(body) or None
    return PiecewisePayload(body)


class PiecewisePayload(BytesPayload):
    """A body that is written as fast as its reader takes it."""

    async def write_with_length(
        self, writer: AbstractStreamWriter, content_length: int | None
    ) -> None:
        """See :class:`aiohttp.payload.Payload`."""
        body = memoryview(self._value)
        for piece in pieces(body if content_length is None else body[:content_length]):
            await writer.write(piece)
            await writer.drain()


class PiecewiseResponse(web.StreamResponse):
    """An answer whose body is written in pieces."""

    def __init__(self, body: bytes | memoryview, **options: Any) -> None:
        super().__init__(**options)
        self.content_length = len(body)
        self.whole_body = body
