"""Calls between hosts for the results of a batch."""

from __future__ import annotations

from aiohttp import web
from pydantic import TypeAdapter, ValidationError

from ..batches.result_source import ResultPage, ResultSource
from ..batches.service import Batches
from ..buffer_budget import BufferPath
from ..exceptions import CranberryrunError, PeerError
from .buffers import Transfer
from .host_calls import call_host

RESULTS_PATH = "/batch-results"
# The largest page takes 0.3 s over the slowest link; reading the store instead takes
# longer still.
_TIMEOUT_SECONDS = 0.6
_UNKNOWN_STATUS = 404
# Larger pages are read from the store. The holder serves all trainers, and its memory
# and link are no larger than those of the host that asks.
_MAX_PAGE_BYTES = 262_144
_MAX_WAIT_SECONDS = 30.0
_PAGE_ADAPTER: TypeAdapter[ResultPage] = TypeAdapter(ResultPage)


class HttpResultSource(ResultSource):
    """Asks another host at the address with which it registered."""

    requires = ("http", "neighbours")

    async def read(
        self, host: str, batch_id: str, after: int | None, wait: float
    ) -> ResultPage | None:
        """See :meth:`ResultSource.read`."""
        params = {"batch": batch_id, "wait": f"{wait:g}"}
        if after is not None:
            params["after"] = str(after)
        status, body = await call_host(
            self.kernel,
            host,
            "GET",
            RESULTS_PATH,
            wait + _TIMEOUT_SECONDS,
            params=params,
        )
        if status == _UNKNOWN_STATUS:
            return None
        if status != 200:
            raise PeerError(f"host {host} answered {status} to a read of results")
        try:
            return _PAGE_ADAPTER.validate_json(body)
        except ValidationError as error:
            raise PeerError(f"the page of host {host} is malformed: {error}") from None


async def serve_results(
    batches: Batches, request: web.BaseRequest, transfer: Transfer
) -> web.Response:
    """Answer another host's read of results."""
    query = request.query
    try:
        after = int(query["after"]) if "after" in query else None
        wait = float(query["wait"])
        batch_id = query["batch"]
    except (KeyError, ValueError) as error:
        return web.Response(status=400, text=repr(error))
    if (after is not None and after < 0) or not 0 <= wait <= _MAX_WAIT_SECONDS:
        return web.Response(status=400, text="after or wait is out of range")
    try:
        page = await batches.results_in_memory(batch_id, after, wait)
        if page is None or page.text_size > _MAX_PAGE_BYTES:
            return web.Response(status=_UNKNOWN_STATUS)
        transfer.reserve_answer(BufferPath.PAGE, page.text_size)
    except CranberryrunError as error:
        return web.json_response(error.problem(), status=503)
    return web.Response(
        body=_PAGE_ADAPTER.dump_json(page), content_type="application/json"
    )
