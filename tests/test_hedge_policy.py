"""When a second attempt is due, where it goes and whether the budget allows it."""

import unittest

from cranberryrun.second_attempts.budget import Budget, TargetLoad
from cranberryrun.second_attempts.client import (
    Expectation,
    HedgeReport,
    PermitAsk,
    ServiceCounts,
)
from cranberryrun.second_attempts.policy import (
    SecondTarget,
    delay_at,
    expectation_of,
    second_targets,
)
from cranberryrun.second_attempts.response_times import ResponseTimes, TimeCounts

ASK = PermitAsk(service="s", slow_target="t0", target="t1")
FREE = {f"t{n}": TargetLoad(slots=6, in_flight=0) for n in range(3)}


def counts(*rows):
    """Return the counts of rows of (seconds, count, complete)."""
    times = TimeCounts()
    for seconds, count, complete in rows:
        for _ in range(count):
            times.record(seconds, complete)
    return times


def response_times(*rows):
    times = ResponseTimes()
    times.merge(counts(*rows), 0.0)
    return times


class DelayTest(unittest.TestCase):
    def test_delay_ends_between_the_fast_and_the_slow_responses(self):
        times = response_times((0.1, 67, True), (0.3, 33, True))
        expectation = expectation_of(times, 0.1)
        self.assertGreater(expectation.delay, 0.1)
        self.assertLess(expectation.delay, 0.15)

    def test_no_second_attempt_where_none_would_be_faster(self):
        """A fixed multiple of the mean hedges also what takes as long anywhere."""
        for rows in ([(0.1, 100, True)], [(0.1, 50, True), (0.12, 50, True)]):
            self.assertIsNone(expectation_of(response_times(*rows), 0.1).delay)

    def test_slow_responses_that_were_replaced_are_still_known(self):
        """Without the cancelled ones hedging would hide why it is worth it."""
        times = response_times((0.1, 67, True), (0.23, 30, False), (0.3, 3, True))
        self.assertLess(expectation_of(times, 0.1).delay, 0.15)
        only_complete = response_times((0.1, 67, True), (0.3, 3, True))
        self.assertLess(
            only_complete.distribution()[-1][2], times.distribution()[-1][2] / 4
        )

    def test_few_responses_give_no_expectation(self):
        self.assertIsNone(expectation_of(response_times((0.1, 19, True)), 0.1))

    def test_loaded_target_and_generous_goal_are_waited_for(self):
        target = SecondTarget("t1", "a", 4, 2, True)
        expectation = Expectation(mean=0.1, delay=0.2)
        self.assertAlmostEqual(delay_at(expectation, target, 0.2), 0.3)
        self.assertAlmostEqual(delay_at(expectation, target, 4.0), 1.0)

    def test_second_target_is_free_and_elsewhere_if_possible(self):
        own, other = SecondTarget("t1", "a", 4, 0, True), SecondTarget(
            "t2", "b", 4, 3, True
        )
        full, failing = SecondTarget("t3", "b", 4, 4, True), SecondTarget(
            "t4", "b", 4, 0, False
        )
        self.assertEqual(second_targets([own, other, full, failing], "a"), [other])
        self.assertEqual(second_targets([own, full, failing], "a"), [own])
        self.assertEqual(second_targets([full, failing], "a"), [])


class BudgetTest(unittest.TestCase):
    def setUp(self):
        self.budget = Budget(0.02)
        self.report(0.0, times=counts((0.1, 67, True), (0.3, 33, True)))

    def report(self, now, sent=0, begun=0, unused=0, times=None):
        report = HedgeReport(unused=unused)
        report.counts_by_service["s"] = ServiceCounts(
            sent=sent, begun=begun, times=times or TimeCounts()
        )
        self.budget.record_report(report, now)
        self.budget.expectations(now)

    def take(self, now, slow_target="t0", load=None):
        ask = ASK.model_copy(update={"slow_target": slow_target})
        return self.budget.take(ask, load or FREE, now)

    def test_extra_runs_stay_under_the_share_of_all_runs(self):
        granted = 0
        for second in range(200):
            times = counts((0.1, 7, True), (0.3, 3, True))
            self.report(second, sent=10, begun=10, times=times)
            granted += [self.take(second) for _ in range(3)].count(None)
        self.assertLessEqual(granted, 0.02 * 2000)
        self.assertGreaterEqual(granted, 0.02 * 2000 - 1)

    def test_items_of_the_holder_count_and_unused_permits_return(self):
        self.assertEqual(self.take(0.0), "no_budget")
        self.budget.record_runs(50, 0.0)
        self.assertIsNone(self.take(0.0))
        self.assertEqual(self.take(0.0), "no_budget")
        self.report(0.0, unused=1)
        self.assertIsNone(self.take(0.0))

    def test_quiet_hour_does_not_allow_a_burst(self):
        self.report(0.0, sent=1_000_000, begun=1000)
        answers = [self.take(3600.0) for _ in range(50)]
        self.assertLessEqual(answers.count(None), 5)

    def test_all_slow_at_once_stops_second_attempts_and_one_slow_target_does_not(self):
        self.budget.record_runs(10_000, 0.0)
        self.report(1.0, begun=12)
        self.assertEqual([self.take(1.0) for _ in range(4)], [None] * 4)
        self.report(1.0, unused=5)
        answers = [self.take(1.0, f"t{n % 3}") for n in range(8)]
        self.assertEqual(answers[-1], "slow")
        self.budget.record_runs(10_000, 9.0)
        self.report(9.0, begun=12)
        self.assertIsNone(self.take(9.0))

    def test_full_targets_get_no_second_attempt(self):
        self.budget.record_runs(10_000, 0.0)
        full = FREE | {"t1": TargetLoad(6, 6)}
        self.assertEqual(self.take(0.0, load=full), "full")
        busy = {target: TargetLoad(6, 5) for target in FREE}
        self.assertEqual(self.take(0.0, load=busy), "full")
        # 150 requests a second of 0.17 s are 25 in flight at 18 slots.
        self.report(0.0, sent=450)
        self.assertEqual(self.take(0.0), "full")

    def test_reports_of_a_service_that_is_never_hedged_take_no_memory(self):
        for tenth in range(1000):
            self.report(tenth / 10, begun=1)
        (state,) = self.budget._state_by_service.values()
        self.assertLessEqual(len(state.begun), 16)

    def test_unknown_service_or_target_gets_no_permit(self):
        self.budget.record_runs(10_000, 0.0)
        self.assertEqual(self.take(0.0, load={"t0": TargetLoad(6, 0)}), "full")
        ask = PermitAsk(service="other", slow_target="t0", target="t1")
        self.assertEqual(self.budget.take(ask, FREE, 0.0), "unknown")
