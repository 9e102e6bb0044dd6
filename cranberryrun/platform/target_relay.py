"""Passes calls of other hosts on to targets, and their answers back unchanged."""

from __future__ import annotations

from urllib.parse import unquote

from aiohttp import web
from multidict import CIMultiDict

from ..answer_memory import reading_for
from ..buffer_budget import BufferPath, BuffersFullError
from ..events import Events
from ..exceptions import (
    CranberryrunError,
    TargetFailedError,
    TargetUnreachableError,
)
from ..fleet.directory import Directory
from ..fleet.target_paths import TargetPaths
from ..http import HttpClients, forwardable
from ..kernel import Kernel
from ..piecewise_payload import payload
from . import header_names
from .answer_checks import exchange_of, is_framed
from .buffers import STREAM_READ_BYTES, BodyTimeoutError, Transfer, whole_response
from .target_requests import (
    RELAY_OUTCOME,
    RELAY_PREFIX,
    OpenedCall,
    RelayOutcome,
    TargetRequests,
)

# Applies to calls without a deadline header.
_DEFAULT_SECONDS = 60.0
_EVENT_STREAM = "text/event-stream"
_MIN_STALL_SECONDS = 1.0


async def relay_call(
    kernel: Kernel, request: web.BaseRequest, transfer: Transfer
) -> web.StreamResponse:
    """Make one attempt at a call of another host to a registered target."""
    target_id, _, path = request.raw_path.removeprefix(RELAY_PREFIX).partition("/")
    directory = kernel.get(Directory)
    target = directory.target_by_id.get(unquote(target_id))
    if target is None:
        return _failure(RelayOutcome.UNKNOWN)
    if kernel.get(TargetPaths).lost:
        return _failure(RelayOutcome.UNREACHABLE)
    headers = CIMultiDict(forwardable(request.headers))
    # A host of an earlier build passes all headers of its callers on.
    headers.popall(header_names.KEY, None)
    seconds = _seconds(request)
    # The other host closes its caller's connection, which is slower than this one's.
    transfer.limit_stall(max(seconds, _MIN_STALL_SECONDS))
    try:
        body = await transfer.read_body(BufferPath.RELAY_BODY, None, seconds)
        transfer.reserve_answer(BufferPath.RELAY_ANSWER)
    except (BuffersFullError, BodyTimeoutError):
        # Tells the other host that nothing was sent, so that it asks the next one.
        return _failure(RelayOutcome.UNKNOWN)
    try:
        async with TargetRequests(kernel).open(
            request.method,
            target,
            f"/{path}",
            seconds,
            exchange=exchange_of(request.headers.get(header_names.ATTEMPT_ID)),
            relayable=False,
            headers=headers,
            data=payload(body),
            read_bufsize=STREAM_READ_BYTES,
        ) as call:
            return await _pass_on(kernel, request, call, transfer)
    except TargetUnreachableError:
        return _failure(RelayOutcome.UNREACHABLE)
    except TargetFailedError as error:
        # The other host learns only that the answer is lost.
        kernel.get(Events).emit(
            "target_failed",
            request=request.headers.get(header_names.ATTEMPT_ID),
            target=target.id,
            code=error.code,
            reason=error.detail,
        )
        return _failure(RelayOutcome.LOST)


async def _pass_on(
    kernel: Kernel, request: web.BaseRequest, call: OpenedCall, transfer: Transfer
) -> web.StreamResponse:
    response = call.response
    headers = CIMultiDict(forwardable(response.headers))
    headers[RELAY_OUTCOME] = RelayOutcome.ANSWERED.value
    framed = is_framed(response)
    if not framed and response.content_type != _EVENT_STREAM:
        with reading_for(transfer):
            body = await call.read_body(kernel.get(HttpClients))
        return whole_response(response.status, headers, body)
    answer = web.StreamResponse(status=response.status, headers=headers)
    if framed and response.content_length is not None:
        answer.content_length = response.content_length
    else:
        answer.enable_chunked_encoding()
    await answer.prepare(request)
    try:
        async for chunk in call.chunks():
            await transfer.write_part(answer, chunk, BufferPath.RELAY_STREAM)
    except CranberryrunError:
        _abort(request)
        return answer
    if not framed:
        # Nothing says whether the stream is whole.
        _abort(request)
        return answer
    await answer.write_eof()
    return answer


def _abort(request: web.BaseRequest) -> None:
    """Break the connection off: a normal end would make the answer look complete."""
    if request.transport is not None:
        request.transport.abort()


def _failure(outcome: RelayOutcome) -> web.Response:
    return web.Response(status=502, headers={RELAY_OUTCOME: outcome.value})


def _seconds(request: web.BaseRequest) -> float:
    milliseconds = request.headers.get(header_names.DEADLINE_MS, "")
    return int(milliseconds) / 1000 if milliseconds.isdigit() else _DEFAULT_SECONDS
