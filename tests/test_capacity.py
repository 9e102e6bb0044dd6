"""Tests of the cost of exchanging views, against the limits of the target size."""

import unittest

from hypothesis import given, settings, strategies

from bench.capacity import gossip
from cranberryrun.views import Fact, FactKind, Views

_MAX_EXCHANGE_BYTES_PER_SECOND = 5_000
_MAX_PROPAGATION_SECONDS = 19
_HOST_COUNT = 60

_FACTS = strategies.builds(
    Fact,
    kind=strategies.sampled_from(list(FactKind)),
    name=strategies.sampled_from(["a", "b", "c"]),
    incarnation=strategies.integers(0, 3),
    value=strategies.integers(0, 3),
)


class GossipCostTest(unittest.TestCase):
    def test_exchange_bytes_and_propagation_time_stay_within_limits(self):
        fleet = gossip.run_fleet(_HOST_COUNT)
        seconds = gossip.ROUNDS * gossip.ROUND_SECONDS
        # Every byte that one host sends is received by another.
        bytes_per_second = 2 * fleet.costs.sent_bytes / (_HOST_COUNT * seconds)
        self.assertLess(bytes_per_second, _MAX_EXCHANGE_BYTES_PER_SECOND)
        fact = Fact(FactKind.VERSION, "news", 0, 1)
        fleet.views_by_name[fleet.names[0]].merge([fact], _HOST_COUNT)
        self.assertLess(fleet.rounds_until_known(fact), _MAX_PROPAGATION_SECONDS)


class DigestTest(unittest.TestCase):
    @settings(derandomize=True, max_examples=200)
    @given(strategies.lists(_FACTS), strategies.randoms())
    def test_merge_is_independent_of_the_order_of_facts(self, facts, rng):
        one, other = Views(), Views()
        one.merge(facts, 10)
        shuffled = list(facts)
        rng.shuffle(shuffled)
        other.merge(shuffled, 10)
        self.assertEqual(one.digest, other.digest)
        self.assertEqual(one.by_key, other.by_key)

    @settings(derandomize=True, max_examples=200)
    @given(strategies.lists(_FACTS), _FACTS)
    def test_new_fact_changes_the_digest_unless_it_is_of_a_step(self, facts, fact):
        views = Views()
        views.merge(facts, 10)
        before = views.digest
        is_new = bool(views.merge([fact], 10))
        expected = is_new and fact.kind is not FactKind.STEP
        self.assertEqual(views.digest != before, expected)
