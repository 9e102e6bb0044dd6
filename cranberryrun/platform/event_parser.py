"""Parses the event streams of engines."""

from __future__ import annotations

from dataclasses import dataclass

from ..exceptions import TruncatedAnswerError

_EVENT_SEPARATOR = b"\n\n"
# Bounds the memory of an event whose end never comes.
_MAX_EVENT_BYTES = 1_000_000
# An engine adds this field to the first event after a change of its weight version.
_VERSION_FIELD = b"x-cranberryrun-weight-versions"


@dataclass(frozen=True, slots=True)
class ParsedEvent:
    """One event. ``version`` is None unless the weight version changed with it."""

    number: int | None
    data: str
    version: int | None
    raw: bytes


class EventParser:
    """Splits a byte stream into complete events."""

    def __init__(self) -> None:
        self._buffer = bytearray()

    def feed(self, chunk: bytes) -> list[ParsedEvent]:
        """Return the events that ``chunk`` completes.

        :raises TruncatedAnswerError: an event is malformed or too long.
        """
        if _EVENT_SEPARATOR not in self._buffer[-1:] + chunk:
            self._buffer += chunk
            blocks: list[bytes] = []
        else:
            *rest, last = (bytes(self._buffer) + chunk).split(_EVENT_SEPARATOR)
            blocks, self._buffer = rest, bytearray(last)
        if len(self._buffer) > _MAX_EVENT_BYTES:
            raise TruncatedAnswerError(f"an event exceeds {_MAX_EVENT_BYTES} bytes")
        return [_parse_event(block) for block in blocks if block.strip()]

    def __len__(self) -> int:
        """Return the number of bytes of the event that is incomplete."""
        return len(self._buffer)

    @property
    def has_partial_event(self) -> bool:
        """Whether the bytes received so far end in the middle of an event."""
        return bool(self._buffer.strip())


def _parse_event(block: bytes) -> ParsedEvent:
    number: int | None = None
    version: int | None = None
    data: list[bytes] = []
    for line in block.split(b"\n"):
        name, _, value = line.partition(b":")
        value = value.removeprefix(b" ")
        try:
            if name == b"id":
                number = int(value)
            elif name == _VERSION_FIELD:
                version = int(value)
            elif name == b"data":
                data.append(value)
        except ValueError:
            raise TruncatedAnswerError(
                f"an event has a malformed line: {line[:80]!r}"
            ) from None
    try:
        text = b"\n".join(data).decode()
    except UnicodeDecodeError as error:
        raise TruncatedAnswerError(f"an event is not valid UTF-8: {error}") from None
    return ParsedEvent(number, text, version, block + _EVENT_SEPARATOR)
