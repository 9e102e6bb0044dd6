"""Passes a batch call on to a neighbour that reaches the store."""

from __future__ import annotations

import asyncio

import aiohttp
from aiohttp import web
from multidict import CIMultiDict
from yarl import URL

from .. import clock
from ..events import Events
from ..exceptions import AppendUnknownError
from ..fleet.neighbours import Neighbours
from ..http import HttpClients, forwardable
from ..kernel import Service
from . import wire

# A call that bears this header was passed on once and is not passed on again.
RELAYED_BY = "X-Relayed-By"
# Neighbours that are asked for one call.
_NEIGHBOURS = 2
# A neighbour answers in milliseconds, an append or read at a slow store in 0.3 s.
_ANSWER_SECONDS = 1.0


class Relay(Service):
    """Asks neighbours in this host's place; each call is idempotent."""

    name = "relay"
    requires = ("events", "http", "neighbours")

    def __init__(self, host_id: str) -> None:
        super().__init__()
        self._host_id = host_id

    async def ask(
        self, request: web.BaseRequest, body: bytes, wait: float
    ) -> web.Response | None:
        """Return a neighbour's answer; None if none can serve the call.

        :param wait: how long the call itself may be kept waiting, in seconds.
        :raises AppendUnknownError: a neighbour may have carried the call out.
        """
        neighbours = self.kernel.get(Neighbours)
        unknown = False
        for neighbour in neighbours.choose(_NEIGHBOURS):
            began = clock.now()
            try:
                response = await self._send(neighbour.front, request, body, wait)
                status: int | str = response.status
            except (aiohttp.ClientError, asyncio.TimeoutError) as error:
                neighbours.failed(neighbour)
                response, status = None, repr(error)
                unknown = unknown or not isinstance(error, aiohttp.ClientConnectorError)
            self.kernel.get(Events).emit(
                "call_relayed",
                request=request.headers.get(wire.ATTEMPT_ID),
                path=request.path,
                to=neighbour.host,
                outcome=status,
                seconds=round(clock.now() - began, 4),
            )
            if response is not None and response.status < 500:
                return response
        if unknown and request.method != "GET":
            raise AppendUnknownError("a neighbour's answer is lost")
        return None

    async def _send(
        self, front: str, request: web.BaseRequest, body: bytes, wait: float
    ) -> web.Response:
        headers = CIMultiDict(forwardable(request.headers))
        headers[RELAYED_BY] = self._host_id
        session = self.kernel.get(HttpClients).shared
        async with session.request(
            request.method,
            URL(f"http://{front}{request.raw_path}", encoded=True),
            headers=headers,
            data=body or None,
            allow_redirects=False,
            timeout=aiohttp.ClientTimeout(total=_ANSWER_SECONDS + wait),
        ) as response:
            return web.Response(
                status=response.status,
                body=await response.read(),
                headers=CIMultiDict(forwardable(response.headers)),
            )
