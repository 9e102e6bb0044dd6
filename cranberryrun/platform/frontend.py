"""Serves the HTTP API for callers, the readiness check and the metrics."""

from __future__ import annotations

import json
from urllib.parse import parse_qs

from aiohttp import web
from multidict import CIMultiDict

from .. import clock
from ..answer_memory import reading_for
from ..batches.service import Batches
from ..buffer_budget import BufferPath
from ..events import Events
from ..exceptions import (
    CranberryrunError,
    RequestError,
    TargetFailedError,
)
from ..fleet.client import Answer, Request, StreamedEvents
from ..fleet.directory import Directory
from ..fleet.manifest import Manifest, Route, RouteKind
from ..kernel import Service
from ..metrics import CONTENT_TYPE, Metrics
from ..requests.forwarder import Forwarder
from ..requests.routes import find_route, not_ready_error, require_ready
from ..requests.streams import Streams
from ..workspaces.access import Caller, KeyRejectedError, OtherWorkspaceError
from . import batch_wire, header_names
from .buffers import Buffers, Transfer, whole_response
from .explain_endpoint import EXPLAIN_PATH, serve_explanation
from .http_server import Handler, listen
from .settings import HostSettings
from .unknown_names import UnknownNames

# The platform's protocol names a batch "lot".
_BATCH_PREFIX = "/v1/lots/"
_ITEM_BODY_PREFIX = "/v1/items/"
# Applies to requests without a deadline header.
_DEFAULT_DEADLINE_SECONDS = 10.0
# How long an idle connection of a caller stays open; longer than the idle timeout of
# any manifest.
_KEEPALIVE_SECONDS = 75.0
# How long a caller may read nothing of an answer that belongs to no route.
_STALL_SECONDS = 10.0
# Encoding a page takes its text as an object, as JSON and as bytes.
_PAGE_COPIES = 3
_ONLY_ANSWER_PATIENCE = 3.0


class Frontend(Service):
    """Serves callers, readiness checks and metrics on separate addresses."""

    name = "front"
    requires = (
        "events",
        "metrics",
        "directory",
        "forwarder",
        "streams",
        "batches",
        "unknown_names",
        "buffers",
    )

    def __init__(self, settings: HostSettings) -> None:
        super().__init__()
        self._settings = settings
        self._sites: list[web.TCPSite] = []
        self._runners: list[web.ServerRunner] = []
        self.in_flight = 0
        self.stopping = False

    async def start(self) -> None:
        """Listen on the addresses that the settings give."""
        keepalive = _KEEPALIVE_SECONDS
        await self._listen(self._settings.front_address, self._serve_caller, keepalive)
        await self._listen(
            self._settings.ready_address, self._serve_readiness, keepalive
        )
        if self._settings.metrics_port is not None:
            address = f"{self._settings.ip}:{self._settings.metrics_port}"
            await self._listen(address, self._serve_metrics, keepalive)

    async def _listen(self, address: str, handler: Handler, keepalive: float) -> None:
        # The first address is that of callers.
        limits = self.kernel.get(Buffers).limits
        runner, site = await listen(
            address, handler, keepalive, limits, essential=bool(self._sites)
        )
        self._runners.append(runner)
        self._sites.append(site)

    async def stop(self) -> None:
        """Close all listeners and connections."""
        for runner in self._runners:
            await runner.cleanup()
        await super().stop()

    async def stop_listening(self) -> None:
        """Stop accepting connections from callers; open ones are kept."""
        await self._sites[0].stop()

    async def _serve_readiness(self, request: web.BaseRequest) -> web.Response:
        ready = self.kernel.get(Directory).ready and not self.stopping
        return web.Response(status=200 if ready else 503)

    async def _serve_metrics(self, request: web.BaseRequest) -> web.Response:
        if request.path == EXPLAIN_PATH:
            return serve_explanation(self.kernel, request)
        return web.Response(
            body=self.kernel.get(Metrics).scrape(),
            headers={"Content-Type": CONTENT_TYPE},
        )

    async def _serve_caller(self, request: web.BaseRequest) -> web.StreamResponse:
        self.in_flight += 1
        self.kernel.get(UnknownNames).record_headers(
            "request", request.headers, header_names.KNOWN_IN_REQUESTS
        )
        try:
            with self.kernel.get(Buffers).transfer(request) as transfer:
                return await self._answer(request, transfer)
        finally:
            self.in_flight -= 1

    async def _answer(
        self, request: web.BaseRequest, transfer: Transfer
    ) -> web.StreamResponse:
        transfer.limit_stall(_STALL_SECONDS)
        try:
            response = await self._route_request(request, transfer)
        except CranberryrunError as error:
            response = self._error_response(request, error)
        if self.stopping:
            response.force_close()
        await transfer.send(response)
        return response

    def _error_response(
        self, request: web.BaseRequest, error: CranberryrunError
    ) -> web.Response:
        headers = {}
        if error.retry_after is not None:
            headers["Retry-After"] = f"{error.retry_after:g}"
        if isinstance(error, (KeyRejectedError, OtherWorkspaceError)):
            self._record_rejection(request, error)
        self.kernel.get(Events).emit(
            "answer_failed",
            request=request.headers.get(header_names.ATTEMPT_ID),
            method=request.method,
            path=request.path,
            status=error.status,
            code=error.code,
            reason=error.detail,
        )
        return web.json_response(error.problem(), status=error.status, headers=headers)

    def _record_rejection(
        self, request: web.BaseRequest, error: KeyRejectedError | OtherWorkspaceError
    ) -> None:
        manifest = self.kernel.get(Directory).manifest
        reason = error.rejection.value
        self.kernel.get(Metrics).rejected_key(reason)
        self.kernel.get(Events).emit(
            "key_rejected",
            request=request.headers.get(header_names.ATTEMPT_ID),
            method=request.method,
            path=request.path,
            manifest=manifest.version if manifest is not None else None,
            workspace=error.workspace,
            reason=reason,
        )

    async def _route_request(
        self, request: web.BaseRequest, transfer: Transfer
    ) -> web.StreamResponse:
        path = request.rel_url.raw_path
        directory = self.kernel.get(Directory)
        await directory.wait_for_recent_manifest()
        manifest = self._manifest()
        if path.startswith(_BATCH_PREFIX):
            return await self._serve_batch(
                request,
                path.removeprefix(_BATCH_PREFIX),
                self._identify(manifest, request),
                transfer,
            )
        if path.startswith(_ITEM_BODY_PREFIX):
            return await self._serve_item_body(
                request,
                path.removeprefix(_ITEM_BODY_PREFIX),
                self._identify(manifest, request),
                transfer,
            )
        require_ready(directory)
        caller = self._identify(manifest, request)
        host = request.headers.get("Host", "")
        caller.check_route(directory.route_for(host, path))
        route = find_route(directory, host, path)
        transfer.limit_stall(route.timeout)
        is_batch = route.kind is RouteKind.ROLLOUT
        body = await transfer.read_body(
            BufferPath.SUBMISSION if is_batch else BufferPath.REQUEST_BODY,
            manifest.limits.body_bytes,
            max(route.timeout, _STALL_SECONDS),
        )
        # A body may take so long that the key is revoked meanwhile.
        await directory.wait_for_recent_manifest()
        caller = self._identify(self._manifest(), request)
        caller.check_route(route)
        route = caller.with_priority(route)
        if is_batch:
            text = bytes(body)
            transfer.extend_body(BufferPath.SUBMISSION, batch_wire.decoding_bytes(text))
            return await self._submit_batch(request, route, text, caller)
        return await self._forward(request, route, body, caller, transfer)

    def _manifest(self) -> Manifest:
        """Return the manifest in force.

        :raises NotReadyError: this host has none, so it can't tell who calls.
        """
        manifest = self.kernel.get(Directory).manifest
        if manifest is None:
            raise not_ready_error()
        return manifest

    def _identify(self, manifest: Manifest, request: web.BaseRequest) -> Caller:
        return Caller.identify(manifest, request.headers.get(header_names.KEY))

    async def _forward(
        self,
        request: web.BaseRequest,
        route: Route,
        body: bytes | memoryview,
        caller: Caller,
        transfer: Transfer,
    ) -> web.StreamResponse:
        forwarded = Request(
            id=request.headers.get(header_names.ATTEMPT_ID, ""),
            method=request.method,
            target=request.raw_path,
            headers=tuple(
                (name, value)
                for name, value in request.headers.items()
                if name.lower() not in header_names.CALLERS_OWN
            ),
            body=body,
            deadline=min(_deadline(request), clock.now() + route.timeout),
            workspace=caller.workspace_name,
        )
        if route.kind is RouteKind.STREAMING:
            transfer.reserve_answer(BufferPath.STREAM)
            with reading_for(transfer):
                return await self._forward_stream(request, route, forwarded, transfer)
        # An answer that can't be asked for again is kept for longer.
        patience = 1.0 if route.kind.repeatable else _ONLY_ANSWER_PATIENCE
        transfer.reserve_answer(BufferPath.ANSWER, patience=patience)
        with reading_for(transfer):
            answer = await self.kernel.get(Forwarder).forward(route, forwarded)
        return _response(answer)

    async def _forward_stream(
        self,
        request: web.BaseRequest,
        route: Route,
        forwarded: Request,
        transfer: Transfer,
    ) -> web.StreamResponse:
        last_event_id = request.headers.get(header_names.LAST_EVENT_ID)
        last_event = (
            _parse_number(last_event_id, 0) if last_event_id is not None else None
        )
        response: web.StreamResponse | None = None
        resumes = request.headers.get(header_names.RESUMES) or None
        streams = self.kernel.get(Streams)
        parts = streams.forward(route, forwarded, last_event, resumes)
        try:
            async for part in parts:
                if isinstance(part, StreamedEvents):
                    assert response is not None
                    await transfer.write_part(response, part.raw)
                elif part.body or part.status != 200:
                    return _response(part)
                else:
                    response = _stream_response(part)
                    await response.prepare(request)
        except CranberryrunError:
            if response is None:
                raise
            # A normal end of the response would make a truncated stream look complete.
            if request.transport is not None:
                request.transport.abort()
            return response
        if response is None:
            raise TargetFailedError("the target sent an empty answer")
        await response.write_eof()
        return response

    async def _submit_batch(
        self, request: web.BaseRequest, route: Route, body: bytes, caller: Caller
    ) -> web.Response:
        batch_id = request.headers.get(header_names.ATTEMPT_ID, "")
        if request.method != "POST" or not batch_id:
            raise RequestError("a batch must be a POST request with its id in a header")
        batch = batch_wire.decode_batch(
            batch_id,
            route,
            body,
            self.kernel.get(UnknownNames).record_fields,
            caller.workspace,
        )
        await self.kernel.get(Batches).submit(batch, _deadline(request), caller)
        return web.json_response({}, status=202)

    async def _serve_batch(
        self,
        request: web.BaseRequest,
        batch_id: str,
        caller: Caller,
        transfer: Transfer,
    ) -> web.StreamResponse:
        batches = self.kernel.get(Batches)
        if request.method == "DELETE":
            await batches.end(batch_id, _deadline(request), caller)
            return web.json_response({})
        after = _parse_number(_query_parameter(request, "after"), 0)
        wait_seconds = (
            _parse_number(request.headers.get(header_names.WAIT_MS), 0) / 1000
        )
        page = await batches.results(batch_id, after, wait_seconds, caller)
        transfer.reserve_answer(BufferPath.PAGE, _PAGE_COPIES * page.text_size)
        body = json.dumps(batch_wire.encode_results(page)).encode()
        headers = CIMultiDict({"Content-Type": "application/json; charset=utf-8"})
        return whole_response(200, headers, body)

    async def _serve_item_body(
        self,
        request: web.BaseRequest,
        batch_id: str,
        caller: Caller,
        transfer: Transfer,
    ) -> web.StreamResponse:
        item_id = _query_parameter(request, "id") or ""
        body = await self.kernel.get(Batches).body(batch_id, item_id, caller)
        transfer.reserve_answer(BufferPath.ITEM_BODY, len(body))
        return whole_response(200, CIMultiDict(), body)


def _response(answer: Answer) -> web.StreamResponse:
    return whole_response(answer.status, CIMultiDict(answer.headers), answer.body)


def _stream_response(answer: Answer) -> web.StreamResponse:
    return web.StreamResponse(status=answer.status, headers=CIMultiDict(answer.headers))


def _deadline(request: web.BaseRequest) -> float:
    deadline_ms = _parse_number(request.headers.get(header_names.DEADLINE_MS), 0)
    seconds = deadline_ms / 1000 if deadline_ms > 0 else _DEFAULT_DEADLINE_SECONDS
    return clock.now() + seconds


def _query_parameter(request: web.BaseRequest, name: str) -> str | None:
    values = parse_qs(request.rel_url.raw_query_string).get(name)
    return values[0] if values else None


def _parse_number(text: str | None, default: int) -> int:
    if text is None or not text.strip():
        return default
    try:
        return max(0, int(float(text)))
    except (ValueError, OverflowError):
        raise RequestError(f"{text[:40]!r} is not a number") from None
