"""Finds out whether a target ended while it ran a request."""

from __future__ import annotations

from ..events import Events
from ..exceptions import CranberryrunError, TruncatedAnswerError
from ..fleet.client import ConnectionLostError, Request, TargetClient
from ..fleet.directory import Target
from ..kernel import Service
from .fingerprint import fingerprint_of

# Errors with which the run of a target that ends is seen.
_POSSIBLE_CRASHES = (ConnectionLostError, TruncatedAnswerError)


class Crashes(Service):
    """Examines failed attempts."""

    name = "crashes"
    requires = ("events", "target_client")

    async def examine(
        self, target: Target, request: Request, error: CranberryrunError
    ) -> None:
        """Record that ``target`` ended under ``request``, if ``error`` shows it.

        A connection may also be lost without a crash; then the target still accepts
        new ones.
        """
        if not isinstance(error, _POSSIBLE_CRASHES):
            return
        if not await self.kernel.get(TargetClient).refuses_connections(target):
            return
        self.kernel.get(Events).emit(
            "target_crashed",
            target=target.id,
            request=request.id,
            fingerprint=fingerprint_of(request),
        )
