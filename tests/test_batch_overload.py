"""The order of starts when engines are overloaded, and unchanged starts when not."""

from dataclasses import replace

from cranberryrun.batches.dispatch import Policies, plan_starts
from cranberryrun.batches.engine_choice import fastest_event_interval
from cranberryrun.batches.group_ranks import rank_by_group
from cranberryrun.batches.overload import Overload
from cranberryrun.batches.pace import TrainerPaces
from cranberryrun.batches.shares import Shares
from fakes.deployment import batch
from fakes.trainers import FakeTrainer, TrainerSimulation

from .test_batch_dispatch import SLOTS, DispatchTestCase

SECONDS = 36.0


def trainers(load, **changes):
    """Return three trainers whose steps need ``load`` times the usual groups."""
    groups = round(6 * load), round(14 * load)
    return [
        FakeTrainer(f"m{n}", groups=groups, size=8, starts=1.1 * n, **changes)
        for n in range(3)
    ]


def starts_under_overload():
    """Return a plan of starts as the holder of the lease makes it."""
    overload = Overload()

    def plan(scheduled_items, engines, now_wall):
        policies = Policies(overload)
        return plan_starts(scheduled_items, engines, now_wall, policies)

    return plan


class LoadTest(DispatchTestCase):
    """Three trainers with groups of 8 on 11 engines of 8 slots."""

    async def values(self, load, **options):
        """Return the value earned by today's order and by the order in overload."""
        changes = options.pop("changes", {})
        values = []
        for plan in (plan_starts, starts_under_overload()):
            simulation = TrainerSimulation(
                trainers(load, **changes), plan, engines=11, **options
            )
            values.append(await simulation.run(SECONDS))
        return values

    async def test_trainers_keep_their_pace_under_1_1_times_the_usual_groups(self):
        """Least slack made all steps late, and each trainer fell behind for good."""
        before, after = await self.values(1.1, seed=3)
        self.assertGreater(after, before + 0.1)

    async def test_less_is_late_when_a_fifth_of_the_engines_is_slow_for_8_s(self):
        def event_seconds(index, now):
            return 0.12 if index % 5 == 0 and 12 <= now < 20 else 0.04

        before, after = await self.values(0.95, event_seconds=event_seconds)
        self.assertGreater(after, before + 0.05)

    async def test_less_is_late_when_a_third_of_the_engines_is_gone(self):
        def event_seconds(index, now):
            return float("inf") if index % 3 == 0 and now >= 12 else 0.04

        before, after = await self.values(0.85, event_seconds=event_seconds)
        self.assertGreater(after, before + 0.05)

    async def test_more_is_on_time_when_lengths_have_a_heavy_tail(self):
        """Estimates that are often far off must still tell what can be on time."""
        changes = {"median_events": 24, "length_spread": 1.0, "estimate_error": 0.8}
        before, after = await self.values(1.2, changes=changes)
        self.assertGreater(after, before + 0.1)

    async def test_starts_are_the_same_without_overload(self):
        overload = Overload()
        queues = 0

        def compared(scheduled_items, engines, now_wall):
            nonlocal queues
            policies = Policies(overload, Shares())
            starts = plan_starts(scheduled_items, engines, now_wall, policies)
            expected = plan_starts(scheduled_items, engines, now_wall)
            if policies.plan is not None and not policies.plan.overloaded:
                self.assertEqual(starts, expected)
                waiting = sum(scheduled.waiting for scheduled in scheduled_items)
                queues += waiting > len(starts)
            return expected

        await TrainerSimulation(trainers(0.8), compared, engines=11).run(SECONDS)
        # Only where more items wait than start does their order matter.
        self.assertGreater(queues, 100)


class OrderTest(DispatchTestCase):
    """One engine of 12 slots, and steps that together need more than it can do."""

    def step(self, model, step=0, groups=3, size=4, events=40, due=1004.0, **changes):
        return self.scheduled_items(
            groups,
            size,
            events,
            due,
            batch_id=f"{model}/{step}",
            model=model,
            step=step,
            submitted_at=due - 7.5,
            **changes,
        )

    def plan(self, scheduled_items, overload=None, now=1000.0):
        overload = overload or Overload()
        engines = [self.engine("e0")]
        interval = fastest_event_interval(engines)
        ranks = rank_by_group(scheduled_items)
        return overload.plan(scheduled_items, ranks, engines, interval, now)

    def starts(self, scheduled_items, overload=None):
        engine = self.engine("e0")
        for scheduled in scheduled_items:
            models = engine.target.version_by_model
            models[scheduled.state.batch.model] = 1
        policies = Policies(overload or Overload())
        starts = plan_starts(scheduled_items, [engine], 1000.0, policies)
        assert policies.plan is not None and policies.plan.overloaded
        return [start.scheduled for start in starts]

    async def test_work_that_can_be_on_time_goes_before_started_late_work(self):
        """A group that can't be complete used to keep its slots from others."""
        late = self.step("a", events=60, due=1000.5)
        late[0].engine = self.engine("e1")
        on_time = self.step("b", groups=4)
        self.assertEqual(set(self.starts(late + on_time)), set(on_time[:SLOTS]))

    async def test_late_work_is_not_dropped(self):
        late = self.step("a", groups=1, events=60, due=1000.5)
        late += self.step("b", groups=1, events=60, due=1000.5)
        extra = self.step("c", groups=2, events=60, due=1000.5)
        self.assertEqual(len(self.starts(late + extra)), SLOTS)

    async def test_whole_groups_start_from_the_one_with_least_work(self):
        steps = self.step("a", groups=6, events=120)
        for index in (20, 21, 22, 23):
            steps[index].expected_events = 100
        steps[21].expected_events = 110
        started = self.starts(steps)
        self.assertEqual(started[0], steps[21])
        self.assertEqual(set(started[:4]), set(steps[20:24]))

    async def test_trainer_furthest_behind_goes_first(self):
        overload = Overload()
        paces = overload.paces
        for model, lateness in (("a", 0.0), ("b", 1.5)):
            for number in range(5):
                at = 980.5 + 4 * number + (lateness if number == 4 else 0.0)
                shape = batch(f"{model}/{number}", submitted_at=at, model=model)
                paces.record([replace(shape, step=number)])
        steps = self.step("a", 5, groups=6, due=1008.0)
        steps += self.step("b", 5, groups=6, due=1009.5)
        started = self.starts(steps, overload)
        models = {scheduled.state.batch.model for scheduled in started}
        self.assertEqual(models, {"b"})

    async def test_no_trainer_yields_twice_while_another_never_yielded(self):
        overload = Overload()
        first = self.step("a", events=60) + self.step("b", events=60, due=1004.2)
        plan = self.plan(first, overload)
        self.assertEqual(plan.late_batches, {"b/0"})
        second = self.step("a", 1, events=60, due=1008.0)
        second += self.step("b", 1, events=60, due=1008.2)
        plan = self.plan(second, overload, now=1004.0)
        self.assertEqual(plan.late_batches, {"a/1"})

    async def test_spare_groups_and_items_that_run_ahead_come_last(self):
        steps = self.step("a", groups=5, wanted_groups=4, events=80)
        for scheduled in steps[:4]:
            scheduled.expected_events = 85
        ahead = self.step("b", groups=1, events=10)
        for scheduled in ahead:
            scheduled.ahead = True
        started = self.starts(steps + ahead)
        self.assertEqual(set(started) & set(steps[:4] + ahead), set())


class PaceTest(DispatchTestCase):
    def paces(self, *times):
        paces = TrainerPaces()
        for step, time in enumerate(times):
            shape = batch(f"b{step}", submitted_at=100.0 + time)
            paces.record([replace(shape, step=step)])
        return paces

    async def test_pace_is_that_of_the_steps_that_were_on_time(self):
        for times in (
            (0, 4, 8, 12, 18, 24, 30, 36, 42, 48),
            (0, 4, 8, 14, 16, 20),
            (3, 4.5, 8, 12, 16, 20),
        ):
            with self.subTest(times=times):
                self.assertAlmostEqual(self.paces(*times).pace("m"), 4.0)

    async def test_trainer_is_behind_by_its_last_step_or_by_the_missing_one(self):
        paces = self.paces(0, 4, 8, 12, 17.5)
        self.assertAlmostEqual(paces.behind("m", 118.0), 1.5)
        self.assertAlmostEqual(paces.behind("m", 123.0), 3.0)

    async def test_nothing_is_said_of_a_trainer_with_few_steps(self):
        paces = self.paces(0, 4)
        self.assertIsNone(paces.pace("m"))
        self.assertEqual(paces.behind("m", 200.0), 0.0)
