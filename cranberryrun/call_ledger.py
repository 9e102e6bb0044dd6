"""The state of a partition's idempotency keys, derived from its records in the log."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from typing import Annotated, Literal

from pydantic import Field, TypeAdapter, ValidationError

from .log import Record
from .models import Model

_MAX_CACHED_CHARACTERS = 4 * 1024 * 1024


class AnswerRecord(Model):
    """A recorded answer. ``body`` is base64, or None if it was too large to record."""

    status: int
    headers: list[tuple[str, str]]
    body: str | None = None


class IntentRecord(Model):
    """Requests the right to run the call of ``key``."""

    record: Literal["intent"] = "intent"
    key: str
    id: str
    digest: str


class OutcomeRecord(Model):
    """The call of the intent ``id`` was run and answered."""

    record: Literal["outcome"] = "outcome"
    key: str
    id: str
    answer: AnswerRecord


class LostRecord(Model):
    """The call of the intent ``id`` may have been run; its answer is lost."""

    record: Literal["lost"] = "lost"
    key: str
    id: str


class ReleaseRecord(Model):
    """The call of the intent ``id`` was not run, and will not be."""

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
    """The state of one key. ``holder`` is the intent that may run, if any.

    ``last_intent_time`` is the log's time of the newest intent, in seconds.
    ``outcome_offset`` is the offset of the outcome record; ``lost`` is true after a
    lost record. ``holder_uncertain`` is true if the log has dropped records that may
    hold an earlier intent, which would be the holder.
    """

    holder: str | None
    digest: str
    last_intent_time: float
    outcome_offset: int | None = None
    lost: bool = False
    holder_uncertain: bool = False

    @property
    def is_finished(self) -> bool:
        """Whether the holder's call has an outcome record or a lost record."""
        return self.outcome_offset is not None or self.lost


def parse_record(value: object) -> CallRecord | None:
    """Return ``value`` as a record, or None if it is not a valid one."""
    try:
        return _CALL_RECORD.validate_python(value)
    except ValidationError:
        return None


class CallLedger:
    """Tracks the holder of each key: its first intent that was not released.

    Every reader of the stream derives the same holder, since only the records
    and the log's timestamps decide. A key is forgotten ``window`` seconds after
    its last intent.

    :param window: in seconds; shorter than ``retention``.
    :param retention: how long the log keeps records, in seconds.
    """

    def __init__(self, window: float, retention: float) -> None:
        self._window = window
        self._retention = retention
        self._uncertain_until = float("-inf")
        self._newest_time = 0.0
        self._cached_characters = 0
        self._answer_by_offset: OrderedDict[int, AnswerRecord] = OrderedDict()
        self.offset = -1
        self.by_key: dict[str, KeyEntry] = {}

    def mark_gap(self, read_at: float) -> None:
        """Record that the log dropped the records before the next one.

        The dropped records may hold earlier intents of a key, so the first intent
        that is read of the key may be only a repeat. If it was recorded within a
        window of the dropped records, the key is therefore not freed by a release,
        but only by a window without intents. Half of the time by which the retention
        exceeds the window is added as a margin for clock skew.

        :param read_at: when the log was read, in seconds since 1970 (Unix time).
        """
        slack = (self._retention - self._window) / 2
        self._uncertain_until = read_at - self._retention + self._window + slack

    def skip_to(self, offset: int) -> None:
        """Record that the log has no records up to ``offset``."""
        self.offset = max(self.offset, offset)

    def apply(self, record: Record) -> CallRecord | None:
        """Apply ``record`` and return it parsed; None if invalid or applied before."""
        if record.offset <= self.offset:
            return None
        self.offset = record.offset
        self._newest_time = max(self._newest_time, record.time)
        self._expire_keys()
        parsed = parse_record(record.value)
        if isinstance(parsed, IntentRecord):
            self._apply_intent(parsed)
        elif parsed is not None:
            self._apply_final_record(parsed)
        return parsed

    def _expire_keys(self) -> None:
        oldest = self._newest_time - self._window
        while self.by_key:
            key = next(iter(self.by_key))
            if self.by_key[key].last_intent_time >= oldest:
                return
            del self.by_key[key]

    def _apply_intent(self, record: IntentRecord) -> None:
        # Reinserted below at the end: expiry relies on the order by newest intent.
        entry = self.by_key.pop(record.key, None)
        if entry is None or entry.holder is None:
            holder_uncertain = self._newest_time < self._uncertain_until
            entry = KeyEntry(
                record.id,
                record.digest,
                self._newest_time,
                holder_uncertain=holder_uncertain,
            )
        # A repeat extends the entry. If only the holder's age counted, a reader that
        # started later would take the repeat for the first intent and run it again.
        entry.last_intent_time = self._newest_time
        self.by_key[record.key] = entry

    def _apply_final_record(
        self, record: OutcomeRecord | LostRecord | ReleaseRecord
    ) -> None:
        entry = self.by_key.get(record.key)
        if entry is None or entry.outcome_offset is not None:
            return
        if entry.holder != record.id and not entry.holder_uncertain:
            return
        if isinstance(record, OutcomeRecord):
            entry.outcome_offset = self.offset
            self._cache(record.answer)
        elif isinstance(record, LostRecord):
            entry.lost = True
        elif not entry.lost and not entry.holder_uncertain:
            entry.holder = None

    def _cache(self, answer: AnswerRecord) -> None:
        self._answer_by_offset[self.offset] = answer
        self._cached_characters += len(answer.body or "")
        while self._cached_characters > _MAX_CACHED_CHARACTERS:
            _, oldest = self._answer_by_offset.popitem(last=False)
            self._cached_characters -= len(oldest.body or "")

    def cached_answer(self, offset: int) -> AnswerRecord | None:
        """Return the answer recorded at ``offset`` if it is still cached."""
        return self._answer_by_offset.get(offset)
