"""Orders to the engine stand-in and the versions that it has loaded."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Any, Literal

from pydantic import BaseModel, model_validator

from ._downloads import DownloadFailed, WeightSource
from ._program import StandinError, wall_time

OrderKind = Literal["load_version", "load_adapter", "load_model", "set_role"]
ADAPTER_OR_MODEL_LOAD_SECONDS = 0.3


class StaleFence(StandinError):
    """The fencing token of an order is lower than the highest accepted one.

    :param fence: the highest token accepted so far.
    """

    def __init__(self, fence: int) -> None:
        super().__init__(fence)
        self.fence = fence


class Order(BaseModel):
    """An order to an engine in the format of the protocol."""

    order: str
    fence: int
    kind: OrderKind
    workload: str = ""
    version: int | None = None
    name: str | None = None

    @model_validator(mode="after")
    def _check_fields(self) -> "Order":
        is_version_load = self.kind == "load_version"
        if is_version_load != (self.version is not None):
            raise ValueError(
                "version is required for load_version and not allowed for other kinds"
            )
        if is_version_load == (self.name is not None):
            raise ValueError("name is required for every kind except load_version")
        if not self.workload and self.kind != "set_role":
            raise ValueError("workload is required for load orders")
        return self


class OrderState(Enum):
    """State of an accepted order."""

    APPLYING = "applying"
    APPLIED = "applied"
    FAILED = "failed"
    SUPERSEDED = "superseded"
    LOST = "lost"


@dataclass
class AcceptedOrder:
    """One accepted order; times are wall-clock times."""

    order: Order
    accepted: float
    state: OrderState = OrderState.APPLYING
    ended: float | None = None

    def end(self, state: OrderState) -> None:
        """Record how the order ended."""
        self.state = state
        self.ended = wall_time()

    def as_record(self) -> dict[str, Any]:
        """Return the order's entry in the engine's record."""
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
        """Cancel the load and record how its order ended."""
        self.task.cancel()
        self.accepted.end(state)


@dataclass
class WorkloadState:
    """Loaded version and fencing token of one workload."""

    version: int = 0
    fence: int = 0
    loading: int | None = None


class OrderBook:
    """Accepts orders and applies them.

    :param fencing: whether orders with an old fencing token are rejected.
    :param source: source of the weights.
    :param should_fail_load: returns whether the current load is to fail.
    :param on_load_finished: called with the workload after each load of a version,
        including a failed one.
    """

    def __init__(
        self,
        fencing: bool,
        source: WeightSource,
        should_fail_load: Callable[[], bool],
        on_load_finished: Callable[[str], None],
    ) -> None:
        self.fencing = fencing
        self.source = source
        self.role = "mixed"
        self.by_workload: dict[str, WorkloadState] = {}
        self.accepted: list[AcceptedOrder] = []
        self.refused: list[dict[str, Any]] = []
        self._should_fail_load = should_fail_load
        self._on_load_finished = on_load_finished
        self._by_order: dict[str, AcceptedOrder] = {}
        self._load_by_key: dict[tuple[str, OrderKind], RunningLoad] = {}

    @property
    def is_loading(self) -> bool:
        """Whether weights are being loaded."""
        return bool(self._load_by_key)

    def state(self, workload: str) -> WorkloadState:
        """Return the state of a workload; version 0 means that none was loaded."""
        return self.by_workload.get(workload) or WorkloadState()

    def accept(self, order: Order) -> None:
        """Accept an order; a repeated order id has no effect unless the order failed.

        :raises StaleFence: the fencing token is old.
        """
        previous = self._by_order.get(order.order)
        if previous is not None and previous.state is not OrderState.FAILED:
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
        """Discard all state as a crash does, except the entries for the record."""
        for load in self._load_by_key.values():
            load.stop(OrderState.LOST)
        self._load_by_key.clear()
        self._by_order.clear()
        self.by_workload.clear()
        self.role = "mixed"

    def _apply(self, accepted: AcceptedOrder, state: WorkloadState) -> None:
        order = accepted.order
        if order.kind == "set_role":
            self.role = order.name or self.role
            accepted.end(OrderState.APPLIED)
            return
        load_key = (order.workload, order.kind)
        running = self._load_by_key.get(load_key)
        if running is not None:
            running.stop(OrderState.SUPERSEDED)
        if order.version is not None:
            state.loading = order.version
        task = asyncio.create_task(self._load(accepted, state))
        self._load_by_key[load_key] = RunningLoad(accepted, task)

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
        del self._load_by_key[order.workload, order.kind]
        if order.version is not None:
            state.loading = None
            self._on_load_finished(order.workload)

    async def _fetch(self, order: Order) -> None:
        if order.version is None:
            await asyncio.sleep(ADAPTER_OR_MODEL_LOAD_SECONDS)
        else:
            await self.source.download(order.workload, order.version)
        if self._should_fail_load():
            raise DownloadFailed
