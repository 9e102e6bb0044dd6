"""The HTTP side of ``cranberryctl``: one request, tried at several hosts."""

from __future__ import annotations

import asyncio
import json
import ssl
from collections.abc import AsyncIterator
from dataclasses import dataclass, field
from typing import Any

import aiohttp

from . import clock
from .exceptions import (
    ChangeUnknownError,
    ControlError,
    HostsUnreachableError,
    ProblemAnswerError,
    UsageError,
)

_RETRY_SECONDS = 0.5
_CONNECT_SECONDS = 2.0
_LINE_BYTES = 16 * 1024 * 1024
_UNKNOWN_STATUSES = frozenset({502, 504})
_REFUSED_STATUS = 503
_PROXY_CODES = frozenset({"", "not_ready", "log_unavailable", "overloaded"})


@dataclass(slots=True)
class Request:
    """What is sent. ``change_id`` makes a change safe to send again."""

    method: str
    path: str
    body: Any = None
    params: dict[str, str] = field(default_factory=dict)
    headers: dict[str, str] = field(default_factory=dict)
    change_id: str | None = None

    def all_headers(self, token: str | None) -> dict[str, str]:
        """Return the headers with the token and the change id."""
        headers = dict(self.headers)
        if token:
            headers["Authorization"] = f"Bearer {token}"
        if self.change_id:
            headers["Change-Id"] = self.change_id
        return headers


class ControlClient:
    """Sends requests to the first of ``hosts`` that answers.

    :param hosts: base URLs, tried in order.
    :param timeout: seconds for one command, retries included.
    :param ca: file of the authority that signed the hosts' certificates.
    """

    def __init__(
        self,
        hosts: list[str],
        token: str | None = None,
        timeout: float = 30.0,
        ca: str | None = None,
    ) -> None:
        self._hosts = [host.rstrip("/") for host in hosts]
        self._token = token
        self._timeout = timeout
        self._ssl = _ssl_context(ca)
        self._session: aiohttp.ClientSession

    async def __aenter__(self) -> ControlClient:
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(ssl=self._ssl),
            timeout=aiohttp.ClientTimeout(total=None, sock_connect=_CONNECT_SECONDS),
            read_bufsize=_LINE_BYTES,
        )
        return self

    async def __aexit__(self, *error: object) -> None:
        await self._session.close()

    async def get(self, path: str, **params: str) -> Any:
        """Return the JSON answer of a GET; errors as in :meth:`send`."""
        return await self.send(Request("GET", path, params=params))

    async def send(self, request: Request) -> Any:
        """Return the JSON answer of the first host that gives a final one.

        A refusal and an unknown outcome are tried again, a change with the same
        id, until the time is up.

        :raises ProblemAnswerError: a host answered with a problem.
        :raises HostsUnreachableError: no host could be reached.
        :raises ChangeUnknownError: a change was sent and nobody said what came of it.
        """
        deadline = clock.now() + self._timeout
        unknown = False
        while True:
            error = await self._try_hosts(request, deadline)
            if not isinstance(error, ControlError):
                return error.body
            unknown = unknown or _leaves_unknown(request, error)
            final = isinstance(error, HostsUnreachableError) and not unknown
            if final or clock.now() + _RETRY_SECONDS >= deadline:
                raise _unknown(request, error) if unknown else error
            await asyncio.sleep(_RETRY_SECONDS)

    async def _try_hosts(
        self, request: Request, deadline: float
    ) -> _Answer | ControlError:
        """Return the first final answer, or the error of the last host tried."""
        last: ControlError | None = None
        for host in self._hosts:
            answer = await self._once(host, request, max(0.1, deadline - clock.now()))
            if isinstance(answer, _Answer):
                return answer
            if isinstance(answer, ProblemAnswerError) and not _may_retry(answer):
                raise answer
            if last is None or not isinstance(answer, HostsUnreachableError):
                last = answer
        if last is None:
            return UsageError("no host is known; give --host or set CRANBERRYCTL_HOST")
        return last

    async def _once(
        self, host: str, request: Request, seconds: float
    ) -> _Answer | ControlError:
        try:
            async with (
                asyncio.timeout(seconds),
                self._session.request(
                    request.method,
                    host + request.path,
                    json=request.body,
                    params=request.params,
                    headers=request.all_headers(self._token),
                ) as response,
            ):
                body = _body_of(await response.read())
                if response.status // 100 == 2:
                    return _Answer(body)
                problem = body if isinstance(body, dict) else {}
                return ProblemAnswerError(response.status, problem)
        except (aiohttp.ClientConnectorError, aiohttp.InvalidURL) as error:
            return HostsUnreachableError(f"{host} can't be reached: {error}")
        except (aiohttp.ClientError, TimeoutError) as error:
            if request.method == "GET":
                return HostsUnreachableError(f"{host} did not answer: {error!r}")
            return ChangeUnknownError(f"{host} did not answer: {error!r}")

    async def watch(self, path: str, offset: int | None) -> AsyncIterator[Any]:
        """Yield the events of a watch; go on at the next host where one ends it.

        :raises ProblemAnswerError: a host answered with a problem.
        :raises HostsUnreachableError: no host could be reached.
        """
        while True:
            heard = False
            last: ControlError = HostsUnreachableError("no host could be reached")
            for host in self._hosts:
                try:
                    async for event in self._lines(host, path, offset):
                        heard = True
                        if event["event"] != "current":
                            offset = event.get("offset", offset)
                        yield event
                except aiohttp.ClientError as error:
                    last = HostsUnreachableError(f"{host}: {error!r}")
                except ProblemAnswerError as error:
                    if not _may_retry(error):
                        raise
                    last = error
            if not heard:
                raise last
            await asyncio.sleep(_RETRY_SECONDS)

    async def _lines(
        self, host: str, path: str, offset: int | None
    ) -> AsyncIterator[Any]:
        request = Request("GET", path)
        async with self._session.get(
            host + path,
            params={"watch": "" if offset is None else str(offset)},
            headers=request.all_headers(self._token),
        ) as response:
            if response.status != 200:
                problem = _body_of(await response.read())
                raise ProblemAnswerError(
                    response.status, problem if isinstance(problem, dict) else {}
                )
            async for line in response.content:
                event = _body_of(line)
                if isinstance(event, dict) and "event" in event:
                    yield event


@dataclass(frozen=True, slots=True)
class _Answer:
    body: Any


def _ssl_context(ca: str | None) -> ssl.SSLContext | bool:
    if ca is None:
        return True
    try:
        return ssl.create_default_context(cafile=ca)
    except (OSError, ssl.SSLError) as error:
        raise UsageError(f"can't read the authority {ca}: {error}") from None


def _body_of(data: bytes) -> Any:
    try:
        return json.loads(data)
    except ValueError:
        return None


def _may_retry(error: ProblemAnswerError) -> bool:
    if error.answer_status == _REFUSED_STATUS:
        return error.answer_code in _PROXY_CODES
    return error.answer_status in _UNKNOWN_STATUSES


def _leaves_unknown(request: Request, error: ControlError) -> bool:
    if request.method == "GET":
        return False
    if isinstance(error, ProblemAnswerError):
        return error.answer_status in _UNKNOWN_STATUSES
    return isinstance(error, ChangeUnknownError)


def _unknown(request: Request, error: ControlError) -> ChangeUnknownError:
    return ChangeUnknownError(
        f"{request.method} {request.path}: the outcome is not known "
        f"({error.detail}); the change id is {request.change_id}",
        change_id=request.change_id,
    )
