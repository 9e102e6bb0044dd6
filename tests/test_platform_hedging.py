"""Hedged requests from the caller to the stand-ins: two hosts, two slow targets."""

import asyncio
import unittest.mock

from cranberryrun.events import Events
from cranberryrun.fleet.lease import Lease
from cranberryrun.fleet.neighbours import Neighbours
from cranberryrun.platform import hedge_calls
from cranberryrun.platform.__main__ import PlatformHost
from cranberryrun.platform.settings import SecondAttemptSettings
from cranberryrun.second_attempts.client import HedgeReport, PermitAsk, ServiceCounts
from cranberryrun.second_attempts.service import SecondAttempts

from .test_platform_host import PlatformTestCase

FAST, SLOW = 0.05, 1.5


class HedgingTest(PlatformTestCase):
    def create_host(self, settings):
        limits = SecondAttemptSettings(max_extra_share=0.2)
        return PlatformHost(settings.model_copy(update={"second_attempts": limits}))

    async def asyncSetUp(self):
        with unittest.mock.patch(
            "tests.test_platform_host.PlatformHost", side_effect=self.create_host
        ):
            await super().asyncSetUp()
            self.other, self.other_url, _ = await self.start_host("host-2")
        for portal in self.portals:
            portal.answer_seconds = FAST
        neighbours = self.other.kernel.get(Neighbours)
        await self.wait_until(lambda: neighbours.address_of("host-1"), seconds=12.0)
        self.assertTrue(self.host.kernel.get(Lease).assigned)

    def know_response_times(self):
        """Let the holder know that a twentieth of the responses is slow."""
        report = HedgeReport()
        counts = report.counts_by_service["portal"] = ServiceCounts(sent=100)
        for number in range(100):
            # Longer than a fast response, so that no delay ends before it comes.
            counts.times.record(2 * FAST if number % 20 else SLOW, True)
        self.host.kernel.get(SecondAttempts).serve(report)

    def events(self, host, name):
        events = host.kernel.get(Events).after(-1)
        return [event.fields for event in events if event.kind.name == name]

    async def request_until_hedged(self, host, url):
        for number in range(12):
            started_at = asyncio.get_running_loop().time()
            status, _, body = await self.request("POST", "/status/x", f"h{number}", url)
            self.assertEqual((status, body), (200, b"answer to "))
            seconds = asyncio.get_running_loop().time() - started_at
            if self.events(host, "hedge_ended"):
                return seconds
        self.fail("no request was hedged")

    async def test_both_hosts_hedge_and_the_slow_target_stops(self):
        self.know_response_times()
        self.portals[0].answer_seconds = SLOW
        for host, url in ((self.host, self.url), (self.other, self.other_url)):
            seconds = await self.request_until_hedged(host, url)
            self.assertLess(seconds, SLOW / 2)
            await self.wait_until(
                lambda: not any(portal.open_requests for portal in self.portals),
                seconds=0.5,
            )
            (sent,) = self.events(host, "hedge_sent")
            self.assertEqual((sent["target"], sent["to"]), ("p0", "p1"))
            (ended,) = self.events(host, "hedge_ended")
            self.assertEqual(ended["outcome"], "won")

    async def test_host_whose_holder_does_not_answer_forwards_without_hedging(self):
        self.know_response_times()
        self.portals[0].answer_seconds = 0.4
        neighbours = self.other.kernel.get(Neighbours)
        with unittest.mock.patch.object(
            neighbours, "address_of", return_value="127.0.0.1:9"
        ):
            for number in range(6):
                status, _, _ = await self.request(
                    "POST", "/status/x", f"n{number}", self.other_url
                )
                self.assertEqual(status, 200)
        self.assertEqual(len(self.portal_requests()), 6)
        self.assertTrue(self.events(self.other, "hedge_holder_unreachable"))

    async def test_malformed_reports_and_hosts_without_the_lease_are_refused(self):
        query = f"/permits?{hedge_calls.HEDGE_QUERY}"
        ask = PermitAsk(service="portal", slow_target="p0", target="p1")
        report = HedgeReport(ask=ask).model_dump_json()
        bad_bucket = '{"counts_by_service":{"x":{"times":{"complete":{"99":1}}}}}'
        for host, body, expected in (
            (self.host, report, 200),
            (self.other, report, 409),
            (self.host, "{", 400),
            (self.host, bad_bucket, 400),
        ):
            address = host.kernel.get(Neighbours)._own.address
            url = f"http://{address}{query}"
            async with self.session.post(url, data=body) as response:
                self.assertEqual(response.status, expected)

    async def test_previous_build_refuses_the_call_and_does_not_pass_it_on(self):
        """An unknown path would go to the store as a call of its own."""
        address = self.host.kernel.get(Neighbours)._own.address
        async with self.session.post(f"http://{address}/permits", data="{}") as answer:
            self.assertEqual(answer.status, 400)
