"""The operator's manifest: routes, services, models and limits of the deployment."""

from __future__ import annotations

import enum
from dataclasses import dataclass, field

from ..workspaces.keyring import Keyring

# With fewer models there is hardly a choice of which trainer yields, and steps go by
# their due times alone.
_MIN_COMPETING_MODELS = 3


class RouteKind(enum.Enum):
    """The kind of a route's requests.

    Whether a request may be repeated depends only on its kind, never on a name.
    """

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
    """A service that gets requests of a route in proportion to its ``weight``."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """The rules for requests of one host name and path prefix. Times are in seconds.

    ``latency_goal`` is the time within which an answer has its full value. The results
    of a batch are due ``run_deadline`` after its submission; an item may be abandoned
    ``queue_ttl`` after it. A ``public`` route needs no key of a workspace.
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
    public: bool = False


@dataclass(frozen=True, slots=True)
class Limits:
    """Limits for requests of callers. Sizes are in bytes, times in seconds."""

    header_bytes: int = 16_384
    body_bytes: int = 33_554_432
    header_timeout: float = 3.0
    idle_timeout: float = 15.0


@dataclass(frozen=True, slots=True)
class Autoscale:
    """The bounds and prices within which a service's engines are ordered.

    ``minimum`` and ``maximum`` are engines in one zone, spot and on-demand ones
    together. An engine serves ``boot_seconds`` after its order. An on-demand engine
    costs ``price_by_zone`` for each second, a spot engine ``spot_price`` times that.
    """

    minimum: int
    maximum: int
    boot_seconds: float = 4.0
    spot_price: float = 0.18
    price_by_zone: dict[str, float] = field(default_factory=dict)

    def price(self, zone: str, spot: bool) -> float:
        """Return the price of an engine for one second; 1 where none is given."""
        price = self.price_by_zone.get(zone, 1.0)
        return price * self.spot_price if spot else price


@dataclass(frozen=True, slots=True)
class Manifest:
    """One complete version of the manifest.

    ``tokens_per_event_by_service`` has the number of tokens in an event of a stream,
    and ``memory_tokens_by_service`` the tokens that an engine's memory holds, if it is
    stated.
    ``keyring`` has the workspaces; None if callers need no keys.
    ``autoscale_error_by_service`` says why an ``autoscale`` of a service is ignored.
    ``named_services`` are those of ``services`` and of the routes.
    """

    version: int
    routes: tuple[Route, ...]
    services: frozenset[str]
    limits: Limits
    models_by_service: dict[str, tuple[str, ...]]
    tokens_per_event_by_service: dict[str, float]
    keyring: Keyring | None = None
    autoscale_by_service: dict[str, Autoscale] = field(default_factory=dict)
    autoscale_error_by_service: dict[str, str] = field(default_factory=dict)
    memory_tokens_by_service: dict[str, float] = field(default_factory=dict)
    _by_host: dict[str, list[Route]] = field(init=False, repr=False, compare=False)
    named_services: frozenset[str] = field(init=False, repr=False, compare=False)

    def __post_init__(self) -> None:
        routed = {each.service for route in self.routes for each in route.backends}
        object.__setattr__(self, "named_services", self.services | routed)
        by_host: dict[str, list[Route]] = {}
        for route in self.routes:
            by_host.setdefault(route.host, []).append(route)
        for routes in by_host.values():
            routes.sort(key=lambda route: len(route.path_prefix), reverse=True)
        object.__setattr__(self, "_by_host", by_host)

    def models_compete(self) -> bool:
        """Return whether several models share the engines of a service.

        Engine speeds, slow spans and overload are considered only then.
        """
        return any(
            len(models) >= _MIN_COMPETING_MODELS
            for models in self.models_by_service.values()
        )

    def route_for(self, host: str, path: str) -> Route | None:
        """Return the route of ``host`` with the longest prefix of ``path``, if any."""
        for route in self._by_host.get(host, ()):
            if path.startswith(route.path_prefix):
                return route
        return None
