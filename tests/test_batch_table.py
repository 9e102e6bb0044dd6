"""The table of batches, whatever the order in which topics are read."""

import unittest

from cranberryrun.batches.models import Result
from cranberryrun.batches.records import Accepted, Ended, Listed, Opened, Progressed
from cranberryrun.batches.table import BatchTable
from fakes.deployment import batch

KEEP = 120.0
NOW = 1_000_000.0


def opened(value):
    return Opened(value.id, value.submitted_at)


class IndexTest(unittest.TestCase):
    def setUp(self):
        self.table = BatchTable(KEEP)
        self.batch = batch("b1", submitted_at=NOW)

    def open_ids(self):
        return [state.batch.id for state in self.table.open_states()]

    def test_a_batch_is_open_once_topic_and_index_have_it(self):
        self.table.apply(Accepted(self.batch))
        self.assertEqual(self.open_ids(), [])
        self.table.apply(opened(self.batch))
        self.assertEqual(self.open_ids(), ["b1"])

    def test_the_index_names_what_is_to_be_read(self):
        self.table.apply(opened(self.batch))
        self.assertEqual(self.table.unknown(), ["b1"])
        self.table.apply(Accepted(self.batch))
        self.assertEqual(self.table.unknown(), [])

    def test_an_ended_batch_stays_ended(self):
        for order in (
            (Accepted(self.batch), opened(self.batch), Ended("b1")),
            (opened(self.batch), Ended("b1"), Accepted(self.batch)),
            # An append whose answer was lost may be carried out late.
            (Accepted(self.batch), Ended("b1"), opened(self.batch)),
        ):
            with self.subTest(order=[each.kind for each in order]):
                table = BatchTable(KEEP)
                for message in order:
                    table.apply(message)
                self.assertEqual(table.open_states(), [])
                self.assertEqual(table.unknown(), [])

    def test_old_batches_are_forgotten(self):
        self.table.apply(Accepted(self.batch))
        self.table.apply(opened(self.batch))
        later = batch("b2", submitted_at=NOW + KEEP + 1)
        self.table.apply(Accepted(later))
        self.table.apply(opened(later))
        self.assertEqual(self.open_ids(), ["b2"])
        self.assertEqual(self.table.opened_since(0.0), ["b2"])


class CarriedTest(unittest.TestCase):
    """An item of an earlier batch comes again."""

    def setUp(self):
        self.first = batch("b1", submitted_at=NOW)
        self.second = batch("b2", submitted_at=NOW + 4, items=self.first.items)
        self.item = self.first.items[0]

    def test_topics_may_be_read_in_any_order(self):
        for order in ((self.first, self.second), (self.second, self.first)):
            table = BatchTable(KEEP)
            for value in order:
                table.apply(Accepted(value))
            with self.subTest(order=[value.id for value in order]):
                earlier = table.earlier_state(self.second, self.item)
                self.assertEqual(earlier.batch.id, "b1")
                self.assertIsNone(table.earlier_state(self.first, self.item))

    def test_progress_counts_from_a_gap_on_only_if_it_joins(self):
        table = BatchTable(KEEP)
        table.apply(Accepted(self.first))
        table.apply(Progressed("b1", self.item.id, 5, ["x"], [1]))
        self.assertEqual(table.pieces_by_item[self.item.id], [])
        table.apply(Progressed("b1", self.item.id, 0, ["a", "b"], [1, 1]))
        table.apply(Progressed("b1", self.item.id, 1, ["c"], [2]))
        texts = [piece.text for piece in table.pieces_by_item[self.item.id]]
        self.assertEqual(texts, ["a", "c"])

    def test_the_first_result_of_an_item_counts(self):
        table = BatchTable(KEEP)
        table.apply(Accepted(self.first))
        for text in ("first", "second"):
            table.apply(Listed("b1", [Result(self.item.id, True, text, (1,))]))
        (result,) = table.state_by_id["b1"].results
        self.assertEqual(result.text, "first")
