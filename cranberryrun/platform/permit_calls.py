"""Calls between hosts for permits to send requests to targets that name a limit."""

from __future__ import annotations

from aiohttp import web
from pydantic import ValidationError

from ..fleet.neighbours import Neighbours
from ..fleet.permit_client import (
    NotHolderError,
    PermitClient,
    PermitGrant,
    PermitRequest,
)
from ..fleet.send_permits import SendPermits
from .host_calls import NOT_HOLDER_STATUS, ask_holder

PERMITS_PATH = "/permits"


class HttpPermitClient(PermitClient):
    """Asks another host at the address with which it registered."""

    requires = ("http", "neighbours")

    async def ask(self, host: str, request: PermitRequest) -> PermitGrant:
        """See :meth:`PermitClient.ask`."""
        question = request.model_dump_json()
        return await ask_holder(self.kernel, host, PERMITS_PATH, question, PermitGrant)

    def host_count(self) -> int | None:
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
        return web.Response(status=NOT_HOLDER_STATUS, text=error.detail)
    return web.Response(text=grant.model_dump_json(), content_type="application/json")
