"""The lease of the rollout duty: one host at a time runs batches and orders loads."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from .. import clock
from ..events import Events
from ..exceptions import CranberryrunError
from ..kernel import Service
from ..store import GroupShare, Store

GROUP = "rollouts"
TOPIC = "batches"
PARTITION = 0
# A silent holder is replaced after this; the store's least is 1 s.
_TTL_SECONDS = 1.0
_RENEW_SECONDS = 0.25


class Lease(Service):
    """Keeps this host a member of the group, and says whether it holds the lease.

    :param orders_after: seconds for which a new holder sends no orders, so that
        orders of two holders never alternate within the engines' lease time.
    """

    name = "lease"
    requires = ("events", "store")

    def __init__(self, host_id: str, incarnation: int, orders_after: float) -> None:
        super().__init__()
        self._member = f"{host_id}/{incarnation}"
        self._orders_after = orders_after
        self._share = GroupShare(0, frozenset())
        self._renewed_at = float("-inf")
        self._held_since = float("inf")
        self._lapsed: tuple[int, float] | None = None
        self.observers: list[Callable[[], None]] = []
        self._leaving = False

    @property
    def held(self) -> bool:
        """Whether this host holds the lease for certain."""
        return self.assigned and clock.now() < self._renewed_at + _TTL_SECONDS

    @property
    def assigned(self) -> bool:
        """Whether the store's last answer gave this host the lease."""
        return PARTITION in self._share.partitions

    @property
    def may_order(self) -> bool:
        """Whether this host may send orders to engines."""
        return self.held and clock.now() >= self._held_since + self._orders_after

    @property
    def fence(self) -> int:
        """The fencing token of this host's orders; higher for each new holder."""
        return self._share.generation

    async def start(self) -> None:
        """Join the group and stay in it."""
        self.spawn(self._renew())

    async def leave(self) -> None:
        """Give the lease up, so that another host need not wait for its end."""
        self._leaving = True
        self._take(GroupShare(self._share.generation, frozenset()))
        try:
            await self.kernel.get(Store).leave(GROUP, self._member)
        except CranberryrunError as error:
            self.kernel.get(Events).emit("lease_kept", reason=error.detail)

    async def _renew(self) -> None:
        store = self.kernel.get(Store)
        while not self._leaving:
            asked_at = clock.now()
            try:
                share = await store.join(
                    GROUP, self._member, TOPIC, _TTL_SECONDS, self._share.generation
                )
            except CranberryrunError as error:
                self._failed(error)
            else:
                if self._leaving:
                    return
                self._renewed_at = asked_at
                self._take(share)
            await asyncio.sleep(_RENEW_SECONDS)

    def _failed(self, error: CranberryrunError) -> None:
        if self.assigned and not self.held:
            self.kernel.get(Events).emit(
                "lease_lost", fence=self.fence, reason=error.detail
            )
            self._lapsed = (self._share.generation, self._held_since)
            self._take(GroupShare(self._share.generation, frozenset()))

    def _take(self, share: GroupShare) -> None:
        had = self.assigned
        self._share = share
        if self.assigned == had:
            return
        self._held_since = clock.now() if self.assigned else float("inf")
        if self.assigned and self._lapsed is not None:
            generation, held_since = self._lapsed
            if generation == share.generation:
                # Nobody held it in between: the group did not change.
                self._held_since = held_since
        self._lapsed = None
        name = "lease_taken" if self.assigned else "lease_given_up"
        self.kernel.get(Events).emit(name, fence=share.generation)
        for observer in self.observers:
            observer()
