"""Fleet routes: hosts, events, timeline, usage, forecast, metrics and drain."""

from __future__ import annotations

from aiohttp import web

from .api_handlers import Handlers
from .api_messages import parse_selection, to_json_response
from .caller_http import parse_integer
from .configuration import Configuration
from .event_pages import EventPages
from .events import Events
from .membership import Membership
from .metrics import CONTENT_TYPE, Metrics
from .usage import Usage
from .usage_reports import forecast_report, usage_report


class FleetHandlers(Handlers):
    """Reports the state of the fleet to operators, and drains the host."""

    def routes(self) -> list[web.AbstractRouteDef]:
        """See :meth:`Handlers.routes`."""
        return [
            web.get("/metrics", self._metrics),
            web.get("/v1/hosts", self._hosts),
            web.get("/v1/events", self._events),
            web.get("/v1/timeline", self._timeline),
            web.get("/v1/usage", self._usage),
            web.get("/v1/forecast", self._forecast),
            web.post("/v1/drain", self._drain),
        ]

    async def _metrics(self, request: web.Request) -> web.Response:
        body = self.kernel.get(Metrics).scrape()
        return web.Response(body=body, headers={"Content-Type": CONTENT_TYPE})

    async def _hosts(self, request: web.Request) -> web.Response:
        self.authorize(request, "operator")
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
        return web.json_response({"host": self.api.host_id, "hosts": rows})

    async def _events(self, request: web.Request) -> web.Response:
        self.authorize(request, "operator")
        after = parse_integer(request.query.get("after", "-1"), "after")
        events = self.kernel.get(Events).after(after)
        return to_json_response({"events": [event.as_dict() for event in events]})

    async def _timeline(self, request: web.Request) -> web.Response:
        """Merge the events of all hosts, ordered so that causes precede effects."""
        self.authorize(request, "operator")
        rows, silent_hosts = await self.kernel.get(EventPages).gather(
            parse_selection(request)
        )
        return to_json_response({"events": rows, "silent": silent_hosts})

    async def _usage(self, request: web.Request) -> web.Response:
        self.authorize(request, "operator")
        ledger = await self.kernel.get(Usage).read()
        return to_json_response(
            usage_report(ledger, self.kernel.get(Configuration).state)
        )

    async def _forecast(self, request: web.Request) -> web.Response:
        self.authorize(request, "operator")
        ledger = await self.kernel.get(Usage).read()
        return to_json_response(
            forecast_report(ledger, self.kernel.get(Configuration).state)
        )

    async def _drain(self, request: web.Request) -> web.Response:
        self.authorize(request, "operator")
        if self.api.on_drain_requested is not None:
            self.api.on_drain_requested()
        return web.json_response({"host": self.api.host_id, "draining": True})
