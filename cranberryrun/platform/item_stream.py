"""Reads the stream of an engine that runs an item."""

from __future__ import annotations

import re
from collections.abc import AsyncIterator

from ..batches.models import Item, Piece
from ..exceptions import TargetFailedError, TruncatedAnswerError
from ..fleet.client import MalformedStreamError
from ..turns import Turns
from . import header_names
from .answer_checks import is_framed
from .event_parser import EventParser
from .event_parts import WORK_A_TURN, parts
from .target_requests import OpenedCall

_VERSION = re.compile(r"[0-9]{1,18}")
# A page of results holds at most 1 MB of text, so no result can be longer.
_MAX_OUTPUT_BYTES = 1_000_000
# Events without a token, such as the one that ends a stream.
_FURTHER_EVENTS = 64


def _max_events(item: Item) -> float:
    """Return how many events a sound output may have.

    An event mostly carries at least one token; an engine may count some more.
    """
    if item.max_output_tokens is None:
        return float("inf")
    return 2 * item.max_output_tokens + _FURTHER_EVENTS


async def read_pieces(
    call: OpenedCall, item: Item, last_event: int, turns: Turns
) -> AsyncIterator[Piece]:
    """Yield the pieces of a run that resumes after event ``last_event``.

    :raises MalformedStreamError: an event is missing, repeated or malformed, or the
        output is too long.
    :raises TruncatedAnswerError: the stream ended before it was complete.
    """
    response = call.response
    version_header = response.headers.get(header_names.WEIGHT_VERSION, "")
    if _VERSION.fullmatch(version_header) is None:
        raise TargetFailedError("the answer has no valid weight version header")
    version = int(version_header)
    parser = EventParser(last_event)
    size = 0
    max_events = _max_events(item)
    async for chunk in call.chunks():
        parser.work = 0
        for part in parts(chunk):
            if parser.work >= WORK_A_TURN:
                parser.work = 0
                await turns.take()
            for event in parser.feed(part):
                if event.number != last_event + 1:
                    raise MalformedStreamError(
                        f"received event {event.number}; "
                        f"expected event {last_event + 1}"
                    )
                last_event += 1
                size += len(event.raw)
                if size > _MAX_OUTPUT_BYTES or last_event > max_events:
                    raise MalformedStreamError(
                        f"the output is longer than {_MAX_OUTPUT_BYTES} bytes or "
                        f"{max_events:g} events"
                    )
                version = event.version if event.version is not None else version
                yield Piece(event.data, version)
    if parser.has_partial_event or not is_framed(response):
        raise TruncatedAnswerError("the event stream ended before it was complete")
