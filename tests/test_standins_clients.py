"""Tests of the trainer and caller stand-ins against a scripted entry host."""

import json
import unittest
from typing import Any

import aiohttp
from aiohttp import web
from aiohttp.test_utils import TestServer

from standins.callers import CallerClients, CallerOptions, Outcome
from standins.trainer import TrainerClient, TrainerOptions


def make_sample(index: int, version: int | None) -> dict[str, Any]:
    """Return a sample of group ``g0``; ``None`` omits its version stamp."""
    versions = [] if version is None else [{"version": version, "tokens": 1}]
    sample = {"group": "g0", "index": index, "text": "a", "tokens": 1}
    return {**sample, "versions": versions}


def make_group(*samples: dict[str, Any]) -> dict[str, Any]:
    """Return an event of group ``g0``."""
    group = {"event": "group", "group": "g0", "newest_version": 5}
    return {**group, "samples": list(samples)}


class ScriptedStepHost:
    """Entry host that responds to each step call with the events of the next script.

    An empty script is a 503 response.
    """

    def __init__(self, scripts: list[list[dict[str, Any]]]) -> None:
        self.scripts = scripts
        self.bodies: list[dict[str, Any]] = []

    async def start(self) -> TestServer:
        """Listen on a free port."""
        app = web.Application()
        app.router.add_post("/v1/workloads/w/versions", self._announce)
        app.router.add_post("/v1/workloads/w/steps/{n}/samples", self._step)
        server = TestServer(app)
        await server.start_server()
        return server

    async def _announce(self, request: web.Request) -> web.Response:
        return web.json_response({}, status=202)

    async def _step(self, request: web.Request) -> web.StreamResponse:
        self.bodies.append(await request.json())
        script = self.scripts.pop(0)
        if not script:
            return web.Response(status=503, headers={"Retry-After": "0.01"})
        response = web.StreamResponse()
        await response.prepare(request)
        for event in script:
            await response.write(json.dumps(event).encode() + b"\n")
        return response


class TrainerTests(unittest.IsolatedAsyncioTestCase):
    """The trainer retries interrupted steps and checks each sample."""

    async def run_trainer(self, steps: ScriptedStepHost) -> TrainerClient:
        """Run a trainer with one step of two samples against the entry host."""
        server = await steps.start()
        self.addAsyncCleanup(server.close)
        options = TrainerOptions(
            workload="w",
            entries=[str(server.make_url("")).rstrip("/")],
            steps=1,
            groups=1,
            samples=2,
            first_version=5,
        )
        async with aiohttp.ClientSession() as session:
            trainer = TrainerClient(options, session)
            await trainer.run()
        return trainer

    async def test_trainer_retries_with_received_slots_and_checkpoint(self) -> None:
        placements = [{"stream": "s"}]
        steps = ScriptedStepHost(
            [
                [],
                [
                    {"event": "checkpoint", "placements": placements},
                    make_group(make_sample(0, 5)),
                ],
                [{"event": "moved"}],
                [
                    {"event": "later"},
                    make_group(make_sample(1, 4)),
                    {"event": "done"},
                ],
            ]
        )
        trainer = await self.run_trainer(steps)
        summary = trainer.record.summary()
        self.assertEqual(len(steps.bodies), 4)
        self.assertEqual(steps.bodies[-1]["received"], [["g0", 0]])
        self.assertEqual(steps.bodies[-1]["checkpoint"], placements)
        self.assertEqual(summary["steps_done"], 1)
        self.assertEqual(summary["samples_received"], 2)
        self.assertEqual(summary["samples_doubled"], 0)
        self.assertEqual(summary["staleness_mean_versions"], 0.5)

    async def test_trainer_counts_doubled_stale_and_unstamped_samples(self) -> None:
        group = make_group(make_sample(0, 3), make_sample(0, 2), make_sample(1, None))
        trainer = await self.run_trainer(ScriptedStepHost([[group, {"event": "done"}]]))
        summary = trainer.record.summary()
        self.assertEqual(summary["samples_received"], 2)
        self.assertEqual(summary["samples_doubled"], 1)
        self.assertEqual(summary["samples_stale"], 1)
        self.assertEqual(summary["samples_unstamped"], 1)


class ScriptedCallHost:
    """Entry host that responds to each call with the next scripted kind."""

    def __init__(self, kinds: list[str]) -> None:
        self.kinds = kinds
        self.keys: list[str | None] = []

    async def start(self) -> TestServer:
        """Listen on a free port."""
        app = web.Application()
        app.router.add_get("/readyz", self._ready)
        app.router.add_route("*", "/call/s/{path:.*}", self._call)
        server = TestServer(app)
        await server.start_server()
        return server

    async def _ready(self, request: web.Request) -> web.Response:
        return web.Response()

    async def _call(self, request: web.Request) -> web.StreamResponse:
        self.keys.append(request.headers.get("Idempotency-Key"))
        kind = self.kinds.pop(0) if self.kinds else "ok"
        if kind == "drop":
            request.transport.abort()
            return web.Response()
        if kind in ("refuse", "unknown"):
            body = {"not_run": kind == "refuse"}
            headers = {"Retry-After": "0.01"}
            return web.json_response(body, status=503, headers=headers)
        echo = await request.json() if request.can_read_body else None
        path = "/" + request.match_info["path"]
        if kind == "truncate":
            return await self._truncate(request)
        return web.json_response({"ran": 1, "path": path, "echo": echo})

    async def _truncate(self, request: web.Request) -> web.StreamResponse:
        response = web.StreamResponse()
        response.content_length = 100
        await response.prepare(request)
        await response.write(b"{}")
        request.transport.close()
        return response


class CallerTests(unittest.IsolatedAsyncioTestCase):
    """Retries and outcomes of a caller."""

    async def run_call(
        self, kinds: list[str]
    ) -> tuple[ScriptedCallHost, CallerClients]:
        """Send one keyed request to the entry host."""
        entry = ScriptedCallHost(kinds)
        server = await entry.start()
        self.addAsyncCleanup(server.close)
        options = CallerOptions(
            entries=[str(server.make_url("")).rstrip("/")],
            service="s",
            rate=10.0,
            seconds=0.1,
            keyed_share=1.0,
        )
        connector = aiohttp.TCPConnector(force_close=True)
        async with aiohttp.ClientSession(connector=connector) as session:
            callers = CallerClients(options, session)
            await callers.run()
        return entry, callers

    async def test_caller_retries_with_the_same_key(self) -> None:
        entry, callers = await self.run_call(["drop", "refuse", "ok"])
        self.assertEqual(len(entry.keys), 3)
        self.assertEqual(len(set(entry.keys)), 1)
        self.assertEqual(callers.calls[0].outcome, Outcome.OK)
        self.assertFalse(callers.calls[0].mismatched)

    async def test_caller_does_not_retry_when_the_outcome_is_unknown(self) -> None:
        entry, callers = await self.run_call(["unknown"])
        self.assertEqual(len(entry.keys), 1)
        self.assertEqual(callers.calls[0].outcome, Outcome.UNKNOWN)

    async def test_caller_counts_a_truncated_response(self) -> None:
        entry, callers = await self.run_call(["truncate"])
        summary = callers.summary()
        self.assertEqual(len(entry.keys), 1)
        self.assertEqual(summary["requests_truncated"], 1)
        self.assertEqual(summary["requests_answered"], 0)
        self.assertEqual(summary["unknown"], 1)

    async def test_outcome_is_refused_when_all_retries_are_refused(self) -> None:
        entry, callers = await self.run_call(["refuse"] * 10)
        self.assertEqual(len(entry.keys), 6)
        self.assertEqual(callers.calls[0].outcome, Outcome.REFUSED)
