"""Orders and loaded versions of the engine stand-in."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Any, Literal

from pydantic import BaseModel, model_validator

from ._downloads import DownloadFailed, WeightSource
from ._program import StandinError, wall_time

OrderKind = Literal["load_version", "load_adapter", "load_model", "set_role"]
NAMED_LOAD_SECONDS = 0.3


class StaleFence(StandinError):
    """The order's fencing number is below the one in force.

    :param fence: the number in force.
    """

    def __init__(self, fence: int) -> None:
        super().__init__(fence)
        self.fence = fence


class Order(BaseModel):
    """An order to an engine, as the protocol writes it."""

    order: str
    fence: int
    kind: OrderKind
    workload: str = ""
    version: int | None = None
    name: str | None = None

    @model_validator(mode="after")
    def _check_aim(self) -> "Order":
        is_version = self.kind == "load_version"
        if is_version != (self.version is not None):
            raise ValueError("a version goes with load_version and nothing else")
        if is_version == (self.name is not None):
            raise ValueError("a name goes with every kind but load_version")
        if not self.workload and self.kind != "set_role":
            raise ValueError("an order to load needs a workload")
        return self


class OrderState(Enum):
    """How far an accepted order has come."""

    APPLYING = "applying"
    APPLIED = "applied"
    FAILED = "failed"
    SUPERSEDED = "superseded"
    LOST = "lost"


@dataclass
class AcceptedOrder:
    """One accepted order; times are wall times."""

    order: Order
    accepted: float
    state: OrderState = OrderState.APPLYING
    ended: float | None = None

    def end(self, state: OrderState) -> None:
        """Note how the order ended."""
        self.state = state
        self.ended = wall_time()

    def as_record(self) -> dict[str, Any]:
        """Return what the engine's record says of the order."""
        return {
            **self.order.model_dump(),
            "accepted": self.accepted,
            "ended": self.ended,
            "state": self.state.value,
        }


@dataclass
class RunningLoad:
    """A load in progress."""

    accepted: AcceptedOrder
    task: asyncio.Task[None]

    def stop(self, state: OrderState) -> None:
        """Stop the load and note how its order ended."""
        self.task.cancel()
        self.accepted.end(state)


@dataclass
class WorkloadState:
    """What an engine holds for one workload."""

    version: int = 0
    fence: int = 0
    loading: int | None = None


class OrderBook:
    """Accepts orders and brings them into force.

    :param fencing: whether an old fencing number is refused.
    :param source: where weights come from.
    :param fail_next: tells whether the next load fails.
    :param swapped: called with the workload after each load of a version.
    """

    def __init__(
        self,
        fencing: bool,
        source: WeightSource,
        fail_next: Callable[[], bool],
        swapped: Callable[[str], None],
    ) -> None:
        self.fencing = fencing
        self.source = source
        self.role = "mixed"
        self.by_workload: dict[str, WorkloadState] = {}
        self.accepted: list[AcceptedOrder] = []
        self.refused: list[dict[str, Any]] = []
        self._fail_next = fail_next
        self._swapped = swapped
        self._by_order: dict[str, AcceptedOrder] = {}
        self._load_by_aim: dict[tuple[str, OrderKind], RunningLoad] = {}

    @property
    def is_loading(self) -> bool:
        """Whether weights are being loaded."""
        return bool(self._load_by_aim)

    def state(self, workload: str) -> WorkloadState:
        """Return the state of a workload; version 0 was never loaded."""
        return self.by_workload.get(workload) or WorkloadState()

    def accept(self, order: Order) -> None:
        """Accept an order; an equal one again has no further effect.

        :raises StaleFence: the fencing number is old.
        """
        known = self._by_order.get(order.order)
        if known is not None and known.state is not OrderState.FAILED:
            return
        state = self.by_workload.setdefault(order.workload, WorkloadState())
        if self.fencing and order.fence < state.fence:
            self.refused.append({**order.model_dump(), "time": wall_time()})
            raise StaleFence(state.fence)
        state.fence = order.fence
        accepted = AcceptedOrder(order, wall_time())
        self.accepted.append(accepted)
        self._by_order[order.order] = accepted
        self._apply(accepted, state)

    def reset(self) -> None:
        """Forget everything, as a crash does; the record stays."""
        for load in self._load_by_aim.values():
            load.stop(OrderState.LOST)
        self._load_by_aim.clear()
        self._by_order.clear()
        self.by_workload.clear()
        self.role = "mixed"

    def _apply(self, accepted: AcceptedOrder, state: WorkloadState) -> None:
        order = accepted.order
        if order.kind == "set_role":
            self.role = order.name or self.role
            accepted.end(OrderState.APPLIED)
            return
        aim = (order.workload, order.kind)
        running = self._load_by_aim.get(aim)
        if running is not None:
            running.stop(OrderState.SUPERSEDED)
        if order.version is not None:
            state.loading = order.version
        task = asyncio.create_task(self._load(accepted, state))
        self._load_by_aim[aim] = RunningLoad(accepted, task)

    async def _load(self, accepted: AcceptedOrder, state: WorkloadState) -> None:
        order = accepted.order
        try:
            await self._fetch(order)
        except DownloadFailed:
            accepted.end(OrderState.FAILED)
        else:
            accepted.end(OrderState.APPLIED)
            if order.version is not None:
                state.version = order.version
        del self._load_by_aim[order.workload, order.kind]
        if order.version is not None:
            state.loading = None
            self._swapped(order.workload)

    async def _fetch(self, order: Order) -> None:
        if order.version is None:
            await asyncio.sleep(NAMED_LOAD_SECONDS)
        else:
            await self.source.download(order.workload, order.version)
        if self._fail_next():
            raise DownloadFailed
