"""Tests of event streams that a host forwards, with stand-in engines on loopback."""

import asyncio
import unittest.mock

import aiohttp

from cranberryrun.fleet.directory import Directory
from standins.platform_target import PlatformTarget

from .test_platform_host import (
    ATTEMPT_ID,
    DEADLINE_MS,
    HOST_NAME,
    OPERATOR_TOPIC,
    TARGET_TOPIC,
    PlatformTestCase,
    manifest,
    route,
)


class StreamTest(PlatformTestCase):
    """Tests routes whose answers are event streams, one of them resumable."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.other = PlatformTarget("e1", "lm", "m")
        await self.other.start()
        self.addAsyncCleanup(self.other.stop)
        self.store.put(TARGET_TOPIC, "e1", self.other.entry())
        routes = [
            route("live", "streaming", "lm"),
            route("resumed", "streaming", "lm", resumable=True),
        ]
        self.store.put(OPERATOR_TOPIC, "config", manifest(2, routes=routes))
        directory = self.host.kernel.get(Directory)
        await self.wait_until(
            lambda: directory.manifest.version == 2 and "e1" in directory.target_by_id
        )
        self.engines = (self.engine, self.other)

    def request_count(self):
        return sum(len(engine.requests) for engine in self.engines)

    def complete_stream(self, attempt_id, first=1):
        return "".join(
            f"id: {n}\ndata: {attempt_id}/{n}\n\n" for n in range(first, 7)
        ).encode()

    async def test_events_are_forwarded_as_they_arrive(self):
        for engine in self.engines:
            engine.event_seconds = 0.1
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        headers = {"Host": HOST_NAME, ATTEMPT_ID: "s1", DEADLINE_MS: "3000"}
        url = self.url + "/live/x"
        async with self.session.post(url, headers=headers) as response:
            first = await response.content.readuntil(b"\n\n")
            self.assertLess(loop.time() - started_at, 0.3)
            rest = await response.read()
        self.assertEqual(first + rest, self.complete_stream("s1"))
        self.assertIn("X-Cranberryrun-Server-Signature", response.headers)

    async def test_a_resumable_stream_continues_on_another_target_when_it_is_cut(self):
        for number in range(4):
            self.engine.script.append("cut")
            attempt_id = f"s2-{number}"
            status, _, body = await self.request("POST", "/resumed/x", attempt_id)
            self.assertEqual((status, body), (200, self.complete_stream(attempt_id)))
            self.engine.script.clear()

    async def test_a_stalled_stream_continues_on_another_target(self):
        """The target sends a byte now and then, but no event any more."""
        self.engine.script.extend(["stall"] * 8)
        loop = asyncio.get_running_loop()
        for number in range(4):
            attempt_id = f"s6-{number}"
            started_at = loop.time()
            status, _, body = await self.request("POST", "/resumed/x", attempt_id)
            self.assertEqual((status, body), (200, self.complete_stream(attempt_id)))
            # Callers abandon a stream after two seconds without an event.
            self.assertLess(loop.time() - started_at, 2.0)
        await self.wait_until(lambda: self.engine.open_requests == 0, 1.0)

    async def test_a_slow_stream_is_not_cut(self):
        """Its events come more slowly than the goal of 0.2 s, but they come."""
        for engine in self.engines:
            engine.event_seconds = 0.25
        for path in ("/live/x", "/resumed/x"):
            status, _, body = await self.request("POST", path, "s7")
            self.assertEqual((status, body), (200, self.complete_stream("s7")))
        self.assertEqual(self.request_count(), 2)

    async def test_a_stalled_stream_that_may_not_be_resumed_is_left_to_its_caller(self):
        for engine in self.engines:
            engine.script.append("stall")
        with self.assertRaises((aiohttp.ClientPayloadError, TimeoutError)):
            async with asyncio.timeout(4.0):
                await self.request("POST", "/live/x", "s8")
        self.assertEqual(self.request_count(), 1)

    async def test_a_caller_can_resume_a_stream(self):
        _, _, body = await self.request(
            "POST", "/resumed/x", "s3", headers={"Last-Event-Id": "4"}
        )
        self.assertEqual(body, self.complete_stream("s3", first=5))

    async def test_a_caller_can_resume_a_stream_where_bodies_are_mapped(self):
        """What the store answers meanwhile was read as an answer for the caller."""
        with unittest.mock.patch("cranberryrun.body_buffer._MAPPED_FROM_BYTES", 2):
            await self.test_a_caller_can_resume_a_stream()

    async def test_a_stream_that_is_not_resumable_is_aborted_when_it_is_cut(self):
        for engine in self.engines:
            engine.script.append("cut")
        with self.assertRaises(aiohttp.ClientPayloadError):
            await self.request("POST", "/live/x", "s4")
        self.assertEqual(self.request_count(), 1)

    async def test_a_stream_is_retried_on_another_target_when_it_was_not_run(self):
        self.engine.script.append("full")
        for number in range(3):
            attempt_id = f"s5-{number}"
            status, _, body = await self.request("POST", "/live/x", attempt_id)
            self.assertEqual((status, body), (200, self.complete_stream(attempt_id)))

    async def test_a_500_answer_to_a_streaming_request_is_forwarded(self):
        for engine in self.engines:
            engine.script.append("error")
        status, headers, body = await self.request("POST", "/live/x", "s6")
        self.assertEqual((status, body), (500, b"broken"))
        self.assertIn("X-Cranberryrun-Server-Signature", headers)

    async def test_a_stream_is_cancelled_when_its_caller_disconnects(self):
        for engine in self.engines:
            engine.event_seconds = 0.3
        with self.assertRaises(asyncio.TimeoutError):
            await self.request(
                "POST", "/live/x", "s7", timeout=aiohttp.ClientTimeout(total=0.5)
            )
        await self.wait_until(
            lambda: not any(engine.open_requests for engine in self.engines), 0.5
        )
