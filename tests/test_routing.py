"""Tests of the routing policies."""

import random
import unittest

from cranberryrun.rendezvous import owner_of
from cranberryrun.routing import (
    BoundedAffinity,
    Candidate,
    LeastLoaded,
    RoutingHints,
    exclude_penalized,
)


def candidates(*in_flight: int) -> list[Candidate]:
    """Return candidates with eight slots each, spread over three zones."""
    return [
        Candidate(f"e{number}", f"zone-{number % 3}", slots=8, in_flight=count)
        for number, count in enumerate(in_flight)
    ]


class LeastLoadedTest(unittest.TestCase):
    def setUp(self) -> None:
        self.policy = LeastLoaded(random.Random(1))

    def test_none_is_chosen_without_candidates(self) -> None:
        self.assertIsNone(self.policy.choose([], RoutingHints("zone-0")))

    def test_load_takes_precedence_over_the_zone(self) -> None:
        chosen = self.policy.choose(candidates(3, 1, 3), RoutingHints("zone-0"))
        self.assertEqual(chosen.id, "e1")

    def test_zone_decides_between_equal_loads(self) -> None:
        chosen = self.policy.choose(candidates(2, 2, 2), RoutingHints("zone-2"))
        self.assertEqual(chosen.id, "e2")

    def test_older_report_counts_less(self) -> None:
        recent = Candidate("fresh", "z", slots=8, reported=8, report_age=0.0)
        older = Candidate("late", "z", slots=8, reported=8, report_age=20.0)
        self.assertIs(self.policy.choose([recent, older], RoutingHints("z")), older)

    def test_requests_spread_evenly_over_a_pool(self) -> None:
        pool = candidates(0, 0, 0, 0, 0, 0)
        for number in range(24):
            self.policy.choose(pool, RoutingHints(f"zone-{number % 3}")).in_flight += 1
        self.assertEqual({candidate.in_flight for candidate in pool}, {4})


class BoundedAffinityTest(unittest.TestCase):
    def setUp(self) -> None:
        self.policy = BoundedAffinity(LeastLoaded(random.Random(1)))

    def test_preferred_candidate_is_chosen_when_all_are_idle(self) -> None:
        pool = candidates(0, 0, 0, 0)
        chosen = self.policy.choose(pool, RoutingHints("zone-0", "a prompt"))
        self.assertEqual(
            chosen.id, owner_of([candidate.id for candidate in pool], "a prompt")
        )

    def test_preferred_candidate_is_passed_over_when_loaded(self) -> None:
        pool = candidates(0, 0, 0, 0)
        preferred = self.policy.choose(pool, RoutingHints("zone-0", "a prompt"))
        preferred.in_flight = 3
        chosen = self.policy.choose(pool, RoutingHints("zone-0", "a prompt"))
        self.assertNotEqual(chosen.id, preferred.id)

    def test_chosen_candidate_is_within_the_load_limit(self) -> None:
        pool = candidates(0, 0, 0, 0, 0, 0)
        for number in range(60):
            loads = [candidate.load for candidate in pool]
            limit = max(min(loads) + 1 / 8, 1.25 * sum(loads) / len(loads))
            chosen = self.policy.choose(
                pool, RoutingHints("zone-0", f"prompt {number // 8}")
            )
            self.assertLessEqual(chosen.load, limit)
            chosen.in_flight += 1

    def test_none_is_chosen_without_candidates(self) -> None:
        self.assertIsNone(self.policy.choose([], RoutingHints("zone-0", "a prompt")))


class ExcludePenalizedTest(unittest.TestCase):
    def test_penalized_candidate_stays_only_when_its_load_makes_up_for_it(self) -> None:
        pool = candidates(6, 0)
        pool[1].penalty = 1.0
        self.assertEqual(
            [candidate.id for candidate in exclude_penalized(pool)], ["e0"]
        )
        pool[1].penalty = 0.5
        self.assertEqual(
            [candidate.id for candidate in exclude_penalized(pool)], ["e0", "e1"]
        )

    def test_lowest_cost_stays_when_all_have_a_penalty(self) -> None:
        pool = candidates(3, 0)
        for candidate in pool:
            candidate.penalty = 1.0
        self.assertEqual(
            [candidate.id for candidate in exclude_penalized(pool)], ["e1"]
        )
