"""Tests of usage: counted once, kept during log outages, rolled up in time."""

import asyncio
import random
import unittest
from unittest import mock

import aiohttp

from cranberryrun import clock
from cranberryrun.configuration import Configuration
from cranberryrun.engines import Engines
from cranberryrun.events import Events
from cranberryrun.exceptions import (
    AppendUnknownError,
    CranberryrunError,
    LogGapError,
    LogUnavailableError,
)
from cranberryrun.host import Host
from cranberryrun.kernel import Kernel
from cranberryrun.log import Log, LogPage, Record
from cranberryrun.membership import Membership
from cranberryrun.resources import Resources
from cranberryrun.settings import LogSettings, Settings
from cranberryrun.usage import Usage
from cranberryrun.usage_ledger import UsageLedger
from standins.ports import free_port

from .doubles import MemoryLog as SharedLog, settings
from .test_drain import UnreadableHostList
from .virtual import VirtualTimeTestCase

RETENTION_SECONDS = 600.0


class MemoryLog(Log):
    """An in-memory log that can be down, lose responses and expire records."""

    def __init__(self) -> None:
        super().__init__()
        self.records: list[Record] = []
        self.first = 0
        self.down = False
        self.lose_responses = 0

    async def append(self, stream, values):
        if self.down:
            raise LogUnavailableError("down")
        for value in values:
            self.records.append(Record(len(self.records), clock.wall(), value))
        if self.lose_responses:
            self.lose_responses -= 1
            raise AppendUnknownError("lost")
        return len(self.records) - len(values)

    async def read(self, stream, start, limit, wait):
        first_offset = max(start, self.first)
        page = self.records[first_offset : first_offset + limit]
        return LogPage(page, self.first, len(self.records))


def usage_of(log: MemoryLog, host: str, incarnation: int = 1) -> Usage:
    """Return a registered usage service that is not started."""
    settings = Settings(
        id=host,
        zone="z",
        api_port=0,
        peer_port=0,
        log=LogSettings(url="http://log", retention=RETENTION_SECONDS),
        host_list_url="http://hosts",
    )
    kernel = Kernel()
    kernel.register(Events(host, incarnation, 100))
    kernel.register(log)
    kernel.register(Membership(settings, incarnation))
    kernel.register(Configuration(settings, random.Random(1)))
    kernel.register(Engines(settings))
    usage = Usage(settings)
    kernel.register(usage)
    return usage


async def use_engine(usage: Usage, seconds: float, workload: str = "w") -> None:
    """Count one stream on an engine with two slots for ``seconds``."""
    with usage.kernel.get(Engines).usage.stream(workload, 2) as meter:
        meter.add(10)
        await asyncio.sleep(seconds)


def total(ledger: UsageLedger, workload: str = "w") -> float:
    """Return the total engine-seconds of a workload."""
    return sum(amount.engine_seconds for _, amount in ledger.days(workload))


class UsageTest(VirtualTimeTestCase):
    def setUp(self) -> None:
        self.log = MemoryLog()
        self.usage = usage_of(self.log, "h1")

    async def _write(self) -> None:
        self.usage.record()
        try:
            await self.usage.write()
        except CranberryrunError:
            return

    async def test_a_stream_is_counted_while_it_runs(self) -> None:
        stream = asyncio.create_task(use_engine(self.usage, 100))
        await asyncio.sleep(60)
        await self._write()
        self.assertAlmostEqual(total(await self.usage.read()), 30)
        await stream
        await self._write()
        self.assertAlmostEqual(total(await self.usage.read()), 50)
        tokens = [amount.tokens for _, amount in self.usage.ledger.days("w")]
        self.assertEqual(sum(tokens), 10)

    async def test_time_before_the_first_piece_is_not_counted(self) -> None:
        with self.usage.kernel.get(Engines).usage.stream("w", 2):
            await asyncio.sleep(30)
        await self._write()
        self.assertEqual(self.log.records, [])

    async def test_a_record_with_a_lost_append_response_counts_once(self) -> None:
        self.log.lose_responses = 2
        await use_engine(self.usage, 20)
        for _ in range(3):
            await self._write()
        self.assertEqual(len(self.log.records), 3)
        self.assertAlmostEqual(total(await self.usage.read()), 10)

    async def test_all_use_is_kept_in_bounded_records_during_a_log_outage(self) -> None:
        self.log.down = True
        for _ in range(2_000):
            await use_engine(self.usage, 2)
            await self._write()
        self.assertLessEqual(len(self.usage.pending), 1_441)
        self.log.down = False
        await self._write()
        self.assertEqual(len(self.usage.pending), 0)
        self.assertAlmostEqual(total(await self.usage.read()), 2_000)

    async def test_incarnations_are_counted_separately(self) -> None:
        for incarnation in (1, 2):
            self.usage = usage_of(self.log, "h1", incarnation)
            await use_engine(self.usage, 20)
            await self._write()
        self.assertAlmostEqual(total(await self.usage.read()), 20)

    async def test_a_rollup_replaces_expired_records_and_counts_once(self) -> None:
        self.log.lose_responses = 1
        await use_engine(self.usage, 20)
        await self._write()
        rollup = (await self.usage.read()).rollup()
        self.log.records.append(Record(1, clock.wall(), rollup.model_dump(mode="json")))
        self.log.first = 1
        await self._write()
        reader = usage_of(self.log, "h2")
        self.assertAlmostEqual(total(await reader.read()), 10)

    async def test_a_gap_without_a_rollup_is_an_error(self) -> None:
        await use_engine(self.usage, 20)
        await self._write()
        await self._write()
        self.log.records.append(Record(1, clock.wall(), {"record": "other"}))
        self.log.first = 1
        with self.assertRaises(LogGapError):
            await usage_of(self.log, "h2").read()

    async def test_the_service_writes_every_minute_and_when_it_stops(self) -> None:
        await self.usage.start()
        await use_engine(self.usage, 61)
        self.assertEqual(len(self.log.records), 1)
        await self.usage.stop()
        self.assertAlmostEqual(total(await self.usage.read()), 30.5)

    def test_invalid_records_are_skipped(self) -> None:
        ledger = UsageLedger()
        for offset, value in enumerate((None, 3, {"record": "usage"}, {})):
            self.assertFalse(ledger.apply(offset, value))
        self.assertEqual(ledger.offset, 3)

    async def test_a_rollup_is_written_before_records_expire(self) -> None:
        usage = self.usage
        with mock.patch.object(clock, "wall", self.now):
            await usage.start()
            await use_engine(usage, 61)
            await asyncio.sleep(RETENTION_SECONDS)
        kinds = [record.value["record"] for record in self.log.records]
        self.assertIn("rollup", kinds)
        self.assertLessEqual(kinds.count("rollup"), 4)
        await usage.stop()


class UsageRouteTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.made = settings(api_port=free_port(), peer_port=free_port())
        self.log = SharedLog()
        self.host = Host(self.made, self.log)
        self.host.kernel.get(Membership).use_host_list(UnreadableHostList())
        await self.host.start()
        self.addAsyncCleanup(self.host.stop)
        await self.host.kernel.get(Configuration).ready.wait()
        spec = {"pool": "p", "freshness_bound": 1, "price_per_engine_hour": 3600}
        await self.host.kernel.get(Resources).change(
            "put", "workloads", "w", spec, None, None
        )

    async def _items(self, route: str) -> list[dict]:
        url = f"http://127.0.0.1:{self.made.api_port}/v1/{route}"
        async with aiohttp.ClientSession() as session:
            async with session.get(url) as answer:
                self.assertEqual(answer.status, 200)
                return (await answer.json())["items"]

    async def test_usage_and_forecast_over_http(self) -> None:
        usage = self.host.kernel.get(Usage)
        with self.host.kernel.get(Engines).usage.stream("w", 1) as meter:
            meter.add(7)
            await asyncio.sleep(0.05)
        usage.record()
        await usage.write()
        usage_items = await self._items("usage")
        self.assertEqual(
            [(row["workload"], row["tokens"]) for row in usage_items], [("w", 7)]
        )
        self.assertGreaterEqual(usage_items[0]["bill"], 0.05)
        forecast_items = await self._items("forecast")
        self.assertEqual([row["workload"] for row in forecast_items], ["w"])
