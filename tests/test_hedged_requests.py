"""Hosts hedge requests under one budget: slow targets, bursts, a lost holder."""

import asyncio
import random
from dataclasses import replace

from cranberryrun import clock
from cranberryrun.fleet.client import Answer, Request
from cranberryrun.fleet.directory import Directory
from cranberryrun.fleet.lease import Lease
from cranberryrun.fleet.manifest import Backend, RouteKind
from cranberryrun.fleet.send_permits import SendPermits
from cranberryrun.requests.crashes import Crashes
from cranberryrun.requests.fingerprint import fingerprint_of
from cranberryrun.requests.forwarder import Forwarder
from cranberryrun.second_attempts.client import PermitAsk
from cranberryrun.second_attempts.service import SecondAttempts
from fakes.deployment import Deployment, batch_route, manifest
from fakes.engines import FakeTargets

from .virtual import VirtualTimeTestCase

FAST, SLOW = 0.08, 0.4
SHARE = 0.1


class TimedTargets(FakeTargets):
    """Targets that respond after ``seconds_of(target id)``."""

    def __init__(self):
        super().__init__()
        self.running = set()
        self.cancelled_at = {}

    def seconds_of(self, target_id):
        return FAST

    async def send(self, target, request):
        self.sent.append((target.id, request.id))
        run = (target.id, request.id)
        self.running.add(run)
        try:
            await asyncio.sleep(self.seconds_of(target.id))
        except asyncio.CancelledError:
            self.cancelled_at[run] = clock.now()
            raise
        finally:
            self.running.discard(run)
        return Answer(200, (), target.id.encode())


class HedgingTestCase(VirtualTimeTestCase):
    """Three targets, one in each zone, and hosts of all zones."""

    share: float | None = SHARE
    host_count = 6

    async def asyncSetUp(self):
        self.rng = random.Random(5)
        self.deployment = Deployment()
        self.addAsyncCleanup(self.deployment.stop)
        self.deployment.max_extra_share = self.share
        self.targets = self.deployment.targets = TimedTargets()
        self.route = batch_route(
            name="status",
            path_prefix="/status/",
            kind=RouteKind.SAFE,
            backends=(Backend("models", 1.0),),
            timeout=2.0,
            latency_goal=0.2,
            max_attempts=2,
        )
        self.deployment.put_manifest(manifest(1, self.route))
        for number, zone in enumerate("abc"):
            self.deployment.add_engine(f"t{number}", slots=6)
            self.deployment.register(f"t{number}", zone=zone)
        self.hosts = [
            await self.deployment.start_host(f"host-{number}")
            for number in range(self.host_count)
        ]
        for number, host in enumerate(self.hosts):
            host.get(Forwarder).zone = "abc"[number % 3]
            directory = host.get(Directory)
            while len(directory.target_by_id) < 3:
                await asyncio.sleep(0.1)
        self.count = 0
        self.seconds = []

    async def request(self, host, route=None):
        self.count += 1
        request = Request(f"r{self.count}", "GET", "/x", (), b"", clock.now() + 2.0)
        started_at = clock.now()
        await host.get(Forwarder).forward(route or self.route, request)
        self.seconds.append(clock.now() - started_at)

    async def play(self, seconds, rate=12.0, hosts=None):
        """Send requests to random hosts; return the seconds that they took."""
        self.seconds = []
        tasks = []
        end_at = clock.now() + seconds
        while clock.now() < end_at:
            host = self.rng.choice(hosts or self.hosts)
            tasks.append(asyncio.create_task(self.request(host)))
            await asyncio.sleep(self.rng.expovariate(rate))
        await asyncio.gather(*tasks)
        return sorted(self.seconds)

    def slow_target(self, target_id="t0"):
        self.targets.seconds_of = lambda each: SLOW if each == target_id else FAST

    @property
    def extra_runs(self):
        return len(self.targets.sent) - self.count

    def events(self, name):
        return [each for each in self.deployment.events if each.kind.name == name]

    def holder(self):
        return next(host for host in self.hosts if host.get(Lease).assigned)


class HedgedRequestsTest(HedgingTestCase):
    """Hosts share a budget that the holder of the lease keeps."""

    def fill_budget(self):
        self.holder().get(SecondAttempts)._budget.record_runs(1000, clock.now())

    async def test_one_slow_target_costs_less_and_extra_runs_keep_the_share(self):
        self.slow_target()
        await self.play(20.0)
        before = self.extra_runs
        count_before = self.count
        taken = await self.play(40.0)
        mean = sum(taken) / len(taken)
        without = sum(
            SLOW if target == "t0" else FAST
            for target, request in self.targets.sent
            if int(request[1:]) > count_before
        )
        self.assertLess(mean, without / len(self.targets.sent[count_before:]))
        self.assertGreater(self.extra_runs - before, 20)
        self.assertLessEqual(self.extra_runs, SHARE * self.count)
        outcomes = [each.fields["outcome"] for each in self.events("hedge_ended")]
        self.assertGreater(outcomes.count("won"), 0.8 * len(self.events("hedge_sent")))

    async def test_loser_is_cancelled_at_once_and_permit_call_adds_no_delay(self):
        self.slow_target()
        await self.play(30.0)
        self.assertTrue(self.targets.cancelled_at)
        self.assertFalse(self.targets.running)
        delays = {each.fields["seconds"] for each in self.events("hedge_sent")}
        self.assertLess(max(delays), 0.15)
        for hedge in self.events("hedge_sent"):
            self.assertEqual(hedge.fields["target"], "t0")
            self.assertNotEqual(hedge.fields["to"], "t0")

    async def test_noise_on_all_targets_keeps_the_share(self):
        self.targets.seconds_of = lambda _: SLOW if self.rng.random() < 0.1 else FAST
        await self.play(20.0)
        taken = await self.play(30.0)
        slow = sum(seconds > 0.9 * SLOW for seconds in taken)
        self.assertLess(slow, 0.06 * len(taken))
        self.assertLessEqual(self.extra_runs, SHARE * self.count)

    async def test_all_slow_at_once_stops_hedging(self):
        await self.play(30.0)
        self.targets.seconds_of = lambda _: SLOW
        before = self.extra_runs
        await self.play(15.0)
        self.assertLess(self.extra_runs - before, 8)
        reasons = {each.fields["reason"] for each in self.events("hedge_refused")}
        self.assertIn("slow", reasons)

    async def test_burst_gets_no_more_than_the_share(self):
        self.slow_target()
        await self.play(20.0)
        await self.play(2.0, rate=150.0)
        self.assertLessEqual(self.extra_runs, SHARE * self.count)
        self.assertTrue(
            {"full", "slow"}
            & {each.fields["reason"] for each in self.events("hedge_refused")}
        )

    async def test_without_the_holder_no_host_hedges(self):
        self.slow_target()
        await self.play(20.0)
        holder = self.holder()
        others = [host for host in self.hosts if host is not holder]
        self.deployment.unreachable_hosts = set(self.deployment.kernel_by_host)
        await self.play(1.0, hosts=others)
        before = self.extra_runs
        await self.play(10.0, hosts=others)
        self.assertEqual(self.extra_runs, before)
        self.assertTrue(self.events("hedge_holder_unreachable"))

    async def test_new_holder_hedges_once_it_knows_the_response_times(self):
        self.slow_target()
        await self.play(20.0)
        holder = self.holder()
        await holder.get(Lease).release()
        others = [host for host in self.hosts if host is not holder]
        before, count_before = self.extra_runs, self.count
        await self.play(3.0, hosts=others)
        allowed = SHARE * (self.count - count_before)
        self.assertLessEqual(self.extra_runs - before, allowed)
        await self.play(30.0, hosts=others)
        self.assertGreater(self.extra_runs - before, 10)
        self.assertLessEqual(self.extra_runs, SHARE * self.count)

    async def test_permit_that_is_not_used_returns_to_the_budget(self):
        """Responses that came just before the delay ended would use it up."""
        self.slow_target()
        await self.play(20.0)
        host = next(each for each in self.hosts if not each.get(Lease).assigned)
        second_attempts = host.get(SecondAttempts)
        self.fill_budget()
        ask = PermitAsk(service="models", slow_target="t0", target="t1")
        self.assertIsNone(await second_attempts.acquire(ask))
        second_attempts.give_back()
        call = asyncio.create_task(second_attempts.acquire(ask))
        await asyncio.sleep(0.001)
        self.assertEqual(self.deployment.hedge_reports[-1].unused, 1)
        call.cancel()
        await asyncio.sleep(0.1)
        await second_attempts.acquire(ask)
        self.assertEqual(self.deployment.hedge_reports[-1].unused, 1)

    async def test_request_in_flight_ends_when_the_service_stops_before_it(self):
        """A host that shuts down would otherwise drop the response."""
        await self.play(1.0)
        await asyncio.sleep(10.0)
        host = next(each for each in self.hosts if not each.get(Lease).assigned)
        self.seconds = []
        request = asyncio.create_task(self.request(host))
        await asyncio.sleep(0.001)
        await host.get(SecondAttempts).stop()
        await request
        self.assertAlmostEqual(self.seconds[0], FAST)

    async def test_requests_that_may_run_once_or_have_one_attempt_are_not_hedged(self):
        self.slow_target()
        await self.play(20.0)
        self.fill_budget()
        before = self.extra_runs
        for changes in ({"kind": RouteKind.UNSAFE}, {"max_attempts": 1}):
            route = replace(self.route, **changes)
            for host in self.hosts:
                await self.request(host, route)
        self.assertEqual(self.extra_runs, before)

    async def test_targets_in_cooldown_or_with_a_refusal_get_no_hedge(self):
        self.slow_target()
        await self.play(20.0)
        self.fill_budget()
        before = self.extra_runs
        for host in self.hosts:
            state_of = host.get(Forwarder).state_of
            state_of("t1").health.record_failure()
            state_of("t2").health.record_refusal()
        for host in self.hosts[::3]:
            await self.request(host)
        self.assertEqual(self.extra_runs, before)
        reasons = [each.fields["reason"] for each in self.events("hedge_refused")]
        self.assertEqual(reasons[-2:], ["full", "full"])

    async def test_suspected_requests_and_limited_targets_are_not_hedged(self):
        self.slow_target()
        await self.play(20.0)
        holder = self.holder()
        slow = f"t{self.hosts.index(holder) % 3}"
        self.slow_target(slow)
        self.fill_budget()
        before = self.extra_runs
        request = Request("x", "GET", "/x", (), b"", clock.now() + 2.0)
        records = holder.get(Crashes)._records
        records.record_crash(fingerprint_of(request), "t9:1", clock.now())
        await self.request(holder)
        records.clear(fingerprint_of(request))
        for target in {"t0", "t1", "t2"} - {slow}:
            holder.get(SendPermits).record_answer(target, 0.0, clock.now(), True)
            while not holder.get(SendPermits).exhausted(target):
                holder.get(SendPermits).take(target)
        await self.request(holder)
        self.assertEqual(self.extra_runs, before)
        self.assertEqual([target for target, _ in self.targets.sent[-2:]], [slow] * 2)


class UnlimitedTest(HedgingTestCase):
    """Without the setting hosts hedge after a fixed delay and call no other host."""

    share = None

    async def test_hedges_as_before_and_calls_no_host(self):
        await self.play(10.0)
        self.slow_target()
        await self.play(5.0)
        self.assertGreater(self.extra_runs, 0)
        self.assertEqual(self.deployment.hedge_reports, [])


class ZeroTest(HedgingTestCase):
    """With a share of 0 there is no hedging and no call between hosts."""

    share = 0.0

    async def test_no_request_is_hedged(self):
        self.slow_target()
        await self.play(10.0)
        self.assertEqual(self.extra_runs, 0)
        self.assertEqual(self.deployment.hedge_reports, [])
