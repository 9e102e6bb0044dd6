"""Crowds of clients that don't behave, whose requests never reach a target."""

from __future__ import annotations

import asyncio

from standins.caller_crowd import CallerCrowd
from standins.slow_caller import SlowCaller

from .faults import Fault
from .testbed import HOST_NAME, SAFE

_CLIENTS = (20, 120)
_HEAD = f"POST /{SAFE}/x HTTP/1.1\r\nHost: {HOST_NAME}\r\n".encode()
_BODY_BYTES = 1_000_000


async def _send_endless_head(caller: SlowCaller) -> None:
    await caller.send(_HEAD + b"X-Again: 1\r\n" * 50_000)


async def _send_empty_lines(caller: SlowCaller) -> None:
    await caller.send(b"\r\n" * 100_000)


async def _drip_head(caller: SlowCaller) -> None:
    for byte in _HEAD:
        await caller.send(bytes([byte]))
        await asyncio.sleep(0.1)


async def _send_incomplete_body(caller: SlowCaller) -> None:
    head = _HEAD + f"Content-Length: {_BODY_BYTES}\r\n\r\n".encode()
    await caller.send(head + b"x" * (_BODY_BYTES - 1))


async def _read_no_answers(caller: SlowCaller) -> None:
    for _ in range(200):
        await caller.send(f"GET /none HTTP/1.1\r\nHost: {HOST_NAME}\r\n\r\n".encode())


async def _stay_idle(caller: SlowCaller) -> None:
    await asyncio.sleep(0)


_ACTS = (
    _send_endless_head,
    _send_empty_lines,
    _drip_head,
    _send_incomplete_body,
    _read_no_answers,
    _stay_idle,
)


class ClientCrowd(Fault):
    """Opens many connections to one host, and does the same on each of them."""

    name = "clients"

    async def inject(self) -> str:
        """See :meth:`Fault.inject`."""
        host = self.random_host()
        act = self.rng.choice(_ACTS)
        count = self.rng.randint(*_CLIENTS)
        async with CallerCrowd(host.front_address, count, act):
            await asyncio.sleep(self.duration_seconds)
        return f"{count} {act.__name__.strip('_')} {host.name}"
