"""Tests of the routing policies."""

import random
import unittest

from cranberryrun.rendezvous import owner_of
from cranberryrun.routing import (
    BoundedAffinity,
    Candidate,
    LeastLoaded,
    RoutingHints,
    worthwhile,
)


def candidates(*in_flight: int) -> list[Candidate]:
    """Return candidates of eight slots, in three zones by turns."""
    return [
        Candidate(f"e{number}", f"zone-{number % 3}", slots=8, in_flight=count)
        for number, count in enumerate(in_flight)
    ]


class LeastLoadedTest(unittest.TestCase):
    def setUp(self) -> None:
        self.policy = LeastLoaded(random.Random(1))

    def test_none_of_none(self) -> None:
        self.assertIsNone(self.policy.choose([], RoutingHints("zone-0")))

    def test_least_loaded_wins_over_the_zone(self) -> None:
        chosen = self.policy.choose(candidates(3, 1, 3), RoutingHints("zone-0"))
        self.assertEqual(chosen.id, "e1")

    def test_zone_decides_between_equals(self) -> None:
        chosen = self.policy.choose(candidates(2, 2, 2), RoutingHints("zone-2"))
        self.assertEqual(chosen.id, "e2")

    def test_late_report_counts_less(self) -> None:
        fresh = Candidate("fresh", "z", slots=8, reported=8, report_age=0.0)
        late = Candidate("late", "z", slots=8, reported=8, report_age=20.0)
        self.assertIs(self.policy.choose([fresh, late], RoutingHints("z")), late)

    def test_a_step_spreads_over_a_pool(self) -> None:
        pool = candidates(0, 0, 0, 0, 0, 0)
        for number in range(24):
            self.policy.choose(pool, RoutingHints(f"zone-{number % 3}")).in_flight += 1
        self.assertEqual({each.in_flight for each in pool}, {4})


class BoundedAffinityTest(unittest.TestCase):
    def setUp(self) -> None:
        self.policy = BoundedAffinity(LeastLoaded(random.Random(1)))

    def test_favourite_of_idle_ones(self) -> None:
        pool = candidates(0, 0, 0, 0)
        chosen = self.policy.choose(pool, RoutingHints("zone-0", "a prompt"))
        self.assertEqual(chosen.id, owner_of([each.id for each in pool], "a prompt"))

    def test_loaded_favourite_is_passed_over(self) -> None:
        pool = candidates(0, 0, 0, 0)
        favourite = self.policy.choose(pool, RoutingHints("zone-0", "a prompt"))
        favourite.in_flight = 3
        chosen = self.policy.choose(pool, RoutingHints("zone-0", "a prompt"))
        self.assertNotEqual(chosen.id, favourite.id)

    def test_each_favourite_is_within_the_bounds(self) -> None:
        pool = candidates(0, 0, 0, 0, 0, 0)
        for number in range(60):
            loads = [each.load for each in pool]
            within = max(min(loads) + 1 / 8, 1.25 * sum(loads) / len(loads))
            chosen = self.policy.choose(
                pool, RoutingHints("zone-0", f"prompt {number // 8}")
            )
            self.assertLessEqual(chosen.load, within)
            chosen.in_flight += 1

    def test_none_of_none(self) -> None:
        self.assertIsNone(self.policy.choose([], RoutingHints("zone-0", "a prompt")))


class WorthwhileTest(unittest.TestCase):
    def test_a_penalty_is_outweighed_by_room_alone(self) -> None:
        pool = candidates(6, 0)
        pool[1].penalty = 1.0
        self.assertEqual([each.id for each in worthwhile(pool)], ["e0"])
        pool[1].penalty = 0.5
        self.assertEqual([each.id for each in worthwhile(pool)], ["e0", "e1"])

    def test_where_all_have_one_the_least_is_left(self) -> None:
        pool = candidates(3, 0)
        for each in pool:
            each.penalty = 1.0
        self.assertEqual([each.id for each in worthwhile(pool)], ["e1"])
