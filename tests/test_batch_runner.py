"""Running batches: groups, versions, slow and failing engines, changes of holder."""

import asyncio

from cranberryrun import clock
from cranberryrun.batches.log import INDEX_TOPIC, BatchLog, topic_of
from cranberryrun.batches.models import Result
from cranberryrun.batches.records import Accepted, Ended, Listed, Opened, encode
from cranberryrun.batches.runner import Runner
from cranberryrun.batches.service import Batches
from cranberryrun.exceptions import LogUnavailableError
from cranberryrun.fleet.lease import Lease
from cranberryrun.fleet.manifest import Backend
from fakes.deployment import Deployment, batch, batch_route, manifest

from .virtual import VirtualTimeTestCase


class RunnerTestCase(VirtualTimeTestCase):
    async def asyncSetUp(self):
        self.deployment = Deployment()
        self.deployment.put_manifest(manifest())
        self.addAsyncCleanup(self.deployment.stop)

    async def start(self, *engines, **options):
        self.engines = [
            self.deployment.add_engine(f"e{index}", **state)
            for index, state in enumerate(engines)
        ]
        self.host = await self.deployment.start_host(**options)
        await asyncio.sleep(1.0)


class WholeBatchTest(RunnerTestCase):
    async def test_every_item_is_listed_once_with_its_whole_text(self):
        await self.start({}, {})
        await self.deployment.submit(self.host, batch(groups=3, size=4))
        results = await self.deployment.results(self.host, "b1", 5.0)
        self.assertEqual(len({result.item for result in results}), 12)
        for result in results:
            lines = [f"{result.item}/{number}" for number in range(1, 11)]
            self.assertEqual(result.text.split("\n"), lines)
            self.assertEqual(result.versions, (1,))

    async def test_a_batch_is_accepted_once(self):
        await self.start({})
        for _ in range(2):
            await self.deployment.submit(self.host, batch())
        other = await self.deployment.start_host("host-2")
        await self.deployment.submit(other, batch())
        results = await self.deployment.results(other, "b1", 5.0)
        self.assertEqual(len(results), 4)
        self.assertEqual(len(self.engines[0].runs), 4)

    async def test_a_broken_stream_goes_on_after_its_last_event(self):
        await self.start({"cut_after": 4})
        await self.deployment.submit(self.host, batch(groups=1, size=1))
        (result,) = await self.deployment.results(self.host, "b1", 5.0)
        self.assertEqual(len(result.text.split("\n")), 10)
        self.assertEqual([done for _, done in self.engines[0].runs], [0, 4, 8])

    async def test_an_item_that_fails_each_time_is_lost_after_its_attempts(self):
        await self.start({"status": 500})
        await self.deployment.submit(self.host, batch(groups=1, size=1))
        (result,) = await self.deployment.results(self.host, "b1", 5.0)
        self.assertFalse(result.succeeded)
        self.assertEqual(len(self.engines[0].runs), batch_route().max_attempts)

    async def test_an_item_that_can_never_be_done_is_lost_at_once(self):
        await self.start({"status": 422})
        await self.deployment.submit(self.host, batch(groups=1, size=1))
        (result,) = await self.deployment.results(self.host, "b1", 1.0)
        self.assertFalse(result.succeeded)

    async def test_an_ended_batch_starts_nothing_more(self):
        await self.start({"slots": 1})
        await self.deployment.submit(self.host, batch(groups=4, size=4, events=50))
        await asyncio.sleep(0.2)
        await self.host.get(Batches).end("b1", self.now() + 1)
        await asyncio.sleep(0.1)
        begun = len(self.engines[0].runs)
        await asyncio.sleep(10.0)
        self.assertEqual(len(self.engines[0].runs), begun)
        self.assertEqual(self.engines[0].running, 0)


class CarriedGroupTest(RunnerTestCase):
    """Load pattern: the group that a step left unfinished comes again in the next."""

    async def end_and_carry(self, min_version):
        self.deployment.targets.events_by_item["b1-g0-0"] = 60
        first = batch(groups=1, size=1, events=60)
        await self.deployment.submit(self.host, first)
        await asyncio.sleep(0.5)
        await self.host.get(Batches).end("b1", self.now() + 1)
        self.second = batch("b2", min_version=min_version, items=first.items)

    async def test_its_text_is_used_again_where_its_versions_fit(self):
        await self.start({})
        await self.end_and_carry(min_version=1)
        await asyncio.sleep(0.5)
        await self.deployment.submit(self.host, self.second)
        (result,) = await self.deployment.results(self.host, "b2", 5.0)
        self.assertEqual(len(result.text.split("\n")), 60)
        self.assertEqual(len(self.engines[0].runs), 1)

    async def test_a_run_under_an_old_version_is_not_used_even_before_its_first_event(
        self,
    ):
        """lelc-enrol trouble-2: VERSION broken at 29.515 s."""
        held = asyncio.Event()
        await self.start({"started": held}, {"gone": True})
        await self.end_and_carry(min_version=2)
        self.engines[1].gone = False
        self.engines[1].version = 2
        self.deployment.register("e1")
        await asyncio.sleep(0.1)
        await self.deployment.submit(self.host, self.second)
        await asyncio.sleep(0.01)
        held.set()
        (result,) = await self.deployment.results(self.host, "b2", 8.0)
        self.assertEqual(result.versions, (2,))


class SlowEngineTest(RunnerTestCase):
    """Load pattern: one engine of several turns slow while long texts run there."""

    async def test_long_texts_end_on_the_fast_engine(self):
        await self.start({"gap": 0.04}, {"gap": 0.14})
        for group in range(2):
            for index in range(4):
                self.deployment.targets.events_by_item[f"b1-g{group}-{index}"] = 100
        began = self.now()
        await self.deployment.submit(self.host, batch(groups=2, size=4, events=100))
        results = await self.deployment.results(self.host, "b1", 20.0)
        self.assertEqual(len(results), 8)
        # All at the fast engine take 4 s, at the slow one 14 s.
        self.assertLess(self.now() - began, 6.5)

    async def test_runs_do_not_move_between_engines_of_one_speed(self):
        await self.start({"gap": 0.04}, {"gap": 0.042})
        for group in range(2):
            for index in range(4):
                self.deployment.targets.events_by_item[f"b1-g{group}-{index}"] = 100
        await self.deployment.submit(self.host, batch(groups=2, size=4, events=100))
        await self.deployment.results(self.host, "b1", 20.0)
        runs = sum(len(engine.runs) for engine in self.engines)
        self.assertEqual(runs, 8)

    async def test_a_dark_engine_s_runs_go_on_elsewhere(self):
        await self.start({}, {})
        self.deployment.targets.events_by_item["b1-g0-0"] = 50
        await self.deployment.submit(self.host, batch(groups=1, size=1, events=50))
        await asyncio.sleep(0.5)
        busy = [engine for engine in self.engines if engine.running]
        busy[0].unresponsive = True
        (result,) = await self.deployment.results(self.host, "b1", 5.0)
        self.assertTrue(result.succeeded)
        self.assertEqual(len(result.text.split("\n")), 50)


class ChangeOfHolderTest(RunnerTestCase):
    """Load pattern: the holder of the lease dies or is cut off in mid-step."""

    async def test_the_next_holder_resumes_from_what_was_recorded(self):
        await self.start({"slots": 4})
        self.deployment.targets.events_by_item["b1-g0-0"] = 100
        await self.deployment.submit(self.host, batch(groups=1, size=1, events=100))
        other = await self.deployment.start_host("host-2")
        await asyncio.sleep(2.0)
        await self.host.stop()
        (result,) = await self.deployment.results(other, "b1", 8.0)
        self.assertEqual(len(result.text.split("\n")), 100)
        resumed_at = self.engines[0].runs[-1][1]
        # 2 s at 25 events a second, recorded every 0.4 s.
        self.assertGreaterEqual(resumed_at, 30)

    async def test_results_of_a_holder_that_lost_the_store_are_kept_until_it_is_back(
        self,
    ):
        await self.start({})
        await self.deployment.submit(self.host, batch(groups=1, size=2, events=10))
        await asyncio.sleep(0.1)
        self.deployment.store.silent = True
        await asyncio.sleep(4.0)
        self.deployment.store.silent = False
        results = await self.deployment.results(self.host, "b1", 3.0)
        self.assertEqual(len(results), 2)
        self.assertEqual(len(self.engines[0].runs), 2)

    async def test_a_planned_stop_hands_over_where_the_runs_stand(self):
        await self.start({})
        self.deployment.targets.events_by_item["b1-g0-0"] = 100
        await self.deployment.submit(self.host, batch(groups=1, size=1, events=100))
        other = await self.deployment.start_host("host-2")
        await asyncio.sleep(1.0)
        await self.host.get(Runner).hand_over(self.now() + 7.0)
        self.assertEqual(self.engines[0].running, 0)
        (result,) = await self.deployment.results(other, "b1", 8.0)
        self.assertEqual(len(result.text.split("\n")), 100)
        self.assertGreaterEqual(self.engines[0].runs[-1][1], 20)

    async def test_a_host_that_is_stopping_does_not_take_the_lease(self):
        await self.start({})
        stopping = await self.deployment.start_host("host-2")
        await asyncio.sleep(1.0)
        await stopping.get(Runner).hand_over(self.now() + 7.0)
        await self.host.stop()
        await asyncio.sleep(3.0)
        self.assertFalse(stopping.get(Lease).assigned)


class SlowLinkTest(RunnerTestCase):
    """Load pattern: a host on a slow link becomes the holder on a busy day."""

    async def test_it_takes_up_open_batches_soon(self):
        """mushi-arusha-grown, trouble-2: a holder on 60 Mbit/s never began."""
        store = self.deployment.store
        results = [Result(f"i{n}", True, "x" * 8000, (1,)) for n in range(20)]
        for n in range(20):
            value = batch(f"old{n}", groups=8, size=8)
            for topic, message in (
                (topic_of(value.id), Accepted(value)),
                *[(topic_of(value.id), Listed(value.id, results))] * 8,
                (INDEX_TOPIC, Opened(value.id, value.submitted_at)),
                (INDEX_TOPIC, Ended(value.id)),
            ):
                (record,) = encode(message, 262_144)
                store.add(topic, record)
        store.link_bytes_per_second = 7_500_000.0
        await self.start({}, {})
        await self.deployment.submit(self.host, batch("new"))
        began = self.now()
        results = await self.deployment.results(self.host, "new", 5.0)
        self.assertEqual(len(results), 4)
        # A run takes 0.4 s; the store is read for at most a second more.
        self.assertLess(self.now() - began, 1.5)


class AgeTest(RunnerTestCase):
    async def test_an_item_that_nobody_can_run_is_lost_when_it_is_too_old(self):
        await self.start()
        await self.deployment.submit(self.host, batch(groups=1, size=1))
        state = self.host.get(BatchLog).table.state_by_id
        await asyncio.sleep(2.0)
        self.assertEqual(state["b1"].results, [])
        aged = batch("b2", groups=1, size=1, submitted_at=clock.wall() - 41.0)
        await self.deployment.submit(self.host, aged)
        (result,) = await self.deployment.results(self.host, "b2", 1.0)
        self.assertFalse(result.succeeded)


class TwoOpenBatchesTest(RunnerTestCase):
    async def test_an_item_of_both_is_made_for_both(self):
        """It used to change hands between them, and neither batch got it."""
        await self.start({}, {})
        first = batch("b1", groups=1, size=2)
        second = batch("b2", items=first.items)
        await self.deployment.submit(self.host, first)
        await self.deployment.submit(self.host, second)
        for batch_id in ("b1", "b2"):
            results = await self.deployment.results(self.host, batch_id, 5.0)
            self.assertEqual(len(results), 2)


class AllEnginesFailedTest(RunnerTestCase):
    """Load pattern: every engine is silent for a moment while it runs short texts."""

    async def test_short_texts_are_run_again_soon_after(self):
        """Soak, seed 124: engines that had yet to show that they answer got none."""
        await self.start({"slots": 4}, {"slots": 4})
        for engine in self.engines:
            self.deployment.register(f"e{self.engines.index(engine)}", slots=4)
        await asyncio.sleep(0.5)
        await self.deployment.submit(self.host, batch(groups=4, size=3))
        await asyncio.sleep(0.1)
        for engine in self.engines:
            engine.unresponsive = True
        # Runs are given up after 0.7 s of silence, or 1 s without a first event.
        await asyncio.sleep(1.5)
        for engine in self.engines:
            engine.unresponsive = False
        began = self.now()
        results = await self.deployment.results(self.host, "b1", 10.0)
        self.assertEqual(len(results), 12)
        # Out for half a second for one trouble, a run of 0.4 s to show, two rounds.
        self.assertLess(self.now() - began, 3.0)


class SmallMemoryTest(RunnerTestCase):
    """Load pattern: a small host is asked for many batches in turn."""

    async def test_what_was_forgotten_is_read_again_and_is_the_same(self):
        await self.start({}, {}, cache_bytes=300)
        first = {}
        for number in range(20):
            batch_id = f"b{number}"
            await self.deployment.submit(self.host, batch(batch_id))
            first[batch_id] = await self.deployment.results(self.host, batch_id, 5.0)
            self.assertEqual(len(first[batch_id]), 4)
            await self.host.get(Batches).end(batch_id, self.now() + 1.0)
        table = self.host.get(BatchLog).table
        # An item's text has 100 bytes at least, so one batch is over the limit.
        self.assertLess(len(table.state_by_id), 6)
        for batch_id, results in first.items():
            again = await self.deployment.results(self.host, batch_id, 1.0)
            self.assertEqual(again, results)
        kept = sum(
            len(result.text)
            for state in table.state_by_id.values()
            for result in state.results
        )
        self.assertEqual(table.text_bytes, kept)


class OutageTest(RunnerTestCase):
    """Load pattern: the store is down for all hosts for seconds."""

    async def test_a_refused_trainer_is_told_to_return_after_seconds(self):
        """mushi-arusha, trouble-2: its one retry came 0.1 s later, in the outage."""
        await self.start({})
        self.deployment.store.down = True
        began = self.now()
        with self.assertRaises(LogUnavailableError) as caught:
            await self.deployment.submit(self.host, batch())
        self.assertLess(self.now() - began, 1.0)
        self.assertGreaterEqual(caught.exception.retry_after, 1.0)


class MovedRouteTest(RunnerTestCase):
    async def test_waiting_items_go_where_the_route_goes_now(self):
        """CONFIG counts from the batch's acceptance on."""
        await self.start({"slots": 1})
        self.deployment.register("e0", slots=1)
        other = self.deployment.add_engine("e9")
        self.deployment.register("e9", service="others")
        events = self.deployment.targets.events_by_item
        events.update({f"b1-g0-{index}": 50 for index in range(3)})
        value = batch("b1", groups=1, size=3, events=50)
        await self.deployment.submit(self.host, value)
        await asyncio.sleep(0.5)
        moved = batch_route(backends=(Backend("others", 1.0),))
        self.deployment.put_manifest(manifest(2, moved))
        await asyncio.sleep(1.0)
        begun = len(self.engines[0].runs)
        results = await self.deployment.results(self.host, "b1", 12.0)
        self.assertEqual(len(results), 3)
        self.assertEqual(len(self.engines[0].runs), begun)
        self.assertEqual(len(other.runs), 2)
