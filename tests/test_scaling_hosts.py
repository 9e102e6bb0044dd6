"""Orders for engines from steps that hosts run, with losses of the holder."""

import asyncio
import contextlib
import unittest
from dataclasses import replace
from unittest import mock

from cranberryrun.batches.service import Batches
from cranberryrun.duties.service import Duties
from cranberryrun.exceptions import KernelError
from cranberryrun.fleet.lease import Lease
from cranberryrun.fleet.manifest import Autoscale
from cranberryrun.metrics import Metrics
from cranberryrun.platform.__main__ import PlatformHost
from cranberryrun.platform.settings import HostSettings
from cranberryrun.scaling.inputs import Scaling
from fakes.deployment import SERVICE, Deployment, batch, manifest
from fakes.duties import FakeApi, FakeDutyClient
from fakes.loop import virtual_wall_time

from .virtual import HostTestCase

HANDOVER_SECONDS = 3.0
AUTOSCALE = Autoscale(1, 12, boot_seconds=1.0, spot_price=1.0)


class ScalingHostsTest(HostTestCase):
    """One model, a step every 4 s, engines of 12 slots in one zone."""

    async def asyncSetUp(self):
        patch = mock.patch("cranberryrun.clock.wall", virtual_wall_time)
        patch.start()
        self.addCleanup(patch.stop)
        self.deployment = Deployment()
        self.addAsyncCleanup(self.deployment.stop)
        self.api = FakeApi()
        self.engines = 0
        self.steps = 0
        self.put_manifest(1, {SERVICE: AUTOSCALE})

    def put_manifest(self, version, autoscale_by_service):
        value = replace(manifest(version), autoscale_by_service=autoscale_by_service)
        self.deployment.put_manifest(value)

    async def start(self, name="host-1"):
        scaling = Scaling()
        duties = Duties(name, (scaling.duty,), 50.0)
        services = (scaling, FakeDutyClient(self.api), duties)
        return await self.deployment.start_host(
            name, HANDOVER_SECONDS, more_services=services
        )

    def set_engines(self, count):
        while self.engines < count:
            self.deployment.add_engine(f"e{self.engines}")
            self.engines += 1
        while self.engines > count:
            self.engines -= 1
            self.deployment.register(f"e{self.engines}", draining=True)
            asyncio.get_running_loop().call_later(
                2.0, self.deployment.remove_target, f"e{self.engines}"
            )

    async def play(self, host, seconds, groups):
        """Submit steps and carry out orders at once."""
        loop = asyncio.get_running_loop()
        end = loop.time() + seconds
        next_step_at = loop.time()
        while loop.time() < end:
            if loop.time() >= next_step_at:
                next_step_at += 4.0
                if self.steps:
                    batches = host.get(Batches)
                    await batches.end(f"b{self.steps - 1}", loop.time() + 1.0)
                value = batch(f"b{self.steps}", groups=groups, size=8)
                await self.deployment.submit(host, value)
                self.steps += 1
            if self.api.carried_out:
                self.set_engines(self.api.carried_out[-1].content.count)
            await asyncio.sleep(0.1)

    def counts(self):
        return [call.content.count for call in self.api.carried_out]

    def events(self, name):
        return [event for event in self.deployment.events if event.kind.name == name]

    async def test_more_engines_are_ordered_soon_after_the_second_step(self):
        self.set_engines(2)
        host = await self.start()
        await asyncio.sleep(1.0)
        await self.play(host, 4.0, groups=25)
        self.assertEqual(self.counts(), [])
        await self.play(host, 2.0, groups=25)
        # 200 items of 14 events take 152 slot-seconds in 4 s, in twelve slots of each
        # engine that are in use for 75%; one engine is the reserve.
        self.assertEqual(self.counts(), [6])
        (wanted,) = self.events("engines_wanted")
        self.assertLess(wanted.fields["demand_age"], 1.0)
        self.assertEqual(len(self.events("engines_ordered")), 1)
        text = host.get(Metrics).scrape().decode()
        self.assertIn('cranberryrun_engines_wanted{zone="a"} 6.0', text)

    async def test_fewer_engines_are_ordered_and_all_steps_complete(self):
        self.set_engines(10)
        host = await self.start()
        await asyncio.sleep(1.0)
        await self.play(host, 90.0, groups=10)
        counts = self.counts()
        self.assertEqual(counts, sorted(counts, reverse=True))
        self.assertLess(counts[-1], 6)
        for number in range(self.steps - 1):
            results = await self.deployment.results(host, f"b{number}", 1.0)
            self.assertEqual(len(results), 80)
        self.assertEqual(self.api.violations(HANDOVER_SECONDS), [])

    async def test_successor_repeats_an_order_and_removes_nothing_at_once(self):
        self.set_engines(2)
        host = await self.start()
        await asyncio.sleep(1.0)
        successor = await self.start("host-2")
        self.api.down = True
        await self.play(host, 6.0, groups=25)
        self.assertTrue(host.get(Lease).held)
        (wanted,) = self.events("engines_wanted")
        await host.stop()
        self.deployment.kernels.remove(host)
        self.api.down = False
        await self.play(successor, 9.0, groups=25)
        self.assertEqual(self.counts()[0], wanted.fields["count"])
        self.assertEqual(self.counts(), sorted(self.counts()))
        self.assertEqual(self.api.carried_out[0].holder, "host-2")
        self.assertEqual(self.api.violations(HANDOVER_SECONDS), [])

    async def test_nothing_is_ordered_without_an_autoscale(self):
        self.put_manifest(2, {})
        self.set_engines(2)
        host = await self.start()
        await asyncio.sleep(1.0)
        await self.play(host, 12.0, groups=25)
        self.assertEqual(self.api.calls, [])

    async def test_nothing_is_ordered_for_a_service_without_models(self):
        self.put_manifest(2, {"plain": AUTOSCALE})
        self.set_engines(2)
        host = await self.start()
        await asyncio.sleep(1.0)
        await self.play(host, 12.0, groups=25)
        self.assertEqual(self.api.calls, [])

    async def test_invalid_autoscale_is_logged(self):
        host = await self.start()
        value = replace(
            manifest(2), autoscale_error_by_service={SERVICE: "min is over max"}
        )
        self.deployment.put_manifest(value)
        await asyncio.sleep(1.0)
        (event,) = self.events("autoscale_invalid")
        self.assertEqual(event.fields["service"], SERVICE)
        self.assertEqual(host.get(Scaling).read_inputs(0.0), {})


class ScalingSettingsTest(unittest.TestCase):
    """Deployments whose settings do not name the duty must not change."""

    def services(self, **changes):
        settings = HostSettings(
            host_id="h",
            zone="a",
            ip="127.0.0.1",
            front_address="127.0.0.1:1",
            ready_address="127.0.0.1:2",
            store={"address": "127.0.0.1:3"},
            **changes,
        )
        kernel = PlatformHost(settings).kernel
        found = []
        for kind in (Scaling, Duties):
            with contextlib.suppress(KernelError):
                found.append(kernel.get(kind).name)
        return found

    def test_scaling_is_active_only_with_its_duty(self):
        api = {"address": "127.0.0.1:4"}
        self.assertEqual(self.services(), [])
        self.assertEqual(self.services(platform_api=api), [])
        usage = api | {"duties": ["usage"]}
        self.assertEqual(self.services(platform_api=usage), ["duties"])
        scale = api | {"duties": ["scale"]}
        self.assertEqual(self.services(platform_api=scale), ["scaling", "duties"])
