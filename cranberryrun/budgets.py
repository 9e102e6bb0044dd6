"""Budget policies: how many streams a step may have in flight."""

from __future__ import annotations

import math
from abc import ABC, abstractmethod
from collections.abc import Sequence
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Demand:
    """The entitlement of a step and the capacity of its pool.

    ``rate`` is the number of engines that the workload may use, for all its
    trainers together; ``trainers`` is how many share it; ``slots_per_engine`` is
    the mean number of streams that an engine runs at once; ``pool_slots`` and
    ``pool_running`` count the streams that the whole pool can run and runs;
    ``in_flight`` counts the streams of this step; ``pool_backlogged`` is whether
    any engine of the pool has a queue.
    """

    rate: float
    trainers: int = 1
    slots_per_engine: float = 1.0
    pool_slots: int = 1
    pool_running: int = 0
    in_flight: int = 0
    pool_backlogged: bool = False


@dataclass(frozen=True, slots=True)
class Claim:
    """The share of a pool that a workload declared; ``rate`` is in engines."""

    workload: str
    rate: float
    priority: int = 0


def granted_rate(workload: str, claims: Sequence[Claim], engines: float) -> float:
    """Return how many engines of a pool a workload may use.

    If the pool has fewer engines than were declared, higher priorities are served
    first, and workloads of equal priority share in proportion to their rates.

    :param claims: the claims of all workloads of the pool, including this one.
    :param engines: how many engines of the pool are usable.
    """
    own_claim = next(claim for claim in claims if claim.workload == workload)
    higher_rate = sum(
        claim.rate for claim in claims if claim.priority > own_claim.priority
    )
    equal_rate = sum(
        claim.rate for claim in claims if claim.priority == own_claim.priority
    )
    remaining = max(0.0, engines - higher_rate)
    return own_claim.rate * min(1.0, remaining / equal_rate)


class BudgetPolicy(ABC):
    """Limits the streams of a step, without coordination between hosts."""

    @abstractmethod
    def streams(self, demand: Demand) -> int:
        """Return how many streams the step may have in flight now; at least one."""

    def guaranteed_streams(self, demand: Demand) -> int:
        """Return how many streams of :meth:`streams` are not lent to the step."""
        return self.streams(demand)


class Unbounded(BudgetPolicy):
    """Allows all slots of the pool, whatever rate was declared."""

    def streams(self, demand: Demand) -> int:
        """See :meth:`BudgetPolicy.streams`."""
        return max(1, demand.pool_slots)


class DeclaredRate(BudgetPolicy):
    """Allows the step its share of the declared rate."""

    def streams(self, demand: Demand) -> int:
        """See :meth:`BudgetPolicy.streams`."""
        share = math.ceil(demand.rate / demand.trainers * demand.slots_per_engine)
        return max(1, min(share, demand.pool_slots))


class LentRate(DeclaredRate):
    """Allows the step its share and lends it a part of the pool's idle streams.

    It lends nothing while the pool has a backlog.

    :param lend_share: the part of the idle streams that may be lent.
    """

    def __init__(self, lend_share: float = 0.5) -> None:
        self._lend_share = lend_share

    def streams(self, demand: Demand) -> int:
        """See :meth:`BudgetPolicy.streams`."""
        declared = self.guaranteed_streams(demand)
        if demand.pool_backlogged:
            return declared
        other_streams = max(0, demand.pool_running - demand.in_flight)
        idle_streams = demand.pool_slots - other_streams - declared
        return declared + max(0, int(idle_streams * self._lend_share))

    def guaranteed_streams(self, demand: Demand) -> int:
        """See :meth:`BudgetPolicy.guaranteed_streams`."""
        return super().streams(demand)
