"""Tests of weight loads: one order for each engine and version, pacing, fencing."""

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

    async def test_each_engine_gets_one_order_and_at_most_two_load_at_once(self):
        await self.start(6)
        self.deployment.announce_version(2)
        max_loading = 0
        for _ in range(100):
            await asyncio.sleep(0.05)
            max_loading = max(
                max_loading, sum(engine.loading for engine in self.engines)
            )
        self.assertEqual([engine.version for engine in self.engines], [2] * 6)
        self.assertEqual([len(engine.orders) for engine in self.engines], [1] * 6)
        self.assertEqual(max_loading, 2)

    async def test_an_unanswered_order_is_sent_again_with_the_reported_sequence(self):
        """An engine may leave an order unanswered and carry it out late.

        The repeated order has the sequence that the engine reports, so the engine
        carries out only one of the two.
        """
        await self.start(1)
        self.engines[0].lose_orders = 1
        self.deployment.announce_version(2)
        await asyncio.sleep(6.0)
        self.assertEqual(self.engines[0].version, 2)
        orders = self.engines[0].orders
        self.assertEqual([order.sequence for order in orders], [0, 0])

    async def test_no_more_orders_are_sent_after_an_engine_rejected_the_fence(self):
        await self.start(1)
        self.engines[0].fence = 1_000_000
        self.deployment.announce_version(2)
        await asyncio.sleep(10.0)
        self.assertEqual(len(self.engines[0].orders), 1)

    async def test_items_continue_while_their_engines_load(self):
        await self.start(2)
        await self.deployment.submit(self.host, batch(groups=2, size=4, events=30))
        await asyncio.sleep(0.2)
        self.deployment.announce_version(2)
        results = await self.deployment.results(self.host, "b1", 5.0)
        self.assertTrue(all(result.succeeded for result in results))
        self.assertEqual(len(results), 8)

    async def test_a_busy_engine_is_loaded_when_a_batch_needs_the_version(self):
        await self.start(1)
        self.deployment.targets.events_by_item["b1-g0-0"] = 400
        await self.deployment.submit(self.host, batch(groups=1, size=1, events=400))
        await asyncio.sleep(0.2)
        self.deployment.announce_version(2)
        newer = batch("b2", groups=1, size=1, min_version=2)
        await self.deployment.submit(self.host, newer)
        (result,) = await self.deployment.results(self.host, "b2", 4.0)
        self.assertEqual(result.versions, (2,))
