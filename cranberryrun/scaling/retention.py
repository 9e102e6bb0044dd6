"""Which engines are kept although fewer, other or more ones would suit the demand.

Responds to a demand that varies from step to step, to lost engines, and to engines that
cost more than others would. Does no I/O. A new engine loads weights and gets new
connections, and its work is missing for as long as it boots.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import replace

from ..fleet.manifest import Autoscale
from .capacity import (
    EngineKind,
    Need,
    ZoneState,
    capacity_slots,
    choose_engines,
    covers,
    reserve_slots,
    total_price,
)

# Engines are exchanged once the others would have saved the price of so many seconds
# of an on-demand engine for each new one: 20 steps of a trainer at a pace of 4 s.
# Until then the demand may still change, and an exchange interrupts runs and loads the
# weights of all models, which slows the loads of the engines that serve.
_NEW_ENGINE_SECONDS = 80.0
# The same for an engine that is removed, about 8 steps: its runs move, and it may be
# needed again, but nothing is loaded.
_REMOVED_ENGINE_SECONDS = 30.0
# Savings below this share of the price of all engines are not counted: the sizes of
# steps vary.
_MIN_SAVING_SHARE = 0.08
# Fewer or cheaper engines are chosen for this many times the need, since demand that
# rises again needs new engines, which boot for as long as a step lasts.
# On ten seeds of the curve "tripled" of bench.scaling, 35 steps were behind with 1.0,
# 20 with 1.2 and 35 with 1.25.
_REDUCED_NEED_FACTOR = 1.2
# After a step was late or engines lacked, engines are ordered for the target
# utilization for this long: two boot times and 2 s, in which the new ones take effect.
_SHORT_SECONDS = 10.0
# Why engines are ordered.
STEPS_LATE = "a step is late or cannot be on time"
SLOTS_EXCEEDED = "the work exceeds all slots"
ENGINES_LOST = "engines were lost"
CHEAPER = "fewer or cheaper engines suffice"
BELOW_MINIMUM = "the zone is below its minimum"


class Retention:
    """Knows the engines to be kept up, and the need that more engines are ordered for.

    While all steps are on time, lost engines are replaced as far as they are needed at
    the target utilization. More engines than there were are ordered only for work that
    exceeds all slots.
    """

    def __init__(self) -> None:
        self._kept_by_kind: dict[EngineKind, int] = {}
        self._short_at = float("-inf")
        # Why the engines do not cover the required need, if they do not.
        self.reason = ENGINES_LOST

    def required(
        self,
        need: Need,
        expected: Mapping[EngineKind, int],
        slots_by_zone: Mapping[str, float],
        on_time: bool,
        now: float,
    ) -> Need:
        """Return the need that the engines have to cover.

        :param need: at the target utilization.
        :param expected: the engines that are there or ordered.
        :param on_time: whether the open steps can be done before they are due.
        :param now: in seconds since 1970.
        """
        at_capacity = replace(need, total=need.on_demand)
        if not on_time or not covers(expected, slots_by_zone, at_capacity):
            # The largest of the newest steps counts, so demand that rises grows step by
            # step. Ordering for the target utilization leaves room for the next one.
            self._short_at = now
            self.reason = SLOTS_EXCEEDED if on_time else STEPS_LATE
        required = need
        if now >= self._short_at + _SHORT_SECONDS:
            self.reason = ENGINES_LOST
            kept_slots = self._kept_slots(slots_by_zone)
            required = replace(
                need, total=max(need.on_demand, min(need.total, kept_slots))
            )
        if covers(expected, slots_by_zone, required):
            self._kept_by_kind = dict(expected)
        return required

    def _kept_slots(self, slots_by_zone: Mapping[str, float]) -> float:
        """Return the slots of the engines to be kept up, without the reserve."""
        kept = {
            kind: count
            for kind, count in self._kept_by_kind.items()
            if kind[0] in slots_by_zone
        }
        reserve = reserve_slots(kept, slots_by_zone)
        return capacity_slots(kept, slots_by_zone) - reserve


def need_after_reduction(need: Need) -> Need:
    """Return what the engines have to cover after some of them are removed."""
    return Need(
        total=_REDUCED_NEED_FACTOR * need.total,
        on_demand=_REDUCED_NEED_FACTOR * need.on_demand,
    )


class _Saving:
    """Adds up what a change would have saved, until that exceeds its cost.

    The cost of waiting is then at most the cost of the change, however long the demand
    stays.
    """

    def __init__(self) -> None:
        self._saved = 0.0
        self._counted_at: float | None = None

    def pays(self, rate: float, cost: float, now: float, max_gap: float) -> bool:
        """Return whether the change is worth its cost.

        :param rate: what it saves in a second; 0 if there is no change worth making.
        :param cost: what the change costs once.
        :param max_gap: a longer time between two calls, in seconds, is not counted.
        """
        counted_at, self._counted_at = self._counted_at, now
        if rate <= 0:
            self._saved = 0.0
            return False
        if counted_at is not None and now - counted_at <= max_gap:
            self._saved += rate * (now - counted_at)
        return self._saved >= cost

    def approve(self) -> None:
        """Take the change as worth its cost until there is none to make."""
        self._saved = float("inf")


class CheaperEngines:
    """Decides when fewer or cheaper engines are worth the cost of the change."""

    def __init__(self) -> None:
        self._removal = _Saving()
        self._exchange = _Saving()

    def clear(self) -> None:
        """Forget the savings, since all engines are needed."""
        self._removal, self._exchange = _Saving(), _Saving()

    def choose(
        self,
        need: Need,
        zones: Sequence[ZoneState],
        autoscale: Autoscale,
        now: float,
        max_gap: float,
    ) -> dict[EngineKind, int] | None:
        """Return the engines to change to; None if the change does not pay yet.

        :param need: the largest one for which engines are kept.
        :param now: in seconds since 1970.
        :param max_gap: a longer time without decisions, in seconds, is not counted.
        """
        expected = {
            (zone.zone, spot): count
            for zone in zones
            for spot, count in zone.held_by_spot.items()
        }
        price = total_price(expected, autoscale)
        without_new = [
            replace(zone, exhausted=frozenset({False, True})) for zone in zones
        ]
        fewer = choose_engines(need, without_new, autoscale)
        others = choose_engines(need, zones, autoscale)
        fewer_price = min(price, total_price(fewer, autoscale))
        smallest = _MIN_SAVING_SHARE * price
        removal_rate = price - fewer_price
        exchange_rate = fewer_price - total_price(others, autoscale)
        removal_pays = self._removal.pays(
            removal_rate if removal_rate >= smallest else 0.0,
            _REMOVED_ENGINE_SECONDS * _on_demand_price(fewer, expected, autoscale),
            now,
            max_gap,
        )
        exchange_pays = self._exchange.pays(
            exchange_rate if exchange_rate >= smallest else 0.0,
            _NEW_ENGINE_SECONDS * _on_demand_price(expected, others, autoscale),
            now,
            max_gap,
        )
        if exchange_pays:
            # The engines that are replaced are removed once the others serve.
            self._removal.approve()
            return others
        return fewer if removal_pays else None


def _on_demand_price(
    smaller: Mapping[EngineKind, int],
    larger: Mapping[EngineKind, int],
    autoscale: Autoscale,
) -> float:
    """Return the on-demand price of the engines that only ``larger`` has."""
    return sum(
        autoscale.price(kind[0], False) * max(0, count - smaller.get(kind, 0))
        for kind, count in larger.items()
    )


def raised_to_minimum(
    count_by_kind: Mapping[EngineKind, int], autoscale: Autoscale
) -> dict[EngineKind, int]:
    """Return the numbers with on-demand engines added where a zone has too few."""
    raised = dict(count_by_kind)
    for zone in {zone for zone, _ in count_by_kind}:
        missing = autoscale.minimum - raised[zone, False] - raised[zone, True]
        raised[zone, False] += max(0, missing)
    return raised
