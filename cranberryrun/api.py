"""The HTTP API of a host for operators, trainers and other callers."""

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
from .buffer_budget import BufferBudget
from .caller_http import abort_connection, problem_response
from .client_limits import RecordedLimits
from .events import Events
from .exceptions import (
    CranberryrunError,
    KernelError,
    MethodNotAllowedError,
    NotFoundError,
    NotReadyError,
    TooLargeError,
)
from .metrics import Metrics
from .request_server import AppRunner
from .resources import Resources
from .security import Tokens, server_context
from .settings import Settings

# ResourceHandlers is last: its path patterns also match paths of the other handlers.
_HANDLER_CLASSES: tuple[type[Handlers], ...] = (
    FleetHandlers,
    TrainerHandlers,
    CallHandlers,
    ResourceHandlers,
)


class Api(Listener):
    """Serves the HTTP API on the host's API port.

    ``on_drain_requested`` is called when an operator requests a drain.
    """

    requires = ("resources", "steps", "traffic", "calls", "versions", "event_pages")

    def __init__(self, settings: Settings) -> None:
        super().__init__()
        self._settings = settings
        self._tokens = Tokens(settings.tokens)
        self._runner: AppRunner | None = None
        self._site: web.TCPSite | None = None
        self._in_flight = 0
        self._latest_deadline = 0.0
        self._idle_since = 0.0
        self.host_id = settings.id
        self.accepting = False
        self.on_drain_requested: Any = None

    @property
    def in_flight(self) -> int:
        """The number of requests in flight."""
        return self._in_flight

    @property
    def latest_deadline(self) -> float:
        """The latest deadline of all requests so far, in event loop time."""
        return self._latest_deadline

    def authorize(self, request: web.Request, role: str) -> str:
        """See :meth:`Listener.authorize`."""
        return self._tokens.authorize(request.headers.get("Authorization", ""), role)

    def record_deadline(self, deadline: float) -> None:
        """See :meth:`Listener.record_deadline`."""
        self._latest_deadline = max(self._latest_deadline, deadline)

    def idle_for(self) -> float:
        """Return the seconds since the last request ended; 0 if one is in flight."""
        return 0.0 if self._in_flight else clock.now() - self._idle_since

    async def start(self) -> None:
        """Start listening on the API port."""
        metrics = self.kernel.get(Metrics)
        metrics.register_gauge("in_flight", lambda: self._in_flight)
        budget = BufferBudget(self._settings.limits.connection_bytes)
        metrics.register_gauge("buffered_bytes", budget.used_by_path)
        app = web.Application(
            client_max_size=self._settings.limits.body_bytes,
            middlewares=[self._middleware],
        )
        app.add_routes(self._routes())
        app.on_response_prepare.append(self._close_connection_when_stopping)
        # Cancel the handler of a disconnected caller to free its capacity.
        self._runner = AppRunner(
            app,
            limits=RecordedLimits(metrics, self.kernel.get(Events), budget),
            access_log=None,
            shutdown_timeout=1,
            handler_cancellation=True,
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
            raise KernelError(f"can't listen on the API port: {error}") from None
        self.accepting = True

    async def _close_connection_when_stopping(
        self, request: web.Request, response: web.StreamResponse
    ) -> None:
        """Close the connection after the response if this host is stopping.

        The caller then opens its next connection to another host.
        """
        request["head_sent"] = True
        if self.accepting:
            return
        response.headers["Connection"] = "close"
        response.force_close()

    def mark_unready(self) -> None:
        """Fail readiness checks so that load balancers use other hosts; end watches."""
        self.accepting = False

    async def stop_listening(self) -> None:
        """Accept no new connections; open ones stay usable."""
        if self._site is not None:
            await self._site.stop()
            self._site = None
            # Restart the idle period: open connections may still carry new requests.
            self._idle_since = clock.now()

    async def stop(self) -> None:
        """Close the remaining connections."""
        await super().stop()
        if self._runner is not None:
            await self._runner.cleanup()

    def _routes(self) -> list[web.AbstractRouteDef]:
        routes: list[web.AbstractRouteDef] = [
            web.get("/healthz", self._healthz),
            web.get("/readyz", self._readyz),
        ]
        for kind in _HANDLER_CLASSES:
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
                return problem_response(NotFoundError(f"unknown path {request.path}"))
            if error.status == 405:
                allowed = error.headers.get("Allow", "")
                return problem_response(
                    MethodNotAllowedError(f"the path allows {allowed}")
                )
            raise
        except ConnectionError:
            return abort_connection(request)
        except Exception as error:
            logging.exception("unexpected error in the handler of %s", request.path)
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
        self.kernel.get(Resources).check_kind("services")
        return web.json_response({"host": self._settings.id, "ready": True})
