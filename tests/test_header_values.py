"""Heads that are valid HTTP, but whose values are none of their fields."""

import asyncio
import unittest

import uvloop

from cranberryrun import clock
from cranberryrun.duties.client import (
    DutyConflictError,
    DutyFencedError,
    EngineOrder,
)
from cranberryrun.exceptions import TargetFailedError
from cranberryrun.fleet.address import Address
from cranberryrun.fleet.client import Request, TargetClient
from cranberryrun.fleet.directory import Directory, Target
from cranberryrun.fleet.send_permits import SendPermits
from cranberryrun.http import HttpClients
from cranberryrun.kernel import Kernel
from cranberryrun.platform.duty_client import HttpDutyClient
from cranberryrun.platform.header_names import FENCING_TOKEN

from .doubles import RawTarget, answer
from .test_duty_client import HeldLease
from .test_platform_host import HOST_NAME, TARGET_TOPIC, PlatformTestCase

ORDER = EngineOrder("lm", "a", 6)
SIGNATURE = "X-Cranberryrun-Server-Signature: 1"
# Some of them are too large for a float, for a timer or for an integer.
LARGE_NUMBERS = ("9" * 400, "9" * 300, "9" * 20, "9" * 5000)


class KeepAliveTest(PlatformTestCase):
    def prepare(self, host, name):
        # Idle connections are looked for often.
        host.kernel.get(HttpClients)._idle = 0.05

    async def test_timeout_of_one_target_breaks_no_connection(self):
        client = self.host.kernel.get(TargetClient)
        for seconds in LARGE_NUMBERS:
            with self.subTest(digits=len(seconds)):
                keep_alive = f"Keep-Alive: timeout={seconds}"
                async with RawTarget(
                    answer(b"ok", "200 OK", SIGNATURE, keep_alive)
                ) as raw:
                    address = Address.parse(raw.url.removeprefix("http://"))
                    target = Target("t", "portal", address, "a", 4, False, 1, 1, {})
                    for _ in range(3):
                        await asyncio.sleep(0.1)
                        request = Request("r", "GET", "/x", (), b"", clock.now() + 1.0)
                        self.assertEqual(
                            (await client.send(target, request)).body, b"ok"
                        )
                status, _, _ = await self.request("GET", "/status/x", seconds[:20])
                self.assertEqual(status, 200)


class TextTest(PlatformTestCase):
    async def test_value_outside_utf8_is_passed_on_unchanged(self):
        """Any byte from 128 on is valid in a value (RFC 9110, section 5.5)."""

        async def answer_in_latin_1(writer):
            head = f"HTTP/1.1 200 OK\r\n{SIGNATURE}\r\nX-Own: caf\xe9\r\n"
            writer.write(head.encode("latin-1") + b"Content-Length: 2\r\n\r\nok")

        async with RawTarget(answer_in_latin_1) as raw:
            entry = self.portals[0].entry()
            entry["address"] = raw.url.removeprefix("http://")
            for portal in self.portals:
                self.store.put(TARGET_TOPIC, portal.id, None)
            self.store.put(TARGET_TOPIC, "raw", entry)
            directory = self.host.kernel.get(Directory)
            await self.wait_until(
                lambda: [t.id for t in directory.targets_of("portal")] == ["raw"]
            )
            host, port = self.url.removeprefix("http://").split(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(
                f"GET /status/x HTTP/1.1\r\nHost: {HOST_NAME}\r\n\r\n".encode()
            )
            head = await reader.readuntil(b"\r\n\r\n")
            writer.close()
        self.assertIn(b"X-Own: caf\xe9\r\n", head)


class RepeatedFieldTest(PlatformTestCase):
    """Fields that decide whose an answer is, or what it says, with two values."""

    REPEATED = (
        ("X-Cranberryrun-Attempt-Id: r", "X-Cranberryrun-Attempt-Id: other"),
        (SIGNATURE, "X-Cranberryrun-Server-Signature: 2"),
        ("X-Cranberryrun-Weight-Versions: 1", "X-Cranberryrun-Weight-Versions: 2"),
        ("Server-Limit: 0.001", "Server-Limit: 5"),
    )

    async def test_answer_with_two_values_is_none(self):
        client = self.host.kernel.get(TargetClient)
        directory = self.host.kernel.get(Directory)
        for lines in self.REPEATED:
            with self.subTest(lines[0]):
                claims = (SIGNATURE, "Server-Leaving: 1", *lines)
                async with RawTarget(answer(b"ok", "200 OK", *claims)) as raw:
                    address = Address.parse(raw.url.removeprefix("http://"))
                    target = Target(lines[0], "x", address, "a", 4, False, 1, 1, {})
                    directory.target_by_id[target.id] = target
                    request = Request("r", "GET", "/x", (), b"", clock.now() + 1.0)
                    with self.assertRaisesRegex(TargetFailedError, "two values"):
                        await client.send(target, request)
                self.assertFalse(directory.target_by_id[target.id].draining)
                self.assertIsNone(self.host.kernel.get(SendPermits).limit_of(target.id))

    async def test_same_value_twice_is_one(self):
        client = self.host.kernel.get(TargetClient)
        async with RawTarget(answer(b"ok", "200 OK", SIGNATURE, SIGNATURE)) as raw:
            address = Address.parse(raw.url.removeprefix("http://"))
            target = Target("t", "x", address, "a", 4, False, 1, 1, {})
            request = Request("r", "GET", "/x", (), b"", clock.now() + 1.0)
            self.assertEqual((await client.send(target, request)).body, b"ok")


class KeepAliveTimerTest(unittest.TestCase):
    def test_connections_are_kept_under_uvloop(self):
        async def call():
            async with RawTarget(answer()) as raw:
                clients = HttpClients(1.0)
                await clients.start()
                for seconds in LARGE_NUMBERS:
                    clients.apply_keepalive_timeout(float(seconds))
                    async with clients.shared.get(raw.url) as response:
                        await clients.read(response)
                await clients.stop()
                return raw.connections

        self.assertEqual(uvloop.run(call()), 1)


class FencingTokenTest(unittest.IsolatedAsyncioTestCase):
    async def test_refusal_with_a_number_that_is_no_token(self):
        for token in LARGE_NUMBERS:
            with self.subTest(digits=len(token)):
                refusal = answer(b"", "409 Conflict", f"{FENCING_TOKEN}: {token}")
                async with RawTarget(refusal) as raw:
                    client = HttpDutyClient(raw.url.removeprefix("http://"))
                    kernel = Kernel()
                    kernel.register(HeldLease())
                    kernel.register(client)
                    await kernel.start()
                    with self.assertRaises(DutyConflictError) as caught:
                        await client.order_engines(ORDER, "host-1", 5)
                    self.assertNotIsInstance(caught.exception, DutyFencedError)
                    await kernel.stop()
