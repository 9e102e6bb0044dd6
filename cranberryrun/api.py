"""The HTTP API of a host, for operators, trainers and other callers."""

from __future__ import annotations

import json
from dataclasses import fields
from typing import Any

from absl import logging
from aiohttp import web

from . import clock
from .calls import Calls
from .configuration import Configuration
from .event_pages import EventPages
from .events import Events
from .exceptions import (
    CranberryrunError,
    InvalidInputError,
    KernelError,
    MethodNotAllowedError,
    NotFoundError,
    NotReadyError,
    TooLargeError,
    WatchExpiredError,
)
from .kernel import Service
from .membership import Membership
from .metrics import CONTENT_TYPE, Metrics
from .models import StepRequest, VersionAnnouncement, check_json
from .relay import (
    ResponseSink,
    cut,
    integer,
    problem_answer,
    problem_response,
    read_call,
    whole_response,
)
from .resources import Resources
from .security import Tokens, server_context
from .settings import Settings
from .steps import Steps
from .timeline import Selection
from .traffic import Traffic
from .usage import Usage
from .usage_reports import forecast_report, usage_report
from .versions import Versions

_JSON = "application/json"
_NDJSON = "application/x-ndjson"


class Api(Service):
    """Listens on the host's API port. ``drain`` is asked for by operators too."""

    name = "api"
    requires = ("resources", "steps", "traffic", "calls", "versions", "event_pages")

    def __init__(self, settings: Settings) -> None:
        super().__init__()
        self._settings = settings
        self._tokens = Tokens(settings.tokens)
        self._runner: web.AppRunner | None = None
        self._site: web.TCPSite | None = None
        self._in_flight = 0
        self._latest_deadline = 0.0
        self._idle_since = 0.0
        self.accepting = False
        self.drain_asked: Any = None

    @property
    def in_flight(self) -> int:
        """How many requests are being answered."""
        return self._in_flight

    @property
    def latest_deadline(self) -> float:
        """The latest deadline of any request so far, in the loop's time."""
        return self._latest_deadline

    def idle_for(self) -> float:
        """Return for how long nothing was in flight, in seconds."""
        return 0.0 if self._in_flight else clock.now() - self._idle_since

    async def start(self) -> None:
        """Begin to listen."""
        self.kernel.get(Metrics).observe("in_flight", lambda: self._in_flight)
        app = web.Application(
            client_max_size=self._settings.limits.body_bytes,
            middlewares=[self._middleware],
        )
        app.add_routes(self._routes())
        app.on_response_prepare.append(self._end_connection)
        # What a caller no longer waits for is ended: its place is another's.
        self._runner = web.AppRunner(
            app, access_log=None, shutdown_timeout=1, handler_cancellation=True
        )
        await self._runner.setup()
        self._site = web.TCPSite(
            self._runner,
            self._settings.ip,
            self._settings.api_port,
            ssl_context=server_context(self._settings.tls),
        )
        try:
            await self._site.start()
        except OSError as error:
            raise KernelError(f"can't listen for callers: {error}") from None
        self.accepting = True

    async def _end_connection(
        self, request: web.Request, response: web.StreamResponse
    ) -> None:
        """Have the caller open its next connection elsewhere if this host stops."""
        request["head_sent"] = True
        if self.accepting:
            return
        response.headers["Connection"] = "close"
        response.force_close()

    def say_unready(self) -> None:
        """Have the balancer choose other hosts; watches end soon."""
        self.accepting = False

    async def stop_listening(self) -> None:
        """Take no new connections; those that are open go on."""
        if self._site is not None:
            await self._site.stop()
            self._site = None
            # Requests may still be on their way on connections that are open.
            self._idle_since = clock.now()

    async def stop(self) -> None:
        """Close what is left."""
        await super().stop()
        if self._runner is not None:
            await self._runner.cleanup()

    def _routes(self) -> list[web.AbstractRouteDef]:
        return [
            web.get("/healthz", self._healthz),
            web.get("/readyz", self._readyz),
            web.get("/metrics", self._metrics),
            web.get("/v1/hosts", self._hosts),
            web.get("/v1/events", self._events),
            web.get("/v1/timeline", self._timeline),
            web.get("/v1/usage", self._usage),
            web.get("/v1/forecast", self._forecast),
            web.post("/v1/drain", self._drain),
            web.post("/v1/workloads/{name}/versions", self._announce),
            web.get("/v1/workloads/{name}/versions", self._newest),
            web.post("/v1/workloads/{name}/steps/{step}/samples", self._step),
            web.route("*", "/call/{service}/{path:.*}", self._call),
            web.get("/v1/{kind}", self._list),
            web.get("/v1/{kind}/{name}", self._get),
            web.put("/v1/{kind}/{name}", self._put),
            web.delete("/v1/{kind}/{name}", self._delete),
        ]

    @web.middleware
    async def _middleware(self, request: web.Request, handler) -> web.StreamResponse:
        self._in_flight += 1
        try:
            response = await handler(request)
            if not self.accepting:
                response.force_close()
            return response
        except CranberryrunError as error:
            if request.get("head_sent"):
                return cut(request)
            return problem_response(error)
        except web.HTTPRequestEntityTooLarge as error:
            return problem_response(TooLargeError(error.text or ""))
        except web.HTTPException as error:
            if error.status == 404:
                return problem_response(NotFoundError(f"there is no {request.path}"))
            if error.status == 405:
                allowed = error.headers.get("Allow", "")
                return problem_response(MethodNotAllowedError(f"allowed: {allowed}"))
            raise
        except ConnectionError:
            return cut(request)
        except Exception as error:
            logging.exception("request %s failed", request.path)
            if request.get("head_sent"):
                return cut(request)
            return problem_response(CranberryrunError(type(error).__name__))
        finally:
            self._in_flight -= 1
            self._idle_since = clock.now()

    def _allow(self, request: web.Request, role: str) -> str:
        """Return who calls; :raises UnauthorizedError, ForbiddenError:."""
        return self._tokens.allow(request.headers.get("Authorization", ""), role)

    async def _healthz(self, request: web.Request) -> web.Response:
        return web.json_response({"host": self._settings.id})

    async def _readyz(self, request: web.Request) -> web.Response:
        if not self.accepting:
            raise NotReadyError("the host is stopping", retry_after=1)
        self.kernel.get(Resources).kind("services")
        return web.json_response({"host": self._settings.id, "ready": True})

    async def _metrics(self, request: web.Request) -> web.Response:
        body = self.kernel.get(Metrics).scrape()
        return web.Response(body=body, headers={"Content-Type": CONTENT_TYPE})

    async def _hosts(self, request: web.Request) -> web.Response:
        self._allow(request, "operator")
        membership = self.kernel.get(Membership)
        rows = [
            {
                "id": entry.id,
                "zone": entry.zone,
                "ip": entry.ip,
                "api_port": entry.api_port,
                "state": membership.state_of(entry.id),
                "offset": membership.offset_of(entry.id),
            }
            for entry in membership.all_entries()
        ]
        return web.json_response({"host": self._settings.id, "hosts": rows})

    async def _events(self, request: web.Request) -> web.Response:
        self._allow(request, "operator")
        after = integer(request.query.get("after", "-1"), "after")
        events = self.kernel.get(Events).after(after)
        return _json({"events": [event.as_dict() for event in events]})

    async def _timeline(self, request: web.Request) -> web.Response:
        """Merge the events of all hosts; causes stand before their effects."""
        self._allow(request, "operator")
        rows, silent = await self.kernel.get(EventPages).gather(_selection(request))
        return _json({"events": rows, "silent": silent})

    async def _usage(self, request: web.Request) -> web.Response:
        self._allow(request, "operator")
        ledger = await self.kernel.get(Usage).read()
        return _json(usage_report(ledger, self.kernel.get(Configuration).state))

    async def _forecast(self, request: web.Request) -> web.Response:
        self._allow(request, "operator")
        ledger = await self.kernel.get(Usage).read()
        return _json(forecast_report(ledger, self.kernel.get(Configuration).state))

    async def _drain(self, request: web.Request) -> web.Response:
        self._allow(request, "operator")
        if self.drain_asked is not None:
            self.drain_asked()
        return web.json_response({"host": self._settings.id, "draining": True})

    async def _announce(self, request: web.Request) -> web.Response:
        self._allow(request, "trainer")
        body = check_json(VersionAnnouncement, await request.read())
        logged = await self.kernel.get(Versions).announce(
            request.match_info["name"], body.version
        )
        return web.json_response(
            {"version": body.version, "logged": logged}, status=200 if logged else 202
        )

    async def _newest(self, request: web.Request) -> web.Response:
        self._allow(request, "trainer")
        name = request.match_info["name"]
        self.kernel.get(Resources).get("workloads", name)
        newest = self.kernel.get(Versions).newest(name)
        return web.json_response({"version": newest})

    async def _step(self, request: web.Request) -> web.StreamResponse:
        self._allow(request, "trainer")
        steps = self.kernel.get(Steps)
        workload = steps.check(request.match_info["name"])
        step = integer(request.match_info["step"], "step")
        body = check_json(StepRequest, await request.read())
        response = web.StreamResponse(headers={"Content-Type": _NDJSON})
        await response.prepare(request)

        async def send(event) -> None:
            await response.write(event.model_dump_json().encode() + b"\n")

        await steps.run(workload, step, body, send)
        await response.write_eof()
        return response

    async def _call(self, request: web.Request) -> web.StreamResponse:
        caller = self._allow(request, "caller")
        resource = self.kernel.get(Traffic).service(request.match_info["service"])
        call = await read_call(request, caller, resource.spec.timeout)
        self._latest_deadline = max(self._latest_deadline, call.deadline)
        sink = ResponseSink(request, call.request)
        try:
            if call.key is not None:
                answer = await self.kernel.get(Calls).send(call)
            else:
                answer = await self.kernel.get(Traffic).send(call, sink)
        except CranberryrunError as error:
            if sink.begun:
                raise
            answer = problem_answer(error)
        if answer.streamed:
            return await sink.end()
        return whole_response(answer, request, call.request)

    async def _list(self, request: web.Request) -> web.StreamResponse:
        self._allow(request, "operator")
        resources = self.kernel.get(Resources)
        kind = resources.kind(request.match_info["kind"])
        if "watch" in request.query:
            return await self._watch(request, kind)
        rows, offset = resources.list(kind)
        return _json({"kind": kind, "offset": offset, "items": rows})

    async def _watch(self, request: web.Request, kind: str) -> web.StreamResponse:
        text = request.query["watch"]
        offset = integer(text, "watch") if text else None
        resources = self.kernel.get(Resources)
        resources.check_watch(offset)
        response = web.StreamResponse(headers={"Content-Type": _NDJSON})
        await response.prepare(request)
        try:
            async for event in resources.watch(kind, offset, self._ended):
                await response.write(_line(event))
        except WatchExpiredError as error:
            await response.write(_line({"event": "expired", "error": error.problem()}))
        await response.write_eof()
        return response

    def _ended(self) -> bool:
        return not self.accepting

    async def _get(self, request: web.Request) -> web.Response:
        self._allow(request, "operator")
        resources = self.kernel.get(Resources)
        resource = resources.get(request.match_info["kind"], request.match_info["name"])
        return _resource(resources.describe(resource))

    async def _put(self, request: web.Request) -> web.Response:
        self._allow(request, "operator")
        body = _json_object(await request.read())
        unknown = set(body) - {"spec", "kind", "name", "metadata", "status"}
        if unknown:
            field = sorted(unknown)[0]
            raise InvalidInputError(f"{field} is not known", field=field)
        if "spec" not in body:
            raise InvalidInputError("spec is missing", field="spec")
        for field in ("kind", "name"):
            if body.get(field, request.match_info[field]) != request.match_info[field]:
                raise InvalidInputError(f"{field} differs from the path's", field=field)
        return await self._change(request, "put", body["spec"])

    async def _delete(self, request: web.Request) -> web.Response:
        self._allow(request, "operator")
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
            _if_match(request),
            request.headers.get("Change-Id"),
        )
        if resource is None:
            kind, name = request.match_info["kind"], request.match_info["name"]
            return web.json_response({"kind": kind, "name": name, "deleted": True})
        return _resource(resources.describe(resource))


def _resource(body: dict[str, Any]) -> web.Response:
    response = _json(body)
    response.headers["ETag"] = f'"{body["metadata"]["generation"]}"'
    return response


def _json(body: Any) -> web.Response:
    return web.json_response(body, dumps=lambda data: json.dumps(data, default=str))


def _line(event: dict[str, Any]) -> bytes:
    return json.dumps(event).encode() + b"\n"


def _json_object(body: bytes) -> dict[str, Any]:
    try:
        data = json.loads(body, parse_constant=_no_constant)
    except (ValueError, RecursionError) as error:
        raise InvalidInputError(
            f"the body is not JSON: {error}", field="body"
        ) from None
    if not isinstance(data, dict):
        raise InvalidInputError("the body must be a JSON object", field="body")
    return data


def _no_constant(text: str) -> None:
    raise ValueError(f"{text} is no JSON")


def _selection(request: web.Request) -> Selection:
    known = {each.name for each in fields(Selection)}
    for name in request.query:
        if name not in known:
            raise InvalidInputError(f"{name} is not known", field=name)
    query = dict(request.query)
    since = query.pop("since", None)
    try:
        return Selection(**query, since=None if since is None else float(since))
    except ValueError:
        raise InvalidInputError(
            "since must be seconds since 1970", field="since"
        ) from None


def _if_match(request: web.Request) -> int | None:
    if request.headers.get("If-None-Match") == "*":
        return 0
    text = request.headers.get("If-Match")
    if text is None or text == "*":
        return None
    return integer(text.strip().strip('"'), "If-Match")
