"""The lease of the rollout duty: one host at a time runs batches and orders loads.

The lease is a topic of the store. Whoever appends *taken* at the topic's end, under
the condition that nothing came in between, holds it; the offset of that record is the
fencing token. The holder renews it. Others take it after it was released, or after
they could read the topic for a whole lease time and saw no renewal. So an outage of
the store changes no holder.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Literal

from pydantic import TypeAdapter, ValidationError

from .. import clock
from ..events import Events
from ..exceptions import AppendUnknownError, CranberryrunError, LogGapError
from ..kernel import Service
from ..store import Store

TOPIC = "lease"
# A silent holder is replaced after this, in seconds.
_TTL_SECONDS = 1.0
_RENEW_SECONDS = 0.25
_POLL_SECONDS = 0.3
_RETRY_SECONDS = 0.1
# Hosts that see the lease end wait for different times, so that one of them asks. In
# a rolling restart those that were restarted already go first: an age of a minute
# costs the whole delay.
_JITTER_SECONDS = 0.04
_AGE_DELAY_SECONDS = 0.15
_OLD_SECONDS = 60.0
# Hosts on slow links go last: a new holder reads some megabytes first.
_SLOW_LINK_DELAY_SECONDS = 0.12
_AMPLE_LINK_MBPS = 600.0


@dataclass(frozen=True, slots=True)
class LeaseRecord:
    """A change or renewal of the lease. ``holder`` is one start of ``host``.

    ``fence`` names the *taken* record that a renewal or release is about;
    ``since_order`` is how long before a release the last order was sent, in seconds.
    """

    kind: Literal["taken", "renewed", "released"]
    host: str
    holder: str
    fence: int = -1
    since_order: float = 0.0


_RECORD: TypeAdapter[LeaseRecord] = TypeAdapter(LeaseRecord)


class Lease(Service):
    """Follows the lease, takes it when it is free, and renews it.

    :param host: the name of this host.
    :param incarnation: this start of it.
    :param orders_after: seconds between the last order of one holder and the first
        of the next, so that orders never alternate within the engines' lease time.
    :param link_mbps: the rate of this host's link.
    :param boot_clock: seconds that also count while the host is suspended.
    """

    name = "lease"
    requires = ("events", "store")

    def __init__(
        self,
        host: str,
        incarnation: int,
        orders_after: float,
        rng: random.Random,
        boot_clock: Callable[[], float] = clock.now,
        link_mbps: float = _AMPLE_LINK_MBPS,
    ) -> None:
        super().__init__()
        self._host = host
        self._member = f"{host}/{incarnation}"
        self._orders_after = orders_after
        self._rng = rng
        self._now = boot_clock
        self._link_share = min(1.0, link_mbps / _AMPLE_LINK_MBPS)
        self._next = 0
        self._holder: str | None = None
        self._holder_host: str | None = None
        self._fence = -1
        self._heard_at = float("-inf")
        self._renewed_at = float("-inf")
        self._orders_from = float("inf")
        self._released_order_at = float("-inf")
        self._ordered_at = float("-inf")
        self._started_at = 0.0
        self._leaving = False
        self._unsure = False
        self.observers: list[Callable[[], None]] = []

    @property
    def assigned(self) -> bool:
        """Whether this host holds the lease, as far as it knows."""
        return self._holder == self._member

    @property
    def held(self) -> bool:
        """Whether this host holds the lease for certain."""
        return self.assigned and self._now() < self._renewed_at + _TTL_SECONDS

    @property
    def may_order(self) -> bool:
        """Whether this host may send orders to engines."""
        return self.held and self._now() >= self._orders_from

    @property
    def fence(self) -> int:
        """The fencing token of this host's orders; higher for each new holder."""
        return self._fence

    def ordered(self) -> None:
        """Note that an order is sent now."""
        self._ordered_at = self._now()

    async def start(self) -> None:
        """Begin to follow the lease."""
        self._started_at = self._now()
        self.spawn(self._follow())
        self.spawn(self._renew())

    async def release(self) -> None:
        """Give the lease up and take it no more.

        :raises CranberryrunError: others may have to wait for its end.
        """
        self._leaving = True
        if not self.assigned:
            return
        since_order = self._now() - self._ordered_at
        record = self._record("released", min(since_order, 3600.0))
        self._set_holder(None, self._fence)
        await self.kernel.get(Store).append(TOPIC, [record])

    def _record(
        self, kind: Literal["taken", "renewed", "released"], since_order: float = 0.0
    ) -> bytes:
        record = LeaseRecord(kind, self._host, self._member, self._fence, since_order)
        return _RECORD.dump_json(record)

    async def _follow(self) -> None:
        store = self.kernel.get(Store)
        wait = 0.0
        while True:
            asked_at = self._now()
            try:
                page = await store.read(TOPIC, self._next, wait)
            except LogGapError as error:
                self._next = max(self._next, error.first)
                continue
            except CranberryrunError:
                # Silence counts only while the topic can be read.
                self._heard_at = float("inf")
                await asyncio.sleep(_RETRY_SECONDS)
                wait = 0.0
                continue
            if self._heard_at == float("inf"):
                self._heard_at = asked_at
            wait = _POLL_SECONDS
            for offset, raw in enumerate(page.records, page.start):
                self._apply(offset, raw)
            self._next = page.next
            if page.next >= page.end:
                await self._take_if_free()

    def _apply(self, offset: int, raw: bytes) -> None:
        try:
            record = _RECORD.validate_json(raw)
        except ValidationError as error:
            self.kernel.get(Events).emit(
                "record_invalid", topic=TOPIC, offset=offset, reason=str(error)
            )
            return
        if record.kind == "taken":
            self._heard_at = self._now()
            self._holder_host = record.host
            self._set_holder(record.holder, offset)
        elif record.fence == self._fence:
            self._heard_at = self._now()
            if record.kind == "released":
                self._released_order_at = self._now() - record.since_order
                self._set_holder(None, self._fence)

    async def _take_if_free(self) -> None:
        if self._leaving or self.assigned:
            return
        released = self._holder is None
        # An earlier start of this host ended, or this one would not run.
        own = not released and self._holder_host == self._host
        if not released and not own:
            if self._now() < self._heard_at + _TTL_SECONDS:
                return
        if not own:
            await asyncio.sleep(self._jitter())
        asked_at = self._now()
        record = self._record("taken")
        try:
            offset = await self.kernel.get(Store).append(TOPIC, [record], at=self._next)
        except AppendUnknownError:
            # If it was appended, the next read shows it.
            return
        except CranberryrunError:
            await asyncio.sleep(_RETRY_SECONDS)
            return
        if self._leaving:
            return
        self._renewed_at = asked_at
        last_order_at = self._released_order_at if released else asked_at
        self._set_holder(self._member, offset)
        # Orders of one host are orders of one holder.
        alone = own or offset == 0
        self._orders_from = asked_at if alone else last_order_at + self._orders_after

    def _jitter(self) -> float:
        age = self._now() - self._started_at
        delay = _AGE_DELAY_SECONDS * min(1.0, age / _OLD_SECONDS)
        delay += _SLOW_LINK_DELAY_SECONDS * (1.0 - self._link_share)
        return delay + self._rng.uniform(0, _JITTER_SECONDS)

    async def _renew(self) -> None:
        store = self.kernel.get(Store)
        again = False
        while True:
            await asyncio.sleep(0 if again else _RENEW_SECONDS)
            again = False
            if not self.assigned:
                continue
            asked_at = self._now()
            fence = self._fence
            try:
                await store.append(TOPIC, [self._record("renewed")])
            except CranberryrunError as error:
                # A lost answer took long; another path may serve at once.
                again = isinstance(error, AppendUnknownError)
                if not self.held:
                    self._note_unsure(error)
                continue
            # A renewal behind another's *taken* is void; the follower reads that.
            if self.assigned and self._fence == fence:
                self._renewed_at = asked_at
                self._unsure = False

    def _note_unsure(self, error: CranberryrunError) -> None:
        if self._unsure:
            return
        self._unsure = True
        self.kernel.get(Events).emit(
            "lease_unsure", fence=self._fence, reason=error.detail
        )

    def _set_holder(self, holder: str | None, fence: int) -> None:
        had = self.assigned
        self._holder = holder
        self._fence = fence
        if self.assigned == had:
            return
        self.kernel.get(Events).emit(
            "lease_taken" if self.assigned else "lease_given_up",
            fence=fence,
            holder=holder,
        )
        for observer in self.observers:
            observer()
