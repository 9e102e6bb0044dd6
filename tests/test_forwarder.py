"""Requests under failing targets: what is tried elsewhere, and what comes back."""

import asyncio
import random

from cranberryrun import clock
from cranberryrun.exceptions import TargetFailedError
from cranberryrun.fleet.client import Answer, Request
from cranberryrun.fleet.directory import Directory
from cranberryrun.fleet.manifest import Backend, RouteKind
from cranberryrun.kernel import Kernel
from cranberryrun.metrics import Metrics
from cranberryrun.requests.forwarder import Forwarder
from fakes.deployment import Deployment, batch_route, manifest

from .virtual import VirtualTimeTestCase

FAILURE = Answer(500, (("signature", "s"),), b"broken")


class GreyTargetTest(VirtualTimeTestCase):
    """Load pattern: one target of three fails all or part of what it gets."""

    async def asyncSetUp(self):
        self.deployment = Deployment()
        self.addAsyncCleanup(self.deployment.stop)
        self.routes = [
            batch_route(
                name=kind.value,
                path_prefix=f"/{kind.value}/",
                kind=kind,
                backends=(Backend("models", 1.0),),
                timeout=1.0,
            )
            for kind in (RouteKind.SAFE, RouteKind.UNSAFE)
        ]
        self.deployment.put_manifest(manifest(1, *self.routes))
        for name in ("t0", "t1", "t2"):
            self.deployment.add_engine(name)
        self.kernel = await self.deployment.start_host()
        self.forwarder = await self.start_forwarder(self.kernel)
        await self.until(lambda: len(self.directory.target_by_id) == 3)

    @property
    def directory(self):
        return self.kernel.get(Directory)

    async def start_forwarder(self, kernel: Kernel):
        forwarder = Forwarder("a", random.Random(1))
        kernel.register(Metrics("host-1"))
        kernel.register(forwarder)
        return forwarder

    async def until(self, condition):
        while not condition():
            await asyncio.sleep(0.05)

    def script(self, target, *answers):
        self.deployment.targets.answers_by_target[target] = list(answers)

    async def forward(self, kind, number):
        route = next(route for route in self.routes if route.kind is kind)
        request = Request(f"r{number}", "POST", "/x", (), b"", clock.now() + 1.0)
        return await self.forwarder.forward(route, request)

    async def test_a_safe_request_that_a_target_fails_is_answered_by_another(self):
        """mushi-arusha-grown, trouble-1: 51 of 349 checks came back with 500."""
        self.script("t0", *[FAILURE] * 100)
        for number in range(40):
            answer = await self.forward(RouteKind.SAFE, number)
            self.assertEqual(answer.status, 200)
        asked = [target for target, _ in self.deployment.targets.sent]
        # A failing target gets a request now and then to see whether it is well.
        self.assertLess(asked.count("t0"), 6)

    async def test_a_failure_of_all_targets_comes_back_as_the_target_gave_it(self):
        for target in ("t0", "t1", "t2"):
            self.script(target, *[FAILURE] * 10)
        answer = await self.forward(RouteKind.SAFE, 0)
        self.assertEqual(answer, FAILURE)
        self.assertEqual(len(self.deployment.targets.sent), 3)

    async def test_a_failure_and_broken_connections_give_the_target_s_failure(self):
        for target in ("t0", "t1", "t2"):
            self.script(target, FAILURE if target == "t0" else TargetFailedError("x"))
        answer = await self.forward(RouteKind.SAFE, 0)
        self.assertEqual(answer, FAILURE)

    async def test_an_unsafe_request_that_a_target_failed_is_not_sent_again(self):
        for target in ("t0", "t1", "t2"):
            self.script(target, FAILURE)
        answer = await self.forward(RouteKind.UNSAFE, 0)
        self.assertEqual(answer, FAILURE)
        self.assertEqual(len(self.deployment.targets.sent), 1)
