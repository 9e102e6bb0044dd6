"""The inputs and results of the scaling policy."""

from __future__ import annotations

from dataclasses import dataclass

from ..fleet.manifest import Autoscale
from .demand import ServiceDemand


@dataclass(frozen=True, slots=True)
class EngineGroup:
    """The engines of one kind in a zone.

    ``ready`` engines take work, ``draining`` ones end. ``event_interval`` is their
    median number of seconds per event; 0 if none was measured.
    """

    zone: str
    spot: bool
    ready: int
    draining: int
    slots: int
    event_interval: float


@dataclass(frozen=True, slots=True)
class ScalingInputs:
    """What the policy knows of a service.

    ``runs`` are those in flight on its engines, ``most_runs`` the most of one engine,
    and ``waiting_items`` the items that found no engine; ``plain_requests`` tells
    whether callers' requests run on them too.
    """

    autoscale: Autoscale
    demand: ServiceDemand
    groups: tuple[EngineGroup, ...]
    runs: int
    waiting_items: int = 0
    most_runs: int = 0
    plain_requests: bool = False


@dataclass(frozen=True, slots=True)
class Order:
    """The decision to order ``count`` engines; ``present`` are there."""

    zone: str
    spot: bool
    count: int
    present: int
    needed_slots: float
