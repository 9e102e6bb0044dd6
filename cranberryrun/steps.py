"""The service that runs trainers' steps at this host."""

from __future__ import annotations

import asyncio
import random
from collections import defaultdict
from collections.abc import Sequence

from absl import logging

from . import clock
from .budgets import Claim
from .configuration import Configuration
from .engines import Engines
from .exceptions import NotFoundError, NotReadyError
from .kernel import Service
from .membership import Membership
from .models import StepRequest
from .routing import RoutingPolicy
from .sample_statistics import SampleStatistics
from .samples import Attempt
from .settings import Settings
from .state import Resource
from .step_policies import StepPolicies
from .step_run import SendEvent, StepRun
from .versions import Versions
from .views import FactKind

__all__ = ["StepPolicies", "StepRun", "Steps"]

_MOVE_VIEW_AGE_FACTOR = 2


class Steps(Service):
    """Runs the steps of trainers, and keeps the state that they share at this host."""

    name = "steps"
    requires = ("engines", "versions", "configuration", "pauses")

    def __init__(
        self,
        settings: Settings,
        routing_policy: RoutingPolicy,
        rng: random.Random,
        policies: StepPolicies | None = None,
    ) -> None:
        super().__init__()
        self.routing_policy = routing_policy
        self.policies = policies or StepPolicies()
        self.zone = settings.zone
        self.checkpoint_seconds = settings.timing.checkpoint
        self.view_limit = settings.timing.view_limit
        self.piece_tokens = settings.limits.piece_tokens
        self._linger_seconds = settings.timing.stream_linger
        self._rng = rng
        self._runs: set[StepRun] = set()
        self._statistics_by_workload: dict[str, SampleStatistics] = defaultdict(
            SampleStatistics
        )
        self._applied_offset = -2
        self._claims_by_pool: dict[str, list[Claim]] = {}
        self._pools_with_request_traffic: set[str] = set()
        self._draining = False

    @property
    def in_flight(self) -> int:
        """The number of steps that run at this host."""
        return len(self._runs)

    def statistics(self, workload: str) -> SampleStatistics:
        """Return the statistics of a workload's samples at this host."""
        return self._statistics_by_workload[workload]

    def running_count(self, workload: str) -> int:
        """Return how many steps of a workload run at this host."""
        return sum(run.workload.name == workload for run in self._runs)

    def claims(self, workload: Resource) -> list[Claim]:
        """Return the claims of all workloads in the pool of ``workload``.

        Its own claim is included even if the configuration no longer has it.
        """
        self._refresh_pools()
        spec = workload.spec
        claims = self._claims_by_pool.get(spec.pool, [])
        if any(claim.workload == workload.name for claim in claims):
            return claims
        return [*claims, Claim(workload.name, spec.rate, spec.priority)]

    def has_request_traffic(self, pool: str) -> bool:
        """Return whether a service sends requests to the engines of ``pool``."""
        self._refresh_pools()
        return pool in self._pools_with_request_traffic

    def _refresh_pools(self) -> None:
        """Update the claims and services of the pools if the configuration changed."""
        state = self.kernel.get(Configuration).state
        if state.offset == self._applied_offset:
            return
        self._applied_offset = state.offset
        self._claims_by_pool = {}
        for workload in state.list("workloads"):
            claim = Claim(workload.name, workload.spec.rate, workload.spec.priority)
            self._claims_by_pool.setdefault(workload.spec.pool, []).append(claim)
        self._pools_with_request_traffic = {
            service.spec.pool for service in state.list("services") if service.spec.pool
        }

    def should_move_steps(self, pool: str) -> bool:
        """Return whether steps should move because another host may do better.

        A host without a recent view of the versions hands no groups over. A host that
        hears from no engine of the pool may be cut from them while others are not.
        """
        if not self.kernel.get(Membership).peers():
            return False
        limit = self.view_limit * _MOVE_VIEW_AGE_FACTOR
        if self.kernel.get(Versions).view_age() > limit:
            return True
        return self._hears_no_engine(pool, limit)

    def _hears_no_engine(self, pool: str, limit: float) -> bool:
        """Return whether engines failed and none answered in the last ``limit`` s."""
        engines = self.kernel.get(Engines).in_pool(pool)
        if not any(engine.health.failures for engine in engines):
            return False
        return all(clock.now() > engine.state_at + limit for engine in engines)

    def move_all(self) -> None:
        """Move every step to other hosts and take no new ones."""
        self._draining = True
        for run in self._runs:
            run.move()

    def resolve_workload(self, workload: str) -> Resource:
        """Return the workload of a new step.

        :raises NotFoundError: it is not declared.
        :raises NotReadyError: this host can't run steps now.
        """
        if self._draining:
            raise NotReadyError("the host is stopping", retry_after=0.2)
        configuration = self.kernel.get(Configuration)
        if not configuration.ready.is_set():
            raise NotReadyError("the host has no configuration yet", retry_after=1)
        resource = configuration.state.get("workloads", workload)
        if resource is None:
            raise NotFoundError(f"there is no workloads/{workload}")
        if self.should_move_steps(resource.spec.pool):
            raise NotReadyError(
                "the host has no recent view of the versions or the engines",
                retry_after=1,
            )
        return resource

    async def run(
        self,
        workload: Resource,
        step: int,
        request: StepRequest,
        send: SendEvent,
        workspace: str | None = None,
    ) -> None:
        """Run one call of a step and write its events with ``send``.

        :param workspace: the workspace of the trainer's key, if one was needed.
        """
        run = StepRun(self, workload, step, request, send, workspace)
        self._runs.add(run)
        if self._draining:
            run.move()
        try:
            await run.run()
        finally:
            self._runs.discard(run)

    def log_task_failure(self, error: BaseException | None) -> None:
        """Log an unexpected error of an attempt's task; the step continues."""
        logging.error(
            "the task of an attempt failed; its slot is retried if needed: %r",
            error,
            exc_info=error,
        )

    def cancel_streams(self, attempts: Sequence[Attempt]) -> None:
        """Cancel streams at their engines."""
        for attempt in attempts:
            self.spawn(attempt.engine.client.cancel(attempt.stream))

    def cancel_after_linger(
        self, step: str, started_ms: int, attempts: Sequence[Attempt]
    ) -> None:
        """Cancel streams after the linger time unless a later run took over."""
        self.spawn(self._cancel_unless_superseded(step, started_ms, attempts))

    async def _cancel_unless_superseded(
        self, step: str, started_ms: int, attempts: Sequence[Attempt]
    ) -> None:
        await asyncio.sleep(self._linger_seconds)
        fact = self.kernel.get(Membership).views.get(FactKind.STEP, step)
        if fact is not None and fact.incarnation > started_ms:
            return
        self.cancel_streams(attempts)
