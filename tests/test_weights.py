"""Tests of the orders to engines: versions, models, adapters and roles."""

import asyncio

from cranberryrun.engines import VersionOrder
from cranberryrun.weights import Weights, fence_of

from .rollouts import WORKLOAD, Rollouts, entry
from .virtual import VirtualTimeTestCase

SECOND_WORKLOAD = "stack"


class WeightsTestCase(VirtualTimeTestCase):
    async def start_rollouts(self, **options) -> Rollouts:
        """Return one host that owns all engines, with version 1 announced."""
        rollouts = await self.enterAsyncContext(Rollouts(weights=True, **options))
        rollouts.versions.learn(WORKLOAD, 1)
        return rollouts

    def versions(self, rollouts, workload=WORKLOAD) -> list[int]:
        """Return the version that each engine runs; -1 for none."""
        return [
            engine.loaded[workload].version if workload in engine.loaded else -1
            for engine in rollouts.engine_by_name.values()
        ]

    async def wait_until_loaded(self, rollouts, version, workload=WORKLOAD, limit=60):
        """Wait until every engine runs ``version``."""
        async with asyncio.timeout(limit):
            while set(self.versions(rollouts, workload)) != {version}:
                await asyncio.sleep(0.25)


class RolloutTest(WeightsTestCase):
    async def test_every_engine_loads_the_newest_version(self):
        rollouts = await self.start_rollouts(engines=6)
        await self.wait_until_loaded(rollouts, 1)
        await asyncio.sleep(6)
        rollouts.versions.learn(WORKLOAD, 2)
        await self.wait_until_loaded(rollouts, 2)
        await asyncio.sleep(6)
        orders = [len(e.orders) for e in rollouts.engine_by_name.values()]
        self.assertEqual(orders, [2] * 6)
        self.assertEqual(len(rollouts.events("order_confirmed")), 12)

    async def test_concurrent_loads_stay_within_the_limit_across_workloads(self):
        rollouts = await self.start_rollouts(
            engines=8, limits={"weight_loads_at_once": 2}
        )
        await rollouts.put(
            "workloads", SECOND_WORKLOAD, pool="rollout", freshness_bound=1
        )
        rollouts.versions.learn(SECOND_WORKLOAD, 1)
        max_loading = 0
        while set(
            self.versions(rollouts) + self.versions(rollouts, SECOND_WORKLOAD)
        ) != {1}:
            loading = [
                row
                for engine in rollouts.engine_by_name.values()
                for row in engine.loaded.values()
                if row.loading is not None
            ]
            max_loading = max(max_loading, len(loading))
            await asyncio.sleep(0.1)
        self.assertEqual(max_loading, 2)

    async def test_a_slow_engine_does_not_delay_orders_to_others(self):
        rollouts = await self.start_rollouts(
            engines=4, limits={"weight_loads_at_once": 4}
        )
        rollouts.engine_by_name["engine-0"].answer_seconds = 1000
        await asyncio.sleep(12)
        self.assertEqual(self.versions(rollouts), [-1, 1, 1, 1])

    async def test_an_engine_that_another_host_owns_gets_no_order(self):
        rollouts = await self.start_rollouts(engines=6)
        await self.wait_until_loaded(rollouts, 1)
        rollouts.hosts.entries.append(entry("host-2", "zone-b"))
        await asyncio.sleep(6)
        owned = set(rollouts.engines.owned())
        self.assertTrue(0 < len(owned) < 6)
        rollouts.versions.learn(WORKLOAD, 2)
        for engine in rollouts.engine_by_name.values():
            engine.orders.clear()
        await asyncio.sleep(15)
        ordered = {n for n, e in rollouts.engine_by_name.items() if e.orders}
        self.assertTrue(ordered <= owned)
        self.assertGreater(len(ordered), 0)


class FaultTest(WeightsTestCase):
    async def test_a_failed_load_is_ordered_again(self):
        rollouts = await self.start_rollouts()
        rollouts.engine_by_name["engine-0"].fail_loads = 2
        await self.wait_until_loaded(rollouts, 1)
        failures = [event["failures"] for event in rollouts.events("load_failed")]
        self.assertEqual(failures, [1, 2])

    async def test_a_persistently_failing_engine_is_out_of_service_until_it_loads(self):
        rollouts = await self.start_rollouts()
        await self.wait_until_loaded(rollouts, 1)
        rollouts.versions.learn(WORKLOAD, 2)
        failing_engine = rollouts.engine_by_name["engine-0"]
        failing_engine.fail_loads = 1000
        await asyncio.sleep(40)
        self.assertEqual(len(rollouts.events("engine_out")), 1)
        usable = [engine.name for engine in rollouts.engines.usable("rollout")]
        self.assertEqual(usable, ["engine-1"])
        failing_engine.fail_loads = 0
        await self.wait_until_loaded(rollouts, 2)
        await asyncio.sleep(7)
        self.assertEqual(len(rollouts.engines.usable("rollout")), 2)
        self.assertEqual(len(rollouts.events("engine_in")), 1)

    async def test_no_engine_is_out_of_service_when_every_load_fails(self):
        rollouts = await self.start_rollouts()
        for engine in rollouts.engine_by_name.values():
            engine.fail_loads = 1000
        await asyncio.sleep(60)
        self.assertEqual(rollouts.events("engine_out"), [])

    async def test_a_failing_engine_does_not_delay_others(self):
        for failing_engine in ("engine-0", "engine-1", "engine-2"):
            rollouts = await self.start_rollouts(
                engines=3, limits={"weight_loads_at_once": 1}
            )
            await self.wait_until_loaded(rollouts, 1)
            rollouts.engine_by_name[failing_engine].fail_loads = 1000
            rollouts.versions.learn(WORKLOAD, 2)
            await asyncio.sleep(40)
            self.assertEqual(sorted(self.versions(rollouts)), [1, 2, 2], failing_engine)

    async def test_another_workloads_version_is_no_evidence_that_loads_work(self):
        rollouts = await self.start_rollouts()
        await rollouts.put(
            "workloads", SECOND_WORKLOAD, pool="rollout", freshness_bound=1
        )
        await self.wait_until_loaded(rollouts, 1)
        for engine in rollouts.engine_by_name.values():
            engine.run_version(9, SECOND_WORKLOAD)
            engine.fail_loads = 1000
        rollouts.versions.learn(WORKLOAD, 2)
        await asyncio.sleep(60)
        self.assertEqual(rollouts.events("engine_out"), [])

    async def test_an_engine_that_executed_a_stale_order_is_corrected(self):
        rollouts = await self.start_rollouts()
        await self.wait_until_loaded(rollouts, 1)
        rollouts.versions.learn(WORKLOAD, 2)
        await self.wait_until_loaded(rollouts, 2)
        await asyncio.sleep(6)
        engine = rollouts.engine_by_name["engine-0"]
        engine.fencing = False
        await engine.order(VersionOrder("late", 1, WORKLOAD, 1))
        await asyncio.sleep(2)
        self.assertEqual(engine.loaded[WORKLOAD].version, 1)
        await self.wait_until_loaded(rollouts, 2)
        await asyncio.sleep(6)
        corrected = rollouts.events("engine_put_right")
        self.assertEqual([event["engine"] for event in corrected], ["engine-0"])

    async def test_a_stale_fence_makes_the_host_refresh_the_state(self):
        rollouts = await self.start_rollouts()
        await self.wait_until_loaded(rollouts, 1)
        await asyncio.sleep(6)
        rollouts.versions.learn(WORKLOAD, 2)
        engine = rollouts.engine_by_name["engine-0"]
        # Another host has learnt of version 3 first and ordered it.
        fence = fence_of(rollouts.engines.by_name["engine-0"].offset, 3)
        await engine.order(VersionOrder("other", fence, WORKLOAD, 3))
        await asyncio.sleep(10)
        self.assertEqual(engine.loaded[WORKLOAD].version, 3)
        self.assertLessEqual(len(rollouts.events("order_refused")), 1)

    async def test_a_restarted_engine_gets_its_version_again(self):
        rollouts = await self.start_rollouts()
        await self.wait_until_loaded(rollouts, 1)
        rollouts.engine_by_name["engine-0"].crash()
        await self.wait_until_loaded(rollouts, 1)
        self.assertEqual(rollouts.events("load_failed"), [])

    async def test_an_engine_that_is_down_does_not_delay_others(self):
        rollouts = await self.start_rollouts(
            engines=4, limits={"weight_loads_at_once": 1}
        )
        await self.wait_until_loaded(rollouts, 1)
        rollouts.engine_by_name["engine-2"].down = True
        await asyncio.sleep(6)
        rollouts.versions.learn(WORKLOAD, 2)
        await asyncio.sleep(20)
        self.assertEqual(self.versions(rollouts), [2, 2, 1, 2])


class NamedTest(WeightsTestCase):
    async def test_models_adapters_and_roles_are_ordered_once(self):
        rollouts = await self.start_rollouts(engines=1)
        engine = rollouts.engine_by_name["engine-0"]
        spec = {"model": "base", "adapters": ["a", "b"], "role": "decode"}
        await rollouts.declare_engine("engine-0", engine, **spec)
        await asyncio.sleep(20)
        orders = [
            (order.kind, order.workload, order.value) for order in engine.named_orders
        ]
        self.assertEqual(
            orders,
            [
                ("set_role", "", "decode"),
                ("load_model", WORKLOAD, "base"),
                ("load_adapter", WORKLOAD, "a"),
                ("load_adapter", WORKLOAD, "b"),
            ],
        )

    async def test_adapters_are_ordered_again_after_a_restart(self):
        rollouts = await self.start_rollouts(engines=1)
        engine = rollouts.engine_by_name["engine-0"]
        await rollouts.declare_engine("engine-0", engine, adapters=["a"])
        await asyncio.sleep(10)
        engine.crash()
        await asyncio.sleep(10)
        self.assertEqual([order.value for order in engine.named_orders], ["a", "a"])

    async def test_a_role_that_differs_is_corrected(self):
        rollouts = await self.start_rollouts(engines=1)
        engine = rollouts.engine_by_name["engine-0"]
        await rollouts.declare_engine("engine-0", engine, role="decode")
        await asyncio.sleep(10)
        engine.role = "prefill"
        await asyncio.sleep(15)
        self.assertEqual(engine.role, "decode")

    async def test_a_named_order_has_a_higher_fence_than_an_earlier_version_order(self):
        rollouts = await self.start_rollouts(engines=1)
        await self.wait_until_loaded(rollouts, 1)
        engine = rollouts.engine_by_name["engine-0"]
        fence = engine.loaded[WORKLOAD].fence
        await rollouts.declare_engine("engine-0", engine, adapters=["a"])
        await asyncio.sleep(10)
        self.assertGreater(engine.named_orders[0].fence, fence)


class FenceTest(VirtualTimeTestCase):
    async def test_fences_grow_with_the_declaration_and_then_the_version(self):
        self.assertLess(fence_of(3, 7), fence_of(3, 8))
        self.assertLess(fence_of(3, 2**31), fence_of(4, 0))
        self.assertEqual(fence_of(3, -1), fence_of(3, 0))

    async def test_nothing_is_ordered_before_a_version_is_known(self):
        rollouts = await self.enterAsyncContext(Rollouts(weights=True))
        await asyncio.sleep(10)
        self.assertIsInstance(rollouts.kernel.get(Weights), Weights)
        for engine in rollouts.engine_by_name.values():
            self.assertEqual(engine.orders, [])
