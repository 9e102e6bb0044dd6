"""Applies the policies for scarce engine capacity and shows them to operators."""

from __future__ import annotations

from collections.abc import Iterable, Sequence

from .. import clock
from ..events import Events
from ..fleet.directory import Directory
from ..fleet.engine_pool import Engine, EnginePool
from ..kernel import Kernel
from ..metrics import Metrics
from .dispatch import Policies, Start, plan_starts
from .engine_memory import EngineBudget, EngineMemory, MemoryLimits
from .overload import Overload, OverloadPlan
from .scheduled_item import ScheduledItem
from .shares import Shares
from .slow_spans import slow_engines


class Scheduler:
    """Plans runs on the holder of the lease. All state is lost with the lease.

    :param limits_memory: whether engines crash when their memory is full.
    """

    def __init__(self, kernel: Kernel, limits_memory: bool) -> None:
        self._kernel = kernel
        self._limits_memory = limits_memory
        self.reset()
        metrics = kernel.get(Metrics)
        metrics.register_gauge("engine_load", lambda: self._plan.load)
        metrics.register_gauge(
            "trainer_behind_seconds", lambda: self._plan.behind_by_model
        )
        metrics.register_gauge("engine_memory", lambda: self._memory_by_engine)

    def reset(self) -> None:
        """Forget everything, as a host does that lost the lease."""
        self._overload = Overload()
        self._shares = Shares()
        self._memory = EngineMemory()
        self._plan = OverloadPlan()
        self._yielded: set[str] = set()
        self._memory_by_engine: dict[str, float] = {}

    def plan(
        self,
        scheduled_items: Iterable[ScheduledItem],
        startable: Sequence[ScheduledItem],
        engines: Sequence[Engine],
    ) -> list[Start]:
        """Return the runs to start now.

        :param scheduled_items: all items that may have a run.
        :param startable: those of them that may be started.
        """
        budgets = self.budgets(scheduled_items, engines)
        policies = Policies(shares=self._shares, budgets=budgets)
        if self.trainers_compete():
            policies.overload = self._overload
            policies.slow_engines = slow_engines(engines, clock.now())
        starts = plan_starts(startable, engines, clock.wall(), policies)
        if policies.plan is not None:
            self._report(policies.plan)
        return starts

    def trainers_compete(self) -> bool:
        """Return whether several models share the engines of a service."""
        manifest = self._kernel.get(Directory).manifest
        return manifest is not None and manifest.models_compete()

    def desired_end(self, scheduled: ScheduledItem) -> float:
        """Return when the texts of an item's step should be complete.

        :return: in seconds since 1970.
        """
        batch = scheduled.state.batch
        paces = self._overload.paces
        return paces.step_times(batch, scheduled.due, clock.wall()).desired_end

    def record_idle(self) -> None:
        """Record that no item waits, so that no engine is overloaded."""
        if self._plan.overloaded:
            self._report(OverloadPlan())

    def budgets(
        self, scheduled_items: Iterable[ScheduledItem], engines: Iterable[Engine]
    ) -> dict[str, EngineBudget]:
        """Return the memory budgets of the engines; none if memory has no limit."""
        manifest = self._kernel.get(Directory).manifest
        if not self._limits_memory or manifest is None:
            return {}
        self._memory.limits = MemoryLimits(
            manifest.memory_tokens_by_service, manifest.tokens_per_event_by_service
        )
        return self._memory.budgets(scheduled_items, engines, clock.now())

    def record_start(self, scheduled: ScheduledItem) -> None:
        """Count a run that has started."""
        self._shares.record_start(scheduled)

    def record_stop(self, scheduled: ScheduledItem) -> None:
        """Count a run that is being stopped."""
        if self._limits_memory:
            self._memory.record_stop(scheduled, clock.now())

    def runs_to_stop(
        self, scheduled_items: Iterable[ScheduledItem]
    ) -> list[ScheduledItem]:
        """Return the youngest runs of engines whose memory is about to be full."""
        engines = self._kernel.get(EnginePool).engine_by_id.values()
        budgets = self.budgets(scheduled_items, engines)
        self._memory_by_engine = {
            engine_id: budget.held() / budget.capacity
            for engine_id, budget in budgets.items()
        }
        stopped = []
        for engine_id, budget in budgets.items():
            for scheduled in budget.excess_runs():
                stopped.append(scheduled)
                self._kernel.get(Metrics).run_stopped_for_memory()
                self._kernel.get(Events).emit(
                    "run_stopped",
                    sample=scheduled.item.id,
                    step=scheduled.state.batch.id,
                    engine=engine_id,
                    pieces=len(scheduled.pieces),
                    estimate=round(scheduled.expected_events, 1),
                    held=round(budget.held()),
                    capacity=budget.capacity,
                )
        return stopped

    def _report(self, plan: OverloadPlan) -> None:
        events = self._kernel.get(Events)
        if plan.overloaded != self._plan.overloaded:
            events.emit(
                "overload_began" if plan.overloaded else "overload_ended",
                load=round(plan.load, 2),
                late=len(plan.late_batches),
            )
        for batch_id in plan.late_batches - self._yielded:
            events.emit("step_yielded", step=batch_id, load=round(plan.load, 2))
        self._yielded = (self._yielded & plan.open_batches) | plan.late_batches
        self._plan = plan
