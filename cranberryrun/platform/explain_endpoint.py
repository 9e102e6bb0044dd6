"""Serves explanations of where a request or a run would go, beside the metrics."""

from __future__ import annotations

from dataclasses import asdict
from typing import TYPE_CHECKING

from aiohttp import web

from ..exceptions import CranberryrunError, InvalidInputError
from ..kernel import Kernel

if TYPE_CHECKING:
    from ..requests.explanation import Explanation

EXPLAIN_PATH = "/explain"


def serve_explanation(kernel: Kernel, request: web.BaseRequest) -> web.Response:
    """Answer with an explanation of the request or model that the query names."""
    try:
        explanation = _explain(kernel, request)
    except CranberryrunError as error:
        return web.json_response(error.problem(), status=error.status)
    return web.json_response(asdict(explanation))


def _explain(kernel: Kernel, request: web.BaseRequest) -> Explanation:
    # Imported here because few hosts are ever asked for an explanation.
    from ..batches.explanation import explain_model
    from ..requests.explanation import explain_request

    query = request.query
    if "model" in query:
        return explain_model(kernel, query["model"])
    for name in ("host", "path"):
        if not query.get(name):
            raise InvalidInputError(f"the query has no {name}", field=name)
    return explain_request(
        kernel,
        query.get("method", "GET"),
        query["host"],
        query["path"],
        query.get("workspace"),
    )
