"""Which loads may run at a time."""

import unittest
from dataclasses import replace

from hypothesis import given, settings, strategies

from cranberryrun.pacing import AllAtOnce, Rollout, StaggeredLoads, WeightLoad


def loads(count, workload="w", **fields):
    """Return missing loads of one workload."""
    return [WeightLoad(f"e{n:03}", workload, **fields) for n in range(count)]


class StaggeredLoadsTest(unittest.TestCase):
    def chosen(self, rows, at_once=2, share=0.5, seconds=2.0):
        rollout = Rollout(rows, load_seconds=seconds)
        return StaggeredLoads(at_once, share).may_load(rollout)

    def test_the_first_ones_in_order(self):
        self.assertEqual(self.chosen(loads(6)), [("e000", "w"), ("e001", "w")])

    def test_all_that_lack_it_without_pacing(self):
        rows = [replace(each, loaded=n == 0) for n, each in enumerate(loads(3))]
        keys = AllAtOnce().may_load(Rollout(rows))
        self.assertEqual(keys, [("e001", "w"), ("e002", "w")])

    def test_a_running_load_counts_wherever_it_stands(self):
        rows = loads(6)
        rows[5] = replace(rows[5], loading=True)
        self.assertEqual(self.chosen(rows), [("e005", "w"), ("e000", "w")])

    def test_the_share_of_a_workload_bounds_it_and_not_the_others(self):
        rows = loads(4) + loads(8, "v")
        keys = self.chosen(rows, at_once=6, share=0.5)
        self.assertEqual([key[1] for key in keys].count("w"), 2)
        self.assertEqual([key[1] for key in keys].count("v"), 4)

    def test_one_engine_alone_may_load(self):
        self.assertEqual(len(self.chosen(loads(1), share=0.1)), 1)

    def test_engines_that_serve_nothing_go_first_and_broken_ones_last(self):
        rows = loads(4)
        rows[0] = replace(rows[0], last=True)
        rows[3] = replace(rows[3], urgent=True)
        self.assertEqual(self.chosen(rows), [("e003", "w"), ("e001", "w")])

    def test_unseen_engines_take_the_wave_of_their_place(self):
        rows = loads(12, seen=False)
        mine = [replace(rows[n], seen=True) for n in (0, 7)]
        for wave in range(6):
            now = [replace(each, elapsed=wave * 2.0 + 0.1) for each in rows]
            now[0], now[7] = (replace(e, elapsed=wave * 2.0 + 0.1) for e in mine)
            now[0] = replace(now[0], loaded=wave > 0)
            keys = self.chosen(now)
            expected = {0: [("e000", "w")], 3: [("e007", "w")]}.get(wave)
            if expected is not None:
                self.assertEqual(keys, expected)
            if 0 < wave < 3:
                self.assertEqual(keys, [])

    def test_six_hundred_engines_follow_within_the_target(self):
        """Owners that see their own engines only, and loads of 2 s at 60 at once."""
        done: dict[str, float] = {}
        policy = StaggeredLoads(60, 0.1)
        names = [f"e{n:03}" for n in range(600)]
        loading: dict[str, float] = {}
        most = 0
        for tick in range(52):
            now = tick * 0.5
            for name, ends in list(loading.items()):
                if ends <= now:
                    done[name] = now
                    del loading[name]
            for owner in range(0, 600, 25):
                mine = set(names[owner : owner + 25])
                rows = [
                    WeightLoad(
                        name,
                        "w",
                        seen=name in mine,
                        loaded=name in mine and name in done,
                        loading=name in mine and name in loading,
                        elapsed=now,
                    )
                    for name in names
                ]
                for name, _ in policy.may_load(Rollout(rows, load_seconds=2.0)):
                    loading.setdefault(name, now + 2.0)
            most = max(most, len(loading))
        self.assertEqual(len(done), 600)
        self.assertLessEqual(max(done.values()), 26)
        self.assertLessEqual(most, 120)

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
    def test_the_bounds_hold_for_any_state(self, rows, at_once, share):
        row = [
            WeightLoad(f"e{n}", workload, loaded=loaded, loading=loading, urgent=urgent)
            for n, (workload, loaded, loading, urgent) in enumerate(rows)
        ]
        keys = self.chosen(row, at_once, share)
        running = [load for load in row if load.loading]
        new = [load for load in row if load.key in keys and not load.loading]
        self.assertFalse(any(load.loaded for load in new))
        if new:
            self.assertLessEqual(len(running) + len(new), at_once)
        for workload in {load.workload for load in new}:
            count = sum(load.workload == workload for load in row)
            away = sum(load.workload == workload for load in running + new)
            self.assertLessEqual(away, max(1, min(int(count * share), at_once)))
