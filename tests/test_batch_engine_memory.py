"""The memory budgets of engines: estimates, shared prompts, excess."""

import asyncio
import random
from dataclasses import replace

from cranberryrun import clock
from cranberryrun.batches.dispatch import Policies, plan_starts
from cranberryrun.batches.engine_choice import moves
from cranberryrun.batches.engine_memory import EngineMemory, MemoryLimits
from cranberryrun.batches.models import Piece
from cranberryrun.batches.overload import Overload
from fakes.deployment import SERVICE

from .test_batch_dispatch import FAST_INTERVAL, DispatchTestCase

STRIDE = 10.0


class MemoryTestCase(DispatchTestCase):
    def memory(self, capacity):
        return EngineMemory(MemoryLimits({SERVICE: capacity}, {SERVICE: STRIDE}))

    def budget(self, capacity, running, engine=None):
        engine = engine or self.engine("e0")
        for scheduled in running:
            scheduled.engine = engine
        return self.memory(capacity).budgets(running, [engine], clock.now())[engine.id]

    def items(self, count, events=10, pieces=0, **prompt):
        scheduled_items = self.scheduled_items(groups=1, size=count, events=events)
        for number, scheduled in enumerate(scheduled_items):
            scheduled.item = replace(scheduled.item, **prompt)
            scheduled.pieces = [Piece("", 1)] * pieces
            scheduled.started_at = float(number)
        return scheduled_items


class FitTest(MemoryTestCase):
    async def test_prompt_that_a_group_shares_is_counted_once(self):
        """Counted for each item, the prompt of a group would leave engines empty."""
        shared = {"prompt_tokens": 1000.0, "prompt_parts": (("p", 900.0),)}
        running = self.items(3, **shared)
        budget = self.budget(10_000.0, running)
        self.assertEqual(budget.held(), 900.0 + 3 * 100.0)
        other = self.items(1, prompt_tokens=1000.0)[0]
        before = budget.expected()
        budget.add(self.items(1, **shared)[0])
        grown = budget.expected()
        budget.add(other)
        self.assertLess(grown - before, budget.expected() - grown - 800.0)

    async def test_run_starts_only_where_its_expected_end_fits_with_a_margin(self):
        running = self.items(3, events=50)
        (item,) = self.items(1, events=50)
        # Each of the four outputs has 500 tokens by its estimate, 562.5 in the mean.
        mean, margin = 4 * 562.5, 0.5 * 2 * 0.73 * 500.0
        self.assertFalse(self.budget(mean + 0.9 * margin, running).fits(item))
        self.assertTrue(self.budget(mean + 1.01 * margin, running).fits(item))

    async def test_output_is_not_expected_beyond_the_maximum_of_its_caller(self):
        running = self.items(3, events=50, max_output_tokens=500.0)
        (item,) = self.items(1, events=50, max_output_tokens=500.0)
        self.assertTrue(self.budget(2000.0, running).fits(item))

    async def test_run_that_fits_nowhere_with_a_margin_starts_on_an_empty_engine(self):
        (item,) = self.items(1, events=100)
        self.assertTrue(self.budget(1000.0, []).fits(item))

    async def test_stopped_run_counts_until_its_engine_has_freed_it(self):
        engine = self.engine("e0")
        memory = self.memory(1000.0)
        (stopped,) = self.items(1, pieces=30, prompt_tokens=100.0)
        stopped.engine = engine
        memory.record_stop(stopped, 10.0)
        self.assertGreater(memory.budgets([], [engine], 10.4)["e0"].leaving, 400.0)
        self.assertEqual(memory.budgets([], [engine], 10.6)["e0"].leaving, 0.0)

    async def test_nothing_is_limited_where_the_manifest_states_no_memory(self):
        engine = self.engine("e0")
        self.assertEqual(EngineMemory().budgets([], [engine], 0.0), {})


class PlanTest(MemoryTestCase):
    def starts(self, scheduled_items, engines, capacity, running=()):
        memory = self.memory(capacity)
        budgets = memory.budgets([*running, *scheduled_items], engines, clock.now())
        policies = Policies(budgets=budgets)
        return plan_starts([*running, *scheduled_items], engines, 0.0, policies)

    async def test_fewer_runs_start_than_slots_when_the_memory_is_scarce(self):
        starts = self.starts(self.items(8, events=50), [self.engine("e0")], 2000.0)
        self.assertEqual(len(starts), 2)

    async def test_long_item_gets_the_memory_that_becomes_free_before_short_ones(self):
        """Short items that always fit would keep a long one waiting for ever."""
        engine = self.engine("e0")
        running = self.items(2, events=40, pieces=20)
        for scheduled in running:
            scheduled.engine = engine
        long = self.scheduled_items(1, 1, events=100, batch_id="long", due=900.0)
        short = self.scheduled_items(1, 6, events=2, batch_id="short")
        self.assertEqual(self.starts(long + short, [engine], 2000.0, running), [])
        starts = self.starts(long + short, [engine], 2000.0)
        self.assertIs(starts[0].scheduled, long[0])

    async def test_overload_counts_only_the_runs_that_fit_into_the_memory(self):
        """By its slots the engine could do the work; by its memory it can't."""
        engine = self.engine("e0")
        items = self.scheduled_items(4, 4, events=80, due=1007.5)
        for capacity, overloaded in ((100_000.0, False), (3000.0, True)):
            budgets = self.memory(capacity).budgets(items, [engine], clock.now())
            policies = Policies(Overload(), budgets=budgets)
            plan_starts(items, [engine], 1000.0, policies)
            self.assertEqual(policies.plan.overloaded, overloaded)

    async def test_no_run_moves_to_an_engine_without_memory_for_it(self):
        slow, fast = self.engine("slow", 0.14), self.engine("fast")
        (moving,) = self.items(1, events=150, pieces=10)
        moving.engine = slow
        await asyncio.sleep(2.0)
        holding = self.items(3, events=150, pieces=10)
        for scheduled in holding:
            scheduled.engine = fast
        for capacity, count in ((5000.0, 0), (50_000.0, 1)):
            budgets = self.memory(capacity).budgets(holding, [slow, fast], clock.now())
            planned = list(moves([moving], [slow, fast], clock.now(), budgets))
            self.assertEqual(len(planned), count)


class ExcessTest(MemoryTestCase):
    """Outputs that grow far beyond their estimates on one engine."""

    async def test_youngest_run_is_stopped_before_the_engine_is_full(self):
        running = self.items(4, events=10, pieces=50)
        # In half a second and a burst each run may have 18.5 more events.
        soon = 4 * (50 + 0.5 / FAST_INTERVAL + 6) * STRIDE
        self.assertEqual(self.budget(soon, running).excess_runs(), [])
        stopped = self.budget(soon - 1.0, running).excess_runs()
        self.assertEqual(stopped, [running[3]])

    async def test_engine_is_never_full_when_lengths_have_a_heavy_tail(self):
        """Estimates are right at the median; the lengths fall with the third power."""
        rng = random.Random(5)
        capacity = 4000.0
        most = starts = stops = 0
        engine = self.engine("e0")
        items = self.items(60, events=40, prompt_tokens=100.0)
        lengths = {each: 40 * rng.paretovariate(3) / 2 ** (1 / 3) for each in items}
        memory = self.memory(capacity)
        for _ in range(4000):
            budgets = memory.budgets(items, [engine], clock.now())
            for scheduled in budgets["e0"].excess_runs():
                memory.record_stop(scheduled, clock.now())
                scheduled.engine = None
                stops += 1
            budgets = memory.budgets(items, [engine], clock.now())
            policies = Policies(budgets=budgets)
            for start in plan_starts(items, [engine], 0.0, policies):
                start.scheduled.engine = engine
                start.scheduled.started_at = clock.now()
                starts += 1
            await asyncio.sleep(FAST_INTERVAL)
            for scheduled in [each for each in items if each.engine is not None]:
                scheduled.pieces.append(Piece("", 1))
                if len(scheduled.pieces) >= lengths[scheduled]:
                    scheduled.engine = None
                    items.remove(scheduled)
            held = memory.budgets(items, [engine], clock.now())["e0"].held()
            most = max(most, held)
            engine.in_flight = sum(each.engine is not None for each in items)
            if not items:
                break
        self.assertEqual(items, [])
        self.assertLessEqual(most, capacity)
        # The margin makes stops rare, and leaves less than half of the memory empty.
        self.assertLess(stops, 0.1 * starts)
        self.assertGreater(most, 0.5 * capacity)
