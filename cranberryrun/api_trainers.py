"""Routes for trainers: weight versions and steps."""

from __future__ import annotations

from aiohttp import web

from .api_handlers import Handlers
from .api_messages import NDJSON
from .api_workspaces import identify_workspace
from .caller_http import parse_integer
from .models import StepRequest, VersionAnnouncement, check_json
from .resources import Resources
from .steps import Steps
from .versions import Versions


class TrainerHandlers(Handlers):
    """Accepts weight versions and streams the samples of steps to trainers."""

    def routes(self) -> list[web.AbstractRouteDef]:
        """See :meth:`Handlers.routes`."""
        return [
            web.post("/v1/workloads/{name}/versions", self._announce),
            web.get("/v1/workloads/{name}/versions", self._newest),
            web.post("/v1/workloads/{name}/steps/{step}/samples", self._step),
        ]

    async def _announce(self, request: web.Request) -> web.Response:
        self.authorize(request, "trainer")
        body = check_json(VersionAnnouncement, await request.read())
        logged = await self.kernel.get(Versions).announce(
            request.match_info["name"], body.version
        )
        return web.json_response(
            {"version": body.version, "logged": logged}, status=200 if logged else 202
        )

    async def _newest(self, request: web.Request) -> web.Response:
        self.authorize(request, "trainer")
        name = request.match_info["name"]
        self.kernel.get(Resources).get("workloads", name)
        newest = self.kernel.get(Versions).newest(name)
        return web.json_response({"version": newest})

    async def _step(self, request: web.Request) -> web.StreamResponse:
        self.authorize(request, "trainer")
        identify_workspace(self.kernel, request)
        steps = self.kernel.get(Steps)
        workload = steps.resolve_workload(request.match_info["name"])
        step = parse_integer(request.match_info["step"], "step")
        body = check_json(StepRequest, await request.read())
        workspace = identify_workspace(self.kernel, request)
        response = web.StreamResponse(headers={"Content-Type": NDJSON})
        await response.prepare(request)

        async def send(event) -> None:
            await response.write(event.model_dump_json().encode() + b"\n")

        name = None if workspace is None else workspace.name
        await steps.run(workload, step, body, send, name)
        await response.write_eof()
        return response
