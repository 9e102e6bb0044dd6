"""Tests of requests that wait at their host while all targets are full."""

import asyncio
import unittest

from cranberryrun import clock
from cranberryrun.exceptions import (
    OutcomeUnknownError,
    RefusedError,
    TargetFailedError,
    TargetRefusedError,
)
from cranberryrun.fleet.client import Answer, Request
from cranberryrun.fleet.directory import Directory
from cranberryrun.fleet.manifest import RouteKind
from cranberryrun.fleet.send_permits import SendPermits
from cranberryrun.requests.forwarder import Forwarder
from cranberryrun.requests.waiting import Waiting, WaitingRequest
from cranberryrun.workspaces.keyring import Keyring, Workspace
from fakes.deployment import Deployment, batch_route, manifest

from .virtual import VirtualTimeTestCase

GOAL = 2.0
LONGEST_WAIT = GOAL / 4
ROUND_TRIP = 0.002


class OrderTest(unittest.TestCase):
    def setUp(self):
        self.waiting = Waiting(most=3)
        self.accepted = []

    def add(self, workspace, priority=5, now=0.0, service="s"):
        request = WaitingRequest(
            service, workspace, priority, self.waiting.next_number(), 1.0, 0.1
        )
        self.accepted.append(self.waiting.add(request, now))
        return request

    def served(self, *requests):
        """Return the workspaces in the order in which they are served."""
        names = []
        waiting = list(requests)
        while waiting:
            (first,) = [r for r in waiting if self.waiting.next_turn(r) is not None]
            self.waiting.take_turn(first, 0.0)
            self.waiting.begin(first.workspace)
            waiting.remove(first)
            names.append(f"{first.workspace}{first.number}")
        return names

    def test_priority_is_first_then_the_least_served_workspace_then_arrival(self):
        self.waiting.begin("a")
        requests = self.add("a"), self.add("b"), self.add("a", priority=0)
        self.assertEqual(self.served(*requests), ["a3", "b2", "a1"])

    def test_a_flooding_workspace_alternates_with_another(self):
        self.waiting = Waiting()
        requests = [self.add("a") for _ in range(4)] + [self.add("b"), self.add("b")]
        order = self.served(*requests)
        self.assertEqual(order, ["a1", "b5", "a2", "b6", "a3", "a4"])

    def test_time_alone_is_neither_a_debt_nor_a_claim(self):
        """A workspace that used everything alone is one start behind, not a hundred."""
        self.waiting = Waiting()
        for _ in range(100):
            self.waiting.begin("a")
        requests = [self.add(name) for name in ("a", "b", "b", "b", "b")]
        self.assertEqual(self.served(*requests)[:3], ["b2", "a1", "b3"])

    def test_a_refused_start_is_not_counted(self):
        self.waiting.begin("a")
        self.waiting.undo("a")
        self.assertEqual(self.served(self.add("a"), self.add("b")), ["a1", "b2"])

    def test_a_weight_multiplies_the_share(self):
        self.waiting = Waiting(weight_by_workspace={"a": 2.0})
        requests = [self.add("a") for _ in range(4)] + [self.add("b"), self.add("b")]
        order = "".join(name[0] for name in self.served(*requests))
        self.assertEqual(order[:3].count("a"), 2)

    def test_beyond_the_bound_the_last_one_is_dropped(self):
        first, second, third = self.add("a"), self.add("b"), self.add("c", 7)
        self.add("d", 8)
        self.add("d", 6, service="other")
        self.assertEqual(self.accepted, [True, True, True, False, True])
        self.assertTrue(third.dropped)
        self.assertEqual(self.waiting.count_by_service(), {"s": 2, "other": 1})
        self.assertFalse(first.dropped or second.dropped)

    def test_nothing_waits_past_its_time_or_after_the_end(self):
        self.add("a", now=1.0)
        request = self.add("a")
        self.waiting.close()
        self.assertTrue(request.dropped)
        self.add("a")
        self.assertEqual(self.accepted, [False, True, False])


class FullTargetsTestCase(VirtualTimeTestCase):
    """Targets that refuse requests beyond their slots, and a host with workspaces."""

    keyring = Keyring([(Workspace(name), [name]) for name in ("a", "b")])
    slots = 1

    async def asyncSetUp(self):
        self.deployment = Deployment()
        self.addAsyncCleanup(self.deployment.stop)
        self.route = batch_route(
            kind=RouteKind.UNSAFE, latency_goal=GOAL, max_attempts=2, timeout=5.0
        )
        value = manifest(1, self.route)
        object.__setattr__(value, "keyring", self.keyring)
        self.deployment.put_manifest(value)
        self.seconds = 0.1
        self.running = {"t0": 0, "t1": 0}
        self.started = []
        self.refused = 0
        self.deployment.targets.send = self.send
        for name in self.running:
            self.deployment.add_engine(name)
        self.kernel = await self.deployment.start_host()
        directory = self.kernel.get(Directory)
        async with asyncio.timeout(5.0):
            while len(directory.target_by_id) < 2:
                await asyncio.sleep(0.05)
        self.forwarder = self.kernel.get(Forwarder)

    async def send(self, target, request):
        await asyncio.sleep(ROUND_TRIP)
        if self.running[target.id] >= self.slots:
            self.refused += 1
            raise TargetRefusedError("full")
        self.running[target.id] += 1
        self.started.append(request.id)
        try:
            await asyncio.sleep(self.seconds)
        finally:
            self.running[target.id] -= 1
        return Answer(200, (), b"")

    def occupy(self, *targets):
        for target in targets or self.running:
            self.running[target] += self.slots

    def release(self, *targets):
        for target in targets or self.running:
            self.running[target] -= self.slots

    async def forward(self, name="r", workspace="a", seconds=5.0, route=None):
        deadline = clock.now() + seconds
        request = Request(name, "POST", "/x", (), b"", deadline, workspace)
        return await self.forwarder.forward(route or self.route, request)

    def waits(self):
        return [
            event.fields["outcome"]
            for event in self.deployment.events
            if event.kind.name == "request_waited"
        ]

    def in_queue(self):
        return sum(self.forwarder.waiting.count_by_service().values())


class WaitTest(FullTargetsTestCase):
    async def test_a_request_is_sent_when_a_slot_is_free_again(self):
        """Another host's request frees the slot, which this host is not told."""
        self.occupy()
        task = asyncio.create_task(self.forward())
        await asyncio.sleep(0.2)
        self.assertEqual(self.in_queue(), 1)
        self.release("t1")
        self.assertEqual((await task).status, 200)
        self.assertEqual((self.started, self.waits()), (["r"], ["sent"]))

    async def test_a_refusal_comes_within_a_quarter_of_the_latency_goal(self):
        self.occupy()
        for goal in (GOAL, 0.2):
            started_at = self.now()
            route = batch_route(
                kind=RouteKind.SAFE, latency_goal=goal, max_attempts=2, timeout=5.0
            )
            with self.assertRaises(RefusedError) as caught:
                await self.forward(route=route)
            self.assertLessEqual(self.now() - started_at, goal / 4 + 0.001)
            self.assertGreater(self.now() - started_at, goal / 8)
            self.assertEqual(caught.exception.retry_after, 0.2)
        self.assertEqual((self.started, self.in_queue()), ([], 0))
        # A wait must not put full targets into a cooldown.
        for target in self.running:
            self.assertTrue(self.forwarder.state_of(target).health.usable())
        # Two targets; at most seven rounds for the first request, three for the other.
        self.assertLessEqual(self.refused, 2 * (7 + 3))

    async def test_a_slot_of_this_host_is_used_as_soon_as_it_is_free(self):
        self.seconds = 0.13
        started_at = self.now()
        await asyncio.gather(*(self.forward(f"r{number}") for number in range(4)))
        self.assertLess(self.now() - started_at, 2 * (0.13 + 3 * ROUND_TRIP))

    async def test_many_free_slots_are_used_before_the_wait_ends(self):
        """Turns at fixed intervals would refuse most of these with slots free."""
        self.slots, self.seconds = 8, 3.0
        self.occupy()
        tasks = [asyncio.create_task(self.forward(f"r{n}")) for n in range(12)]
        await asyncio.sleep(0.1)
        self.assertEqual(self.in_queue(), 12)
        self.release()
        await asyncio.gather(*tasks)
        self.assertEqual(len(self.started), 12)

    async def test_a_flood_does_not_keep_another_workspace_out(self):
        """Slots are free every 0.05 s; in order of arrival, b would be refused."""
        flood = [
            asyncio.create_task(self.forward(f"a{number}")) for number in range(30)
        ]
        await asyncio.sleep(0.02)
        await self.forward("b", "b")
        self.assertLessEqual(self.started.index("b"), 4)
        outcomes = await asyncio.gather(*flood, return_exceptions=True)
        refused = [each for each in outcomes if isinstance(each, RefusedError)]
        self.assertEqual(len(self.started) + len(refused), 31)
        self.assertEqual(self.in_queue(), 0)

    async def test_a_caller_that_leaves_gives_up_its_place(self):
        self.occupy()
        task = asyncio.create_task(self.forward())
        await asyncio.sleep(0.2)
        task.cancel()
        await asyncio.sleep(0)
        await asyncio.gather(task, return_exceptions=True)
        self.assertEqual((self.in_queue(), self.waits()), (0, ["gone"]))
        self.release()
        await asyncio.sleep(1.0)
        self.assertEqual(self.started, [])

    async def test_a_deadline_ends_the_wait(self):
        self.occupy()
        started_at = self.now()
        with self.assertRaises(RefusedError):
            await self.forward(seconds=0.2)
        self.assertLessEqual(self.now() - started_at, 0.2)
        self.assertEqual(self.started, [])

    async def test_a_stopping_host_refuses_what_waits_at_once(self):
        self.occupy()
        task = asyncio.create_task(self.forward())
        await asyncio.sleep(0.2)
        self.forwarder.waiting.close()
        started_at = self.now()
        with self.assertRaises(RefusedError):
            await task
        with self.assertRaises(RefusedError):
            await self.forward("r2")
        self.assertLess(self.now() - started_at, 0.01)
        self.assertEqual(self.started, [])
        self.release()
        self.assertEqual((await self.forward("r3")).status, 200)

    async def test_limited_targets_are_waited_for(self):
        permits = self.kernel.get(SendPermits)
        for target in self.running:
            permits.record_answer(target, 4.0, clock.now(), True)
        self.assertEqual((await self.forward()).status, 200)
        self.assertEqual(self.waits(), ["sent"])

    async def test_a_request_that_may_have_run_never_waits(self):
        self.occupy("t0")
        failing = asyncio.create_task(self.forward("r0"))

        async def send(target, request):
            if target.id == "t0":
                raise TargetRefusedError("full")
            self.started.append(request.id)
            raise TargetFailedError("the connection broke")

        self.deployment.targets.send = send
        await asyncio.gather(failing, return_exceptions=True)
        self.started.clear()
        with self.assertRaises(OutcomeUnknownError):
            await self.forward("r1")
        self.assertEqual((self.started, self.waits()), (["r1"], []))


class NoWorkspacesTest(FullTargetsTestCase):
    keyring = None

    async def test_full_targets_refuse_at_once(self):
        self.occupy()
        started_at = self.now()
        with self.assertRaises(RefusedError) as caught:
            await self.forward(workspace=None)
        self.assertLess(self.now() - started_at, 0.01)
        self.assertEqual((caught.exception.retry_after, self.refused), (0.2, 2))
        self.assertEqual(self.waits(), [])
