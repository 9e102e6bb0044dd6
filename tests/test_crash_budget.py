"""A request that crashes targets is not sent on, and others keep their service."""

import asyncio

from cranberryrun import clock
from cranberryrun.exceptions import CranberryrunError
from cranberryrun.fleet.client import Request
from cranberryrun.fleet.manifest import RouteKind
from cranberryrun.requests.forwarder import Forwarder
from fakes.deployment import SERVICE, Deployment, batch_route, manifest

from .virtual import VirtualTimeTestCase

CRASHING_PATH = "/x/crash"
RESTART_SECONDS = 3.5
# The users' rule, counted from the third crash.
MOST_SENDS_AFTER_THIRD_CRASH = 3


class CrashBudgetTest(VirtualTimeTestCase):
    """Guards against BUDGET: one request ended nine engines, whenever they came back."""

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

    async def call(self, host, path, body=b"", hosts_time=0.5):
        """Send one request; return ``answered`` or the error."""
        self.count += 1
        request = Request(
            f"r{self.count}",
            "POST",
            path,
            (("Host", "site.example"),),
            body,
            clock.now() + hosts_time,
        )
        try:
            await host.get(Forwarder).forward(self.route, request)
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

    async def test_other_callers_are_served_meanwhile(self):
        crashing = asyncio.create_task(self.repeat_crashing_request(80, 0.25))
        outcomes = []
        for number in range(400):
            host = self.hosts[number % 3]
            outcomes.append(await self.call(host, f"/x/{number}"))
            await asyncio.sleep(0.02)
        await crashing
        self.assertGreaterEqual(outcomes.count("answered"), 0.98 * len(outcomes))
