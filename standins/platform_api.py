"""Stand-in for the platform's API for duties."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import Any

from aiohttp import web

_HOLDER = "X-Cranberryrun-Duty-Holder"
_TOKEN = "X-Cranberryrun-Fencing-Token"


@dataclass(frozen=True, slots=True)
class RecordedCall:
    """A call that reached the API at ``time``, in loop seconds."""

    time: float
    path: str
    body: dict[str, Any]
    holder: str
    token: int


class PlatformApi:
    """Implements ``POST /usage`` and ``POST /scale``.

    ``mode`` is ``up``, ``limited`` (429), ``busy`` (503), ``silent`` (no response),
    ``lost`` (carried out, then closed without a response) or ``full`` (no engine
    available, 409). With ``require_fence`` lower tokens than one seen are answered 409.
    ``delay`` is the time between the arrival of a call and its execution, in seconds; a
    call is executed also if its caller has left.

    :ivar calls: all calls that arrived.
    :ivar carried_out: the calls among them that were carried out.
    """

    def __init__(self, require_fence: bool = True) -> None:
        self.require_fence = require_fence
        self.mode = "up"
        self.delay = 0.0
        self.calls: list[RecordedCall] = []
        self.carried_out: list[RecordedCall] = []
        self.address = ""
        self._token_by_subject: dict[tuple[str, ...], int] = {}
        self._runner: web.AppRunner | None = None

    async def start(self) -> None:
        """Listen on a free loopback port."""
        app = web.Application()
        app.router.add_post("/usage", self._answer)
        app.router.add_post("/scale", self._answer)
        self._runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
        await self._runner.setup()
        await web.TCPSite(self._runner, "127.0.0.1", 0).start()
        host, port = self._runner.addresses[0][:2]
        self.address = f"{host}:{port}"

    async def stop(self) -> None:
        """Stop listening."""
        if self._runner is not None:
            await self._runner.cleanup()

    async def _answer(self, request: web.Request) -> web.Response:
        body = await request.json()
        call = RecordedCall(
            asyncio.get_running_loop().time(),
            request.path,
            body,
            request.headers[_HOLDER],
            int(request.headers[_TOKEN]),
        )
        self.calls.append(call)
        if self.mode == "limited":
            return web.Response(status=429, headers={"Retry-After": "0.2"})
        if self.mode == "busy":
            return web.Response(status=503)
        if self.mode == "silent":
            await asyncio.sleep(3600.0)
        if self.delay:
            await asyncio.sleep(self.delay)
        subject = (request.path, body.get("service", ""), body.get("zone", ""))
        highest = self._token_by_subject.get(subject, -1)
        if self.require_fence and call.token < highest:
            return web.json_response({"fencing-token": highest}, status=409)
        self._token_by_subject[subject] = max(highest, call.token)
        if self.mode == "full":
            return web.json_response({"reason": "no engine available"}, status=409)
        self.carried_out.append(call)
        if self.mode == "lost" and request.transport is not None:
            request.transport.abort()
        return web.json_response({})
