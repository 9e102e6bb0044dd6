"""Tests of the decisions about requests under which targets ended."""

import unittest

from hypothesis import given, settings, strategies as st

from cranberryrun.requests.crash_records import CrashRecords


class CrashRecordsTest(unittest.TestCase):
    def crashed(self, *times):
        records = CrashRecords()
        for number, at in enumerate(times):
            records.record_crash("f", f"t{number}", at)
        return records

    def test_one_crash_changes_nothing_but_hedging(self):
        records = self.crashed(0.0)
        self.assertIsNone(records.decide("f", 0.0).trial)
        self.assertTrue(records.may_repeat("f"))
        self.assertIn("f", records)

    def test_second_crash_stops_the_request_until_a_trial_is_due(self):
        records = self.crashed(0.0, 1.0)
        self.assertFalse(records.may_repeat("f"))
        self.assertEqual(records.decide("f", 1.0).wait, 5.0)
        self.assertEqual(records.decide("f", 6.0).wait, 0.0)

    def test_same_process_counts_once_however_often_it_is_reported(self):
        records = CrashRecords()
        for _ in range(5):
            records.record_crash("f", "t0", 0.0)
        self.assertTrue(records.may_repeat("f"))

    def test_other_requests_are_not_concerned(self):
        records = self.crashed(0.0, 0.0, 0.0)
        self.assertIsNone(records.decide("other", 0.0).trial)

    def test_answer_frees_the_request(self):
        records = self.crashed(0.0, 0.0)
        records.clear("f")
        self.assertIsNone(records.decide("f", 0.0).trial)
        self.assertEqual(len(records), 0)

    def test_old_records_expire(self):
        records = self.crashed(0.0, 10.0)
        self.assertEqual(records.expired(3000.0), [])
        self.assertEqual(records.expired(3700.0), ["f"])

    def test_memory_is_bounded(self):
        records = CrashRecords()
        for number in range(2000):
            records.record_crash(f"f{number}", "t", 0.0)
            records.record_crash("same", f"t{number}", 0.0)
        self.assertLessEqual(len(records), 512)
        self.assertLessEqual(records.crash_count("same"), 16)

    @settings(derandomize=True, deadline=None)
    @given(st.lists(st.floats(0.001, 30.0), max_size=200))
    def test_at_most_three_sends_follow_the_third_crash(self, pauses):
        """Whatever the times of its repeats, if each send ends its target."""
        records, now, sends = CrashRecords(), 0.0, 0
        for pause in pauses:
            now += pause
            decision = records.decide("f", now)
            if decision.trial is not None:
                if decision.wait > 0:
                    continue
                records.record_trial("f", decision.trial, now)
            sends += 1
            records.record_crash("f", f"t{sends}", now)
        self.assertLessEqual(sends, 6)
