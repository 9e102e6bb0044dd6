"""Tests of views: facts merge by maximum, in any order and number of merges."""

import unittest

from hypothesis import given, settings, strategies as st

from cranberryrun.views import Fact, FactKind, Views

_FACTS = st.lists(
    st.builds(
        Fact,
        st.sampled_from(list(FactKind)),
        st.sampled_from(["a", "b"]),
        st.integers(0, 3),
        st.integers(0, 3),
    ),
    max_size=12,
)


class ViewsTest(unittest.TestCase):
    @settings(derandomize=True, max_examples=150, deadline=None)
    @given(_FACTS, st.randoms(use_true_random=False))
    def test_views_are_equal_whatever_the_order_and_number_of_merges(self, facts, rng):
        one, other = Views(), Views()
        one.merge(facts, 3)
        shuffled = facts * 2
        rng.shuffle(shuffled)
        for fact in shuffled:
            other.merge([fact], 3)
        self.assertEqual(one.by_key, other.by_key)
        self.assertEqual(one.digest, other.digest)

    @settings(derandomize=True, max_examples=100, deadline=None)
    @given(_FACTS)
    def test_new_facts_are_sent_a_bounded_number_of_times(self, facts):
        views = Views()
        views.merge(facts, 410)
        rounds = 0
        while views.take_updates(2):
            rounds += 1
            self.assertLess(rounds, 300)
        self.assertTrue(views.all_sent)

    def test_forgotten_fact_is_neither_in_the_digest_nor_sent(self):
        views = Views()
        fact = Fact(FactKind.HOST, "a", 1, 2)
        views.merge([fact], 3)
        views.forget(fact.key)
        views.forget(fact.key)
        self.assertEqual(views.digest, Views().digest)
        self.assertEqual(views.take_updates(9), [])
