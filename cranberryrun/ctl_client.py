"""The HTTP client of ``cranberryctl``: sends a request to the first usable host."""

from __future__ import annotations

import asyncio
import json
import ssl
from collections.abc import AsyncIterator
from dataclasses import dataclass, field
from typing import Any

import aiohttp

from . import clock
from .answer_protocol import Connector
from .ctl_errors import (
    ChangeUnknownError,
    ControlError,
    HostsUnreachableError,
    ProblemAnswerError,
    UsageError,
)

_RETRY_DELAY_SECONDS = 0.5
_CONNECT_TIMEOUT_SECONDS = 2.0
# aiohttp fails on a line that does not fit its buffer, and a watch event is one line.
_READ_BUFFER_BYTES = 16 * 1024 * 1024
# A gateway may have passed the request on before it failed.
_UNKNOWN_OUTCOME_STATUSES = frozenset({502, 504})
_UNAVAILABLE_STATUS = 503
# Codes of a 503 for which the request is retried. The code is empty when a proxy
# answered, because a proxy sends no problem object.
_RETRYABLE_503_CODES = frozenset({"", "not_ready", "log_unavailable", "overloaded"})


@dataclass(slots=True)
class Request:
    """One request; a ``change_id`` makes a change idempotent, so it can be retried."""

    method: str
    path: str
    body: Any = None
    params: dict[str, str] = field(default_factory=dict)
    headers: dict[str, str] = field(default_factory=dict)
    change_id: str | None = None

    def all_headers(self, token: str | None) -> dict[str, str]:
        """Return the headers, with those of the token and of the change id."""
        headers = dict(self.headers)
        if token:
            headers["Authorization"] = f"Bearer {token}"
        if self.change_id:
            headers["Change-Id"] = self.change_id
        return headers


class ControlClient:
    """Sends requests to the first of ``hosts`` that answers.

    :param hosts: base URLs, tried in order.
    :param timeout: seconds for one request, retries included.
    :param ca: file with the certificate of the authority that signed the hosts'
        certificates; by default the system's authorities are trusted.
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
            connector=Connector(ssl=self._ssl),
            timeout=aiohttp.ClientTimeout(
                total=None, sock_connect=_CONNECT_TIMEOUT_SECONDS
            ),
            read_bufsize=_READ_BUFFER_BYTES,
        )
        # aiohttp would repeat changes by itself; see HttpClients.
        self._session._retry_connection = False
        return self

    async def __aexit__(self, *error: object) -> None:
        await self._session.close()

    async def get(self, path: str, **params: str) -> Any:
        """Return the JSON answer of a GET request; raises as :meth:`send` does."""
        return await self.send(Request("GET", path, params=params))

    async def send(self, request: Request) -> Any:
        """Return the JSON answer of the first host that executes the request.

        Requests that were refused for now, or whose outcome is unknown, are retried
        until the timeout. A retried change keeps its change id, so it is made once.

        :raises ProblemAnswerError: a host answered with a problem.
        :raises HostsUnreachableError: no host could be reached.
        :raises ChangeUnknownError: a change was sent and its outcome was not learnt.
        """
        deadline = clock.now() + self._timeout
        outcome_unknown = False
        while True:
            result = await self._try_hosts(request, deadline)
            if not isinstance(result, ControlError):
                return result.body
            outcome_unknown = outcome_unknown or _is_outcome_unknown(request, result)
            hosts_unreachable = (
                isinstance(result, HostsUnreachableError) and not outcome_unknown
            )
            if hosts_unreachable or clock.now() + _RETRY_DELAY_SECONDS >= deadline:
                raise (
                    _change_unknown_error(request, result)
                    if outcome_unknown
                    else result
                )
            await asyncio.sleep(_RETRY_DELAY_SECONDS)

    async def _try_hosts(
        self, request: Request, deadline: float
    ) -> _Answer | ControlError:
        """Return the first successful answer, or an error that may be retried.

        The error is that of the last host that was reached, else of the first host.

        :raises ProblemAnswerError: a host gave a final refusal.
        """
        last_error: ControlError | None = None
        for host in self._hosts:
            answer = await self._send_once(
                host, request, max(0.1, deadline - clock.now())
            )
            if isinstance(answer, _Answer):
                return answer
            if isinstance(answer, ProblemAnswerError) and not _may_retry(answer):
                raise answer
            if last_error is None or not isinstance(answer, HostsUnreachableError):
                last_error = answer
        if last_error is None:
            return UsageError("no host is given; use --host or set CRANBERRYCTL_HOST")
        return last_error

    async def _send_once(
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
                    allow_redirects=False,
                ) as response,
            ):
                body = _parse_json(await response.read())
                if response.status // 100 == 2:
                    return _Answer(body)
                problem = body if isinstance(body, dict) else {}
                return ProblemAnswerError(response.status, problem)
        except (aiohttp.ClientConnectorError, aiohttp.InvalidURL) as error:
            return HostsUnreachableError(f"could not connect to {host}: {error}")
        except (aiohttp.ClientError, TimeoutError) as error:
            if request.method == "GET":
                return HostsUnreachableError(f"request to {host} failed: {error!r}")
            return ChangeUnknownError(
                f"{host} gave no complete answer to the change: {error!r}"
            )

    async def watch(self, path: str, offset: int | None) -> AsyncIterator[Any]:
        """Yield the events of a watch, continued at the next host when one ends it.

        :raises ProblemAnswerError: a host answered with a problem.
        :raises HostsUnreachableError: no host could be reached.
        """
        while True:
            received_event = False
            last_error: ControlError = HostsUnreachableError("no host could be reached")
            for host in self._hosts:
                try:
                    async for event in self._watch_events(host, path, offset):
                        received_event = True
                        if event["event"] != "current":
                            offset = event.get("offset", offset)
                        yield event
                except aiohttp.ClientError as error:
                    last_error = HostsUnreachableError(
                        f"watch at {host} failed: {error!r}"
                    )
                except ProblemAnswerError as error:
                    if not _may_retry(error):
                        raise
                    last_error = error
            if not received_event:
                raise last_error
            await asyncio.sleep(_RETRY_DELAY_SECONDS)

    async def _watch_events(
        self, host: str, path: str, offset: int | None
    ) -> AsyncIterator[Any]:
        request = Request("GET", path)
        async with self._session.get(
            host + path,
            params={"watch": "" if offset is None else str(offset)},
            headers=request.all_headers(self._token),
            allow_redirects=False,
        ) as response:
            if response.status != 200:
                problem = _parse_json(await response.read())
                raise ProblemAnswerError(
                    response.status, problem if isinstance(problem, dict) else {}
                )
            async for line in response.content:
                event = _parse_json(line)
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
        raise UsageError(
            f"can't load the certificate authority file {ca}: {error}"
        ) from None


def _parse_json(data: bytes) -> Any:
    try:
        return json.loads(data)
    except ValueError:
        return None


def _may_retry(error: ProblemAnswerError) -> bool:
    if error.answer_status == _UNAVAILABLE_STATUS:
        return error.answer_code in _RETRYABLE_503_CODES
    return error.answer_status in _UNKNOWN_OUTCOME_STATUSES


def _is_outcome_unknown(request: Request, error: ControlError) -> bool:
    if request.method == "GET":
        return False
    if isinstance(error, ProblemAnswerError):
        return error.answer_status in _UNKNOWN_OUTCOME_STATUSES
    return isinstance(error, ChangeUnknownError)


def _change_unknown_error(request: Request, error: ControlError) -> ChangeUnknownError:
    return ChangeUnknownError(
        f"the outcome of {request.method} {request.path} is unknown "
        f"({error.detail}); its change id is {request.change_id}",
        change_id=request.change_id,
    )
