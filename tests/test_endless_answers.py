"""Targets and stores that send bytes without end, in a head or a body."""

import asyncio
import time
import unittest
import unittest.mock
from dataclasses import replace

from cranberryrun import clock
from cranberryrun.answer_memory import AnswerMemory
from cranberryrun.batches.models import Item
from cranberryrun.exceptions import (
    AppendUnknownError,
    LogReadError,
    OutcomeUnknownError,
    TargetFailedError,
)
from cranberryrun.fleet.address import Address
from cranberryrun.fleet.client import (
    LoadOrder,
    MalformedStreamError,
    Request,
    TargetClient,
)
from cranberryrun.fleet.directory import Directory, Target
from cranberryrun.http import HttpClients
from cranberryrun.platform import item_stream
from cranberryrun.platform.event_parser import EventParser
from cranberryrun.platform.store_client import StoreClient
from cranberryrun.turns import Turns
from fakes.deployment import reward_call
from standins.endless_target import ENDLESS_ANSWERS, EndlessTarget

from .test_platform_host import ATTEMPT_ID, PlatformTestCase

CALL_SECONDS = 1.0
ITEM = Item("i", "g", "/x", {}, b"", 1.0)
FAULTS_OF_THE_HEAD = {
    "status line",
    "header line",
    "header lines",
    "interim answers",
    "interim answers with headers",
    "garbage",
}
# A tenth of the memory of the smallest host.
ANSWER_BYTES = 12_800_000


class EndlessAnswerTestCase(PlatformTestCase):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.client = self.host.kernel.get(TargetClient)
        self.endless_targets = []

    async def start_target(self, fault, trickle_seconds=0.0):
        endless = EndlessTarget(fault, trickle_seconds)
        await endless.start()
        self.addAsyncCleanup(endless.stop)
        self.endless_targets.append(endless)
        return Target(
            "t", "portal", Address.parse(endless.address), "a", 4, False, 1, 1, {}
        )

    def calls(self, target):
        """Return one call of each kind, by name."""
        deadline = clock.now() + CALL_SECONDS
        headers = ((ATTEMPT_ID, "r"),)
        request = Request("r", "GET", "/x", headers, b"", deadline)
        order = LoadOrder("m", 2, "host-1", 1, 0, True)
        return {
            "request": self.client.send(target, request),
            "stream": self.read(self.client.stream(target, request, None)),
            "item": self.read(self.client.run(target, "h", ITEM, 1, 0, deadline)),
            "reward call": self.client.score(target, reward_call("i"), deadline),
            "report": self.client.report(target),
            "order": self.client.order(target, order),
        }

    async def read(self, parts):
        async for _ in parts:
            continue


class EveryCallTest(EndlessAnswerTestCase):
    async def test_call_fails_in_time_and_its_connection_is_closed(self):
        for fault in ENDLESS_ANSWERS:
            with self.subTest(fault=fault):
                await self.assert_all_fail(await self.start_target(fault), fault)

    async def test_call_fails_in_time_when_single_bytes_arrive_now_and_then(self):
        for fault in ("header line", "body without length", "event"):
            target = await self.start_target(fault, trickle_seconds=0.1)
            with self.subTest(fault=fault):
                await self.assert_all_fail(target, fault)

    async def assert_all_fail(self, target, fault):
        calls = self.calls(target)
        if fault not in FAULTS_OF_THE_HEAD:
            # The answer to an order is complete with its head.
            await calls.pop("order")
        started_at = time.monotonic()
        errors = await asyncio.gather(*calls.values(), return_exceptions=True)
        self.assertLess(time.monotonic() - started_at, CALL_SECONDS + 0.5)
        for kind, error in zip(calls, errors):
            self.assertIsInstance(error, OutcomeUnknownError, kind)
        endless = self.endless_targets[-1]
        await self.wait_until(lambda: endless.open_connections == 0, 1.0)


class MemoryTest(EndlessAnswerTestCase):
    """Many endless answers at once, beside sound ones."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        clients = self.host.kernel.get(HttpClients)
        clients._answers = AnswerMemory(ANSWER_BYTES)

    async def test_endless_answers_fail_early_and_sound_ones_arrive(self):
        target = await self.start_target("long body")
        sound = self.host.kernel.get(Directory).target_by_id["p0"]
        deadline = clock.now() + 20.0
        request = Request("r", "GET", "/x", (), b"", deadline)
        headers = (("X-Cranberryrun-Attempt-Id", "r"),)
        sound_request = Request("r", "GET", "/x", headers, b"", deadline)
        endless = [
            asyncio.create_task(self.client.send(target, request)) for _ in range(40)
        ]
        for _ in range(10):
            answer = await self.client.send(sound, sound_request)
            self.assertEqual(answer.status, 200)
        for error in await asyncio.gather(*endless, return_exceptions=True):
            self.assertIsInstance(error, TargetFailedError)
        # They end by their size, long before their deadline.
        self.assertLess(clock.now(), deadline - 5.0)
        sent = self.endless_targets[-1].sent_bytes
        # Beside what is counted, each connection has buffers on both sides.
        self.assertLess(sent, 40 * (ANSWER_BYTES + 4_000_000))

    async def test_output_of_an_item_is_bounded(self):
        events = "".join(f"id: {n}\ndata: {'x' * 9_000}\n\n" for n in range(1, 200))
        call = self.call_with(events.encode())
        size = 0
        with self.assertRaises(MalformedStreamError):
            async for piece in item_stream.read_pieces(call, ITEM, 0, Turns()):
                size += len(piece.text)
        self.assertGreater(size, 900_000)
        self.assertLess(size, 1_000_000)

    async def test_events_of_an_item_are_bounded_by_its_tokens(self):
        events = "".join(f"id: {n}\ndata:\n\n" for n in range(1, 2000))
        item = replace(ITEM, max_output_tokens=400.0)
        count = 0
        with self.assertRaises(MalformedStreamError):
            async for _ in item_stream.read_pieces(
                self.call_with(events.encode()), item, 0, Turns()
            ):
                count += 1
        self.assertGreater(count, 400)
        self.assertLess(count, 1000)

    def call_with(self, body):
        """Return an answered call; a mock of ``chunks`` would yield nothing."""
        call = unittest.mock.MagicMock()
        call.response.headers = {"X-Cranberryrun-Weight-Versions": "1"}

        async def chunks():
            for position in range(0, len(body), 16_384):
                yield body[position : position + 16_384]

        call.chunks = chunks
        return call


class StoreTest(EndlessAnswerTestCase):
    """The store, or a neighbour that relays to it, answers without end."""

    async def test_calls_fail_in_time(self):
        store = self.host.kernel.get(StoreClient)
        for fault in ("header line", "long body", "interim answers", "garbage"):
            await self.start_target(fault)
            endless = self.endless_targets[-1]
            for method, error_type in (
                ("GET", LogReadError),
                ("POST", AppendUnknownError),
            ):
                with self.subTest(fault=fault, method=method):
                    with self.assertRaises(error_type):
                        await store.send_call(endless.address, method, "/v1/x", b"")
                    await self.wait_until(lambda: endless.open_connections == 0, 1.0)


class ParserTest(unittest.TestCase):
    def test_event_without_end_is_bounded(self):
        parser = EventParser()
        with self.assertRaises(MalformedStreamError):
            for _ in range(1000):
                parser.feed(b"data: " + b"x" * 16_384)

    def test_separator_that_is_split_over_two_chunks_ends_the_event(self):
        parser = EventParser()
        events = parser.feed(b"id: 1\ndata: a\n") + parser.feed(b"\nid: 2")
        self.assertEqual([event.data for event in events], ["a"])
        self.assertTrue(parser.has_partial_event)
