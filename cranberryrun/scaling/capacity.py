"""How many slots the demand needs, and in which zones engines are wanted.

Responds to trainers whose steps overlap and to the loss of engines. Does no I/O.
"""

from __future__ import annotations

import math
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from ..fleet.manifest import Autoscale
from .demand import ServiceDemand
from .models import EngineGroup

# The slots are to be in use for this share of the time. A fifth of the engines may turn
# slow; the others are then in use for 0.75 / 0.8 = 0.94 of the time.
TARGET_UTILIZATION = 0.75
# Without any spot engine, all slots of the on-demand engines are in use all the time:
# they have to finish all work before it is due until other engines are there.
ON_DEMAND_UTILIZATION = 1.0
# A run occupies its slot this long beside its events: prompt, connection, scheduling.
RUN_OVERHEAD_SECONDS = 0.2
# Callers' streams that run on the engines are not known to the holder. With one request
# every 7 s at each of 87 hosts, of 1 s each, they take 7% of 176 slots.
_PLAIN_REQUEST_SHARE = 0.1
# The time that is left for a step's work beside its longest item is taken as at least
# this share of the time until it is due; more engines do not shorten one item.
_MIN_WORK_TIME_SHARE = 0.4
# An engine that is not there yet is preferred to one that is only if it costs less by
# this factor, since each exchange of engines interrupts runs.
_EXCHANGE_FACTOR = 1.15
# Where engines lack, each one that is added counts as this many on-demand engines more.
# Its weights and connections cost as much within the time after which exchanges pay.
_ADDED_ENGINE_FACTOR = 1.0
# Speeds of zones between these shares of the fastest zone's speed are believed.
_MIN_ZONE_SPEED = 0.4

# A zone and whether spot engines are meant.
EngineKind = tuple[str, bool]


@dataclass(frozen=True, slots=True)
class Need:
    """The slots that are needed, at the speed of the reference interval.

    ``on_demand`` is the least number on on-demand engines, ``total`` that of all
    engines without the reserve.
    """

    total: float
    on_demand: float


@dataclass(frozen=True, slots=True)
class ZoneState:
    """The state of a zone for the choice of engines.

    ``slots`` are those of one engine, scaled by the speed of the zone's engines.
    ``held_by_spot`` has the number of engines, of each kind, that are there or ordered.
    No more than these can be had of the kinds in ``exhausted``.
    """

    zone: str
    slots: float
    held_by_spot: Mapping[bool, int]
    exhausted: frozenset[bool] = frozenset()


def needed_slots(
    demand: ServiceDemand, event_interval: float, plain_requests: bool
) -> Need:
    """Return the slots with which every step is done in time while all steps overlap.

    :param event_interval: seconds for one event on the reference engine.
    :param plain_requests: whether callers' requests run on the engines too.
    """
    busy_slots = 0.0
    whole_work = 0.0
    open_items = 0.0
    longest_seconds = 0.0
    due_within = float("inf")
    for model in demand.models:
        work = model.events * event_interval + model.items * RUN_OVERHEAD_SECONDS
        # Steps that take longer than the pace make their trainer fall behind.
        step_seconds = min(model.pace, model.due_within)
        busy_slots += work / step_seconds
        whole_work += work
        open_items += model.items * max(1.0, model.due_within / model.pace)
        due_within = min(due_within, model.due_within)
        longest_seconds = max(longest_seconds, model.longest_events * event_interval)
    work_seconds = max(_MIN_WORK_TIME_SHARE * due_within, due_within - longest_seconds)
    # All models submit at once, and the last items start when the work is spread.
    overlap_slots = whole_work / work_seconds if whole_work else 0.0
    if plain_requests:
        busy_slots *= 1.0 + _PLAIN_REQUEST_SHARE
        open_items *= 1.0 + _PLAIN_REQUEST_SHARE
    # More slots than there are items at a time do nothing.
    return Need(
        total=min(max(busy_slots / TARGET_UTILIZATION, overlap_slots), open_items),
        on_demand=min(
            max(busy_slots / ON_DEMAND_UTILIZATION, overlap_slots), open_items
        ),
    )


def reference_interval(groups: Sequence[EngineGroup]) -> float:
    """Return the event interval of the fastest zone, in seconds; 0 if unknown."""
    return min(
        (group.event_interval for group in groups if group.event_interval), default=0.0
    )


def zone_speed(groups: Sequence[EngineGroup], zone: str, interval: float) -> float:
    """Return the speed of a zone's engines relative to the fastest zone."""
    intervals = [
        group.event_interval
        for group in groups
        if group.zone == zone and group.event_interval
    ]
    if not intervals:
        return 1.0
    return max(_MIN_ZONE_SPEED, min(1.0, interval / max(intervals)))


def reserve_slots(
    count_by_kind: Mapping[EngineKind, int], slots_by_zone: Mapping[str, float]
) -> float:
    """Return the slots that one loss may cost.

    That is any one engine, or all spot engines of one zone.
    """
    one_engine = max(
        (slots_by_zone[zone] for (zone, _), count in count_by_kind.items() if count),
        default=0.0,
    )
    spot_zones = (
        slots_by_zone[zone] * count
        for (zone, spot), count in count_by_kind.items()
        if spot
    )
    return max(one_engine, *spot_zones, 0.0)


def capacity_slots(
    count_by_kind: Mapping[EngineKind, int], slots_by_zone: Mapping[str, float]
) -> float:
    """Return the slots of all engines."""
    return sum(
        slots_by_zone[zone] * count for (zone, _), count in count_by_kind.items()
    )


def total_price(count_by_kind: Mapping[EngineKind, int], autoscale: Autoscale) -> float:
    """Return the price of all engines for one second."""
    return sum(autoscale.price(*kind) * count for kind, count in count_by_kind.items())


def covers(
    count_by_kind: Mapping[EngineKind, int],
    slots_by_zone: Mapping[str, float],
    need: Need,
) -> bool:
    """Return whether these engines do the work, also after one loss."""
    on_demand = {kind: count for kind, count in count_by_kind.items() if not kind[1]}
    return capacity_slots(on_demand, slots_by_zone) >= need.on_demand and (
        capacity_slots(count_by_kind, slots_by_zone)
        - reserve_slots(count_by_kind, slots_by_zone)
        >= need.total
    )


def open_work_fits(
    demand: ServiceDemand, slots: float, event_interval: float, now: float
) -> bool:
    """Return whether this many slots do the work of all open steps before it is due.

    :param event_interval: seconds for one event on the reference engine.
    :param now: in seconds since 1970.
    """
    work = 0.0
    for step in sorted(demand.open_steps, key=lambda step: step.due):
        work += step.events * event_interval
        if not math.isfinite(step.due):
            continue
        if work > slots * (step.due - now):
            return False
    return True


class _Choice:
    """Adds engines one by one, the cheapest for its slots first.

    :param added_factor: what each engine that is not there yet costs more, in on-demand
        engines of its zone.
    """

    def __init__(
        self,
        zones: Sequence[ZoneState],
        autoscale: Autoscale,
        added_factor: float = 0.0,
    ) -> None:
        self._zones = zones
        self._autoscale = autoscale
        self._added_factor = added_factor
        self.slots_by_zone = {zone.zone: zone.slots for zone in zones}
        self.count_by_kind: dict[EngineKind, int] = {}
        for zone in zones:
            self.count_by_kind[zone.zone, False] = autoscale.minimum
            self.count_by_kind[zone.zone, True] = 0

    def copy(self) -> _Choice:
        twin = _Choice(self._zones, self._autoscale, self._added_factor)
        twin.count_by_kind = dict(self.count_by_kind)
        return twin

    def add(self, spot: bool) -> bool:
        """Add one engine; return whether there was room for it."""
        candidates = [
            (self._rank(zone, spot), zone.zone)
            for zone in self._zones
            if self._has_room(zone, spot)
        ]
        if not candidates:
            return False
        _, zone_name = min(candidates)
        self.count_by_kind[zone_name, spot] += 1
        return True

    def cost(self) -> float:
        """Return the price of all engines, with a surcharge for those to be added."""
        total = 0.0
        for zone in self._zones:
            for spot in (False, True):
                count = self.count_by_kind[zone.zone, spot]
                added = max(0, count - zone.held_by_spot.get(spot, 0))
                price = self._autoscale.price(zone.zone, spot)
                total += price * (count + (_EXCHANGE_FACTOR - 1.0) * added)
                total += (
                    self._autoscale.price(zone.zone, False) * self._added_factor * added
                )
        return total

    def _rank(self, zone: ZoneState, spot: bool) -> tuple[float, float]:
        count = self.count_by_kind[zone.zone, spot]
        price = self._autoscale.price(zone.zone, spot) / zone.slots
        if count >= zone.held_by_spot.get(spot, 0):
            price *= _EXCHANGE_FACTOR
        # Spot engines are spread over the zones, since a zone loses all at once.
        return (count * zone.slots if spot else 0.0), price

    def _has_room(self, zone: ZoneState, spot: bool) -> bool:
        in_zone = sum(self.count_by_kind[zone.zone, kind] for kind in (False, True))
        if in_zone >= self._autoscale.maximum:
            return False
        if spot not in zone.exhausted:
            return True
        return self.count_by_kind[zone.zone, spot] < zone.held_by_spot.get(spot, 0)


def choose_engines(
    need: Need, zones: Sequence[ZoneState], autoscale: Autoscale
) -> dict[EngineKind, int]:
    """Return the cheapest number of engines by zone and kind that covers ``need``.

    If the bounds do not allow enough, as many as they allow.
    """
    return _cheapest(_Choice(zones, autoscale), need)


def add_engines(
    need: Need, zones: Sequence[ZoneState], autoscale: Autoscale
) -> dict[EngineKind, int]:
    """Return the engines that are there with the cheapest ones that ``need`` lacks."""
    base = _Choice(zones, autoscale, _ADDED_ENGINE_FACTOR)
    for zone in zones:
        for spot, count in zone.held_by_spot.items():
            base.count_by_kind[zone.zone, spot] = count
        # Bounds hold for both kinds together.
        missing = autoscale.minimum - sum(zone.held_by_spot.values())
        base.count_by_kind[zone.zone, False] += max(0, missing)
    return _cheapest(base, need)


def _cheapest(base: _Choice, need: Need) -> dict[EngineKind, int]:
    """Return the cheapest engines that include ``base`` and cover ``need``."""
    slots_by_zone = base.slots_by_zone
    while capacity_slots(
        base.count_by_kind, slots_by_zone
    ) < need.on_demand and base.add(spot=False):
        continue
    choices = []
    for prefer_spot in (False, True):
        choice = base.copy()
        while not covers(choice.count_by_kind, slots_by_zone, need):
            if not (choice.add(prefer_spot) or choice.add(not prefer_spot)):
                break
        choices.append(choice)
    complete = [
        choice
        for choice in choices
        if covers(choice.count_by_kind, slots_by_zone, need)
    ]
    if not complete:
        # The choice with more slots; on-demand engines where they are equal.
        best = max(
            choices,
            key=lambda choice: capacity_slots(choice.count_by_kind, slots_by_zone),
        )
        return best.count_by_kind
    return min(complete, key=_Choice.cost).count_by_kind
