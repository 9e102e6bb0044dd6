"""Keyed calls of one partition, as the order of its records in the log decides."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from typing import Annotated, Literal

from pydantic import Field, TypeAdapter, ValidationError

from .log import Record
from .models import Model

_MAX_CACHED_CHARACTERS = 4 * 1024 * 1024


class AnswerRecord(Model):
    """A recorded answer. ``body`` is in base64, None if it was too large."""

    status: int
    headers: list[tuple[str, str]]
    body: str | None = None


class IntentRecord(Model):
    """Asks for the right to run the call of ``key``."""

    record: Literal["intent"] = "intent"
    key: str
    id: str
    digest: str


class OutcomeRecord(Model):
    """The intent ``id`` was run and answered."""

    record: Literal["outcome"] = "outcome"
    key: str
    id: str
    answer: AnswerRecord


class LostRecord(Model):
    """The intent ``id`` may have been run; its answer will never be known."""

    record: Literal["lost"] = "lost"
    key: str
    id: str


class ReleaseRecord(Model):
    """The intent ``id`` was certainly not run and never will be."""

    record: Literal["release"] = "release"
    key: str
    id: str


CallRecord = Annotated[
    IntentRecord | OutcomeRecord | LostRecord | ReleaseRecord,
    Field(discriminator="record"),
]
_CALL_RECORD: TypeAdapter[CallRecord] = TypeAdapter(CallRecord)


@dataclass(slots=True)
class KeyEntry:
    """What is known of one key. ``holder`` is the intent that may run, if any.

    ``since`` is the log's time of the newest intent. ``outcome_offset`` is
    where the outcome stands; ``lost`` says that there will be none. An entry is
    ``inherited`` if an earlier holder may have been in records no longer kept.
    """

    holder: str | None
    digest: str
    since: float
    outcome_offset: int | None = None
    lost: bool = False
    inherited: bool = False

    @property
    def settled(self) -> bool:
        """Whether nothing more will be known of the holder."""
        return self.outcome_offset is not None or self.lost


def parse(value: object) -> CallRecord | None:
    """Return a record of a known form, None for any other."""
    try:
        return _CALL_RECORD.validate_python(value)
    except ValidationError:
        return None


class Ledger:
    """The first intent of a key holds it until it is released or has an outcome.

    Every reader of the stream comes to the same holder, since only the records
    and the log's own times decide. A key is forgotten ``window`` seconds after
    its last intent.

    :param window: in seconds; shorter than ``retention``.
    :param retention: for how long the log keeps records, in seconds.
    """

    def __init__(self, window: float, retention: float) -> None:
        self._window = window
        self._retention = retention
        self._blind_until = float("-inf")
        self._newest = 0.0
        self._cached_characters = 0
        self._answer_by_offset: OrderedDict[int, AnswerRecord] = OrderedDict()
        self.offset = -1
        self.by_key: dict[str, KeyEntry] = {}

    def begin(self, read_at: float) -> None:
        """Note that records before the next one were dropped by the log.

        Intents of keys that were asked for then may be among them: such a key is
        not free again before it was left alone for a window. Half of what the
        log keeps beyond the window is left for clocks that differ.

        :param read_at: when the log was read, in seconds since 1970.
        """
        slack = (self._retention - self._window) / 2
        self._blind_until = read_at - self._retention + self._window + slack

    def skip_to(self, offset: int) -> None:
        """Note that there are no records up to ``offset`` any more."""
        self.offset = max(self.offset, offset)

    def apply(self, record: Record) -> CallRecord | None:
        """Apply ``record`` and return it; those of no known form change nothing."""
        if record.offset <= self.offset:
            return None
        self.offset = record.offset
        self._newest = max(self._newest, record.time)
        self._forget_old()
        parsed = parse(record.value)
        if isinstance(parsed, IntentRecord):
            self._take_intent(parsed)
        elif parsed is not None:
            self._take_end(parsed)
        return parsed

    def _forget_old(self) -> None:
        oldest = self._newest - self._window
        while self.by_key:
            key = next(iter(self.by_key))
            if self.by_key[key].since >= oldest:
                return
            del self.by_key[key]

    def _take_intent(self, record: IntentRecord) -> None:
        # The newest intents stand last, so the old ones are found first.
        entry = self.by_key.pop(record.key, None)
        if entry is None or entry.holder is None:
            inherited = self._newest < self._blind_until
            entry = KeyEntry(
                record.id, record.digest, self._newest, inherited=inherited
            )
        # A repeat keeps the key: a reader that began later must not take it for
        # the first, which it would if only the holder's age counted.
        entry.since = self._newest
        self.by_key[record.key] = entry

    def _take_end(self, record: OutcomeRecord | LostRecord | ReleaseRecord) -> None:
        entry = self.by_key.get(record.key)
        if entry is None or entry.outcome_offset is not None:
            return
        if entry.holder != record.id and not entry.inherited:
            return
        if isinstance(record, OutcomeRecord):
            entry.outcome_offset = self.offset
            self._cache(record.answer)
        elif isinstance(record, LostRecord):
            entry.lost = True
        elif not entry.lost and not entry.inherited:
            entry.holder = None

    def _cache(self, answer: AnswerRecord) -> None:
        self._answer_by_offset[self.offset] = answer
        self._cached_characters += len(answer.body or "")
        while self._cached_characters > _MAX_CACHED_CHARACTERS:
            _, oldest = self._answer_by_offset.popitem(last=False)
            self._cached_characters -= len(oldest.body or "")

    def cached(self, offset: int) -> AnswerRecord | None:
        """Return the answer recorded at ``offset`` if it is still held here."""
        return self._answer_by_offset.get(offset)
