"""Which engines may get a step's samples, and how many of them at once."""

from __future__ import annotations

from typing import TYPE_CHECKING

from . import clock
from .budgets import Demand, granted_rate
from .engines import Engine, Engines
from .routing import Candidate, RoutingHints, worthwhile
from .slots import Slot
from .state import Resource
from .versions import Versions

if TYPE_CHECKING:
    from .steps import Steps

_DEMAND_SECONDS = 0.5
_REQUEST_SHARE = 0.125
_BEHIND_LOAD = 2.0


class Assignment:
    """Chooses engines for one step, within its budget and the engines' slots.

    :ivar newest: the newest version of the workload that the step knows of.
    """

    def __init__(self, steps: Steps, workload: Resource) -> None:
        self._steps = steps
        self.workload = workload
        self._engines = steps.kernel.get(Engines)
        self._lengths = steps.lengths(workload.name)
        self.newest = steps.kernel.get(Versions).newest(workload.name)
        self._demand: Demand | None = None
        self._demand_at = 0.0
        self._no_newest_since: float | None = None

    def allowed(self, held: int) -> int:
        """Return how many streams the step may hold now, of which it holds ``held``."""
        return self._steps.policies.budget.streams(self._demand_of(held))

    def own(self, held: int) -> int:
        """Return how many of :meth:`allowed` are not lent."""
        return self._steps.policies.budget.own_streams(self._demand_of(held))

    def _demand_of(self, held: int) -> Demand:
        """Return the demand; what the pool does is looked at twice a second."""
        now = clock.now()
        known = self._demand
        if known is not None and now - self._demand_at < _DEMAND_SECONDS:
            if known.held == held:
                return known
        self._demand = self._measure(held)
        self._demand_at = now
        return self._demand

    def _measure(self, held: int) -> Demand:
        spec = self.workload.spec
        pool = self._engines.in_pool(spec.pool)
        slots = sum(engine.spec.slots for engine in pool)
        engines = self._engines.usable_count(spec.pool)
        claims = self._steps.claims(self.workload)
        return Demand(
            rate=granted_rate(self.workload.name, claims, max(engines, 1.0)),
            trainers=max(spec.trainers, self._steps.running_of(self.workload.name)),
            slots=slots / max(len(pool), 1),
            pool_slots=slots,
            pool_busy=sum(_busy(engine) for engine in pool),
            held=held,
            urgent=any(each.load and each.load.queued for each in pool),
        )

    def limit(self, engine: Engine) -> int:
        """Return how many streams of steps an engine may get from this host."""
        if not self._steps.has_requests(engine.spec.pool):
            return engine.spec.slots
        kept = max(1, int(engine.spec.slots * _REQUEST_SHARE))
        return max(1, engine.spec.slots - kept)

    def candidates(self) -> dict[str, Candidate]:
        """Return the engines with room whose version is fresh enough, by name."""
        spec = self.workload.spec
        room = [
            engine
            for engine in self._engines.usable(spec.pool)
            if engine.in_flight < self.limit(engine)
        ]
        if self._running_at_least(room, self.newest):
            self._no_newest_since = None
        elif not self._waited_long():
            return {}
        # An engine that never loaded any weights reports version 0, too.
        oldest = max(self.newest - spec.freshness_bound, min(self.newest, 1))
        return {
            engine.name: self._candidate(engine)
            for engine in self._running_at_least(room, oldest)
        }

    def _candidate(self, engine: Engine) -> Candidate:
        """Return the engine with what speaks against it: old weights."""
        candidate = engine.candidate()
        spec = self.workload.spec
        loaded = engine.version_of(self.workload.name) or 0
        behind = max(0, self.newest - loaded)
        candidate.penalty = behind * (1 - spec.idle_weight) ** 2 * _BEHIND_LOAD
        return candidate

    def _running_at_least(self, engines: list[Engine], version: int) -> list[Engine]:
        chosen: list[Engine] = []
        for engine in engines:
            loaded = engine.version_of(self.workload.name)
            if loaded is not None and loaded >= version:
                chosen.append(engine)
        return chosen

    def _waited_long(self) -> bool:
        """Say whether to take what the bound allows for want of the newest."""
        now = clock.now()
        if self._no_newest_since is None:
            self._no_newest_since = now
        freshness = self._steps.policies.freshness
        weight = self.workload.spec.idle_weight
        patience = freshness.patience(weight, self._lengths.mean_seconds)
        return now - self._no_newest_since >= patience

    def choose(
        self, slot: Slot, by_name: dict[str, Candidate], but: str = ""
    ) -> Engine | None:
        """Return an engine for ``slot`` and count the slot in ``by_name``.

        :param but: the engine that makes the slot's sample already.
        """
        candidates = [each for name, each in by_name.items() if name != but]
        chosen = self._steps.policy.choose(
            worthwhile(candidates), RoutingHints(self._steps.zone, slot.prefix)
        )
        if chosen is None:
            return None
        engine = self._engines.by_name.get(chosen.id)
        chosen.in_flight += 1
        if engine is None or chosen.in_flight >= self.limit(engine):
            by_name.pop(chosen.id, None)
            if not chosen.penalty and all(each.penalty for each in by_name.values()):
                # Whether the others will do depends on how long to wait for these.
                by_name.clear()
        return engine

    def room(self, by_name: dict[str, Candidate]) -> int:
        """Return how many streams the candidates have room for."""
        engines = [self._engines.by_name[name] for name in by_name]
        return sum(self.limit(each) - each.in_flight for each in engines)

    def new_rate(self, by_name: dict[str, Candidate]) -> float:
        """Return the tokens a second that one more stream should get."""
        rates: list[float] = []
        for name in by_name:
            engine = self._engines.by_name[name]
            rate = engine.spec.tokens_per_second
            running = engine.in_flight
            if engine.load is not None:
                rate = engine.load.tokens_per_second
                running = max(running, engine.load.running)
            rates.append(rate / (running + 1))
        return min(max(rates, default=0.0), self._lengths.best_rate)


def _busy(engine: Engine) -> int:
    return max(engine.in_flight, engine.load.running if engine.load else 0)
