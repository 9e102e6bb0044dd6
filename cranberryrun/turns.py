"""Lets tasks with much to do take turns with everything else on the event loop."""

from __future__ import annotations

import asyncio
from collections import deque

from .kernel import Service


class Turns(Service):
    """Grants one turn in each iteration of the event loop, in the order of the asks.

    A task that has more to do than one bounded part asks before each further part. All
    such tasks together then delay others by one part in each iteration, however many
    they are.
    """

    name = "turns"

    def __init__(self) -> None:
        super().__init__()
        self._waiting: deque[asyncio.Future[None]] = deque()
        self._granting = False

    async def take(self) -> None:
        """Return when the task may do its next part."""
        loop = asyncio.get_running_loop()
        turn = loop.create_future()
        self._waiting.append(turn)
        if not self._granting:
            self._granting = True
            loop.call_soon(self._grant)
        await turn

    def _grant(self) -> None:
        while self._waiting:
            turn = self._waiting.popleft()
            if not turn.done():
                turn.set_result(None)
                break
        self._granting = bool(self._waiting)
        if self._granting:
            asyncio.get_running_loop().call_soon(self._grant)
