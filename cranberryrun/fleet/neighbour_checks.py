"""Finds hosts that are gone for good, and removes their entries.

A machine that is replaced leaves its entry behind. Calls through it would hang, and the
number of hosts, from which limits follow, would be too high.
"""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass

from .. import clock
from ..events import Events
from ..exceptions import CranberryrunError
from ..kernel import Service
from .neighbours import Neighbour, Neighbours
from .reach_client import ReachClient

_INTERVAL_SECONDS = 5.0
# A host that restarts or loses its links for a moment is back within seconds.
_GONE_SECONDS = 30.0
_MIN_CHECKS = 3


@dataclass(slots=True)
class _Silence:
    """Checks without a connection since ``started_at``, in loop seconds."""

    started_at: float
    checked_at: float
    checks: int = 0

    @property
    def is_lasting(self) -> bool:
        """Whether it is longer than a restart."""
        seconds = self.checked_at - self.started_at
        return self.checks >= _MIN_CHECKS and seconds >= _GONE_SECONDS


class NeighbourChecks(Service):
    """Connects to one neighbour at a time, and to one of those that did not answer.

    An entry is removed only if another neighbour answered meanwhile, as otherwise this
    host itself may be cut off. A host that was taken for gone registers again. One host
    removes few entries: where links are cut, each side takes the other one for gone.
    """

    name = "neighbour_checks"
    requires = ("events", "neighbours", "reach_client")

    def __init__(self, rng: random.Random) -> None:
        super().__init__()
        self._rng = rng
        self._silence_by_host: dict[str, _Silence] = {}
        self._answered_at = float("-inf")
        self._removed_at = float("-inf")

    async def start(self) -> None:
        """Start to check one neighbour after the other."""
        self.supervise(self._run)

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(_INTERVAL_SECONDS * self._rng.uniform(0.5, 1.5))
            await self._check_some()

    async def _check_some(self) -> None:
        neighbours = self.kernel.get(Neighbours)
        neighbour_by_host = {each.host: each for each in neighbours.relaying}
        self._silence_by_host = {
            host: silence
            for host, silence in self._silence_by_host.items()
            if host in neighbour_by_host
        }
        answering = sorted(neighbour_by_host.keys() - self._silence_by_host.keys())
        silent = min(
            self._silence_by_host,
            key=lambda host: self._silence_by_host[host].checked_at,
            default=None,
        )
        if answering:
            await self._check(neighbour_by_host[self._rng.choice(answering)])
        if silent is not None:
            await self._check(neighbour_by_host[silent])
        neighbours.unreachable = frozenset(self._silence_by_host)

    async def _check(self, neighbour: Neighbour) -> None:
        assert neighbour.address is not None
        started_at = clock.now()
        if await self.kernel.get(ReachClient).connects_to(neighbour.address):
            self._silence_by_host.pop(neighbour.host, None)
            self._answered_at = clock.now()
            return
        silence = self._silence_by_host.setdefault(
            neighbour.host, _Silence(started_at, started_at)
        )
        silence.checked_at = started_at
        silence.checks += 1
        may_remove = clock.now() >= self._removed_at + _GONE_SECONDS
        if may_remove and silence.is_lasting and self._answered_at > silence.started_at:
            await self._remove(neighbour.host)

    async def _remove(self, host: str) -> None:
        try:
            await self.kernel.get(Neighbours).remove(host)
        except CranberryrunError:
            # It stays silent, so the next check tries again.
            return
        del self._silence_by_host[host]
        self._removed_at = clock.now()
        self.kernel.get(Events).emit("neighbour_removed", neighbour=host)
