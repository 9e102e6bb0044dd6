"""Checks of a target's answer: whose it is, whether it ran, whether it is complete."""

from __future__ import annotations

import aiohttp

from ..exceptions import TargetFailedError, TargetRefusedError
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


def check_single_values(response: aiohttp.ClientResponse) -> None:
    """Check that no field that decides something has two values.

    :raises TargetFailedError: one has; the connection is closed.
    """
    for name in header_names.DECIDING:
        values = response.headers.getall(name, ())
        if len(values) < 2 or len(set(values)) == 1:
            continue
        response.close()
        raise TargetFailedError(f"the answer has two values of {name}")


def check_echo(response: aiohttp.ClientResponse, attempt_id: str | None) -> None:
    """Check that the answer does not belong to another request.

    A target may send a second copy of an answer on a connection that is in use again.

    :raises TargetFailedError: it does; the connection is closed.
    """
    echoed_id = response.headers.get(header_names.ATTEMPT_ID)
    if echoed_id is None or echoed_id == attempt_id:
        return
    response.close()
    raise TargetFailedError(
        f"the answer is for request {echoed_id!r}; expected {attempt_id!r}"
    )


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
