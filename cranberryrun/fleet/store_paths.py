"""Paths from this host to the store: direct, or relayed by a neighbour.

The store may refuse calls of some hosts while it serves the others. A host that is
refused sends its calls through a neighbour until the store serves it directly again.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import TypeVar

from .. import clock
from ..events import Events
from ..exceptions import AppendUnknownError, LogReadError, LogUnavailableError
from ..kernel import Service
from .neighbours import Neighbour, Neighbours

# Interval of the probes of the direct path after it has failed.
_PROBE_SECONDS = 0.3
# Neighbours that one call may try. If the store refuses a third of the hosts, one call
# in 80 meets only neighbours that are refused too.
_MAX_NEIGHBOURS = 4
# Time without relayed calls after one call has failed at all the neighbours it tried,
# because the store is then probably down for all hosts.
_RELAY_COOLDOWN_SECONDS = 0.5

ReplyT = TypeVar("ReplyT")


class StorePaths(Service):
    """Chooses the path of each call to the store.

    :param direct: the address of the store itself.
    """

    name = "store_paths"
    requires = ("events",)

    def __init__(self, direct: str) -> None:
        super().__init__()
        self.direct = direct
        self._probe_task: asyncio.Task[None] | None = None
        self._relay_cooldown_until = float("-inf")

    @property
    def direct_path_failed(self) -> bool:
        """Whether a direct call failed and no probe has succeeded since."""
        return self._probe_task is not None

    async def call(
        self,
        send: Callable[[str], Awaitable[ReplyT]],
        probe: Callable[[], Awaitable[object]],
    ) -> ReplyT:
        """Call ``send`` with the address of a path to the store; return its result.

        The next path is tried only while the call certainly had no effect.

        :param send: makes the call; raises :exc:`~.exceptions.LogReadError` or
            :exc:`~.exceptions.LogUnavailableError` if the call had no effect, and
            :exc:`~.exceptions.AppendUnknownError` if it may have had one.
        :param probe: makes a direct call that changes nothing in the store.
        """
        direct_error: Exception | None = None
        if not self.direct_path_failed:
            try:
                return await send(self.direct)
            except AppendUnknownError as error:
                self._start_probing(error, probe)
                raise
            except (LogReadError, LogUnavailableError) as error:
                self._start_probing(error, probe)
                direct_error = error
        if clock.now() >= self._relay_cooldown_until:
            neighbours = self.kernel.get(Neighbours)
            for neighbour in neighbours.choose(_MAX_NEIGHBOURS):
                called_at = clock.now()
                try:
                    return await send(neighbour.address)
                except AppendUnknownError as error:
                    self._record_failure(neighbour, called_at, error)
                    raise
                except (LogReadError, LogUnavailableError) as error:
                    self._record_failure(neighbour, called_at, error)
            self._relay_cooldown_until = clock.now() + _RELAY_COOLDOWN_SECONDS
        if direct_error is not None:
            raise direct_error
        return await send(self.direct)

    def _record_failure(
        self, neighbour: Neighbour, called_at: float, error: Exception
    ) -> None:
        self.kernel.get(Neighbours).record_failure(neighbour)
        self.kernel.get(Events).emit(
            "neighbour_failed",
            neighbour=neighbour.host,
            seconds=round(clock.now() - called_at, 3),
            reason=str(error),
        )

    def _start_probing(
        self, error: Exception, probe: Callable[[], Awaitable[object]]
    ) -> None:
        if self._probe_task is None:
            self.kernel.get(Events).emit("store_turned_away", reason=str(error))
            self._probe_task = self.spawn(self._probe(probe))

    async def _probe(self, probe: Callable[[], Awaitable[object]]) -> None:
        failed_at = clock.now()
        while True:
            try:
                await probe()
                break
            except (AppendUnknownError, LogReadError, LogUnavailableError):
                await asyncio.sleep(_PROBE_SECONDS)
        self._probe_task = None
        seconds = round(clock.now() - failed_at, 3)
        self.kernel.get(Events).emit("store_serves_again", seconds=seconds)
