"""Scheduling decisions of the batch dispatcher, also under heavy load."""

from collections import Counter
from dataclasses import replace

from cranberryrun.batches.dispatch import (
    CARRIED,
    SPARE,
    WANTED,
    ScheduledItem,
    find_faster_engine,
    plan_starts,
    rank_by_group,
)
from cranberryrun.batches.models import BatchState
from cranberryrun.fleet.directory import Target
from cranberryrun.fleet.engine_pool import INTERVAL_WINDOW_EVENTS, Engine
from fakes.deployment import ADDRESS, MODEL, SERVICE, batch

from .virtual import VirtualTimeTestCase

FAST_INTERVAL = 0.04
SLOW_INTERVAL = 0.05
SLOTS = 12


class DispatchTestCase(VirtualTimeTestCase):
    def engine(self, name, interval=FAST_INTERVAL, version=1, in_flight=0):
        target = Target(
            name, SERVICE, ADDRESS, "a", SLOTS, False, 1, 1, {MODEL: version}
        )
        engine = Engine(target, in_flight=in_flight)
        for _ in range(20):
            engine.record_event_interval(interval)
        return engine

    def set_software(self, engine, software):
        engine.target = replace(engine.target, software=software)

    def scheduled_items(
        self, groups, size, events=10, due=1000.0, carried=(), **changes
    ):
        state = BatchState(batch(groups=groups, size=size, **changes))
        return [
            ScheduledItem(
                item,
                state,
                frozenset({SERVICE}),
                due,
                events,
                carried=item.group in carried,
            )
            for item in state.batch.items
        ]


class RankTest(DispatchTestCase):
    async def test_longest_group_is_spare_when_enough_other_groups_are_open(self):
        scheduled_items = self.scheduled_items(groups=3, size=2, wanted_groups=2)
        scheduled_items[0].expected_events = 100
        ranks = rank_by_group(scheduled_items)
        self.assertEqual(ranks["b1", "g0"], SPARE)
        self.assertEqual(ranks["b1", "g1"], WANTED)

    async def test_carried_group_ranks_first_when_it_is_the_longest(self):
        scheduled_items = self.scheduled_items(
            groups=3, size=2, wanted_groups=2, carried={"g0"}
        )
        scheduled_items[0].expected_events = 100
        ranks = rank_by_group(scheduled_items)
        self.assertEqual(ranks["b1", "g0"], CARRIED)
        self.assertEqual(
            sorted((ranks["b1", "g1"], ranks["b1", "g2"])), [WANTED, SPARE]
        )


class LongGroupTest(DispatchTestCase):
    """The load of kelani-votes: groups of four items that may have 181 events each.

    Four such items fill the memory of one engine, which then preempts the newest.
    """

    def engines_of_starts(self, groups, size, events):
        engines = [self.engine(f"e{number}") for number in range(4)]
        items = self.scheduled_items(groups=groups, size=size, events=events)
        return [start.engine.id for start in plan_starts(items, engines, 0.0)]

    async def test_long_items_of_a_group_are_spread_over_the_engines(self):
        engines = self.engines_of_starts(groups=1, size=4, events=181)
        self.assertEqual(len(set(engines)), 4)

    async def test_short_items_of_a_group_share_the_cached_prompt_of_one_engine(self):
        engines = self.engines_of_starts(groups=1, size=4, events=10)
        self.assertEqual(len(set(engines)), 1)


class HeavyStepTest(DispatchTestCase):
    """Load of the scenario lelc-enrol scale-1: two steps of 120 items on 72 slots."""

    async def test_long_items_start_at_once_when_short_items_occupy_the_engines(self):
        engines = [self.engine(f"e{number}") for number in range(6)]
        short = self.scheduled_items(groups=30, size=4, events=15)
        starts = plan_starts(short, engines, 0.0)
        for start in starts:
            start.scheduled.engine = start.engine
            start.engine.in_flight += 1
        long = self.scheduled_items(groups=4, size=4, events=150, batch_id="b2")
        new_starts = plan_starts(short + long, engines, 0.0)
        self.assertEqual({start.scheduled for start in new_starts}, set(long))

    async def test_starts_on_each_engine_equal_its_slots_when_more_items_wait(self):
        engines = [self.engine(f"e{number}") for number in range(6)]
        starts = plan_starts(
            self.scheduled_items(groups=30, size=4, events=150), engines, 0.0
        )
        self.assertEqual(len(starts), 6 * SLOTS)
        for engine in engines:
            count = sum(start.engine is engine for start in starts)
            self.assertEqual(count, SLOTS)

    async def test_longest_item_starts_on_the_fast_engine(self):
        engines = [self.engine("fast"), self.engine("slow", SLOW_INTERVAL)]
        scheduled_items = self.scheduled_items(groups=3, size=4, events=15)
        scheduled_items[7].expected_events = 186
        starts = {
            start.scheduled: start.engine.id
            for start in plan_starts(scheduled_items, engines, 0.0)
        }
        self.assertEqual(starts[scheduled_items[7]], "fast")

    async def test_items_that_are_due_first_start_first(self):
        engines = [self.engine("e0")]
        late = self.scheduled_items(
            groups=3, size=4, events=50, due=1004.0, batch_id="b2"
        )
        early = self.scheduled_items(groups=3, size=4, events=50, due=1000.0)
        starts = plan_starts(late + early, engines, 990.0)
        self.assertEqual({start.scheduled for start in starts}, set(early))


class LimitedEngineTest(DispatchTestCase):
    """The load of capped engines: more waits than the limits of the engines allow."""

    def starts_by_engine(self, *permits):
        engines = [self.engine(f"e{number}") for number in range(len(permits))]
        for engine, count in zip(engines, permits):
            engine.permits = lambda count=count: count
        starts = plan_starts(self.scheduled_items(groups=20, size=4), engines, 0.0)
        return Counter(start.engine.id for start in starts)

    async def test_no_slot_is_reserved_beside_an_engine_without_permits(self):
        self.assertEqual(self.starts_by_engine(None, None), {"e0": 8, "e1": 8})
        self.assertEqual(self.starts_by_engine(None, 0), {"e0": SLOTS})

    async def test_engine_gets_as_many_items_as_its_limit_allows(self):
        self.assertEqual(self.starts_by_engine(None, 2), {"e0": SLOTS, "e1": 2})

    async def test_no_run_moves_to_an_engine_that_names_a_limit(self):
        (item,) = self.scheduled_items(groups=1, size=1, events=200)
        item.engine = self.engine("slow", 4 * FAST_INTERVAL)
        fast = self.engine("fast")
        self.assertIsNotNone(find_faster_engine(item, [fast], FAST_INTERVAL))
        fast.permits = lambda: 5
        self.assertIsNone(find_faster_engine(item, [fast], FAST_INTERVAL))


class VersionTest(DispatchTestCase):
    async def test_no_item_starts_on_an_engine_with_old_weights(self):
        engines = [self.engine("old", version=1), self.engine("new", version=2)]
        scheduled_items = self.scheduled_items(groups=2, size=4, min_version=2)
        starts = plan_starts(scheduled_items, engines, 0.0)
        self.assertEqual({start.engine.id for start in starts}, {"new"})

    async def test_no_item_starts_on_an_engine_that_is_loading_its_model(self):
        engines = [self.engine("loads"), self.engine("free")]
        engines[0].loading_model = MODEL
        starts = plan_starts(self.scheduled_items(groups=2, size=4), engines, 0.0)
        self.assertEqual({start.engine.id for start in starts}, {"free"})

    async def test_versions_are_not_accepted_when_one_is_older(self):
        (scheduled,) = self.scheduled_items(groups=1, size=1)
        scheduled.min_version = 1
        self.assertTrue(scheduled.accepts([1, 2]))
        scheduled.min_version = 2
        self.assertFalse(scheduled.accepts([1, 2]))

    async def test_several_versions_are_not_accepted_when_one_is_asked_for(self):
        (scheduled,) = self.scheduled_items(groups=1, size=1)
        scheduled.single_version = True
        self.assertTrue(scheduled.accepts([1, 1]))
        self.assertFalse(scheduled.accepts([1, 2]))


class MoveTest(DispatchTestCase):
    """An engine becomes slow while long items run on it."""

    async def test_long_run_moves_when_another_engine_is_much_faster(self):
        slow, fast = self.engine("slow", 0.14), self.engine("fast")
        (scheduled,) = self.scheduled_items(groups=1, size=1, events=100)
        scheduled.engine = slow
        move = find_faster_engine(scheduled, [slow, fast], FAST_INTERVAL)
        self.assertIs(move[0], fast)
        self.assertAlmostEqual(move[1], 100 * (0.14 - FAST_INTERVAL), places=3)

    async def test_run_stays_when_other_engines_are_full_or_equally_fast(self):
        slow, full = self.engine("slow", 0.14), self.engine("full", in_flight=SLOTS)
        (scheduled,) = self.scheduled_items(groups=1, size=1, events=100)
        scheduled.engine = slow
        self.assertIsNone(find_faster_engine(scheduled, [slow, full], FAST_INTERVAL))
        equal = self.engine("equal", 0.13)
        self.assertIsNone(find_faster_engine(scheduled, [slow, equal], FAST_INTERVAL))

    async def test_engine_is_not_slow_after_a_single_stall(self):
        engine = self.engine("e0")
        engine.record_event_interval(1.2 / INTERVAL_WINDOW_EVENTS)
        self.assertLess(
            engine.expected_event_interval(FAST_INTERVAL), 1.8 * FAST_INTERVAL
        )
