"""Tests of the stand-ins for the log, host list, weight store and a service."""

import asyncio
import signal
import sys
import unittest

import aiohttp

from standins.hosts import HostEntry, HostsStandin, ListUnavailable
from standins.log import AckLost, LogStandin, LogUnavailable, RateExceeded
from standins.service import Answer, ServiceStandin
from standins.weights import TooManyReads, WeightStandin

from .virtual import VirtualTimeTestCase

READY_SECONDS = 20.0


class LogTests(VirtualTimeTestCase):
    """Offsets, waiting reads, retention, rate limit and faults of the log."""

    async def test_values_are_appended_when_the_ack_is_lost(self) -> None:
        log = LogStandin()
        self.assertEqual(await log.append("s", ["a", "b"]), 0)
        log.change_faults({"lose_acks": 1, "refuse": 1})
        with self.assertRaises(LogUnavailable):
            await log.append("s", ["c"])
        with self.assertRaises(AckLost):
            await log.append("s", ["d"])
        page = await log.read("s")
        self.assertEqual([record.value for record in page.records], ["a", "b", "d"])
        self.assertEqual([record.offset for record in page.records], [0, 1, 2])
        self.assertEqual(page.next, 3)

    async def test_read_waits_for_an_append(self) -> None:
        log = LogStandin()
        reading = asyncio.create_task(log.read("s", wait=30))
        await asyncio.sleep(5)
        await log.append("s", ["a"])
        page = await reading
        self.assertEqual(page.records[0].value, "a")
        self.assertAlmostEqual(self.now(), 5, delta=0.1)

    async def test_outage_ends_a_waiting_read(self) -> None:
        log = LogStandin()
        reading = asyncio.create_task(log.read("s", wait=30))
        await asyncio.sleep(1)
        log.change_faults({"down": True})
        with self.assertRaises(LogUnavailable):
            await reading

    async def test_retention_advances_only_the_first_offset(self) -> None:
        log = LogStandin(retention=10)
        await log.append("s", ["a"])
        await asyncio.sleep(6)
        await log.append("s", ["b"])
        await asyncio.sleep(6)
        page = await log.read("s", 0)
        self.assertEqual((page.first, page.next), (1, 2))
        await asyncio.sleep(6)
        page = await log.read("s", 0)
        self.assertEqual((page.first, page.next, page.records), (2, 2, []))

    async def test_appends_are_limited_to_the_rate(self) -> None:
        log = LogStandin(appends_per_second=100)
        appended = 0
        for _ in range(1000):
            try:
                await log.append("s", [0])
                appended += 1
            except RateExceeded:
                await asyncio.sleep(0.01)
            if self.now() >= 2:
                break
        self.assertAlmostEqual(appended, 220, delta=5)


class HostsTests(VirtualTimeTestCase):
    """Lag and faults of the host list."""

    async def test_list_lags_and_can_be_frozen_or_down(self) -> None:
        hosts = HostsStandin(lag=2.0)
        hosts.put(HostEntry(id="e1", kind="entry", ip="h", api_port=1, zone="a"))
        await asyncio.sleep(1)
        self.assertEqual(hosts.visible().hosts, [])
        await asyncio.sleep(1.5)
        self.assertEqual([host.id for host in hosts.visible().hosts], ["e1"])
        hosts.change_faults({"frozen": True})
        hosts.delete("e1")
        await asyncio.sleep(5)
        self.assertEqual([host.id for host in hosts.visible().hosts], ["e1"])
        hosts.change_faults({"frozen": False})
        self.assertEqual(hosts.visible().hosts, [])
        hosts.change_faults({"down": True})
        with self.assertRaises(ListUnavailable):
            hosts.visible()


class WeightTests(VirtualTimeTestCase):
    """Rate limit and concurrency limit of the weight store."""

    async def read(self, store: WeightStandin) -> int:
        """Read one version and return its size."""
        return sum([len(chunk) async for chunk in store.read("w", 1)])

    async def test_reads_share_the_rate_and_are_limited_in_number(self) -> None:
        store = WeightStandin(bytes_per_second=1_000_000, concurrent=2, size=1_000_000)
        reads = [asyncio.create_task(self.read(store)) for _ in range(2)]
        await asyncio.sleep(0.1)
        with self.assertRaises(TooManyReads):
            await self.read(store)
        self.assertEqual(await asyncio.gather(*reads), [1_000_000] * 2)
        self.assertAlmostEqual(self.now(), 2.0, delta=0.1)


class ServiceTests(VirtualTimeTestCase):
    """Faults and record of a service."""

    async def test_record_contains_each_run_but_no_refusal(self) -> None:
        service = ServiceStandin(work=0.5)
        service.change_faults({"refuse": 1, "refuse_after_run": 1, "truncate": 1})
        self.assertIsNone(await service.call("POST", "/holds/1", key="k"))
        run = await service.call("POST", "/holds/1", {"a": 1}, "r1", "k")
        self.assertEqual(run.answer, Answer.REFUSED_AFTER_RUN)
        run = await service.call("GET", "/status/1")
        self.assertEqual(run.answer, Answer.TRUNCATED)
        record = service.record()
        self.assertEqual([run["key"] for run in record["runs"]], ["k", None])
        self.assertEqual(record["runs"][0]["request_id"], "r1")
        self.assertEqual(record["refused"], 1)


class ProgramTests(unittest.IsolatedAsyncioTestCase):
    """A stand-in runs as a process of its own."""

    async def test_process_serves_faults_and_exits_on_sigterm(self) -> None:
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "standins.service",
            "--port",
            "0",
            stdout=asyncio.subprocess.PIPE,
        )
        try:
            line = await asyncio.wait_for(process.stdout.readline(), READY_SECONDS)
            ready, name, ip, port = line.decode().split()
            self.assertEqual((ready, name, ip), ("ready", "service", "127.0.0.1"))
            url = f"http://{ip}:{port}"
            async with aiohttp.ClientSession() as session:
                await self.check_fault_settings(session, url)
                await self.check_truncated_response(session, url)
            process.send_signal(signal.SIGTERM)
            status = await asyncio.wait_for(process.wait(), READY_SECONDS)
            self.assertEqual(status, 0)
        finally:
            if process.returncode is None:
                process.kill()
                await process.wait()

    async def check_fault_settings(
        self, session: aiohttp.ClientSession, url: str
    ) -> None:
        """Check that an unknown fault is rejected and a known one is set."""
        async with session.post(f"{url}/control/faults", json={"x": 1}) as response:
            self.assertEqual(response.status, 422)
        faults = {"truncate": 1}
        async with session.post(f"{url}/control/faults", json=faults) as response:
            self.assertEqual((await response.json())["truncate"], 1)

    async def check_truncated_response(
        self, session: aiohttp.ClientSession, url: str
    ) -> None:
        """Check that a truncated response fails and that its run is in the record."""
        with self.assertRaises(aiohttp.ClientPayloadError):
            async with session.post(f"{url}/holds/1", json={}) as response:
                await response.read()
        async with session.get(f"{url}/control/record") as response:
            runs = (await response.json())["runs"]
        self.assertEqual([run["answer"] for run in runs], ["truncated"])
