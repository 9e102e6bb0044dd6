"""Stand-in for many callers at once, each with a connection of its own."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from types import TracebackType

from .slow_caller import SlowCaller

Act = Callable[[SlowCaller], Awaitable[None]]


class CallerCrowd:
    """Callers that act at the same time and keep their connections until the end.

    ``closed_count`` is the number of callers whose connections the host closed while
    they acted.

    :param address: IP and port of the host.
    :param count: number of callers.
    :param act: what each caller does on its connection, once it is open.
    """

    def __init__(self, address: str, count: int, act: Act) -> None:
        self._address = address
        self._count = count
        self._act = act
        self._callers: list[SlowCaller] = []
        self._tasks: list[asyncio.Task[None]] = []
        self.closed_count = 0

    async def __aenter__(self) -> CallerCrowd:
        for _ in range(self._count):
            caller = SlowCaller(self._address)
            self._callers.append(caller)
            self._tasks.append(asyncio.create_task(self._run(caller)))
        return self

    async def __aexit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for caller in self._callers:
            caller.close()

    async def _run(self, caller: SlowCaller) -> None:
        try:
            await caller.connect()
            await self._act(caller)
        except ConnectionError:
            self.closed_count += 1

    async def act_for(self, seconds: float) -> None:
        """Return once every caller has acted, or after ``seconds``."""
        done, _ = await asyncio.wait(self._tasks, timeout=seconds)
        for task in done:
            task.result()
