"""The records of batches, and how they are cut to the store's limits.

A message is JSON. One that is over the store's record limit is cut into fragments;
it takes effect with the last fragment. Messages are idempotent, so an append whose
outcome is unknown is simply made again.
"""

from __future__ import annotations

import struct
import uuid
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Annotated, Literal

from pydantic import Field, TypeAdapter, ValidationError

from ..exceptions import RecordInvalidError
from .models import Batch, Result

_WHOLE = b"w"
_FRAGMENT = b"f"
_HEADER = struct.Struct(">16sHH")
# Fragments of messages whose writer died are forgotten beyond this number.
_MAX_PARTIAL = 64


@dataclass(frozen=True, slots=True)
class Accepted:
    """A batch was accepted; the first record of an id counts."""

    batch: Batch
    kind: Literal["accepted"] = "accepted"


@dataclass(frozen=True, slots=True)
class Listed:
    """Results; the first one of an item counts."""

    batch: str
    results: list[Result]
    kind: Literal["listed"] = "listed"


@dataclass(frozen=True, slots=True)
class Progressed:
    """Pieces ``start`` and following of a running item, with their versions.

    ``text`` names what the pieces belong to. A text only grows; when an item is made
    anew, or another holder goes on with it, that is another text, whole from 0 on.
    """

    batch: str
    item: str
    text: str
    start: int
    texts: list[str]
    versions: list[int]
    kind: Literal["progressed"] = "progressed"


@dataclass(frozen=True, slots=True)
class Opened:
    """An accepted batch is to be run. ``submitted_at`` is in seconds since 1970."""

    batch: str
    submitted_at: float
    kind: Literal["opened"] = "opened"


@dataclass(frozen=True, slots=True)
class Ended:
    """The trainer ended the batch."""

    batch: str
    kind: Literal["ended"] = "ended"


Message = Accepted | Listed | Progressed | Opened | Ended
_MESSAGE: TypeAdapter[Message] = TypeAdapter(
    Annotated[Message, Field(discriminator="kind")]
)


def encode(message: Message, record_bytes: int) -> list[bytes]:
    """Return the records of ``message``, none longer than ``record_bytes``."""
    payload = _MESSAGE.dump_json(message)
    if len(payload) < record_bytes:
        return [_WHOLE + payload]
    room = record_bytes - len(_FRAGMENT) - _HEADER.size
    chunks = [payload[at : at + room] for at in range(0, len(payload), room)]
    message_id = uuid.uuid4().bytes
    return [
        _FRAGMENT + _HEADER.pack(message_id, index, len(chunks)) + chunk
        for index, chunk in enumerate(chunks)
    ]


def packed(records: list[bytes], call_bytes: int) -> Iterator[list[bytes]]:
    """Yield ``records`` in calls of at most ``call_bytes`` each."""
    call: list[bytes] = []
    size = 0
    for record in records:
        if call and size + len(record) > call_bytes:
            yield call
            call, size = [], 0
        call.append(record)
        size += len(record)
    if call:
        yield call


class Decoder:
    """Puts messages together from the records of the log, in their order."""

    def __init__(self) -> None:
        self._chunks_by_message: dict[bytes, dict[int, bytes]] = {}

    def decode(self, record: bytes) -> Message | None:
        """Return the message that ``record`` completes; None if it completes none.

        :raises RecordInvalidError: the record is malformed.
        """
        if record[:1] == _WHOLE:
            return _parse(record[1:])
        if record[:1] != _FRAGMENT or len(record) < 1 + _HEADER.size:
            raise RecordInvalidError("the record is neither a message nor a fragment")
        message_id, index, count = _HEADER.unpack_from(record, 1)
        chunks = self._chunks_by_message.setdefault(message_id, {})
        chunks[index] = record[1 + _HEADER.size :]
        if len(chunks) < count:
            self._forget_oldest()
            return None
        del self._chunks_by_message[message_id]
        return _parse(b"".join(chunks[at] for at in sorted(chunks)))

    def _forget_oldest(self) -> None:
        while len(self._chunks_by_message) > _MAX_PARTIAL:
            del self._chunks_by_message[next(iter(self._chunks_by_message))]


def _parse(payload: bytes) -> Message:
    try:
        return _MESSAGE.validate_json(payload)
    except ValidationError as error:
        raise RecordInvalidError(f"the message is malformed: {error}") from None
