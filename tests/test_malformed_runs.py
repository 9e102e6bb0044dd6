"""Items of which an engine in trouble has sent wrong pieces."""

import asyncio

from cranberryrun.fleet.engine_pool import EnginePool
from fakes.deployment import batch

from .test_batch_runner import RunnerTestCase


class MalformedRunTest(RunnerTestCase):
    async def results(self, host, seconds=20.0):
        return await self.deployment.results(host, "b1", seconds)

    def assert_whole(self, result):
        lines = [f"{result.item}/{number}" for number in range(1, 41)]
        self.assertEqual(result.text.split("\n"), lines)

    async def submit(self):
        value = batch(groups=1, size=1, events=40)
        self.deployment.targets.events_by_item = {value.items[0].id: 40}
        await self.deployment.submit(self.host, value)

    async def test_item_starts_anew_without_the_pieces_of_a_malformed_run(self):
        await self.start({"malformed_after": 30})
        await self.submit()
        await asyncio.sleep(1.5)
        self.engines[0].malformed_after = None
        (result,) = await self.results(self.host)
        self.assert_whole(result)
        self.assertEqual({done for _, done in self.engines[0].runs}, {0})

    async def test_next_holder_does_not_go_on_behind_a_malformed_run(self):
        """The store had the pieces that were recorded while the run went on."""
        await self.start({"malformed_after": 30})
        await self.submit()
        await asyncio.sleep(1.3)
        self.engines[0].gone = True
        await asyncio.sleep(1.0)
        await self.host.stop()
        self.engines[0].malformed_after = None
        self.engines[0].gone = False
        other = await self.deployment.start_host("host-2")
        await asyncio.sleep(1.0)
        (result,) = await self.results(other)
        self.assert_whole(result)

    async def test_runs_that_add_nothing_to_an_output_become_rare(self):
        """They followed each other at once where the item had pieces already."""
        await self.start({"cut_after": 5})
        await self.submit()
        await asyncio.sleep(0.5)
        self.engines[0].cut_after = 0
        self.engines[0].runs.clear()
        await asyncio.sleep(6.0)
        self.assertLessEqual(len(self.engines[0].runs), 6)

    async def test_runs_of_an_item_that_stays_malformed_become_rare(self):
        """It would keep all engines of the service in a cooldown."""
        await self.start(*[{"malformed_after": 0} for _ in range(8)])
        await self.submit()
        await asyncio.sleep(15.0)
        runs = sum(len(engine.runs) for engine in self.engines)
        self.assertGreaterEqual(runs, 4)
        self.assertLessEqual(runs, 7)
        engines = self.host.get(EnginePool).engine_by_id.values()
        self.assertGreaterEqual(sum(each.health.usable() for each in engines), 7)
