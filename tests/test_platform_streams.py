"""Streams of events through a host, against stand-ins on loopback."""

import asyncio

import aiohttp

from cranberryrun.fleet.directory import Directory
from standins.platform_target import PlatformTarget

from .test_platform_host import (
    ATTEMPT_ID,
    DEADLINE_MS,
    HOST_NAME,
    OPERATOR,
    TARGETS,
    PlatformTestCase,
    manifest,
    route,
)


class StreamTest(PlatformTestCase):
    """Routes whose answers are streams of events."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.other = PlatformTarget("e1", "lm", "m")
        await self.other.start()
        self.addAsyncCleanup(self.other.stop)
        self.store.put(TARGETS, "e1", self.other.entry())
        routes = [
            route("live", "streaming", "lm"),
            route("resumed", "streaming", "lm", resumable=True),
        ]
        self.store.put(OPERATOR, "config", manifest(2, routes=routes))
        directory = self.host.kernel.get(Directory)
        await self.until(
            lambda: directory.manifest.version == 2 and "e1" in directory.target_by_id
        )
        self.engines = (self.engine, self.other)

    def asked(self):
        return sum(len(engine.requests) for engine in self.engines)

    def whole(self, attempt_id, first=1):
        return "".join(
            f"id: {n}\ndata: {attempt_id}/{n}\n\n" for n in range(first, 7)
        ).encode()

    async def test_events_are_passed_on_as_they_come(self):
        for engine in self.engines:
            engine.event_seconds = 0.1
        loop = asyncio.get_running_loop()
        began = loop.time()
        headers = {"Host": HOST_NAME, ATTEMPT_ID: "s1", DEADLINE_MS: "3000"}
        url = self.url + "/live/x"
        async with self.session.post(url, headers=headers) as response:
            first = await response.content.readuntil(b"\n\n")
            self.assertLess(loop.time() - began, 0.3)
            rest = await response.read()
        self.assertEqual(first + rest, self.whole("s1"))
        self.assertIn("X-Cranberryrun-Server-Signature", response.headers)

    async def test_a_resumable_stream_goes_on_elsewhere_without_gap(self):
        for number in range(4):
            self.engine.script.append("cut")
            attempt_id = f"s2-{number}"
            status, _, body = await self.ask("POST", "/resumed/x", attempt_id)
            self.assertEqual((status, body), (200, self.whole(attempt_id)))
            self.engine.script.clear()

    async def test_a_caller_may_resume(self):
        _, _, body = await self.ask(
            "POST", "/resumed/x", "s3", headers={"Last-Event-Id": "4"}
        )
        self.assertEqual(body, self.whole("s3", first=5))

    async def test_one_that_may_not_be_resumed_breaks_off_and_runs_once(self):
        for engine in self.engines:
            engine.script.append("cut")
        with self.assertRaises(aiohttp.ClientPayloadError):
            await self.ask("POST", "/live/x", "s4")
        self.assertEqual(self.asked(), 1)

    async def test_one_that_was_not_run_goes_to_another_target(self):
        self.engine.script.append("full")
        for number in range(3):
            attempt_id = f"s5-{number}"
            status, _, body = await self.ask("POST", "/live/x", attempt_id)
            self.assertEqual((status, body), (200, self.whole(attempt_id)))

    async def test_a_target_s_own_failure_is_passed_on(self):
        for engine in self.engines:
            engine.script.append("error")
        status, headers, body = await self.ask("POST", "/live/x", "s6")
        self.assertEqual((status, body), (500, b"broken"))
        self.assertIn("X-Cranberryrun-Server-Signature", headers)

    async def test_a_caller_that_leaves_ends_the_stream_at_the_target(self):
        for engine in self.engines:
            engine.event_seconds = 0.3
        with self.assertRaises(asyncio.TimeoutError):
            await self.ask(
                "POST", "/live/x", "s7", timeout=aiohttp.ClientTimeout(total=0.5)
            )
        await self.until(
            lambda: not any(engine.open_requests for engine in self.engines), 0.5
        )
