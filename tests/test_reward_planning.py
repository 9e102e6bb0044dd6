"""Tests of the decisions on reward calls: order, targets, hedging and limits."""

import unittest

from cranberryrun.rewards.models import PendingCall, RewardCall
from cranberryrun.rewards.planning import TargetLoad, plan_attempts

SLOTS = 6
MEAN_SECONDS = 0.1
NOW = 50.0


class PlanTestCase(unittest.TestCase):
    def pending(self, name, due=100.0, **fields):
        call = RewardCall(name, "host", "/score/1", b"")
        return PendingCall(call, name, "b1", due, deadline=90.0, **fields)

    def target(self, name, in_flight=0, mean_seconds=MEAN_SECONDS):
        return TargetLoad(name, SLOTS, in_flight, mean_seconds)

    def plan(self, pending_calls, targets, now=NOW):
        by_call = {pending.call.id: targets for pending in pending_calls}
        return [
            (attempt.pending.call.id, attempt.target_id)
            for attempt in plan_attempts(pending_calls, by_call, now)
        ]

    def planned_calls(self, *args, **options):
        return [call_id for call_id, _ in self.plan(*args, **options)]


class OrderTest(PlanTestCase):
    """More texts are complete than the scoring service has slots."""

    def test_call_that_is_due_first_gets_the_only_slot(self):
        calls = [self.pending("late", due=110.0), self.pending("early", due=100.0)]
        self.assertEqual(
            self.planned_calls(calls, [self.target("t", in_flight=3)]), ["early"]
        )

    def test_group_that_lacks_the_fewest_items_goes_first(self):
        calls = [
            self.pending("far", unfinished_in_group=8),
            self.pending("near", unfinished_in_group=1),
        ]
        self.assertEqual(
            self.planned_calls(calls, [self.target("t", in_flight=3)]), ["near"]
        )

    def test_first_attempt_goes_before_a_hedged_one_that_is_due_earlier(self):
        hedged = self.pending("hedged", due=1.0, started_at_by_target={"x": NOW - 2})
        calls = [hedged, self.pending("new")]
        self.assertEqual(
            self.planned_calls(calls, [self.target("t", in_flight=3)]), ["new"]
        )


class SharedTargetTest(PlanTestCase):
    """Callers' requests go to the same targets."""

    def test_a_third_of_the_slots_is_left_to_callers(self):
        calls = [self.pending(f"c{number}") for number in range(40)]
        targets = [self.target("t0"), self.target("t1")]
        started = self.plan(calls, targets)
        self.assertEqual(len(started), 2 * (SLOTS - SLOTS // 3))

    def test_requests_of_callers_count_as_load(self):
        targets = [self.target("busy", in_flight=3), self.target("idle")]
        self.assertEqual(self.plan([self.pending("c")], targets), [("c", "idle")])

    def test_target_with_one_slot_is_used(self):
        target = TargetLoad("t", 1, 0, MEAN_SECONDS)
        self.assertEqual(self.plan([self.pending("c")], [target]), [("c", "t")])


class SlowTargetTest(PlanTestCase):
    def test_idle_slow_target_is_left_for_a_loaded_fast_one(self):
        targets = [
            self.target("slow", mean_seconds=4 * MEAN_SECONDS),
            self.target("fast", in_flight=3),
        ]
        self.assertEqual(self.plan([self.pending("c")], targets), [("c", "fast")])

    def test_another_target_is_asked_when_the_answer_takes_long(self):
        pending = self.pending("c", started_at_by_target={"t0": NOW})
        targets = [self.target("t0", in_flight=1), self.target("t1")]
        self.assertEqual(self.plan([pending], targets, now=NOW + 0.2), [])
        self.assertEqual(self.plan([pending], targets, now=NOW + 0.4), [("c", "t1")])

    def test_at_most_three_attempts_of_a_call_run_at_once(self):
        started = {f"t{number}": NOW - 5 for number in range(3)}
        pending = self.pending("c", started_at_by_target=started)
        self.assertEqual(self.plan([pending], [self.target("t9")]), [])

    def test_call_waits_when_no_target_is_usable(self):
        self.assertEqual(self.plan([self.pending("c")], []), [])


class FailedTargetTest(PlanTestCase):
    def test_target_that_failed_the_call_is_asked_last(self):
        pending = self.pending("c", failed_target_ids={"t0"})
        targets = [self.target("t0"), self.target("t1", in_flight=3)]
        self.assertEqual(self.plan([pending], targets), [("c", "t1")])

    def test_call_waits_for_a_full_target_that_has_not_failed_it(self):
        pending = self.pending("c", failed_target_ids={"t0"})
        targets = [self.target("t0"), self.target("t1", in_flight=SLOTS)]
        self.assertEqual(self.plan([pending], targets), [])

    def test_target_that_failed_the_call_is_asked_again_when_it_is_the_only_one(self):
        pending = self.pending("c", failed_target_ids={"t0"})
        self.assertEqual(self.plan([pending], [self.target("t0")]), [("c", "t0")])

    def test_no_attempt_starts_before_the_retry_delay_is_over(self):
        pending = self.pending("c", retry_at=NOW + 0.1)
        self.assertEqual(self.plan([pending], [self.target("t")]), [])
