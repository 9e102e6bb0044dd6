"""Tests of the routes for operators and of the pages that document them."""

import asyncio
import hashlib
import unittest
import unittest.mock
from pathlib import Path

from cranberryrun import exceptions
from cranberryrun.api import Api
from cranberryrun.catalogue import EVENT_BY_NAME
from cranberryrun.exceptions import CranberryrunError
from cranberryrun.pages import event_page

from .test_resources import ApiTestCase

_DOCS = Path(__file__).resolve().parent.parent / "docs"


def _token(secret, role):
    digest = hashlib.sha256(secret.encode()).hexdigest()
    return {"name": f"the {role}", "sha256": digest, "roles": [role]}


class OperatorRoutesTest(ApiTestCase):
    hosts = 2

    def test_hosts_are_listed_with_their_states(self):
        self.put("wl-a")
        body, _ = self.send("GET", "/v1/hosts", 200)
        self.assertEqual([row["id"] for row in body["hosts"]], ["host-1", "host-2"])
        self.assertEqual({row["state"] for row in body["hosts"]}, {"live"})

    def test_timeline_merges_events_of_all_hosts(self):
        self.put("wl-b")
        self.fleet.run(asyncio.sleep(0.3))
        body, _ = self.send("GET", "/v1/timeline", 200)
        self.assertEqual(body["silent"], [])
        self.assertEqual({row["host"] for row in body["events"]}, {"host-1", "host-2"})

    def test_timeline_filters_are_applied_at_each_host(self):
        change = self.put("wl-d")["metadata"]["change_id"]
        self.fleet.run(asyncio.sleep(0.3))
        body, _ = self.send("GET", f"/v1/timeline?change={change}", 200)
        self.assertEqual({row["change"] for row in body["events"]}, {change})
        self.assertEqual({row["host"] for row in body["events"]}, {"host-1", "host-2"})
        body, _ = self.send("GET", "/v1/timeline?host=host-2&since=1", 200)
        self.assertEqual({row["host"] for row in body["events"]}, {"host-2"})
        body, _ = self.send("GET", "/v1/timeline?since=99999999999", 200)
        self.assertEqual(body["events"], [])
        body, _ = self.send("GET", "/v1/timeline?color=red", 422)
        self.assertEqual(body["field"], "color")

    def test_events_are_returned_after_a_sequence_number(self):
        self.put("wl-c")
        body, _ = self.send("GET", "/v1/events?after=0", 200)
        self.assertGreater(body["events"][0]["n"], 0)
        body, _ = self.send("GET", "/v1/events?after=x", 422)
        self.assertEqual(body["field"], "after")

    def test_readiness_fails_when_host_is_not_accepting(self):
        self.send("GET", "/healthz", 200)
        self.send("GET", "/readyz", 200)
        api = self.fleet.host_by_id["host-2"].kernel.get(Api)
        api.accepting = False
        body, _ = self.send("GET", "/readyz", 503, host=1)
        self.assertEqual((body["code"], body["not_run"]), ("not_ready", True))
        api.accepting = True


class WatchAtDrainTest(ApiTestCase):
    def test_watch_ends_when_host_stops(self):
        async def watch():
            task = asyncio.create_task(self.lines("/v1/services?watch=", 1))
            await task
            api = self.fleet.host_by_id["host-1"].kernel.get(Api)
            api.accepting = False
            async with asyncio.timeout(3):
                while api.in_flight:
                    await asyncio.sleep(0.05)

        self.fleet.run(watch())


class RolesTest(ApiTestCase):
    changes = {
        "tokens": [_token("op-secret", "operator"), _token("call-secret", "caller")]
    }

    def test_operator_routes_require_the_operator_role(self):
        for method, path in (
            ("GET", "/v1/hosts"),
            ("GET", "/v1/events"),
            ("GET", "/v1/timeline"),
            ("GET", "/v1/workloads"),
            ("GET", "/v1/workloads?watch="),
            ("GET", "/v1/workloads/x"),
            ("PUT", "/v1/workloads/x"),
            ("DELETE", "/v1/workloads/x"),
            ("POST", "/v1/drain"),
        ):
            body, _ = self.send(method, path, 401)
            self.assertEqual(body["code"], "unauthorized")
            unknown_token = {"Authorization": "Bearer nonsense"}
            self.send(method, path, 401, headers=unknown_token)
            caller_token = {"Authorization": "Bearer call-secret"}
            body, _ = self.send(method, path, 403, headers=caller_token)
            self.assertNotIn("call-secret", str(body))
        operator_token = {"Authorization": "Bearer op-secret"}
        self.send("GET", "/v1/hosts", 200, headers=operator_token)


def _error_codes(error=CranberryrunError):
    yield error.code
    for kind in error.__subclasses__():
        if kind.__module__ == exceptions.__name__:
            yield from _error_codes(kind)


class PagesTest(unittest.TestCase):
    def test_every_error_code_is_documented(self):
        page = (_DOCS / "API.md").read_text(encoding="utf-8")
        missing = [code for code in _error_codes() if f"`{code}`" not in page]
        self.assertEqual(missing, [])

    def test_every_route_is_documented(self):
        page = (_DOCS / "API.md").read_text(encoding="utf-8")
        routes = Api._routes(unittest.mock.MagicMock())
        missing = [
            route.path
            for route in routes
            if route.path.replace("/{path:.*}", "/{path}") not in page
        ]
        self.assertEqual(missing, [])

    def test_event_page_matches_catalogue(self):
        page = (_DOCS / "EVENTS.md").read_text(encoding="utf-8")
        self.assertEqual(page, event_page())

    def test_event_numbers_are_unique(self):
        numbers = [kind.number for kind in EVENT_BY_NAME.values()]
        self.assertEqual(len(numbers), len(set(numbers)))
