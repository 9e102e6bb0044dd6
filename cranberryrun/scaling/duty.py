"""The duty of ordering engines: turns decisions into recorded calls."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any

from pydantic import TypeAdapter, ValidationError

from ..duties.client import DutyClient, EngineOrder
from ..duties.duty import Duty, DutyCall
from .models import Order, ScalingInputs
from .policy import ScalingPolicy

# Batches are read at intervals of some tenths of a second, so more frequent decisions
# would be based on the same inputs.
_DECISION_SECONDS = 0.5
# The demand of a host that decides no more is not shown.
_SHOWN_SECONDS = 5.0
_DEFAULT_BOOT_SECONDS = 4.0
# An order for fewer engines that has no answer for this long is given up.
_MAX_DECREASE_AGE_SECONDS = 15.0


@dataclass(frozen=True, slots=True)
class _Content:
    """The content of a recorded order.

    ``present`` engines were there when it was decided, ``at`` seconds since 1970.
    """

    service: str
    zone: str
    count: int
    spot: bool = False
    present: int = 0
    at: float = 0.0
    boot_seconds: float = _DEFAULT_BOOT_SECONDS


_CONTENT_ADAPTER: TypeAdapter[_Content] = TypeAdapter(_Content)


class ScaleDuty(Duty):
    """Orders engines for each autoscaled service.

    :param read_inputs: returns the inputs of the policy by service; called with the
        time in seconds since 1970.
    :param emit: records an event with its fields.
    """

    name = "scale"

    def __init__(
        self,
        read_inputs: Callable[[float], Mapping[str, ScalingInputs]],
        emit: Callable[..., None],
    ) -> None:
        self._read_inputs = read_inputs
        self._emit = emit
        self._policy_by_service: dict[str, ScalingPolicy] = {}
        self._last_number_by_subject: dict[str, int] = {}
        # The event fields of unanswered calls that this process decided or sent.
        self._fields_by_call: dict[tuple[str, int], dict[str, Any]] = {}
        self._held_reason_by_service: dict[str, str | None] = {}
        # The call that is wanted and is not recorded yet, with the fields of its event.
        self._decision: tuple[DutyCall, dict[str, Any]] | None = None
        self._decided_at = float("-inf")
        self._shown_until = float("-inf")
        self._now = float("-inf")

    def apply_record(self, call: DutyCall) -> None:
        """See :meth:`Duty.apply_record`."""
        last = self._last_number_by_subject.get(call.subject, -1)
        self._last_number_by_subject[call.subject] = max(last, call.number)
        decision = self._decision
        self._decide_anew()
        content = _parse(call)
        if content is None or call.number <= last:
            return
        self._policy(content.service).record_order(
            content.zone, content.spot, content.count, content.present, content.at
        )
        if decision is not None and decision[0] == call:
            self._fields_by_call[call.subject, call.number] = decision[1]
            self._emit("engines_wanted", **decision[1])

    def apply_answer(self, call: DutyCall, accepted: bool) -> None:
        """See :meth:`Duty.apply_answer`.

        A refusal of more engines means that the zone has none now.
        """
        self._decide_anew()
        content = _parse(call)
        if content is None:
            return
        fields = self._fields_by_call.pop((call.subject, call.number), None)
        policy = self._policy(content.service)
        if call.number < self._last_number_by_subject.get(call.subject, -1):
            return
        # An answer that is read back was given soon after the order.
        answered_at = max(content.at, self._now) if fields is not None else content.at
        if accepted:
            policy.record_acceptance(content.zone, content.spot, answered_at)
        elif content.count > content.present:
            policy.record_refusal(
                content.zone, content.spot, answered_at, content.boot_seconds
            )
        else:
            policy.forget_order(content.zone, content.spot)
        if fields is not None:
            self._emit(
                "engines_ordered" if accepted else "engine_order_refused",
                **fields,
                age=round(max(0.0, self._now - content.at), 3),
            )

    def next_call(self, now: float) -> DutyCall | None:
        """See :meth:`Duty.next_call`.

        The decision is kept until a record or an answer is read, or until it is made
        anew because it has become old.
        """
        self._now = now
        if now >= self._decided_at + _DECISION_SECONDS:
            self._decided_at = now
            self._decision = self._decide(now)
        return None if self._decision is None else self._decision[0]

    def expired(self, call: DutyCall, now: float) -> bool:
        """See :meth:`Duty.expired`.

        The demand may have risen since an old order for fewer engines. An order that is
        followed by a newer one was carried out, or its holder gave it up.
        """
        content = _parse(call)
        if content is None:
            return True
        if call.number < self._last_number_by_subject.get(call.subject, -1):
            return True
        return (
            content.count < content.present
            and now > content.at + _MAX_DECREASE_AGE_SECONDS
        )

    async def send(
        self, client: DutyClient, call: DutyCall, holder: str, fence: int
    ) -> None:
        """See :meth:`Duty.send`."""
        content = _CONTENT_ADAPTER.validate_python(call.content)
        self._fields_by_call.setdefault(
            (call.subject, call.number),
            {
                "service": content.service,
                "zone": content.zone,
                "spot": content.spot,
                "count": content.count,
                "present": content.present,
            },
        )
        order = EngineOrder(content.service, content.zone, content.count, content.spot)
        await client.order_engines(order, holder, fence)

    def wanted_by_zone(self, now: float) -> dict[str, float]:
        """Return the engines that the policies want; empty if this host decides none.

        :param now: in seconds since 1970.
        """
        return self._sum_by_zone(now, lambda policy: policy.wanted_by_kind)

    def present_by_zone(self, now: float) -> dict[str, float]:
        """Return the engines that are there; empty if this host decides nothing.

        :param now: in seconds since 1970.
        """
        return self._sum_by_zone(now, lambda policy: policy.present_by_kind)

    def _sum_by_zone(
        self,
        now: float,
        counts: Callable[[ScalingPolicy], Mapping[tuple[str, bool], int]],
    ) -> dict[str, float]:
        total: dict[str, float] = {}
        if now > self._shown_until:
            return total
        for policy in self._policy_by_service.values():
            for (zone, _), count in counts(policy).items():
                total[zone] = total.get(zone, 0.0) + count
        return total

    def _policy(self, service: str) -> ScalingPolicy:
        return self._policy_by_service.setdefault(service, ScalingPolicy())

    def _note_held(self, service: str, policy: ScalingPolicy) -> None:
        reason = policy.held_reason
        if reason != self._held_reason_by_service.get(service):
            self._held_reason_by_service[service] = reason
            if reason is not None:
                self._emit("scaling_held", service=service, reason=reason)

    def _decide_anew(self) -> None:
        self._decision = None
        self._decided_at = float("-inf")

    def _decide(self, now: float) -> tuple[DutyCall, dict[str, Any]] | None:
        """Return the next call and the fields of its event."""
        inputs_by_service = self._read_inputs(now)
        self._shown_until = now + _SHOWN_SECONDS
        for service, policy in self._policy_by_service.items():
            if service not in inputs_by_service:
                policy.wanted_by_kind, policy.present_by_kind = {}, {}
        for service, inputs in inputs_by_service.items():
            policy = self._policy(service)
            order = policy.next_order(inputs, now)
            self._note_held(service, policy)
            if order is not None:
                return (
                    self._call(service, order, inputs, now),
                    _event_fields(service, order, inputs, now)
                    | {"reason": policy.order_reason},
                )
        return None

    def _call(
        self, service: str, order: Order, inputs: ScalingInputs, now: float
    ) -> DutyCall:
        # Orders for spot engines are numbered apart, so that the last one of each kind
        # stays in the store.
        subject = f"{service}/{order.zone}" + ("/spot" if order.spot else "")
        content: dict[str, Any] = {
            "service": service,
            "zone": order.zone,
            "count": order.count,
            "spot": order.spot,
            "present": order.present,
            "at": now,
            "boot_seconds": inputs.autoscale.boot_seconds,
        }
        number = self._last_number_by_subject.get(subject, -1) + 1
        return DutyCall(self.name, subject, number, content)


def _event_fields(
    service: str, order: Order, inputs: ScalingInputs, now: float
) -> dict[str, Any]:
    demand = inputs.demand
    return {
        "service": service,
        "zone": order.zone,
        "spot": order.spot,
        "count": order.count,
        "present": order.present,
        "needed_slots": round(order.needed_slots, 1),
        "runs": inputs.runs,
        "paces": {model.model: round(model.pace, 2) for model in demand.models},
        "events": {model.model: round(model.events) for model in demand.models},
        "intervals": {
            group.zone + ("/spot" if group.spot else ""): round(group.event_interval, 4)
            for group in inputs.groups
        },
        "demand_age": round(now - demand.newest_at, 3),
    }


def _parse(call: DutyCall) -> _Content | None:
    try:
        return _CONTENT_ADAPTER.validate_python(call.content)
    except ValidationError:
        # Written by another build; the number alone is taken note of.
        return None
