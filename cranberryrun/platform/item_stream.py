"""Reads the stream of an engine that runs an item."""

from __future__ import annotations

from collections.abc import AsyncIterator

from ..batches.models import Piece
from ..exceptions import TargetFailedError, TruncatedAnswerError
from ..fleet.client import MalformedStreamError
from . import header_names
from .answer_checks import is_framed
from .event_parser import EventParser
from .target_requests import OpenedCall

# A page of results holds at most 1 MB of text, so no result can be longer.
_MAX_OUTPUT_BYTES = 1_000_000


async def read_pieces(call: OpenedCall, last_event: int) -> AsyncIterator[Piece]:
    """Yield the pieces of a run that resumes after event ``last_event``.

    :raises MalformedStreamError: an event is missing, repeated or malformed, or the
        output is too long.
    :raises TruncatedAnswerError: the stream ended before it was complete.
    """
    response = call.response
    version_header = response.headers.get(header_names.WEIGHT_VERSION)
    if version_header is None or not version_header.isdigit():
        raise TargetFailedError("the answer has no valid weight version header")
    version = int(version_header)
    parser = EventParser(last_event)
    size = 0
    async for chunk in call.chunks():
        for event in parser.feed(chunk):
            if event.number != last_event + 1:
                raise MalformedStreamError(
                    f"received event {event.number}; expected event {last_event + 1}"
                )
            last_event += 1
            size += len(event.raw)
            if size > _MAX_OUTPUT_BYTES:
                raise MalformedStreamError(
                    f"the output of the run exceeds {_MAX_OUTPUT_BYTES} bytes"
                )
            version = event.version if event.version is not None else version
            yield Piece(event.data, version)
    if parser.has_partial_event or not is_framed(response):
        raise TruncatedAnswerError("the event stream ended before it was complete")
