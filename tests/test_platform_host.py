"""Tests of a host against a store and targets that follow the platform's protocol."""

import asyncio
import base64
import json
import socket
import unittest
import unittest.mock

import aiohttp

from cranberryrun.batches.log import BatchLog
from cranberryrun.events import Events
from cranberryrun.fleet.directory import Directory
from cranberryrun.fleet.neighbours import Neighbours
from cranberryrun.fleet.store_paths import StorePaths
from cranberryrun.platform.__main__ import PlatformHost
from cranberryrun.platform.settings import HostSettings
from standins.platform_store import PlatformStore
from standins.platform_target import PlatformTarget
from standins.ports import free_port

HOST_NAME = "site.example"
ATTEMPT_ID = "X-Cranberryrun-Attempt-Id"
DEADLINE_MS = "X-Cranberryrun-Deadline-Ms"
OPERATOR_TOPIC, TARGET_TOPIC = "keyed.op", "keyed.servers"


def route(name, kind, service, **fields):
    return {
        "name": name,
        "host": HOST_NAME,
        "path-prefix": f"/{name}/",
        "kind": kind,
        "service": service,
        "timeout-ms": 2000,
        "target-latency-ms": 200,
        "max-attempts": 2,
    } | fields


def manifest(version=1, **extra):
    return {
        "version": version,
        "routes": [
            route("status", "safe", "portal"),
            route("hold", "unsafe", "portal"),
            route(
                "rollout",
                "rollout",
                "lm",
                **{"max-attempts": 3, "queue-ttl-s": 40.0, "run-deadline-ms": 7500},
            ),
            *extra.get("routes", []),
        ],
        "services": [
            {"name": "portal"},
            {"name": "lm", "engine": {"stride": 10, "models": [{"name": "m"}]}},
        ],
        "limits": {"max-body-bytes": 100_000},
    }


def submission(items=4, size=2, **fields):
    return {
        "step": 0,
        "model": "m",
        "min-version": 1,
        "group-count": items // size,
        "items": [
            {
                "id": f"item-{number}",
                "path": "/rollout/1",
                "headers": {"X-Cranberryrun-Model": "m"},
                "body": base64.b64encode(f"prompt {number}".encode()).decode(),
                "tokens": 60,
                "group-id": f"g{number // size}",
            }
            for number in range(items)
        ],
    } | fields


class PlatformTestCase(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.store = PlatformStore()
        await self.store.start()
        self.addAsyncCleanup(self.store.stop)
        self.portals = [PlatformTarget(f"p{n}", "portal") for n in range(2)]
        self.engine = PlatformTarget("e0", "lm", "m")
        for target in (*self.portals, self.engine):
            await target.start()
            self.addAsyncCleanup(target.stop)
            self.store.put(TARGET_TOPIC, target.id, target.entry())
        self.store.put(OPERATOR_TOPIC, "config", manifest())
        self.session = aiohttp.ClientSession()
        self.addAsyncCleanup(self.session.close)
        self.host, self.url, self.ready_url = await self.start_host()

    async def start_host(self, name="host-1", target_count=3):
        front, ready = free_port(), free_port()
        settings = HostSettings(
            host_id=name,
            zone="a",
            ip="127.0.0.1",
            front_address=f"127.0.0.1:{front}",
            ready_address=f"127.0.0.1:{ready}",
            peer_address=f"127.0.0.1:{free_port()}",
            store={"address": self.store.address},
        )
        host = PlatformHost(settings)
        self.prepare(host, name)
        await host.start()
        self.addAsyncCleanup(host.kernel.stop)
        directory = host.kernel.get(Directory)
        await self.wait_until(
            lambda: directory.ready and len(directory.target_by_id) == target_count
        )
        return host, f"http://127.0.0.1:{front}", f"http://127.0.0.1:{ready}"

    def prepare(self, host, name):
        """Change a host before it starts; subclasses override this method."""

    async def wait_until(self, condition, seconds=5.0):
        async with asyncio.timeout(seconds):
            while not condition():
                await asyncio.sleep(0.01)

    async def request(self, method, path, attempt_id="r1", url=None, **options):
        headers = {"Host": HOST_NAME, ATTEMPT_ID: attempt_id, DEADLINE_MS: "3000"}
        headers |= options.pop("headers", {})
        async with self.session.request(
            method, (url or self.url) + path, headers=headers, **options
        ) as response:
            return response.status, response.headers, await response.read()

    def script_portals(self, *steps):
        for portal in self.portals:
            portal.script.extend(steps)

    def portal_requests(self):
        return [request for portal in self.portals for request in portal.requests]


class RequestTest(PlatformTestCase):
    async def test_an_answer_is_forwarded_unchanged(self):
        status, headers, body = await self.request(
            "POST", "/status/a%20b?x=1", data=b"hi"
        )
        self.assertEqual((status, body), (200, b"answer to hi"))
        self.assertEqual(headers["X-Own"], "kept")
        self.assertEqual(headers[ATTEMPT_ID], "r1")
        (forwarded,) = self.portal_requests()
        self.assertEqual(forwarded["path"], "/status/a%20b?x=1")
        self.assertLessEqual(int(forwarded[DEADLINE_MS]), 2000)

    async def test_a_safe_request_is_retried_when_the_answer_is_bad(self):
        for step in ("foreign", "unsigned", "short", "reset", "full", "error"):
            with self.subTest(step=step):
                for portal in self.portals:
                    portal.script.clear()
                self.portals[0].script.append(step)
                self.portals[1].script.append("")
                for number in range(4):
                    status, _, body = await self.request(
                        "POST", "/status/x", f"{step}-{number}", data=b"hi"
                    )
                    self.assertEqual((status, body), (200, b"answer to hi"))

    async def test_a_safe_request_is_answered_in_time_when_a_target_is_silent(self):
        self.portals[0].script.append("silent")
        loop = asyncio.get_running_loop()
        for number in range(4):
            started_at = loop.time()
            status, _, _ = await self.request("POST", "/status/x", f"r{number}")
            self.assertEqual(status, 200)
            self.assertLess(loop.time() - started_at, 1.0)

    async def test_an_unsafe_request_is_not_retried_when_it_may_have_run(self):
        for step in ("short", "reset", "foreign"):
            with self.subTest(step=step):
                request_count = len(self.portal_requests())
                for portal in self.portals:
                    portal.script.clear()
                self.script_portals(step)
                status, _, _ = await self.request("POST", "/hold/x", step)
                self.assertIn(status, (502, 504))
                self.assertEqual(len(self.portal_requests()), request_count + 1)

    async def test_an_unsafe_request_is_retried_when_it_was_not_run(self):
        self.portals[0].script.append("full")
        self.portals[1].script.append("full")
        status, headers, _ = await self.request("POST", "/hold/x")
        self.assertEqual(status, 503)
        self.assertIn("Retry-After", headers)
        status, _, _ = await self.request("POST", "/hold/x", "r2")
        self.assertEqual(status, 200)

    async def test_a_500_answer_to_an_unsafe_request_is_forwarded(self):
        self.script_portals("error")
        status, headers, body = await self.request("POST", "/hold/x")
        self.assertEqual((status, body), (500, b"broken"))
        self.assertIn("X-Cranberryrun-Server-Signature", headers)

    async def test_a_path_without_a_route_is_not_found(self):
        status, _, _ = await self.request("GET", "/nowhere/x")
        self.assertEqual(status, 404)

    async def test_a_route_is_served_soon_after_it_is_added(self):
        new_manifest = manifest(2, routes=[route("late", "safe", "portal")])
        self.store.put(OPERATOR_TOPIC, "config", new_manifest)
        await asyncio.sleep(0.3)
        status, _, _ = await self.request("POST", "/late/x")
        self.assertEqual(status, 200)

    async def test_a_body_over_the_limit_is_refused(self):
        status, _, _ = await self.request("POST", "/status/x", data=b"x" * 200_000)
        self.assertEqual(status, 413)
        self.assertEqual(self.portal_requests(), [])

    async def test_a_request_is_cancelled_when_its_caller_disconnects(self):
        self.script_portals("silent", "silent")
        task = asyncio.create_task(self.request("POST", "/hold/x"))
        await self.wait_until(
            lambda: any(portal.open_requests for portal in self.portals)
        )
        task.cancel()
        await self.wait_until(
            lambda: not any(portal.open_requests for portal in self.portals),
            seconds=0.5,
        )

    async def test_a_draining_target_gets_no_new_requests(self):
        self.portals[0].sequence += 1
        self.store.put(TARGET_TOPIC, "p0", self.portals[0].entry("draining"))
        await asyncio.sleep(0.2)
        for number in range(6):
            await self.request("POST", "/status/x", f"r{number}")
        self.assertEqual(self.portals[0].requests, [])

    async def test_malformed_entries_are_ignored_and_valid_entries_stay_in_force(self):
        self.store.put(TARGET_TOPIC, "ghost", {"service": 7})
        self.store.put(TARGET_TOPIC, "other", {"service": "portal", "state": "odd"})
        self.store.put_raw(TARGET_TOPIC, b"\x05ab")
        self.store.put(OPERATOR_TOPIC, "config", {"version": "x"})
        await asyncio.sleep(0.2)
        status, _, _ = await self.request("POST", "/status/x")
        self.assertEqual(status, 200)
        ids = set(self.host.kernel.get(Directory).target_by_id)
        self.assertEqual(ids, {"p0", "p1", "e0"})


class BatchTest(PlatformTestCase):
    async def submit(self, batch_id="b1", url=None, **fields):
        return await self.request(
            "POST", "/rollout/b", batch_id, url=url, json=submission(**fields)
        )

    async def results(self, batch_id="b1", url=None):
        headers = {"X-Cranberryrun-Wait-Ms": "300"}
        after, results = 0, []
        for _ in range(40):
            _, _, body = await self.request(
                "GET", f"/v1/lots/{batch_id}?after={after}", url=url, headers=headers
            )
            page = json.loads(body)
            results += page["results"]
            after = page["next"]
            if after == page["total"]:
                return results
        self.fail(f"received only {after} results")

    async def test_a_batch_can_be_submitted_and_read_at_any_host(self):
        _, other_url, _ = await self.start_host("host-2")
        self.assertEqual((await self.submit())[0], 202)
        self.assertEqual((await self.submit(url=other_url))[0], 202)
        first = await self.results()
        self.assertEqual(await self.results(url=other_url), first)
        self.assertEqual(len(first), 4)
        for result in first:
            lines = [f"{result['id']}/{number}" for number in range(1, 7)]
            self.assertEqual(result["text"].split("\n"), lines)
            self.assertEqual((result["state"], result["versions"]), ("succeeded", [1]))
        bodies = sorted(request["body"] for request in self.engine.requests)
        self.assertEqual(bodies, [f"prompt {number}" for number in range(4)])

    async def test_an_item_is_resumed_when_its_stream_is_cut_within_an_event(self):
        self.engine.script.append("cut")
        await self.submit(items=1, size=1)
        (result,) = await self.results()
        self.assertEqual(len(result["text"].split("\n")), 6)
        self.assertEqual(self.engine.requests[-1]["Last-Event-ID"], "2")

    async def test_an_item_is_lost_when_the_engine_answers_422(self):
        self.engine.script.append("impossible")
        await self.submit(items=1, size=1)
        (result,) = await self.results()
        self.assertEqual(result["state"], "lost")

    async def test_an_item_body_can_be_read_and_a_batch_can_be_deleted_twice(self):
        await self.submit()
        status, _, body = await self.request("GET", "/v1/items/b1?id=item-2")
        self.assertEqual((status, body), (200, b"prompt 2"))
        for _ in range(2):
            self.assertEqual((await self.request("DELETE", "/v1/lots/b1"))[0], 200)
        for path in ("/v1/lots/none", "/v1/items/b1?id=none"):
            self.assertEqual((await self.request("GET", path))[0], 404)

    async def test_a_malformed_batch_is_refused_and_not_stored(self):
        duplicate_items = submission(items=1)["items"] * 2
        for fields in (
            {"items": []},
            {"items": duplicate_items},
            {"items": [{"id": 1}]},
        ):
            status, _, _ = await self.request(
                "POST", "/rollout/b", "b9", json=submission() | fields
            )
            self.assertEqual(status, 400)
        self.assertEqual((await self.request("GET", "/v1/lots/b9"))[0], 404)

    async def test_callers_get_503_with_retry_after_when_the_store_is_busy(self):
        self.store.mode = "busy"
        status, headers, _ = await self.submit()
        self.assertEqual(status, 503)
        self.assertIn("Retry-After", headers)
        self.assertEqual((await self.request("GET", "/v1/lots/b1"))[0], 503)
        self.store.mode = "up"
        self.assertEqual((await self.submit())[0], 202)
        self.assertEqual(len(await self.results()), 4)

    async def test_a_host_that_the_store_turns_away_serves_through_another(self):
        """Incident lelc-enrol: a batch reached two such hosts and was lost."""
        other, other_url, _ = await self.start_host("host-2")
        neighbours = other.kernel.get(Neighbours)
        await self.wait_until(lambda: neighbours.choose(1), seconds=12.0)
        paths = other.kernel.get(StorePaths)
        for trouble in ("refused", "silent"):
            with self.subTest(trouble=trouble):
                batch_id = f"b-{trouble}"
                with unittest.mock.patch.object(
                    paths, "direct", self.unavailable_store(trouble)
                ):
                    await self.wait_until(lambda: paths.direct_path_failed)
                    status, _, _ = await self.submit(batch_id, url=other_url)
                    self.assertEqual(status, 202)
                    results = await self.results(batch_id, url=other_url)
                    self.assertEqual(len(results), 4)
                    path = f"/v1/lots/{batch_id}"
                    status, _, _ = await self.request("DELETE", path, url=other_url)
                    self.assertEqual(status, 200)
                events = other.kernel.get(Events).after(-1)
                event_names = {event.kind.name for event in events}
                self.assertNotIn("log_lost", event_names)
                await self.wait_until(lambda: not paths.direct_path_failed)

    def unavailable_store(self, trouble):
        """Return an address that refuses connections, or never answers."""
        if trouble == "refused":
            return f"127.0.0.1:{free_port()}"
        silent = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(silent.close)
        return f"127.0.0.1:{silent.getsockname()[1]}"

    async def test_a_batch_is_accepted_once_when_the_answer_to_an_append_is_lost(self):
        self.store.lost_append_responses = 1
        self.assertEqual((await self.submit())[0], 202)
        self.assertEqual(len(await self.results()), 4)
        self.assertEqual(len(self.engine.requests), 4)

    async def test_an_announced_version_is_loaded_with_fence_and_precondition(self):
        key = "version/m"
        self.store.put(OPERATOR_TOPIC, key, {"model": "m", "version": 2})
        await self.wait_until(lambda: self.engine.version == 2)
        (order,) = self.engine.orders
        self.assertEqual((order["switch-mode"], order["precondition"]), ("retain", 0))
        self.assertGreaterEqual(order["fencing-token"], 0)


class ReadinessTest(PlatformTestCase):
    async def readiness_status(self):
        async with self.session.get(self.ready_url + "/v1/readyz") as response:
            return response.status

    async def test_a_draining_host_is_not_ready_and_still_answers_requests(self):
        self.assertEqual(await self.readiness_status(), 200)
        drain = asyncio.create_task(self.host.drain())
        await asyncio.sleep(0.05)
        self.assertEqual(await self.readiness_status(), 503)
        status, headers, _ = await self.request("POST", "/status/x")
        self.assertEqual((status, headers["Connection"]), (200, "close"))
        async with asyncio.timeout(8.0):
            await drain

    async def test_requests_are_answered_when_the_store_does_not_answer(self):
        self.store.mode = "silent"
        await asyncio.sleep(1.5)
        self.assertEqual(await self.readiness_status(), 200)
        self.assertEqual((await self.request("POST", "/status/x"))[0], 200)

    async def test_a_host_is_not_ready_until_the_store_answers(self):
        self.store.mode = "busy"
        front, ready = free_port(), free_port()
        settings = HostSettings(
            host_id="host-3",
            zone="a",
            ip="127.0.0.1",
            front_address=f"127.0.0.1:{front}",
            ready_address=f"127.0.0.1:{ready}",
            store={"address": self.store.address},
        )
        host = PlatformHost(settings)
        await host.start()
        self.addAsyncCleanup(host.kernel.stop)
        url = f"http://127.0.0.1:{front}"
        status, headers, _ = await self.request("POST", "/status/x", url=url)
        self.assertEqual(status, 503)
        self.assertIn("Retry-After", headers)
        self.store.mode = "up"
        log = host.kernel.get(BatchLog)
        self.assertEqual(log.table.state_by_id, {})
        await self.wait_until(lambda: host.kernel.get(Directory).ready)
        self.assertEqual((await self.request("POST", "/status/x", url=url))[0], 200)
