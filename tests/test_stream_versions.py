"""Callers' streams keep to the software version of the target that began them."""

import asyncio
import contextlib
from collections import deque

import aiohttp

from cranberryrun.fleet.directory import Directory
from cranberryrun.requests.stream_origins import StreamOrigins
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

OLD, NEW = "v1", "v1.1"
STREAM_COUNT = 12


class StreamVersionTestCase(PlatformTestCase):
    """Two engines of each version serve a route that may be resumed."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.engines = [self.engine]
        for number, software in enumerate((NEW, OLD, NEW), 1):
            engine = PlatformTarget(f"e{number}", "lm", "m")
            engine.software = software
            await engine.start()
            self.addAsyncCleanup(engine.stop)
            self.store.put(TARGET_TOPIC, engine.id, engine.entry())
            self.engines.append(engine)
        routes = [
            route("resumed", "streaming", "lm", resumable=True, **{"max-attempts": 3})
        ]
        self.store.put(OPERATOR_TOPIC, "config", manifest(2, routes=routes))
        await self.wait_until_ready(self.host)
        self.hosts = [(self.host, self.url)]

    async def wait_until_ready(self, host):
        directory = host.kernel.get(Directory)
        await self.wait_until(
            lambda: directory.manifest.version == 2
            and len(directory.target_by_id) == 2 + len(self.engines)
        )

    async def start_second_host(self):
        target_count = 2 + len(self.engines)
        host, url, _ = await self.start_host("host-2", target_count)
        await self.wait_until_ready(host)
        return host, url

    def share_script(self, *steps):
        """Script the next requests, whichever engines they reach."""
        script = deque(steps)
        for engine in self.engines:
            engine.script = script

    def software_of(self, attempt_id):
        """Return the versions of all engines that made events of the stream."""
        return {
            engine.software
            for engine in self.engines
            if any(event[0] == attempt_id for event in engine.generated_events)
        }

    def events(self, attempt_id, first=1):
        return "".join(
            f"id: {n}\ndata: {attempt_id}/{n}\n\n" for n in range(first, 7)
        ).encode()

    async def begin(self, attempt_id, url=None):
        """Read three events of a stream, then end the connection."""
        headers = {"Host": HOST_NAME, ATTEMPT_ID: attempt_id, DEADLINE_MS: "3000"}
        address = (url or self.url) + "/resumed/x"
        async with self.session.post(address, headers=headers) as response:
            self.assertEqual(response.status, 200)
            for _ in range(3):
                await response.content.readuntil(b"\n\n")
            response.close()

    async def resume(self, attempt_id, url, **headers):
        headers = {"Last-Event-Id": "3", "Resumes": attempt_id, **headers}
        return await self.request(
            "POST", "/resumed/x", f"{attempt_id}-again", url=url, headers=headers
        )

    async def begin_many(self):
        for engine in self.engines:
            engine.event_seconds = 0.01
        for number in range(STREAM_COUNT):
            await self.begin(f"s{number}")

    async def resume_many(self, url):
        """Take all streams up again; return how many go on."""
        went_on = 0
        for number in range(STREAM_COUNT):
            attempt_id = f"s{number}"
            status, _, body = await self.resume(attempt_id, url)
            again = f"{attempt_id}-again"
            if status == 200:
                self.assertEqual(body, self.events(again, first=4))
                self.assertEqual(self.software_of(again), self.software_of(attempt_id))
                went_on += 1
            else:
                self.assertEqual(status, 503)
                self.assertEqual(self.software_of(again), set())
        return went_on


class StreamVersionTest(StreamVersionTestCase):
    """Guards against ORDER and LOST: callers' streams at other software."""

    async def test_stream_that_is_cut_goes_on_at_its_version(self):
        for number in range(STREAM_COUNT):
            self.share_script("cut")
            attempt_id = f"c{number}"
            status, _, body = await self.request("POST", "/resumed/x", attempt_id)
            self.assertEqual((status, body), (200, self.events(attempt_id)))
            self.assertEqual(len(self.software_of(attempt_id)), 1)

    async def test_streams_go_on_at_their_version_at_the_same_host(self):
        await self.begin_many()
        self.assertEqual(await self.resume_many(self.url), STREAM_COUNT)

    async def test_streams_go_on_at_their_version_at_a_host_that_just_started(self):
        """The host that began them has ended."""
        await self.begin_many()
        await self.host.kernel.stop()
        _, url = await self.start_second_host()
        self.assertEqual(await self.resume_many(url), STREAM_COUNT)

    async def test_both_versions_begin_streams(self):
        await self.begin_many()
        begun = [self.software_of(f"s{number}") for number in range(STREAM_COUNT)]
        self.assertIn({OLD}, begun)
        self.assertIn({NEW}, begun)

    async def test_streams_go_on_at_their_host_while_the_store_is_down(self):
        await self.begin_many()
        self.store.mode = "busy"
        self.assertEqual(await self.resume_many(self.url), STREAM_COUNT)

    async def test_host_without_the_store_does_not_guess_the_version(self):
        await self.begin_many()
        _, url = await self.start_second_host()
        self.store.mode = "busy"
        started_at = asyncio.get_running_loop().time()
        self.assertEqual(await self.resume_many(url), 0)
        seconds = asyncio.get_running_loop().time() - started_at
        self.assertLess(seconds / STREAM_COUNT, 0.5)

    async def test_streams_that_began_without_the_store_are_known_after_it(self):
        self.store.mode = "busy"
        await self.begin_many()
        self.store.mode = "up"
        await asyncio.sleep(1.5)
        _, url = await self.start_second_host()
        self.assertEqual(await self.resume_many(url), STREAM_COUNT)

    async def test_stream_is_refused_when_its_version_is_gone(self):
        await self.begin_many()
        for engine in self.engines[::2]:
            self.store.put(TARGET_TOPIC, engine.id, None)
        directory = self.host.kernel.get(Directory)
        await self.wait_until(lambda: len(directory.target_by_id) == 4)
        old = [n for n in range(STREAM_COUNT) if self.software_of(f"s{n}") == {OLD}]
        for number in old:
            status, headers, _ = await self.resume(f"s{number}", self.url)
            self.assertEqual(status, 503)
            self.assertIn("Retry-After", headers)
        self.assertEqual(await self.resume_many(self.url), STREAM_COUNT - len(old))

    async def test_stream_that_nobody_began_does_not_go_on_at_a_guessed_version(self):
        status, _, _ = await self.resume("unknown", self.url)
        self.assertEqual(status, 503)
        self.assertEqual(self.software_of("unknown-again"), set())

    async def test_silent_engine_does_not_make_a_stream_cross(self):
        """A byte now and then, but no event: the next engine is of the same version."""
        for number in range(4):
            self.share_script("stall")
            attempt_id = f"q{number}"
            status, _, body = await self.request("POST", "/resumed/x", attempt_id)
            self.assertEqual((status, body), (200, self.events(attempt_id)))
            self.assertEqual(len(self.software_of(attempt_id)), 1)


class AllHostsKilledTest(StreamVersionTestCase):
    """Guards against ORDER: text of two versions after all hosts were killed.

    A caller may name only the last event that it has. A host that just started then saw
    one version of the software, and took that for the one that began the stream.
    """

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.unnamed_status = set()
        await self.begin_many()

    async def kill_and_restart(self, target_count=6):
        await self.host.kernel.stop()
        host, url, _ = await self.start_host("host-2", target_count)
        await self.wait_until(lambda: host.kernel.get(Directory).manifest.version == 2)
        return host, url

    def remove_old_targets(self):
        for engine in self.engines:
            if engine.software == OLD:
                self.store.put(TARGET_TOPIC, engine.id, None)

    async def resume_unnamed(self, url):
        """Take all streams up again without naming them; return the joined ones."""
        joined = []
        for number in range(STREAM_COUNT):
            again = f"s{number}-again"
            status, headers, _ = await self.request(
                "POST",
                "/resumed/x",
                again,
                url=url,
                headers={"Last-Event-Id": "3"},
            )
            self.unnamed_status.add(status)
            if status == 503:
                self.assertIn("Retry-After", headers)
                self.assertEqual(self.software_of(again), set())
            elif self.software_of(again) != self.software_of(f"s{number}"):
                joined.append(again)
        return joined

    async def test_stream_without_a_name_is_refused_after_the_old_targets_left(self):
        self.remove_old_targets()
        _, url = await self.kill_and_restart(target_count=4)
        self.assertEqual(await self.resume_unnamed(url), [])
        self.assertEqual(self.unnamed_status, {503})

    async def test_old_targets_leave_while_no_host_runs(self):
        await self.host.kernel.stop()
        self.remove_old_targets()
        _, url = await self.kill_and_restart(target_count=4)
        self.assertEqual(await self.resume_unnamed(url), [])

    async def test_stream_without_a_name_is_refused_while_both_versions_serve(self):
        _, url = await self.kill_and_restart()
        self.assertEqual(await self.resume_unnamed(url), [])

    async def test_stream_with_a_name_is_refused_after_the_old_targets_left(self):
        self.remove_old_targets()
        _, url = await self.kill_and_restart(target_count=4)
        new = [n for n in range(STREAM_COUNT) if self.software_of(f"s{n}") == {NEW}]
        self.assertEqual(await self.resume_many(url), len(new))

    async def test_store_fails_when_streams_are_taken_up(self):
        self.remove_old_targets()
        _, url = await self.kill_and_restart(target_count=4)
        self.store.mode = "busy"
        self.assertEqual(await self.resume_unnamed(url), [])
        self.assertEqual(self.unnamed_status, {503})

    async def test_take_up_that_breaks_off_is_taken_up_under_its_own_name(self):
        _, url = await self.kill_and_restart()
        self.share_script("cut", "cut", "cut", "cut")
        with contextlib.suppress(aiohttp.ClientError):
            await self.resume("s0", url)
        self.share_script()
        status, _, _ = await self.resume(
            "s0-again", url, **{"Resumes": "s0-again", "Last-Event-Id": "4"}
        )
        self.assertEqual(status, 200)
        self.assertEqual(self.software_of("s0-again-again"), self.software_of("s0"))


class UnrecordedStreamTest(StreamVersionTestCase):
    """Guards against ORDER: a stream whose origin the store did not take in time."""

    async def test_stream_is_refused_when_its_host_was_killed_before_the_record(self):
        self.store.mode = "busy"
        await self.begin_many()
        # The origins were only in the memory of the host that is killed.
        self.host.kernel.get(StreamOrigins)._unwritten.clear()
        await self.host.kernel.stop()
        self.store.mode = "up"
        _, url = await self.start_second_host()
        self.assertEqual(await self.resume_many(url), 0)
