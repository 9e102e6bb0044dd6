"""Calls the platform's API for duties over HTTP."""

from __future__ import annotations

import json
import math
import socket
from types import SimpleNamespace
from typing import Any

import aiohttp

from ..answer_protocol import Connector
from ..duties.client import (
    DutyClient,
    DutyConflictError,
    DutyFencedError,
    DutyThrottledError,
    DutyUnknownError,
    DutyUnsentError,
    EngineOrder,
    UsageReport,
)
from ..exceptions import CranberryrunError
from ..fleet.lease import Lease
from . import header_names

_USAGE_PATH = "/usage"
_SCALE_PATH = "/scale"
_CALL_TIMEOUT_SECONDS = 1.0
# Connecting takes some milliseconds even over the longest link.
_CONNECT_TIMEOUT_SECONDS = 0.4
# The kernel drops a connection whose bytes are not acknowledged for this time. It would
# otherwise send them again for minutes, also after another host took the lease.
_UNACKNOWLEDGED_MILLISECONDS = 1000
_THROTTLED_SECONDS = 0.5
_MAX_ERROR_BYTES = 4096
# As many as 64 bits always hold.
_MAX_TOKEN_DIGITS = 18
# The API will not accept the same call later either.
_REFUSED_FOR_GOOD = frozenset({400, 413, 422})


def _open_socket(address: tuple[Any, ...]) -> socket.socket:
    family, kind, protocol, _, _ = address
    opened = socket.socket(family, kind, protocol)
    opened.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _UNACKNOWLEDGED_MILLISECONDS
    )
    return opened


class HttpDutyClient(DutyClient):
    """Makes each call on a connection of its own, which no other call can delay.

    Connecting takes time in which this host may lose the lease, so the lease is checked
    again when the request is about to be written.

    :param address: IP and port of the API.
    """

    requires = ("lease",)

    def __init__(self, address: str) -> None:
        super().__init__()
        self._address = address
        self._session: aiohttp.ClientSession

    async def start(self) -> None:
        """Open the session."""
        trace = aiohttp.TraceConfig()
        trace.on_request_headers_sent.append(self._check_lease)
        self._session = aiohttp.ClientSession(
            connector=Connector(force_close=True, socket_factory=_open_socket),
            cookie_jar=aiohttp.DummyCookieJar(),
            trace_configs=[trace],
            timeout=aiohttp.ClientTimeout(
                total=_CALL_TIMEOUT_SECONDS, sock_connect=_CONNECT_TIMEOUT_SECONDS
            ),
        )

    async def stop(self) -> None:
        """Close the session."""
        await self._session.close()

    async def _check_lease(
        self, session: aiohttp.ClientSession, context: SimpleNamespace, params: Any
    ) -> None:
        """Raise an error if the lease ended; aiohttp calls this before it writes."""
        lease = self.kernel.get(Lease)
        if not lease.may_order or lease.fence != context.trace_request_ctx:
            raise DutyUnsentError("the lease ended before the call was sent")
        lease.record_order()

    async def report_usage(self, report: UsageReport, holder: str, fence: int) -> None:
        """See :meth:`DutyClient.report_usage`."""
        body = {"window": report.window, "counts": dict(report.count_by_workspace)}
        await self._call(_USAGE_PATH, body, holder, fence)

    async def order_engines(self, order: EngineOrder, holder: str, fence: int) -> None:
        """See :meth:`DutyClient.order_engines`."""
        body: dict[str, Any] = {
            "service": order.service,
            "zone": order.zone,
            "group-count": order.count,
        }
        if order.spot:
            body["use-spot"] = True
        await self._call(_SCALE_PATH, body, holder, fence)

    async def _call(
        self, path: str, body: dict[str, Any], holder: str, fence: int
    ) -> None:
        try:
            async with self._session.post(
                f"http://{self._address}{path}",
                json=body,
                headers={
                    header_names.DUTY_HOLDER: holder,
                    header_names.FENCING_TOKEN: str(fence),
                },
                allow_redirects=False,
                trace_request_ctx=fence,
            ) as response:
                await _raise_for_status(path, response, fence)
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            raise DutyUnsentError(f"can't connect to the API: {error!r}") from None
        except CranberryrunError:
            raise
        except Exception as error:
            raise DutyUnknownError(f"no answer of the API: {error!r}") from None


async def _raise_for_status(
    path: str, response: aiohttp.ClientResponse, fence: int
) -> None:
    status = response.status
    if status < 300:
        return
    reason = f"the API answered {status} to {path}"
    if status == 429:
        raise DutyThrottledError(reason, retry_after=_retry_after(response))
    if status == 409:
        body = await response.content.read(_MAX_ERROR_BYTES)
        # The API refuses a report only for its token, but an order also if no engine
        # can be had; then it reports no higher token.
        if path == _USAGE_PATH or _reported_token(response, body) > fence:
            raise DutyFencedError(f"{reason}: {body!r}")
        raise DutyConflictError(f"{reason}: {body!r}")
    if status in _REFUSED_FOR_GOOD:
        raise DutyConflictError(reason)
    raise DutyUnknownError(reason)


def _retry_after(response: aiohttp.ClientResponse) -> float:
    try:
        seconds = float(response.headers.get("Retry-After", _THROTTLED_SECONDS))
    except ValueError:
        return _THROTTLED_SECONDS
    return seconds if math.isfinite(seconds) else _THROTTLED_SECONDS


def _reported_token(response: aiohttp.ClientResponse, body: bytes) -> int:
    """Return the fencing token that a refusal names in a header or a field; or -1."""
    values = [response.headers.get(header_names.FENCING_TOKEN)]
    try:
        answer = json.loads(body)
    except ValueError:
        answer = None
    if isinstance(answer, dict):
        values += [value for key, value in answer.items() if "token" in key.lower()]
    tokens = [
        int(value)
        for value in values
        if str(value).isdecimal() and len(str(value)) <= _MAX_TOKEN_DIGITS
    ]
    return max(tokens, default=-1)
