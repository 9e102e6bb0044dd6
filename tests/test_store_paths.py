"""Calls to the store of a host that the store turns away."""

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


class StorePathsTest(VirtualTimeTestCase):
    """Load pattern: the store turns a third of the hosts away for seconds."""

    async def asyncSetUp(self):
        self.kernel = Kernel()
        self.events = Events("host-1", 1, 100)
        self.paths = StorePaths(DIRECT)
        own = Neighbour(host="host-1", zone="a", address="h1")
        self.neighbours = Neighbours("hosts", own, random.Random(1))
        for service in (self.events, MemoryStore(), self.paths, self.neighbours):
            self.kernel.register(service)
        self.addAsyncCleanup(self.kernel.stop)
        await self.kernel.start()
        self.failure_by_address = {}
        self.asked = []

    def know(self, **zone_by_host):
        self.neighbours._take(
            [
                KeyedRecord(
                    host,
                    Neighbour(host=host, zone=zone, address=host)
                    .model_dump_json()
                    .encode(),
                )
                for host, zone in zone_by_host.items()
            ]
        )

    async def send(self, address):
        self.asked.append(address)
        await asyncio.sleep(0.004)
        failure = self.failure_by_address.get(address)
        if failure is not None:
            raise type(failure)(*failure.args)
        return f"answer of {address}"

    async def probe(self):
        return await self.send(DIRECT)

    async def call(self):
        return await self.paths.call(self.send, self.probe)

    async def test_it_asks_the_store_itself_while_that_serves(self):
        self.know(n1="a")
        self.assertEqual(await self.call(), "answer of store")
        self.assertFalse(self.paths.direct_path_failed)

    async def test_a_neighbour_of_the_same_zone_makes_the_call(self):
        self.know(n1="b", n2="a", n3="b")
        self.failure_by_address[DIRECT] = LogUnavailableError("503")
        self.assertEqual(await self.call(), "answer of n2")
        self.assertTrue(self.paths.direct_path_failed)

    async def test_it_returns_to_the_store_soon_after_it_serves_again(self):
        self.know(n1="a")
        self.failure_by_address[DIRECT] = LogReadError("reset")
        await self.call()
        del self.failure_by_address[DIRECT]
        await asyncio.sleep(0.5)
        self.assertEqual(await self.call(), "answer of store")

    async def test_a_write_of_unknown_outcome_is_not_made_again_elsewhere(self):
        self.know(n1="a")
        self.failure_by_address[DIRECT] = AppendUnknownError("lost")
        with self.assertRaises(AppendUnknownError):
            await self.call()
        self.assertNotIn("n1", self.asked)
        # The caller knows whether a repeat is harmless; the next call goes round.
        self.assertEqual(await self.call(), "answer of n1")

    async def test_neighbours_that_are_turned_away_too_are_passed_over(self):
        self.know(n1="a", n2="a", n3="a", n4="b")
        self.failure_by_address = {
            address: LogUnavailableError("503")
            for address in (DIRECT, "n1", "n2", "n3")
        }
        self.assertEqual(await self.call(), "answer of n4")
        self.asked.clear()
        await self.call()
        self.assertEqual([each for each in self.asked if each != DIRECT], ["n4"])

    async def test_an_outage_for_all_is_not_made_worse_by_asking_round(self):
        self.know(n1="a", n2="a", n3="a", n4="a", n5="a")
        failure = LogUnavailableError("503")
        for address in (DIRECT, "n1", "n2", "n3", "n4", "n5"):
            self.failure_by_address[address] = failure
        for _ in range(20):
            with self.assertRaises(LogUnavailableError):
                await self.call()
        self.assertLessEqual(sum(each != DIRECT for each in self.asked), 5)

    async def test_without_neighbours_the_store_is_asked_still(self):
        self.failure_by_address[DIRECT] = LogReadError("reset")
        with self.assertRaises(LogReadError):
            await self.call()
        del self.failure_by_address[DIRECT]
        self.assertEqual(await self.call(), "answer of store")
