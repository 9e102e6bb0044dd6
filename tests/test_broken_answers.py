"""Every client that reads answers, against peers whose answers are not valid HTTP."""

import asyncio
import functools
import itertools
import time
import unittest

from cranberryrun.ctl_client import ControlClient, Request as ControlRequest
from cranberryrun.ctl_errors import ChangeUnknownError, HostsUnreachableError
from cranberryrun.duties.client import DutyUnknownError
from cranberryrun.engine_client import HttpEngineClient, StreamOrder, VersionOrder
from cranberryrun.exceptions import (
    AppendUnknownError,
    EngineError,
    HostListError,
    LogReadError,
    OutcomeUnknownError,
    PeerError,
    StreamCutError,
    TargetFailedError,
)
from cranberryrun.fleet.address import Address
from cranberryrun.fleet.client import ConnectionLostError
from cranberryrun.fleet.directory import Directory, Target
from cranberryrun.fleet.lease import Lease
from cranberryrun.fleet.neighbours import Neighbours
from cranberryrun.fleet.permit_client import PermitClient, PermitRequest
from cranberryrun.fleet.reach_client import ReachClient
from cranberryrun.fleet.send_permits import SendPermits
from cranberryrun.http import HttpClients
from cranberryrun.kernel import Kernel
from cranberryrun.log import HttpLog, Log
from cranberryrun.membership import HttpHostList
from cranberryrun.models import ServiceTarget
from cranberryrun.platform.duty_client import HttpDutyClient
from cranberryrun.platform.host_calls import call_host
from cranberryrun.platform.store_client import StoreClient
from cranberryrun.services import HttpServiceClient
from cranberryrun.settings import LogSettings
from standins.broken_target import BROKEN_ANSWERS, BROKEN_BODIES, BrokenTarget

from .doubles import RawTarget, TrafficHost, answer, call
from .test_duty_client import REPORT, HeldLease
from .test_endless_answers import EndlessAnswerTestCase
from .test_platform_host import PlatformTestCase

CALL_SECONDS = 1.0


async def run_with_peer(case, test, fault, claims):
    """Run ``test`` with a peer that has a fault; it must close its connections."""
    peer = BrokenTarget(f"{fault} {claims}", fault, claims)
    await peer.start()
    with case.subTest(fault=fault, claims=claims):
        await test(case, peer)
        async with asyncio.timeout(1.0):
            while peer.open_connections:
                await asyncio.sleep(0.01)
    await peer.stop()


def with_each_broken_head(test):
    """Run ``test`` with a peer for each fault of a head."""

    @functools.wraps(test)
    async def run(self):
        for fault, claims in itertools.product(BROKEN_ANSWERS, (False, True)):
            await run_with_peer(self, test, fault, claims)

    return run


def with_each_broken_body(test):
    """Run ``test`` with a peer for each fault of a body; it must not wait."""

    @functools.wraps(test)
    async def run(self):
        for fault in BROKEN_BODIES:
            started_at = time.monotonic()
            await run_with_peer(self, test, fault, False)
            self.assertLess(time.monotonic() - started_at, CALL_SECONDS)

    return run


class TargetClientTest(EndlessAnswerTestCase):
    @with_each_broken_head
    async def test_no_call_gets_an_answer_and_no_claim_is_believed(self, peer):
        directory = self.host.kernel.get(Directory)
        permits = self.host.kernel.get(SendPermits)
        target = Target(
            peer.id, "portal", Address.parse(peer.address), "a", 4, False, 1, 1, {}
        )
        directory.target_by_id[target.id] = target
        calls = self.calls(target)
        errors = await asyncio.gather(*calls.values(), return_exceptions=True)
        for kind, error in zip(calls, errors):
            self.assertIsInstance(error, OutcomeUnknownError, kind)
            # The answer shows that the path to the target works.
            self.assertNotIsInstance(error, ConnectionLostError, kind)
            self.assertIn("MalformedAnswerError", error.detail)
        self.assertIsNone(permits.limit_of(target.id))
        self.assertFalse(directory.target_by_id[target.id].draining)

    @with_each_broken_body
    async def test_no_call_waits_for_the_rest_of_a_broken_body(self, peer):
        target = Target(
            peer.id, "portal", Address.parse(peer.address), "a", 4, False, 1, 1, {}
        )
        calls = self.calls(target)
        # The answer to an order is complete with its head.
        await calls.pop("order")
        errors = await asyncio.gather(*calls.values(), return_exceptions=True)
        for kind, error in zip(calls, errors):
            self.assertIsInstance(error, OutcomeUnknownError, kind)
            self.assertIn("MalformedAnswerError", error.detail)


class StoreClientTest(PlatformTestCase):
    @with_each_broken_head
    async def test_reads_fail_and_outcomes_of_writes_are_unknown(self, peer):
        store = self.host.kernel.get(StoreClient)
        for method, error_type in (
            ("GET", LogReadError),
            ("POST", AppendUnknownError),
        ):
            with self.assertRaises(error_type):
                await store.send_call(peer.address, method, "/v1/x", b"")

    @with_each_broken_body
    async def test_no_call_waits_for_the_rest_of_a_broken_body(self, peer):
        store = self.host.kernel.get(StoreClient)
        with self.assertRaises(LogReadError):
            await store.send_call(peer.address, "GET", "/v1/x", b"")
        with self.assertRaises(AppendUnknownError):
            await store.send_call(peer.address, "POST", "/v1/x", b"")


class NeighbourClientTest(PlatformTestCase):
    @with_each_broken_head
    async def test_call_of_another_host_has_no_answer(self, peer):
        kernel = self.host.kernel
        permits = kernel.get(PermitClient)
        question = PermitRequest(target="t", rate=1.0, age=0.0, count=1)
        kernel.get(Neighbours).address_of = {"host-2": peer.address}.get
        for method in ("GET", "POST"):
            with self.assertRaises(PeerError):
                await call_host(kernel, "host-2", method, "/x", CALL_SECONDS)
        with self.assertRaises(PeerError):
            await permits.ask("host-2", question)
        reach = kernel.get(ReachClient)
        self.assertFalse(await reach.reaches_targets("host-2"))

    @with_each_broken_body
    async def test_no_call_waits_for_the_rest_of_a_broken_body(self, peer):
        kernel = self.host.kernel
        kernel.get(Neighbours).address_of = {"host-2": peer.address}.get
        for method in ("GET", "POST"):
            with self.assertRaises(PeerError):
                await call_host(kernel, "host-2", method, "/x", CALL_SECONDS)


class DutyClientTest(unittest.IsolatedAsyncioTestCase):
    @with_each_broken_head
    async def test_outcome_of_a_call_is_unknown(self, peer):
        client = HttpDutyClient(peer.address)
        kernel = Kernel()
        kernel.register(HeldLease())
        kernel.register(client)
        await kernel.start()
        with self.assertRaises(DutyUnknownError):
            await client.report_usage(REPORT, "host-1", kernel.get(Lease).fence)
        await kernel.stop()


class OwnClientsTest(unittest.IsolatedAsyncioTestCase):
    """The clients of the product's own API."""

    async def asyncSetUp(self):
        self.kernel = Kernel()
        self.clients = HttpClients(connect_timeout=1.0)
        self.kernel.register(self.clients)
        await self.kernel.start()
        self.addAsyncCleanup(self.kernel.stop)

    @with_each_broken_head
    async def test_call_of_a_service_may_have_run(self, peer):
        target = ServiceTarget(id="t1", url=f"http://{peer.address}", zone="z1")
        client = HttpServiceClient(target, self.clients, 1.0)
        for repeatable in (False, True):
            with self.assertRaises(TargetFailedError) as caught:
                await client.send(call("GET"), repeatable, CALL_SECONDS)
            self.assertFalse(caught.exception.problem().get("not_run"))

    @with_each_broken_head
    async def test_streams_are_cut_and_reports_and_orders_fail(self, peer):
        client = HttpEngineClient(f"http://{peer.address}", self.clients, CALL_SECONDS)
        order = StreamOrder("s", "w", "p", 8, 1, 0)
        for pieces in (client.generate(order), client.resume("s", 1)):
            with self.assertRaises(StreamCutError):
                async for _ in pieces:
                    continue
        for report in (client.load(), client.state()):
            with self.assertRaises(EngineError):
                await report
        with self.assertRaisesRegex(EngineError, "outcome is unknown"):
            await client.order(VersionOrder("o", 1, "w", 2))
        await client.cancel("s")

    @with_each_broken_head
    async def test_outcome_of_an_append_to_the_log_is_unknown(self, peer):
        kernel = Kernel()
        kernel.register(HttpClients(1.0))
        settings = LogSettings(url=f"http://{peer.address}")
        kernel.register(HttpLog(settings, timeout=CALL_SECONDS))
        await kernel.start()
        with self.assertRaises(AppendUnknownError):
            await kernel.get(Log).append("config", [1])
        with self.assertRaises(LogReadError):
            await kernel.get(Log).read("config", 0, 10, 0)
        await kernel.stop()

    @with_each_broken_head
    async def test_host_list_is_not_read(self, peer):
        hosts = HttpHostList(f"http://{peer.address}", self.clients, CALL_SECONDS)
        with self.assertRaises(HostListError):
            await hosts.read()

    @with_each_broken_head
    async def test_outcome_of_a_change_is_unknown_to_the_command_line(self, peer):
        url = f"http://{peer.address}"
        async with ControlClient([url], timeout=0.1) as control:
            with self.assertRaises(HostsUnreachableError):
                await control.get("/v1/hosts")
            change = ControlRequest("PUT", "/v1/x", body={}, change_id="c")
            with self.assertRaises(ChangeUnknownError):
                await control.send(change)
            with self.assertRaises(HostsUnreachableError):
                async for _ in control.watch("/v1/x", None):
                    continue

    @with_each_broken_body
    async def test_no_call_waits_for_the_rest_of_a_broken_body(self, peer):
        url = f"http://{peer.address}"
        target = ServiceTarget(id="t1", url=url, zone="z1")
        client = HttpServiceClient(target, self.clients, 1.0)
        with self.assertRaises(TargetFailedError):
            await client.send(call("GET"), True, 5.0)
        engine = HttpEngineClient(url, self.clients, 5.0)
        with self.assertRaises(EngineError):
            await engine.load()
        with self.assertRaises(StreamCutError):
            async for _ in engine.resume("s", 1):
                continue
        with self.assertRaises(HostListError):
            await HttpHostList(url, self.clients, 5.0).read()
        async with ControlClient([url], timeout=5.0) as control:
            change = ControlRequest("PUT", "/v1/x", body={}, change_id="c")
            result = await control._send_once(url, change, 5.0)
            self.assertIsInstance(result, ChangeUnknownError)


class OwnApiTest(unittest.IsolatedAsyncioTestCase):
    """Calls through the router of the product's own API."""

    def assert_logged(self, host, name):
        (event,) = host.events_named(name)
        self.assertEqual(event["request"], "r1")
        self.assertIn("target t1", event["reason"])
        self.assertIn("MalformedAnswerError", event["reason"])

    @with_each_broken_head
    async def test_call_that_may_run_once_is_not_sent_again(self, peer):
        broken = ServiceTarget(id="t1", url=f"http://{peer.address}", zone="z1")
        async with TrafficHost() as host, RawTarget(answer()) as sound:
            host.declare(broken, sound.target("t2", "z2"))
            with self.assertRaises(TargetFailedError) as caught:
                await host.send("DELETE")
            self.assertEqual(caught.exception.status, 502)
            self.assertEqual((len(peer.requests), sound.requests), (1, []))
            self.assert_logged(host, "request_unknown")

    @with_each_broken_head
    async def test_repeatable_call_goes_to_another_target(self, peer):
        broken = ServiceTarget(id="t1", url=f"http://{peer.address}", zone="z1")
        async with TrafficHost() as host, RawTarget(answer()) as sound:
            host.declare(broken, sound.target("t2", "z2"))
            self.assertEqual((await host.send("GET")).body, b"ok")
            self.assertEqual((len(peer.requests), len(sound.requests)), (1, 1))
            self.assert_logged(host, "request_retried")
