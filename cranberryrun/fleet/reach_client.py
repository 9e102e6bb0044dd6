"""The interfaces through which a host tests its own links and asks about others'."""

from __future__ import annotations

from abc import abstractmethod

from ..kernel import Service
from .address import Address
from .directory import Target


class ReachClient(Service):
    """Connects to targets, and asks neighbours whether they reach any."""

    name = "reach_client"

    @abstractmethod
    async def connects(self, target: Target) -> bool:
        """Return whether a new connection to the target can be made."""

    @abstractmethod
    async def connects_to(self, address: Address) -> bool:
        """Return whether a new connection to a host's address can be made."""

    @abstractmethod
    async def reaches_targets(self, host: str) -> bool:
        """Return whether a neighbour says that it reaches targets."""
