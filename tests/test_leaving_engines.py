"""Runs on engines that end at a known time, such as spot engines taken back."""

import asyncio

from cranberryrun.batches.dispatch import ScheduledItem
from cranberryrun.batches.leaving import plan_departures
from cranberryrun.batches.models import BatchState
from cranberryrun.fleet.directory import Target
from cranberryrun.fleet.engine_pool import Engine, EnginePool
from fakes.deployment import ADDRESS, MODEL, SERVICE, Deployment, batch, manifest

from .virtual import VirtualTimeTestCase

INTERVAL = 0.04


class PlanDeparturesTest(VirtualTimeTestCase):
    def engine(self, name, slots=4, **changes):
        fields = dict(draining=False, leaves_in=None) | changes
        target = Target(
            name,
            SERVICE,
            ADDRESS,
            "a",
            slots,
            born=1,
            sequence=1,
            version_by_model={MODEL: 1},
            **fields,
        )
        engine = Engine(target, event_interval=INTERVAL)
        engine.update_target(target)
        return engine

    def runs(self, engine, *events):
        state = BatchState(batch(groups=1, size=len(events)))
        return [
            ScheduledItem(item, state, frozenset({SERVICE}), 0.0, count, engine=engine)
            for item, count in zip(state.batch.items, events)
        ]

    def departures(self, runs, *engines):
        plan = plan_departures(runs, engines, self.now())
        return [(runs.index(scheduled), engine.id) for scheduled, engine in plan]

    async def test_only_runs_that_can_not_end_in_time_move(self):
        leaving = self.engine("e0", draining=True, leaves_in=2.4)
        # 40 events take 1.6 s, 80 events 3.2 s.
        runs = self.runs(leaving, 40, 80)
        self.assertEqual(self.departures(runs, leaving, self.engine("e1")), [(1, "e1")])

    async def test_runs_beyond_the_free_slots_stay_until_they_are_broken_off(self):
        leaving = self.engine("e0", draining=True, leaves_in=2.4)
        runs = self.runs(leaving, 100, 100, 100)
        moved = self.departures(runs, self.engine("e1", slots=1), self.engine("e2", 1))
        self.assertEqual([index for index, _ in moved], [0, 1])
        self.assertEqual({engine for _, engine in moved}, {"e1", "e2"})

    async def test_engine_that_drains_without_a_known_end_keeps_its_runs(self):
        draining = self.engine("e0", draining=True)
        runs = self.runs(draining, 100)
        self.assertEqual(self.departures(runs, self.engine("e1")), [])

    async def test_earliest_end_counts_when_the_same_entry_is_read_again(self):
        leaving = self.engine("e0", draining=True, leaves_in=2.4)
        await asyncio.sleep(1.0)
        leaving.update_target(leaving.target)
        self.assertAlmostEqual(leaving.leaves_at - self.now(), 1.4)


class LeavingSpotEngineTest(VirtualTimeTestCase):
    async def test_run_moves_before_its_engine_ends_and_keeps_its_events(self):
        deployment = Deployment()
        self.addAsyncCleanup(deployment.stop)
        deployment.put_manifest(manifest())
        leaving = deployment.add_engine("e0")
        host = await deployment.start_host()
        await asyncio.sleep(1.0)
        deployment.targets.events_by_item["b1-g0-0"] = 100
        await deployment.submit(host, batch(groups=1, size=1, events=100))
        await asyncio.sleep(1.0)
        other = deployment.add_engine("e1")
        deployment.register("e0", draining=True, spot=True, leaves_in=2.4)
        await asyncio.sleep(1.0)
        self.assertTrue(host.get(EnginePool).engine_by_id["e0"].target.draining)
        self.assertEqual((leaving.running, other.running), (0, 1))
        (result,) = await deployment.results(host, "b1", 8.0)
        self.assertEqual(len(result.text.split("\n")), 100)
        self.assertGreater(other.runs[0][1], 20)
