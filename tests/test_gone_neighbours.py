"""Machines that are gone for good, while their entries are still in the store."""

import asyncio
import time
from unittest.mock import patch

from cranberryrun.exceptions import LogReadError, LogUnavailableError
from cranberryrun.fleet import neighbour_checks, neighbours
from cranberryrun.fleet.directory import Directory
from cranberryrun.fleet.neighbours import Neighbour, Neighbours
from cranberryrun.platform.store_client import StoreClient
from cranberryrun.platform.wire import HOST_TOPIC
from standins.gone_machine import GoneMachine

from .test_platform_host import OPERATOR_TOPIC, PlatformTestCase, manifest

GONE_COUNT = 8
OUTAGE_SECONDS = 1.5
# The users' rule: a manifest is in force everywhere this long after its confirmation.
APPLY_SECONDS = 2.0
# The limit of connecting, and what a busy machine may add.
CONNECT_SECONDS = 0.4 + 0.2


class GoneNeighboursTestCase(PlatformTestCase):
    async def asyncSetUp(self):
        patcher = patch.object(neighbours, "_REFRESH_SECONDS", 0.3)
        patcher.start()
        self.addCleanup(patcher.stop)
        await super().asyncSetUp()
        self.known = self.host.kernel.get(Neighbours)

    def add_gone_machines(self, count=GONE_COUNT):
        for number in range(count):
            machine = GoneMachine()
            self.addCleanup(machine.close)
            self.add_entry(f"gone-{number}", machine.address)

    def add_entry(self, host, address):
        entry = Neighbour(host=host, zone="a", address=address)
        self.store.put(HOST_TOPIC, host, entry.model_dump())


class OutageTest(GoneNeighboursTestCase):
    async def test_manifest_is_in_force_in_time_after_an_outage_of_the_store(self):
        # Guards against CONFIG: a read waited seconds for each machine that was gone,
        # while the store served again.
        self.add_gone_machines()
        await self.wait_until(lambda: self.known.host_count == 1 + GONE_COUNT)
        directory = self.host.kernel.get(Directory)
        for version in (2, 3, 4):
            self.store.mode = "silent"
            await asyncio.sleep(OUTAGE_SECONDS)
            self.store.mode = "up"
            self.store.put(OPERATOR_TOPIC, "config", manifest(version))
            started_at = time.monotonic()
            await self.wait_until(lambda: directory.manifest.version == version, 60.0)
            with self.subTest(version=version):
                self.assertLess(time.monotonic() - started_at, APPLY_SECONDS)


class CallTest(GoneNeighboursTestCase):
    """Guards against time limits of a call that replace those of connecting."""

    async def test_call_to_the_store_is_given_up_soon_and_was_not_sent(self):
        machine = GoneMachine()
        self.addCleanup(machine.close)
        store = self.host.kernel.get(StoreClient)
        for method, error in (("GET", LogReadError), ("POST", LogUnavailableError)):
            with self.subTest(method=method):
                started_at = time.monotonic()
                with self.assertRaises(error):
                    await store.send_call(machine.address, method, "/v1/x", b"", 2.0)
                self.assertLess(time.monotonic() - started_at, CONNECT_SECONDS)


class RemovedEntryTest(GoneNeighboursTestCase):
    """Guards against a list of neighbours that grows with each machine replaced."""

    async def asyncSetUp(self):
        for name, seconds in (("_INTERVAL_SECONDS", 0.1), ("_GONE_SECONDS", 1.0)):
            patcher = patch.object(neighbour_checks, name, seconds)
            patcher.start()
            self.addCleanup(patcher.stop)
        await super().asyncSetUp()

    async def test_entry_of_a_gone_machine_is_removed_and_that_of_a_live_one_stays(
        self,
    ):
        other, _, _ = await self.start_host("host-2")
        self.add_gone_machines(2)
        await self.wait_until(lambda: self.known.host_count == 4)
        for known in (self.known, other.kernel.get(Neighbours)):
            await self.wait_until(lambda: known.host_count == 2, seconds=15.0)
        await asyncio.sleep(1.5)
        self.assertEqual([each.host for each in self.known.relaying], ["host-2"])

    async def test_nothing_is_removed_while_no_neighbour_answers(self):
        self.add_gone_machines(3)
        await self.wait_until(lambda: len(self.known.unreachable) == 3)
        await asyncio.sleep(3.0)
        self.assertEqual(self.known.host_count, 4)

    @patch.object(neighbour_checks, "_GONE_SECONDS", 60.0)
    async def test_unreachable_neighbours_are_chosen_last(self):
        await self.start_host("host-2")
        self.add_gone_machines(3)
        await self.wait_until(lambda: len(self.known.unreachable) == 3)
        for _ in range(5):
            self.assertEqual(self.known.choose(1)[0].host, "host-2")

    async def test_host_whose_entry_was_removed_registers_again(self):
        other, _, _ = await self.start_host("host-2")
        await self.wait_until(lambda: self.known.host_count == 2)
        self.store.put(HOST_TOPIC, "host-2", None)
        records = self.store.records_by_topic[HOST_TOPIC]
        await self.wait_until(lambda: b'"host":"host-2"' in records[-1])
