"""The records of duty calls in the store, and the state that follows from them."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Annotated, Any, Literal

from pydantic import Field, TypeAdapter, ValidationError

from ..exceptions import RecordInvalidError
from .duty import Duty, DutyCall

TOPIC = "duty-records"


@dataclass(frozen=True, slots=True)
class CallRecord:
    """A call that ``host`` decided on under the fencing token ``fence``."""

    duty: str
    subject: str
    number: int
    content: dict[str, Any]
    host: str = ""
    fence: int = -1
    kind: Literal["call"] = "call"


@dataclass(frozen=True, slots=True)
class AnswerRecord:
    """The answer to a recorded call, which is not sent again."""

    duty: str
    subject: str
    number: int
    accepted: bool
    kind: Literal["answer"] = "answer"


DutyRecord = CallRecord | AnswerRecord
_ADAPTER: TypeAdapter[DutyRecord] = TypeAdapter(
    Annotated[DutyRecord, Field(discriminator="kind")]
)


def encode(record: DutyRecord) -> bytes:
    """Return the bytes of a record."""
    return _ADAPTER.dump_json(record)


def decode(raw: bytes) -> DutyRecord:
    """Return the record in ``raw``.

    :raises RecordInvalidError: it is malformed.
    """
    try:
        return _ADAPTER.validate_json(raw)
    except ValidationError as error:
        raise RecordInvalidError(str(error)) from None


@dataclass(slots=True)
class _Unanswered:
    call: DutyCall
    offset: int
    retry_at: float = field(default=float("-inf"))


class DutyLedger:
    """The calls that were recorded, and those of them that have no answer yet.

    It follows from the records alone, so all hosts that read them have the same one.
    """

    def __init__(self, duties: tuple[Duty, ...]) -> None:
        self._duty_by_name = {duty.name: duty for duty in duties}
        # In the order of the records.
        self._unanswered: dict[tuple[str, str, int], _Unanswered] = {}
        self._last_call_by_subject: dict[tuple[str, str], CallRecord] = {}
        # The answer to the last call of a subject, if there is one.
        self._last_answer_by_subject: dict[tuple[str, str], AnswerRecord] = {}
        self._last_offset_by_subject: dict[tuple[str, str], int] = {}
        self._next_offset = 0

    def apply(self, offset: int, raw: bytes) -> None:
        """Apply one record of the topic.

        :raises RecordInvalidError: the record is malformed; it counts as read.
        """
        if offset > self._next_offset:
            # Records were trimmed unread, which a holder does only to answered calls.
            self._unanswered.clear()
        self._next_offset = offset + 1
        record = decode(raw)
        if isinstance(record, AnswerRecord):
            self._apply_answer(record)
        else:
            self._apply_call(offset, record)

    def _apply_call(self, offset: int, record: CallRecord) -> None:
        subject = (record.duty, record.subject)
        last = self._last_call_by_subject.get(subject)
        if last is not None and record.number <= last.number:
            # Two holders recorded the call; the first record is authoritative.
            if record == last:
                self._apply_copy(offset, record)
            return
        self._last_call_by_subject[subject] = record
        self._last_answer_by_subject.pop(subject, None)
        self._last_offset_by_subject[subject] = offset
        call = _call_of(record)
        self._unanswered[_key(call)] = _Unanswered(call, offset)
        duty = self._duty_by_name.get(record.duty)
        if duty is not None:
            duty.apply_record(call)

    def _apply_copy(self, offset: int, record: CallRecord) -> None:
        subject = (record.duty, record.subject)
        self._last_offset_by_subject[subject] = offset
        if subject not in self._last_answer_by_subject:
            # The answer was trimmed unread; its copy follows.
            call = _call_of(record)
            self._unanswered.setdefault(_key(call), _Unanswered(call, offset))

    def _apply_answer(self, record: AnswerRecord) -> None:
        key = (record.duty, record.subject, record.number)
        unanswered = self._unanswered.pop(key, None)
        last = self._last_call_by_subject.get(key[:2])
        if last is not None and last.number == record.number:
            self._last_answer_by_subject.setdefault(key[:2], record)
        duty = self._duty_by_name.get(record.duty)
        if unanswered is not None and duty is not None:
            duty.apply_answer(unanswered.call, record.accepted)

    def record_answer(self, call: DutyCall, accepted: bool) -> AnswerRecord:
        """Take note of an answer before the store has it; return its record."""
        record = AnswerRecord(call.duty, call.subject, call.number, accepted)
        self._apply_answer(record)
        return record

    def retry(self, call: DutyCall, at: float) -> None:
        """Do not return the call from :meth:`next_to_send` before ``at``."""
        unanswered = self._unanswered.get(_key(call))
        if unanswered is not None:
            unanswered.retry_at = at

    def next_to_send(self, now: float) -> DutyCall | None:
        """Return the call that has waited longest, of the first call of each subject.

        :param now: on the same clock as :meth:`retry`.
        """
        first_by_subject: dict[tuple[str, str], _Unanswered] = {}
        for unanswered in self._unanswered.values():
            call = unanswered.call
            if call.duty in self._duty_by_name:
                first_by_subject.setdefault((call.duty, call.subject), unanswered)
        ready = [each for each in first_by_subject.values() if each.retry_at <= now]
        if not ready:
            return None
        return min(ready, key=lambda each: (each.retry_at, each.offset)).call

    def unanswered_calls(self) -> list[DutyCall]:
        """Return the calls without an answer, in the order of their records."""
        return [each.call for each in self._unanswered.values()]

    def copies(self, before: int) -> list[DutyRecord]:
        """Return the answered last calls recorded before an offset, with answers.

        Appended anew, they let the records after the old ones be trimmed.
        """
        records: list[DutyRecord] = []
        for subject, offset in self._last_offset_by_subject.items():
            answer = self._last_answer_by_subject.get(subject)
            if offset < before and answer is not None:
                records += [self._last_call_by_subject[subject], answer]
        return records

    def trimmable_before(self) -> int:
        """Return the offset before which no record is needed any more.

        The last call of each subject is kept, because a new holder goes on from it.
        """
        offsets = list(self._last_offset_by_subject.values())
        offsets += [each.offset for each in self._unanswered.values()]
        return min(offsets, default=0)


def _key(call: DutyCall) -> tuple[str, str, int]:
    return call.duty, call.subject, call.number


def _call_of(record: CallRecord) -> DutyCall:
    return DutyCall(record.duty, record.subject, record.number, record.content)
