"""When which number of engines is ordered. Does no I/O.

Responds to a demand that rises and falls within minutes, to engines that are lost, and
to zones without engines. More engines are ordered at once where steps would be late,
fewer only after the lower number was enough for some time: an idle engine costs its
price, a new engine much more, and a late step far more.
"""

from __future__ import annotations

import statistics
from collections import deque
from collections.abc import Collection, Mapping

from ..batches.engine_choice import unreserved_slots
from .capacity import (
    TARGET_UTILIZATION,
    EngineKind,
    Need,
    ZoneState,
    add_engines,
    capacity_slots,
    covers,
    needed_slots,
    open_work_fits,
    reference_interval,
    zone_speed,
)
from .demand import ServiceDemand
from .kind_state import KindState, remember
from .models import Order, ScalingInputs
from .retention import (
    BELOW_MINIMUM,
    CHEAPER,
    CheaperEngines,
    Retention,
    need_after_reduction,
    raised_to_minimum,
)

# A lower number must have been enough for this many paces of the slowest trainer, and
# at least for this time, before fewer engines are ordered.
_HOLD_PACES = 3.0
_MIN_HOLD_SECONDS = 10.0
# The time between two orders for fewer engines, in paces of the slowest trainer and at
# least, so that a step has run on the engines that are left before more are removed.
_REDUCTION_PACES = 2.0
_MIN_REDUCTION_SECONDS = 5.0
# The share of the engines that is ordered away at a time, at least one engine: their
# runs move at once, and the free slots of the others have to take them.
_MAX_REMOVED_SHARE = 0.1
# An order has its effect within this many boot times and this time. After that, an
# engine that is missing counts as lost, and the order may be repeated.
_SETTLE_BOOTS = 2.0
_SETTLE_SECONDS = 2.0
# An engine whose entry is missing for less than this is taken as there: entries lapse
# in outages of the store, and targets that restart are back soon.
_PRESENCE_SECONDS = 3.0
# Decisions are made twice a second. After a longer gap, another host decided, or this
# one was suspended or cut off from the store; what was enough meanwhile is not known.
_MAX_GAP_SECONDS = 3.0
# The dispatcher may keep the runs of an engine below its slots, for instance because of
# its memory. The most runs an engine that were seen within this time while items waited
# count as its slots, if this many decisions saw them wait.
_CONCURRENCY_SECONDS = 30.0
_MIN_CONCURRENCY_SAMPLES = 6


class ScalingPolicy:
    """Decides on the orders for one service."""

    def __init__(self) -> None:
        self._state_by_kind: dict[EngineKind, KindState] = {}
        self._reduced_at = float("-inf")
        self._retention = Retention()
        self._cheaper_engines = CheaperEngines()
        self._needs: deque[tuple[float, Need]] = deque()
        self._runs_per_engine: deque[tuple[float, float]] = deque()
        self.wanted_by_kind: dict[EngineKind, int] = {}
        self.present_by_kind: dict[EngineKind, int] = {}
        # Why nothing is ordered; None if orders are possible.
        self.held_reason: str | None = None
        # Why the last order was decided.
        self.order_reason = ""

    def record_order(
        self, zone: str, spot: bool, count: int, present: int, at: float
    ) -> None:
        """Take note of a recorded order, which may be of an earlier holder.

        :param present: the engines that were there.
        :param at: when it was decided, in seconds since 1970.
        """
        if count < present:
            self._reduced_at = max(self._reduced_at, at)
        state = self._state(zone, spot)
        state.ordered, state.ordered_at, state.answered = count, at, False

    def record_acceptance(self, zone: str, spot: bool, at: float) -> None:
        """Take note that the last order was accepted.

        :param at: when it was accepted, in seconds since 1970.
        """
        state = self._state(zone, spot)
        state.ordered_at, state.answered = max(state.ordered_at, at), True
        if state.ordered is not None:
            state.counted.clear()
            state.counted.append((at, state.ordered))

    def record_refusal(
        self, zone: str, spot: bool, at: float, boot_seconds: float
    ) -> None:
        """Take note that no such engine can be had in the zone now.

        The same may be ordered again after the boot time.
        """
        self.forget_order(zone, spot)
        self._state(zone, spot).exhausted_until = at + boot_seconds

    def forget_order(self, zone: str, spot: bool) -> None:
        """Take note that the last order was not carried out."""
        state = self._state(zone, spot)
        state.ordered, state.answered = None, True

    def next_order(self, inputs: ScalingInputs, now: float) -> Order | None:
        """Return the next order to make; None if there is none now.

        :param now: in seconds since 1970.
        """
        present = self._observe(inputs, now)
        self.present_by_kind = present
        interval = reference_interval(inputs.groups)
        self.held_reason = _reason_to_hold(inputs, interval)
        if self.held_reason is not None:
            self._needs.clear()
            return None
        need = needed_slots(inputs.demand, interval, inputs.plain_requests)
        expected = self._expected(inputs, present, now)
        zones = self._zone_states(inputs, expected, interval, now)
        slots_by_zone = {zone.zone: zone.slots for zone in zones}
        may_reduce, largest = self._largest_need(inputs.demand, need, now)
        slots = capacity_slots(expected, slots_by_zone)
        required = self._retention.required(
            need,
            expected,
            slots_by_zone,
            open_work_fits(inputs.demand, slots, interval, now),
            now,
        )
        if not covers(expected, slots_by_zone, required):
            self._cheaper_engines.clear()
            self.order_reason = self._retention.reason
            self.wanted_by_kind = add_engines(required, zones, inputs.autoscale)
            return self._increase(inputs, present, expected, need, now)
        cheaper, largest = None, need_after_reduction(largest)
        if may_reduce:
            cheaper = self._cheaper_engines.choose(
                largest, zones, inputs.autoscale, now, _MAX_GAP_SECONDS
            )
        self.order_reason = CHEAPER if cheaper else BELOW_MINIMUM
        self.wanted_by_kind = cheaper or raised_to_minimum(expected, inputs.autoscale)
        order = self._increase(inputs, present, expected, need, now)
        if order is not None or cheaper is None:
            return order
        return self._decrease(inputs, slots_by_zone, present, expected, largest, now)

    def _largest_need(
        self, demand: ServiceDemand, need: Need, now: float
    ) -> tuple[bool, Need]:
        """Return the largest need of the hold time, and whether all of it was seen."""
        if demand.missing_models:
            # What is known is the least that is needed, so lost engines are replaced.
            names = ", ".join(demand.missing_models)
            self.held_reason = (
                f"no order for fewer: fewer than two steps were seen of {names}"
            )
            self._needs.clear()
            return False, need
        hold_seconds = max(_MIN_HOLD_SECONDS, _HOLD_PACES * _longest_pace(demand))
        if self._needs and now > self._needs[-1][0] + _MAX_GAP_SECONDS:
            known = _largest(self._needs)
            self._needs.clear()
            self._needs.append((now, known))
        remember(self._needs, now, need, hold_seconds)
        return now - self._needs[0][0] >= hold_seconds, _largest(self._needs)

    def _state(self, zone: str, spot: bool) -> KindState:
        return self._state_by_kind.setdefault((zone, spot), KindState())

    def _observe(self, inputs: ScalingInputs, now: float) -> dict[EngineKind, int]:
        """Return the engines that are there, by zone and kind."""
        zones = {group.zone for group in inputs.groups}
        zones.update(inputs.autoscale.price_by_zone)
        group_by_kind = {(group.zone, group.spot): group for group in inputs.groups}
        present: dict[EngineKind, int] = {}
        for zone in sorted(zones):
            for spot in (False, True):
                state = self._state(zone, spot)
                group = group_by_kind.get((zone, spot))
                ready = group.ready if group is not None else 0
                if group is not None and group.draining:
                    state.ready.clear()
                    if spot:
                        state.counted.clear()
                        # The platform takes the spot engines of this zone back, also
                        # those that were ordered last.
                        state.ordered = None
                        state.exhausted_until = now + inputs.autoscale.boot_seconds
                remember(state.ready, now, ready, _PRESENCE_SECONDS)
                present[zone, spot] = max(count for _, count in state.ready)
        return present

    def _settling(self, kind: EngineKind, inputs: ScalingInputs, now: float) -> bool:
        """Return whether the last order may still take effect."""
        state = self._state(*kind)
        settle_seconds = _SETTLE_BOOTS * inputs.autoscale.boot_seconds + _SETTLE_SECONDS
        return state.ordered is not None and (
            not state.answered or now < state.ordered_at + settle_seconds
        )

    def _expected(
        self, inputs: ScalingInputs, present: Mapping[EngineKind, int], now: float
    ) -> dict[EngineKind, int]:
        """Return the engines that are there once the last orders have taken effect."""
        expected = {}
        for kind, count in present.items():
            state = self._state(*kind)
            settling = self._settling(kind, inputs, now)
            expected[kind] = (state.ordered or 0) if settling else count
            if state.answered:
                state.count(expected[kind], now, spot=kind[1])
        return expected

    def _zone_states(
        self,
        inputs: ScalingInputs,
        expected: Mapping[EngineKind, int],
        interval: float,
        now: float,
    ) -> list[ZoneState]:
        slots = self._usable_slots(inputs, now)
        return [
            ZoneState(
                zone,
                slots * zone_speed(inputs.groups, zone, interval),
                {spot: expected[zone, spot] for spot in (False, True)},
                frozenset(
                    spot
                    for spot in (False, True)
                    if now < self._state(zone, spot).exhausted_until
                ),
            )
            for zone in sorted({zone for zone, _ in expected})
        ]

    def _usable_slots(self, inputs: ScalingInputs, now: float) -> float:
        """Return how many runs an engine takes, also if other limits are below."""
        ready = [group for group in inputs.groups if group.ready]
        # The demand contains the long items, which run in the reserved slots.
        slots = int(statistics.median(each.slots for each in ready))
        engines = sum(group.ready for group in ready)
        samples = self._runs_per_engine
        while samples and samples[0][0] < now - _CONCURRENCY_SECONDS:
            samples.popleft()
        if inputs.waiting_items >= engines and inputs.runs:
            # Engines that load weights have few runs for another reason.
            samples.append((now, max(inputs.runs / engines, inputs.most_runs)))
        if len(samples) < _MIN_CONCURRENCY_SAMPLES:
            return slots
        most_runs = max(runs for _, runs in samples)
        # Items that wait for reserved slots show no other limit.
        return slots if most_runs >= unreserved_slots(slots) else max(1.0, most_runs)

    def _increase(
        self,
        inputs: ScalingInputs,
        present: Mapping[EngineKind, int],
        expected: Mapping[EngineKind, int],
        need: Need,
        now: float,
    ) -> Order | None:
        for (zone, spot), count in self.wanted_by_kind.items():
            if count <= expected[zone, spot]:
                continue
            state = self._state(zone, spot)
            # A lower number would remove engines that are only being replaced.
            count = max(count, state.most_counted)
            # Engines of the other kind take up room until they are removed.
            other_kind = zone, not spot
            other = max(
                present[other_kind],
                expected[other_kind],
                self._state(*other_kind).most_counted,
            )
            count = min(count, inputs.autoscale.maximum - other)
            if count <= expected[zone, spot]:
                continue
            if now < state.exhausted_until:
                continue
            if not state.answered and (state.ordered or 0) > present[zone, spot]:
                # It is sent first, by a successor too; one for fewer is superseded.
                continue
            return Order(zone, spot, count, present[zone, spot], need.total)
        return None

    def _counted(self, zone: str, present: Mapping[EngineKind, int]) -> dict[bool, int]:
        """Return the engines of a zone by kind, with those that are being replaced."""
        return {
            spot: max(present[zone, spot], self._state(zone, spot).most_counted)
            for spot in (False, True)
        }

    def _decrease(
        self,
        inputs: ScalingInputs,
        slots_by_zone: Mapping[str, float],
        present: Mapping[EngineKind, int],
        expected: Mapping[EngineKind, int],
        need: Need,
        now: float,
    ) -> Order | None:
        pause_seconds = _REDUCTION_PACES * _longest_pace(inputs.demand)
        if now < self._reduced_at + max(_MIN_REDUCTION_SECONDS, pause_seconds):
            return None
        ready = {kind: 0 for kind in present} | {
            (group.zone, group.spot): group.ready for group in inputs.groups
        }
        # An order for fewer that has not taken effect yet will do so.
        ready = {kind: min(count, expected[kind]) for kind, count in ready.items()}
        # The engines of the kind that costs most for its slots go first.
        kinds = sorted(
            ready,
            key=lambda kind: (
                inputs.autoscale.price(*kind) / slots_by_zone[kind[0]],
                kind,
            ),
            reverse=True,
        )
        most = max(1, int(sum(ready.values()) * _MAX_REMOVED_SHARE))
        for zone, spot in kinds:
            kind = zone, spot
            if self._settling(kind, inputs, now) or ready[kind] < present[kind]:
                continue
            counted = self._counted(zone, present)
            # No order may be above the maximum, also where more engines are there.
            excess = sum(counted.values()) - inputs.autoscale.maximum
            removed = min(
                max(most, excess),
                ready[kind] - self.wanted_by_kind[kind],
                ready[zone, False] + ready[zone, True] - inputs.autoscale.minimum,
            )
            if removed <= 0 or removed < excess:
                continue
            left = ready | {kind: ready[kind] - removed}
            if not any(count for (_, is_spot), count in left.items() if not is_spot):
                # Without engines no speed is known, and nothing could be ordered.
                continue
            if _can_do_without(inputs, left, slots_by_zone, need, now):
                count = counted[spot]
                return Order(zone, spot, count - removed, count, need.total)
        return None


def _reason_to_hold(inputs: ScalingInputs, interval: float) -> str | None:
    if not any(group.ready for group in inputs.groups):
        return "no engine is known"
    if not interval:
        return "no engine's speed was measured"
    return None


def _largest(needs: Collection[tuple[float, Need]]) -> Need:
    return Need(
        total=max(need.total for _, need in needs),
        on_demand=max(need.on_demand for _, need in needs),
    )


def _longest_pace(demand: ServiceDemand) -> float:
    return max((model.pace for model in demand.models), default=0.0)


def _can_do_without(
    inputs: ScalingInputs,
    left: Mapping[EngineKind, int],
    slots_by_zone: Mapping[str, float],
    need: Need,
    now: float,
) -> bool:
    """Return whether the engines that are left do the known work in time."""
    if not covers(left, slots_by_zone, need):
        return False
    usable_slots = TARGET_UTILIZATION * capacity_slots(left, slots_by_zone)
    if inputs.runs > usable_slots:
        return False
    interval = reference_interval(inputs.groups)
    return open_work_fits(inputs.demand, usable_slots, interval, now)
