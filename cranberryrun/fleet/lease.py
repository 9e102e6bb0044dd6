"""The lease that decides which host runs batches and sends load orders.

The lease is a topic of the store. A host acquires it by appending a *taken* record on
the condition that the topic has not grown since the host read it. The offset of that
record is the fencing token. The holder appends renewals. Another host may acquire the
lease after a *released* record, or once it has been able to read the topic for the
whole TTL without seeing a renewal. Time in which the topic cannot be read does not
count, so an outage of the store never changes the holder.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Literal

from pydantic import TypeAdapter, ValidationError

from .. import clock
from ..events import Events
from ..exceptions import AppendUnknownError, CranberryrunError, LogGapError
from ..kernel import Service
from ..store import Store

TOPIC = "lease"
_TTL_SECONDS = 1.0
_RENEW_SECONDS = 0.25
# How often the holder reads the topic, and hosts on fast and on slow links that don't
# hold the lease. Reads at intervals cost far fewer calls than long polls, which each
# renewal would end. With many hosts, one of them reads soon after any record.
_HOLDER_READ_SECONDS = 0.3
_FAST_LINK_READ_SECONDS = 0.5
_SLOW_LINK_READ_SECONDS = 1.5
# Keeps the reads of hosts that were started together from staying together.
_READ_JITTER_SHARE = 0.2
_RETRY_DELAY_SECONDS = 0.1
# Spreads the attempts of hosts that see the lease end at the same time.
_JITTER_SECONDS = 0.04
# The delay grows with the age of the process, up to this value at an age of a minute.
# In a rolling restart a host that was already restarted therefore acquires the lease
# before a host whose own restart would release it again.
_MAX_AGE_DELAY_SECONDS = 0.15
_MAX_DELAY_AGE_SECONDS = 60.0
# Hosts on slow links try later, because a new holder first reads some megabytes and
# then runs all batches. The delay lets a host on a fast link read the topic before.
_MAX_SLOW_LINK_DELAY_SECONDS = 0.6
_FAST_LINK_MBPS = 600.0


@dataclass(frozen=True, slots=True)
class LeaseRecord:
    """A record of the lease topic. ``holder`` identifies one process of ``host``.

    ``fence`` is the offset of the *taken* record that a renewal or release refers to.
    ``since_order`` is the time from the last order to the release, in seconds.
    """

    kind: Literal["taken", "renewed", "released"]
    host: str
    holder: str
    fence: int = -1
    since_order: float = 0.0


_RECORD_ADAPTER: TypeAdapter[LeaseRecord] = TypeAdapter(LeaseRecord)


@dataclass(frozen=True, slots=True)
class _Renewal:
    """A renewal that the store confirmed, requested at ``requested_at``."""

    fence: int
    offset: int
    requested_at: float


async def _always() -> bool:
    """Return that the lease may be acquired."""
    return True


class Lease(Service):
    """Follows the lease topic, acquires the lease when it is free, and renews it.

    :param host: the name of this host.
    :param incarnation: the start counter of this process.
    :param order_handover_delay: minimum seconds between the last order of one holder
        and the first order of the next, so that an engine never gets orders of two
        holders within its own lease time.
    :param boot_clock: returns seconds, including the time the host was suspended.
    :param link_mbps: the rate of this host's network link in Mbit/s.
    """

    name = "lease"
    requires = ("events", "store")

    def __init__(
        self,
        host: str,
        incarnation: int,
        order_handover_delay: float,
        rng: random.Random,
        boot_clock: Callable[[], float] = clock.now,
        link_mbps: float = _FAST_LINK_MBPS,
    ) -> None:
        super().__init__()
        self._host = host
        self._own_holder_id = f"{host}/{incarnation}"
        self._order_handover_delay = order_handover_delay
        self._rng = rng
        self._now = boot_clock
        self._link_share = min(1.0, link_mbps / _FAST_LINK_MBPS)
        self._next_offset = 0
        # The end of the records that were read or that this process appended.
        self._known_end = 0
        self._unconfirmed_renewal: _Renewal | None = None
        self._must_read = asyncio.Event()
        self._holder: str | None = None
        self._holder_host: str | None = None
        self._fence = -1
        self._renewal_count = 0
        # The topic may still bring the record of an acquisition that was given up.
        self._given_up_fence = -1
        self._last_record_at = float("-inf")
        self._renewed_at = float("-inf")
        self._orders_allowed_at = float("inf")
        # The latest time at which a holder before this process may have ordered.
        self._previous_holder_order_at = float("-inf")
        self._last_order_at = float("-inf")
        self._started_at = 0.0
        self._withdrawn = False
        self._expiry_logged = False
        self.observers: list[Callable[[], None]] = []
        # Asked before this host takes the lease over from another one.
        self.may_acquire: Callable[[], Awaitable[bool]] = _always

    @property
    def assigned(self) -> bool:
        """Whether the topic, as far as it was read, names this process as holder."""
        return (
            self._holder == self._own_holder_id and self._fence > self._given_up_fence
        )

    @property
    def holder_host(self) -> str | None:
        """The host that holds the lease, as far as the topic was read; None if free."""
        return self._holder_host if self._holder is not None else None

    @property
    def held(self) -> bool:
        """Whether this process is the holder and its last renewal has not expired."""
        return self.assigned and self._now() < self._renewed_at + _TTL_SECONDS

    @property
    def may_order(self) -> bool:
        """Whether this host may send orders to engines."""
        return self.held and self._now() >= self._orders_allowed_at

    @property
    def fence(self) -> int:
        """The fencing token of this host's orders; higher for each new holder."""
        return self._fence

    def record_order(self) -> None:
        """Record that an order is sent now."""
        self._last_order_at = self._now()

    async def start(self) -> None:
        """Start following and renewing the lease."""
        self._started_at = self._now()
        self.supervise(self._follow)
        self.supervise(self._renew)

    async def release(self) -> None:
        """Release the lease and stop trying to acquire it.

        :raises CranberryrunError: the release may not have been stored; the other
            hosts may have to wait until the lease expires.
        """
        self._withdrawn = True
        await self.step_down()

    async def step_down(self) -> None:
        """Release the lease, but acquire it again once it is free and may be acquired.

        Raises the same error as :meth:`release`.
        """
        if not self.assigned:
            return
        # A holder that released the lease before it might order says when the one
        # before it last ordered; the next holder has to wait for that one, too.
        self._previous_holder_order_at = max(
            self._last_order_at, self._previous_holder_order_at
        )
        since_order = self._now() - self._previous_holder_order_at
        record = self._encode_record("released", min(since_order, 3600.0))
        self._set_holder(None, self._fence)
        self._given_up_fence = self._fence
        await self.kernel.get(Store).append(TOPIC, [record])

    def _encode_record(
        self, kind: Literal["taken", "renewed", "released"], since_order: float = 0.0
    ) -> bytes:
        record = LeaseRecord(
            kind, self._host, self._own_holder_id, self._fence, since_order
        )
        return _RECORD_ADAPTER.dump_json(record)

    async def _follow(self) -> None:
        store = self.kernel.get(Store)
        while True:
            requested_at = self._now()
            self._must_read.clear()
            try:
                page = await store.read(TOPIC, self._next_offset, 0.0)
            except LogGapError as error:
                self._next_offset = max(self._next_offset, error.first)
                continue
            except CranberryrunError:
                # Suspends the expiry of the lease until the topic can be read again:
                # the holder's renewals may be missing only because of the outage.
                self._last_record_at = float("inf")
                await asyncio.sleep(_RETRY_DELAY_SECONDS)
                continue
            if self._last_record_at == float("inf"):
                self._last_record_at = requested_at
            for offset, raw in enumerate(page.records, page.start):
                self._apply_record(offset, raw)
            self._next_offset = page.next
            self._known_end = max(self._known_end, page.next)
            if self._unconfirmed_renewal is not None:
                self._apply_renewal(self._unconfirmed_renewal)
            if page.next >= page.end:
                await self._acquire_if_free()
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(self._read_interval()):
                        await self._must_read.wait()

    def _read_interval(self) -> float:
        """Return the seconds until the next read of the topic."""
        if self.assigned:
            return _HOLDER_READ_SECONDS
        seconds = _SLOW_LINK_READ_SECONDS + self._link_share * (
            _FAST_LINK_READ_SECONDS - _SLOW_LINK_READ_SECONDS
        )
        return seconds * self._rng.uniform(
            1.0 - _READ_JITTER_SHARE, 1.0 + _READ_JITTER_SHARE
        )

    def _apply_record(self, offset: int, raw: bytes) -> None:
        try:
            record = _RECORD_ADAPTER.validate_json(raw)
        except ValidationError as error:
            self.kernel.get(Events).emit(
                "record_invalid", topic=TOPIC, offset=offset, reason=str(error)
            )
            return
        if record.kind == "taken":
            self._last_record_at = self._now()
            self._holder_host = record.host
            self._renewal_count = 0
            if record.holder == self._own_holder_id and offset != self._fence:
                # The answer to the append was lost. The previous holder may have
                # ordered until now.
                if self._withdrawn:
                    self._given_up_fence = offset
                self._previous_holder_order_at = self._now()
                self._orders_allowed_at = self._now() + self._order_handover_delay
            self._set_holder(record.holder, offset)
        elif record.fence == self._fence:
            self._last_record_at = self._now()
            self._renewal_count += 1
            if record.kind == "released":
                self._previous_holder_order_at = self._now() - record.since_order
                self._set_holder(None, self._fence)

    async def _acquire_if_free(self) -> None:
        if self._withdrawn or self.assigned:
            return
        released = self._holder is None
        # The holder is an earlier process of this host. It has ended, because this
        # process could not run beside it, so there is no need to wait for the TTL.
        held_by_own_host = not released and self._holder_host == self._host
        if not released and not held_by_own_host:
            if self._now() < self._last_record_at + _TTL_SECONDS:
                return
        if not held_by_own_host:
            await asyncio.sleep(self._acquire_delay())
            # Where nobody held it yet, all hosts would ask at once for nothing.
            if self._next_offset and not await self.may_acquire():
                return
        own_process_ordered = (
            self._fence == 0
            or self._renewal_count * _RENEW_SECONDS >= self._order_handover_delay
        )
        requested_at = self._now()
        record = self._encode_record("taken")
        try:
            offset = await self.kernel.get(Store).append(
                TOPIC, [record], at=self._next_offset
            )
        except AppendUnknownError:
            # If the record was appended, the next read of the topic returns it.
            return
        except CranberryrunError:
            await asyncio.sleep(_RETRY_DELAY_SECONDS)
            return
        self._renewed_at = requested_at
        self._known_end = offset + 1
        if offset == 0:
            self._previous_holder_order_at = float("-inf")
        elif not released:
            self._previous_holder_order_at = requested_at
        # Engines treat all orders of one host as those of one holder, so no delay is
        # needed after an earlier process of this host that was allowed to order.
        self._orders_allowed_at = (
            requested_at
            if held_by_own_host and own_process_ordered
            else self._previous_holder_order_at + self._order_handover_delay
        )
        self._set_holder(self._own_holder_id, offset)
        if self._withdrawn:
            await self._release_late()

    async def _release_late(self) -> None:
        """Release a lease that was acquired while :meth:`release` was called."""
        # On an error the other hosts wait until the lease expires.
        with contextlib.suppress(CranberryrunError):
            await self.step_down()

    def _acquire_delay(self) -> float:
        age = self._now() - self._started_at
        delay = _MAX_AGE_DELAY_SECONDS * min(1.0, age / _MAX_DELAY_AGE_SECONDS)
        delay += _MAX_SLOW_LINK_DELAY_SECONDS * (1.0 - self._link_share)
        return delay + self._rng.uniform(0, _JITTER_SECONDS)

    async def _renew(self) -> None:
        store = self.kernel.get(Store)
        retry_at_once = False
        while True:
            await asyncio.sleep(0 if retry_at_once else _RENEW_SECONDS)
            retry_at_once = False
            if not self.assigned:
                continue
            requested_at = self._now()
            fence = self._fence
            try:
                offset = await store.append(TOPIC, [self._encode_record("renewed")])
            except CranberryrunError as error:
                # A lost answer has already used up much of the TTL, and the next
                # call may take another path to the store, so do not wait.
                retry_at_once = isinstance(error, AppendUnknownError)
                if not self.held:
                    self._log_expiry(error)
                continue
            self._apply_renewal(_Renewal(fence, offset, requested_at))
            if self._unconfirmed_renewal is not None:
                self._must_read.set()

    def _apply_renewal(self, renewal: _Renewal) -> None:
        """Extend the lease once all records before the renewal are known.

        A renewal after another host's *taken* record has no effect. A host that was
        suspended or cut off may append one before it reads that record.
        """
        self._unconfirmed_renewal = None
        if not self.assigned or self._fence != renewal.fence:
            return
        if renewal.offset > self._known_end:
            self._unconfirmed_renewal = renewal
            return
        self._known_end = max(self._known_end, renewal.offset + 1)
        self._renewed_at = max(self._renewed_at, renewal.requested_at)
        self._expiry_logged = False

    def _log_expiry(self, error: CranberryrunError) -> None:
        if self._expiry_logged:
            return
        self._expiry_logged = True
        self.kernel.get(Events).emit(
            "lease_unsure", fence=self._fence, reason=error.detail
        )

    def _set_holder(self, holder: str | None, fence: int) -> None:
        was_assigned = self.assigned
        self._holder = holder
        self._fence = fence
        if self.assigned == was_assigned:
            return
        self.kernel.get(Events).emit(
            "lease_taken" if self.assigned else "lease_given_up",
            fence=fence,
            holder=holder,
        )
        for observer in self.observers:
            observer()
