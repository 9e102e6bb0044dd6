"""Tests of the freshness policies."""

import unittest

from cranberryrun.freshness import AtDispatch, AtHandOver, SampleAge


class FreshnessTest(unittest.TestCase):
    def test_at_hand_over_uses_the_newest_version_known_now(self):
        policy = AtHandOver()
        self.assertFalse(policy.is_stale(SampleAge(5, 7, 5), 2))
        self.assertTrue(policy.is_stale(SampleAge(5, 8, 5), 2))
        self.assertTrue(policy.is_stale(SampleAge(5, 6, 5), 0))

    def test_at_dispatch_ignores_versions_known_later(self):
        policy = AtDispatch()
        self.assertFalse(policy.is_stale(SampleAge(5, 8, 7), 2))
        self.assertTrue(policy.is_stale(SampleAge(5, 8, 8), 2))

    def test_sample_without_a_piece_is_not_stale(self):
        for policy in (AtHandOver(), AtDispatch()):
            self.assertFalse(policy.is_stale(SampleAge(None, 100, 100), 0))

    def test_version_newer_than_the_newest_known_is_fresh(self):
        self.assertFalse(AtHandOver().is_stale(SampleAge(9, 7, 7), 0))

    def test_wait_shrinks_as_the_idle_weight_grows(self):
        policy = AtHandOver(20.0)
        weights = (0.0, 0.25, 0.5, 0.75, 1.0)
        waits = [policy.max_newest_wait(weight, 100.0) for weight in weights]
        self.assertEqual(waits, sorted(waits, reverse=True))
        self.assertEqual((waits[0], waits[-1]), (20.0, 0.0))
        self.assertEqual(policy.max_newest_wait(0.0, 3.0), 3.0)
        self.assertEqual(AtDispatch().max_newest_wait(0.0, 100.0), 0.0)
