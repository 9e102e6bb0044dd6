"""Tests of the budget policies and of the rates granted to workloads."""

import unittest
from dataclasses import replace

from hypothesis import given, settings, strategies

from cranberryrun.budgets import (
    Claim,
    DeclaredRate,
    Demand,
    LentRate,
    Unbounded,
    granted_rate,
)

DEMAND = Demand(
    rate=4.0,
    trainers=2,
    slots_per_engine=8.0,
    pool_slots=48,
    pool_running=16,
    in_flight=16,
)


class BudgetTest(unittest.TestCase):
    def test_declared_rate_is_divided_among_the_trainers(self):
        self.assertEqual(DeclaredRate().streams(DEMAND), 16)
        self.assertEqual(DeclaredRate().streams(replace(DEMAND, trainers=4)), 8)

    def test_step_may_always_have_one_stream(self):
        tiny_rate = replace(DEMAND, rate=0.001, trainers=1000)
        for policy in (DeclaredRate(), LentRate(), Unbounded()):
            self.assertGreaterEqual(policy.streams(tiny_rate), 1)
            self.assertEqual(policy.streams(replace(tiny_rate, pool_slots=0)), 1)

    def test_idle_streams_are_lent_unless_the_pool_has_a_backlog(self):
        policy = LentRate(0.5)
        self.assertEqual(policy.streams(DEMAND), 16 + 16)
        self.assertEqual(policy.guaranteed_streams(DEMAND), 16)
        self.assertEqual(policy.streams(replace(DEMAND, pool_backlogged=True)), 16)
        self.assertEqual(policy.streams(replace(DEMAND, pool_running=48)), 16)

    def test_unbounded_policy_allows_all_slots_of_the_pool(self):
        self.assertEqual(Unbounded().streams(DEMAND), 48)


class GrantTest(unittest.TestCase):
    CLAIMS = [Claim("a", 4.0, 1), Claim("b", 4.0), Claim("c", 2.0)]

    def granted(self, engines):
        return [granted_rate(name, self.CLAIMS, engines) for name in "abc"]

    def test_every_workload_gets_its_rate_when_the_pool_suffices(self):
        self.assertEqual(self.granted(10), [4.0, 4.0, 2.0])

    def test_higher_priority_is_served_first(self):
        self.assertEqual(self.granted(4), [4.0, 0.0, 0.0])

    def test_equal_priorities_share_in_proportion(self):
        self.assertEqual(self.granted(7), [4.0, 2.0, 1.0])

    @settings(derandomize=True, max_examples=200)
    @given(
        strategies.lists(
            strategies.tuples(strategies.floats(0.1, 50), strategies.integers(0, 2)),
            min_size=1,
            max_size=6,
        ),
        strategies.floats(0, 100),
    )
    def test_granted_rates_do_not_exceed_the_pool(self, rows, engines):
        claims = [
            Claim(str(n), rate, priority) for n, (rate, priority) in enumerate(rows)
        ]
        total = sum(granted_rate(claim.workload, claims, engines) for claim in claims)
        self.assertLessEqual(total, engines + 1e-6)
