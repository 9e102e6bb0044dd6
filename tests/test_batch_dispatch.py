"""Which item runs next, and where: the plan under the loads of the heavy days."""

from cranberryrun.batches.dispatch import (
    CARRIED,
    SPARE,
    WANTED,
    Work,
    better_engine,
    plan,
    rank_by_group,
    usable_pieces,
)
from cranberryrun.batches.models import BatchState, Piece
from cranberryrun.fleet.directory import Target
from cranberryrun.fleet.engine_pool import INTERVAL_WINDOW_EVENTS, Engine
from fakes.deployment import MODEL, SERVICE, batch

from .virtual import VirtualTimeTestCase

FAST_GAP = 0.04
SLOW_GAP = 0.05
SLOTS = 12


class DispatchTestCase(VirtualTimeTestCase):
    def engine(self, name, event_interval=FAST_GAP, version=1, in_flight=0):
        target = Target(name, SERVICE, "", "a", SLOTS, False, 1, 1, {MODEL: version})
        engine = Engine(target, in_flight=in_flight)
        for _ in range(20):
            engine.record_event_interval(event_interval)
        return engine

    def works(self, groups, size, events=10, due=1000.0, carried=(), **changes):
        state = BatchState(batch(groups=groups, size=size, **changes))
        return [
            Work(
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
    async def test_the_group_that_ends_last_is_spare(self):
        works = self.works(groups=3, size=2, wanted_groups=2)
        works[0].expected_events = 100
        ranks = rank_by_group(works)
        self.assertEqual(ranks["b1", "g0"], SPARE)
        self.assertEqual(ranks["b1", "g1"], WANTED)

    async def test_a_carried_group_is_needed_however_long_it_is(self):
        works = self.works(groups=3, size=2, wanted_groups=2, carried={"g0"})
        works[0].expected_events = 100
        ranks = rank_by_group(works)
        self.assertEqual(ranks["b1", "g0"], CARRIED)
        self.assertEqual(
            sorted((ranks["b1", "g1"], ranks["b1", "g2"])), [WANTED, SPARE]
        )


class HeavyStepTest(DispatchTestCase):
    """Load pattern (lelc-enrol scale-1): two steps of 120 items on 72 places."""

    async def test_long_texts_start_at_once_although_the_short_ones_fill_the_engines(
        self,
    ):
        engines = [self.engine(f"e{number}") for number in range(6)]
        short = self.works(groups=30, size=4, events=15)
        starts = plan(short, engines, 0.0)
        for start in starts:
            start.work.engine = start.engine
            start.engine.in_flight += 1
        long = self.works(groups=4, size=4, events=150, batch_id="b2")
        begun = plan(short + long, engines, 0.0)
        self.assertEqual({start.work for start in begun}, set(long))

    async def test_no_engine_gets_more_than_its_places(self):
        engines = [self.engine(f"e{number}") for number in range(6)]
        starts = plan(self.works(groups=30, size=4, events=150), engines, 0.0)
        self.assertEqual(len(starts), 6 * SLOTS)
        for engine in engines:
            count = sum(start.engine is engine for start in starts)
            self.assertEqual(count, SLOTS)

    async def test_the_longest_texts_get_the_fast_engines(self):
        engines = [self.engine("fast"), self.engine("slow", SLOW_GAP)]
        works = self.works(groups=3, size=4, events=15)
        works[7].expected_events = 186
        starts = {start.work: start.engine.id for start in plan(works, engines, 0.0)}
        self.assertEqual(starts[works[7]], "fast")

    async def test_the_step_that_is_due_first_goes_first(self):
        engines = [self.engine("e0")]
        late = self.works(groups=3, size=4, events=50, due=1004.0, batch_id="b2")
        early = self.works(groups=3, size=4, events=50, due=1000.0)
        starts = plan(late + early, engines, 990.0)
        self.assertEqual({start.work for start in starts}, set(early))


class VersionTest(DispatchTestCase):
    async def test_an_engine_with_old_weights_gets_nothing(self):
        engines = [self.engine("old", version=1), self.engine("new", version=2)]
        works = self.works(groups=2, size=4, min_version=2)
        starts = plan(works, engines, 0.0)
        self.assertEqual({start.engine.id for start in starts}, {"new"})

    async def test_an_engine_that_loads_the_model_gets_nothing_of_it(self):
        engines = [self.engine("loads"), self.engine("free")]
        engines[0].loading_model = MODEL
        starts = plan(self.works(groups=2, size=4), engines, 0.0)
        self.assertEqual({start.engine.id for start in starts}, {"free"})

    async def test_pieces_of_an_old_version_are_not_usable(self):
        pieces = [Piece("a", 1), Piece("b", 2)]
        self.assertTrue(usable_pieces(pieces, 1))
        self.assertFalse(usable_pieces(pieces, 2))


class MoveTest(DispatchTestCase):
    """Load pattern: an engine turns slow while long texts run there."""

    async def test_a_long_run_moves_to_a_much_faster_engine(self):
        slow, fast = self.engine("slow", 0.14), self.engine("fast")
        (work,) = self.works(groups=1, size=1, events=100)
        work.engine = slow
        found = better_engine(work, [slow, fast], FAST_GAP)
        self.assertIs(found[0], fast)
        self.assertAlmostEqual(found[1], 100 * (0.14 - FAST_GAP), places=3)

    async def test_nothing_moves_to_a_full_engine_or_between_equals(self):
        slow, full = self.engine("slow", 0.14), self.engine("full", in_flight=SLOTS)
        (work,) = self.works(groups=1, size=1, events=100)
        work.engine = slow
        self.assertIsNone(better_engine(work, [slow, full], FAST_GAP))
        equal = self.engine("equal", 0.13)
        self.assertIsNone(better_engine(work, [slow, equal], FAST_GAP))

    async def test_one_stall_does_not_make_an_engine_slow(self):
        engine = self.engine("e0")
        engine.record_event_interval(1.2 / INTERVAL_WINDOW_EVENTS)
        self.assertLess(engine.expected_event_interval(FAST_GAP), 1.8 * FAST_GAP)
