"""How many streams a step may hold."""

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

DEMAND = Demand(rate=4.0, trainers=2, slots=8.0, pool_slots=48, pool_busy=16, held=16)


class BudgetTest(unittest.TestCase):
    def test_the_declared_rate_is_divided_by_the_trainers(self):
        self.assertEqual(DeclaredRate().streams(DEMAND), 16)
        self.assertEqual(DeclaredRate().streams(replace(DEMAND, trainers=4)), 8)

    def test_a_step_may_always_hold_one(self):
        tiny = replace(DEMAND, rate=0.001, trainers=1000)
        for policy in (DeclaredRate(), LentRate(), Unbounded()):
            self.assertGreaterEqual(policy.streams(tiny), 1)
            self.assertEqual(policy.streams(replace(tiny, pool_slots=0)), 1)

    def test_idle_streams_are_lent_until_work_waits(self):
        policy = LentRate(0.5)
        self.assertEqual(policy.streams(DEMAND), 16 + 16)
        self.assertEqual(policy.own_streams(DEMAND), 16)
        self.assertEqual(policy.streams(replace(DEMAND, urgent=True)), 16)
        self.assertEqual(policy.streams(replace(DEMAND, pool_busy=48)), 16)

    def test_without_a_limit_the_pool_is_one(self):
        self.assertEqual(Unbounded().streams(DEMAND), 48)


class GrantTest(unittest.TestCase):
    CLAIMS = [Claim("a", 4.0, 1), Claim("b", 4.0), Claim("c", 2.0)]

    def granted(self, engines):
        return [granted_rate(name, self.CLAIMS, engines) for name in "abc"]

    def test_everybody_gets_what_was_declared_if_there_is_enough(self):
        self.assertEqual(self.granted(10), [4.0, 4.0, 2.0])

    def test_the_higher_priority_is_served_first(self):
        self.assertEqual(self.granted(4), [4.0, 0.0, 0.0])

    def test_equal_ones_share_in_proportion(self):
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
    def test_no_more_is_granted_than_there_is(self, rows, engines):
        claims = [Claim(str(n), rate, prio) for n, (rate, prio) in enumerate(rows)]
        total = sum(granted_rate(each.workload, claims, engines) for each in claims)
        self.assertLessEqual(total, engines + 1e-6)
