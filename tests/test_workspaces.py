"""Keys of workspaces at a host: requests, streams, relays and new manifests."""

import asyncio
import json
import time

import aiohttp

from cranberryrun.events import Events
from cranberryrun.fleet.directory import Directory
from cranberryrun.metrics import Metrics
from cranberryrun.platform.__main__ import PlatformHost
from cranberryrun.platform.settings import HostSettings
from standins.platform_target import PlatformTarget
from standins.ports import free_port
from standins.target_link import Cut

from .test_cut_host import CutHostTestCase
from .test_platform_host import (
    ATTEMPT_ID,
    HOST_NAME,
    OPERATOR_TOPIC,
    TARGET_TOPIC,
    PlatformTestCase,
    manifest,
    route,
)

KEY, WORKSPACE = "X-Cranberryrun-Key", "X-Cranberryrun-Tenant"
RED, RED_2, BLUE = "red-key-1", "red-key-2", "blue-key-1"
KEYS = {"red": [RED, RED_2], "blue": [BLUE], "grey": []}
ROUTES = [
    route("open", "safe", "portal", public=True),
    route("live", "streaming", "lm"),
    route("resumed", "streaming", "lm", resumable=True),
    route("openroll", "rollout", "lm", public=True, **{"queue-ttl-s": 40.0}),
]


def keyed_manifest(version, keys=KEYS):
    tenants = [{"name": name, "api-keys": keys[name]} for name in keys]
    return manifest(version, routes=ROUTES) | {"tenants": tenants}


class WorkspaceTestCase(PlatformTestCase):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        await self.put_manifest(keyed_manifest(2))

    async def put_manifest(self, value, host=None):
        self.store.put(OPERATOR_TOPIC, "config", value)
        directory = (host or self.host).kernel.get(Directory)
        await self.wait_until(lambda: directory.manifest.version == value["version"])

    async def status(self, path, key=None, attempt_id="r1", **options):
        headers = {KEY: key} if key is not None else {}
        headers |= options.pop("headers", {})
        status, _, _ = await self.request(
            "POST", path, attempt_id, headers=headers, **options
        )
        return status

    def events(self, name, host=None):
        return [
            event.fields
            for event in (host or self.host).kernel.get(Events).after(-1)
            if event.kind.name == name
        ]

    def scraped(self):
        return self.host.kernel.get(Metrics).scrape().decode()


class KeyTest(WorkspaceTestCase):
    async def test_request_without_a_known_key_is_not_run(self):
        for key in (None, "", "other", RED.upper(), f"{RED} ", f"{RED}, {BLUE}"):
            # The HTTP parser strips spaces around a value.
            expected = 200 if key == f"{RED} " else 401
            self.assertEqual(await self.status("/status/x", key), expected, key)
        self.assertEqual(len(self.portal_requests()), 1)
        self.assertEqual(await self.status("/no-such-route", "other"), 401)
        self.assertEqual(await self.status("/no-such-route", RED), 404)
        self.assertIn('rejected_keys_total{reason="missing"} 2.0', self.scraped())
        self.assertIn('rejected_keys_total{reason="unknown"} 4.0', self.scraped())
        rejected = self.events("key_rejected")
        self.assertEqual(len(rejected), 6)
        self.assertEqual(
            (rejected[2]["path"], rejected[2]["reason"], rejected[2]["manifest"]),
            ("/status/x", "unknown", 2),
        )

    async def test_target_gets_the_workspace_and_not_the_key(self):
        for key, name in ((RED, "red"), (RED_2, "red"), (BLUE, "blue")):
            forged = {WORKSPACE.lower(): "forged"}
            status = await self.status("/status/x", key, headers=forged)
            self.assertEqual(status, 200)
            (request,) = self.portal_requests()
            self.assertEqual(request.get(WORKSPACE), name)
            self.assertNotIn("forged", json.dumps(request))
            self.assertNotIn(key, json.dumps(request))
            for portal in self.portals:
                portal.requests.clear()

    async def test_public_route_serves_everybody_and_knows_known_keys(self):
        for key, name in ((None, None), ("other", None), (RED, "red")):
            forged = {WORKSPACE: "blue"}
            status = await self.status("/open/x", key, headers=forged)
            self.assertEqual(status, 200)
            (request,) = self.portal_requests()
            self.assertEqual(request.get(WORKSPACE), name)
            for portal in self.portals:
                portal.requests.clear()

    async def test_without_workspaces_keys_mean_nothing(self):
        await self.put_manifest(manifest(3, routes=ROUTES))
        for key in (None, "other", RED):
            self.assertEqual(await self.status("/status/x", key), 200)
        for request in self.portal_requests():
            self.assertNotIn(KEY, request)
            self.assertNotIn(WORKSPACE, request)

    async def test_request_is_rejected_before_its_body_is_sent(self):
        reader, writer = await asyncio.open_connection(*self.url[7:].split(":"))
        writer.write(
            f"POST /status/x HTTP/1.1\r\nHost: {HOST_NAME}\r\n"
            "Content-Length: 50000\r\n\r\n".encode()
        )
        async with asyncio.timeout(1.0):
            line = await reader.readline()
        self.assertIn(b"401", line)
        writer.close()

    async def test_key_that_is_revoked_while_the_body_is_sent_runs_nothing(self):
        reader, writer = await asyncio.open_connection(*self.url[7:].split(":"))
        writer.write(
            f"POST /status/x HTTP/1.1\r\nHost: {HOST_NAME}\r\n{KEY}: {RED}\r\n"
            "Content-Length: 2\r\n\r\nh".encode()
        )
        await asyncio.sleep(0.2)
        await self.put_manifest(keyed_manifest(3, KEYS | {"red": [RED_2]}))
        writer.write(b"i")
        async with asyncio.timeout(2.0):
            line = await reader.readline()
        writer.close()
        self.assertIn(b"401", line)
        self.assertEqual(self.portal_requests(), [])


class ChangeTest(WorkspaceTestCase):
    """Keys come and go with the versions of the manifest."""

    async def test_change_holds_for_a_connection_that_is_kept_open(self):
        connections = []

        async def count(session, context, params):
            connections.append(params)

        trace = aiohttp.TraceConfig()
        trace.on_connection_create_end.append(count)
        async with aiohttp.ClientSession(trace_configs=[trace]) as session:

            async def status(key):
                headers = {"Host": HOST_NAME, ATTEMPT_ID: "r1", KEY: key}
                url = self.url + "/status/x"
                async with session.post(url, headers=headers) as response:
                    await response.read()
                    return response.status

            self.assertEqual(await status("red-key-3"), 401)
            added = KEYS | {"red": [RED, "red-key-3"]}
            await self.put_manifest(keyed_manifest(3, added))
            self.assertEqual(await status("red-key-3"), 200)
            self.assertEqual(await status(RED), 200)
            await self.put_manifest(keyed_manifest(4, KEYS | {"red": [RED]}))
            self.assertEqual(await status("red-key-3"), 401)
            self.assertEqual(await status(RED), 200)
        self.assertEqual(len(connections), 1)

    async def test_all_keys_of_a_workspace_can_be_revoked_at_once(self):
        await self.put_manifest(keyed_manifest(3, KEYS | {"red": []}))
        for key, expected in ((RED, 401), (RED_2, 401), (BLUE, 200)):
            self.assertEqual(await self.status("/status/x", key), expected)
        reasons = [
            (each["reason"], each["workspace"]) for each in self.events("key_rejected")
        ]
        self.assertEqual(reasons, [("revoked", "red")] * 2)
        logged = self.events("workspaces_without_keys")
        self.assertEqual([each["workspaces"] for each in logged][-1], ["red", "grey"])

    async def test_stream_in_progress_goes_on_when_its_key_is_revoked(self):
        self.engine.event_seconds = 0.1
        stream = asyncio.create_task(
            self.request("POST", "/live/x", "s1", headers={KEY: RED})
        )
        await self.wait_until(lambda: self.engine.open_requests)
        await self.put_manifest(keyed_manifest(3, KEYS | {"red": []}))
        status, _, body = await stream
        self.assertEqual((status, body.count(b"data:")), (200, 6))

    async def test_invalid_manifest_leaves_the_previous_one_in_force(self):
        shared = keyed_manifest(3, {"red": [RED], "blue": [RED]})
        same_name = keyed_manifest(4)
        same_name["tenants"] += [{"name": "red", "api-keys": ["new"]}]
        for value, reason in (
            (shared, "workspaces red and blue share a key"),
            (same_name, "two workspaces have the name red"),
        ):
            self.store.put(OPERATOR_TOPIC, "config", value)
            await self.wait_until(
                lambda: self.events("record_invalid")[-1:]
                and self.events("record_invalid")[-1]["reason"] == reason
            )
            self.assertEqual(await self.status("/status/x", BLUE), 200)
        self.assertEqual(self.host.kernel.get(Directory).manifest.version, 2)

    async def test_keys_stay_in_force_while_the_store_is_away(self):
        self.store.mode = "silent"
        await asyncio.sleep(1.0)
        for key, expected in ((RED, 200), ("other", 401), (None, 401)):
            self.assertEqual(await self.status("/status/x", key), expected)

    async def test_key_revoked_while_the_host_was_suspended_runs_nothing(self):
        """Its first calls came before its first read and used the old manifest."""
        reader, writer = await asyncio.open_connection(*self.url[7:].split(":"))
        writer.write(
            f"POST /status/x HTTP/1.1\r\nHost: {HOST_NAME}\r\n{KEY}: {RED}\r\n"
            "Content-Length: 2\r\n\r\n".encode()
        )
        await asyncio.sleep(0.2)
        writer.write(b"hi")
        revoked = keyed_manifest(3, KEYS | {"red": [RED_2]})
        self.store.put(OPERATOR_TOPIC, "config", revoked)
        # Stalls the loop of the host as SIGSTOP does.
        time.sleep(3.5)
        async with asyncio.timeout(2.0):
            line = await reader.readline()
        writer.close()
        self.assertIn(b"401", line)
        self.assertEqual(self.portal_requests(), [])

    async def test_host_without_a_manifest_rejects_no_key(self):
        self.store.mode = "busy"
        front = free_port()
        settings = HostSettings(
            host_id="host-3",
            zone="a",
            ip="127.0.0.1",
            front_address=f"127.0.0.1:{front}",
            ready_address=f"127.0.0.1:{free_port()}",
            store={"address": self.store.address},
        )
        host = PlatformHost(settings)
        await host.start()
        self.addAsyncCleanup(host.kernel.stop)
        url = f"http://127.0.0.1:{front}"
        for path in ("/status/x", "/rollout/b", "/v1/lots/b1", "/v1/items/b1?id=1"):
            for key in (RED, "other"):
                status, headers, _ = await self.request(
                    "GET", path, url=url, headers={KEY: key}
                )
                self.assertEqual(status, 503)
                self.assertIn("Retry-After", headers)
        self.assertEqual(self.events("key_rejected", host), [])


class SecrecyTest(WorkspaceTestCase):
    """No key in records, at targets, or in what a host writes for its operators."""

    def assert_secret(self, text):
        for key in (RED, RED_2, BLUE, "other-key"):
            self.assertNotIn(key, text)

    async def test_no_key_leaves_the_frontend(self):
        item = {"id": "i1", "path": "/rollout/1", "headers": {KEY.lower(): RED}}
        malformed = {"items": [{"headers": {KEY: RED}}]}
        answers = [
            await self.request("POST", path, "r1", headers={KEY: key}, **options)
            for path, key, options in (
                ("/status/x", RED, {}),
                ("/status/x", "other-key", {}),
                ("/open/x", "other-key", {}),
                ("/live/x", BLUE, {}),
                ("/rollout/b", RED, {"json": {"model": "m", "items": [item]}}),
                ("/rollout/b", RED, {"json": malformed}),
                ("/v1/lots/r1", BLUE, {}),
            )
        ]
        statuses = [status for status, _, _ in answers]
        self.assertEqual(statuses, [200, 401, 200, 200, 202, 400, 404])
        await self.wait_until(lambda: self.events("item_finished"))
        for _, headers, body in answers:
            self.assert_secret(f"{headers} {body}")
        for topic, records in self.store.records_by_topic.items():
            if topic != OPERATOR_TOPIC:
                self.assert_secret(str(records))
        self.assert_secret(json.dumps(self.portal_requests() + self.engine.requests))
        events = [event.as_dict() for event in self.host.kernel.get(Events).after(-1)]
        self.assert_secret(json.dumps(events))
        self.assert_secret(self.scraped())
        self.assertEqual(
            [event for event in events if event.get("source") == "request"], []
        )

    async def test_malformed_header_line_is_not_repeated(self):
        """The HTTP parser quotes the line, which was in the log and the answer."""
        for line, status in (
            (f"{KEY}: {RED}\x01", b" 400 "),
            (f"{KEY} {RED}", b" 400 "),
            (f"{KEY}: {RED * 4000}", b" 431 "),
        ):
            with self.assertNoLogs("aiohttp"), self.assertNoLogs("asyncio"):
                reader, writer = await asyncio.open_connection(*self.url[7:].split(":"))
                writer.write(f"GET / HTTP/1.1\r\nHost: x\r\n{line}\r\n\r\n".encode())
                answer = await reader.read()
                writer.close()
            self.assertIn(status, answer)
            self.assert_secret(str(answer))
        (event,) = self.events("connection_closed")
        self.assertEqual(event["cause"], "not HTTP")
        self.assert_secret(json.dumps(event))
        self.assert_secret(self.scraped())


class OtherWayTest(CutHostTestCase, WorkspaceTestCase):
    """Requests and streams that reach their target through another host or target."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        for host in (self.host, self.other):
            await self.put_manifest(keyed_manifest(3), host)

    async def test_relayed_request_keeps_its_workspace(self):
        self.cut(Cut.REFUSE)
        self.assertEqual(await self.status("/status/x", RED), 200)
        (request,) = self.portal_requests()
        self.assertEqual(request[WORKSPACE], "red")
        self.assertNotIn(RED, json.dumps(request))

    async def test_resumed_stream_keeps_its_workspace(self):
        second = PlatformTarget("e1", "lm", "m")
        await second.start()
        self.addAsyncCleanup(second.stop)
        self.store.put(TARGET_TOPIC, "e1", second.entry())
        directory = self.host.kernel.get(Directory)
        await self.wait_until(lambda: "e1" in directory.target_by_id)
        # Only the first engine cuts streams, and either one may get the first attempt.
        self.engine.script.extend(["cut"] * 20)
        for number in range(20):
            status, _, body = await self.request(
                "POST", "/resumed/x", f"s{number}", headers={KEY: RED}
            )
            self.assertEqual((status, body.count(b"data:")), (200, 6))
            if any("Last-Event-ID" in request for request in second.requests):
                break
        requests = self.engine.requests + second.requests
        self.assertTrue(any("Last-Event-ID" in request for request in requests))
        self.assertEqual({request[WORKSPACE] for request in requests}, {"red"})
