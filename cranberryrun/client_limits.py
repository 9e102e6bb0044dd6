"""What the connections of one process may hold together, and who gives way."""

from __future__ import annotations

import asyncio
from typing import Protocol

from . import clock
from .buffer_budget import INCOMPLETE, BufferBudget, BufferPath, Hold
from .events import Events
from .metrics import Metrics
from .open_connections import OpenConnections
from .paced_events import PacedEvents

# For listeners without a budget of their own, as in tests.
_DEFAULT_BYTES = 64_000_000
# How often the first of those that wait asks for room.
_WAIT_SECONDS = 0.05
_OVERDRAFT_AFTER_SECONDS = 0.5


class Owner(Protocol):
    """A connection that holds bytes."""

    @property
    def peer(self) -> str:
        """Address and port of the client."""

    def abort(self) -> None:
        """Close the connection without sending what is unsent."""


class ClientLimits:
    """The limits that all connections of a process share.

    Subclasses say where the limits come from, and record what was closed.

    :param budget: counts what all connections hold.
    :param connections: how many connections may be open; None: what descriptors allow.
    """

    #: The longest head of a request, in bytes, with empty lines before it.
    head_bytes = 16_384
    #: How long a head may take from its first byte, in seconds.
    head_seconds = 10.0

    def __init__(
        self, budget: BufferBudget | None = None, connections: int | None = None
    ) -> None:
        self.budget = budget or BufferBudget(_DEFAULT_BYTES)
        self.connections = OpenConnections(connections)
        self._owner_by_hold: dict[Hold, Owner] = {}
        # Those that wait for room get it in the order in which they came.
        self._line = asyncio.Lock()
        self._overdrawn: Hold | None = None

    def hold(self, path: BufferPath, size: int, owner: Owner) -> Hold:
        """Count bytes that ``owner`` holds, whether they fit or not."""
        hold = self.budget.hold(path, size, clock.now())
        self._owner_by_hold[hold] = owner
        return hold

    def release(self, hold: Hold) -> None:
        """Stop counting ``hold``; a repeated call has no effect."""
        self.budget.release(hold)
        self._owner_by_hold.pop(hold, None)
        if hold is self._overdrawn:
            self._overdrawn = None

    def make_room(self, size: int, hold: Hold | None = None) -> bool:
        """Return whether ``size`` more bytes fit, perhaps as others are given up."""
        if self.budget.fits(size, hold):
            return True
        now = clock.now()
        for stalled in self.budget.stalled_holds(size, now, hold):
            owner = self._owner_by_hold[stalled]
            self.record_given_up(stalled, now - stalled.progress_at, owner.peer)
            owner.abort()
            self.release(stalled)
        return self.budget.fits(size, hold)

    async def wait_for_room(self, size: int, hold: Hold) -> None:
        """Count ``size`` more bytes for ``hold`` once they fit.

        One hold at a time goes beyond the limit after a while. Otherwise calls whose
        bodies are held could wait for each other's answers.
        """
        if not self.make_room(size, hold):
            async with self._line:
                patient_until = clock.now() + _OVERDRAFT_AFTER_SECONDS
                while hold in self._owner_by_hold and not self.make_room(size, hold):
                    if self._may_overdraw(hold) and clock.now() >= patient_until:
                        self._overdrawn = hold
                        break
                    await asyncio.sleep(_WAIT_SECONDS)
        self.budget.resize(hold, hold.size + size)

    def _may_overdraw(self, hold: Hold) -> bool:
        return self._overdrawn is None or self._overdrawn is hold

    def record_given_up(self, hold: Hold, seconds: float, peer: str) -> None:
        """Record that a connection is closed to make room; the default does nothing.

        :param seconds: how long there was no progress.
        """

    def record_closed(self, cause: str, peer: str) -> None:
        """Record that a connection is closed for ``cause``, a word or two."""


class RecordedLimits(ClientLimits):
    """Limits whose closed connections are counted and, some of them, logged."""

    def __init__(
        self,
        metrics: Metrics,
        events: Events,
        budget: BufferBudget,
        connections: int | None = None,
    ) -> None:
        super().__init__(budget, connections)
        self._metrics = metrics
        self.events = PacedEvents(events)

    def record_given_up(self, hold: Hold, seconds: float, peer: str) -> None:
        """See :meth:`ClientLimits.record_given_up`."""
        self._metrics.closed_connection(f"stalled {hold.path.value}")
        self.events.emit(
            "request_abandoned" if hold.path in INCOMPLETE else "answer_abandoned",
            path=hold.path.value,
            size=hold.size,
            seconds=round(seconds, 3),
            peer=peer,
        )

    def record_closed(self, cause: str, peer: str) -> None:
        """See :meth:`ClientLimits.record_closed`."""
        self._metrics.closed_connection(cause)
        self.events.emit("connection_closed", cause=cause, peer=peer)
