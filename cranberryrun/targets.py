"""The targets of a plain service, and which of them may get the next request."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

from . import clock
from .exceptions import NoTargetError
from .health import Health
from .models import ServiceTarget
from .routing import Candidate, RoutingHints, RoutingPolicy
from .services import ServiceClient, Sink

_SILENCE_FACTOR = 5.0
_MEAN_WEIGHT = 0.1
_MIN_RETRY_AFTER_SECONDS = 1.0


@dataclass(slots=True)
class TargetState:
    """One target as this host knows it. ``mean_seconds`` is of its answers."""

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

    def sent(self) -> None:
        """Note a request that was sent."""
        if not self.in_flight:
            self.waiting_since = clock.now()
        self.in_flight += 1

    def ended(self) -> None:
        """Note that a request ended, in whatever way."""
        self.in_flight -= 1

    def answered(self, seconds: float) -> bool:
        """Note an answer; say whether the target had been failing."""
        self.heard()
        self.took(seconds)
        return self.health.answered()

    def heard(self) -> None:
        """Note that a part of an answer came."""
        self.waiting_since = clock.now()

    def took(self, seconds: float) -> None:
        """Count ``seconds`` as the time of a request."""
        weight = _MEAN_WEIGHT if self.mean_seconds else 1.0
        self.mean_seconds += weight * (seconds - self.mean_seconds)

    def patience(self, least: float) -> float:
        """Return for how long the target may be silent, in seconds."""
        return max(least, _SILENCE_FACTOR * self.mean_seconds)

    def silent(self, least: float) -> bool:
        """Say whether nothing was answered for longer than is usual."""
        if not self.in_flight:
            return False
        return clock.now() - self.waiting_since > self.patience(least)

    def probed(self) -> bool:
        """Say whether a first request after failures is on its way."""
        return self.health.probing() and self.in_flight > 0


class TargetSink(Sink):
    """Passes an answer on and notes that the target is not silent meanwhile.

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
        self._state.heard()
        await self._sink.begin(status, headers, length)
        self.begun = True

    async def write(self, data: bytes) -> None:
        """See :meth:`Sink.write`."""
        self._state.heard()
        await self._sink.write(data)


class Targets:
    """Keeps the state of the declared targets of one service.

    :param client_for: makes the client of a target.
    :param silence: seconds without an answer after which a target is silent.
    """

    def __init__(
        self, client_for: Callable[[ServiceTarget], ServiceClient], silence: float
    ) -> None:
        self._client_for = client_for
        self._silence = silence
        self.by_id: dict[str, TargetState] = {}

    def declare(self, targets: list[ServiceTarget]) -> None:
        """Follow the declaration."""
        declared = {target.id: target for target in targets}
        for target_id in list(self.by_id):
            if target_id not in declared:
                del self.by_id[target_id]
        for target_id, target in declared.items():
            known = self.by_id.get(target_id)
            if known is None or known.target != target:
                self.by_id[target_id] = TargetState(target, self._client_for(target))

    def choose(
        self,
        policy: RoutingPolicy,
        zone: str,
        leaving: Callable[[str], bool],
        tried: set[str],
    ) -> TargetState:
        """Return the target for the next request.

        Those that fail get one request at a time once their pause is over; if
        there are only such, the one whose pause ends first is probed early.

        :raises NoTargetError: if there is none.
        """
        staying = [each for each in self.by_id.values() if not leaving(each.target.id)]
        untried = [each for each in staying if each.target.id not in tried] or staying
        chosen = policy.choose(
            [state.candidate() for state in self._best(untried)], RoutingHints(zone)
        )
        if chosen is None:
            raise NoTargetError(
                "no target may be used now", retry_after=_retry_after(staying)
            )
        return self.by_id[chosen.id]

    def _best(self, states: list[TargetState]) -> list[TargetState]:
        usable = [each for each in states if each.health.usable() and not each.probed()]
        lively = [each for each in usable if not each.silent(self._silence)]
        if lively or usable:
            return lively or usable
        idle = [each for each in states if not each.in_flight]
        return sorted(idle, key=lambda each: each.health.cooldown_until)[:1]


def _retry_after(states: list[TargetState]) -> float:
    if not states:
        return _MIN_RETRY_AFTER_SECONDS
    soonest = min(state.health.cooldown_until for state in states)
    return max(_MIN_RETRY_AFTER_SECONDS, soonest - clock.now())
