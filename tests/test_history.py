"""Each checker passes a good history and fails a planted bad one."""

import unittest

from fakes.history import CHECKER_BY_GUARANTEE, History, check_all

SLOT = "denoiser/1/g0/0"


def good_history() -> History:
    """Return a history in which every promise holds."""
    history = History()
    record = history.record
    record("invoke", "change", "c1", 0.0, "host-1")
    record("ok", "applied", "c1", 0.1, "host-1")
    record("ok", "change", "c1", 0.1, "host-1", offset=0, resource=("w/denoiser", 1))
    for at in (0.2, 20.0):
        for host in ("host-1/1", "host-2/1"):
            seen = {"w/denoiser": 1}
            record("ok", "view", host, at, offset=0, knowable=0, generations=seen)
    record("ok", "version", "v3", 1.0, "host-1", workload="denoiser", version=3)
    record("invoke", "step", "denoiser/1", 2.0, slots=[SLOT], limit=60.0)
    made = {"engine": "engine-1", "slot": SLOT, "versions": [(2, 8), (3, 8)]}
    record("ok", "made", "s1", 3.0, **made)
    record(
        "ok",
        "handed",
        SLOT,
        9.0,
        "host-2",
        workload="denoiser",
        slot=SLOT,
        stated=3,
        bound=1,
        oldest=2,
    )
    whole = {"trainer": "t", "step": "denoiser/1", "got": "abc", "due": "abc"}
    record("ok", "sample", SLOT, 9.1, **made, **whole)
    record("ok", "step", "denoiser/1", 9.2)
    record("invoke", "call", "r1", 3.0, "host-1")
    ran = {"request": "r1", "key": "k1", "target": "portal-1", "repeatable": False}
    record("ok", "ran", "r1", 3.1, **ran)
    record("ok", "began", "r1", 3.1, target="portal-1")
    record("ok", "call", "r1", 3.2, "host-1", got="r1", due="r1")
    record("fail", "call", "r2", 3.2, "host-1", not_run=True)
    record("ok", "leaving", "portal-1", 4.0, target="portal-1")
    record("invoke", "drain", "host-1", 5.0, "host-1")
    return history


class CheckersTest(unittest.TestCase):
    """Plants one fault in a good history and expects one checker to see it."""

    def setUp(self) -> None:
        self.history = good_history()

    def assert_found_only_by(self, guarantee: str) -> None:
        seen = {violation.guarantee for violation in check_all(self.history)}
        self.assertEqual(seen, {guarantee})

    def test_a_good_history_passes(self):
        self.assertEqual(check_all(self.history), [])
        self.assertEqual(len(CHECKER_BY_GUARANTEE), 10)

    def _sample(self, slot: str, **changes: object) -> None:
        value = {
            "trainer": "t",
            "step": "denoiser/1",
            "engine": "engine-1",
            "slot": slot,
            "versions": [(2, 8), (3, 8)],
            "got": "abc",
            "due": "abc",
        }
        self.history.record("ok", "sample", slot, 9.5, **(value | changes))

    def test_a_stamp_that_hides_an_older_version_is_seen(self):
        self.history.record(
            "ok", "made", "s2", 3.0, engine="engine-2", slot="x", versions=[(2, 16)]
        )
        self._sample("x", engine="engine-2", versions=[(3, 16)])
        self.assert_found_only_by("stamps_true")

    def test_a_sample_of_another_engine_is_seen(self):
        self._sample("x")
        self.assert_found_only_by("stamps_true")

    def _handed(self, at: float, host: str, oldest: int, stated: int = 3) -> None:
        value = {"workload": "denoiser", "slot": "x", "bound": 1}
        self.history.record(
            "ok", "handed", "x", at, host, stated=stated, oldest=oldest, **value
        )

    def test_a_sample_older_than_the_call_allows_is_seen(self):
        self._handed(0.5, "host-2", 1)
        self.assert_found_only_by("samples_fresh")

    def test_a_sample_older_than_the_hosts_own_version_allows_is_seen(self):
        self._handed(1.5, "host-1", 1, stated=1)
        self.assert_found_only_by("samples_fresh")

    def test_a_version_of_another_host_counts_after_the_view_limit(self):
        self._handed(5.5, "host-2", 1, stated=1)
        self.assertEqual(check_all(self.history), [])
        self._handed(6.5, "host-2", 1, stated=1)
        self.assert_found_only_by("samples_fresh")

    def test_a_doubled_sample_is_seen(self):
        self._sample(SLOT)
        self.assert_found_only_by("samples_once")

    def test_a_cut_sample_is_seen(self):
        self.history.record(
            "ok", "made", "s2", 3.0, engine="engine-1", slot="x", versions=[(3, 8)]
        )
        self._sample("x", versions=[(3, 8)], got="ab")
        self.assert_found_only_by("answers_whole")

    def test_anothers_answer_is_seen(self):
        self.history.record("ok", "call", "r3", 3.2, "host-1", got="r1", due="r3")
        self.assert_found_only_by("answers_whole")

    def _ran(self, request: str, key: str | None, repeatable: bool = False) -> None:
        value = {"key": key, "target": "portal-2", "repeatable": repeatable}
        self.history.record("ok", "ran", request, 3.3, request=request, **value)

    def test_a_refused_call_that_ran_is_seen(self):
        self._ran("r2", None)
        self.assert_found_only_by("refusals_true")

    def test_a_refused_change_that_was_applied_is_seen(self):
        self.history.record("ok", "applied", "c2", 7.0, "host-1")
        self.history.record("fail", "change", "c2", 7.0, "host-1", not_run=True)
        self.assert_found_only_by("refusals_true")

    def test_a_change_refused_once_and_accepted_later_passes(self):
        self.history.record("fail", "change", "c1", 0.0, "host-1", not_run=True)
        self.assertEqual(check_all(self.history), [])

    def test_a_key_that_ran_twice_is_seen(self):
        self._ran("r3", "k1")
        self.assert_found_only_by("run_at_most_once")

    def test_a_request_without_a_key_that_ran_twice_is_seen(self):
        self._ran("r4", None)
        self._ran("r4", None)
        self.assert_found_only_by("run_at_most_once")

    def test_a_repeatable_request_may_run_twice(self):
        self._ran("r4", None, repeatable=True)
        self._ran("r4", None, repeatable=True)
        self.assertEqual(check_all(self.history), [])

    def test_new_work_at_a_leaving_target_is_seen(self):
        self.history.record("ok", "began", "r5", 8.9, target="portal-1")
        self.assertEqual(check_all(self.history), [])
        self.history.record("ok", "began", "r6", 9.1, target="portal-1")
        self.assert_found_only_by("leaving_left_alone")

    def test_a_request_that_a_stop_cut_off_is_seen(self):
        self.history.record("ok", "cut", "r7", 4.9, "host-1", why="broken")
        self.assertEqual(check_all(self.history), [])
        self.history.record("ok", "cut", "r7", 5.1, "host-1", why="broken")
        self.assert_found_only_by("stop_cuts_nothing")

    def _view(self, at: float, generation: int, knowable: int = 0) -> None:
        seen = {"w/denoiser": generation}
        self.history.record(
            "ok",
            "view",
            "host-3/1",
            at,
            offset=0,
            knowable=knowable,
            generations=seen,
        )

    def test_a_change_that_reverts_is_seen(self):
        self._view(1.0, 1)
        self._view(1.5, 0)
        self.assert_found_only_by("changes_in_force")

    def test_a_change_that_a_host_lacks_is_seen(self):
        self._view(10.0, 0)
        self.assertEqual(check_all(self.history), [])
        self._view(10.2, 0)
        self.assert_found_only_by("changes_in_force")

    def test_a_host_out_of_reach_has_the_time_after_its_return(self):
        self._view(10.2, 0, knowable=-1)
        self._view(20.0, 0)
        self.assertEqual(check_all(self.history), [])
        self._view(20.4, 0)
        self.assert_found_only_by("changes_in_force")

    def test_a_step_without_an_end_is_seen(self):
        self.history.record("invoke", "step", "denoiser/2", 2.0, slots=[], limit=60.0)
        self.assert_found_only_by("steps_complete")

    def test_a_late_step_is_seen(self):
        self.history.record("invoke", "step", "denoiser/2", 2.0, slots=[], limit=60.0)
        self.history.record("ok", "step", "denoiser/2", 62.1)
        self.assert_found_only_by("steps_complete")

    def test_a_step_that_lacks_a_sample_is_seen(self):
        self.history.record(
            "invoke", "step", "denoiser/2", 2.0, slots=["y"], limit=60.0
        )
        self.history.record("ok", "step", "denoiser/2", 3.0)
        self.assert_found_only_by("steps_complete")
