"""Trainers' steps at this host."""

from __future__ import annotations

import asyncio
import random
from collections import defaultdict
from collections.abc import Sequence

from absl import logging

from .budgets import Claim
from .configuration import Configuration
from .dispatch import StepPolicies
from .exceptions import NotFoundError, NotReadyError
from .kernel import Service
from .membership import Membership
from .models import StepRequest
from .routing import RoutingPolicy
from .sample_statistics import Lengths
from .samples import Attempt
from .settings import Settings
from .state import Resource
from .step_run import Send, StepRun
from .versions import Versions
from .views import FactKind

__all__ = ["StepPolicies", "StepRun", "Steps"]

_OUT_OF_TOUCH_FACTOR = 2


class Steps(Service):
    """Holds the steps that run at this host and what they share."""

    name = "steps"
    requires = ("engines", "versions", "configuration", "pauses")

    def __init__(
        self,
        settings: Settings,
        policy: RoutingPolicy,
        rng: random.Random,
        policies: StepPolicies | None = None,
    ) -> None:
        super().__init__()
        self.policy = policy
        self.policies = policies or StepPolicies()
        self.zone = settings.zone
        self.checkpoint_seconds = settings.timing.checkpoint
        self.view_limit = settings.timing.view_limit
        self.piece_tokens = settings.limits.piece_tokens
        self._linger = settings.timing.stream_linger
        self._rng = rng
        self._runs: set[StepRun] = set()
        self._lengths_by_workload: dict[str, Lengths] = defaultdict(Lengths)
        self._offset = -2
        self._claims_by_pool: dict[str, list[Claim]] = {}
        self._pools_with_requests: set[str] = set()
        self._draining = False

    @property
    def in_flight(self) -> int:
        """How many steps run here."""
        return len(self._runs)

    def lengths(self, workload: str) -> Lengths:
        """Return what is known of the lengths of a workload's samples."""
        return self._lengths_by_workload[workload]

    def running_of(self, workload: str) -> int:
        """Return how many steps of a workload run here."""
        return sum(run.workload.name == workload for run in self._runs)

    def claims(self, workload: Resource) -> list[Claim]:
        """Return what all workloads of the pool of ``workload`` declared."""
        self._follow()
        spec = workload.spec
        rows = self._claims_by_pool.get(spec.pool, [])
        if any(row.workload == workload.name for row in rows):
            return rows
        return [*rows, Claim(workload.name, spec.rate, spec.priority)]

    def has_requests(self, pool: str) -> bool:
        """Say whether request traffic goes to the engines of ``pool``."""
        self._follow()
        return pool in self._pools_with_requests

    def _follow(self) -> None:
        """Take in what the configuration says of the pools."""
        state = self.kernel.get(Configuration).state
        if state.offset == self._offset:
            return
        self._offset = state.offset
        self._claims_by_pool = {}
        for each in state.list("workloads"):
            claim = Claim(each.name, each.spec.rate, each.spec.priority)
            self._claims_by_pool.setdefault(each.spec.pool, []).append(claim)
        self._pools_with_requests = {
            each.spec.pool for each in state.list("services") if each.spec.pool
        }

    def out_of_touch(self) -> bool:
        """Say whether this host could hand nothing over, but another one might."""
        limit = self.view_limit * _OUT_OF_TOUCH_FACTOR
        if self.kernel.get(Versions).view_age() <= limit:
            return False
        return bool(self.kernel.get(Membership).peers())

    def move_all(self) -> None:
        """Move every step to other hosts and take no new ones."""
        self._draining = True
        for run in self._runs:
            run.move()

    def resolve_workload(self, workload: str) -> Resource:
        """Return the workload; :raises NotFoundError, NotReadyError:."""
        if self._draining:
            raise NotReadyError("the host is stopping", retry_after=0.2)
        configuration = self.kernel.get(Configuration)
        if not configuration.ready.is_set():
            raise NotReadyError("the host has no configuration yet", retry_after=1)
        resource = configuration.state.get("workloads", workload)
        if resource is None:
            raise NotFoundError(f"there is no workloads/{workload}")
        if self.out_of_touch():
            raise NotReadyError("the host hears of no versions", retry_after=1)
        return resource

    async def run(
        self, workload: Resource, step: int, request: StepRequest, send: Send
    ) -> None:
        """Run one call for a step; its events go to ``send``."""
        run = StepRun(self, workload, step, request, send)
        self._runs.add(run)
        if self._draining:
            run.move()
        try:
            await run.run()
        finally:
            self._runs.discard(run)

    def report(self, error: BaseException | None) -> None:
        """Log a fault of this code that a step got over."""
        logging.error("a task of a step failed: %r", error, exc_info=error)

    def cancel_now(self, attempts: Sequence[Attempt]) -> None:
        """Stop streams that nobody needs."""
        for attempt in attempts:
            self.spawn(attempt.engine.client.cancel(attempt.stream))

    def cancel_later(
        self, step: str, began_ms: int, attempts: Sequence[Attempt]
    ) -> None:
        """Stop streams after a while, unless the step goes on elsewhere."""
        self.spawn(self._cancel_unless_taken(step, began_ms, attempts))

    async def _cancel_unless_taken(
        self, step: str, began_ms: int, attempts: Sequence[Attempt]
    ) -> None:
        await asyncio.sleep(self._linger)
        fact = self.kernel.get(Membership).views.get(FactKind.STEP, step)
        if fact is not None and fact.incarnation > began_ms:
            return
        self.cancel_now(attempts)
