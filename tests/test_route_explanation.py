"""Explanations of where requests and runs go agree with where they then go."""

import asyncio
import json
import unittest.mock

from click.testing import CliRunner

from cranberryrun import clock
from cranberryrun.ctl import main
from cranberryrun.events import Events
from cranberryrun.fleet.client import Request
from cranberryrun.fleet.lease import Lease
from cranberryrun.fleet.send_permits import SendPermits
from cranberryrun.platform.__main__ import PlatformHost
from cranberryrun.platform.settings import SecondAttemptSettings
from cranberryrun.requests.crashes import Crashes
from cranberryrun.requests.fingerprint import fingerprint_of
from cranberryrun.requests.forwarder import Forwarder
from standins.ports import free_port

from .test_platform_host import HOST_NAME, TARGET_TOPIC, PlatformTestCase


class RouteExplanationTest(PlatformTestCase):
    async def asyncSetUp(self):
        self.metrics_port = free_port()
        with unittest.mock.patch(
            "tests.test_platform_host.PlatformHost", side_effect=self.create_host
        ):
            await super().asyncSetUp()
        await self.wait_until(lambda: self.host.kernel.get(Lease).held)

    def create_host(self, settings):
        changes = {
            "metrics_port": self.metrics_port,
            "second_attempts": SecondAttemptSettings(max_extra_share=0.02),
        }
        return PlatformHost(settings.model_copy(update=changes))

    async def route(self, *arguments, code=0):
        url = f"http://127.0.0.1:{self.metrics_port}"
        arguments = ["--host", url, "route", *arguments]
        result = await asyncio.to_thread(CliRunner().invoke, main, arguments)
        self.assertEqual(
            result.exit_code, code, f"{result.output} {result.exception!r}"
        )
        return result.output

    async def explain(self, path="/status/x", *arguments):
        output = await self.route(path, "--name", HOST_NAME, "-o", "json", *arguments)
        return json.loads(output)

    def against(self, explained):
        return {
            target["id"]: " ".join(fact["text"] for fact in target["reasons_against"])
            for target in explained["targets"]
        }

    async def test_explained_target_gets_the_request_and_asking_changes_nothing(self):
        """A dry run that drew random numbers would change the next choice."""
        forwarder = self.host.kernel.get(Forwarder)
        # The last event of a host that starts and takes the lease.
        await self.wait_until(
            lambda: any(
                event.kind.name == "batches_recalled"
                for event in self.host.kernel.get(Events).after(-1)
            )
        )
        for number in range(8):
            events = len(list(self.host.kernel.get(Events).after(-1)))
            random_state = forwarder._rng.getstate()
            for _ in range(2):
                explained = await self.explain()
            self.assertEqual(forwarder._rng.getstate(), random_state)
            self.assertEqual(len(list(self.host.kernel.get(Events).after(-1))), events)
            self.assertEqual(len(self.portal_requests()), number)
            await self.request("GET", "/status/x", f"r{number}")
            (chosen,) = [p for p in self.portals if p.id == explained["chosen"]]
            self.assertEqual(
                chosen.requests[-1]["X-Cranberryrun-Attempt-Id"], f"r{number}"
            )

    async def test_reasons_against_targets_are_named_with_their_age(self):
        self.portals[0].sequence += 1
        self.store.put(TARGET_TOPIC, "p0", self.portals[0].entry("draining"))
        await asyncio.sleep(0.8)
        state = self.host.kernel.get(Forwarder).state_of("p1")
        state.health.record_failure()
        state.last_result_at = clock.now()
        explained = await self.explain()
        self.assertEqual(explained["chosen"], "p1")
        against = self.against(explained)
        self.assertIn("leaving", against["p0"])
        self.assertIn("in cooldown", against["p1"])
        ages = [fact["age"] for fact in explained["targets"][1]["reasons_against"]]
        self.assertTrue(any(age is not None and age < 1.0 for age in ages))
        text = await self.route("/status/x", "--name", HOST_NAME)
        self.assertIn("p1 *", text)

    async def test_refusals_are_those_that_callers_get(self):
        self.assertEqual((await self.explain("/nowhere"))["refusal"]["status"], 404)
        permits = self.host.kernel.get(SendPermits)
        for portal in self.portals:
            permits.record_answer(portal.id, 1.0, clock.now(), True)
            while permits.take(portal.id):
                pass
        explained = await self.explain("/status/x")
        status, headers, _ = await self.request("GET", "/status/x")
        self.assertEqual((status, explained["refusal"]["status"]), (503, 503))
        self.assertAlmostEqual(
            float(headers["Retry-After"]),
            explained["refusal"]["retry_after"],
            delta=0.5,
        )
        self.assertIn("used up", self.against(explained)["p0"])

    async def test_request_with_crash_records_is_refused_without_claiming_a_trial(self):
        crashes = self.host.kernel.get(Crashes)
        headers = (("Host", HOST_NAME),)
        request = Request("", "GET", "/status/x", headers, b"", 0.0)
        for number in range(2):
            crashes._records.record_crash(
                fingerprint_of(request), f"p{number}:1", clock.now()
            )
        explained = await self.explain()
        self.assertEqual(explained["refusal"]["code"], "request_crashes_targets")
        self.assertFalse(crashes._value_by_unwritten_key)

    async def test_model_is_explained_by_the_engines(self):
        explained = json.loads(await self.route("--model", "m", "-o", "json"))
        self.assertEqual((explained["chosen"], explained["service"]), ("e0", "lm"))
        missing = json.loads(await self.route("--model", "none", "-o", "json"))
        self.assertEqual(missing["refusal"]["status"], 404)
        self.assertEqual(self.engine.requests, [])

    async def test_invalid_use_is_an_error(self):
        for arguments in ([], ["/x"], ["/x", "--model", "m"]):
            await self.route(*arguments, code=2)
