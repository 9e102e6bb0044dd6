"""Shares of workspaces that use the same engines."""

from collections import Counter

from cranberryrun.batches.dispatch import Policies, plan_starts
from cranberryrun.batches.shares import Shares

from .test_batch_dispatch import SLOTS, DispatchTestCase


class SharesTest(DispatchTestCase):
    """A workspace submits many steps at once beside one that submits a step."""

    def step(self, workspace, number=0, groups=2, due=1000.0, **changes):
        return self.scheduled_items(
            groups,
            size=4,
            events=50,
            due=due,
            batch_id=f"{workspace}/{number}",
            workspace=workspace,
            **changes,
        )

    def flood(self, steps=10):
        return [
            scheduled
            for number in range(steps)
            for scheduled in self.step("flood", number, due=900.0)
        ]

    def play(self, shares, scheduled_items, rounds, engines=1):
        """Start what the plan says; every run is complete before the next round."""
        started = []
        for _ in range(rounds):
            policies = Policies(shares=shares)
            free = [self.engine(f"e{number}") for number in range(engines)]
            starts = plan_starts(scheduled_items, free, 0.0, policies)
            for start in starts:
                shares.record_start(start.scheduled)
                scheduled_items.remove(start.scheduled)
                started.append(start.scheduled.state.batch.workspace)
        return started

    async def test_workspace_that_floods_gets_no_more_than_its_share(self):
        """By their due times all items of the flood would go first."""
        shares = Shares()
        items = self.flood() + self.step("usual", groups=4)
        started = Counter(self.play(shares, items, rounds=3))
        # In 36 starts the flood is ahead by one step of 8 items at most.
        self.assertEqual(started["flood"] + started["usual"], 36)
        self.assertLessEqual(started["flood"] - started["usual"], 8)
        later = self.step("usual", 1, groups=4)
        started = self.play(shares, items + later, rounds=1)
        self.assertGreaterEqual(started.count("usual"), SLOTS - 8)

    async def test_weight_gives_a_workspace_a_larger_share(self):
        shares = Shares({"flood": 3.0})
        items = self.flood() + self.step("usual", groups=10)
        started = Counter(self.play(shares, items, rounds=5))
        self.assertGreaterEqual(started["flood"], 2 * started["usual"])

    async def test_workspace_that_is_alone_uses_all_slots(self):
        started = self.play(Shares(), self.flood(), rounds=3)
        self.assertEqual(len(started), 3 * SLOTS)

    async def test_idle_workspace_collects_no_claim(self):
        """Else a workspace that comes back would stop all others for long."""
        shares = Shares()
        self.play(shares, self.step("back"), rounds=1)
        self.play(shares, self.flood(20), rounds=10)
        items = self.flood() + [
            scheduled
            for number in range(1, 8)
            for scheduled in self.step("back", number, groups=2, due=800.0)
        ]
        started = self.play(shares, items, rounds=4)
        self.assertGreaterEqual(started.count("flood"), 2 * SLOTS - 8)

    async def test_priority_goes_before_the_share(self):
        shares = Shares()
        items = self.step("low", groups=4, priority=3, due=900.0)
        items += self.step("high", groups=4, priority=0)
        started = self.play(shares, items, rounds=2)
        self.assertEqual(started[:16], ["high"] * 16)

    async def test_order_is_that_of_the_plan_without_workspaces(self):
        engines = [self.engine("e0")]
        items = self.scheduled_items(groups=5, size=4, events=50)
        for scheduled in items[8:]:
            scheduled.due = 900.0
        policies = Policies(shares=Shares())
        self.assertEqual(
            plan_starts(items, engines, 0.0, policies), plan_starts(items, engines, 0.0)
        )
