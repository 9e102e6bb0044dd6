"""Tests of the pacing policies."""

import unittest
from dataclasses import replace

from hypothesis import given, settings, strategies

from cranberryrun.pacing import AllAtOnce, StaggeredLoads, WeightLoad, WeightRollout


def loads(count, workload="w", **fields):
    """Return ``count`` missing loads of one workload."""
    return [WeightLoad(f"e{n:03}", workload, **fields) for n in range(count)]


class StaggeredLoadsTest(unittest.TestCase):
    def allowed_keys(self, rows, at_once=2, share=0.5, seconds=2.0):
        rollout = WeightRollout(rows, load_seconds=seconds)
        return StaggeredLoads(at_once, share).may_load(rollout)

    def test_the_first_loads_in_order_are_allowed(self):
        self.assertEqual(self.allowed_keys(loads(6)), [("e000", "w"), ("e001", "w")])

    def test_all_missing_loads_are_allowed_without_pacing(self):
        rows = [replace(load, loaded=n == 0) for n, load in enumerate(loads(3))]
        keys = AllAtOnce().may_load(WeightRollout(rows))
        self.assertEqual(keys, [("e001", "w"), ("e002", "w")])

    def test_a_running_load_counts_at_any_position(self):
        rows = loads(6)
        rows[5] = replace(rows[5], loading=True)
        self.assertEqual(self.allowed_keys(rows), [("e005", "w"), ("e000", "w")])

    def test_the_share_bounds_each_workload_separately(self):
        rows = loads(4) + loads(8, "v")
        keys = self.allowed_keys(rows, at_once=6, share=0.5)
        self.assertEqual([key[1] for key in keys].count("w"), 2)
        self.assertEqual([key[1] for key in keys].count("v"), 4)

    def test_a_single_engine_may_load_whatever_the_share(self):
        self.assertEqual(len(self.allowed_keys(loads(1), share=0.1)), 1)

    def test_urgent_loads_go_first_and_low_priority_loads_last(self):
        rows = loads(4)
        rows[0] = replace(rows[0], low_priority=True)
        rows[3] = replace(rows[3], urgent=True)
        self.assertEqual(self.allowed_keys(rows), [("e003", "w"), ("e001", "w")])

    def test_engines_without_a_report_count_in_the_wave_of_their_position(self):
        rows = loads(12, reported=False)
        reported_rows = [replace(rows[n], reported=True) for n in (0, 7)]
        for wave in range(6):
            current = [replace(load, elapsed=wave * 2.0 + 0.1) for load in rows]
            current[0], current[7] = (
                replace(load, elapsed=wave * 2.0 + 0.1) for load in reported_rows
            )
            current[0] = replace(current[0], loaded=wave > 0)
            keys = self.allowed_keys(current)
            expected = {0: [("e000", "w")], 3: [("e007", "w")]}.get(wave)
            if expected is not None:
                self.assertEqual(keys, expected)
            if 0 < wave < 3:
                self.assertEqual(keys, [])

    def test_six_hundred_engines_load_within_the_target_time(self):
        """600 engines load within 26 s when each load takes 2 s, 60 at a time.

        Each of the 24 owners has reports of its own 25 engines only, so the waves
        must keep the number of concurrent loads bounded.
        """
        finished_at: dict[str, float] = {}
        policy = StaggeredLoads(60, 0.1)
        names = [f"e{n:03}" for n in range(600)]
        loading: dict[str, float] = {}
        max_running = 0
        for tick in range(52):
            now = tick * 0.5
            for name, finish in list(loading.items()):
                if finish <= now:
                    finished_at[name] = now
                    del loading[name]
            for first_owned in range(0, 600, 25):
                owned_names = set(names[first_owned : first_owned + 25])
                rows = [
                    WeightLoad(
                        name,
                        "w",
                        reported=name in owned_names,
                        loaded=name in owned_names and name in finished_at,
                        loading=name in owned_names and name in loading,
                        elapsed=now,
                    )
                    for name in names
                ]
                for name, _ in policy.may_load(WeightRollout(rows, load_seconds=2.0)):
                    loading.setdefault(name, now + 2.0)
            max_running = max(max_running, len(loading))
        self.assertEqual(len(finished_at), 600)
        self.assertLessEqual(max(finished_at.values()), 26)
        self.assertLessEqual(max_running, 120)

    @settings(derandomize=True, max_examples=200)
    @given(
        strategies.lists(
            strategies.tuples(
                strategies.sampled_from("vw"),
                strategies.booleans(),
                strategies.booleans(),
                strategies.booleans(),
            ),
            max_size=30,
        ),
        strategies.integers(1, 5),
        strategies.floats(0.05, 1.0),
    )
    def test_the_limits_hold_in_any_state(self, rows, at_once, share):
        weight_loads = [
            WeightLoad(f"e{n}", workload, loaded=loaded, loading=loading, urgent=urgent)
            for n, (workload, loaded, loading, urgent) in enumerate(rows)
        ]
        keys = self.allowed_keys(weight_loads, at_once, share)
        running = [load for load in weight_loads if load.loading]
        new = [load for load in weight_loads if load.key in keys and not load.loading]
        self.assertFalse(any(load.loaded for load in new))
        if new:
            self.assertLessEqual(len(running) + len(new), at_once)
        for workload in {load.workload for load in new}:
            count = sum(load.workload == workload for load in weight_loads)
            running_count = sum(load.workload == workload for load in running + new)
            self.assertLessEqual(
                running_count, max(1, min(int(count * share), at_once))
            )
