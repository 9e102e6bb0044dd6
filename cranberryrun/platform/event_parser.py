"""Parses the event streams of engines."""

from __future__ import annotations

import re
from dataclasses import dataclass

from ..fleet.client import ConflictingEventsError, MalformedStreamError

# Bounds the memory of an event whose end never comes.
_MAX_EVENT_BYTES = 1_000_000
# Comments may come while an event is generated, but each block of them costs time.
_MAX_SKIPPED_BLOCKS = 1024
# An engine adds this field to the first event after a change of its weight version.
_VERSION_FIELD = b"x-cranberryrun-weight-versions"
_NUMBER = re.compile(rb"[0-9]{1,18}")
_FIELD_NAME = re.compile(rb"[A-Za-z][A-Za-z0-9_.-]*")
# Fields that may stand between events: a client's settings, no part of the output.
_CONNECTION_FIELDS = frozenset({b"event", b"retry"})
# A blank line, after the end of the line before.
_BLOCK_END = re.compile(rb"\n\r?\n")
# The form of nearly all events, which is parsed faster than others.
_USUAL_EVENT = re.compile(rb"id: ?([0-9]{1,18})\ndata: ?([^\n]*)\n\n")


@dataclass(slots=True)
class ParsedEvent:
    """One event. ``version`` is None unless the weight version changed with it.

    ``raw`` has the bytes of the event, and of comments between it and the one before.
    """

    number: int
    data: str
    version: int | None
    raw: bytes


class EventParser:
    """Splits a byte stream into complete events, whose numbers increase.

    An event has one number and some data, which may be empty. Blocks of comments are
    skipped, and so are further fields of an event. Anything else shows that the engine
    is in trouble: nothing that follows is taken for an event.

    ``work`` counts the blocks and the chunks that were parsed since it was last set.

    :param last_number: the number of the event that the stream goes on after; None if
        it begins.
    """

    def __init__(self, last_number: int | None = None) -> None:
        self._resumed_after = -1 if last_number is None else last_number
        self._last_number = self._resumed_after
        self._last_text = ""
        self._buffer = bytearray()
        self._skipped = b""
        self._skipped_blocks = 0
        self.work = 0

    def feed(self, chunk: bytes) -> list[ParsedEvent]:
        """Return the events that ``chunk`` completes.

        :raises MalformedStreamError: what arrived is no event, or none that may follow.
        """
        self.work += 1
        if _BLOCK_END.search(self._buffer[-2:] + chunk) is None:
            self._buffer += chunk
            self._check_size(len(self._buffer))
            return []
        data = bytes(self._buffer) + chunk
        events: list[ParsedEvent] = []
        position = 0
        while True:
            usual = _USUAL_EVENT.match(data, position)
            if usual is not None:
                position = usual.end()
                text = _decode(usual[2])
                events.append(self._next(int(usual[1]), text, None, usual[0]))
                continue
            end = _BLOCK_END.search(data, position)
            if end is None:
                break
            block = data[position : end.end()]
            position = end.end()
            event = self._parse(block)
            if event is not None:
                events.append(event)
        self._buffer = bytearray(data[position:])
        self._check_size(len(self._buffer))
        return events

    def __len__(self) -> int:
        """Return the number of bytes of the event that is incomplete."""
        return len(self._buffer)

    @property
    def has_partial_event(self) -> bool:
        """Whether the bytes received so far end in the middle of an event."""
        *lines, last = bytes(self._buffer).split(b"\n")
        return bool(last) or any(
            line.strip() and not line.startswith(b":") for line in lines
        )

    @property
    def skipped(self) -> bytes:
        """The comments since the last event."""
        return self._skipped + bytes(self._buffer)

    def _check_size(self, size: int) -> None:
        if size > _MAX_EVENT_BYTES:
            raise MalformedStreamError(f"an event exceeds {_MAX_EVENT_BYTES} bytes")

    def _next(
        self, number: int, text: str, version: int | None, raw: bytes
    ) -> ParsedEvent:
        if number <= self._resumed_after:
            raise MalformedStreamError(
                f"event {number} came in a stream that goes on after event "
                f"{self._resumed_after}"
            )
        if number <= self._last_number:
            reason = f"event {number} follows event {self._last_number}"
            if number == self._last_number and text == self._last_text:
                raise MalformedStreamError(reason)
            raise ConflictingEventsError(reason)
        self._last_number, self._last_text = number, text
        self.work += 1
        if self._skipped_blocks:
            raw = self._skipped + raw
            self._skipped, self._skipped_blocks = b"", 0
        return ParsedEvent(number, text, version, raw)

    def _parse(self, block: bytes) -> ParsedEvent | None:
        """Return the event of a block; None if the block has only comments."""
        number: int | None = None
        version: int | None = None
        data: list[bytes] = []
        is_event = False
        for line in _lines(block):
            if line.startswith(b":"):
                continue
            name, colon, value = line.partition(b":")
            value = value.removeprefix(b" ")
            is_event |= name not in _CONNECTION_FIELDS
            if name == b"data":
                data.append(value)
            elif name == b"id" and number is None:
                number = _number(line, value)
            elif name == _VERSION_FIELD and version is None:
                version = _number(line, value)
            elif name in (b"id", _VERSION_FIELD):
                raise MalformedStreamError(f"an event repeats a field: {line[:80]!r}")
            elif not colon or _FIELD_NAME.fullmatch(name) is None:
                raise MalformedStreamError(
                    f"an event has a malformed line: {line[:80]!r}"
                )
        if not is_event:
            self._skip(block)
            return None
        if number is None or not data:
            raise MalformedStreamError(
                f"an event has no number or no data: {block[:80]!r}"
            )
        return self._next(number, _decode(b"\n".join(data)), version, block)

    def _skip(self, block: bytes) -> None:
        self._skipped += block
        self._skipped_blocks += 1
        self.work += 1
        self._check_size(len(self._skipped))
        if self._skipped_blocks > _MAX_SKIPPED_BLOCKS:
            raise MalformedStreamError(
                f"more than {_MAX_SKIPPED_BLOCKS} comments without an event"
            )


def _lines(block: bytes) -> list[bytes]:
    """Return the lines of a block that are not blank, without their ends.

    Lines end with LF or all of them with CR LF. A CR before LF is data otherwise.

    :raises MalformedStreamError: the blank line at the end has another end.
    """
    lines = block.split(b"\n")[:-1]
    if all(line.endswith(b"\r") for line in lines):
        lines = [line[:-1] for line in lines]
    elif lines[-1]:
        raise MalformedStreamError("the lines of an event have different ends")
    return [line for line in lines if line]


def _number(line: bytes, value: bytes) -> int:
    if _NUMBER.fullmatch(value) is None:
        raise MalformedStreamError(f"an event has a malformed line: {line[:80]!r}")
    return int(value)


def _decode(data: bytes) -> str:
    try:
        return data.decode()
    except UnicodeDecodeError as error:
        raise MalformedStreamError(f"an event is not valid UTF-8: {error}") from None
