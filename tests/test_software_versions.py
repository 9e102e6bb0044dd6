"""Items keep to the software version of the engine that began their output."""

import asyncio

from fakes.deployment import Deployment, batch, manifest

from .virtual import VirtualTimeTestCase

OLD, NEW = "v1", "v1.1"


class ItemVersionTest(VirtualTimeTestCase):
    """Guards against ORDER: outputs were continued by engines of other software."""

    async def asyncSetUp(self):
        self.deployment = Deployment()
        self.addAsyncCleanup(self.deployment.stop)
        self.deployment.put_manifest(manifest())

    async def start(self, **states):
        self.engines = {
            name: self.deployment.add_engine(name, **state)
            for name, state in states.items()
        }
        self.host = await self.deployment.start_host()
        await asyncio.sleep(1.0)

    def versions_of(self, result):
        return {line.rpartition("@")[2] for line in result.text.split("\n")}

    def assert_one_version_each(self, results, count):
        self.assertEqual(len(results), count)
        for result in results:
            self.assertTrue(result.succeeded)
            self.assertEqual(len(self.versions_of(result)), 1, result.text)

    def resumed_runs(self):
        runs = [run for engine in self.engines.values() for run in engine.runs]
        return [run for run in runs if run[1]]

    async def test_interrupted_items_go_on_at_their_version(self):
        await self.start(
            **{
                f"e{number}": {"software": software, "gap": 0.1}
                for number, software in enumerate((OLD, NEW, OLD, NEW))
            }
        )
        await self.deployment.submit(self.host, batch(groups=6, size=4))
        await asyncio.sleep(0.6)
        self.engines["e0"].gone = True
        results = await self.deployment.results(self.host, "b1", 10.0)
        self.assert_one_version_each(results, 24)
        self.assertTrue(self.resumed_runs())

    async def test_items_move_only_to_faster_engines_of_their_version(self):
        await self.start(
            **{
                f"e{number}": {"software": software}
                for number, software in enumerate((OLD, NEW, OLD))
            }
        )
        self.deployment.targets.events_by_item.update(
            {f"b1-g{group}-{index}": 60 for group in range(3) for index in range(3)}
        )
        await self.deployment.submit(self.host, batch(groups=3, size=3, events=60))
        await asyncio.sleep(0.5)
        self.engines["e0"].gap = 0.4
        results = await self.deployment.results(self.host, "b1", 25.0)
        self.assert_one_version_each(results, 9)
        self.assertTrue(self.resumed_runs())

    async def test_items_go_on_at_their_version_after_a_takeover(self):
        await self.start(
            e0={"software": OLD, "gap": 0.1}, e1={"software": NEW, "gap": 0.2}
        )
        other = await self.deployment.start_host("host-2")
        self.deployment.targets.events_by_item.update(
            {f"b1-g{group}-{index}": 30 for group in range(4) for index in range(4)}
        )
        await self.deployment.submit(self.host, batch(groups=4, size=4, events=30))
        await asyncio.sleep(2.0)
        await self.host.stop()
        results = await self.deployment.results(other, "b1", 10.0)
        self.assert_one_version_each(results, 16)
        self.assertTrue(self.resumed_runs())

    async def results_after_the_old_version_ended(self, remove_entry):
        await self.start(e0={"software": OLD, "gap": 0.1}, e1={"software": NEW})
        self.engines["e1"].gone = True
        await self.deployment.submit(self.host, batch(groups=1, size=2))
        await asyncio.sleep(0.5)
        self.engines["e1"].gone = False
        self.engines["e0"].gone = True
        if remove_entry:
            self.deployment.remove_target("e0")
        return await self.deployment.results(self.host, "b1", 5.0)

    async def test_items_start_anew_when_no_engine_of_their_version_is_left(self):
        results = await self.results_after_the_old_version_ended(remove_entry=True)
        self.assert_one_version_each(results, 2)
        for result in results:
            self.assertEqual(self.versions_of(result), {NEW})

    async def test_items_start_anew_when_their_version_takes_no_runs(self):
        """The entry of the only engine of the version stays in the store."""
        results = await self.results_after_the_old_version_ended(remove_entry=False)
        self.assert_one_version_each(results, 2)
