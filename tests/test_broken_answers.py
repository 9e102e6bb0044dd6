"""Every client that reads answers, against peers whose answers are not valid HTTP."""

import asyncio
import functools
import itertools
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
from standins.broken_target import BROKEN_ANSWERS, BrokenTarget

from .doubles import call
from .test_duty_client import REPORT, HeldLease
from .test_endless_answers import EndlessAnswerTestCase
from .test_platform_host import PlatformTestCase

CALL_SECONDS = 1.0


def with_each_peer(test):
    """Run ``test`` with a peer for each fault; it must close its connections."""

    @functools.wraps(test)
    async def run(self):
        for fault, claims in itertools.product(BROKEN_ANSWERS, (False, True)):
            peer = BrokenTarget(f"{fault} {claims}", fault, claims)
            await peer.start()
            with self.subTest(fault=fault, claims=claims):
                await test(self, peer)
                async with asyncio.timeout(1.0):
                    while peer.open_connections:
                        await asyncio.sleep(0.01)
            await peer.stop()

    return run


class TargetClientTest(EndlessAnswerTestCase):
    @with_each_peer
    async def test_no_call_gets_an_answer_and_no_claim_is_believed(self, peer):
        directory = self.host.kernel.get(Directory)
        permits = self.host.kernel.get(SendPermits)
        target = Target(peer.id, "portal", peer.address, "a", 4, False, 1, 1, {})
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


class StoreClientTest(PlatformTestCase):
    @with_each_peer
    async def test_reads_fail_and_outcomes_of_writes_are_unknown(self, peer):
        store = self.host.kernel.get(StoreClient)
        for method, error_type in (
            ("GET", LogReadError),
            ("POST", AppendUnknownError),
        ):
            with self.assertRaises(error_type):
                await store.send_call(peer.address, method, "/v1/x", b"")


class NeighbourClientTest(PlatformTestCase):
    @with_each_peer
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


class DutyClientTest(unittest.IsolatedAsyncioTestCase):
    @with_each_peer
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

    @with_each_peer
    async def test_call_of_a_service_may_have_run(self, peer):
        target = ServiceTarget(id="t1", url=f"http://{peer.address}", zone="z1")
        client = HttpServiceClient(target, self.clients, 1.0)
        for repeatable in (False, True):
            with self.assertRaises(TargetFailedError) as caught:
                await client.send(call("GET"), repeatable, CALL_SECONDS)
            self.assertFalse(caught.exception.problem().get("not_run"))

    @with_each_peer
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

    @with_each_peer
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

    @with_each_peer
    async def test_host_list_is_not_read(self, peer):
        hosts = HttpHostList(f"http://{peer.address}", self.clients, CALL_SECONDS)
        with self.assertRaises(HostListError):
            await hosts.read()

    @with_each_peer
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
