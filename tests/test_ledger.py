"""Tests of the ledger: the order of records decides who may run a keyed call."""

import itertools
import unittest

from hypothesis import given, settings, strategies

from cranberryrun.ledger import (
    AnswerRecord,
    IntentRecord,
    Ledger,
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
    """Return the intent ``name``."""
    return IntentRecord(key=key, id=name, digest=digest)


class LedgerTests(unittest.TestCase):
    """What each kind of record does."""

    def setUp(self) -> None:
        self.ledger = Ledger(WINDOW, RETENTION)
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

    def test_outcome_counts_only_of_the_holder_and_once(self) -> None:
        self._apply(intent("a"))
        self._apply(OutcomeRecord(key="k", id="b", answer=ANSWER))
        self.assertFalse(self.ledger.by_key["k"].is_finished)
        self._apply(OutcomeRecord(key="k", id="a", answer=ANSWER))
        self._apply(OutcomeRecord(key="k", id="a", answer=ANSWER))
        self.assertEqual(self.ledger.by_key["k"].outcome_offset, 2)
        self.assertEqual(self.ledger.cached_answer(2), ANSWER)
        self.assertIsNone(self.ledger.cached_answer(3))

    def test_release_frees_only_for_the_holder_and_never_after_an_end(self) -> None:
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

    def test_outcome_may_follow_a_loss(self) -> None:
        self._apply(intent("a"))
        self._apply(LostRecord(key="k", id="a"))
        self._apply(OutcomeRecord(key="k", id="a", answer=ANSWER))
        self.assertEqual(self.ledger.by_key["k"].outcome_offset, 2)

    def test_keys_are_forgotten_after_the_window_by_the_logs_time(self) -> None:
        self._apply(intent("a"), 0)
        self._apply(intent("b"), WINDOW)
        self.assertEqual(self._holder(), "a")
        self._apply(intent("c"), 2 * WINDOW + 1)
        self.assertEqual(self._holder(), "c")
        self._apply(intent("d", "third"), 4 * WINDOW)
        self.assertEqual(list(self.ledger.by_key), ["third"])

    def test_key_that_is_asked_for_again_and_again_is_not_forgotten(self) -> None:
        for n in range(10):
            self._apply(intent(f"i{n}"), n * 0.4 * WINDOW)
            self.assertEqual(self._holder(), "i0")

    def test_what_is_no_record_changes_nothing(self) -> None:
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

    def test_held_answers_are_bounded(self) -> None:
        large = AnswerRecord(status=200, headers=[], body="x" * 1024 * 1024)
        for n in range(8):
            self._apply(intent(f"i{n}", f"k{n}"))
            self._apply(OutcomeRecord(key=f"k{n}", id=f"i{n}", answer=large))
        self.assertIsNone(self.ledger.cached_answer(1))
        self.assertEqual(self.ledger.cached_answer(15), large)


_KINDS = (None, None, None, ReleaseRecord, LostRecord)
_STEPS = (0.0, 1.0, 40.0, 60.0, WINDOW, WINDOW + 1, 3 * WINDOW)


class LedgerOrderTests(unittest.TestCase):
    """Each intent's own reader decides; at most one is run, whenever it began."""

    @given(
        strategies.lists(
            strategies.tuples(
                strategies.sampled_from(_STEPS),
                strategies.sampled_from(_KINDS),
                strategies.integers(0, 39),
            ),
            min_size=4,
            max_size=40,
        )
    )
    @settings(derandomize=True, deadline=None, max_examples=150)
    def test_two_runs_of_a_key_are_a_window_without_it_apart(
        self, rows: list[tuple[float, type[Model] | None, int]]
    ) -> None:
        records = _records(rows)
        released = {
            record.value["id"]
            for record in records
            if record.value["record"] == "release"
        }
        widest = float("inf")
        last_intent = 0.0
        for record in records:
            if record.value["record"] != "intent":
                continue
            name = record.value["id"]
            widest = max(widest, record.time - last_intent)
            last_intent = record.time
            if _runs(records, record) and name not in released:
                self.assertGreaterEqual(widest, WINDOW, name)
                widest = 0.0

    def test_release_of_a_loser_frees_nothing_for_a_late_reader(self) -> None:
        rows = [(40.0, None, 0)] * 6 + [(0.0, ReleaseRecord, 3), (40.0, None, 0)]
        records = _records(rows)
        self.assertTrue(_runs(records, records[0]))
        self.assertFalse(_runs(records, records[-1]))


def _records(rows: list[tuple[float, type[Model] | None, int]]) -> list[Record]:
    """Return intents i0, i1, ..., and ends of earlier ones."""
    time = 0.0
    records: list[Record] = []
    for n, (step, end, which) in enumerate(rows):
        time += step
        record = (
            intent(f"i{n}") if end is None else end(key="k", id=f"i{which % (n + 1)}")
        )
        records.append(Record(n, time, record.model_dump(mode="json")))
    return records


def _runs(records: list[Record], own: Record) -> bool:
    """Say whether a reader of what is kept when ``own`` came would run it."""
    ledger = Ledger(WINDOW, RETENTION)
    kept = [
        record
        for record in records[: own.offset + 1]
        if record.time >= own.time - RETENTION
    ]
    if kept[0].offset:
        ledger.mark_gap(own.time)
    for record in kept:
        ledger.apply(record)
    return ledger.by_key["k"].holder == own.value["id"]
