"""What the groups of routes of the API have in common."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import Any

from aiohttp import web

from .kernel import Kernel, Service


class Listener(Service):
    """What the routes need of the service that listens for them."""

    name = "api"

    accepting: bool
    on_drain_requested: Any
    host_id: str

    @abstractmethod
    def allow(self, request: web.Request, role: str) -> str:
        """Return who calls; :raises UnauthorizedError, ForbiddenError:."""

    @abstractmethod
    def note_deadline(self, deadline: float) -> None:
        """Take a request's deadline, in the loop's time."""


class Handlers(ABC):
    """The routes of one audience; their services come from ``kernel``."""

    def __init__(self, kernel: Kernel) -> None:
        self.kernel = kernel

    @property
    def api(self) -> Listener:
        """The service that listens."""
        return self.kernel.get(Listener)

    def allow(self, request: web.Request, role: str) -> str:
        """See :meth:`Listener.allow`."""
        return self.api.allow(request, role)

    @abstractmethod
    def routes(self) -> list[web.AbstractRouteDef]:
        """Return the routes, in the order in which they are tried."""
