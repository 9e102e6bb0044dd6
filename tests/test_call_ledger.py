"""Tests of the ledger: the order of records decides which intent may be run."""

import itertools
import unittest

from hypothesis import given, settings, strategies

from cranberryrun.call_ledger import (
    AnswerRecord,
    CallLedger,
    IntentRecord,
    LostRecord,
    OutcomeRecord,
    ReleaseRecord,
)
from cranberryrun.log import Record
from cranberryrun.models import Model

WINDOW = 100.0
RETENTION = WINDOW / 0.75
ANSWER = AnswerRecord(status=200, headers=[("A", "b")], body="b2s=")


def intent(name: str, key: str = "k", digest: str = "d") -> IntentRecord:
    """Return an intent record with the id ``name``."""
    return IntentRecord(key=key, id=name, digest=digest)


class LedgerTests(unittest.TestCase):
    """The effect of each kind of record."""

    def setUp(self) -> None:
        self.ledger = CallLedger(WINDOW, RETENTION)
        self.offsets = itertools.count()

    def _apply(self, record: Model | object, time: float = 0.0) -> None:
        value = record.model_dump(mode="json") if isinstance(record, Model) else record
        self.ledger.apply(Record(next(self.offsets), time, value))

    def _holder(self, key: str = "k") -> str | None:
        entry = self.ledger.by_key.get(key)
        return None if entry is None else entry.holder

    def test_first_intent_holds_the_key(self) -> None:
        self._apply(intent("a"))
        self._apply(intent("b"))
        self.assertEqual(self._holder(), "a")

    def test_only_the_first_outcome_of_the_holder_is_applied(self) -> None:
        self._apply(intent("a"))
        self._apply(OutcomeRecord(key="k", id="b", answer=ANSWER))
        self.assertFalse(self.ledger.by_key["k"].is_finished)
        self._apply(OutcomeRecord(key="k", id="a", answer=ANSWER))
        self._apply(OutcomeRecord(key="k", id="a", answer=ANSWER))
        self.assertEqual(self.ledger.by_key["k"].outcome_offset, 2)
        self.assertEqual(self.ledger.cached_answer(2), ANSWER)
        self.assertIsNone(self.ledger.cached_answer(3))

    def test_key_is_freed_only_by_a_release_of_its_unfinished_holder(self) -> None:
        self._apply(intent("a"))
        self._apply(ReleaseRecord(key="k", id="b"))
        self.assertEqual(self._holder(), "a")
        self._apply(ReleaseRecord(key="k", id="a"))
        self.assertIsNone(self._holder())
        self._apply(intent("b", digest="e"))
        self._apply(ReleaseRecord(key="k", id="a"))
        self.assertEqual(self._holder(), "b")
        self.assertEqual(self.ledger.by_key["k"].digest, "e")
        self._apply(LostRecord(key="k", id="b"))
        self._apply(ReleaseRecord(key="k", id="b"))
        self.assertEqual(self._holder(), "b")
        self.assertTrue(self.ledger.by_key["k"].is_finished)

    def test_outcome_is_applied_after_a_lost_record(self) -> None:
        self._apply(intent("a"))
        self._apply(LostRecord(key="k", id="a"))
        self._apply(OutcomeRecord(key="k", id="a", answer=ANSWER))
        self.assertEqual(self.ledger.by_key["k"].outcome_offset, 2)

    def test_keys_expire_after_the_window_by_log_time(self) -> None:
        self._apply(intent("a"), 0)
        self._apply(intent("b"), WINDOW)
        self.assertEqual(self._holder(), "a")
        self._apply(intent("c"), 2 * WINDOW + 1)
        self.assertEqual(self._holder(), "c")
        self._apply(intent("d", "third"), 4 * WINDOW)
        self.assertEqual(list(self.ledger.by_key), ["third"])

    def test_key_does_not_expire_while_it_is_repeated(self) -> None:
        for n in range(10):
            self._apply(intent(f"i{n}"), n * 0.4 * WINDOW)
            self.assertEqual(self._holder(), "i0")

    def test_invalid_records_are_ignored(self) -> None:
        self._apply(intent("a"))
        for value in (None, 3, {"record": "intent"}, {"record": "x", "key": "k"}):
            self._apply(value)
        self.assertEqual((self._holder(), self.ledger.offset), ("a", 4))

    def test_record_is_applied_once(self) -> None:
        record = Record(0, 0.0, intent("a").model_dump())
        self.assertIsNotNone(self.ledger.apply(record))
        self.assertIsNone(self.ledger.apply(record))
        self.ledger.skip_to(9)
        self.assertIsNone(self.ledger.apply(Record(9, 0.0, intent("b").model_dump())))

    def test_answer_cache_is_bounded(self) -> None:
        large = AnswerRecord(status=200, headers=[], body="x" * 1024 * 1024)
        for n in range(8):
            self._apply(intent(f"i{n}", f"k{n}"))
            self._apply(OutcomeRecord(key=f"k{n}", id=f"i{n}", answer=large))
        self.assertIsNone(self.ledger.cached_answer(1))
        self.assertEqual(self.ledger.cached_answer(15), large)


_KINDS = (None, None, None, ReleaseRecord, LostRecord)
_INTERVALS = (0.0, 1.0, 40.0, 60.0, WINDOW, WINDOW + 1, 3 * WINDOW)


class LedgerOrderTests(unittest.TestCase):
    """Within a window at most one intent of a key is run, whichever reader decides."""

    @given(
        strategies.lists(
            strategies.tuples(
                strategies.sampled_from(_INTERVALS),
                strategies.sampled_from(_KINDS),
                strategies.integers(0, 39),
            ),
            min_size=4,
            max_size=40,
        )
    )
    @settings(derandomize=True, deadline=None, max_examples=150)
    def test_key_is_run_again_only_after_a_window_without_intents(
        self, rows: list[tuple[float, type[Model] | None, int]]
    ) -> None:
        records = _records(rows)
        released = {
            record.value["id"]
            for record in records
            if record.value["record"] == "release"
        }
        longest_interval = float("inf")
        last_intent = 0.0
        for record in records:
            if record.value["record"] != "intent":
                continue
            name = record.value["id"]
            longest_interval = max(longest_interval, record.time - last_intent)
            last_intent = record.time
            if _is_run(records, record) and name not in released:
                self.assertGreaterEqual(longest_interval, WINDOW, name)
                longest_interval = 0.0

    def test_release_of_a_repeat_frees_no_key_for_a_late_reader(self) -> None:
        rows = [(40.0, None, 0)] * 6 + [(0.0, ReleaseRecord, 3), (40.0, None, 0)]
        records = _records(rows)
        self.assertTrue(_is_run(records, records[0]))
        self.assertFalse(_is_run(records, records[-1]))


def _records(rows: list[tuple[float, type[Model] | None, int]]) -> list[Record]:
    """Return the intents i0, i1, ... and final records of earlier intents."""
    time = 0.0
    records: list[Record] = []
    for n, (interval, end, which) in enumerate(rows):
        time += interval
        record = (
            intent(f"i{n}") if end is None else end(key="k", id=f"i{which % (n + 1)}")
        )
        records.append(Record(n, time, record.model_dump(mode="json")))
    return records


def _is_run(records: list[Record], own: Record) -> bool:
    """Return whether a reader of the retained records up to ``own`` would run it."""
    ledger = CallLedger(WINDOW, RETENTION)
    retained = [
        record
        for record in records[: own.offset + 1]
        if record.time >= own.time - RETENTION
    ]
    if retained[0].offset:
        ledger.mark_gap(own.time)
    for record in retained:
        ledger.apply(record)
    return ledger.by_key["k"].holder == own.value["id"]
