"""The targets of a plain service, and the choice of one for each request."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

from . import clock
from .exceptions import NoTargetError
from .health import Health
from .models import ServiceTarget
from .routing import Candidate, RoutingHints, RoutingPolicy
from .services import ServiceClient, Sink

_IDLE_TIMEOUT_FACTOR = 5.0  # times the mean response time
_EWMA_WEIGHT = 0.1
_MIN_RETRY_AFTER_SECONDS = 1.0


@dataclass(slots=True)
class TargetState:
    """The state of one target, as this host observed it.

    ``mean_seconds`` is the moving average of its response times. A streamed answer
    counts until it begins; a timeout counts with its full duration.
    ``waiting_since`` is the loop time from which on the idle timeout is measured.
    """

    target: ServiceTarget
    client: ServiceClient
    health: Health = field(default_factory=Health)
    in_flight: int = 0
    mean_seconds: float = 0.0
    waiting_since: float = 0.0

    def candidate(self) -> Candidate:
        """Return the target as a candidate of a routing policy."""
        return Candidate(
            id=self.target.id, zone=self.target.zone, in_flight=self.in_flight
        )

    def request_started(self) -> None:
        """Record that a request is sent to the target."""
        if not self.in_flight:
            self.waiting_since = clock.now()
        self.in_flight += 1

    def request_ended(self) -> None:
        """Record that a request ended, with or without an answer."""
        self.in_flight -= 1

    def record_answer(self, seconds: float) -> bool:
        """Record an answer; return whether the target had been failing."""
        self.record_activity()
        self.record_duration(seconds)
        return self.health.record_answer()

    def record_activity(self) -> None:
        """Record that the target sent data."""
        self.waiting_since = clock.now()

    def record_duration(self, seconds: float) -> None:
        """Add the duration of a request to the moving average."""
        weight = _EWMA_WEIGHT if self.mean_seconds else 1.0
        self.mean_seconds += weight * (seconds - self.mean_seconds)

    def idle_timeout(self, min_idle_timeout: float) -> float:
        """Return how long the target may send no data, in seconds."""
        return max(min_idle_timeout, _IDLE_TIMEOUT_FACTOR * self.mean_seconds)

    def is_unresponsive(self, min_idle_timeout: float) -> bool:
        """Return whether requests are in flight and no data came in time."""
        if not self.in_flight:
            return False
        return clock.now() - self.waiting_since > self.idle_timeout(min_idle_timeout)

    def is_being_probed(self) -> bool:
        """Return whether the target is failing and has a probe request in flight."""
        return self.health.probing() and self.in_flight > 0


class TargetSink(Sink):
    """Passes an answer on and records the target's activity meanwhile.

    ``began_at`` is when the answer began, in the loop's time.
    """

    def __init__(self, state: TargetState, sink: Sink) -> None:
        self._state = state
        self._sink = sink
        self.began_at: float | None = None

    async def begin(
        self, status: int, headers: Mapping[str, str], length: int | None
    ) -> None:
        """See :meth:`Sink.begin`."""
        self.began_at = clock.now()
        self._state.record_activity()
        await self._sink.begin(status, headers, length)
        self.begun = True

    async def write(self, data: bytes) -> None:
        """See :meth:`Sink.write`."""
        self._state.record_activity()
        await self._sink.write(data)


class Targets:
    """Keeps the state of the declared targets of one service.

    :param client_for: returns a new client for a target.
    :param min_idle_timeout: least time without data after which a target counts as
        unresponsive, in seconds.
    """

    def __init__(
        self,
        client_for: Callable[[ServiceTarget], ServiceClient],
        min_idle_timeout: float,
    ) -> None:
        self._client_for = client_for
        self._min_idle_timeout = min_idle_timeout
        self.by_id: dict[str, TargetState] = {}

    def apply_declared(self, targets: list[ServiceTarget]) -> None:
        """Add, replace and remove targets to match the declared ones."""
        declared = {target.id: target for target in targets}
        for target_id in list(self.by_id):
            if target_id not in declared:
                del self.by_id[target_id]
        for target_id, target in declared.items():
            current = self.by_id.get(target_id)
            if current is None or current.target != target:
                self.by_id[target_id] = TargetState(target, self._client_for(target))

    def choose(
        self,
        policy: RoutingPolicy,
        zone: str,
        is_leaving: Callable[[str], bool],
        tried: set[str],
    ) -> TargetState:
        """Return the target for the next request.

        A failing target gets one request at a time after its cooldown. If no target
        is usable, the idle one whose cooldown ends first is probed early.

        :param is_leaving: returns whether the target with an id is leaving.
        :param tried: ids of the targets that earlier attempts were sent to.
        :raises NoTargetError: no target may be used.
        """
        remaining = [
            state for state in self.by_id.values() if not is_leaving(state.target.id)
        ]
        untried = [
            state for state in remaining if state.target.id not in tried
        ] or remaining
        chosen = policy.choose(
            [state.candidate() for state in self._preferred(untried)],
            RoutingHints(zone),
        )
        if chosen is None:
            raise NoTargetError(
                "no target of the service is usable now",
                retry_after=_retry_after(remaining),
            )
        return self.by_id[chosen.id]

    def _preferred(self, states: list[TargetState]) -> list[TargetState]:
        usable = [
            state
            for state in states
            if state.health.usable() and not state.is_being_probed()
        ]
        responsive = [
            state
            for state in usable
            if not state.is_unresponsive(self._min_idle_timeout)
        ]
        if responsive or usable:
            return responsive or usable
        idle = [state for state in states if not state.in_flight]
        return sorted(idle, key=lambda state: state.health.cooldown_until)[:1]


def _retry_after(states: list[TargetState]) -> float:
    if not states:
        return _MIN_RETRY_AFTER_SECONDS
    soonest = min(state.health.cooldown_until for state in states)
    return max(_MIN_RETRY_AFTER_SECONDS, soonest - clock.now())
