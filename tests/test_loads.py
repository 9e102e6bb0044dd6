"""Loads of weights: one an engine and version, paced, fenced, late ones harmless."""

import asyncio

from fakes.deployment import Deployment, batch, manifest

from .virtual import VirtualTimeTestCase


class LoadsTest(VirtualTimeTestCase):
    async def asyncSetUp(self):
        self.deployment = Deployment()
        self.addAsyncCleanup(self.deployment.stop)
        self.deployment.put_manifest(manifest())

    async def start(self, count):
        self.engines = [self.deployment.add_engine(f"e{n}") for n in range(count)]
        self.host = await self.deployment.start_host()
        await asyncio.sleep(1.0)

    async def test_each_engine_gets_one_order_and_few_load_at_once(self):
        await self.start(6)
        self.deployment.announce_version(2)
        most = 0
        for _ in range(100):
            await asyncio.sleep(0.05)
            most = max(most, sum(engine.loading for engine in self.engines))
        self.assertEqual([engine.version for engine in self.engines], [2] * 6)
        self.assertEqual([len(engine.orders) for engine in self.engines], [1] * 6)
        self.assertEqual(most, 2)

    async def test_an_order_without_an_answer_is_looked_up_before_it_is_sent_again(
        self,
    ):
        """Load pattern: orders are left unanswered and carried out late."""
        await self.start(1)
        self.engines[0].lose_orders = 1
        self.deployment.announce_version(2)
        await asyncio.sleep(6.0)
        self.assertEqual(self.engines[0].version, 2)
        orders = self.engines[0].orders
        self.assertEqual([order.sequence for order in orders], [0, 0])

    async def test_after_a_stale_fence_nothing_more_is_ordered(self):
        await self.start(1)
        self.engines[0].fence = 1_000_000
        self.deployment.announce_version(2)
        await asyncio.sleep(10.0)
        self.assertEqual(len(self.engines[0].orders), 1)

    async def test_items_run_on_while_their_engines_load(self):
        await self.start(2)
        await self.deployment.submit(self.host, batch(groups=2, size=4, events=30))
        await asyncio.sleep(0.2)
        self.deployment.announce_version(2)
        results = await self.deployment.results(self.host, "b1", 5.0)
        self.assertTrue(all(result.succeeded for result in results))
        self.assertEqual(len(results), 8)

    async def test_an_engine_is_loaded_though_it_is_busy_when_a_batch_needs_it(self):
        await self.start(1)
        self.deployment.targets.events_by_item["b1-g0-0"] = 400
        await self.deployment.submit(self.host, batch(groups=1, size=1, events=400))
        await asyncio.sleep(0.2)
        self.deployment.announce_version(2)
        newer = batch("b2", groups=1, size=1, min_version=2)
        await self.deployment.submit(self.host, newer)
        (result,) = await self.deployment.results(self.host, "b2", 4.0)
        self.assertEqual(result.versions, (2,))
