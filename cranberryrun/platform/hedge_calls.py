"""Calls between hosts for permits to send second attempts."""

from __future__ import annotations

from aiohttp import web
from pydantic import ValidationError

from ..fleet.permit_client import NotHolderError
from ..second_attempts.client import HedgeAnswer, HedgeClient, HedgeReport
from ..second_attempts.service import SecondAttempts
from .host_calls import NOT_HOLDER_STATUS, ask_holder
from .permit_calls import PERMITS_PATH

# A host that does not know these calls passes unknown paths on to the store; at this
# one it answers 400.
HEDGE_QUERY = "second-attempts"


class HttpHedgeClient(HedgeClient):
    """Reports to another host at the address with which it registered."""

    requires = ("http", "neighbours")

    async def report(self, host: str, report: HedgeReport) -> HedgeAnswer:
        """See :meth:`HedgeClient.report`."""
        question = report.model_dump_json(exclude_defaults=True)
        path = f"{PERMITS_PATH}?{HEDGE_QUERY}"
        return await ask_holder(self.kernel, host, path, question, HedgeAnswer)


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
        return web.Response(status=NOT_HOLDER_STATUS, text=error.detail)
    return web.Response(
        text=answer.model_dump_json(exclude_defaults=True),
        content_type="application/json",
    )
