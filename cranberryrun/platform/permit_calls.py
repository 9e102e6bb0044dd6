"""Calls between hosts for permits to send requests to targets that name a limit."""

from __future__ import annotations

import asyncio

import aiohttp
from aiohttp import web
from pydantic import ValidationError

from ..exceptions import PeerError
from ..fleet.neighbours import Neighbours
from ..fleet.permit_client import (
    NotHolderError,
    PermitClient,
    PermitGrant,
    PermitRequest,
)
from ..fleet.send_permits import SendPermits
from ..http import HttpClients

PERMITS_PATH = "/permits"
# An answer takes some milliseconds. A caller waits for it, so a later one is no use.
_TIMEOUT_SECONDS = 0.25
_NOT_HOLDER_STATUS = 409


class HttpPermitClient(PermitClient):
    """Asks another host at the address with which it registered."""

    requires = ("http", "neighbours")

    async def ask(self, host: str, request: PermitRequest) -> PermitGrant:
        """See :meth:`PermitClient.ask`."""
        address = self.kernel.get(Neighbours).address_of(host)
        if address is None:
            raise PeerError(f"the address of host {host} is not known")
        try:
            async with self.kernel.get(HttpClients).shared.post(
                f"http://{address}{PERMITS_PATH}",
                data=request.model_dump_json(),
                timeout=aiohttp.ClientTimeout(total=_TIMEOUT_SECONDS),
            ) as response:
                body = await response.read()
        except (aiohttp.ClientError, asyncio.TimeoutError) as error:
            raise PeerError(f"host {host} granted no permits: {error!r}") from None
        if response.status == _NOT_HOLDER_STATUS:
            raise NotHolderError(f"host {host} does not hold the lease")
        if response.status != 200:
            raise PeerError(
                f"host {host} answered {response.status} to a request for permits"
            )
        try:
            return PermitGrant.model_validate_json(body)
        except ValidationError as error:
            raise PeerError(f"the grant of host {host} is malformed: {error}") from None

    def host_count(self) -> int:
        """See :meth:`PermitClient.host_count`."""
        return self.kernel.get(Neighbours).host_count


async def serve_permits(permits: SendPermits, request: web.BaseRequest) -> web.Response:
    """Answer another host's request for permits."""
    try:
        wanted = PermitRequest.model_validate_json(await request.read())
    except ValidationError as error:
        return web.Response(status=400, text=str(error))
    try:
        grant = permits.grant(wanted)
    except NotHolderError as error:
        return web.Response(status=_NOT_HOLDER_STATUS, text=error.detail)
    return web.Response(text=grant.model_dump_json(), content_type="application/json")
