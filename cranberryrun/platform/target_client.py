"""Sends requests, batch items and load orders to targets over HTTP."""

from __future__ import annotations

import asyncio
import re
from collections.abc import AsyncIterator
from contextlib import AbstractAsyncContextManager, asynccontextmanager
from typing import Any

import aiohttp
from multidict import CIMultiDict

from .. import clock
from ..answer_memory import AnswerRoom
from ..batches.models import Item, Piece
from ..events import Events
from ..exceptions import (
    RecordInvalidError,
    RefusedError,
    StaleFenceError,
    TargetFailedError,
    TruncatedAnswerError,
)
from ..fleet.client import (
    Answer,
    EngineReport,
    LoadOrder,
    OrderRefusedError,
    Request,
    RunFailedError,
    StreamedEvents,
    TargetClient,
)
from ..fleet.directory import Directory, Target
from ..fleet.send_permits import SendPermits
from ..fleet.target_paths import TargetPaths
from ..http import HOP_HEADERS, HttpClients, forwardable
from ..piecewise_payload import payload
from ..rewards.models import RewardCall
from ..turns import Turns
from . import header_names, wire
from .answer_checks import (
    check_signature,
    exchange_of,
    is_framed,
    named_limit,
    raise_if_refused,
    raise_if_run_failed,
    says_it_has_no_limit,
)
from .buffers import STREAM_READ_BYTES
from .event_parser import EventParser
from .event_parts import WORK_A_TURN, joined, parts
from .item_stream import read_pieces
from .target_requests import OpenedCall, TargetRequests
from .unknown_names import UnknownNames

# The client sets these headers itself, if at all, so those of the caller are dropped.
_REPLACED_HEADERS = (
    HOP_HEADERS
    | header_names.CALLERS_OWN
    | {
        name.lower()
        for name in (
            header_names.DEADLINE_MS,
            header_names.EXPECT_INSTANCE,
            header_names.EXPECT_VERSION,
        )
    }
)
# Reports and orders take some milliseconds. An answer that takes longer counts as lost.
_CONTROL_TIMEOUT_SECONDS = 0.6
# A refusal takes one round trip, and a caller waits for it.
_REFUSAL_TIMEOUT_SECONDS = 0.1
_KEEPALIVE_TIMEOUT_PATTERN = re.compile(r"timeout=(\d+)")
_EVENT_STREAM = "text/event-stream"
# An event is held as it arrived and as its text.
_EVENT_COPIES = 2
_ORDER_PATH = "/v1/order"
_REPORT_PATH = "/v1/report"


class HttpTargetClient(TargetClient):
    """Calls plain services and engines. Each method makes one attempt."""

    requires = (
        "http",
        "events",
        "directory",
        "send_permits",
        "target_paths",
        "turns",
        "unknown_names",
    )

    async def send(self, target: Target, request: Request) -> Answer:
        """See :meth:`TargetClient.send`."""
        async with self._send_forwarded(
            target, request, read_bufsize=STREAM_READ_BYTES
        ) as call:
            response = call.response
            body = await call.read_body(self.kernel.get(HttpClients))
            check_signature(response, request.id)
            return Answer(response.status, forwardable(response.headers), body)

    def _send_forwarded(
        self,
        target: Target,
        request: Request,
        last_event: int | None = None,
        **options: Any,
    ) -> AbstractAsyncContextManager[OpenedCall]:
        remaining = request.deadline - clock.now()
        headers = CIMultiDict(
            (name, value)
            for name, value in request.headers
            if name.lower() not in _REPLACED_HEADERS
        )
        headers[header_names.DEADLINE_MS] = str(max(1, int(remaining * 1000)))
        headers[header_names.EXPECT_INSTANCE] = target.id
        if request.workspace is not None:
            headers[header_names.WORKSPACE] = request.workspace
        if last_event is not None:
            headers[header_names.LAST_EVENT_ID] = str(last_event)
        return self._open_call(
            request.method,
            target,
            request.target,
            request.id,
            headers=headers,
            data=payload(request.body),
            seconds=remaining,
            **options,
        )

    async def stream(
        self, target: Target, request: Request, last_event: int | None
    ) -> AsyncIterator[Answer | StreamedEvents]:
        """See :meth:`TargetClient.stream`."""
        async with self._send_forwarded(
            target, request, last_event, read_bufsize=STREAM_READ_BYTES
        ) as call:
            response = call.response
            check_signature(response, request.id)
            headers = forwardable(response.headers)
            if response.status != 200 or response.content_type != _EVENT_STREAM:
                body = await call.read_body(self.kernel.get(HttpClients))
                yield Answer(response.status, headers, body)
                return
            yield Answer(response.status, headers, b"")
            parser = EventParser(last_event)
            room = AnswerRoom()
            turns = self.kernel.get(Turns)
            try:
                async for chunk in call.chunks():
                    await room.extend(_EVENT_COPIES * (len(parser) + len(chunk)))
                    parser.work = 0
                    for part in parts(chunk):
                        if parser.work >= WORK_A_TURN:
                            parser.work = 0
                            await turns.take()
                        for events in joined(parser.feed(part)):
                            yield events
                    room.shrink(_EVENT_COPIES * len(parser))
            finally:
                room.shrink(0)
            if parser.has_partial_event or not is_framed(response):
                raise TruncatedAnswerError(
                    "the event stream ended before it was complete"
                )
            if parser.skipped:
                yield StreamedEvents(None, None, parser.skipped)

    @asynccontextmanager
    async def _open_call(
        self,
        method: str,
        target: Target,
        path: str,
        attempt_id: str | None,
        seconds: float,
        **options: Any,
    ) -> AsyncIterator[OpenedCall]:
        """Send one request; the block gets an answer that belongs to it.

        :param attempt_id: the id that the answer must echo; None for reports and
            orders, whose answers have none and which no neighbour passes on.
        """
        sent_at = clock.now()
        requests = TargetRequests(self.kernel)
        async with requests.open(
            method,
            target,
            path,
            seconds,
            exchange=exchange_of(attempt_id, read=path == _REPORT_PATH),
            relayable=attempt_id is not None,
            **options,
        ) as call:
            response = call.response
            self._apply_keepalive_timeout(response)
            self.kernel.get(UnknownNames).record_headers(
                "answer", response.headers, header_names.KNOWN_IN_ANSWERS
            )
            if any(name in response.headers for name in header_names.LEAVING):
                self.kernel.get(Directory).mark_leaving(target.id)
            self._record_limit(target, response, sent_at)
            raise_if_refused(response)
            try:
                yield call
            except RefusedError as error:
                # Whoever reads the answer was refused something; the target ran.
                raise TargetFailedError(error.detail) from None

    def _record_limit(
        self, target: Target, response: aiohttp.ClientResponse, sent_at: float
    ) -> None:
        if response.status == 421:
            # Another instance answered, whose limits are its own.
            return
        try:
            rate = named_limit(response)
        except ValueError as error:
            self.kernel.get(Events).emit(
                "limit_invalid", target=target.id, reason=str(error)
            )
            return
        self.kernel.get(SendPermits).record_answer(
            target.id, rate, sent_at, says_it_has_no_limit(response)
        )

    def _apply_keepalive_timeout(self, response: aiohttp.ClientResponse) -> None:
        timeout = _KEEPALIVE_TIMEOUT_PATTERN.search(
            response.headers.get("Keep-Alive", "")
        )
        if timeout is not None:
            self.kernel.get(HttpClients).apply_keepalive_timeout(float(timeout[1]))

    async def run(
        self,
        target: Target,
        host: str,
        item: Item,
        version: int,
        done: int,
        deadline: float,
        workspace: str | None = None,
    ) -> AsyncIterator[Piece]:
        """See :meth:`TargetClient.run`."""
        remaining = deadline - clock.now()
        headers = CIMultiDict(
            (name, value)
            for name, value in item.headers.items()
            if name.lower() not in header_names.CALLERS_OWN
        )
        headers["Host"] = host
        headers[header_names.ATTEMPT_ID] = item.id
        headers[header_names.DEADLINE_MS] = str(max(1, int(remaining * 1000)))
        headers[header_names.EXPECT_INSTANCE] = target.id
        headers[header_names.EXPECT_VERSION] = str(version)
        if workspace is not None:
            headers[header_names.WORKSPACE] = workspace
        if done:
            headers[header_names.LAST_EVENT_ID] = str(done)
        async with self._open_call(
            "POST",
            target,
            item.path,
            item.id,
            headers=headers,
            data=item.body,
            seconds=remaining,
        ) as call:
            raise_if_run_failed(call.response)
            check_signature(call.response, item.id)
            async for piece in read_pieces(call, item, done, self.kernel.get(Turns)):
                yield piece

    async def score(self, target: Target, call: RewardCall, deadline: float) -> str:
        """See :meth:`TargetClient.score`."""
        remaining = max(0.001, deadline - clock.now())
        headers = {
            "Host": call.host,
            header_names.ATTEMPT_ID: call.id,
            header_names.DEADLINE_MS: str(max(1, int(remaining * 1000))),
            header_names.EXPECT_INSTANCE: target.id,
        }
        async with self._open_call(
            "POST",
            target,
            call.path,
            call.id,
            headers=headers,
            data=call.body or None,
            seconds=remaining,
        ) as opened:
            response = opened.response
            await opened.read_body(self.kernel.get(HttpClients))
            check_signature(response, call.id)
            if response.status == 500:
                raise RunFailedError(f"{target.id} answered 500 to a reward call")
            if response.status >= 300:
                raise TargetFailedError(
                    f"{target.id} answered {response.status} to a reward call"
                )
            return response.headers[header_names.SIGNATURE]

    async def refuses_connections(self, target: Target) -> bool:
        """See :meth:`TargetClient.refuses_connections`."""
        if self.kernel.get(TargetPaths).lost:
            # Nothing that this host sees now shows whether a target ended.
            return False
        address = target.address
        try:
            async with asyncio.timeout(_REFUSAL_TIMEOUT_SECONDS):
                _, writer = await asyncio.open_connection(address.ip, address.port)
        except ConnectionRefusedError:
            # A host that is cut from all targets may find connections refused, too.
            return await self.kernel.get(TargetPaths).connects_to_another(target.id)
        except (OSError, TimeoutError):
            return False
        writer.close()
        return False

    async def report(self, target: Target) -> EngineReport:
        """See :meth:`TargetClient.report`."""
        async with self._open_call(
            "GET",
            target,
            _REPORT_PATH,
            None,
            seconds=_CONTROL_TIMEOUT_SECONDS,
        ) as call:
            response = call.response
            body = await self.kernel.get(HttpClients).read(response)
            if response.status != 200:
                raise TargetFailedError(
                    f"{target.id} answered {response.status} to a report request"
                )
        try:
            return wire.decode_report(body, self.kernel.get(UnknownNames).record_fields)
        except RecordInvalidError as error:
            raise TargetFailedError(
                f"the report of {target.id} is malformed: {error}"
            ) from None

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
        async with self._open_call(
            "POST",
            target,
            _ORDER_PATH,
            None,
            json=body,
            headers={header_names.EXPECT_INSTANCE: target.id},
            seconds=_CONTROL_TIMEOUT_SECONDS,
        ) as call:
            status = call.response.status
        if status in (200, 202):
            return
        if status == 412:
            raise StaleFenceError(
                f"{target.id} has already accepted a higher fencing token"
            )
        raise OrderRefusedError(f"{target.id} refused the order with status {status}")
