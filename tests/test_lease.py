"""The lease: one holder, fenced, that outlives outages of the store."""

import asyncio
import random

from cranberryrun.events import Events
from cranberryrun.fleet.lease import TOPIC, Lease
from cranberryrun.kernel import Kernel
from fakes.deployment import shared
from fakes.store import MemoryStore

from .virtual import VirtualTimeTestCase

ORDERS_AFTER_SECONDS = 3.0


class LeaseTestCase(VirtualTimeTestCase):
    async def asyncSetUp(self):
        self.store = MemoryStore()
        self.kernel_by_name = {}
        self.suspended = 0.0

    async def start(self, name, incarnation=1):
        kernel = Kernel()
        kernel.register(Events(name, 1, 1000))
        kernel.register(shared(self.store))
        lease = Lease(
            name,
            incarnation,
            ORDERS_AFTER_SECONDS,
            random.Random(name),
            self.boot_clock,
        )
        kernel.register(lease)
        await kernel.start()
        self.kernel_by_name[name] = kernel
        self.addAsyncCleanup(kernel.stop)
        return lease

    def boot_clock(self):
        return self.now() + self.suspended

    async def test_one_of_several_hosts_holds_it(self):
        leases = [await self.start(f"host-{number}") for number in range(5)]
        await asyncio.sleep(1.0)
        for _ in range(20):
            await asyncio.sleep(0.5)
            self.assertEqual(sum(lease.held for lease in leases), 1)

    async def test_a_silent_holder_is_replaced_with_a_higher_fence(self):
        first = await self.start("host-1")
        await asyncio.sleep(1.0)
        second = await self.start("host-2")
        fence = first.fence
        await self.kernel_by_name["host-1"].stop()
        await asyncio.sleep(2.0)
        self.assertTrue(second.held)
        self.assertGreater(second.fence, fence)

    async def test_a_new_holder_sends_no_orders_within_the_engines_lease_time(self):
        first = await self.start("host-1")
        await asyncio.sleep(5.0)
        self.assertTrue(first.may_order)
        first.ordered()
        second = await self.start("host-2")
        await asyncio.sleep(1.0)
        ordered_at = self.now()
        first.ordered()
        await first.release()
        while not second.may_order:
            await asyncio.sleep(0.05)
        self.assertGreaterEqual(self.now() - ordered_at, ORDERS_AFTER_SECONDS)

    async def test_after_a_release_without_recent_orders_the_next_orders_at_once(self):
        first = await self.start("host-1")
        second = await self.start("host-2")
        await asyncio.sleep(1.0)
        await (first if first.held else second).release()
        await asyncio.sleep(0.6)
        self.assertTrue(first.may_order or second.may_order)

    async def test_an_outage_of_the_store_changes_no_holder(self):
        """mushi-arusha trouble-2: three outages, each gave the lease to another."""
        first = await self.start("host-1")
        await asyncio.sleep(1.0)
        second = await self.start("host-2")
        await asyncio.sleep(1.0)
        for field in ("down", "silent"):
            setattr(self.store, field, True)
            await asyncio.sleep(6.0)
            self.assertFalse(first.held)
            self.assertFalse(first.may_order)
            setattr(self.store, field, False)
            await asyncio.sleep(1.5)
            self.assertTrue(first.held)
            self.assertFalse(second.assigned)

    async def test_a_holder_that_was_suspended_does_not_hold_it(self):
        first = await self.start("host-1")
        await asyncio.sleep(1.0)
        self.assertTrue(first.held)
        self.suspended = 4.0
        self.assertFalse(first.held)

    async def test_a_holder_that_was_killed_takes_it_again_as_soon_as_it_starts(self):
        """All hosts lose power at once: nobody needs to wait for the lease's end."""
        first = await self.start("host-1")
        await asyncio.sleep(1.0)
        await self.kernel_by_name["host-1"].stop()
        fence = first.fence
        again = await self.start("host-1", incarnation=2)
        await self.start("host-2")
        await asyncio.sleep(0.2)
        self.assertTrue(again.may_order)
        self.assertGreater(again.fence, fence)

    async def test_in_a_rolling_restart_a_host_that_was_restarted_takes_it(self):
        """mushi-arusha trouble-2: each host in turn is stopped, every 2 s."""
        old = [await self.start(f"host-{number}") for number in range(6)]
        await asyncio.sleep(20.0)
        holder = next(lease for lease in old if lease.held)
        young = await self.start("host-9")
        await asyncio.sleep(1.0)
        await holder.release()
        await asyncio.sleep(1.0)
        self.assertTrue(young.held)

    async def test_a_malformed_record_is_passed_over(self):
        first = await self.start("host-1")
        await asyncio.sleep(1.0)
        self.store.add(TOPIC, b"{")
        self.store.add(TOPIC, b'{"kind": "stolen", "host": "x", "holder": "x"}')
        await asyncio.sleep(2.0)
        self.assertTrue(first.held)

    async def test_two_that_take_it_at_once_do_not_both_get_it(self):
        first = await self.start("host-1")
        second = await self.start("host-2")
        for _ in range(100):
            await asyncio.sleep(0.01)
            self.assertFalse(first.held and second.held)
