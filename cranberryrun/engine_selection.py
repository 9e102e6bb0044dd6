"""Selection of engines for a step's samples, within budget and slot limits."""

from __future__ import annotations

from typing import TYPE_CHECKING

from . import clock
from .budgets import Demand, granted_rate
from .engines import Engine, Engines
from .routing import Candidate, RoutingHints, exclude_penalized
from .slots import Slot
from .state import Resource
from .versions import Versions

if TYPE_CHECKING:
    from .steps import Steps

_DEMAND_CACHE_SECONDS = 0.5
_REQUEST_SLOT_SHARE = 0.125
_LOAD_PER_VERSION_BEHIND = 2.0


class EngineSelector:
    """Chooses engines for one step, within its budget and the engines' slots.

    :ivar newest: the newest weight version of the workload, as of the last check
        by the dispatcher.
    """

    def __init__(self, steps: Steps, workload: Resource) -> None:
        self._steps = steps
        self.workload = workload
        self._engines = steps.kernel.get(Engines)
        self._statistics = steps.statistics(workload.name)
        self.newest = steps.kernel.get(Versions).newest(workload.name)
        self._demand: Demand | None = None
        self._demand_measured_at = 0.0
        self._newest_missing_since: float | None = None

    def stream_limit(self, in_flight: int) -> int:
        """Return how many streams the step may have in flight now.

        :param in_flight: how many it has.
        """
        return self._steps.policies.budget.streams(self._cached_demand(in_flight))

    def guaranteed_streams(self, in_flight: int) -> int:
        """Return how many streams of :meth:`stream_limit` are not lent."""
        return self._steps.policies.budget.guaranteed_streams(
            self._cached_demand(in_flight)
        )

    def _cached_demand(self, in_flight: int) -> Demand:
        """Return the demand; remeasure it after 0.5 s or if ``in_flight`` changed."""
        now = clock.now()
        cached = self._demand
        if (
            cached is not None
            and now - self._demand_measured_at < _DEMAND_CACHE_SECONDS
        ):
            if cached.in_flight == in_flight:
                return cached
        self._demand = self._measure_demand(in_flight)
        self._demand_measured_at = now
        return self._demand

    def _measure_demand(self, in_flight: int) -> Demand:
        spec = self.workload.spec
        pool = self._engines.in_pool(spec.pool)
        slots = sum(engine.spec.slots for engine in pool)
        engines = self._engines.usable_count(spec.pool)
        claims = self._steps.claims(self.workload)
        return Demand(
            rate=granted_rate(self.workload.name, claims, max(engines, 1.0)),
            trainers=max(spec.trainers, self._steps.running_count(self.workload.name)),
            slots_per_engine=slots / max(len(pool), 1),
            pool_slots=slots,
            pool_running=sum(_running_streams(engine) for engine in pool),
            in_flight=in_flight,
            pool_backlogged=any(engine.load and engine.load.queued for engine in pool),
        )

    def engine_limit(self, engine: Engine) -> int:
        """Return how many step streams this host may have at an engine.

        In a pool that also serves requests, a share of the slots is left to them.
        """
        if not self._steps.has_request_traffic(engine.spec.pool):
            return engine.spec.slots
        reserved = max(1, int(engine.spec.slots * _REQUEST_SLOT_SHARE))
        return max(1, engine.spec.slots - reserved)

    def candidates(self) -> dict[str, Candidate]:
        """Return the engines with free slots and fresh enough weights, by name.

        While no engine with free slots has the newest version, return none until
        :meth:`FreshnessPolicy.max_newest_wait` has passed.
        """
        spec = self.workload.spec
        with_free_slots = [
            engine
            for engine in self._engines.usable(spec.pool)
            if engine.in_flight < self.engine_limit(engine)
        ]
        if self._with_version_at_least(with_free_slots, self.newest):
            self._newest_missing_since = None
        elif not self._newest_wait_expired():
            return {}
        # An engine without weights reports version 0. It is excluded once a version
        # is known, also where the freshness bound would allow version 0.
        oldest = max(self.newest - spec.freshness_bound, min(self.newest, 1))
        return {
            engine.name: self._candidate(engine)
            for engine in self._with_version_at_least(with_free_slots, oldest)
        }

    def _candidate(self, engine: Engine) -> Candidate:
        """Return the engine as a candidate; old weights add a penalty."""
        candidate = engine.candidate()
        spec = self.workload.spec
        loaded = engine.version_of(self.workload.name) or 0
        versions_behind = max(0, self.newest - loaded)
        candidate.penalty = (
            versions_behind * (1 - spec.idle_weight) ** 2 * _LOAD_PER_VERSION_BEHIND
        )
        return candidate

    def _with_version_at_least(
        self, engines: list[Engine], version: int
    ) -> list[Engine]:
        chosen: list[Engine] = []
        for engine in engines:
            loaded = engine.version_of(self.workload.name)
            if loaded is not None and loaded >= version:
                chosen.append(engine)
        return chosen

    def _newest_wait_expired(self) -> bool:
        """Return whether engines with older versions may be used now.

        Also starts the wait for an engine with the newest version.
        """
        now = clock.now()
        if self._newest_missing_since is None:
            self._newest_missing_since = now
        freshness = self._steps.policies.freshness
        weight = self.workload.spec.idle_weight
        max_wait = freshness.max_newest_wait(weight, self._statistics.mean_seconds)
        return now - self._newest_missing_since >= max_wait

    def choose(
        self, slot: Slot, by_name: dict[str, Candidate], excluded: str = ""
    ) -> Engine | None:
        """Return an engine for ``slot`` and count the slot's stream in ``by_name``.

        A candidate without another free slot is removed from ``by_name``.

        :param excluded: name of an engine that already generates the slot's sample.
        :return: None if no candidate is left.
        """
        candidates = [
            candidate for name, candidate in by_name.items() if name != excluded
        ]
        chosen = self._steps.routing_policy.choose(
            exclude_penalized(candidates),
            RoutingHints(self._steps.zone, slot.prompt_digest),
        )
        if chosen is None:
            return None
        engine = self._engines.by_name.get(chosen.id)
        chosen.in_flight += 1
        if engine is None or chosen.in_flight >= self.engine_limit(engine):
            by_name.pop(chosen.id, None)
            if not chosen.penalty and all(
                candidate.penalty for candidate in by_name.values()
            ):
                # Only engines with older versions are left. candidates() decides
                # whether to use them or to wait for one with the newest version.
                by_name.clear()
        return engine

    def free_slots(self, by_name: dict[str, Candidate]) -> int:
        """Return how many more streams the candidates can take."""
        engines = [self._engines.by_name[name] for name in by_name]
        return sum(self.engine_limit(engine) - engine.in_flight for engine in engines)

    def new_stream_rate(self, by_name: dict[str, Candidate]) -> float:
        """Return the expected rate of one more stream, in tokens per second.

        It is that of the candidate with the highest rate per stream, capped at the
        best rate of recent samples.
        """
        rates: list[float] = []
        for name in by_name:
            engine = self._engines.by_name[name]
            rate = engine.spec.tokens_per_second
            running = engine.in_flight
            if engine.load is not None:
                rate = engine.load.tokens_per_second
                running = max(running, engine.load.running)
            rates.append(rate / (running + 1))
        return min(max(rates, default=0.0), self._statistics.best_rate)


def _running_streams(engine: Engine) -> int:
    return max(engine.in_flight, engine.load.running if engine.load else 0)
