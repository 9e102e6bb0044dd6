"""Hosts keep the limits of targets together: starts, takeovers, lost stores."""

import asyncio
from unittest.mock import patch

from cranberryrun import clock
from cranberryrun.exceptions import CranberryrunError, RefusedError
from cranberryrun.fleet.client import ConnectionLostError, Request
from cranberryrun.fleet.directory import Directory
from cranberryrun.fleet.lease import Lease
from cranberryrun.fleet.manifest import RouteKind
from cranberryrun.fleet.rate_limits import TargetLimitedError
from cranberryrun.fleet.send_permits import SendPermits
from cranberryrun.requests.forwarder import Forwarder
from cranberryrun.requests.streams import Streams
from fakes.deployment import (
    Deployment,
    FakePermitClient,
    batch,
    batch_route,
    manifest,
    scored_batch,
    scoring_route,
)

from .test_named_limits import most_in_a_window
from .virtual import VirtualTimeTestCase

LIMIT = 2.0
MOST_IN_WINDOW = 1.5 * LIMIT * 4.0 + 5


class SendPermitsTest(VirtualTimeTestCase):
    async def asyncSetUp(self):
        self.deployment = Deployment()
        self.addAsyncCleanup(self.deployment.stop)
        self.deployment.put_manifest(manifest())
        self.deployment.add_engine("e0")
        self.sent_at = []

    async def start_hosts(self, count):
        hosts = []
        for number in range(count):
            hosts.append(await self.deployment.start_host(f"host-{number}"))
            await asyncio.sleep(1.0)
        return hosts

    def name_limit(self, *hosts, rate=LIMIT):
        for host in hosts:
            host.get(SendPermits).record_answer("e0", rate, clock.now(), True)

    async def send_all_the_time(self, host, seconds):
        """Send a request whenever the host allows one; count refusals by duration."""
        target = host.get(Directory).target_by_id["e0"]
        end_at = clock.now() + seconds
        while clock.now() < end_at:
            started_at = clock.now()
            try:
                await host.get(SendPermits).acquire(target)
            except TargetLimitedError as error:
                self.assertLess(clock.now() - started_at, 0.3)
                self.assertGreater(error.retry_after, 0)
            else:
                self.sent_at.append(clock.now())
            await asyncio.sleep(0.02)

    def holder(self, hosts):
        return next(host for host in hosts if host.get(Lease).assigned)

    def assert_kept(self, least=0):
        self.assertLessEqual(most_in_a_window(self.sent_at), MOST_IN_WINDOW)
        self.assertGreaterEqual(len(self.sent_at), least)

    async def test_many_hosts_share_one_limit_and_use_it(self):
        hosts = await self.start_hosts(12)
        self.name_limit(*hosts)
        await asyncio.gather(*(self.send_all_the_time(host, 10.0) for host in hosts))
        self.assert_kept(least=16)

    async def test_host_that_starts_knows_the_limit_before_its_first_request(self):
        (holder,) = await self.start_hosts(1)
        self.name_limit(holder)
        await asyncio.sleep(0.5)
        late = await self.deployment.start_host("late")
        await asyncio.sleep(0.5)
        await self.send_all_the_time(late, 8.0)
        self.assert_kept(least=10)

    async def test_limit_that_only_another_host_knows_is_kept_by_the_holder(self):
        hosts = await self.start_hosts(2)
        holder = self.holder(hosts)
        (other,) = [host for host in hosts if host is not holder]
        self.name_limit(other)
        await asyncio.gather(*(self.send_all_the_time(host, 8.0) for host in hosts))
        self.sent_at = [at for at in self.sent_at if at > self.sent_at[0] + 0.5]
        self.assert_kept(least=10)

    async def test_takeover_does_not_send_twice_the_limit(self):
        hosts = await self.start_hosts(3)
        self.name_limit(*hosts)
        holder = self.holder(hosts)

        async def release():
            await asyncio.sleep(3.0)
            await holder.get(Lease).release()

        await asyncio.gather(
            release(), *(self.send_all_the_time(host, 10.0) for host in hosts)
        )
        self.assert_kept(least=10)

    async def test_holder_that_answers_nobody_leaves_the_others_a_part(self):
        hosts = await self.start_hosts(4)
        self.name_limit(*hosts)
        holder = self.holder(hosts)
        self.deployment.unreachable_hosts = set(self.deployment.kernel_by_host)
        others = [host for host in hosts if host is not holder]
        await asyncio.gather(*(self.send_all_the_time(host, 20.0) for host in hosts))
        self.assert_kept(least=40)
        self.sent_at = []
        await asyncio.gather(*(self.send_all_the_time(host, 20.0) for host in others))
        self.assert_kept(least=8)

    async def test_hosts_that_just_started_add_nothing_to_the_limit(self):
        # Each took itself for the only host, and sent half of the limit.
        hosts = await self.start_hosts(8)
        self.name_limit(*hosts)
        self.deployment.unreachable_hosts = set(self.deployment.kernel_by_host)
        with patch.object(FakePermitClient, "host_count", return_value=None):
            await asyncio.gather(
                *(self.send_all_the_time(host, 10.0) for host in hosts)
            )
        self.assert_kept(least=10)

    async def test_outage_of_the_store_does_not_free_the_limit(self):
        hosts = await self.start_hosts(3)
        self.name_limit(*hosts)
        await asyncio.sleep(0.5)
        self.deployment.store.down = True
        await asyncio.sleep(2.0)
        await asyncio.gather(*(self.send_all_the_time(host, 10.0) for host in hosts))
        self.assert_kept(least=8)

    async def test_all_hosts_send_freely_once_the_limit_has_ended(self):
        hosts = await self.start_hosts(2)
        self.name_limit(*hosts)
        await asyncio.sleep(1.0)
        self.name_limit(self.holder(hosts), rate=None)
        await asyncio.sleep(1.0)
        await asyncio.gather(*(self.send_all_the_time(host, 2.0) for host in hosts))
        self.assertGreater(len(self.sent_at), 150)

    async def test_new_process_of_a_target_has_no_limit(self):
        (host,) = await self.start_hosts(1)
        self.name_limit(host)
        self.deployment.register("e0", born=int(clock.wall() * 1000) + 60_000)
        await asyncio.sleep(1.0)
        self.assertIsNone(host.get(SendPermits).available("e0"))

    async def test_items_wait_for_permits_and_all_get_done(self):
        (host,) = await self.start_hosts(1)
        self.name_limit(host, rate=4.0)
        await self.deployment.submit(host, batch(groups=4, size=5))
        engine = self.deployment.targets.engine_by_id["e0"]
        await asyncio.sleep(2.0)
        self.assertLessEqual(len(engine.runs), 10)
        results = await self.deployment.results(host, "b1", 20.0)
        self.assertEqual([result.succeeded for result in results], [True] * 20)

    async def test_reward_calls_wait_for_permits(self):
        self.deployment.put_manifest(manifest(2, manifest().routes[0], scoring_route()))
        self.deployment.add_scorer("s0")
        (host,) = await self.start_hosts(1)
        host.get(SendPermits).record_answer("s0", LIMIT, clock.now(), True)
        await self.deployment.submit(host, scored_batch(groups=4, size=4))
        await self.deployment.results(host, "b1", 20.0)
        calls = self.deployment.targets.score_calls
        self.assertEqual(len({call.call for call in calls}), 16)
        self.assertLessEqual(
            most_in_a_window([call.time for call in calls]), MOST_IN_WINDOW
        )

    async def test_hedged_request_needs_a_permit_of_its_own(self):
        (host,) = await self.start_hosts(1)
        self.deployment.add_engine("e1")
        await asyncio.sleep(1.0)
        targets = self.deployment.targets
        targets.answers_by_target = {"e0": [0.5] * 9, "e1": [0.5] * 9}
        route = batch_route(kind=RouteKind.SAFE, max_attempts=2)
        for rate, sent in ((None, 2), (LIMIT, 1)):
            host.get(SendPermits).record_answer("e0", rate, clock.now(), True)
            host.get(SendPermits).record_answer("e1", rate, clock.now(), True)
            # One permit for one of the two targets.
            await asyncio.sleep(0.0 if rate is None else 0.55)
            host.get(SendPermits).take("e1")
            targets.sent.clear()
            request = Request("r", "GET", "/x", (), b"", clock.now() + 2.0)
            with self.subTest(rate=rate):
                await host.get(Forwarder).forward(route, request)
                self.assertEqual(len(targets.sent), sent)

    async def test_stream_that_may_have_run_is_not_called_refused(self):
        """Its next target takes no more requests, as only the holder knows."""
        hosts = await self.start_hosts(2)
        self.deployment.add_engine("e1")
        await asyncio.sleep(1.0)
        holder = self.holder(hosts)
        (other,) = [host for host in hosts if host is not holder]
        targets = self.deployment.targets
        lost = ConnectionLostError("the target closed the connection")
        targets.answers_by_target = {"e0": [lost] * 9}
        route = batch_route(
            kind=RouteKind.STREAMING, max_attempts=2, resumable=True, latency_goal=0.1
        )
        for number in range(8):
            for host in hosts:
                host.get(SendPermits).record_answer("e1", 0.5, clock.now(), True)
            request = Request(f"s{number}", "POST", "/x", (), b"", clock.now() + 1.0)
            targets.sent.clear()
            try:
                async for _ in other.get(Streams).forward(route, request, None):
                    continue
            except CranberryrunError as error:
                self.assertEqual(isinstance(error, RefusedError), not targets.sent)
            await asyncio.sleep(0.3)
