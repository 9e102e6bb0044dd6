"""Calls of duties over HTTP against a stand-in, alone and by whole hosts."""

import asyncio
import json
import socket
import unittest

from cranberryrun import clock
from cranberryrun.duties.client import (
    DutyConflictError,
    DutyFencedError,
    DutyThrottledError,
    DutyUnknownError,
    DutyUnsentError,
    EngineOrder,
    UsageReport,
)
from cranberryrun.duties.service import Duties
from cranberryrun.exceptions import KernelError
from cranberryrun.fleet.client import Request
from cranberryrun.fleet.directory import Directory
from cranberryrun.fleet.lease import Lease
from cranberryrun.kernel import Kernel
from cranberryrun.platform.__main__ import PlatformHost
from cranberryrun.platform.duty_client import HttpDutyClient, _open_socket
from cranberryrun.platform.settings import HostSettings
from cranberryrun.requests.forwarder import Forwarder
from cranberryrun.usage_counts.totals import TOPIC
from standins.platform_api import PlatformApi
from standins.ports import free_port

from .test_platform_host import PlatformTestCase

REPORT = UsageReport(7, {"w": 3})
WINDOW_SECONDS = 0.5


class HeldLease(Lease):
    """A lease that is held as the test says."""

    requires = ()
    may_order = True
    fence = 5

    def __init__(self):
        super().__init__("host-1", 1, 3.0, None)
        self.orders = 0

    async def start(self):
        """Start nothing."""

    def record_order(self):
        """Count the orders."""
        self.orders += 1


class DutyClientTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.api = PlatformApi()
        await self.api.start()
        self.addAsyncCleanup(self.api.stop)
        self.lease = HeldLease()
        self.client = HttpDutyClient(self.api.address)
        kernel = Kernel()
        kernel.register(self.lease)
        kernel.register(self.client)
        await kernel.start()
        self.addAsyncCleanup(kernel.stop)

    async def report(self, fence=5):
        await self.client.report_usage(REPORT, "host-1", fence)

    async def order(self, **fields):
        order = EngineOrder("lm", "a", 6, **fields)
        await self.client.order_engines(order, "host-1", self.lease.fence)

    async def test_report_on_the_wire(self):
        await self.report()
        (call,) = self.api.carried_out
        self.assertEqual(call.path, "/usage")
        self.assertEqual(call.body, {"window": 7, "counts": {"w": 3}})
        self.assertEqual((call.holder, call.token), ("host-1", 5))
        self.assertEqual(self.lease.orders, 1)

    async def test_orders_on_the_wire(self):
        await self.order()
        await self.order(spot=True)
        body = {"service": "lm", "zone": "a", "group-count": 6}
        bodies = [call.body for call in self.api.carried_out]
        self.assertEqual(bodies, [body, body | {"use-spot": True}])

    async def test_statuses_are_told_apart(self):
        for mode, error in (
            ("limited", DutyThrottledError),
            ("busy", DutyUnknownError),
            ("lost", DutyUnknownError),
            ("full", DutyConflictError),
        ):
            with self.subTest(mode):
                self.api.mode = mode
                with self.assertRaises(error) as raised:
                    await self.order()
                self.assertNotIsInstance(raised.exception, DutyFencedError)
        self.assertEqual(len(self.api.calls), 4)

    async def test_wait_of_a_throttled_call_is_read(self):
        self.api.mode = "limited"
        with self.assertRaises(DutyThrottledError) as raised:
            await self.report()
        self.assertEqual(raised.exception.retry_after, 0.2)

    async def test_higher_token_is_not_taken_for_a_lack_of_engines(self):
        """Orders of both kinds of refusal are answered 409."""
        await self.order()
        await self.report()
        self.lease.fence = 4
        for call in (self.order(), self.report(fence=4)):
            with self.assertRaises(DutyFencedError):
                await call

    async def test_silent_api_is_left_after_a_second(self):
        self.api.mode = "silent"
        started_at = clock.now()
        with self.assertRaises(DutyUnknownError):
            await self.report()
        self.assertLess(clock.now() - started_at, 1.3)

    async def test_api_that_is_down_got_nothing(self):
        await self.api.stop()
        with self.assertRaises(DutyUnsentError):
            await self.report()

    async def test_nothing_is_sent_if_the_lease_ends_while_connecting(self):
        """A host that was frozen while it connected would send under an old token."""
        self.lease.may_order = False
        with self.assertRaises(DutyUnsentError):
            await self.report()
        self.lease.may_order = True
        with self.assertRaises(DutyUnsentError):
            await self.report(fence=4)
        self.assertEqual(self.api.calls, [])
        self.assertEqual(self.lease.orders, 0)

    async def test_kernel_does_not_send_bytes_again_after_the_next_holder_began(self):
        """A cut link delivered a call long after it was written."""
        opened = _open_socket((socket.AF_INET, socket.SOCK_STREAM, 6, "", ()))
        self.addCleanup(opened.close)
        option = opened.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT)
        self.assertEqual(option, 1000)


class UsageOnHostTest(PlatformTestCase):
    """A host whose settings name the platform's API, with short windows."""

    async def asyncSetUp(self):
        self.api = PlatformApi()
        await self.api.start()
        self.addAsyncCleanup(self.api.stop)
        await super().asyncSetUp()

    async def start_duty_host(self, duties):
        settings = HostSettings(
            host_id="host-2",
            zone="a",
            ip="127.0.0.1",
            front_address=f"127.0.0.1:{free_port()}",
            ready_address=f"127.0.0.1:{free_port()}",
            store={"address": self.store.address},
            platform_api={"address": self.api.address, "duties": duties},
            bounds={"usage_window_s": WINDOW_SECONDS, "usage_late_s": 1.0},
        )
        host = PlatformHost(settings)
        await host.start()
        self.addAsyncCleanup(host.kernel.stop)
        directory = host.kernel.get(Directory)
        await self.wait_until(lambda: len(directory.target_by_id) == 3)
        return host

    async def count_request(self, host, workspace="w"):
        route = host.kernel.get(Directory).manifest.routes[0]
        headers = (("Host", "site.example"), ("X-Cranberryrun-Attempt-Id", "r1"))
        request = Request(
            "r1", "GET", "/status/1", headers, b"", clock.now() + 2.0, workspace
        )
        await host.kernel.get(Forwarder).forward(route, request)

    async def test_host_reports_its_requests(self):
        await self.host.kernel.get(Lease).release()
        host = await self.start_duty_host(["usage"])
        await self.count_request(host)
        await self.count_request(host, None)
        await self.wait_until(lambda: len(self.api.carried_out) > 8, 15.0)
        windows = [call.body["window"] for call in self.api.carried_out]
        self.assertEqual(windows, list(range(windows[0], windows[0] + len(windows))))
        counts = [c.body["counts"] for c in self.api.carried_out if c.body["counts"]]
        self.assertEqual(counts, [{"w": 1}])
        self.assertEqual({call.holder for call in self.api.calls}, {"host-2"})

    async def test_stopping_host_writes_its_counts(self):
        host = await self.start_duty_host(["usage"])
        draining = asyncio.create_task(host.drain())
        await asyncio.sleep(2.4)
        for _ in range(3):
            await self.count_request(host)
        await draining
        records = [json.loads(r) for r in self.store.records_by_topic[TOPIC]]
        self.assertEqual(sum(r["counts"]["w"] for r in records), 3)

    async def test_host_without_the_duty_makes_no_calls(self):
        """Deployments that do not name it must not change."""
        host = await self.start_duty_host([])
        for each in (host, self.host):
            self.assertIsNone(each.kernel.get(Forwarder).usage)
            with self.assertRaises(KernelError):
                each.kernel.get(Duties)
        await self.count_request(host)
        await asyncio.sleep(1.5)
        self.assertEqual(self.api.calls, [])
        self.assertNotIn(TOPIC, self.store.records_by_topic)
