"""How this host reaches the store: directly, or through a neighbour.

The store may turn single hosts away while it serves the others. Such a host has its
calls made by a neighbour until the store serves it again.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import TypeVar

from .. import clock
from ..events import Events
from ..exceptions import AppendUnknownError, LogReadError, LogUnavailableError
from ..kernel import Service
from .neighbours import Neighbours

# How often a host that was turned away asks the store again, in seconds.
_PROBE_SECONDS = 0.3
# Neighbours that are asked for one call. Where the store turns a third of the hosts
# away, all of so many are turned away once in 80 times.
_NEIGHBOURS = 4
# When no neighbour could help, the store is likely down for all of them.
_NO_HELP_SECONDS = 0.5

ReplyT = TypeVar("ReplyT")


class StorePaths(Service):
    """Chooses the path of each call to the store.

    :param direct: the address of the store.
    """

    name = "store_paths"
    requires = ("events",)

    def __init__(self, direct: str) -> None:
        super().__init__()
        self.direct = direct
        self._probing: asyncio.Task[None] | None = None
        self._no_help_until = float("-inf")

    @property
    def direct_path_failed(self) -> bool:
        """Whether the store did not serve this host's last direct call."""
        return self._probing is not None

    async def call(
        self,
        send: Callable[[str], Awaitable[ReplyT]],
        probe: Callable[[], Awaitable[object]],
    ) -> ReplyT:
        """Return what ``send`` returns for the address of the path that serves.

        :param send: raises :exc:`~.exceptions.LogReadError` or
            :exc:`~.exceptions.LogUnavailableError` where nothing was done, and
            :exc:`~.exceptions.AppendUnknownError` where nobody can tell.
        :param probe: a direct call that changes nothing.
        """
        failure: Exception | None = None
        if not self.direct_path_failed:
            try:
                return await send(self.direct)
            except AppendUnknownError as error:
                self._turn_away(error, probe)
                raise
            except (LogReadError, LogUnavailableError) as error:
                self._turn_away(error, probe)
                failure = error
        if clock.now() >= self._no_help_until:
            neighbours = self.kernel.get(Neighbours)
            for neighbour in neighbours.choose(_NEIGHBOURS):
                try:
                    return await send(neighbour.address)
                except AppendUnknownError:
                    neighbours.failed(neighbour)
                    raise
                except (LogReadError, LogUnavailableError):
                    neighbours.failed(neighbour)
            self._no_help_until = clock.now() + _NO_HELP_SECONDS
        if failure is not None:
            raise failure
        return await send(self.direct)

    def _turn_away(
        self, error: Exception, probe: Callable[[], Awaitable[object]]
    ) -> None:
        if self._probing is None:
            self.kernel.get(Events).emit("store_turned_away", reason=str(error))
            self._probing = self.spawn(self._probe(probe))

    async def _probe(self, probe: Callable[[], Awaitable[object]]) -> None:
        began = clock.now()
        while True:
            try:
                await probe()
                break
            except (AppendUnknownError, LogReadError, LogUnavailableError):
                await asyncio.sleep(_PROBE_SECONDS)
        self._probing = None
        seconds = round(clock.now() - began, 3)
        self.kernel.get(Events).emit("store_serves_again", seconds=seconds)
