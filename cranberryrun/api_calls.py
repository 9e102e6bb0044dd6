"""The route for service calls."""

from __future__ import annotations

from functools import partial

from aiohttp import web

from .api_handlers import Handlers
from .api_workspaces import identify_workspace
from .caller_http import ResponseSink, buffered_response, problem_answer, read_call
from .exceptions import CranberryrunError
from .keyed_calls import KeyedCalls
from .request_router import RequestRouter


class CallHandlers(Handlers):
    """Forwards calls to the targets of a service."""

    def routes(self) -> list[web.AbstractRouteDef]:
        """See :meth:`Handlers.routes`."""
        return [
            web.route("*", "/call/{service}/{path:.*}", self._call),
        ]

    async def _call(self, request: web.Request) -> web.StreamResponse:
        caller = self.authorize(request, "caller")
        identify = partial(identify_workspace, self.kernel, request)
        identify()
        resource = self.kernel.get(RequestRouter).service(request.match_info["service"])
        call = await read_call(request, caller, resource.spec.timeout, identify)
        self.api.record_deadline(call.deadline)
        sink = ResponseSink(request, call.request)
        try:
            if call.key is not None:
                answer = await self.kernel.get(KeyedCalls).send(call)
            else:
                answer = await self.kernel.get(RequestRouter).send(call, sink)
        except CranberryrunError as error:
            if sink.begun:
                raise
            answer = problem_answer(error)
        if answer.streamed:
            return await sink.end()
        return buffered_response(answer, request, call.request)
