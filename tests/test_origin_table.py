"""The memory of where streams began."""

import unittest
from unittest.mock import patch

from cranberryrun.fleet.origin import Origin
from cranberryrun.requests import origin_table
from cranberryrun.requests.origin_table import OriginTable, stream_key

OLD, NEW = Origin("lm", "v1"), Origin("lm", "v2")


class OriginTableTest(unittest.TestCase):
    def test_repeat_of_a_record_changes_nothing(self):
        table = OriginTable()
        for _ in range(2):
            table.record(stream_key("s1"), OLD)
        self.assertEqual(table.get(stream_key("s1")), OLD)
        self.assertIsNone(table.get(stream_key("s2")))

    def test_id_with_two_origins_has_none(self):
        table = OriginTable()
        for origin in (OLD, NEW, OLD):
            table.record(1, origin)
        self.assertIsNone(table.get(1))

    def test_oldest_streams_are_forgotten_when_there_are_too_many(self):
        table = OriginTable()
        with patch.object(origin_table, "_MAX_STREAMS", 3):
            for key in range(5):
                table.record(key, OLD)
        self.assertEqual(len(table), 3)
        self.assertIsNone(table.get(1))
        self.assertEqual(table.get(4), OLD)
