"""Calls between hosts for permits to send second attempts."""

from __future__ import annotations

import asyncio

import aiohttp
from aiohttp import web
from pydantic import ValidationError

from ..exceptions import PeerError
from ..fleet.neighbours import Neighbours
from ..fleet.permit_client import NotHolderError
from ..http import HttpClients
from ..second_attempts.client import HedgeAnswer, HedgeClient, HedgeReport
from ..second_attempts.service import SecondAttempts
from .permit_calls import PERMITS_PATH

# A host that does not know these calls passes unknown paths on to the store; at this
# one it answers 400.
HEDGE_QUERY = "second-attempts"
# An answer takes some milliseconds; a later one is no use to the waiting request.
_TIMEOUT_SECONDS = 0.25
_NOT_HOLDER_STATUS = 409


class HttpHedgeClient(HedgeClient):
    """Reports to another host at the address with which it registered."""

    requires = ("http", "neighbours")

    async def report(self, host: str, report: HedgeReport) -> HedgeAnswer:
        """See :meth:`HedgeClient.report`."""
        address = self.kernel.get(Neighbours).address_of(host)
        if address is None:
            raise PeerError(f"the address of host {host} is not known")
        try:
            async with self.kernel.get(HttpClients).shared.post(
                f"http://{address}{PERMITS_PATH}?{HEDGE_QUERY}",
                data=report.model_dump_json(exclude_defaults=True),
                timeout=aiohttp.ClientTimeout(total=_TIMEOUT_SECONDS),
            ) as response:
                body = await response.read()
        except (aiohttp.ClientError, asyncio.TimeoutError) as error:
            raise PeerError(f"host {host} took no report: {error!r}") from None
        if response.status == _NOT_HOLDER_STATUS:
            raise NotHolderError(f"host {host} does not hold the lease")
        if response.status != 200:
            raise PeerError(f"host {host} answered {response.status} to a report")
        try:
            return HedgeAnswer.model_validate_json(body)
        except ValidationError as error:
            raise PeerError(
                f"the answer of host {host} is malformed: {error}"
            ) from None


async def serve_report(
    second_attempts: SecondAttempts, request: web.BaseRequest
) -> web.Response:
    """Answer another host's report."""
    try:
        report = HedgeReport.model_validate_json(await request.read())
    except ValidationError as error:
        return web.Response(status=400, text=str(error))
    try:
        answer = second_attempts.serve(report)
    except NotHolderError as error:
        return web.Response(status=_NOT_HOLDER_STATUS, text=error.detail)
    return web.Response(
        text=answer.model_dump_json(exclude_defaults=True),
        content_type="application/json",
    )
