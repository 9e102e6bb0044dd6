"""Base classes of the API's route groups."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import Any

from aiohttp import web

from .kernel import Kernel, Service


class Listener(Service):
    """The part of the listening service that the route groups use."""

    name = "api"

    accepting: bool
    on_drain_requested: Any
    host_id: str

    @abstractmethod
    def authorize(self, request: web.Request, role: str) -> str:
        """Authorize the request for ``role`` and return the caller's name.

        :raises UnauthorizedError: the token is missing or unknown.
        :raises ForbiddenError: the token does not have the role.
        """

    @abstractmethod
    def record_deadline(self, deadline: float) -> None:
        """Record the deadline of a request, in event loop time."""


class Handlers(ABC):
    """A group of routes for one kind of user. ``kernel`` provides the services."""

    def __init__(self, kernel: Kernel) -> None:
        self.kernel = kernel

    @property
    def api(self) -> Listener:
        """The service that listens for requests."""
        return self.kernel.get(Listener)

    def authorize(self, request: web.Request, role: str) -> str:
        """See :meth:`Listener.authorize`."""
        return self.api.authorize(request, role)

    @abstractmethod
    def routes(self) -> list[web.AbstractRouteDef]:
        """Return the routes in the order in which they are matched."""
