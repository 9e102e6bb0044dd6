"""Tests of calls between hosts over real connections, with malformed input."""

import asyncio
import logging
import socket
import unittest

from cranberryrun.exceptions import KernelError, PeerError, PeerRefusedError
from cranberryrun.membership import HostEntry, Membership
from cranberryrun.peer_server import PeerServer
from cranberryrun.peers import Peers, facts_from_wire, wire

from .fleet import Fleet

_GARBAGE = (
    b"GET / HTTP/1.1\r\nHost: x\r\n\r\n",
    b"\x80\x01\x00\x01\xff\xff\xff\xff",
    b"\x80\x01\x00\x01\x7f\xff\xff\xff" + b"x" * 64,
    b"\x80\x01\x00\x01\x00\x00\x00\x03foo\x00\x00\x00\x00\x00",
    b"\x80\x01\x00\x01\x00\x00\x00\x08exchange\x00\x00\x00\x00\x0c\x00\x01\x00\x00",
    bytes(range(256)) * 8,
)


class PeersTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.fleet = Fleet(2)
        cls.fleet.__enter__()
        cls.one, cls.two = cls.fleet.host_by_id.values()

    @classmethod
    def tearDownClass(cls):
        cls.fleet.__exit__()

    def call(self, method, *arguments):
        """Call the second host's peer port from the first host."""
        entry = self.one.kernel.get(Membership).entry_by_id["host-2"]
        peers = self.one.kernel.get(Peers)
        return self.fleet.run(peers.call(entry, method, *arguments))

    def test_host_keeps_serving_after_garbage_on_the_peer_port(self):
        address = (self.two.settings.ip, self.two.settings.peer_port)
        for data in _GARBAGE:
            with socket.create_connection(address, timeout=2) as connection:
                connection.sendall(data)
        self.assertTrue(self.call("snapshot").ready)

    def test_host_refuses_incomplete_messages_and_keeps_serving(self):
        for method, *arguments in (
            ("exchange", wire.Exchange()),
            ("exchange", wire.Exchange(sender="x", facts=[wire.Fact()])),
            ("call", wire.KeyedCall()),
        ):
            with self.assertRaises(PeerError):
                self.call(method, *arguments)
        for selection in ("x", "[]", '{"color": 1}'):
            with self.assertRaises(PeerError):
                self.call("events", -1, 5, selection)
        self.assertEqual(self.call("records", None, None).records, [])
        self.assertEqual(self.call("records", -5, -5).records, [])
        self.assertEqual(self.call("events", None, None, None).last, -1)
        self.assertTrue(self.call("snapshot").ready)

    def test_malformed_facts_are_skipped(self):
        valid = wire.Fact(kind=1, name="host-9", incarnation=1, value=0)
        malformed = [
            wire.Fact(),
            wire.Fact(kind=99, name="x", incarnation=1, value=1),
            wire.Fact(kind=1, name=b"\xff", incarnation=1, value=1),
            wire.Fact(kind=1, name="", incarnation=1, value=1),
            wire.Fact(kind=1, name="x", incarnation=1),
        ]
        self.assertEqual(len(facts_from_wire([*malformed, valid])), 1)
        self.assertEqual(facts_from_wire(None), [])

    def test_refused_connection_raises_peer_refused_error(self):
        entry = HostEntry(id="host-9", kind="entry", ip="127.0.0.1", peer_port=1)
        with self.assertRaises(PeerRefusedError):
            self.fleet.run(self.one.kernel.get(Peers).call(entry, "snapshot"))


class PeerServerTest(unittest.IsolatedAsyncioTestCase):
    async def test_stop_leaves_no_traceback_and_no_task(self):
        server = PeerServer(wire.Peer, object())
        await server.start("127.0.0.1", 0)
        address = server.address
        reader, writer = await asyncio.open_connection(*address)
        await asyncio.sleep(0.05)
        with self.assertNoLogs(logging.getLogger("asyncio"), logging.ERROR):
            await server.stop()
            await asyncio.sleep(0.05)
        self.assertEqual(await reader.read(), b"")
        writer.close()
        remaining = asyncio.all_tasks() - {asyncio.current_task()}
        self.assertEqual(remaining, set())

    async def test_kernel_error_when_the_address_is_in_use(self):
        first, second = (PeerServer(wire.Peer, object()) for _ in range(2))
        await first.start("127.0.0.1", 0)
        with self.assertRaises(KernelError):
            await second.start(*first.address)
        await first.stop()
