"""Tests of the experiments: a short run, the range affinity and the forecast."""

import random
import unittest

from bench.alternatives import ADOPTED, POLICIES_BY_NAME
from bench.deployments import LAKESHORE, Fault, Scenario
from bench.engine import sample_tokens
from bench.forecasting import METHODS, PATTERNS, evaluate
from bench.range_affinity import AgeingHistogram, RangeAffinity
from bench.report import table
from bench.running import run_fleet, summarise
from bench.scaling import CURVES, Chosen, Fixed, run
from cranberryrun.routing import Candidate, LeastLoaded, RoutingHints

from .virtual import VirtualTimeTestCase

CRASHES = Scenario(
    "tiny",
    seconds=120.0,
    faults=(Fault("crash", "rollout-1", 30, 30), Fault("host", "host-2", 40, 30)),
)


class RunTest(unittest.TestCase):
    def test_run_keeps_guarantees_under_faults(self) -> None:
        figures = run_fleet(LAKESHORE, CRASHES, ADOPTED, 1)
        self.assertGreater(figures["steps"], 0)
        self.assertEqual(figures["over_bound"], 0)
        self.assertEqual(figures["doubled"], 0)
        self.assertGreaterEqual(figures["answered_share"], 0.99)
        self.assertLessEqual(figures["retry_amplification"], 1.1)
        text = table({"adopted": summarise([figures])})
        self.assertIn("| idle_above_floor |", text)

    def test_figures_are_equal_when_seeds_are_equal(self) -> None:
        short = Scenario("short", seconds=20.0)
        runs = [run_fleet(LAKESHORE, short, ADOPTED, 7) for _ in range(2)]
        self.assertEqual(runs[0], runs[1])

    def test_policy_sets_are_registered_under_their_names(self) -> None:
        for name, policies in POLICIES_BY_NAME.items():
            self.assertEqual(name, policies.name)

    def test_sample_lengths_have_a_long_tail(self) -> None:
        lengths = sorted(sample_tokens(f"p{i}", i, 100_000) for i in range(2_000))
        self.assertGreater(lengths[1_980], 3 * lengths[1_000])


class RangeAffinityTest(VirtualTimeTestCase):
    def test_recent_uses_weigh_more(self) -> None:
        histogram = AgeingHistogram(2)
        histogram.count(0, 0.0)
        histogram.count(1, 6.0)
        self.assertEqual(histogram.load(0), histogram.load(1) / 2)
        histogram.count(1, 1_000.0)
        self.assertEqual((histogram.load(0), histogram.load(1)), (0.0, 1.0))

    async def test_prefix_keeps_its_engine_when_queues_are_equal(self) -> None:
        policy = RangeAffinity(LeastLoaded(random.Random(1)))
        pool = [Candidate(f"e{i}", "z", slots=8) for i in range(6)]
        chosen = {
            policy.choose(pool, RoutingHints("z", "prompt")).id for _ in range(50)
        }
        self.assertEqual(len(chosen), 1)


class ForecastTest(unittest.TestCase):
    def test_forecast_interval_covers_steady_use(self) -> None:
        row = evaluate(PATTERNS[0], METHODS["adopted"], series=50)
        self.assertGreaterEqual(row["coverage"], 0.8)
        self.assertLess(row["error"], 0.05)


class ScalingTest(unittest.TestCase):
    def test_chosen_policy_costs_less_than_all_engines_and_makes_no_step_late(self):
        """A policy that removes engines too soon shows in the loss of spot engines."""
        (curve,) = (each for each in CURVES if each.name == "preempted")
        chosen, fixed = (run(curve, policy(), 1, 130.0) for policy in (Chosen, Fixed))
        self.assertEqual((chosen.late, fixed.late), (0, 0))
        self.assertGreaterEqual(chosen.steps, fixed.steps - 1)
        self.assertLess(chosen.cost, fixed.cost)
