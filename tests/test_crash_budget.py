"""A request that crashes targets is not sent on, and others keep their service."""

import asyncio

from cranberryrun import clock
from cranberryrun.exceptions import CranberryrunError
from cranberryrun.fleet.client import Request
from cranberryrun.fleet.manifest import RouteKind
from cranberryrun.requests.crash_records import RequestCrashesTargetsError
from cranberryrun.requests.forwarder import Forwarder
from cranberryrun.requests.streams import Streams
from fakes.deployment import SERVICE, Deployment, batch, batch_route, manifest

from .virtual import VirtualTimeTestCase

CRASHING_PATH = "/x/crash"
RESTART_SECONDS = 3.5
# The users' rule, counted from the third crash.
MOST_SENDS_AFTER_THIRD_CRASH = 3


class CrashBudgetTest(VirtualTimeTestCase):
    """Guards against BUDGET: one request ended each engine that came back."""

    async def asyncSetUp(self):
        self.deployment = Deployment()
        self.addAsyncCleanup(self.deployment.stop)
        self.deployment.put_manifest(manifest())
        self.targets = self.deployment.targets
        self.targets.crashing_paths = {CRASHING_PATH}
        for number in range(3):
            self.register(f"t{number}-0")
        self.route = batch_route(kind=RouteKind.SAFE, max_attempts=2)
        self.hosts = []
        for number in range(3):
            self.hosts.append(await self.deployment.start_host(f"host-{number}"))
        await asyncio.sleep(1.0)
        restarter = asyncio.create_task(self.restart_crashed_targets())
        self.addAsyncCleanup(self.end, restarter)
        self.count = 0

    async def end(self, task):
        task.cancel()

    def register(self, target_id):
        self.deployment.register(target_id, service=SERVICE, version_by_model={})

    async def restart_crashed_targets(self):
        """Bring each crashed target back under a new id."""
        restarted = set()
        while True:
            await asyncio.sleep(0.1)
            for target_id, _, crashed_at in list(self.targets.crashes):
                due = clock.now() >= crashed_at + RESTART_SECONDS
                if not due or target_id in restarted:
                    continue
                restarted.add(target_id)
                topic = self.deployment.decoder.target_topic
                self.deployment.store.put_keyed(topic, target_id, None)
                name, incarnation = target_id.split("-")
                self.register(f"{name}-{int(incarnation) + 1}")

    def request(self, path, body=b""):
        self.count += 1
        headers = (("Host", "site.example"),)
        return Request(f"r{self.count}", "POST", path, headers, body, clock.now() + 0.5)

    async def call(self, host, path, body=b""):
        """Send one request; return ``answered`` or the error."""
        try:
            await host.get(Forwarder).forward(self.route, self.request(path, body))
        except CranberryrunError as error:
            return error
        return "answered"

    async def repeat_crashing_request(self, rounds, pause, hosts=None):
        """Send the crashing request to one host after the other."""
        hosts = hosts or self.hosts
        outcomes = []
        for number in range(rounds):
            outcomes.append(await self.call(hosts[number % len(hosts)], CRASHING_PATH))
            await asyncio.sleep(pause)
        return outcomes

    def crashes(self):
        return [row for row in self.targets.crashes if row[1] == CRASHING_PATH]

    async def test_repeats_at_all_hosts_do_not_crash_engines_for_ever(self):
        await self.repeat_crashing_request(400, 0.25)
        self.assertLessEqual(
            len(self.crashes()) - 3, MOST_SENDS_AFTER_THIRD_CRASH, self.crashes()
        )

    async def test_repeat_at_another_host_right_after_the_answer_is_refused(self):
        """Guards against BUDGET: the caller was quicker than the record."""
        for _ in range(3):
            await self.call(self.hosts[0], CRASHING_PATH)
            crashes = len(self.crashes())
            outcome = await self.call(self.hosts[1], CRASHING_PATH)
            self.assertIsInstance(outcome, RequestCrashesTargetsError)
            self.assertEqual(len(self.crashes()), crashes)

    async def test_other_callers_are_served_meanwhile(self):
        crashing = asyncio.create_task(self.repeat_crashing_request(80, 0.25))
        outcomes = []
        for number in range(400):
            host = self.hosts[number % 3]
            outcomes.append(await self.call(host, f"/x/{number}"))
            await asyncio.sleep(0.02)
        await crashing
        self.assertGreaterEqual(outcomes.count("answered"), 0.98 * len(outcomes))

    async def test_host_that_starts_knows_the_crashes(self):
        await self.repeat_crashing_request(2, 0.1)
        late = await self.deployment.start_host("late")
        await asyncio.sleep(0.5)
        crashes = len(self.crashes())
        (outcome,) = await self.repeat_crashing_request(1, 0.0, [late])
        self.assertIsInstance(outcome, RequestCrashesTargetsError)
        self.assertGreater(outcome.retry_after, 0)
        self.assertEqual(len(self.crashes()), crashes)

    async def test_hosts_that_lost_the_store_remember_and_make_no_trial(self):
        await self.repeat_crashing_request(2, 0.1)
        self.deployment.store.down = True
        await asyncio.sleep(6.0)
        crashes = len(self.crashes())
        await self.repeat_crashing_request(60, 0.2)
        self.assertEqual(len(self.crashes()), crashes)

    async def test_of_several_hosts_one_makes_a_trial(self):
        await self.repeat_crashing_request(2, 0.1)
        await asyncio.sleep(6.0)
        crashes = len(self.crashes())
        await asyncio.gather(*(self.call(host, CRASHING_PATH) for host in self.hosts))
        self.assertEqual(len(self.crashes()), crashes + 1)

    async def test_request_beside_a_crash_is_free_again_after_one_trial(self):
        """It was in flight at each target that ended, but is not the cause."""
        await asyncio.gather(
            *(self.call(self.hosts[0], path) for path in (CRASHING_PATH, "/x/1") * 2),
            self.call(self.hosts[0], "/x/1"),
        )
        await asyncio.sleep(6.0)
        self.assertEqual(await self.call(self.hosts[1], "/x/1"), "answered")
        # The other hosts learn that the request is free.
        await asyncio.sleep(0.1)
        outcomes = [await self.call(host, "/x/1") for host in self.hosts]
        self.assertEqual(outcomes, ["answered"] * 3)

    async def test_same_path_with_another_body_is_another_request(self):
        await self.repeat_crashing_request(2, 0.1)
        self.targets.crashing_paths = set()
        self.assertEqual(
            await self.call(self.hosts[0], CRASHING_PATH, b"other"), "answered"
        )

    async def test_resumed_stream_that_crashes_targets_is_stopped_too(self):
        route = batch_route(kind=RouteKind.STREAMING, max_attempts=3, resumable=True)
        for number in range(30):
            request = self.request(CRASHING_PATH)
            streams = self.hosts[number % 3].get(Streams)
            try:
                async for _ in streams.forward(route, request, None):
                    continue
            except CranberryrunError:
                pass
            await asyncio.sleep(0.3)
        self.assertLessEqual(len(self.crashes()), 3)

    async def test_item_under_which_engines_ended_is_still_owed(self):
        self.deployment.add_engine("e0", cut_after=2)
        await asyncio.sleep(0.5)
        await self.deployment.submit(self.hosts[0], batch(groups=1, size=2))
        await asyncio.sleep(3.0)
        engine = self.deployment.targets.engine_by_id["e0"]
        engine.gone = True
        await asyncio.sleep(3.0)
        engine.gone, engine.cut_after = False, None
        results = await self.deployment.results(self.hosts[0], "b1", 20.0)
        self.assertEqual([result.succeeded for result in results], [True, True])

    async def test_crashes_count_although_the_callers_left_before(self):
        """Nobody waits for the answer any more when the target ends."""
        for number in range(200):
            host = self.hosts[number % 3]
            call = asyncio.create_task(self.call(host, CRASHING_PATH))
            await asyncio.sleep(0.02)
            call.cancel()
            await asyncio.gather(call, return_exceptions=True)
            await asyncio.sleep(0.1)
            await self.call(host, f"/x/{number}")
            await asyncio.sleep(0.1)
        self.assertLessEqual(len(self.crashes()) - 3, MOST_SENDS_AFTER_THIRD_CRASH)

    async def test_caller_does_not_wait_for_a_store_that_is_silent(self):
        await self.repeat_crashing_request(2, 0.1)
        await asyncio.sleep(6.0)
        self.deployment.store.silent = True
        started_at = clock.now()
        outcome = await self.call(self.hosts[0], CRASHING_PATH)
        self.assertIsInstance(outcome, RequestCrashesTargetsError)
        self.assertLess(clock.now() - started_at, 0.4)
