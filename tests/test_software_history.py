"""Decisions on which software versions may have begun a stream."""

import unittest

from cranberryrun.exceptions import RecordInvalidError
from cranberryrun.fleet.origin import Origin
from cranberryrun.requests.software_versions import (
    SoftwareVersions,
    VersionRecord,
    decode_record,
    encode_record,
)

OLD, NEW = Origin("lm", "v1"), Origin("lm", "v1.1")


class SoftwareVersionsTest(unittest.TestCase):
    """Guards against ORDER: a version that has just left is taken for never there."""

    def setUp(self):
        self.versions = SoftwareVersions()
        self.serve({OLD}, now=100.0)

    def serve(self, serving, now):
        changes = self.versions.changes(serving, now)
        for record in changes:
            self.versions.apply(decode_record(encode_record(record)))
        return changes

    def test_single_version_is_the_only_possible_one(self):
        self.assertEqual(self.versions.possible("lm", 200.0), {OLD})
        self.assertEqual(self.versions.possible("other", 200.0), set())

    def test_nothing_is_written_while_nothing_changes(self):
        self.assertEqual(self.serve({OLD}, now=101.0), [])

    def test_version_that_left_is_possible_for_a_while(self):
        self.serve({OLD, NEW}, now=110.0)
        self.serve({NEW}, now=120.0)
        self.assertEqual(self.versions.possible("lm", 150.0), {OLD, NEW})
        self.assertEqual(self.versions.possible("lm", 181.0), {NEW})

    def test_version_that_left_while_no_host_ran_is_possible(self):
        self.assertEqual(self.versions.possible("lm", 500.0), {OLD})
        self.serve({NEW}, now=500.0)
        self.assertEqual(self.versions.possible("lm", 501.0), {OLD, NEW})

    def test_version_that_returns_serves_again(self):
        self.serve({NEW}, now=110.0)
        self.assertEqual(self.serve({NEW, OLD}, now=120.0), [VersionRecord("lm", "v1")])
        self.assertEqual(self.versions.possible("lm", 900.0), {OLD, NEW})

    def test_malformed_record_is_an_error(self):
        for value in (b"", b"[]", b'{"service": 1}', b"\xff"):
            with self.assertRaises(RecordInvalidError):
                decode_record(value)
