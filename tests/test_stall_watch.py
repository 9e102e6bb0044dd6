"""Time-outs of connecting that pass only because this host's own loop stalls."""

import asyncio
import time
import unittest
import unittest.mock

import aiohttp.connector

from cranberryrun import clock
from cranberryrun.exceptions import TargetUnreachableError
from cranberryrun.fleet.address import Address
from cranberryrun.fleet.client import Request, TargetClient
from cranberryrun.fleet.directory import Directory, Target
from cranberryrun.fleet.target_paths import TargetPaths
from cranberryrun.requests.forwarder import Forwarder
from cranberryrun.stall_watch import StallWatch

from .test_platform_host import PlatformTestCase

# Longer than the 0.2 s that connecting may take.
STALL_SECONDS = 0.35


class StallWatchTest(unittest.IsolatedAsyncioTestCase):
    async def test_loop_that_runs_does_not_count_as_stalled(self):
        with StallWatch(0.2) as watch:
            await asyncio.sleep(0.25)
        self.assertFalse(watch.stalled)

    async def test_stall_is_seen_before_the_late_timer_has_run(self):
        with StallWatch(0.2) as watch:
            time.sleep(STALL_SECONDS)
            self.assertTrue(watch.stalled)

    async def test_stall_is_seen_after_the_loop_went_on(self):
        with StallWatch(0.2) as watch:
            await asyncio.sleep(0.01)
            time.sleep(STALL_SECONDS)
            await asyncio.sleep(0.1)
        self.assertTrue(watch.stalled)


class StalledConnectTest(PlatformTestCase):
    """Guards against sound targets that are taken out because the loop stalled."""

    def stall_connects(self, count, later_seconds=0.0):
        """Block the loop while each of the next ``count`` connections is made.

        Later ones take ``later_seconds``.
        """
        happy_eyeballs = aiohttp.connector.aiohappyeyeballs
        connect = happy_eyeballs.start_connection
        self.connects = 0

        async def stall_and_connect(*args, **options):
            self.connects += 1
            if self.connects <= count:
                time.sleep(STALL_SECONDS)
            else:
                await asyncio.sleep(later_seconds)
            return await connect(*args, **options)

        patch = unittest.mock.patch.object(
            happy_eyeballs, "start_connection", stall_and_connect
        )
        patch.start()
        self.addCleanup(patch.stop)

    def sound_request(self):
        headers = (("X-Cranberryrun-Attempt-Id", "r"),)
        return Request("r", "GET", "/x", headers, b"", clock.now() + 5.0)

    async def test_sound_target_is_reached_though_the_loop_stalls(self):
        self.stall_connects(2)
        target = self.host.kernel.get(Directory).target_by_id["p0"]
        client = self.host.kernel.get(TargetClient)
        answer = await client.send(target, self.sound_request())
        self.assertEqual(answer.status, 200)
        self.assertFalse(self.host.kernel.get(TargetPaths).doubtful)

    async def test_target_that_connects_slowly_after_a_stall_is_reached(self):
        # Guards against targets taken for unreachable while the loop is busy, because
        # a second connect had less time than the first one.
        self.stall_connects(1, later_seconds=0.12)
        target = self.host.kernel.get(Directory).target_by_id["p0"]
        client = self.host.kernel.get(TargetClient)
        answer = await client.send(target, self.sound_request())
        self.assertEqual(answer.status, 200)

    async def test_no_caller_is_refused_and_no_target_is_taken_out(self):
        self.stall_connects(2)
        status, _, _ = await self.request("GET", "/status/x", "s")
        self.assertEqual(status, 200)
        forwarder = self.host.kernel.get(Forwarder)
        self.assertTrue(forwarder.state_of("p0").health.usable())
        self.assertFalse(self.host.kernel.get(TargetPaths).doubtful)

    async def test_target_that_does_not_answer_is_still_found_in_time(self):
        """A retry after a stall must not wait for a target that is not there."""
        connect = aiohttp.connector.aiohappyeyeballs.start_connection

        async def never_connect(*args, **options):
            await asyncio.sleep(60.0)
            return await connect(*args, **options)

        patch = unittest.mock.patch.object(
            aiohttp.connector.aiohappyeyeballs, "start_connection", never_connect
        )
        patch.start()
        self.addCleanup(patch.stop)
        silent = Target("t", "portal", Address("127.0.0.1", 9), "a", 4, False, 1, 1, {})
        client = self.host.kernel.get(TargetClient)
        started_at = time.monotonic()
        with self.assertRaises(TargetUnreachableError):
            await client.send(silent, self.sound_request())
        self.assertLess(time.monotonic() - started_at, 1.0)
