"""Callers and targets that read slowly or not at all, beside normal ones."""

import asyncio
import gc
import time
import unittest.mock
from itertools import count

from aiohttp.streams import StreamReader

from cranberryrun.buffer_budget import BufferPath
from cranberryrun.events import Events
from cranberryrun.fleet.directory import Directory
from cranberryrun.platform import http_server
from cranberryrun.platform.buffers import Buffers
from cranberryrun.requests.forwarder import Forwarder
from standins.platform_target import PlatformTarget
from standins.slow_caller import SlowCaller

from .test_platform_host import (
    ATTEMPT_ID,
    DEADLINE_MS,
    HOST_NAME,
    OPERATOR_TOPIC,
    TARGET_TOPIC,
    PlatformTestCase,
    manifest,
    route,
    submission,
)

LARGE = 3_000_000
# Three large bodies fit into the part of it that is for large calls.
LIMIT = 12_400_000
# Of a host with 152 MB.
SMALLEST_LIMIT = 22_800_000


class SlowReaderTestCase(PlatformTestCase):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        routes = [
            route("patient", "safe", "portal", **{"timeout-ms": 30_000}),
            route("live", "streaming", "lm", **{"timeout-ms": 30_000}),
            route(
                "resumed", "streaming", "lm", resumable=True, **{"timeout-ms": 30_000}
            ),
        ]
        changed = manifest(2, routes=routes)
        changed["limits"] = {"max-body-bytes": 2 * LARGE}
        self.store.put(OPERATOR_TOPIC, "config", changed)
        directory = self.host.kernel.get(Directory)
        await self.wait_until(lambda: directory.manifest.version == 2)
        self.buffers = self.host.kernel.get(Buffers)
        self.budget = self.buffers.budget
        self.budget.limit_bytes = LIMIT
        self.numbers = count()

    async def slow_caller(self, path, body=b""):
        caller = SlowCaller(self.url.removeprefix("http://"))
        self.addCleanup(caller.close)
        attempt_id = f"slow-{next(self.numbers)}"
        headers = {"Host": HOST_NAME, ATTEMPT_ID: attempt_id, DEADLINE_MS: "30000"}
        await caller.request(path, headers, body)
        return caller

    async def assert_normal_calls_are_served(self):
        for number in range(5):
            started_at = time.monotonic()
            status, _, body = await self.request(
                "POST", "/status/x", f"n{number}", data=b"x" * 1000
            )
            self.assertEqual((status, len(body)), (200, 1010))
            self.assertLess(time.monotonic() - started_at, 1.0)

    async def assert_cut_off(self, caller):
        """Assert that the connection ends before the answer does."""
        try:
            data = await asyncio.wait_for(caller.read(4 * LARGE), 5.0)
        except ConnectionError:
            return
        self.assertLess(len(data), LARGE)
        self.assertFalse(data.endswith(b"0\r\n\r\n"))

    def event_names(self, since=0):
        return [event.kind.name for event in self.host.kernel.get(Events).after(since)]

    async def assert_refused(self, method, path, **options):
        status, headers, _ = await self.request(method, path, "refused", **options)
        self.assertEqual((status, headers["Retry-After"]), (503, "1"))


class AnswerTest(SlowReaderTestCase):
    async def test_caller_that_reads_nothing_for_the_routes_timeout_is_closed(self):
        """Its answer was held for as long as it kept the connection."""
        caller = await self.slow_caller("/status/x", b"x" * LARGE)
        await self.wait_until(lambda: self.budget.used_by_path()["answer"] >= LARGE)
        await self.wait_until(lambda: self.budget.used_bytes == 0, 4.0)
        await self.assert_cut_off(caller)
        self.assertIn("caller_stalled", self.event_names())

    async def test_caller_that_reads_slowly_gets_its_whole_answer(self):
        caller = await self.slow_caller("/status/x", b"x" * LARGE)
        self.assertEqual(len(await caller.read(LARGE, rate=1_000_000)), LARGE)
        self.assertNotIn("caller_stalled", self.event_names())

    async def test_answers_of_slow_readers_give_way_to_normal_calls(self):
        """Three of them would take more than the budget."""
        for _ in range(2):
            await self.slow_caller("/patient/x", b"x" * LARGE)
        await self.wait_until(lambda: self.budget.used_by_path()["answer"] >= 2 * LARGE)
        with unittest.mock.patch("cranberryrun.buffer_budget._SLOW_AFTER_SECONDS", 0.1):
            await asyncio.sleep(0.2)
            status, _, _ = await self.request("POST", "/status/x", data=b"x" * LARGE)
        self.assertEqual(status, 200)
        self.assertEqual(self.event_names().count("answer_abandoned"), 1)
        self.assertGreaterEqual(self.budget.used_by_path()["answer"], LARGE)


class RefusalTest(SlowReaderTestCase):
    """Guards against bodies without bound, and refusals of what targets ran."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        await self.request("POST", "/rollout/x", "b1", json=submission())
        # One hold alone would count as the part for large calls.
        sizes = (self.budget.large_call_bytes, LIMIT // 4 + 1)
        self.full = [
            self.budget.hold(BufferPath.REQUEST_BODY, size, 0.0) for size in sizes
        ]
        for hold in self.full:
            hold.kept = True

    def make_room(self):
        for hold in self.full:
            self.buffers.release(hold)

    async def test_calls_are_refused_before_their_bodies_are_read(self):
        await self.assert_refused("POST", "/hold/x", data=b"x" * 50_000)
        await self.assert_refused("POST", "/live/x")
        await self.assert_refused("POST", "/rollout/x", json=submission())
        await self.assert_refused("GET", "/v1/lots/b1")
        await self.assert_refused("GET", "/v1/items/b1?id=item-0")
        sent = [*self.portal_requests(), *self.engine.requests]
        self.assertNotIn("refused", [request[ATTEMPT_ID] for request in sent])
        status, _, _ = await self.request("GET", "/v1/lots/refused")
        self.assertEqual(status, 404)
        self.make_room()
        await self.assert_normal_calls_are_served()
        self.assertEqual(self.budget.used_bytes, 0)

    async def test_call_of_another_host_is_refused_as_not_sent(self):
        peer = self.host.kernel.get(Directory).target_by_id["p0"]
        address = self.host._settings.peer_address
        url = f"http://{address}/relay/{peer.id}/x"
        async with self.session.post(url, data=b"x") as response:
            self.assertEqual(response.headers["Relay-Outcome"], "unknown target")
        self.assertEqual(self.portal_requests(), [])

    async def test_bodies_at_slow_targets_are_bounded(self):
        self.make_room()
        for portal in self.portals:
            portal.body_bytes_a_second = 2_000_000
        before = len(self.portal_requests())
        calls = [
            self.request("POST", "/hold/x", f"h{n}", data=b"x" * LARGE)
            for n in range(8)
        ]
        statuses = [answer[0] for answer in await asyncio.gather(*calls)]
        self.assertLessEqual(len(self.portal_requests()) - before, 3)
        self.assertGreaterEqual(statuses.count(503), 5)
        self.assertEqual(self.budget.used_bytes, 0)

    async def test_sender_that_stops_is_given_up(self):
        self.make_room()
        caller = SlowCaller(self.url.removeprefix("http://"))
        self.addCleanup(caller.close)
        with unittest.mock.patch("cranberryrun.platform.frontend._STALL_SECONDS", 0.1):
            await caller.connect()
            head = f"POST /hold/x HTTP/1.1\r\nHost: {HOST_NAME}\r\n"
            await caller.send(f"{head}Content-Length: 9\r\n\r\nab".encode())
            await self.wait_until(
                lambda: self.budget.used_by_path()["request_body"] == 2
            )
            answer = await asyncio.wait_for(caller.read(100), 4.0)
        self.assertTrue(answer.startswith(b"HTTP/1.1 408"))


class StreamTest(SlowReaderTestCase):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.other = PlatformTarget("e1", "lm", "m")
        await self.other.start()
        self.addAsyncCleanup(self.other.stop)
        self.store.put(TARGET_TOPIC, "e1", self.other.entry())
        directory = self.host.kernel.get(Directory)
        await self.wait_until(lambda: "e1" in directory.target_by_id)
        self.engines = (self.engine, self.other)
        for engine in self.engines:
            engine.events, engine.padding, engine.event_seconds = 150, 20_000, 0.0

    def events(self, data):
        body = data.partition(b"\r\n\r\n")[2]
        return [int(each.split(b"\n")[0]) for each in body.split(b"id: ")[1:]]

    async def test_many_unread_streams_are_bounded_beside_normal_calls(self):
        """Each held 650 KB, so that 200 took the memory of the smallest host."""
        self.budget.limit_bytes = SMALLEST_LIMIT
        for engine in self.engines:
            engine.events = 30
        callers = [await self.slow_caller("/live/x") for _ in range(200)]
        await self.wait_until(
            lambda: self.budget.used_by_path()["stream"] > 180 * 50_000, 20.0
        )
        await self.assert_normal_calls_are_served()
        self.assertLess(self.budget.used_bytes, SMALLEST_LIMIT)
        unsent = sum(
            each.transport.get_write_buffer_size()
            for each in gc.get_objects()
            if type(each) is http_server.Connection and each.transport is not None
        )
        unread = sum(
            each._size for each in gc.get_objects() if type(each) is StreamReader
        )
        self.assertLess(unsent, 200 * 25_000)
        self.assertLess(unread, 200 * 50_000)
        for caller in callers:
            caller.close()

    async def test_stream_at_a_kilobyte_a_second_is_whole_beside_normal_calls(self):
        for engine in self.engines:
            engine.events, engine.padding = 6, 300
        caller = await self.slow_caller("/live/x")
        reading = asyncio.create_task(caller.read(2000, rate=1000))
        await self.assert_normal_calls_are_served()
        data = await reading + await caller.read_until(b"0\r\n\r\n")
        self.assertEqual(self.events(data), [1, 2, 3, 4, 5, 6])

    async def test_stream_that_a_target_cuts_unread_goes_on(self):
        """Guards against a target in cooldown, and events lost or repeated."""
        for engine in self.engines:
            engine.unread_seconds = 2.0
        caller = await self.slow_caller("/resumed/x")
        await self.wait_until(lambda: any(each.unread_cuts for each in self.engines))
        await asyncio.sleep(0.5)
        data = await asyncio.wait_for(caller.read_until(b"0\r\n\r\n"), 8.0)
        self.assertEqual(self.events(data), list(range(1, 151)))
        self.assertIn("stream_unread", self.event_names())
        self.assertNotIn("target_failed", self.event_names())
        forwarder = self.host.kernel.get(Forwarder)
        for engine in self.engines:
            self.assertTrue(forwarder.state_of(engine.id).health.usable())

    async def test_stream_of_another_route_is_broken_off(self):
        for engine in self.engines:
            engine.unread_seconds = 2.0
        caller = await self.slow_caller("/live/x")
        await self.wait_until(lambda: any(each.unread_cuts for each in self.engines))
        await self.assert_cut_off(caller)
        self.assertNotIn("target_failed", self.event_names())
        self.assertEqual(sum(len(each.requests) for each in self.engines), 1)


class HeadTest(SlowReaderTestCase):
    async def test_caller_that_does_not_complete_a_head_is_closed(self):
        changed = manifest(3)
        changed["limits"] = {"header-timeout-ms": 300}
        self.store.put(OPERATOR_TOPIC, "config", changed)
        directory = self.host.kernel.get(Directory)
        await self.wait_until(lambda: directory.manifest.version == 3)
        for first in (b"", b"GET / HTTP/1.1\r\nHost: x\r\n\r\n"):
            caller = SlowCaller(self.url.removeprefix("http://"))
            self.addCleanup(caller.close)
            await caller.connect()
            await caller.send(first)
            # Time for the answer, after which the connection stays open, idle.
            await asyncio.sleep(0.5)
            await caller.send(b"GET / HT")
            with self.assertRaises(ConnectionError):
                await asyncio.wait_for(self.trickle(caller), 2.0)
        await self.assert_normal_calls_are_served()

    async def trickle(self, caller):
        """Send a byte now and then, which completes no head."""
        while True:
            await caller.send(b"T")
            await asyncio.sleep(0.05)
