"""Calls whose connection breaks are sent again by the callers of the clients only."""

from contextlib import suppress
from unittest.mock import patch

from cranberryrun import clock
from cranberryrun.batches.models import Item
from cranberryrun.ctl_client import ControlClient, Request as ControlRequest
from cranberryrun.ctl_errors import ChangeUnknownError, ControlError
from cranberryrun.exceptions import (
    AppendUnknownError,
    CranberryrunError,
    OutcomeUnknownError,
    PeerError,
    TargetFailedError,
)
from cranberryrun.fleet.address import Address
from cranberryrun.fleet.client import (
    ConnectionLostError,
    LoadOrder,
    Request,
    TargetClient,
)
from cranberryrun.fleet.directory import Target
from cranberryrun.fleet.neighbours import Neighbours
from cranberryrun.fleet.target_paths import TargetPaths
from cranberryrun.http import HttpClients
from cranberryrun.models import ServiceTarget
from cranberryrun.platform.host_calls import call_host
from cranberryrun.platform.store_client import StoreClient
from cranberryrun.services import Call, HttpServiceClient
from fakes.deployment import reward_call
from standins.breaking_peer import BreakingPeer

from .test_platform_host import PlatformTestCase

METHODS = ("POST", "PUT", "DELETE", "GET", "HEAD", "OPTIONS")
BREAKS = ("reset", "crash")
CALL_SECONDS = 1.0


class UnsafeRequestTest(PlatformTestCase):
    async def test_request_runs_once_when_its_connection_is_reset(self):
        # Guards against TWICE: aiohttp sent requests with idempotent methods again.
        for method in METHODS:
            with self.subTest(method=method):
                for portal in self.portals:
                    portal.script.clear()
                for number in range(4):
                    await self.request("POST", "/hold/x", f"w{method}{number}")
                self.script_portals("reset")
                status, _, _ = await self.request(method, "/hold/x", method)
                runs = [
                    portal.executed_requests.count(method) for portal in self.portals
                ]
                self.assertEqual(sum(runs), 1)
                self.assertEqual(status, 502)


class BreakingPeerTestCase(PlatformTestCase):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.client = self.host.kernel.get(TargetClient)
        self.clients = self.host.kernel.get(HttpClients)

    async def start_peer(self, fault):
        """Start a peer to which a connection is kept; the next request there fails."""
        peer = BreakingPeer()
        await peer.start()
        self.addAsyncCleanup(peer.stop)
        async with self.clients.shared.get(f"http://{peer.address}/") as response:
            await self.clients.read(response)
        peer.break_next(fault)
        return peer

    def target_calls(self):
        """Return functions that make each kind of call to a target, by name."""
        deadline = clock.now() + CALL_SECONDS
        item = Item("i", "g", "/x", {}, b"", 1.0)
        order = LoadOrder("m", 2, "host-1", 1, 0, True)
        client = self.client
        calls = {
            "stream": lambda target: self.read(
                client.stream(target, self.caller_request("PUT"), None)
            ),
            "item": lambda target: self.read(
                client.run(target, "h", item, 1, 0, deadline)
            ),
            "reward call": lambda target: client.score(
                target, reward_call("i"), deadline
            ),
            "order": lambda target: client.order(target, order),
        }
        for method in METHODS:
            request = self.caller_request(method)
            calls[method] = lambda target, request=request: client.send(target, request)
        return calls

    def caller_request(self, method):
        return Request("r", method, "/x", (), b"hi", clock.now() + CALL_SECONDS)

    async def read(self, parts):
        async for _ in parts:
            continue


class TargetCallTest(BreakingPeerTestCase):
    async def test_call_is_sent_once_and_may_have_run_when_its_connection_breaks(self):
        # Guards against TWICE and REFUSED: a refused second connection counted as
        # nothing sent, so that another target ran the request, too.
        for fault in BREAKS:
            for kind, call in self.target_calls().items():
                with self.subTest(fault=fault, kind=kind):
                    peer = await self.start_peer(fault)
                    target = Target(
                        "t",
                        "portal",
                        Address.parse(peer.address),
                        "a",
                        4,
                        False,
                        1,
                        1,
                        {},
                    )
                    with self.assertRaises(OutcomeUnknownError):
                        await call(target)
                    self.assertEqual(len(peer.requests), 1)

    async def test_redirect_is_not_followed(self):
        for kind, call in self.target_calls().items():
            with self.subTest(kind=kind):
                peer = await self.start_peer("redirect")
                target = Target(
                    "t", "portal", Address.parse(peer.address), "a", 4, False, 1, 1, {}
                )
                with suppress(CranberryrunError):
                    await call(target)
                self.assertEqual(len(peer.requests), 1)

    async def test_call_is_passed_on_by_one_neighbour_that_ends_meanwhile(self):
        paths = self.host.kernel.get(TargetPaths)
        for method in ("POST", "PUT"):
            first, second = await self.start_peer("crash"), await self.start_peer("")
            address_by_host = {"n1": first.address, "n2": second.address}
            with (
                self.subTest(method=method),
                patch.object(TargetPaths, "doubtful", True),
                patch.object(paths, "relays", self.relays),
                patch.object(Neighbours, "address_of", lambda _, h: address_by_host[h]),
            ):
                target = Target(
                    "t", "portal", Address("127.0.0.1", 1), "a", 4, False, 1, 1, {}
                )
                with self.assertRaises(ConnectionLostError):
                    await self.client.send(target, self.caller_request(method))
                self.assertEqual((len(first.requests), second.requests), (1, []))

    async def relays(self):
        return ["n1", "n2"]


class OtherClientsTest(BreakingPeerTestCase):
    async def test_append_is_sent_once(self):
        store = self.host.kernel.get(StoreClient)
        for fault in BREAKS:
            with self.subTest(fault=fault):
                peer = await self.start_peer(fault)
                with self.assertRaises(AppendUnknownError):
                    await store.send_call(peer.address, "POST", "/v1/x", b"hi")
                self.assertEqual(len(peer.requests), 1)

    async def test_redirect_of_the_store_is_not_followed(self):
        store = self.host.kernel.get(StoreClient)
        for method in ("POST", "GET"):
            with self.subTest(method=method):
                peer = await self.start_peer("redirect")
                status, _ = await store.send_call(peer.address, method, "/v1/x", b"")
                self.assertEqual((status, len(peer.requests)), (307, 1))

    async def test_read_of_the_store_outlives_a_kept_connection(self):
        store = self.host.kernel.get(StoreClient)
        peer = await self.start_peer("reset")
        status, _ = await store.send_call(peer.address, "GET", "/v1/x", b"")
        self.assertEqual((status, len(peer.requests)), (200, 2))

    async def test_question_to_a_host_is_sent_once_and_redirects_are_not_followed(self):
        kernel = self.host.kernel
        for fault in ("reset", "crash", "redirect"):
            peer = await self.start_peer(fault)
            with (
                self.subTest(fault=fault),
                patch.object(Neighbours, "address_of", lambda *_: peer.address),
            ):
                try:
                    status, _ = await call_host(kernel, "h", "POST", "/permits", 1.0)
                    self.assertEqual(status, 307)
                except PeerError:
                    self.assertIn(fault, BREAKS)
                self.assertEqual(len(peer.requests), 1)

    async def test_call_to_a_service_may_have_run_when_its_connection_breaks(self):
        for fault in BREAKS:
            with self.subTest(fault=fault):
                peer = await self.start_peer(fault)
                target = ServiceTarget(id="t", url=f"http://{peer.address}", zone="a")
                client = HttpServiceClient(target, self.clients, 1.0)
                call = Call("s", "PUT", "x", "r", "c", clock.now() + CALL_SECONDS)
                with self.assertRaises(TargetFailedError):
                    await client.send(call, repeatable=True, idle_timeout=1.0)
                self.assertEqual(len(peer.requests), 1)

    async def test_outcome_of_a_change_is_unknown_when_its_connection_breaks(self):
        change = ControlRequest("PUT", "/x", body={})
        for fault in ("crash", "redirect"):
            peer = await self.start_peer("")
            url = f"http://{peer.address}"
            with self.subTest(fault=fault):
                async with ControlClient([url], timeout=0.1) as control:
                    await control.get("/x")
                    peer.break_next(fault)
                    with self.assertRaises(ControlError) as caught:
                        await control.send(change)
                if fault == "crash":
                    self.assertIsInstance(caught.exception, ChangeUnknownError)
                self.assertEqual(len(peer.requests), 1)
