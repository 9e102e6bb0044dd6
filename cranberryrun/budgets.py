"""How many streams a step may hold: the policies, behind one base class."""

from __future__ import annotations

import math
from abc import ABC, abstractmethod
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Demand:
    """What a step may ask for and what its pool has.

    ``rate`` is the declared use of the workload in engines, all its trainers
    together; ``slots`` is the mean number of streams of an engine; ``pool_slots``
    and ``pool_busy`` count the streams that the whole pool can run and runs;
    ``held`` are the streams of this step. ``urgent`` says that work of higher
    priority waits for the pool.
    """

    rate: float
    trainers: int = 1
    slots: float = 1.0
    pool_slots: int = 1
    pool_busy: int = 0
    held: int = 0
    urgent: bool = False


class BudgetPolicy(ABC):
    """Bounds the streams of a step, with no agreement between hosts."""

    @abstractmethod
    def streams(self, demand: Demand) -> int:
        """Return how many streams the step may hold now; at least one."""


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
        declared = super().streams(demand)
        if demand.urgent:
            return declared
        others = max(0, demand.pool_busy - demand.held)
        idle = demand.pool_slots - others - declared
        return declared + max(0, int(idle * self._lend_share))
