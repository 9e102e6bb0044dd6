"""Decides which connection is closed where there are too many."""

from __future__ import annotations

import resource
from abc import ABC, abstractmethod

# The part of the descriptors of a process that connections of clients may take. Each
# call may need another one for its target.
_DESCRIPTOR_SHARE = 0.5
_OWN_DESCRIPTORS = 32
# More connections at addresses that platform and neighbours need, beyond the limit.
_ESSENTIAL_EXTRA = 32


def descriptor_limit() -> int:
    """Return how many connections of clients the descriptors of the process allow."""
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft == resource.RLIM_INFINITY:
        return 2**31
    return max(1, int(soft * _DESCRIPTOR_SHARE) - _OWN_DESCRIPTORS)


class OpenConnection(ABC):
    """A connection that may be closed for another one."""

    #: Whether it is at an address that the platform or neighbours need.
    essential = False

    @abstractmethod
    def waits_for_request(self) -> bool:
        """Return whether it is idle: nothing of a request has arrived."""

    @abstractmethod
    def waits_for_head(self) -> bool:
        """Return whether a part of a head has arrived, and no call is in progress."""

    @abstractmethod
    def abort(self) -> None:
        """Close the connection without sending what is unsent."""


class OpenConnections:
    """The connections of a process, of which ``limit`` may be open.

    Idle connections give way to new ones, the longest idle first; then those whose head
    is incomplete, the oldest first. Calls in progress are not given up for new ones.

    :param limit: number of connections; None: that of :func:`descriptor_limit`.
    """

    def __init__(self, limit: int | None = None) -> None:
        self.limit = descriptor_limit() if limit is None else limit
        # In the order of their newest requests.
        self._connections: dict[OpenConnection, None] = {}

    def __len__(self) -> int:
        return len(self._connections)

    def add(self, connection: OpenConnection) -> bool:
        """Add a new connection; return False if there is no room for it."""
        limit = self.limit + (_ESSENTIAL_EXTRA if connection.essential else 0)
        if len(self._connections) >= limit:
            yielding = self._yielding()
            if yielding is None:
                return False
            self.remove(yielding)
            yielding.abort()
        self._connections[connection] = None
        return True

    def remove(self, connection: OpenConnection) -> None:
        """Remove a connection that is closed; a repeated call has no effect."""
        self._connections.pop(connection, None)

    def note_request(self, connection: OpenConnection) -> None:
        """Move a connection whose request was answered behind all others."""
        if connection in self._connections:
            del self._connections[connection]
            self._connections[connection] = None

    def _yielding(self) -> OpenConnection | None:
        incomplete = None
        for connection in self._connections:
            if connection.essential:
                continue
            if connection.waits_for_request():
                return connection
            if incomplete is None and connection.waits_for_head():
                incomplete = connection
        return incomplete
