"""Tests of the paths to the store: direct calls, relayed calls, probes."""

import asyncio
import random

from cranberryrun.events import Events
from cranberryrun.exceptions import (
    AppendUnknownError,
    LogReadError,
    LogUnavailableError,
)
from cranberryrun.fleet.neighbours import Neighbour, Neighbours
from cranberryrun.fleet.store_paths import StorePaths
from cranberryrun.kernel import Kernel
from cranberryrun.store import KeyedRecord
from fakes.store import MemoryStore

from .virtual import VirtualTimeTestCase

DIRECT = "store"
HANG_SECONDS = 2.6


class StorePathsTest(VirtualTimeTestCase):
    """The store may refuse a third of the hosts for seconds at a time."""

    async def asyncSetUp(self):
        self.kernel = Kernel()
        self.events = Events("host-1", 1, 100)
        self.paths = StorePaths(DIRECT)
        own = Neighbour(host="host-1", zone="a", address="10.0.1.1:1")
        self.neighbours = Neighbours("hosts", own, random.Random(1))
        for service in (self.events, MemoryStore(), self.paths, self.neighbours):
            self.kernel.register(service)
        self.addAsyncCleanup(self.kernel.stop)
        await self.kernel.start()
        self.failure_by_address = {}
        self.called_addresses = []
        self.hanging_addresses = set()
        self.repeatable = True

    def add_neighbours(self, **zone_by_host):
        self.neighbours._replace_neighbours(
            [
                KeyedRecord(
                    host,
                    Neighbour(host=host, zone=zone, address=f"10.0.0.{host[1:]}:1")
                    .model_dump_json()
                    .encode(),
                )
                for host, zone in zone_by_host.items()
            ]
        )

    async def send(self, address):
        if address != DIRECT:
            # The neighbour at 10.0.0.3 is n3.
            address = "n" + address.partition(":")[0].rpartition(".")[2]
        self.called_addresses.append(address)
        await asyncio.sleep(0.004)
        if address in self.hanging_addresses:
            await asyncio.sleep(HANG_SECONDS)
            error = LogReadError if self.repeatable else AppendUnknownError
            raise error("silent")
        failure = self.failure_by_address.get(address)
        if failure is not None:
            raise type(failure)(*failure.args)
        return f"answer of {address}"

    async def probe(self):
        return await self.send(DIRECT)

    async def call(self):
        return await self.paths.call(self.send, self.probe, repeatable=self.repeatable)

    async def test_calls_go_to_the_store_directly_while_it_serves_this_host(self):
        self.add_neighbours(n1="a")
        self.assertEqual(await self.call(), "answer of store")
        self.assertFalse(self.paths.direct_path_failed)

    async def test_a_neighbour_of_the_same_zone_relays_the_call(self):
        self.add_neighbours(n1="b", n2="a", n3="b")
        self.failure_by_address[DIRECT] = LogUnavailableError("503")
        self.assertEqual(await self.call(), "answer of n2")
        self.assertTrue(self.paths.direct_path_failed)

    async def test_calls_are_direct_again_soon_after_the_store_serves_again(self):
        self.add_neighbours(n1="a")
        self.failure_by_address[DIRECT] = LogReadError("reset")
        await self.call()
        del self.failure_by_address[DIRECT]
        await asyncio.sleep(0.5)
        self.assertEqual(await self.call(), "answer of store")

    async def test_a_write_with_unknown_outcome_is_not_retried_on_another_path(self):
        self.add_neighbours(n1="a")
        self.failure_by_address[DIRECT] = AppendUnknownError("lost")
        with self.assertRaises(AppendUnknownError):
            await self.call()
        self.assertNotIn("n1", self.called_addresses)
        # Only the caller knows whether a repeat is safe. Its next call is relayed.
        self.assertEqual(await self.call(), "answer of n1")

    async def test_neighbours_that_the_store_refuses_too_are_skipped(self):
        self.add_neighbours(n1="a", n2="a", n3="a", n4="b")
        self.failure_by_address = {
            address: LogUnavailableError("503")
            for address in (DIRECT, "n1", "n2", "n3")
        }
        self.assertEqual(await self.call(), "answer of n4")
        self.called_addresses.clear()
        await self.call()
        self.assertEqual(
            [address for address in self.called_addresses if address != DIRECT], ["n4"]
        )

    async def test_few_neighbours_are_tried_when_the_store_is_down_for_all(self):
        self.add_neighbours(n1="a", n2="a", n3="a", n4="a", n5="a")
        failure = LogUnavailableError("503")
        for address in (DIRECT, "n1", "n2", "n3", "n4", "n5"):
            self.failure_by_address[address] = failure
        for _ in range(20):
            with self.assertRaises(LogUnavailableError):
                await self.call()
        self.assertLessEqual(
            sum(address != DIRECT for address in self.called_addresses), 5
        )

    async def test_calls_go_to_the_store_directly_when_there_are_no_neighbours(self):
        self.failure_by_address[DIRECT] = LogReadError("reset")
        with self.assertRaises(LogReadError):
            await self.call()
        del self.failure_by_address[DIRECT]
        self.assertEqual(await self.call(), "answer of store")

    async def test_read_does_not_wait_for_a_neighbour_once_the_store_serves_again(self):
        # Guards against CONFIG: a read that hung at a neighbour went on for seconds
        # after the end of an outage.
        self.add_neighbours(n1="a")
        self.hanging_addresses = {"n1"}
        self.failure_by_address[DIRECT] = LogReadError("silent")
        task = asyncio.create_task(self.call())
        await asyncio.sleep(1.0)
        del self.failure_by_address[DIRECT]
        await asyncio.sleep(0.5)
        self.assertTrue(task.done())
        self.assertEqual(task.result(), "answer of store")

    async def test_write_at_a_neighbour_is_not_made_again_directly(self):
        self.add_neighbours(n1="a")
        self.hanging_addresses = {"n1"}
        self.repeatable = False
        self.failure_by_address[DIRECT] = LogUnavailableError("503")
        task = asyncio.create_task(self.call())
        await asyncio.sleep(1.0)
        del self.failure_by_address[DIRECT]
        await asyncio.sleep(HANG_SECONDS)
        with self.assertRaises(AppendUnknownError):
            await task

    async def test_call_tries_no_more_neighbours_after_a_second(self):
        self.add_neighbours(n1="a", n2="a", n3="a", n4="a")
        self.hanging_addresses = {"n1", "n2", "n3", "n4"}
        self.failure_by_address[DIRECT] = LogReadError("silent")
        with self.assertRaises(LogReadError):
            await self.call()
        self.assertLess(self.now(), 2 * HANG_SECONDS)
