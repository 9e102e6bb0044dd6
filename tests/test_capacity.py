"""What control costs a host, against the target's limits."""

import unittest

from hypothesis import given, settings, strategies

from bench.capacity import gossip
from cranberryrun.views import Fact, FactKind, Views

_CONTROL_BYTES_A_SECOND = 5_000
_IN_FORCE_SECONDS = 19
_HOSTS = 60

_FACTS = strategies.builds(
    Fact,
    kind=strategies.sampled_from(list(FactKind)),
    name=strategies.sampled_from(["a", "b", "c"]),
    incarnation=strategies.integers(0, 3),
    value=strategies.integers(0, 3),
)


class GossipCostTest(unittest.TestCase):
    def test_exchanges_stay_under_the_limit_and_news_arrives_in_time(self):
        fleet = gossip.run_fleet(_HOSTS)
        seconds = gossip.ROUNDS * gossip.ROUND_SECONDS
        both_ways = 2 * fleet.traffic.sent_bytes / (_HOSTS * seconds)
        self.assertLess(both_ways, _CONTROL_BYTES_A_SECOND)
        fact = Fact(FactKind.VERSION, "news", 0, 1)
        fleet.views_by_name[fleet.names[0]].merge([fact], _HOSTS)
        self.assertLess(fleet.rounds_until_known(fact), _IN_FORCE_SECONDS)


class DigestTest(unittest.TestCase):
    @settings(derandomize=True, max_examples=200)
    @given(strategies.lists(_FACTS), strategies.randoms())
    def test_the_order_of_facts_does_not_matter(self, facts, rng):
        one, other = Views(), Views()
        one.merge(facts, 10)
        shuffled = list(facts)
        rng.shuffle(shuffled)
        other.merge(shuffled, 10)
        self.assertEqual(one.digest, other.digest)
        self.assertEqual(one.by_key, other.by_key)

    @settings(derandomize=True, max_examples=200)
    @given(strategies.lists(_FACTS), _FACTS)
    def test_news_changes_the_digest_unless_it_is_of_a_step(self, facts, news):
        views = Views()
        views.merge(facts, 10)
        before = views.digest
        is_news = bool(views.merge([news], 10))
        expected = is_news and news.kind is not FactKind.STEP
        self.assertEqual(views.digest != before, expected)
