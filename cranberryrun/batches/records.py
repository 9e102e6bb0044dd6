"""The messages about batches and their encoding as records of the store.

A message is JSON. A message above the store's record limit is split into fragments and
takes effect with its last fragment. Messages are idempotent, so an append with an
unknown outcome is repeated.
"""

from __future__ import annotations

import struct
import uuid
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Annotated, Literal

from pydantic import Field, TypeAdapter, ValidationError

from ..exceptions import RecordInvalidError
from ..fleet.origin import Origin
from ..fleet.speed_record import SpeedRecord
from .models import Batch, Result

_COMPLETE_MARK = b"w"
_FRAGMENT_MARK = b"f"
_HEADER = struct.Struct(">16sHH")
# If a writer crashes, its message stays incomplete. The decoder keeps at most this
# many incomplete messages and drops the oldest.
_MAX_INCOMPLETE_MESSAGES = 64


@dataclass(frozen=True, slots=True)
class Accepted:
    """A batch was accepted. Only the first record of a batch id takes effect."""

    batch: Batch
    kind: Literal["accepted"] = "accepted"


@dataclass(frozen=True, slots=True)
class Listed:
    """Results of a batch. Only the first result of an item takes effect."""

    batch: str
    results: list[Result]
    kind: Literal["listed"] = "listed"


@dataclass(frozen=True, slots=True)
class Kept:
    """A batch with all results that precede this record in its topic.

    Written again at times while the batch is open, as the store deletes old records.
    ``recorded_at`` is in seconds since 1970.
    """

    batch: Batch
    results: list[Result]
    recorded_at: float
    kind: Literal["kept"] = "kept"


@dataclass(frozen=True, slots=True)
class Progressed:
    """The pieces of a running item from position ``start`` on, with their versions.

    ``text`` is the id of the output that the pieces belong to. Pieces are only ever
    appended to an output. When an item is restarted or another holder resumes it, a
    new output begins, which is recorded from position 0 on. ``complete`` marks the
    last pieces of an output, which then lacks only its score. ``origin`` is None in
    records of hosts that did not know it. ``workspace`` is that of the batch. Some
    records also have the ``speeds`` of all engines.
    """

    batch: str
    item: str
    text: str
    start: int
    texts: list[str]
    versions: list[int]
    complete: bool = False
    origin: Origin | None = None
    workspace: str | None = None
    speeds: SpeedRecord | None = None
    kind: Literal["progressed"] = "progressed"


@dataclass(frozen=True, slots=True)
class Opened:
    """An accepted batch was opened, or is still open.

    The batch was submitted at ``submitted_at`` and still open at ``recorded_at``, in
    seconds since 1970. The first record of a batch has no ``recorded_at``.
    """

    batch: str
    submitted_at: float
    recorded_at: float | None = None
    kind: Literal["opened"] = "opened"


@dataclass(frozen=True, slots=True)
class Ended:
    """The trainer ended the batch at ``ended_at``, in seconds since 1970.

    Records of hosts that did not state it have no time.
    """

    batch: str
    ended_at: float | None = None
    kind: Literal["ended"] = "ended"


Message = Accepted | Kept | Listed | Progressed | Opened | Ended
_MESSAGE_ADAPTER: TypeAdapter[Message] = TypeAdapter(
    Annotated[Message, Field(discriminator="kind")]
)


def encode(message: Message, record_bytes: int) -> list[bytes]:
    """Return ``message`` as records of at most ``record_bytes`` bytes."""
    payload = _MESSAGE_ADAPTER.dump_json(message)
    if len(payload) < record_bytes:
        return [_COMPLETE_MARK + payload]
    chunk_bytes = record_bytes - len(_FRAGMENT_MARK) - _HEADER.size
    chunks = [
        payload[position : position + chunk_bytes]
        for position in range(0, len(payload), chunk_bytes)
    ]
    message_id = uuid.uuid4().bytes
    return [
        _FRAGMENT_MARK + _HEADER.pack(message_id, index, len(chunks)) + chunk
        for index, chunk in enumerate(chunks)
    ]


def pack_records(records: list[bytes], call_bytes: int) -> Iterator[list[bytes]]:
    """Yield ``records`` in lists of at most ``call_bytes`` bytes, one per append.

    A single record above the limit is a list of its own.
    """
    packed: list[bytes] = []
    size = 0
    for record in records:
        if packed and size + len(record) > call_bytes:
            yield packed
            packed, size = [], 0
        packed.append(record)
        size += len(record)
    if packed:
        yield packed


class Decoder:
    """Reassembles messages from the records of a topic, read in order."""

    def __init__(self) -> None:
        self._chunks_by_message: dict[bytes, dict[int, bytes]] = {}

    def decode(self, record: bytes) -> Message | None:
        """Return the message that ``record`` completes; None if fragments are missing.

        :raises RecordInvalidError: the record is malformed.
        """
        if record[:1] == _COMPLETE_MARK:
            return _parse(record[1:])
        if record[:1] != _FRAGMENT_MARK or len(record) < 1 + _HEADER.size:
            raise RecordInvalidError(
                "the record is neither a complete message nor a valid fragment"
            )
        message_id, index, count = _HEADER.unpack_from(record, 1)
        chunks = self._chunks_by_message.setdefault(message_id, {})
        chunks[index] = record[1 + _HEADER.size :]
        if len(chunks) < count:
            self._drop_oldest_incomplete()
            return None
        del self._chunks_by_message[message_id]
        return _parse(b"".join(chunks[position] for position in sorted(chunks)))

    def _drop_oldest_incomplete(self) -> None:
        while len(self._chunks_by_message) > _MAX_INCOMPLETE_MESSAGES:
            del self._chunks_by_message[next(iter(self._chunks_by_message))]


def _parse(payload: bytes) -> Message:
    try:
        return _MESSAGE_ADAPTER.validate_json(payload)
    except ValidationError as error:
        raise RecordInvalidError(f"the message is malformed: {error}") from None
