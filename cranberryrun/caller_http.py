"""HTTP requests of callers: read into calls, and answered or visibly aborted."""

from __future__ import annotations

import json
import uuid
from collections.abc import Callable, Mapping

from aiohttp import web
from multidict import CIMultiDict

from . import clock
from .exceptions import CallerGoneError, CranberryrunError, InvalidInputError
from .services import WORKSPACE_HEADER, Answer, Call, Sink, end_to_end_headers
from .workspaces.keyring import Workspace

_MAX_ID_CHARACTERS = 200
_MAX_INTEGER = 2**53


async def read_call(
    request: web.Request,
    caller: str,
    timeout: float,
    identify: Callable[[], Workspace | None],
) -> Call:
    """Return the call of a ``request`` to ``/call/{service}/{path}``.

    :param timeout: longest time until the deadline, in seconds.
    :param identify: returns the workspace of the request; asked once the body is read.
    :raises InvalidInputError: a header is invalid; the error names the header.
    """
    request_id = _request_id(request)
    deadline = clock.now() + _seconds_left(request, timeout)
    body = await request.read()
    workspace = identify()
    headers = end_to_end_headers(request.headers)
    _set_workspace(headers, workspace)
    return Call(
        service=request.match_info["service"],
        method=request.method,
        path=_path_after_service(request),
        request=request_id,
        caller=_caller_in(caller, workspace),
        deadline=deadline,
        headers=headers,
        body=body,
        key=_idempotency_key(request),
    )


def _set_workspace(headers: CIMultiDict[str], workspace: Workspace | None) -> None:
    """Replace what the caller sent as its workspace by the name of ``workspace``."""
    headers.popall(WORKSPACE_HEADER, None)
    if workspace is not None:
        headers[WORKSPACE_HEADER] = workspace.name


def _caller_in(caller: str, workspace: Workspace | None) -> str:
    """Return the name to which a caller's idempotency keys are scoped.

    Two workspaces that use the same token, or none, do not get each other's answers.
    """
    return caller if workspace is None else f"{workspace.name}\n{caller}"


def _path_after_service(request: web.Request) -> str:
    """Return the path after the service's name, percent-encoded as received."""
    return request.rel_url.raw_path_qs.split("/", 3)[3]


def _request_id(request: web.Request) -> str:
    """Return the request id that the caller sent, or a generated one."""
    text = request.headers.get("X-Request-Id")
    if text is not None and not 1 <= len(text) <= _MAX_ID_CHARACTERS:
        raise InvalidInputError(
            f"X-Request-Id must have 1 to {_MAX_ID_CHARACTERS} characters",
            field="X-Request-Id",
        )
    return text or uuid.uuid4().hex


def _idempotency_key(request: web.Request) -> str | None:
    key = request.headers.get("Idempotency-Key")
    if key is not None and not 1 <= len(key) <= _MAX_ID_CHARACTERS:
        raise InvalidInputError(
            f"Idempotency-Key must have 1 to {_MAX_ID_CHARACTERS} characters",
            field="Idempotency-Key",
        )
    return key


def _seconds_left(request: web.Request, limit: float) -> float:
    text = request.headers.get("X-Deadline-Ms")
    if text is None:
        return limit
    return min(limit, parse_integer(text, "X-Deadline-Ms") / 1000)


def parse_integer(text: str, field: str) -> int:
    """Return the integer that ``text`` holds.

    :raises InvalidInputError: ``text`` is no integer in range; names ``field``.
    """
    try:
        value = int(text)
    except ValueError:
        raise InvalidInputError(
            f"{field} must be a whole number", field=field
        ) from None
    if not -1 <= value <= _MAX_INTEGER:
        raise InvalidInputError(f"{field} is out of range", field=field)
    return value


def problem_answer(error: CranberryrunError) -> Answer:
    """Return an answer that reports ``error`` as a problem object."""
    headers = CIMultiDict({"Content-Type": "application/problem+json"})
    if error.retry_after is not None:
        headers["Retry-After"] = str(max(1, round(error.retry_after)))
    return Answer(error.status, headers, json.dumps(error.problem()).encode())


def problem_response(error: CranberryrunError) -> web.Response:
    """Return a response that reports ``error`` as a problem object."""
    answer = problem_answer(error)
    return web.Response(status=answer.status, headers=answer.headers, body=answer.body)


def abort_connection(request: web.Request) -> web.Response:
    """Abort the connection, so that the caller sees that the answer is incomplete."""
    if request.transport is not None:
        request.transport.abort()
    return web.Response()


class ResponseSink(Sink):
    """Streams an answer to the caller, with backpressure from its connection."""

    def __init__(self, request: web.Request, request_id: str) -> None:
        self._request = request
        self._request_id = request_id
        self._response: web.StreamResponse

    async def begin(
        self, status: int, headers: Mapping[str, str], length: int | None
    ) -> None:
        """See :meth:`Sink.begin`."""
        self._response = web.StreamResponse(status=status, headers=headers)
        self._response.headers["X-Request-Id"] = self._request_id
        self._response.content_length = length
        self.begun = True
        try:
            await self._response.prepare(self._request)
        except ConnectionError:
            raise CallerGoneError("the caller closed its connection") from None

    async def write(self, data: bytes) -> None:
        """See :meth:`Sink.write`."""
        try:
            await self._response.write(data)
        except ConnectionError:
            raise CallerGoneError("the caller closed its connection") from None

    async def end(self) -> web.StreamResponse:
        """Complete the response."""
        await self._response.write_eof()
        return self._response


def buffered_response(
    answer: Answer, request: web.Request, request_id: str
) -> web.Response:
    """Return the response to ``request`` that holds a buffered ``answer``."""
    response = web.Response(
        status=answer.status, headers=answer.headers, body=answer.body or None
    )
    response.headers["X-Request-Id"] = request_id
    if request.method == "HEAD" and answer.length is not None:
        response.headers["Content-Length"] = str(answer.length)
    return response
