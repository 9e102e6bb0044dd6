"""Routes to read, change and watch resources."""

from __future__ import annotations

from typing import Any

from aiohttp import web

from .api_handlers import Handlers
from .api_messages import (
    NDJSON,
    parse_if_match,
    parse_json_object,
    to_json_line,
    to_json_response,
    to_resource_response,
)
from .caller_http import parse_integer
from .exceptions import InvalidInputError, WatchExpiredError
from .resources import Resources


class ResourceHandlers(Handlers):
    """Lets operators read, change and watch resources."""

    def routes(self) -> list[web.AbstractRouteDef]:
        """See :meth:`Handlers.routes`."""
        return [
            web.get("/v1/{kind}", self._list),
            web.get("/v1/{kind}/{name}", self._get),
            web.put("/v1/{kind}/{name}", self._put),
            web.delete("/v1/{kind}/{name}", self._delete),
        ]

    async def _list(self, request: web.Request) -> web.StreamResponse:
        self.authorize(request, "operator")
        resources = self.kernel.get(Resources)
        kind = resources.check_kind(request.match_info["kind"])
        if "watch" in request.query:
            return await self._watch(request, kind)
        rows, offset = resources.list(kind)
        return to_json_response({"kind": kind, "offset": offset, "items": rows})

    async def _watch(self, request: web.Request, kind: str) -> web.StreamResponse:
        text = request.query["watch"]
        offset = parse_integer(text, "watch") if text else None
        resources = self.kernel.get(Resources)
        resources.check_watch_offset(offset)
        response = web.StreamResponse(headers={"Content-Type": NDJSON})
        await response.prepare(request)
        try:
            async for event in resources.watch(kind, offset, self._is_stopping):
                await response.write(to_json_line(event))
        except WatchExpiredError as error:
            await response.write(
                to_json_line({"event": "expired", "error": error.problem()})
            )
        await response.write_eof()
        return response

    def _is_stopping(self) -> bool:
        return not self.api.accepting

    async def _get(self, request: web.Request) -> web.Response:
        self.authorize(request, "operator")
        resources = self.kernel.get(Resources)
        resource = resources.get(request.match_info["kind"], request.match_info["name"])
        return to_resource_response(resources.describe(resource))

    async def _put(self, request: web.Request) -> web.Response:
        self.authorize(request, "operator")
        body = parse_json_object(await request.read())
        unknown = set(body) - {"spec", "kind", "name", "metadata", "status"}
        if unknown:
            field = sorted(unknown)[0]
            raise InvalidInputError(f"unknown field {field}", field=field)
        if "spec" not in body:
            raise InvalidInputError("spec is missing", field="spec")
        for field in ("kind", "name"):
            if body.get(field, request.match_info[field]) != request.match_info[field]:
                raise InvalidInputError(
                    f"{field} differs from the {field} in the path", field=field
                )
        return await self._change(request, "put", body["spec"])

    async def _delete(self, request: web.Request) -> web.Response:
        self.authorize(request, "operator")
        return await self._change(request, "delete", None)

    async def _change(
        self, request: web.Request, operation: str, spec: Any
    ) -> web.Response:
        resources = self.kernel.get(Resources)
        resource = await resources.change(
            operation,
            request.match_info["kind"],
            request.match_info["name"],
            spec,
            parse_if_match(request),
            request.headers.get("Change-Id"),
        )
        if resource is None:
            kind, name = request.match_info["kind"], request.match_info["name"]
            return web.json_response({"kind": kind, "name": name, "deleted": True})
        return to_resource_response(resources.describe(resource))
