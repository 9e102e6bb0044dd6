"""Runs that leave engines in a slow span."""

import asyncio
from dataclasses import replace
from unittest.mock import patch

from cranberryrun import clock
from cranberryrun.batches.dispatch import Policies, plan_starts
from cranberryrun.batches.engine_choice import unreserved_slots
from cranberryrun.batches.models import Piece
from cranberryrun.batches.runner import Runner
from cranberryrun.batches.slow_spans import SlowSpans, slow_engines
from cranberryrun.fleet.lease import Lease
from cranberryrun.fleet.origin import Origin
from cranberryrun.metrics import Metrics
from fakes.deployment import (
    MODEL,
    SERVICE,
    Deployment,
    batch,
    batch_route,
    manifest,
)

from .test_batch_dispatch import SLOTS, DispatchTestCase
from .virtual import VirtualTimeTestCase

INTERVAL = 0.05
NOW = 100.0


class SlowSpansTest(DispatchTestCase):
    def fleet(self, count=4):
        engines = [self.engine(f"e{n}", INTERVAL) for n in range(count)]
        for engine in engines:
            engine.speed.record_start(NOW - 1.0)
            engine.speed.record_event(NOW - 0.15, None)
            engine.speed.record_event(NOW - 0.1, NOW - 0.15)
            engine.in_flight = 1
        return engines

    def run_on(self, engine, events=100, **changes):
        (scheduled,) = self.scheduled_items(1, 1, events, **changes)
        scheduled.engine = engine
        scheduled.started_at = NOW - 1.0
        return scheduled

    def show_full_speed(self, *engines):
        for engine in engines:
            engine.speed.record_event(NOW - 0.05, NOW - 0.1)

    def moves(self, runs, engines, spans=None, desired_end=4.0):
        spans = spans or SlowSpans()
        now_wall = clock.wall()
        spans.watch(runs, engines, lambda scheduled: now_wall + desired_end, now_wall)
        return [
            (move.scheduled, move.engine.id)
            for move in spans.moves(engines, NOW, lambda: {})
        ]

    async def test_run_that_decides_when_its_step_ends_leaves_a_silent_engine(self):
        engines = self.fleet()
        self.show_full_speed(*engines[1:])
        run = self.run_on(engines[0])
        self.assertEqual(self.moves([run], engines), [(run, "e1")])

    async def test_run_with_time_to_spare_stays(self):
        engines = self.fleet()
        self.show_full_speed(*engines[1:])
        run = self.run_on(engines[0])
        self.assertEqual(self.moves([run], engines, desired_end=9.0), [])

    async def test_output_longer_than_estimated_is_watched_before_it_is_late(self):
        """Few outputs are several times as long as others, which no estimate says."""
        engines = self.fleet()
        self.show_full_speed(*engines[1:])
        run = self.run_on(engines[0], events=19)
        run.pieces = [Piece("", 1)] * 60
        self.assertEqual(self.moves([run], engines), [(run, "e1")])
        self.assertEqual(self.moves([run], engines, desired_end=9.0), [])

    async def test_run_near_its_end_stays(self):
        engines = self.fleet()
        self.show_full_speed(*engines[1:])
        run = self.run_on(engines[0], events=3)
        self.assertEqual(self.moves([run], engines, desired_end=0.1), [])

    async def test_engine_at_full_speed_is_preferred_to_an_idle_one(self):
        engines = self.fleet()
        self.show_full_speed(engines[2], engines[3])
        engines[1].in_flight = 0
        engines[1].speed.record_end()
        run = self.run_on(engines[0])
        self.assertEqual(self.moves([run], engines), [(run, "e2")])

    async def test_run_does_not_move_to_a_slower_zone_for_a_moment(self):
        """A zone that is 1.3 times slower costs a long run more than a slow span."""
        engines = self.fleet()
        self.show_full_speed(*engines[1:])
        for engine in engines[1:]:
            engine.event_interval = 1.3 * INTERVAL
        run = self.run_on(engines[0])
        self.assertEqual(self.moves([run], engines), [])
        engines[3].event_interval = INTERVAL
        self.assertEqual(self.moves([run], engines), [(run, "e3")])

    async def test_single_long_gap_in_a_slower_zone_is_no_slow_span(self):
        engines = self.fleet()
        self.show_full_speed(*engines[1:])
        engines[0].event_interval = 1.3 * INTERVAL
        self.assertEqual(self.moves([self.run_on(engines[0])], engines), [])

    async def test_no_run_moves_while_most_engines_are_silent(self):
        """A pause of the holder or its link looks like a slow span of all engines."""
        engines = self.fleet()
        self.show_full_speed(engines[1])
        self.assertEqual(self.moves([self.run_on(engines[0])], engines), [])

    async def test_item_does_not_move_twice_within_some_tenths_of_a_second(self):
        engines = self.fleet()
        self.show_full_speed(*engines[1:])
        run = self.run_on(engines[0])
        run.started_at = NOW - 0.2
        self.assertEqual(self.moves([run], engines), [])

    async def test_number_of_moves_is_bounded_per_item_and_in_total(self):
        engines = self.fleet()
        self.show_full_speed(*engines[1:])
        runs = [self.run_on(engines[0], batch_id=f"b{n}") for n in range(5)]
        runs[0].slow_span_moves = 100
        spans = SlowSpans(unused_moves=2.0)
        moved = self.moves(runs, engines, spans)
        self.assertEqual([run for run, _ in moved], runs[1:3])
        for _ in range(11):
            spans.record_start()
        self.assertEqual(len(self.moves(runs, engines, spans)), 1)

    async def test_few_moves_that_are_left_are_for_runs_that_are_late_anyhow(self):
        """Runs with some room used up the moves of those that had none."""
        engines = self.fleet()
        self.show_full_speed(*engines[1:])
        run = self.run_on(engines[0], events=100)
        self.assertEqual(len(self.moves([run], engines, desired_end=5.4)), 1)
        few = SlowSpans(unused_moves=2.0)
        self.assertEqual(self.moves([run], engines, few, desired_end=5.4), [])
        self.assertEqual(len(self.moves([run], engines, few, desired_end=4.9)), 1)

    async def test_no_run_moves_where_it_may_not_go_on(self):
        """Not to another software version, a full, leaving or limited engine."""
        engines = self.fleet(6)
        self.show_full_speed(*engines[1:])
        run = self.run_on(engines[0])
        self.set_software(engines[1], "2")
        self.set_software(engines[0], "1")
        run.origin = Origin.of(engines[0].target)
        for engine in engines[2:]:
            self.set_software(engine, "1")
        engines[2].in_flight = engines[2].target.slots
        engines[3].leaves_at = NOW + 2.0
        engines[4].permits = lambda: 3
        engines[5].loading_model = "other"
        self.assertEqual(self.moves([run], engines), [])
        engines[5].loading_model = None
        self.assertEqual(self.moves([run], engines), [(run, "e5")])

    async def test_items_start_at_engines_that_are_not_in_a_slow_span(self):
        """A fifth of the starts at equal engines were at slow ones."""
        engines = self.fleet(3)
        self.show_full_speed(engines[1])
        slow = slow_engines(engines, NOW)
        self.assertEqual(slow, {"e0", "e2"})
        engines[1].in_flight = unreserved_slots(SLOTS) - 1
        items = self.scheduled_items(2, 1)
        policies = Policies(slow_engines=slow)
        starts = plan_starts(items, engines, clock.wall(), policies)
        self.assertEqual([start.engine.id for start in starts], ["e1", "e0"])


class SlowSpanHostTest(VirtualTimeTestCase):
    async def moved(self, *models, lose_lease=False):
        """Return the runs at the other engine after 0.25 s of a slow span.

        :param lose_lease: whether the host loses the lease at the start of the span
            and its scheduling cycle sees that only later.
        """
        deployment = Deployment()
        self.addAsyncCleanup(deployment.stop)
        value = manifest(1, batch_route(run_deadline=3.5))
        deployment.put_manifest(
            replace(value, models_by_service={SERVICE: (MODEL, *models)})
        )
        first = deployment.add_engine("e0", gap=INTERVAL)
        host = await deployment.start_host()
        await asyncio.sleep(1.0)
        deployment.targets.events_by_item["b1-g0-0"] = 100
        await deployment.submit(host, batch(groups=1, size=1, events=100))
        await asyncio.sleep(1.0)
        other = deployment.add_engine("e1", gap=INTERVAL)
        await asyncio.sleep(0.8)
        if lose_lease:
            host.get(Runner)._pause = lambda seconds: asyncio.sleep(10 * seconds)
            await asyncio.sleep(0.2)
            assigned = patch.object(Lease, "assigned", False)
            assigned.start()
            self.addCleanup(assigned.stop)
        first.gap = 2.5 * INTERVAL
        await asyncio.sleep(0.25)
        runs = list(other.runs)
        await asyncio.sleep(0.25)
        self.scrape = host.get(Metrics).scrape().decode()
        return runs

    async def test_run_leaves_within_a_quarter_of_a_second(self):
        """Moves after a second on the engine came when the slow span was over."""
        ((item_id, done),) = await self.moved("m2", "m3")
        self.assertEqual(item_id, "b1-g0-0")
        self.assertIn('slow_spans_total{outcome="moved"} 1.0', self.scrape)
        self.assertGreater(done, 30)

    async def test_no_run_moves_after_the_lease_was_lost(self):
        """The next holder may have started the item, which then ran twice."""
        self.assertEqual(await self.moved("m2", "m3", lose_lease=True), [])

    async def test_run_stays_where_fewer_than_three_models_share_the_engines(self):
        self.assertEqual(await self.moved("m2"), [])
