"""The operator's manifest: which requests there are and which service runs them."""

from __future__ import annotations

import enum
from dataclasses import dataclass, field


class RouteKind(enum.Enum):
    """What may be repeated. It follows from the kind alone, never from a name."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAMING = "streaming"
    ROLLOUT = "rollout"

    @property
    def repeatable(self) -> bool:
        """Whether a request of this kind may run more than once."""
        return self is RouteKind.SAFE


@dataclass(frozen=True, slots=True)
class Backend:
    """A service that takes a share of a route's requests, by ``weight``."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """Requests of one host name and path prefix. Times are in seconds.

    ``latency_goal`` is when an answer earns its full worth; ``run_deadline`` is when a
    batch's results are due, ``queue_ttl`` when an item may be given up, both
    counted from the submission of the batch.
    """

    name: str
    host: str
    path_prefix: str
    kind: RouteKind
    backends: tuple[Backend, ...]
    timeout: float
    latency_goal: float
    priority: int
    max_attempts: int
    resumable: bool = False
    run_deadline: float = 0.0
    queue_ttl: float = 0.0
    single_version: bool = False


@dataclass(frozen=True, slots=True)
class Limits:
    """What a caller may send. Sizes are in bytes, times in seconds."""

    header_bytes: int = 16_384
    body_bytes: int = 33_554_432
    header_timeout: float = 3.0
    idle_timeout: float = 15.0


@dataclass(frozen=True, slots=True)
class Manifest:
    """One version of the manifest, whole.

    ``tokens_per_event_by_service`` is how many tokens an event of a stream carries.
    """

    version: int
    routes: tuple[Route, ...]
    services: frozenset[str]
    limits: Limits
    models_by_service: dict[str, tuple[str, ...]]
    tokens_per_event_by_service: dict[str, float]
    _by_host: dict[str, list[Route]] = field(init=False, repr=False, compare=False)

    def __post_init__(self) -> None:
        by_host: dict[str, list[Route]] = {}
        for route in self.routes:
            by_host.setdefault(route.host, []).append(route)
        for routes in by_host.values():
            routes.sort(key=lambda route: len(route.path_prefix), reverse=True)
        object.__setattr__(self, "_by_host", by_host)

    def route_for(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of ``path``, if there is one."""
        for route in self._by_host.get(host, ()):
            if path.startswith(route.path_prefix):
                return route
        return None
