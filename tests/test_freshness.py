"""How old a sample may be."""

import unittest

from cranberryrun.freshness import AtDispatch, AtHandOver, SampleAge


class FreshnessTest(unittest.TestCase):
    def test_at_hand_over_the_newest_version_known_now_counts(self):
        policy = AtHandOver()
        self.assertFalse(policy.too_old(SampleAge(5, 7, 5), 2))
        self.assertTrue(policy.too_old(SampleAge(5, 8, 5), 2))
        self.assertTrue(policy.too_old(SampleAge(5, 6, 5), 0))

    def test_at_dispatch_what_came_later_does_not_count(self):
        policy = AtDispatch()
        self.assertFalse(policy.too_old(SampleAge(5, 8, 7), 2))
        self.assertTrue(policy.too_old(SampleAge(5, 8, 8), 2))

    def test_a_sample_without_a_piece_is_not_too_old(self):
        for policy in (AtHandOver(), AtDispatch()):
            self.assertFalse(policy.too_old(SampleAge(None, 100, 100), 0))

    def test_a_version_newer_than_any_known_is_fresh(self):
        self.assertFalse(AtHandOver().too_old(SampleAge(9, 7, 7), 0))

    def test_the_weighting_moves_the_patience_both_ways(self):
        policy = AtHandOver(20.0)
        weights = (0.0, 0.25, 0.5, 0.75, 1.0)
        waits = [policy.patience(weight, 100.0) for weight in weights]
        self.assertEqual(waits, sorted(waits, reverse=True))
        self.assertEqual((waits[0], waits[-1]), (20.0, 0.0))
        self.assertEqual(policy.patience(0.0, 3.0), 3.0)
        self.assertEqual(AtDispatch().patience(0.0, 100.0), 0.0)
