"""Checks of a target's answer: whose it is, whether it ran, whether it is complete."""

from __future__ import annotations

import aiohttp
from multidict import MultiMapping

from ..exceptions import TargetFailedError, TargetRefusedError
from ..exchanges import Exchange
from ..fleet.client import ItemImpossibleError, RunFailedError, WrongVersionError
from . import header_names


def named_limit(response: aiohttp.ClientResponse) -> float | None:
    """Return the limit that the answer names, in requests a second; None without one.

    :raises ValueError: the header is not a number of requests a second.
    """
    text = response.headers.get(header_names.LIMIT)
    if text is None:
        return None
    rate = float(text)
    if not 0 <= rate < float("inf"):
        raise ValueError(f"{text!r} is not a number of requests a second")
    return rate


def says_it_has_no_limit(response: aiohttp.ClientResponse) -> bool:
    """Return whether an answer without a limit shows that the target has none.

    A refusal or a failure may come from a part of the target that names nothing.
    """
    return response.status < 500 and header_names.NOT_EXECUTED not in response.headers


def raise_if_refused(response: aiohttp.ClientResponse) -> None:
    if response.status == 421:
        raise WrongVersionError(
            f"{response.url.authority} is another instance or serves another weight "
            "version"
        )
    if header_names.NOT_EXECUTED in response.headers:
        raise TargetRefusedError(
            f"{response.url.authority} answered {response.status} without running the "
            "request"
        )


def raise_if_run_failed(response: aiohttp.ClientResponse) -> None:
    status = response.status
    if status == 200:
        return
    if status == 422:
        raise ItemImpossibleError(
            f"the engine answered {status}: it can never run the item"
        )
    if status == 500:
        raise RunFailedError(
            f"the engine answered {status}: its run of the item failed"
        )
    raise TargetFailedError(f"the engine answered {status} to an item")


def exchange_of(attempt_id: str | None, read: bool = False) -> Exchange:
    """Return how the answer to a request is known.

    A target may send a second copy of an answer on a connection that is in use again.

    :param attempt_id: the id that the answer must echo; None for reports and orders,
        whose answers have none.
    :param read: whether the request is a report. An engine refuses an order that was
        planned from an old one.
    """

    def find_fault(headers: MultiMapping[str], id_required: bool) -> str | None:
        return _two_values(headers) or _foreign_id(headers, attempt_id, id_required)

    return Exchange(attempt_id, find_fault, read)


def _two_values(headers: MultiMapping[str]) -> str | None:
    """Return which field that decides something has two values."""
    for name in header_names.DECIDING:
        values = headers.getall(name, ())
        if len(set(values)) > 1:
            return f"the answer has two values of {name}"
    return None


def _foreign_id(
    headers: MultiMapping[str], attempt_id: str | None, id_required: bool
) -> str | None:
    echoed_id = headers.get(header_names.ATTEMPT_ID)
    if echoed_id == attempt_id or (echoed_id is None and not id_required):
        return None
    return f"the answer is for request {echoed_id!r}; expected {attempt_id!r}"


def check_signature(response: aiohttp.ClientResponse, attempt_id: str) -> None:
    """Check that a successful answer has a signature header.

    :raises TargetFailedError: it has none; the connection is closed.
    """
    if response.status >= 300 or header_names.SIGNATURE in response.headers:
        return
    response.close()
    raise TargetFailedError(f"the answer to {attempt_id!r} has no signature header")


def is_framed(response: aiohttp.ClientResponse) -> bool:
    """Return whether the headers tell where the body ends."""
    headers = response.headers
    return "Content-Length" in headers or "Transfer-Encoding" in headers
