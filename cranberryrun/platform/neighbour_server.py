"""Serves other hosts: relays calls to the store and to targets, grants permits."""

from __future__ import annotations

from aiohttp import web

from ..batches.service import Batches
from ..buffer_budget import BufferPath, BuffersFullError
from ..exceptions import (
    AppendUnknownError,
    LogReadError,
    LogUnavailableError,
    RequestError,
)
from ..fleet.send_permits import SendPermits
from ..fleet.store_paths import StorePaths
from ..fleet.target_paths import TargetPaths
from ..kernel import Service
from ..second_attempts.service import SecondAttempts
from .buffers import Buffers, Transfer
from .hedge_calls import HEDGE_QUERY, serve_report
from .http_server import listen
from .permit_calls import PERMITS_PATH, serve_permits
from .reach_calls import REACH_PATH, serve_reach
from .result_calls import RESULTS_PATH, serve_results
from .settings import HostSettings
from .store_client import StoreClient
from .target_relay import relay_call
from .target_requests import RELAY_PREFIX

_KEEPALIVE_SECONDS = 30.0
# How long another host may read nothing of an answer.
_STALL_SECONDS = 10.0


class NeighbourServer(Service):
    """Serves the calls that other hosts make at this host's peer address.

    Calls to the store and to targets, and their answers, are passed on unchanged.
    """

    name = "neighbour_server"
    requires = (
        "events",
        "directory",
        "store",
        "store_paths",
        "second_attempts",
        "send_permits",
        "target_paths",
        "batches",
        "buffers",
    )

    def __init__(self, settings: HostSettings) -> None:
        super().__init__()
        self._address = settings.peer_address
        self._runner: web.ServerRunner | None = None

    async def start(self) -> None:
        """Listen for calls of other hosts, if the settings give a peer address."""
        if self._address is not None:
            self._runner, _ = await listen(
                self._address,
                self._serve,
                _KEEPALIVE_SECONDS,
                self.kernel.get(Buffers).limits,
                essential=True,
            )

    async def stop(self) -> None:
        """Stop listening."""
        if self._runner is not None:
            await self._runner.cleanup()
        await super().stop()

    async def _serve(self, request: web.BaseRequest) -> web.StreamResponse:
        with self.kernel.get(Buffers).transfer(request) as transfer:
            transfer.limit_stall(_STALL_SECONDS)
            response = await self._answer(request, transfer)
            await transfer.send(response, BufferPath.RELAY_ANSWER)
            return response

    async def _answer(
        self, request: web.BaseRequest, transfer: Transfer
    ) -> web.StreamResponse:
        if request.path == PERMITS_PATH and HEDGE_QUERY in request.query:
            return await serve_report(self.kernel.get(SecondAttempts), request)
        if request.path == PERMITS_PATH:
            return await serve_permits(self.kernel.get(SendPermits), request)
        if request.path == RESULTS_PATH:
            return await serve_results(self.kernel.get(Batches), request, transfer)
        if request.path == REACH_PATH:
            return await serve_reach(self.kernel.get(TargetPaths))
        if request.path.startswith(RELAY_PREFIX):
            return await relay_call(self.kernel, request, transfer)
        return await self._relay_store_call(request, transfer)

    async def _relay_store_call(
        self, request: web.BaseRequest, transfer: Transfer
    ) -> web.Response:
        paths = self.kernel.get(StorePaths)
        if paths.direct_path_failed:
            return web.Response(status=503)
        store = self.kernel.get(StoreClient)
        try:
            body = await transfer.read_body(BufferPath.RELAY_BODY, None, _STALL_SECONDS)
        except (BuffersFullError, RequestError) as error:
            return web.Response(status=error.status, text=error.detail)
        try:
            status, answer = await store.send_call(
                paths.direct,
                request.method,
                request.raw_path,
                body,
                _wait_seconds(request),
            )
        except AppendUnknownError as error:
            return web.Response(status=504, text=error.detail)
        except (LogReadError, LogUnavailableError) as error:
            return web.Response(status=503, text=str(error))
        return web.Response(status=status, body=answer)


def _wait_seconds(request: web.BaseRequest) -> float:
    """Return how long the store may hold the call open, in seconds."""
    milliseconds = request.query.get("wait-ms", "0")
    return int(milliseconds) / 1000 if milliseconds.isdigit() else 0.0
