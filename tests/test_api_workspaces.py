"""Tests of the keys of workspaces at the API, with hosts in this process."""

import asyncio
import json
import secrets

from aiohttp import web

from cranberryrun.configuration import Configuration
from cranberryrun.events import Events
from cranberryrun.models import SnapshotRecord
from standins.engine import EngineProgram, EngineStandin

from .test_declared import digest, key_row
from .test_resources import ApiTestCase

KEY = "Cranberryrun-Key"
WORKSPACE = "Cranberryrun-Workspace"
_STEP = "/v1/workloads/denoiser/steps/0/samples"


class _Target:
    """A target that records the headers of its requests."""

    def __init__(self):
        self.headers = []

    def application(self):
        async def respond(request):
            await request.read()
            self.headers.append(dict(request.headers))
            return web.json_response({})

        application = web.Application()
        application.router.add_route("*", "/{path:.*}", respond)
        return application


class _RecordingEngine(EngineProgram):
    """An engine that records the workspaces that it is told."""

    workspaces: list

    async def _generate(self, request):
        self.workspaces = [request.headers.get(WORKSPACE)]
        return await super()._generate(request)


class WorkspaceApiTest(ApiTestCase):
    hosts = 2

    def setUp(self):
        self.key = secrets.token_urlsafe(32)
        self.target = _Target()
        url = self.fleet.run(self.fleet.serve(self.target))
        target = {"id": "t1", "url": url, "zone": "zone-a"}
        self.declare("services", "portal", {"targets": [target]})
        self.addCleanup(self.remove, "red")

    def declare(self, kind, name, spec, status=200):
        body, _ = self.send("PUT", f"/v1/{kind}/{name}", status, json={"spec": spec})
        if status == 200:
            self.wait_until_applied(body["metadata"]["offset"])
        return body

    def remove(self, name):
        self.send("DELETE", f"/v1/workspaces/{name}")
        self.wait_until_applied(self.configuration().state.offset)

    def configuration(self, host="host-1"):
        return self.fleet.host_by_id[host].kernel.get(Configuration)

    def wait_until_applied(self, offset):
        """Wait until both hosts have applied the record at ``offset``."""

        async def wait():
            for host in self.fleet.host_by_id.values():
                await host.kernel.get(Configuration).wait_past(offset - 1, 5)

        self.fleet.run(wait())

    def call(self, status, host=0, **headers):
        named = {name.replace("_", "-"): value for name, value in headers.items()}
        options = {"headers": named, "data": b"x"}
        return self.send("POST", "/call/portal/a", status, host, **options)[0]

    def test_without_workspaces_no_key_is_needed_and_none_is_passed_on(self):
        # A host may not have read the first workspace yet when callers send keys.
        self.call(200, **{KEY: "any", WORKSPACE: "blue"})
        (headers,) = self.target.headers
        self.assertNotIn(KEY, headers)
        self.assertNotIn(WORKSPACE, headers)

    def test_calls_and_steps_need_a_key_and_targets_get_the_workspace(self):
        self.declare("workspaces", "red", {"keys": [key_row("k1", self.key)]})
        self.call(401)
        self.call(401, host=1, **{KEY: "unknown"})
        self.send("POST", "/call/nowhere/a", 401, data=b"x")
        self.send("POST", _STEP, 401, data=b"x")
        self.send("POST", _STEP, 404, data=b"x", headers={KEY: self.key})
        self.send("GET", "/v1/services/portal", 200)
        self.assertEqual(self.target.headers, [])
        # The second call goes to the owner of its idempotency key, at either host.
        self.call(200, **{KEY: self.key, WORKSPACE: "blue"})
        for host in (0, 1):
            sent = {KEY: self.key, WORKSPACE: "blue", "Idempotency_Key": f"i{host}"}
            self.call(200, host, **sent)
        self.assertEqual([row[WORKSPACE] for row in self.target.headers], ["red"] * 3)
        self.assertNotIn(self.key, json.dumps(self.target.headers))

    def test_idempotency_keys_belong_to_the_workspace(self):
        # Else a workspace that guesses a key gets the answer of another one.
        self.declare("workspaces", "red", {"keys": [key_row("k1", self.key)]})
        self.declare("workspaces", "blue", {"keys": [key_row("k1", "blue-key")]})
        self.addCleanup(self.remove, "blue")
        for key in (self.key, "blue-key"):
            self.call(200, **{KEY: key, "Idempotency_Key": "same"})
        self.assertEqual(
            [row[WORKSPACE] for row in self.target.headers], ["red", "blue"]
        )

    def test_revoked_key_stops_working_on_open_connections_and_in_slow_bodies(self):
        self.declare("workspaces", "red", {"keys": [key_row("k1", self.key)]})
        head = (
            "POST /call/portal/a HTTP/1.1\r\nHost: h\r\n"
            f"{KEY}: {self.key}\r\nContent-Length: 2\r\n\r\n"
        ).encode()

        async def call_across_revocation():
            settings = self.fleet.host_by_id["host-2"].settings
            reader, writer = await asyncio.open_connection(
                settings.ip, settings.api_port
            )
            writer.write(head + b"xx")
            first = await reader.readuntil(b"\r\n\r\n{}")
            writer.write(head + b"x")
            await asyncio.sleep(0.1)
            await self._send("PUT", "/v1/workspaces/red", 1, {"json": revocation})
            writer.write(b"x" + head + b"xx")
            await asyncio.sleep(0.2)
            second = await reader.read(65_536)
            writer.close()
            return first, second

        revocation = {"spec": {"keys": []}}
        first, second = self.fleet.run(call_across_revocation())
        self.assertIn(b" 200 ", first.splitlines()[0])
        self.assertEqual(second.count(b" 401 "), 2)
        self.assertEqual(len(self.target.headers), 1)

    def test_no_answer_event_or_record_has_a_key_and_no_answer_a_digest(self):
        spec = {"keys": [key_row("k1", self.key)]}
        shown = [self.declare("workspaces", "red", spec)]
        self.call(200, **{KEY: self.key, "Idempotency_Key": "i"})
        for path in ("/v1/workspaces/red", "/v1/workspaces", "/v1/timeline"):
            shown.append(self.send("GET", path, 200)[0])
        shown += self.fleet.run(self.lines("/v1/workspaces?watch=-1", 2))
        shown.append(self.declare("workspaces", "blue", spec, 422))
        spec["keys"][0]["sha256"] = self.key
        shown.append(self.declare("workspaces", "blue", spec, 422))
        self.declare("workspaces", "red", {"keys": []})
        shown.append(self.call(401, **{KEY: self.key}))
        host = self.fleet.host_by_id["host-1"]
        events = [event.as_dict() for event in host.kernel.get(Events).after(-1)]
        self.assertEqual(
            [row["reason"] for row in events if row["event"] == "key_rejected"][-1:],
            ["revoked"],
        )
        text = json.dumps(shown + events, default=str)
        self.assertIn("k1", text)
        self.assertNotIn(digest(self.key), text)
        self.assertNotIn(self.key, text + repr(vars(self.fleet.log)))

    def test_engines_get_the_workspace_of_a_call(self):
        # Engines are called by another client than plain targets.
        engine = _RecordingEngine(EngineStandin())
        url = self.fleet.run(self.fleet.serve(engine))
        spec = {"url": url, "zone": "zone-a", "pool": "rollout"}
        self.declare("engines", "engine-1", spec)
        self.declare("services", "advice", {"pool": "rollout"})
        self.declare("workspaces", "red", {"keys": [key_row("k1", self.key)]})
        body = {"group": "g", "prompt": "p", "samples": 1, "max_tokens": 4}
        headers = {KEY: self.key, WORKSPACE: "blue"}
        for _ in range(50):
            _, _, status = self.fleet.run(
                self._send(
                    "POST", "/call/advice/", 0, {"json": body, "headers": headers}
                )
            )
            if status == 200:
                break
            self.fleet.run(asyncio.sleep(0.1))
        self.assertEqual(engine.workspaces, ["red"])

    def test_host_without_a_configuration_answers_503(self):
        ready = self.configuration().ready
        ready.clear()
        try:
            self.assertEqual(self.call(503)["code"], "not_ready")
            self.send("POST", _STEP, 503, data=b"x")
        finally:
            ready.set()

    def test_snapshot_of_an_earlier_build_does_not_open_the_host(self):
        self.declare("workspaces", "red", {"keys": [key_row("k1", self.key)]})
        configuration = self.configuration()
        state = configuration.state.dump()
        del state["workspaces"]
        covers = configuration.state.offset + 1
        snapshot = SnapshotRecord(covers=covers, state=state)
        self.fleet.run(configuration._install_snapshot(snapshot, "log"))
        self.call(401)
        self.call(200, **{KEY: self.key})
        # Level with the log again, so that the host goes on reading it.
        configuration.state.offset -= 1
