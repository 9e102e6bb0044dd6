"""How many streams a step may hold: the policies, behind one base class."""

from __future__ import annotations

import math
from abc import ABC, abstractmethod
from collections.abc import Sequence
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Demand:
    """What a step may ask for and what its pool has.

    ``rate`` is what the workload may use in engines, all its trainers together;
    ``trainers`` is how many share that; ``slots`` is the mean number of streams
    of an engine; ``pool_slots`` and ``pool_busy`` count the streams that the
    whole pool can run and runs; ``held`` are the streams of this step.
    ``urgent`` says that work waits for the pool.
    """

    rate: float
    trainers: int = 1
    slots: float = 1.0
    pool_slots: int = 1
    pool_busy: int = 0
    held: int = 0
    urgent: bool = False


@dataclass(frozen=True, slots=True)
class Claim:
    """What a workload declared of a pool: ``rate`` in engines."""

    workload: str
    rate: float
    priority: int = 0


def granted_rate(workload: str, claims: Sequence[Claim], engines: float) -> float:
    """Return how many engines a workload may use of a pool.

    Where the pool has fewer than were declared, a higher priority is served
    first and equal ones share in proportion.

    :param claims: of all workloads that use the pool, this one among them.
    :param engines: how many engines of the pool can be used.
    """
    mine = next(claim for claim in claims if claim.workload == workload)
    above = sum(claim.rate for claim in claims if claim.priority > mine.priority)
    equal = sum(claim.rate for claim in claims if claim.priority == mine.priority)
    left = max(0.0, engines - above)
    return mine.rate * min(1.0, left / equal)


class BudgetPolicy(ABC):
    """Bounds the streams of a step, with no agreement between hosts."""

    @abstractmethod
    def streams(self, demand: Demand) -> int:
        """Return how many streams the step may hold now; at least one."""

    def own_streams(self, demand: Demand) -> int:
        """Return how many of :meth:`streams` are not lent to the step."""
        return self.streams(demand)


class Unbounded(BudgetPolicy):
    """As many streams as the pool has room for, whatever was declared."""

    def streams(self, demand: Demand) -> int:
        """See :meth:`BudgetPolicy.streams`."""
        return max(1, demand.pool_slots)


class DeclaredRate(BudgetPolicy):
    """The step's part of the declared rate."""

    def streams(self, demand: Demand) -> int:
        """See :meth:`BudgetPolicy.streams`."""
        share = math.ceil(demand.rate / demand.trainers * demand.slots)
        return max(1, min(share, demand.pool_slots))


class LentRate(DeclaredRate):
    """The step's part, and a part of what the pool leaves idle.

    :param lend_share: the part of the idle streams that may be lent.
    """

    def __init__(self, lend_share: float = 0.5) -> None:
        self._lend_share = lend_share

    def streams(self, demand: Demand) -> int:
        """See :meth:`BudgetPolicy.streams`."""
        declared = self.own_streams(demand)
        if demand.urgent:
            return declared
        others = max(0, demand.pool_busy - demand.held)
        idle = demand.pool_slots - others - declared
        return declared + max(0, int(idle * self._lend_share))

    def own_streams(self, demand: Demand) -> int:
        """See :meth:`BudgetPolicy.own_streams`."""
        return super().streams(demand)
