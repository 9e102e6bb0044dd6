"""Tests of the resource API over HTTP, with hosts in this process."""

import asyncio
import json
import socket
import unittest

import aiohttp

from cranberryrun.configuration import Configuration
from standins.hosts import HostEntry
from standins.service import ServiceProgram, ServiceStandin

from .fleet import Fleet

_SPEC = {"pool": "rollout", "freshness_bound": 2}
_PATH = "/v1/workloads"


class ApiTestCase(unittest.TestCase):
    """Sends requests to a fleet that all tests of a class share."""

    hosts = 1
    changes: dict = {}

    @classmethod
    def setUpClass(cls):
        cls.fleet = Fleet(cls.hosts, **cls.changes)
        cls.fleet.__enter__()

    @classmethod
    def tearDownClass(cls):
        cls.fleet.__exit__()

    def send(self, method, path, status=None, host=0, **options):
        """Send a request; return the JSON body and the headers of the answer."""
        body, headers, answer_status = self.fleet.run(
            self._send(method, path, host, options)
        )
        if status is not None:
            self.assertEqual(answer_status, status, body)
        return body, headers

    async def _send(self, method, path, host, options):
        url = self.fleet.urls[host] + path
        async with aiohttp.ClientSession() as session:
            async with session.request(method, url, **options) as answer:
                return (
                    await answer.json(content_type=None),
                    answer.headers,
                    answer.status,
                )

    def put(self, name, status=200, host=0, headers=None, **spec):
        """Declare a workload."""
        body, _ = self.send(
            "PUT",
            f"{_PATH}/{name}",
            status,
            host,
            json={"spec": _SPEC | spec},
            headers=headers,
        )
        return body

    async def lines(self, path, count, host=0):
        """Return the first ``count`` events of a watch."""
        async with aiohttp.ClientSession() as session:
            async with session.get(self.fleet.urls[host] + path) as answer:
                events = []
                while len(events) < count:
                    events.append(json.loads(await answer.content.readline()))
                return events


class ChangesTest(ApiTestCase):
    hosts = 3

    def test_resource_can_be_declared_changed_listed_and_deleted(self):
        self.put("wl-a")
        changed = self.put("wl-a", priority=4, headers={"If-Match": '"1"'})
        self.assertEqual(changed["metadata"]["generation"], 2)
        self.assertEqual(changed["status"]["observed_generation"], 2)
        body, headers = self.send("GET", f"{_PATH}/wl-a", 200)
        self.assertEqual(headers["ETag"], '"2"')
        listed, _ = self.send("GET", _PATH, 200)
        self.assertIn("wl-a", [item["name"] for item in listed["items"]])
        body, _ = self.send("DELETE", f"{_PATH}/wl-a", 200)
        self.assertTrue(body["deleted"])
        self.send("GET", f"{_PATH}/wl-a", 404)
        self.send("DELETE", f"{_PATH}/wl-a", 404)

    def test_change_conflicts_when_expected_generation_is_stale(self):
        self.put("wl-b")
        body = self.put("wl-b", 409, headers={"If-Match": "0"})
        self.assertEqual((body["code"], body["generation"]), ("conflict", 1))
        self.assertTrue(body["not_run"])
        self.put("wl-b", 409, headers={"If-None-Match": "*"})

    def test_exactly_one_of_concurrent_creations_is_applied(self):
        async def race():
            return await asyncio.gather(
                *[
                    self._send(
                        "PUT",
                        f"{_PATH}/wl-c",
                        host,
                        {"json": {"spec": _SPEC | {"priority": host}}},
                    )
                    for host in range(3)
                ]
            )

        statuses = sorted(status for _, _, status in self.fleet.run(race()))
        self.assertEqual(statuses, [200, 409, 409])

    def test_retry_with_same_change_id_returns_same_outcome_at_any_host(self):
        headers = {"Change-Id": "retry-1"}
        first = self.put("wl-d", headers=headers)
        second = self.put("wl-d", host=1, headers=headers)
        self.assertEqual(first["metadata"], second["metadata"])
        self.put("wl-d", priority=2)
        third = self.put("wl-d", host=2, headers=headers)
        self.assertEqual(third["metadata"]["generation"], 1)
        lost = {"Change-Id": "retry-2", "If-Match": "0"}
        self.put("wl-d", 409, headers=lost)
        self.put("wl-d", 409, host=1, headers=lost)
        body = self.put("wl-e", 422, host=1, headers=headers)
        self.assertEqual((body["code"], body["field"]), ("key_reused", "Change-Id"))

    def test_delete_can_be_retried_with_its_change_id(self):
        self.put("wl-f")
        for host in range(3):
            headers = {"Change-Id": "delete-1"}
            self.send("DELETE", f"{_PATH}/wl-f", 200, host, headers=headers)

    def test_change_comes_into_force_on_all_hosts(self):
        changed = self.put("wl-g")
        offset = changed["metadata"]["offset"]

        async def in_force():
            while True:
                body, _, _ = await self._send("GET", f"{_PATH}/wl-g", 1, {})
                conditions = body.get("status", {}).get("conditions", [])
                if conditions and conditions[0]["status"]:
                    return
                await asyncio.sleep(0.05)

        self.fleet.run(asyncio.wait_for(in_force(), 19))
        for host in self.fleet.host_by_id.values():
            self.assertGreaterEqual(host.kernel.get(Configuration).state.offset, offset)


class InForceTest(ApiTestCase):
    def test_silent_host_delays_in_force_until_it_is_suspected(self):
        with socket.create_server(("127.0.0.1", 0)) as silent:
            entry = HostEntry(
                id="host-9",
                kind="entry",
                ip="127.0.0.1",
                api_port=1,
                peer_port=silent.getsockname()[1],
                zone="zone-a",
                incarnation=1,
            )
            self.fleet.run(self._enlist(entry))
            changed = self.put("wl-a")
            in_force = changed["status"]["conditions"][0]
            self.assertEqual(in_force["type"], "InForce")
            self.assertFalse(in_force["status"])
            self.assertIn("host-9", in_force["message"])
            self.fleet.run(asyncio.wait_for(self._until_in_force(), 10))

    async def _enlist(self, entry):
        self.fleet.list.put(entry)
        await asyncio.sleep(0.3)

    async def _until_in_force(self):
        while True:
            body, _, _ = await self._send("GET", f"{_PATH}/wl-a", 0, {})
            if body["status"]["conditions"][0]["status"]:
                return
            await asyncio.sleep(0.05)


class OutageTest(ApiTestCase):
    def tearDown(self):
        self.fleet.log.change_faults({"down": False, "slow": 0.0})

    def test_outcome_is_correct_when_acknowledgement_is_lost(self):
        self.fleet.log.faults.lose_acks = 1
        self.assertEqual(self.put("wl-a")["metadata"]["generation"], 1)

    def test_refusal_in_log_outage_has_not_run_and_retry_after(self):
        self.fleet.log.change_faults({"down": True})
        body, headers = self.send("PUT", f"{_PATH}/wl-b", 503, json={"spec": _SPEC})
        self.assertEqual((body["code"], body["not_run"]), ("log_unavailable", True))
        self.assertIn("Retry-After", headers)
        self.fleet.log.change_faults({"down": False})
        self.fleet.run(asyncio.sleep(1.5))
        self.send("GET", f"{_PATH}/wl-b", 404)

    def test_unknown_outcome_can_be_resolved_with_the_change_id(self):
        self.fleet.log.change_faults({"slow": 4.0})
        headers = {"Change-Id": "slow-1"}
        body = self.put("wl-c", 504, headers=headers)
        self.assertEqual((body["outcome"], body["change_id"]), ("unknown", "slow-1"))
        self.assertNotIn("not_run", body)
        self.fleet.log.change_faults({"slow": 0.0})
        self.assertEqual(self.put("wl-c", headers=headers)["metadata"]["generation"], 1)


class WatchTest(ApiTestCase):
    def test_watch_without_resources_starts_with_a_bookmark(self):
        events = self.fleet.run(
            asyncio.wait_for(self.lines("/v1/services?watch=", 1), 2)
        )
        self.assertEqual(events[0]["event"], "bookmark")

    def test_watch_reports_changes_and_deletes_with_their_offsets(self):
        _, offset = self.put("wl-a"), None
        listed, _ = self.send("GET", _PATH, 200)
        offset = listed["offset"]
        self.put("wl-b")
        self.send("DELETE", f"{_PATH}/wl-b", 200)
        self.put("wl-b", priority=3)
        events = self.fleet.run(self.lines(f"{_PATH}?watch={offset}", 4))
        reported = [(event["event"], event["offset"]) for event in events]
        self.assertEqual(reported[0], ("bookmark", offset))
        self.assertIn(("deleted", offset + 2), reported)
        self.assertIn(("changed", offset + 3), reported)

    def test_watch_reports_a_changed_status(self):
        spec = {"url": "http://127.0.0.1:9", "zone": "zone-a", "pool": "rollout"}
        self.put("wl-s")

        async def watch():
            url = self.fleet.urls[0] + f"{_PATH}?watch="
            async with aiohttp.ClientSession() as session:
                async with session.get(url) as answer:
                    await answer.content.readline()
                    await self._send(
                        "PUT", "/v1/engines/engine-1", 0, {"json": {"spec": spec}}
                    )
                    while True:
                        event = json.loads(await answer.content.readline())
                        if event["event"] == "status":
                            return event

        event = self.fleet.run(asyncio.wait_for(watch(), 10))
        self.assertEqual(event["resource"]["kind"], "workloads")

    def test_watch_expires_when_offset_is_not_retained(self):
        self.put("wl-k")
        configuration = self.fleet.host_by_id["host-1"].kernel.get(Configuration)
        configuration._recent_records.clear()
        body, _ = self.send("GET", f"{_PATH}?watch=-1", 410)
        self.assertEqual(body["code"], "watch_expired")
        body, _ = self.send("GET", f"{_PATH}?watch=x", 422)
        self.assertEqual(body["field"], "watch")


class BadInputTest(ApiTestCase):
    changes = {"limits": {"body_bytes": 4096}}

    def test_error_names_the_invalid_field(self):
        deep = "[" * 3000 + "]" * 3000
        for data, field in (
            (b"{", "body"),
            (b"\xff\xfe", "body"),
            (deep.encode()[:4000], "body"),
            (b"[]", "body"),
            (b"{}", "spec"),
            (b'{"spec": {}, "color": 1}', "color"),
            (b'{"spec": 7}', "spec"),
            (b'{"spec": null}', "spec"),
            (b'{"spec": {"pool": "p"}}', "spec.freshness_bound"),
            (b'{"spec": {"pool": 7, "freshness_bound": 1}}', "spec.pool"),
            (
                b'{"spec": {"pool": "p", "freshness_bound": "x"}}',
                "spec.freshness_bound",
            ),
            (b'{"spec": {"pool": "p", "freshness_bound": 1, "x": 1}}', "spec.x"),
            (b'{"spec": {"pool": "p", "freshness_bound": 1, "rate": NaN}}', "body"),
            (b'{"spec": {"pool": "p", "freshness_bound": 1}, "name": "z"}', "name"),
        ):
            body, _ = self.send("PUT", f"{_PATH}/wl-a", 422, data=data)
            self.assertEqual((body["code"], body["field"]), ("input_invalid", field))
            self.assertTrue(body["not_run"])
        self.send("GET", f"{_PATH}/wl-a", 404)

    def test_error_names_the_invalid_header(self):
        for name, value in (
            ("If-Match", "x"),
            ("If-Match", "-1"),
            ("If-Match", 'W/"1"'),
            ("Change-Id", "x" * 101),
            ("Change-Id", "a b"),
            ("Change-Id", ""),
        ):
            body = self.put("wl-a", 422, headers={name: value})
            self.assertEqual(body["field"], name)

    def test_invalid_names_kinds_paths_and_methods_are_rejected(self):
        for name in ("UPPER", "a%20b", "a" * 64, "-a", "%F0%9F%8D%92"):
            body, _ = self.send("PUT", f"{_PATH}/{name}", 422, json={"spec": _SPEC})
            self.assertEqual(body["field"], "name")
            self.send("GET", f"{_PATH}/{name}", 404)
        for method in ("GET", "PUT", "DELETE"):
            body, _ = self.send(method, "/v1/planets/x", 404, json={"spec": _SPEC})
            self.assertEqual(body["code"], "not_found")
        self.send("GET", "/v1/planets", 404)
        self.send("GET", "/nowhere", 404)
        body, _ = self.send("POST", f"{_PATH}/wl-a", 405)
        self.assertEqual(body["code"], "method_not_allowed")

    def test_too_large_body_is_rejected(self):
        body, _ = self.send("PUT", f"{_PATH}/wl-a", 413, data=b"x" * 5000)
        self.assertEqual(body["code"], "too_large")

    def test_infinite_numbers_are_rejected(self):
        body, _ = self.send(
            "PUT",
            "/v1/engines/e",
            422,
            data=b'{"spec": {"url": "http://x", "zone": "z", "pool": "p", '
            b'"tokens_per_second": 1e999}}',
        )
        self.assertEqual(body["field"], "spec.tokens_per_second")


class DeleteInUseTest(ApiTestCase):
    async def _scenario(self):
        service = ServiceStandin("portal-1", work=0.5)
        url = await self.fleet.serve(ServiceProgram(service))
        spec = {"targets": [{"id": "portal-1", "url": url, "zone": "zone-a"}]}
        path = "/v1/services/portal"
        await self._send("PUT", path, 0, {"json": {"spec": spec}})
        call = asyncio.create_task(self._send("GET", "/call/portal/status", 0, {}))
        await asyncio.sleep(0.2)
        _, _, deleted = await self._send("DELETE", path, 0, {})
        _, _, running = await call
        _, _, new = await self._send("GET", "/call/portal/status", 0, {})
        return deleted, running, new

    def test_deleted_service_completes_calls_in_flight_and_rejects_new_ones(self):
        self.assertEqual(self.fleet.run(self._scenario()), (200, 200, 404))
