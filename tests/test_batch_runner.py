"""The batch runner: carried groups, weight versions, engine faults, lease changes."""

import asyncio

from cranberryrun import clock
from cranberryrun.batches.log import INDEX_TOPIC, BatchLog, topic_of
from cranberryrun.batches.models import Result
from cranberryrun.batches.records import Accepted, Ended, Listed, Opened, encode
from cranberryrun.batches.runner import Runner
from cranberryrun.batches.service import Batches
from cranberryrun.exceptions import LogUnavailableError
from cranberryrun.fleet.engine_pool import EnginePool
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


class CompleteBatchTest(RunnerTestCase):
    async def test_every_item_is_listed_once_with_its_complete_text(self):
        await self.start({}, {})
        await self.deployment.submit(self.host, batch(groups=3, size=4))
        results = await self.deployment.results(self.host, "b1", 5.0)
        self.assertEqual(len({result.item for result in results}), 12)
        for result in results:
            lines = [f"{result.item}/{number}" for number in range(1, 11)]
            self.assertEqual(result.text.split("\n"), lines)
            self.assertEqual(result.versions, (1,))

    async def test_batch_runs_once_when_it_is_submitted_repeatedly(self):
        await self.start({})
        for _ in range(2):
            await self.deployment.submit(self.host, batch())
        other = await self.deployment.start_host("host-2")
        await self.deployment.submit(other, batch())
        results = await self.deployment.results(other, "b1", 5.0)
        self.assertEqual(len(results), 4)
        self.assertEqual(len(self.engines[0].runs), 4)

    async def test_item_resumes_after_its_last_event_when_the_stream_breaks(self):
        await self.start({"cut_after": 4})
        await self.deployment.submit(self.host, batch(groups=1, size=1))
        (result,) = await self.deployment.results(self.host, "b1", 5.0)
        self.assertEqual(len(result.text.split("\n")), 10)
        self.assertEqual([done for _, done in self.engines[0].runs], [0, 4, 8])

    async def test_item_fails_after_max_attempts_when_every_run_fails(self):
        await self.start({"status": 500})
        await self.deployment.submit(self.host, batch(groups=1, size=1))
        (result,) = await self.deployment.results(self.host, "b1", 5.0)
        self.assertFalse(result.succeeded)
        self.assertEqual(len(self.engines[0].runs), batch_route().max_attempts)

    async def test_item_fails_at_once_when_the_engine_answers_422(self):
        await self.start({"status": 422})
        await self.deployment.submit(self.host, batch(groups=1, size=1))
        (result,) = await self.deployment.results(self.host, "b1", 1.0)
        self.assertFalse(result.succeeded)

    async def test_no_run_starts_when_the_batch_has_ended(self):
        await self.start({"slots": 1})
        await self.deployment.submit(self.host, batch(groups=4, size=4, events=50))
        await asyncio.sleep(0.2)
        await self.host.get(Batches).end("b1", self.now() + 1)
        await asyncio.sleep(0.1)
        runs_before = len(self.engines[0].runs)
        await asyncio.sleep(10.0)
        self.assertEqual(len(self.engines[0].runs), runs_before)
        self.assertEqual(self.engines[0].running, 0)


class StoppedRunTest(RunnerTestCase):
    async def test_item_runs_again_when_its_run_is_stopped_before_it_begins(self):
        """Its engine kept the slot for good, and the item had no run any more."""
        await self.start({})
        runner = self.host.get(Runner)
        (engine,) = self.host.get(EnginePool).engine_by_id.values()
        start_run = runner._start_run

        def start_and_stop(scheduled, engine):
            runner._start_run = start_run
            start_run(scheduled, engine)
            runner._stop_run(scheduled)

        runner._start_run = start_and_stop
        await self.deployment.submit(self.host, batch(groups=1, size=1, events=10))
        results = await self.deployment.results(self.host, "b1", 5.0)
        self.assertEqual(len(results), 1)
        self.assertEqual(engine.in_flight, 0)
        self.assertEqual(len(self.engines[0].runs), 1)

    async def test_item_has_one_run_when_it_moves_before_its_run_begins(self):
        await self.start({}, {})
        runner = self.host.get(Runner)
        engines = list(self.host.get(EnginePool).engine_by_id.values())
        start_run = runner._start_run

        def start_and_move(scheduled, engine):
            runner._start_run = start_run
            start_run(scheduled, engine)
            other = engines[engine is engines[0]]
            runner._move_run(scheduled, other, 0.0, "slow span")

        runner._start_run = start_and_move
        await self.deployment.submit(self.host, batch(groups=1, size=1, events=10))
        results = await self.deployment.results(self.host, "b1", 5.0)
        self.assertEqual(len(results), 1)
        self.assertEqual([engine.in_flight for engine in engines], [0, 0])
        self.assertEqual(sum(len(engine.runs) for engine in self.engines), 1)


class CarriedGroupTest(RunnerTestCase):
    """A group that its ended batch left unfinished is submitted in the next batch."""

    async def end_and_carry(self, min_version):
        self.deployment.targets.events_by_item["b1-g0-0"] = 60
        first = batch(groups=1, size=1, events=60)
        await self.deployment.submit(self.host, first)
        await asyncio.sleep(0.5)
        await self.host.get(Batches).end("b1", self.now() + 1)
        self.second = batch("b2", min_version=min_version, items=first.items)

    async def test_output_is_reused_when_its_versions_are_new_enough(self):
        await self.start({})
        await self.end_and_carry(min_version=1)
        await asyncio.sleep(0.5)
        await self.deployment.submit(self.host, self.second)
        (result,) = await self.deployment.results(self.host, "b2", 5.0)
        self.assertEqual(len(result.text.split("\n")), 60)
        self.assertEqual(len(self.engines[0].runs), 1)

    async def test_run_on_an_old_version_is_not_reused_before_its_first_event(self):
        """The run in progress has no pieces yet whose version could be compared.

        Scenario lelc-enrol trouble-2 violated the VERSION rule this way at 29.515 s.
        """
        start_allowed = asyncio.Event()
        await self.start({"started": start_allowed}, {"gone": True})
        await self.end_and_carry(min_version=2)
        self.engines[1].gone = False
        self.engines[1].version = 2
        self.deployment.register("e1")
        await asyncio.sleep(0.1)
        await self.deployment.submit(self.host, self.second)
        await asyncio.sleep(0.01)
        start_allowed.set()
        (result,) = await self.deployment.results(self.host, "b2", 8.0)
        self.assertEqual(result.versions, (2,))


class SlowEngineTest(RunnerTestCase):
    """One of several engines is slow or stops answering while long items run."""

    async def test_long_items_finish_on_the_fast_engine(self):
        await self.start({"gap": 0.04}, {"gap": 0.14})
        for group in range(2):
            for index in range(4):
                self.deployment.targets.events_by_item[f"b1-g{group}-{index}"] = 100
        started_at = self.now()
        await self.deployment.submit(self.host, batch(groups=2, size=4, events=100))
        results = await self.deployment.results(self.host, "b1", 20.0)
        self.assertEqual(len(results), 8)
        # All items take 4 s on the fast engine and 14 s on the slow one.
        self.assertLess(self.now() - started_at, 6.5)

    async def test_runs_stay_when_all_engines_have_about_the_same_speed(self):
        await self.start({"gap": 0.04}, {"gap": 0.042})
        for group in range(2):
            for index in range(4):
                self.deployment.targets.events_by_item[f"b1-g{group}-{index}"] = 100
        await self.deployment.submit(self.host, batch(groups=2, size=4, events=100))
        await self.deployment.results(self.host, "b1", 20.0)
        runs = sum(len(engine.runs) for engine in self.engines)
        self.assertEqual(runs, 8)

    async def test_runs_resume_on_another_engine_when_theirs_stops_answering(self):
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
    """The holder of the lease stops or loses the store while items run."""

    async def test_next_holder_resumes_from_the_recorded_progress(self):
        await self.start({"slots": 4})
        self.deployment.targets.events_by_item["b1-g0-0"] = 100
        await self.deployment.submit(self.host, batch(groups=1, size=1, events=100))
        other = await self.deployment.start_host("host-2")
        await asyncio.sleep(2.0)
        await self.host.stop()
        (result,) = await self.deployment.results(other, "b1", 8.0)
        self.assertEqual(len(result.text.split("\n")), 100)
        resumed_at = self.engines[0].runs[-1][1]
        # After 2 s at 25 events per second, with progress recorded every 0.4 s.
        self.assertGreaterEqual(resumed_at, 30)

    async def test_results_are_kept_when_the_holder_loses_the_store_for_a_time(self):
        await self.start({})
        await self.deployment.submit(self.host, batch(groups=1, size=2, events=10))
        await asyncio.sleep(0.1)
        self.deployment.store.silent = True
        await asyncio.sleep(4.0)
        self.deployment.store.silent = False
        results = await self.deployment.results(self.host, "b1", 3.0)
        self.assertEqual(len(results), 2)
        self.assertEqual(len(self.engines[0].runs), 2)

    async def test_next_holder_resumes_at_the_last_piece_after_a_graceful_stop(self):
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

    async def test_stopping_host_does_not_acquire_a_released_lease(self):
        await self.start({})
        stopping = await self.deployment.start_host("host-2")
        await asyncio.sleep(1.0)
        await stopping.get(Runner).hand_over(self.now() + 7.0)
        await self.host.stop()
        await asyncio.sleep(3.0)
        self.assertFalse(stopping.get(Lease).assigned)


class SlowLinkTest(RunnerTestCase):
    """A host on a slow link becomes the holder while the store has many batches."""

    async def test_open_batch_runs_soon_when_many_ended_batches_are_stored(self):
        """A new holder must not read the ended batches before it runs the open ones.

        In scenario mushi-arusha-grown trouble-2, a holder on a 60 Mbit/s link never
        started a run.
        """
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
        started_at = self.now()
        results = await self.deployment.results(self.host, "new", 5.0)
        self.assertEqual(len(results), 4)
        # A run takes 0.4 s; reading the store adds at most one second.
        self.assertLess(self.now() - started_at, 1.5)


class QueueTtlTest(RunnerTestCase):
    async def test_item_fails_after_the_queue_ttl_when_no_engine_can_run_it(self):
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
    async def test_item_is_listed_in_both_batches_when_both_are_open(self):
        """Two open batches used to take the run from each other, without a result."""
        await self.start({}, {})
        first = batch("b1", groups=1, size=2)
        second = batch("b2", items=first.items)
        await self.deployment.submit(self.host, first)
        await self.deployment.submit(self.host, second)
        for batch_id in ("b1", "b2"):
            results = await self.deployment.results(self.host, batch_id, 5.0)
            self.assertEqual(len(results), 2)


class AllEnginesFailedTest(RunnerTestCase):
    """All engines stop answering for a short time while they run short items."""

    async def test_short_items_are_repeated_soon_when_the_engines_answer_again(self):
        """An engine that failed recently must get a run that shows if it answers.

        In the soak test with seed 124, such engines got no runs at all.
        """
        await self.start({"slots": 4}, {"slots": 4})
        for engine in self.engines:
            self.deployment.register(f"e{self.engines.index(engine)}", slots=4)
        await asyncio.sleep(0.5)
        await self.deployment.submit(self.host, batch(groups=4, size=3))
        await asyncio.sleep(0.1)
        for engine in self.engines:
            engine.unresponsive = True
        # Runs end after 0.7 s of silence, or after 1 s without a first event.
        await asyncio.sleep(1.5)
        for engine in self.engines:
            engine.unresponsive = False
        started_at = self.now()
        results = await self.deployment.results(self.host, "b1", 10.0)
        self.assertEqual(len(results), 12)
        # The first failure excludes an engine for half a second. A probing run of
        # 0.4 s and two rounds of runs follow.
        self.assertLess(self.now() - started_at, 3.0)


class SmallMemoryTest(RunnerTestCase):
    """A host with little memory serves the results of many batches in turn."""

    async def test_results_are_the_same_when_an_evicted_topic_is_read_again(self):
        await self.start({}, {}, cache_bytes=300)
        first = {}
        for number in range(20):
            batch_id = f"b{number}"
            await self.deployment.submit(self.host, batch(batch_id))
            first[batch_id] = await self.deployment.results(self.host, batch_id, 5.0)
            self.assertEqual(len(first[batch_id]), 4)
            await self.host.get(Batches).end(batch_id, self.now() + 1.0)
        table = self.host.get(BatchLog).table
        # The text of an item has at least 100 bytes, so one batch exceeds the limit.
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
    """The store is down for all hosts for some seconds."""

    async def test_refused_submission_says_to_retry_after_seconds(self):
        """A trainer that retries too soon uses up its attempts during the outage.

        In scenario mushi-arusha trouble-2, the trainer's only retry came after 0.1 s.
        """
        await self.start({})
        self.deployment.store.down = True
        started_at = self.now()
        with self.assertRaises(LogUnavailableError) as caught:
            await self.deployment.submit(self.host, batch())
        self.assertLess(self.now() - started_at, 1.0)
        self.assertGreaterEqual(caught.exception.retry_after, 1.0)


class MovedRouteTest(RunnerTestCase):
    async def test_waiting_items_run_on_the_new_service_when_their_route_changes(self):
        """A changed route also applies to the waiting items of an accepted batch."""
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
        runs_before = len(self.engines[0].runs)
        results = await self.deployment.results(self.host, "b1", 12.0)
        self.assertEqual(len(results), 3)
        self.assertEqual(len(self.engines[0].runs), runs_before)
        self.assertEqual(len(other.runs), 2)
