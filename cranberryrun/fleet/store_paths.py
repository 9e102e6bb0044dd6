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
# No further neighbour is tried after this time, in which what the caller knows grows
# old.
_MAX_RELAY_SECONDS = 1.0
# Time without relayed calls after one call has failed at all the neighbours it tried,
# because the store is then probably down for all hosts.
_RELAY_COOLDOWN_SECONDS = 0.5

ReplyT = TypeVar("ReplyT")


class _ServedAgain(Exception):
    """The direct path works again, so a call at a neighbour was ended."""


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
        # The calls at neighbours that end when the store serves this host again.
        self._relayed_reads: set[asyncio.Timeout] = set()

    @property
    def direct_path_failed(self) -> bool:
        """Whether a direct call failed and no probe has succeeded since."""
        return self._probe_task is not None

    async def call(
        self,
        send: Callable[[str], Awaitable[ReplyT]],
        probe: Callable[[], Awaitable[object]],
        *,
        repeatable: bool,
    ) -> ReplyT:
        """Call ``send`` with the address of a path to the store; return its result.

        The next path is tried only while the call certainly had no effect. A neighbour
        may be gone, so a repeatable call does not wait for it any longer once the store
        serves this host again.

        :param send: makes the call; raises :exc:`~.exceptions.LogReadError` or
            :exc:`~.exceptions.LogUnavailableError` if the call had no effect, and
            :exc:`~.exceptions.AppendUnknownError` if it may have had one.
        :param probe: makes a direct call that changes nothing in the store.
        :param repeatable: whether a call without an answer may be made again.
        """
        direct_error: Exception | None = None
        if not self.direct_path_failed:
            try:
                return await self._send_directly(send, probe)
            except (LogReadError, LogUnavailableError) as error:
                direct_error = error
        if clock.now() >= self._relay_cooldown_until:
            started_at = clock.now()
            for neighbour in self.kernel.get(Neighbours).choose(_MAX_NEIGHBOURS):
                try:
                    return await self._relay(neighbour, send, repeatable)
                except (LogReadError, LogUnavailableError):
                    if clock.now() >= started_at + _MAX_RELAY_SECONDS:
                        break
                except _ServedAgain:
                    return await self._send_directly(send, probe)
            self._relay_cooldown_until = clock.now() + _RELAY_COOLDOWN_SECONDS
        if direct_error is not None:
            raise direct_error
        return await send(self.direct)

    async def _send_directly(
        self,
        send: Callable[[str], Awaitable[ReplyT]],
        probe: Callable[[], Awaitable[object]],
    ) -> ReplyT:
        try:
            return await send(self.direct)
        except (AppendUnknownError, LogReadError, LogUnavailableError) as error:
            self._start_probing(error, probe)
            raise

    async def _relay(
        self,
        neighbour: Neighbour,
        send: Callable[[str], Awaitable[ReplyT]],
        repeatable: bool,
    ) -> ReplyT:
        """Call ``send`` with the address of a neighbour.

        :raises _ServedAgain: the store serves this host again; the call had no effect.
        """
        called_at = clock.now()
        assert neighbour.address is not None
        limit = asyncio.timeout(None)
        if repeatable:
            self._relayed_reads.add(limit)
        try:
            async with limit:
                return await send(str(neighbour.address))
        except TimeoutError:
            raise _ServedAgain from None
        except (AppendUnknownError, LogReadError, LogUnavailableError) as error:
            self._record_failure(neighbour, called_at, error)
            raise
        finally:
            self._relayed_reads.discard(limit)

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
        while self._relayed_reads:
            self._relayed_reads.pop().reschedule(clock.now())
        seconds = round(clock.now() - failed_at, 3)
        self.kernel.get(Events).emit("store_serves_again", seconds=seconds)
