"""Tests of the decisions about targets that name a limit."""

import unittest

from hypothesis import given, settings, strategies as st

from cranberryrun.fleet.rate_limits import NamedLimits, TokenBucket


def sent_times(limits, seconds, share=1.0, background=False, step=0.01):
    """Take a permit whenever there is one; return the times."""
    times = []
    for number in range(int(seconds / step)):
        now = number * step
        while limits.take("t", now, share, background):
            times.append(now)
    return times


class TokenBucketTest(unittest.TestCase):
    def test_clock_that_runs_backwards_changes_nothing(self):
        bucket = TokenBucket(1.0, 2.0, 0.0, 10.0)
        self.assertEqual(bucket.level(11.0), 1.0)
        self.assertEqual(bucket.level(5.0), 1.0)
        self.assertEqual(bucket.level(11.0), 1.0)

    def test_long_pause_fills_it_only_to_its_burst(self):
        bucket = TokenBucket(5.0, 2.0, 0.0, 0.0)
        self.assertEqual(bucket.level(3600.0), 2.0)


class NamedLimitsTest(unittest.TestCase):
    def named(self, rate):
        limits = NamedLimits()
        limits.record_named("t", rate, 0.0, 0.0)
        return limits

    @settings(derandomize=True, deadline=None)
    @given(rate=st.floats(0, 50), start=st.floats(0, 16), share=st.floats(0.1, 1))
    def test_no_window_of_4_seconds_exceeds_the_rule(self, rate, start, share):
        times = sent_times(self.named(rate), 20.0, share, step=0.05)
        count = sum(start <= time < start + 4.0 for time in times)
        self.assertLessEqual(count, 1.5 * rate * 4.0 + 5)

    def test_whole_limit_is_used(self):
        self.assertGreaterEqual(len(sent_times(self.named(3.0), 20.0)), 58)

    def test_starts_without_tokens(self):
        """A host that takes over must not add to what was sent before."""
        self.assertFalse(self.named(100.0).take("t", 0.0, 1.0))

    def test_target_without_limit_takes_all(self):
        limits = NamedLimits()
        self.assertIsNone(limits.available("t", 0.0, 1.0))
        self.assertTrue(all(limits.take("t", 0.0, 1.0) for _ in range(100)))

    def test_target_that_takes_nothing_is_still_asked_now_and_then(self):
        self.assertEqual(len(sent_times(self.named(0.0), 20.0)), 4)

    def test_background_work_leaves_a_token_to_callers(self):
        limits = self.named(1.0)
        self.assertFalse(limits.take("t", 0.1, 1.0))
        self.assertEqual(limits.available("t", 1.5, 1.0), 0)
        self.assertFalse(limits.take("t", 1.5, 1.0, background=True))
        self.assertTrue(limits.take("t", 1.5, 1.0))

    def test_background_work_has_all_while_no_caller_asks(self):
        self.assertEqual(len(sent_times(self.named(1.0), 10.0, background=True)), 9)

    def test_answer_to_a_later_request_ends_the_limit(self):
        limits = self.named(1.0)
        limits.record_named("t", 1.0, 5.0, 5.0)
        self.assertFalse(limits.record_unnamed("t", 4.0, 6.0))
        self.assertEqual(limits.rate("t"), 1.0)
        self.assertTrue(limits.record_unnamed("t", 5.5, 6.0))
        self.assertIsNone(limits.rate("t"))

    def test_older_information_does_not_bring_an_ended_limit_back(self):
        limits = self.named(1.0)
        limits.record_unnamed("t", 1.0, 2.0)
        self.assertFalse(limits.record_named("t", 1.0, 1.5, 2.5))
        self.assertTrue(limits.record_named("t", 1.0, 3.0, 3.0))

    def test_new_rate_applies_from_then_on(self):
        limits = self.named(1.0)
        self.assertTrue(limits.record_named("t", 10.0, 1.0, 1.0))
        self.assertFalse(limits.record_named("t", 2.0, 0.5, 1.0))
        self.assertAlmostEqual(limits.seconds_until_token("t", 1.0, 1.0), 0.0)
        self.assertEqual(limits.available("t", 2.0, 1.0), 5)

    def test_memory_is_bounded(self):
        limits = NamedLimits()
        for number in range(5000):
            limits.record_named(f"t{number}", 1.0, 0.0, 0.0)
            limits.end(f"t{number - 1}", 0.0)
        self.assertLessEqual(len(limits.rate_by_target()), 1024)
        limits.forget_all_but({"t4999"})
        self.assertEqual(limits.rate_by_target(), {"t4999": 1.0})
