"""Single calls from this host to another one, at the address that it registered."""

from __future__ import annotations

from typing import Any, TypeVar

import aiohttp
from pydantic import BaseModel, ValidationError

from ..exceptions import PeerError
from ..fleet.neighbours import Neighbours
from ..fleet.permit_client import NotHolderError
from ..http import HttpClients
from ..kernel import Kernel

NOT_HOLDER_STATUS = 409
_CONNECT_TIMEOUT_SECONDS = 0.2
# The holder answers within milliseconds. A request waits for the answer, so a later one
# is no use.
_HOLDER_SECONDS = 0.25

ModelT = TypeVar("ModelT", bound=BaseModel)


async def call_host(
    kernel: Kernel, host: str, method: str, path: str, seconds: float, **options: Any
) -> tuple[int, bytes]:
    """Return the status and the body of another host's answer.

    :param seconds: how long the call may take.
    :param options: further arguments of aiohttp's ``request``.
    :raises PeerError: the host's address is not known, or it did not answer.
    """
    address = kernel.get(Neighbours).address_of(host)
    if address is None:
        raise PeerError(f"the address of host {host} is not known")
    session = kernel.get(HttpClients).session_for(method)
    try:
        async with session.request(
            method,
            f"http://{address}{path}",
            allow_redirects=False,
            timeout=aiohttp.ClientTimeout(
                total=seconds, sock_connect=min(seconds, _CONNECT_TIMEOUT_SECONDS)
            ),
            **options,
        ) as response:
            return response.status, await response.read()
    except Exception as error:
        raise PeerError(f"host {host} did not answer {path}: {error!r}") from None


async def ask_holder(
    kernel: Kernel, host: str, path: str, question: str, model: type[ModelT]
) -> ModelT:
    """Return the answer of the host that holds the lease to a JSON question.

    :raises NotHolderError: the host does not hold the lease.
    :raises PeerError: it can't be reached, or its answer is malformed.
    """
    status, body = await call_host(
        kernel, host, "POST", path, _HOLDER_SECONDS, data=question
    )
    if status == NOT_HOLDER_STATUS:
        raise NotHolderError(f"host {host} does not hold the lease")
    if status != 200:
        raise PeerError(f"host {host} answered {status} to a call of {path}")
    try:
        return model.model_validate_json(body)
    except ValidationError as error:
        raise PeerError(f"the answer of host {host} is malformed: {error}") from None
