"""Requests, items and orders to targets over HTTP."""

from __future__ import annotations

import asyncio
import re
from collections.abc import AsyncIterator
from contextlib import AbstractAsyncContextManager, asynccontextmanager
from typing import Any

import aiohttp
from multidict import CIMultiDict
from yarl import URL

from .. import clock
from ..batches.models import Item, Piece
from ..exceptions import (
    RecordInvalidError,
    StaleFenceError,
    TargetFailedError,
    TargetRefusedError,
    TargetUnreachableError,
    TruncatedAnswerError,
)
from ..fleet.client import (
    Answer,
    EngineReport,
    ItemImpossibleError,
    LoadOrder,
    OrderRefusedError,
    Request,
    RunFailedError,
    StreamedEvent,
    TargetClient,
    WrongVersionError,
)
from ..fleet.directory import Target
from ..http import HOP_HEADERS, HttpClients, forwardable
from . import wire
from .events import EventParser

_SET_HERE = HOP_HEADERS | {
    name.lower()
    for name in (wire.DEADLINE_MS, wire.EXPECT_INSTANCE, wire.EXPECT_VERSION)
}
# The library would add these to a request that came without them.
_AUTO_HEADERS = ("Accept", "Accept-Encoding", "User-Agent", "Content-Type")
# A report or order that takes longer is lost; they take some milliseconds.
_CONTROL_SECONDS = 0.6
_IDLE_TIME = re.compile(r"timeout=(\d+)")
_EVENT_STREAM = "text/event-stream"
_ORDER_PATH = "/v1/order"
_REPORT_PATH = "/v1/report"


class HttpTargetClient(TargetClient):
    """Speaks to plain services and engines; one attempt a call."""

    requires = ("http",)

    async def send(self, target: Target, request: Request) -> Answer:
        """See :meth:`TargetClient.send`."""
        async with self._forwarded(target, request) as response:
            body = await _whole_body(response)
            _check_answer(response, request.id)
            return Answer(response.status, forwardable(response.headers), body)

    def _forwarded(
        self, target: Target, request: Request, last_event: int | None = None
    ) -> AbstractAsyncContextManager[aiohttp.ClientResponse]:
        left = request.deadline - clock.now()
        headers = CIMultiDict(
            (name, value)
            for name, value in request.headers
            if name.lower() not in _SET_HERE
        )
        headers[wire.DEADLINE_MS] = str(max(1, int(left * 1000)))
        headers[wire.EXPECT_INSTANCE] = target.id
        if last_event is not None:
            headers[wire.LAST_EVENT_ID] = str(last_event)
        return self._exchange(
            request.method,
            _url(target, request.target),
            headers=headers,
            data=request.body or None,
            timeout=aiohttp.ClientTimeout(total=max(0.001, left)),
        )

    async def stream(
        self, target: Target, request: Request, last_event: int | None
    ) -> AsyncIterator[Answer | StreamedEvent]:
        """See :meth:`TargetClient.stream`."""
        async with self._forwarded(target, request, last_event) as response:
            _check_answer(response, request.id)
            head = forwardable(response.headers)
            if response.status != 200 or response.content_type != _EVENT_STREAM:
                body = await _whole_body(response)
                yield Answer(response.status, head, body)
                return
            yield Answer(response.status, head, b"")
            parser = EventParser()
            async for chunk in response.content.iter_any():
                for event in parser.feed(chunk):
                    yield StreamedEvent(event.number, event.raw)
            if parser.broken or not _framed(response):
                raise TruncatedAnswerError("the stream ended early")

    @asynccontextmanager
    async def _exchange(
        self, method: str, url: URL, **options: Any
    ) -> AsyncIterator[aiohttp.ClientResponse]:
        """Send one request; errors of the library become the product's."""
        session = self.kernel.get(HttpClients).shared
        try:
            async with session.request(
                method,
                url,
                allow_redirects=False,
                skip_auto_headers=_AUTO_HEADERS,
                **options,
            ) as response:
                self._follow_idle_time(response)
                _raise_refusal(response)
                yield response
        except aiohttp.ClientConnectorError as error:
            raise TargetUnreachableError(f"{url.authority}: {error!r}") from None
        except aiohttp.ConnectionTimeoutError as error:
            raise TargetUnreachableError(f"{url.authority}: {error!r}") from None
        except (aiohttp.ClientError, asyncio.TimeoutError, ValueError) as error:
            raise TargetFailedError(f"{url.authority}: {error!r}") from None

    def _follow_idle_time(self, response: aiohttp.ClientResponse) -> None:
        stated = _IDLE_TIME.search(response.headers.get("Keep-Alive", ""))
        if stated is not None:
            self.kernel.get(HttpClients).apply_keepalive_timeout(float(stated[1]))

    async def run(
        self,
        target: Target,
        host: str,
        item: Item,
        version: int,
        done: int,
        deadline: float,
    ) -> AsyncIterator[Piece]:
        """See :meth:`TargetClient.run`."""
        left = deadline - clock.now()
        headers = CIMultiDict(item.headers)
        headers["Host"] = host
        headers[wire.ATTEMPT_ID] = item.id
        headers[wire.DEADLINE_MS] = str(max(1, int(left * 1000)))
        headers[wire.EXPECT_INSTANCE] = target.id
        headers[wire.EXPECT_VERSION] = str(version)
        if done:
            headers[wire.LAST_EVENT_ID] = str(done)
        async with self._exchange(
            "POST",
            _url(target, item.path),
            headers=headers,
            data=item.body,
            timeout=aiohttp.ClientTimeout(total=max(0.001, left)),
        ) as response:
            _raise_run_failure(response)
            _check_answer(response, item.id)
            async for piece in _pieces(response, done):
                yield piece

    async def report(self, target: Target) -> EngineReport:
        """See :meth:`TargetClient.report`."""
        async with self._exchange(
            "GET",
            _url(target, _REPORT_PATH),
            timeout=aiohttp.ClientTimeout(total=_CONTROL_SECONDS),
        ) as response:
            body = await response.read()
            if response.status != 200:
                raise TargetFailedError(f"the report has status {response.status}")
        try:
            return wire.decode_report(body)
        except RecordInvalidError as error:
            raise TargetFailedError(f"the report is malformed: {error}") from None

    async def order(self, target: Target, order: LoadOrder) -> None:
        """See :meth:`TargetClient.order`."""
        body = {
            "operation": "version",
            "model": order.model,
            "version": order.version,
            "switch-mode": "retain" if order.keep_runs else "wait",
            "holder": order.holder,
            "fencing-token": order.fence,
            "precondition": order.sequence,
        }
        async with self._exchange(
            "POST",
            _url(target, _ORDER_PATH),
            json=body,
            headers={wire.EXPECT_INSTANCE: target.id},
            timeout=aiohttp.ClientTimeout(total=_CONTROL_SECONDS),
        ) as response:
            status = response.status
        if status in (200, 202):
            return
        if status == 412:
            raise StaleFenceError(f"{target.id} has seen a higher fencing token")
        raise OrderRefusedError(f"{target.id} answered {status}")


def _url(target: Target, path: str) -> URL:
    return URL(f"http://{target.address}{path}", encoded=True)


def _raise_refusal(response: aiohttp.ClientResponse) -> None:
    if response.status == 421:
        raise WrongVersionError("it is another instance or has another version")
    if wire.NOT_EXECUTED in response.headers:
        raise TargetRefusedError(f"status {response.status}, not executed")


def _raise_run_failure(response: aiohttp.ClientResponse) -> None:
    status = response.status
    if status == 200:
        return
    if status == 422:
        raise ItemImpossibleError(f"status {status}")
    if status == 500:
        raise RunFailedError(f"status {status}")
    raise TargetFailedError(f"status {status}")


def _check_answer(response: aiohttp.ClientResponse, attempt_id: str) -> None:
    """Make sure that the answer belongs to this request, and bears a signature."""
    echoed = response.headers.get(wire.ATTEMPT_ID)
    if echoed is not None and echoed != attempt_id:
        response.close()
        raise TargetFailedError("the answer belongs to another request")
    if response.status < 300 and wire.SIGNATURE not in response.headers:
        response.close()
        raise TargetFailedError("the answer bears no signature")


async def _whole_body(response: aiohttp.ClientResponse) -> bytes:
    """Read the body; one without a length is whole only if its channel ended well."""
    connection = response.connection
    protocol = connection.protocol if connection is not None else None
    body = await response.read()
    if _framed(response):
        return body
    if protocol is None or not isinstance(
        protocol.exception(), (aiohttp.ServerDisconnectedError, type(None))
    ):
        raise TruncatedAnswerError("the connection was reset")
    return body


def _framed(response: aiohttp.ClientResponse) -> bool:
    headers = response.headers
    return "Content-Length" in headers or "Transfer-Encoding" in headers


async def _pieces(response: aiohttp.ClientResponse, done: int) -> AsyncIterator[Piece]:
    """Yield the pieces of a run that goes on after ``done`` events."""
    stamp = response.headers.get(wire.WEIGHT_VERSION)
    if stamp is None or not stamp.isdigit():
        raise TargetFailedError("the answer names no weight version")
    version = int(stamp)
    parser = EventParser()
    async for chunk in response.content.iter_any():
        for event in parser.feed(chunk):
            if event.number is not None and event.number != done + 1:
                raise TargetFailedError(
                    f"event {event.number} came where {done + 1} was due"
                )
            done += 1
            version = event.version if event.version is not None else version
            yield Piece(event.data, version)
    if parser.broken or not _framed(response):
        raise TruncatedAnswerError("the stream ended early")
