"""Hosts whose targets send answers that are not valid HTTP: what callers get."""

import asyncio
import contextlib
import itertools
import json
import re
import time

import aiohttp

from cranberryrun.events import Events
from cranberryrun.fleet.directory import Directory
from cranberryrun.fleet.target_paths import TargetPaths
from cranberryrun.requests.forwarder import Forwarder
from standins.broken_target import BROKEN_BODIES, BrokenTarget
from standins.platform_target import PlatformTarget
from standins.target_link import Cut, TargetLink

from .test_cut_host import CutHostTestCase
from .test_platform_host import (
    ATTEMPT_ID,
    DEADLINE_MS,
    HOST_NAME,
    OPERATOR_TOPIC,
    TARGET_TOPIC,
    PlatformTestCase,
    manifest,
    route,
    submission,
)

# One for each part of an answer; the tests of the clients have all faults.
FAULTS = (
    "status 000",
    "status 101",
    "coding before blank",
    "folded length",
    "value with control",
    "transfer coding gzip",
    "length of 64 bits",
)
# Hosts choose among equal targets at random.
MAX_REQUESTS = 30
ROUTES = [
    route("once", "unsafe", "faulty"),
    route("again", "safe", "faulty"),
    route("live", "streaming", "faulty"),
    route("resumed", "streaming", "faulty", resumable=True),
]


class BrokenTargetMixin:
    """Registers targets of the service ``faulty``."""

    async def use_routes(self, *hosts):
        self.numbers = itertools.count()
        self.store.put(OPERATOR_TOPIC, "config", manifest(3, routes=ROUTES))
        for host in hosts:
            directory = host.kernel.get(Directory)
            await self.wait_until(lambda: directory.manifest.version == 3)

    @contextlib.asynccontextmanager
    async def broken_target(self, fault, *hosts, claims=False, service="faulty"):
        """Run a target whose answers have ``fault``; the block gets it."""
        # Hosts remember the failures of a target by its id.
        target = BrokenTarget(f"b{next(self.numbers)}", fault, claims)
        await target.start()
        entry = PlatformTarget(target.id, service, "m").entry()
        entry["address"] = target.address
        await self.register(target.id, entry, hosts)
        try:
            yield target
        finally:
            await self.register(target.id, None, hosts)
            await target.stop()

    async def register(self, target_id, entry, hosts):
        self.store.put(TARGET_TOPIC, target_id, entry)
        for host in hosts:
            target_by_id = host.kernel.get(Directory).target_by_id
            await self.wait_until(lambda: (target_id in target_by_id) == bool(entry))

    def request_ids(self, target, done=None):
        """Yield an id for each request until ``done`` returns true.

        By default, until an attempt at ``target`` failed; a second attempt may be
        quicker than a broken answer.
        """
        for number in range(MAX_REQUESTS):
            yield f"{number} {target.id}"
            if done() if done else self.failures(self.host, target):
                return
        self.fail("no request got the broken answer")

    def failures(self, host, target):
        """Return the events of failed attempts at ``target``."""
        return [
            event
            for event in host.kernel.get(Events).after(-1)
            if event.kind.name == "target_failed"
            and event.fields["target"] == target.id
        ]

    def assert_logged(self, host, request_id, target):
        (event,) = [
            event
            for event in self.failures(host, target)
            if event.fields["request"] == request_id
        ]
        self.assertIn("MalformedAnswerError", event.fields["reason"])


class BrokenTargetTestCase(BrokenTargetMixin, PlatformTestCase):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        await self.use_routes(self.host)

    async def add_sound_target(self, service="faulty", model=None):
        sound = PlatformTarget("s0", service, model)
        await sound.start()
        self.addAsyncCleanup(sound.stop)
        await self.register("s0", sound.entry(), [self.host])
        return sound

    async def assert_closed(self, target):
        await self.wait_until(lambda: target.open_connections == 0, 1.0)

    async def read_cut_stream(self, request_id, path="/resumed/x"):
        """Return what arrives of a stream whose targets do not complete it."""
        headers = {"Host": HOST_NAME, ATTEMPT_ID: request_id, DEADLINE_MS: "3000"}
        body = b""
        async with self.session.post(self.url + path, headers=headers) as response:
            self.assertEqual(response.status, 200)
            with self.assertRaises(aiohttp.ClientPayloadError):
                async for chunk in response.content.iter_any():
                    body += chunk
        return body


class BrokenHeadTest(BrokenTargetTestCase):
    async def test_request_that_may_run_once_gets_502(self):
        for fault in FAULTS:
            for path in ("/once/x", "/live/x"):
                request_id = f"{fault}{path}"
                with self.subTest(fault=fault, path=path):
                    async with self.broken_target(fault, self.host) as target:
                        status, _, body = await self.request("POST", path, request_id)
                        self.assertEqual(status, 502)
                        self.assertFalse(json.loads(body).get("not_run"))
                        self.assertEqual(len(target.requests), 1)
                        self.assert_logged(self.host, request_id, target)
                        await self.assert_closed(target)

    async def test_claims_of_a_broken_answer_are_not_passed_on(self):
        for fault in FAULTS:
            with self.subTest(fault=fault):
                async with self.broken_target(fault, self.host, claims=True) as target:
                    status, headers, _ = await self.request("POST", "/once/x", fault)
                    self.assertEqual(status, 502)
                    self.assertNotIn("Retry-After", headers)
                    self.assertNotIn("X-Cranberryrun-Not-Executed", headers)
                    self.assertEqual(len(target.requests), 1)

    async def test_repeatable_request_goes_to_another_target(self):
        sound = await self.add_sound_target()
        for fault in FAULTS:
            with self.subTest(fault=fault):
                async with self.broken_target(fault, self.host) as target:
                    for request_id in self.request_ids(target):
                        status, headers, body = await self.request(
                            "POST", "/again/x", request_id, data=b"hi"
                        )
                        self.assertEqual((status, body), (200, b"answer to hi"))
                        self.assertIn("s0.", headers["X-Cranberryrun-Server-Signature"])
                    self.assertIn(request_id, sound.executed_requests)
                    self.assert_logged(self.host, request_id, target)
                    await self.assert_closed(target)

    async def test_repeatable_request_without_another_target_gets_502(self):
        for fault in FAULTS:
            with self.subTest(fault=fault):
                async with (
                    self.broken_target(fault, self.host) as first,
                    self.broken_target(fault, self.host) as second,
                ):
                    status, _, _ = await self.request("GET", "/again/x", fault)
                    self.assertEqual(status, 502)
                    # The route allows two attempts.
                    self.assertEqual(len(first.requests + second.requests), 2)

    async def test_resumable_stream_begins_at_another_target(self):
        sound = await self.add_sound_target(model="m")
        for fault in FAULTS:
            with self.subTest(fault=fault):
                async with self.broken_target(fault, self.host) as target:
                    for request_id in self.request_ids(target):
                        status, _, body = await self.request(
                            "POST", "/resumed/x", request_id
                        )
                        self.assertEqual(status, 200)
                        self.assertEqual(body.count(request_id.encode()), 6)
                        self.assertNotIn(b"broken", body)
                    self.assertIn(request_id, sound.executed_requests)
                    self.assert_logged(self.host, request_id, target)

    async def test_resumed_stream_does_not_go_on_with_a_broken_answer(self):
        sound = await self.add_sound_target(model="m")
        for fault in FAULTS:
            with self.subTest(fault=fault):
                async with self.broken_target(fault, self.host) as target:
                    for request_id in self.request_ids(target, lambda: target.resumed):
                        sound.script.append("cut")
                        body = await self.read_cut_stream(request_id)
                        self.assertNotIn(b"broken", body)
                        sound.script.clear()
                    self.assert_logged(self.host, target.resumed[0], target)

    async def test_item_is_run_again(self):
        for number, fault in enumerate(FAULTS):
            with self.subTest(fault=fault):
                batch = submission()
                for item in batch["items"]:
                    item["id"] += f"-{number}"
                async with self.broken_target(
                    fault, self.host, claims=True, service="lm"
                ) as target:
                    await self.run_batch(f"batch-{number}", batch, target)

    async def run_batch(self, batch_id, batch, target):
        status, _, _ = await self.request("POST", "/rollout/x", batch_id, json=batch)
        self.assertEqual(status, 202)
        results = await self.results(batch_id, len(batch["items"]))
        for result in results:
            expected = [f"{result['id']}/{number}" for number in range(1, 7)]
            self.assertEqual(result["state"], "succeeded")
            self.assertEqual(result["text"].split("\n"), expected)
        runs = [
            event.fields
            for event in self.host.kernel.get(Events).after(-1)
            if event.kind.name == "item_run" and event.fields["engine"] == target.id
        ]
        self.assertTrue(runs)
        self.assertEqual({run["sample"] for run in runs}, set(target.requests))
        for run in runs:
            self.assertIn("MalformedAnswerError", run["outcome"])

    async def results(self, batch_id, count):
        async with asyncio.timeout(10.0):
            while True:
                _, _, body = await self.request("GET", f"/v1/lots/{batch_id}?after=0")
                results = json.loads(body)["results"]
                if len(results) == count:
                    return results
                await asyncio.sleep(0.05)


class BrokenBodyTest(BrokenTargetTestCase):
    """The body breaks after its head and its first event arrived."""

    async def test_request_is_answered_long_before_its_deadline(self):
        sound = await self.add_sound_target()
        for fault in BROKEN_BODIES:
            with self.subTest(fault=fault):
                async with self.broken_target(fault, self.host) as target:
                    for request_id in self.request_ids(target):
                        started_at = time.monotonic()
                        status, _, body = await self.request(
                            "POST", "/again/x", request_id, data=b"hi"
                        )
                        self.assertEqual((status, body), (200, b"answer to hi"))
                        self.assertLess(time.monotonic() - started_at, 1.0)
                    self.assertIn(request_id, sound.executed_requests)
                    self.assert_logged(self.host, request_id, target)

    async def test_request_that_may_run_once_gets_502(self):
        for fault in BROKEN_BODIES:
            with self.subTest(fault=fault):
                async with self.broken_target(fault, self.host) as target:
                    started_at = time.monotonic()
                    status, _, _ = await self.request("POST", "/once/x", fault)
                    self.assertEqual(status, 502)
                    self.assertLess(time.monotonic() - started_at, 1.0)
                    self.assert_logged(self.host, fault, target)
                    await self.assert_closed(target)

    async def test_stream_is_broken_off(self):
        for fault in BROKEN_BODIES:
            with self.subTest(fault=fault):
                async with self.broken_target(fault, self.host) as target:
                    started_at = time.monotonic()
                    body = await self.read_cut_stream(fault, "/live/x")
                    self.assertIn(body, (b"", b"id: 1\ndata: broken\n\n"))
                    self.assertLess(time.monotonic() - started_at, 1.0)
                    self.assert_logged(self.host, fault, target)

    async def test_resumable_stream_goes_on_at_another_target(self):
        await self.add_sound_target(model="m")
        for fault in BROKEN_BODIES:
            with self.subTest(fault=fault):
                async with self.broken_target(fault, self.host) as target:
                    for request_id in self.request_ids(target):
                        started_at = time.monotonic()
                        status, _, body = await self.request(
                            "POST", "/resumed/x", request_id
                        )
                        self.assertEqual(status, 200)
                        events = re.findall(rb"id: (\d+)\n", body)
                        self.assertEqual(events, [b"%d" % n for n in range(1, 7)])
                        self.assertLess(time.monotonic() - started_at, 1.0)


class HedgedRequestTest(BrokenTargetTestCase):
    """The second attempt beside a slow one gets a broken answer."""

    async def test_slow_answer_is_returned(self):
        slow = PlatformTarget("s0", "faulty")
        slow.answer_seconds = 0.5
        await slow.start()
        self.addAsyncCleanup(slow.stop)
        await self.register("s0", slow.entry(), [self.host])
        forwarder = self.host.kernel.get(Forwarder)
        for fault in FAULTS:
            with self.subTest(fault=fault):
                async with self.broken_target(fault, self.host) as target:
                    hedged = []
                    for request_id in self.request_ids(target, lambda: hedged):
                        # The slow answers would postpone the second attempt.
                        forwarder._mean_seconds_by_service.clear()
                        status, _, body = await self.request(
                            "POST", "/again/x", request_id, data=b"hi"
                        )
                        self.assertEqual((status, body), (200, b"answer to hi"))
                        if request_id not in target.requests:
                            continue
                        hedged += [
                            failure
                            for failure in self.failures(self.host, target)
                            if failure.fields["request"] == request_id
                            and failure.loop > slow.started_at_by_attempt[request_id]
                        ]


class RelayedRequestTest(BrokenTargetMixin, CutHostTestCase):
    """The first host reaches targets only through its neighbour."""

    async def register(self, target_id, entry, hosts):
        if entry is not None:
            link = TargetLink(entry["address"])
            await link.start()
            self.addAsyncCleanup(link.stop)
            link.cut(Cut.REFUSE)
            self.links["host-1"][target_id] = link
        await super().register(target_id, entry, hosts)

    async def test_neighbour_passes_no_broken_answer_on(self):
        await self.use_routes(self.host, self.other)
        paths = self.host.kernel.get(TargetPaths)
        self.cut(Cut.REFUSE)
        await self.send_all("/status/x", "w")
        await self.wait_until(lambda: paths.lost)
        for fault in FAULTS:
            with self.subTest(fault=fault):
                async with self.broken_target(fault, self.host, self.other) as target:
                    for path in ("/once/x", "/live/x", "/again/x"):
                        request_id = f"{fault}{path}"
                        status, _, body = await self.request("POST", path, request_id)
                        self.assertEqual(status, 502)
                        self.assertFalse(json.loads(body).get("not_run"))
                        self.assertIn(request_id, target.requests)
                        self.assertTrue(self.failures(self.host, target))
                        self.assert_logged(self.other, request_id, target)
                    await self.wait_until(lambda: not target.open_connections, 1.0)
