"""Results read from the holder of the lease by hosts on slow links."""

import asyncio
import json

from cranberryrun import clock
from cranberryrun.batches.log import BatchLog, topic_of
from cranberryrun.batches.remote_results import RemoteResults
from cranberryrun.batches.result_source import ResultPage, ResultSource
from cranberryrun.batches.service import Batches
from cranberryrun.exceptions import NotFoundError, PeerError
from cranberryrun.fleet.lease import Lease
from cranberryrun.fleet.neighbours import Neighbours
from fakes.deployment import Deployment, batch, manifest

from .test_platform_host import PlatformTestCase, submission
from .virtual import VirtualTimeTestCase

# A narrow link of a host, in Mbit/s.
SLOW_LINK_MBPS = 21.0


class RemoteResultsTest(VirtualTimeTestCase):
    """Answers a load of long polls that each reach another host.

    Guards against steps that end late because each host that a trainer asks first reads
    the whole batch from the store.
    """

    async def asyncSetUp(self):
        self.deployment = Deployment()
        self.addAsyncCleanup(self.deployment.stop)
        self.deployment.put_manifest(manifest())
        for number in range(2):
            self.deployment.add_engine(f"e{number}")
        self.holder = await self.deployment.start_host("holder")
        await asyncio.sleep(1.0)
        self.assertTrue(self.holder.get(Lease).held)
        self.slow = await self.deployment.start_host("slow", link_mbps=SLOW_LINK_MBPS)
        # Longer than the interval at which a host reads who holds the lease.
        await asyncio.sleep(3.0)
        await self.deployment.submit(self.holder, batch(submitted_at=clock.wall()))
        await asyncio.sleep(0.1)

    def reads_the_store(self):
        return bool(self.slow.get(BatchLog).table.state_by_id)

    async def test_results_come_from_the_holder(self):
        results = await self.deployment.results(self.slow, "b1", 10.0)
        self.assertEqual(len(results), 4)
        self.assertFalse(self.reads_the_store())

    async def test_positions_are_those_of_the_store(self):
        remote = await self.deployment.results(self.slow, "b1", 10.0)
        other = await self.deployment.start_host("other")
        await asyncio.sleep(1.0)
        self.assertEqual(await self.deployment.results(other, "b1", 10.0), remote)

    async def test_long_poll_is_answered_when_the_first_result_is_listed(self):
        await self.deployment.results(self.slow, "b1", 10.0)
        page = await self.slow.get(Batches).results("b1", 3, 1.0)
        self.assertEqual((page.next, len(page.results)), (4, 1))

    async def test_store_is_read_when_the_holder_does_not_answer(self):
        self.deployment.unreachable_hosts.add("holder")
        results = await self.deployment.results(self.slow, "b1", 10.0)
        self.assertEqual(len(results), 4)
        self.assertTrue(self.reads_the_store())

    async def test_suspended_holder_delays_a_long_poll_by_less_than_two_seconds(self):
        """The whole wait of the caller passed before the store was read."""

        async def read(host, batch_id, after, wait):
            await asyncio.sleep(wait + 0.6)
            raise PeerError("no answer")

        await asyncio.sleep(5.0)
        self.slow.get(ResultSource).read = read
        asked_at = clock.now()
        page = await self.slow.get(Batches).results("b1", 0, 8.0)
        self.assertEqual(len(page.results), 4)
        self.assertLess(clock.now() - asked_at, 2.0)

    async def test_long_poll_of_several_calls_ends_when_the_caller_wants(self):
        waits = []

        async def read(host, batch_id, after, wait):
            waits.append(wait)
            await asyncio.sleep(wait)
            return ResultPage(4, after, [])

        self.slow.get(ResultSource).read = read
        asked_at = clock.now()
        page = await self.slow.get(Batches).results("b1", 0, 2.5)
        self.assertEqual((page.next, len(page.results)), (0, 0))
        self.assertAlmostEqual(clock.now() - asked_at, 2.5, delta=0.1)
        self.assertEqual([round(wait, 1) for wait in waits[:3]], [1.0, 1.0, 0.5])

    async def test_batch_that_no_host_knows_is_not_found(self):
        with self.assertRaises(NotFoundError):
            await self.slow.get(Batches).results("unknown", 0, 0.0)

    async def test_holder_without_the_store_does_not_answer_with_less(self):
        """The caller may have read a result that this holder has not seen."""
        await self.deployment.results(self.slow, "b1", 10.0)
        self.deployment.store.down = True
        with self.assertRaises(Exception) as raised:
            await self.slow.get(Batches).results("b1", 4, 0.0)
        self.assertEqual(raised.exception.status, 503)

    async def test_batch_is_ended_without_reading_it(self):
        """A trainer waits for the end of its batch before it trains."""
        await self.slow.get(Batches).end("b1", clock.now() + 1.0)
        self.assertFalse(self.reads_the_store())
        await asyncio.sleep(0.5)
        self.assertTrue(self.holder.get(BatchLog).table.ended("b1"))

    async def test_batch_is_ended_while_its_topic_fails(self):
        self.deployment.store.down_topics.add(topic_of("b1"))
        fast = await self.deployment.start_host("fast")
        await asyncio.sleep(3.0)
        for host in (self.slow, fast):
            await host.get(Batches).end("b1", clock.now() + 1.0)
        await asyncio.sleep(0.5)
        self.assertTrue(self.holder.get(BatchLog).table.ended("b1"))

    async def test_host_on_a_fast_link_reads_the_store(self):
        fast = await self.deployment.start_host("fast")
        await asyncio.sleep(3.0)
        await self.deployment.results(fast, "b1", 10.0)
        self.assertTrue(fast.get(BatchLog).table.state_by_id)


class HttpResultsTest(PlatformTestCase):
    """The same over HTTP, between two hosts."""

    async def test_results_come_from_the_holder(self):
        second, url, _ = await self.start_host("host-2")
        remote = second.kernel.get(RemoteResults)
        remote._link_is_slow = True
        await self.wait_until(lambda: self.host.kernel.get(Lease).held)
        await self.wait_until(
            lambda: second.kernel.get(Lease).holder_host == "host-1"
            and second.kernel.get(Neighbours).address_of("host-1") is not None,
            8.0,
        )
        status, _, _ = await self.request(
            "POST", "/rollout/x", "b1", json=submission(items=4)
        )
        self.assertEqual(status, 202)
        results = []
        while len(results) < 4:
            status, _, body = await self.request(
                "GET",
                f"/v1/lots/b1?after={len(results)}",
                url=url,
                headers={"X-Cranberryrun-Wait-Ms": "1000"},
            )
            self.assertEqual(status, 200)
            results += json.loads(body)["results"]
        self.assertFalse(second.kernel.get(BatchLog).table.state_by_id)
        status, _, _ = await self.request("GET", "/v1/lots/other", url=url)
        self.assertEqual(status, 404)
