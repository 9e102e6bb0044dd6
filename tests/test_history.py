"""Each checker accepts a good history and finds a violation added to it."""

import unittest

from fakes.history import CHECKER_BY_GUARANTEE, History, check_all

SLOT = "denoiser/1/g0/0"


def good_history() -> History:
    """Return a history in which every guarantee holds."""
    history = History()
    record = history.record
    record("invoke", "change", "c1", 0.0, "host-1")
    record("ok", "applied", "c1", 0.1, "host-1")
    record("ok", "change", "c1", 0.1, "host-1", offset=0, resource=("w/denoiser", 1))
    for at in (0.2, 20.0):
        for host in ("host-1/1", "host-2/1"):
            generations = {"w/denoiser": 1}
            record(
                "ok", "view", host, at, offset=0, knowable=0, generations=generations
            )
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
    delivered = {"trainer": "t", "step": "denoiser/1", "got": "abc", "due": "abc"}
    record("ok", "sample", SLOT, 9.1, **made, **delivered)
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
    """Adds one violation to a good history and expects one checker to find it."""

    def setUp(self) -> None:
        self.history = good_history()

    def assert_found_only_by(self, guarantee: str) -> None:
        found = {violation.guarantee for violation in check_all(self.history)}
        self.assertEqual(found, {guarantee})

    def test_good_history_passes(self):
        self.assertEqual(check_all(self.history), [])
        self.assertEqual(len(CHECKER_BY_GUARANTEE), 10)

    def _record_sample(self, slot: str, **changes: object) -> None:
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

    def test_sample_that_omits_an_older_version_is_found(self):
        self.history.record(
            "ok", "made", "s2", 3.0, engine="engine-2", slot="x", versions=[(2, 16)]
        )
        self._record_sample("x", engine="engine-2", versions=[(3, 16)])
        self.assert_found_only_by("stamps_true")

    def test_sample_that_names_another_engine_is_found(self):
        self._record_sample("x")
        self.assert_found_only_by("stamps_true")

    def _record_handed_over(
        self, at: float, host: str, oldest: int, stated: int = 3
    ) -> None:
        value = {"workload": "denoiser", "slot": "x", "bound": 1}
        self.history.record(
            "ok", "handed", "x", at, host, stated=stated, oldest=oldest, **value
        )

    def test_sample_older_than_the_request_allows_is_found(self):
        self._record_handed_over(0.5, "host-2", 1)
        self.assert_found_only_by("samples_fresh")

    def test_sample_older_than_the_hosts_own_version_allows_is_found(self):
        self._record_handed_over(1.5, "host-1", 1, stated=1)
        self.assert_found_only_by("samples_fresh")

    def test_version_of_another_host_counts_after_the_staleness_limit(self):
        self._record_handed_over(5.5, "host-2", 1, stated=1)
        self.assertEqual(check_all(self.history), [])
        self._record_handed_over(6.5, "host-2", 1, stated=1)
        self.assert_found_only_by("samples_fresh")

    def test_sample_delivered_twice_is_found(self):
        self._record_sample(SLOT)
        self.assert_found_only_by("samples_once")

    def test_truncated_sample_is_found(self):
        self.history.record(
            "ok", "made", "s2", 3.0, engine="engine-1", slot="x", versions=[(3, 8)]
        )
        self._record_sample("x", versions=[(3, 8)], got="ab")
        self.assert_found_only_by("answers_whole")

    def test_answer_to_another_request_is_found(self):
        self.history.record("ok", "call", "r3", 3.2, "host-1", got="r1", due="r3")
        self.assert_found_only_by("answers_whole")

    def _record_ran(
        self, request: str, key: str | None, repeatable: bool = False
    ) -> None:
        value = {"key": key, "target": "portal-2", "repeatable": repeatable}
        self.history.record("ok", "ran", request, 3.3, request=request, **value)

    def test_refused_call_that_ran_is_found(self):
        self._record_ran("r2", None)
        self.assert_found_only_by("refusals_true")

    def test_refused_change_that_was_applied_is_found(self):
        self.history.record("ok", "applied", "c2", 7.0, "host-1")
        self.history.record("fail", "change", "c2", 7.0, "host-1", not_run=True)
        self.assert_found_only_by("refusals_true")

    def test_change_refused_once_and_accepted_later_passes(self):
        self.history.record("fail", "change", "c1", 0.0, "host-1", not_run=True)
        self.assertEqual(check_all(self.history), [])

    def test_key_that_ran_twice_is_found(self):
        self._record_ran("r3", "k1")
        self.assert_found_only_by("run_at_most_once")

    def test_request_without_a_key_that_ran_twice_is_found(self):
        self._record_ran("r4", None)
        self._record_ran("r4", None)
        self.assert_found_only_by("run_at_most_once")

    def test_repeatable_request_may_run_twice(self):
        self._record_ran("r4", None, repeatable=True)
        self._record_ran("r4", None, repeatable=True)
        self.assertEqual(check_all(self.history), [])

    def test_new_work_at_a_leaving_target_is_found(self):
        self.history.record("ok", "began", "r5", 8.9, target="portal-1")
        self.assertEqual(check_all(self.history), [])
        self.history.record("ok", "began", "r6", 9.1, target="portal-1")
        self.assert_found_only_by("leaving_left_alone")

    def test_request_broken_by_a_graceful_stop_is_found(self):
        self.history.record("ok", "cut", "r7", 4.9, "host-1", why="broken")
        self.assertEqual(check_all(self.history), [])
        self.history.record("ok", "cut", "r7", 5.1, "host-1", why="broken")
        self.assert_found_only_by("stop_cuts_nothing")

    def _record_view(self, at: float, generation: int, knowable: int = 0) -> None:
        generations = {"w/denoiser": generation}
        self.history.record(
            "ok",
            "view",
            "host-3/1",
            at,
            offset=0,
            knowable=knowable,
            generations=generations,
        )

    def test_reverted_change_is_found(self):
        self._record_view(1.0, 1)
        self._record_view(1.5, 0)
        self.assert_found_only_by("changes_in_force")

    def test_change_that_a_host_lacks_is_found(self):
        self._record_view(10.0, 0)
        self.assertEqual(check_all(self.history), [])
        self._record_view(10.2, 0)
        self.assert_found_only_by("changes_in_force")

    def test_unreachable_host_gets_the_full_time_after_its_return(self):
        self._record_view(10.2, 0, knowable=-1)
        self._record_view(20.0, 0)
        self.assertEqual(check_all(self.history), [])
        self._record_view(20.4, 0)
        self.assert_found_only_by("changes_in_force")

    def test_step_without_an_end_is_found(self):
        self.history.record("invoke", "step", "denoiser/2", 2.0, slots=[], limit=60.0)
        self.assert_found_only_by("steps_complete")

    def test_late_step_is_found(self):
        self.history.record("invoke", "step", "denoiser/2", 2.0, slots=[], limit=60.0)
        self.history.record("ok", "step", "denoiser/2", 62.1)
        self.assert_found_only_by("steps_complete")

    def test_step_that_lacks_a_sample_is_found(self):
        self.history.record(
            "invoke", "step", "denoiser/2", 2.0, slots=["y"], limit=60.0
        )
        self.history.record("ok", "step", "denoiser/2", 3.0)
        self.assert_found_only_by("steps_complete")
