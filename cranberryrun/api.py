"""The HTTP API of a host, for operators, trainers and other callers."""

from __future__ import annotations

from typing import Any

from absl import logging
from aiohttp import web

from . import clock
from .api_calls import CallHandlers
from .api_fleet import FleetHandlers
from .api_handlers import Handlers, Listener
from .api_resources import ResourceHandlers
from .api_trainers import TrainerHandlers
from .caller_http import abort_connection, problem_response
from .exceptions import (
    CranberryrunError,
    KernelError,
    MethodNotAllowedError,
    NotFoundError,
    NotReadyError,
    TooLargeError,
)
from .metrics import Metrics
from .resources import Resources
from .security import Tokens, server_context
from .settings import Settings

# The paths of resources match others' too, so they are tried last.
_HANDLERS: tuple[type[Handlers], ...] = (
    FleetHandlers,
    TrainerHandlers,
    CallHandlers,
    ResourceHandlers,
)


class Api(Listener):
    """Listens on the host's API port. ``drain`` is asked for by operators too."""

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
        self.host_id = settings.id
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

    def allow(self, request: web.Request, role: str) -> str:
        """See :meth:`Listener.allow`."""
        return self._tokens.allow(request.headers.get("Authorization", ""), role)

    def note_deadline(self, deadline: float) -> None:
        """See :meth:`Listener.note_deadline`."""
        self._latest_deadline = max(self._latest_deadline, deadline)

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
        routes: list[web.AbstractRouteDef] = [
            web.get("/healthz", self._healthz),
            web.get("/readyz", self._readyz),
        ]
        for kind in _HANDLERS:
            routes.extend(kind(self.kernel).routes())
        return routes

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
                return abort_connection(request)
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
            return abort_connection(request)
        except Exception as error:
            logging.exception("request %s failed", request.path)
            if request.get("head_sent"):
                return abort_connection(request)
            return problem_response(CranberryrunError(type(error).__name__))
        finally:
            self._in_flight -= 1
            self._idle_since = clock.now()

    async def _healthz(self, request: web.Request) -> web.Response:
        return web.json_response({"host": self._settings.id})

    async def _readyz(self, request: web.Request) -> web.Response:
        if not self.accepting:
            raise NotReadyError("the host is stopping", retry_after=1)
        self.kernel.get(Resources).kind("services")
        return web.json_response({"host": self._settings.id, "ready": True})
