"""A host that wakes from a freeze knows limits, crash records and origins again."""

import asyncio

from cranberryrun import clock
from cranberryrun.exceptions import CranberryrunError
from cranberryrun.fleet.client import Request
from cranberryrun.fleet.lease import Lease
from cranberryrun.fleet.manifest import RouteKind
from cranberryrun.fleet.origin import Origin
from cranberryrun.fleet.send_permits import SendPermits
from cranberryrun.requests.forwarder import Forwarder
from cranberryrun.requests.stream_origins import StreamOrigins
from fakes.deployment import SERVICE, Deployment, batch_route, manifest
from fakes.loop import start_task

from .test_named_limits import MOST_IN_WINDOW, most_in_a_window
from .virtual import HostTestCase

LIMIT = 2.0
WINDOW_SECONDS = 4.0
# The users' rule: three sends after the third crash.
MOST_CRASHES = 3 + 3
FREEZE_SECONDS = 6.0
CRASHING_PATH = "/x/crash"


class FrozenHostTest(HostTestCase):
    """One of two hosts is suspended while the other one learns of something."""

    async def asyncSetUp(self):
        self.loop = asyncio.get_running_loop()
        self.deployment = Deployment()
        self.addAsyncCleanup(self.deployment.stop)
        self.deployment.put_manifest(manifest())
        self.targets = self.deployment.targets
        for number in range(3):
            self.register(f"t{number}")
        self.route = batch_route(kind=RouteKind.SAFE, max_attempts=2)
        self.frozen = await start_task("frozen", self.deployment.start_host("frozen"))
        self.awake = await start_task("awake", self.deployment.start_host("awake"))
        await asyncio.sleep(2.0)
        self.count = 0

    def register(self, target_id):
        self.deployment.register(target_id, service=SERVICE, version_by_model={})

    async def call(self, name, host, path="/x/1"):
        self.count += 1
        request = Request(f"r{self.count}", "POST", path, (), b"", clock.now() + 0.5)
        try:
            await start_task(name, host.get(Forwarder).forward(self.route, request))
        except CranberryrunError:
            return False
        return True

    async def freeze(self):
        self.loop.pause("frozen")
        self.loop.call_later(FREEZE_SECONDS, self.loop.resume, "frozen")
        await asyncio.sleep(FREEZE_SECONDS / 2)

    async def test_both_hosts_keep_a_limit_that_was_named_meanwhile(self):
        self.assertTrue(self.frozen.get(Lease).held or self.awake.get(Lease).held)
        self.deployment.remove_target("t1")
        self.deployment.remove_target("t2")
        await asyncio.sleep(1.0)
        await self.freeze()
        sent_at = []
        task = start_task("awake", self.send_for("awake", self.awake, 14.0, sent_at))
        await asyncio.sleep(FREEZE_SECONDS / 2)
        await self.send_for("frozen", self.frozen, 8.0, sent_at)
        await task
        self.assertLessEqual(most_in_a_window(sent_at), MOST_IN_WINDOW)
        self.assertGreater(len(sent_at), LIMIT * WINDOW_SECONDS)

    async def send_for(self, name, host, seconds, sent_at):
        end = self.loop.time() + seconds
        while self.loop.time() < end:
            sent = clock.now()
            if await self.call(name, host):
                sent_at.append(sent)
                # The target names its limit in each answer.
                host.get(SendPermits).record_answer("t0", LIMIT, sent, False)
            await asyncio.sleep(0.1)

    async def test_request_that_crashed_targets_meanwhile_is_soon_refused(self):
        self.targets.crashing_paths = {CRASHING_PATH}
        await self.freeze()
        await self.call("awake", self.awake, CRASHING_PATH)
        await asyncio.sleep(FREEZE_SECONDS / 2)
        for number in range(3, 9):
            self.register(f"t{number}")
        for _ in range(20):
            await self.call("frozen", self.frozen, CRASHING_PATH)
            await asyncio.sleep(0.1)
        self.assertLessEqual(len(self.targets.crashes), MOST_CRASHES)
        self.assertTrue(await self.call("frozen", self.frozen))

    async def test_stream_that_began_meanwhile_is_known_at_once(self):
        """Guards against ORDER: its version has to bind the first call after a wake."""
        origin = Origin(SERVICE, "v1")
        await self.freeze()
        await start_task("awake", self.awake.get(StreamOrigins).record("s1", origin))
        await asyncio.sleep(FREEZE_SECONDS / 2)
        found = await start_task("frozen", self.frozen.get(StreamOrigins).find("s1"))
        self.assertEqual(found, origin)
