"""Keeps the limits that targets name, for the calls of all hosts together.

The holder of the lease counts what is sent to each target that names a limit. It sends
items and reward calls itself; another host asks it for each of its callers' requests.
The holder also writes the limits to a topic, for hosts that start or take over.
"""

from __future__ import annotations

import asyncio
import random

from .. import clock
from ..events import Events
from ..exceptions import CranberryrunError, PeerError
from ..kernel import Service
from ..metrics import Metrics
from ..store import KeyedRecord, Store
from .directory import Directory, Target
from .keyed_follower import KeyedFollower
from .lease import Lease
from .permit_client import NotHolderError, PermitClient, PermitGrant, PermitRequest
from .rate_limits import NamedLimits, TargetLimitedError, TokenBucket

TOPIC = "keyed.limits"
# The share of each limit for a host that can't be sure that it is the only one that
# counts: a holder whose renewal expired, and all hosts that can't reach the holder.
_UNSURE_SHARE = 0.5
# Time without asking after the holder could not be reached.
_ASK_COOLDOWN_SECONDS = 0.5
_PUBLISH_INTERVAL_SECONDS = 0.2
_RETRY_DELAY_SECONDS = 0.5


class SendPermits(Service):
    """Decides whether a request may be sent to a target now.

    :param host: the name of this host.
    """

    name = "send_permits"
    requires = ("events", "metrics", "store", "directory", "lease", "permit_client")

    def __init__(self, host: str, rng: random.Random) -> None:
        super().__init__()
        self._host = host
        self._rng = rng
        self._limits = NamedLimits()
        self._born_by_target: dict[str, int] = {}
        self._published_rate_by_target: dict[str, float] = {}
        self._exhausted_until_by_target: dict[str, float] = {}
        self._fallback_by_target: dict[str, TokenBucket] = {}
        self._ask_again_at = float("-inf")
        self._waiting_by_target: dict[str, list[asyncio.Future[bool]]] = {}

    async def start(self) -> None:
        """Follow the topic of limits; publish limits while this host has the lease."""
        self.kernel.get(Directory).observers.append(self._forget_gone_targets)
        follower = KeyedFollower(self.kernel.get(Store), TOPIC, self._apply_record)
        self.supervise(follower.run)
        self.supervise(self._publish)

    def record_answer(
        self, target_id: str, rate: float | None, sent_at: float, conclusive: bool
    ) -> None:
        """Record the limit in an answer of a target.

        :param rate: requests a second; None if the answer names no limit.
        :param sent_at: when the request was sent, in loop seconds.
        :param conclusive: whether the target would have named a limit if it had one.
        """
        now = clock.now()
        if rate is not None:
            self._record_named(target_id, rate, now)
        elif conclusive and self._limits.record_unnamed(target_id, sent_at, now):
            self._drop_limit(target_id)

    def available(self, target_id: str) -> int | None:
        """Return how many items or reward calls may be sent; None if without limit."""
        return self._limits.available(target_id, clock.now(), self._share)

    def take(self, target_id: str) -> bool:
        """Take the permit for an item or a reward call; return whether to send it.

        Only the holder of the lease sends these.
        """
        return self._limits.take(target_id, clock.now(), self._share, background=True)

    def exhausted(self, target_id: str) -> bool:
        """Return whether a request to the target would certainly be refused now."""
        return self.seconds_until_permit(target_id) > 0

    def seconds_until_permit(self, target_id: str) -> float:
        """Return after how many seconds a request may be sent, as far as is known."""
        now = clock.now()
        if self._limits.rate(target_id) is None:
            return 0.0
        if self.kernel.get(Lease).assigned:
            return self._limits.seconds_until_token(target_id, now, self._share)
        return max(0.0, self._exhausted_until_by_target.get(target_id, now) - now)

    def limit_of(self, target_id: str) -> tuple[float, float] | None:
        """Return the limit that a target named, a second, and its age in s."""
        rate = self._limits.rate(target_id)
        if rate is None:
            return None
        return rate, clock.now() - self._limits.named_at(target_id)

    async def acquire(self, target: Target) -> None:
        """Return when a caller's request may be sent to ``target``.

        :raises TargetLimitedError: it may not.
        """
        if self._limits.rate(target.id) is None:
            return
        if self.kernel.get(Lease).assigned:
            granted = self._limits.take(target.id, clock.now(), self._share)
        else:
            granted = await self._ask(target.id)
        if granted:
            return
        self.kernel.get(Metrics).limited(target.service)
        raise TargetLimitedError(
            f"target {target.id} takes no more requests for now, as it named a limit",
            retry_after=self.seconds_until_permit(target.id),
        )

    def grant(self, request: PermitRequest) -> PermitGrant:
        """Return what this host allows another one to send.

        :raises NotHolderError: this host does not hold the lease.
        """
        if not self.kernel.get(Lease).assigned:
            raise NotHolderError("this host does not hold the lease")
        now = clock.now()
        self._record_named(request.target, request.rate, now - request.age)
        granted = 0
        while granted < request.count and self._limits.take(
            request.target, now, self._share
        ):
            granted += 1
        return PermitGrant(
            count=granted,
            retry_after=self._limits.seconds_until_token(
                request.target, now, self._share
            ),
        )

    @property
    def _share(self) -> float:
        return 1.0 if self.kernel.get(Lease).held else _UNSURE_SHARE

    def _record_named(self, target_id: str, rate: float, at: float) -> None:
        if self._limits.record_named(target_id, rate, at, clock.now()):
            self.kernel.get(Events).emit("limit_named", target=target_id, rate=rate)

    def _drop_limit(self, target_id: str) -> None:
        """Forget what this host keeps beside a limit that has ended."""
        self._exhausted_until_by_target.pop(target_id, None)
        self._fallback_by_target.pop(target_id, None)
        self.kernel.get(Events).emit("limit_ended", target=target_id)

    def _forget_gone_targets(self) -> None:
        target_by_id = self.kernel.get(Directory).target_by_id
        for target_id, born in list(self._born_by_target.items()):
            target = target_by_id.get(target_id)
            if target is not None and target.born != born:
                # A new process knows nothing of what the former one named.
                self._limits.end(target_id, clock.now())
        self._born_by_target = {
            target_id: target.born for target_id, target in target_by_id.items()
        }
        if not self.kernel.get(Directory).targets_loaded:
            return
        self._limits.forget_all_but(target_by_id)
        for by_target in (self._exhausted_until_by_target, self._fallback_by_target):
            for target_id in [each for each in by_target if each not in target_by_id]:
                del by_target[target_id]

    async def _ask(self, target_id: str) -> bool:
        """Return whether the holder allows one request; ask for several at once."""
        allowed: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
        waiting = self._waiting_by_target.get(target_id)
        if waiting is None:
            self._waiting_by_target[target_id] = [allowed]
            self.spawn(self._ask_for_waiting(target_id))
        else:
            waiting.append(allowed)
        return await allowed

    async def _ask_for_waiting(self, target_id: str) -> None:
        waiting: list[asyncio.Future[bool]] = []
        try:
            while waiting := self._waiting_by_target[target_id]:
                self._waiting_by_target[target_id] = []
                granted = await self._granted_by_holder(target_id, len(waiting))
                _resolve(waiting, granted)
        finally:
            _resolve(waiting + self._waiting_by_target.pop(target_id), 0)

    async def _granted_by_holder(self, target_id: str, count: int) -> int:
        rate = self._limits.rate(target_id)
        if rate is None:
            return count
        now = clock.now()
        holder = self.kernel.get(Lease).holder_host
        if holder is None or holder == self._host or now < self._ask_again_at:
            return self._granted_by_fallback(target_id, rate, count)
        age = max(0.0, now - self._limits.named_at(target_id))
        request = PermitRequest(target=target_id, rate=rate, age=age, count=count)
        try:
            grant = await self.kernel.get(PermitClient).ask(holder, request)
        except PeerError as error:
            self._ask_again_at = clock.now() + _ASK_COOLDOWN_SECONDS
            self.kernel.get(Events).emit(
                "permits_unreachable", holder=holder, reason=error.detail
            )
            return self._granted_by_fallback(target_id, rate, count)
        self._fallback_by_target.pop(target_id, None)
        if grant.count < count:
            self._exhausted_until_by_target[target_id] = clock.now() + grant.retry_after
        return grant.count

    def _granted_by_fallback(self, target_id: str, rate: float, count: int) -> int:
        """Return how many requests this host may send without the holder's permit.

        All hosts together get a part of the limit. Each starts with a random part of a
        token; with a whole one, all hosts could send at once.
        """
        now = clock.now()
        bucket = self._fallback_by_target.get(target_id)
        if bucket is None:
            hosts = self.kernel.get(PermitClient).host_count()
            if hosts is None:
                # A host that just started does not know how many share the limit.
                self._exhausted_until_by_target[target_id] = now + _ASK_COOLDOWN_SECONDS
                return 0
            share = max(rate, 0.01) * _UNSURE_SHARE / hosts
            bucket = TokenBucket(share, 1.0, self._rng.random(), now)
            self._fallback_by_target[target_id] = bucket
        granted = 0
        while granted < count and bucket.take(now):
            granted += 1
        if granted < count:
            self._exhausted_until_by_target[target_id] = (
                now + bucket.seconds_until_token(now)
            )
        return granted

    def _apply_record(self, record: KeyedRecord) -> None:
        rate = _parse_rate(record.value) if record.value is not None else None
        if rate is None:
            self._published_rate_by_target.pop(record.key, None)
        else:
            self._published_rate_by_target[record.key] = rate
        if self.kernel.get(Lease).assigned:
            # These are this host's own records; it may know newer limits by now.
            return
        if rate is not None:
            self._record_named(record.key, rate, clock.now())
        elif self._limits.rate(record.key) is not None:
            self._limits.end(record.key, clock.now())
            self._drop_limit(record.key)

    async def _publish(self) -> None:
        """Write limits that changed, as long as this host holds the lease."""
        store = self.kernel.get(Store)
        while True:
            await asyncio.sleep(_PUBLISH_INTERVAL_SECONDS)
            if not self.kernel.get(Lease).held:
                continue
            current = self._limits.rate_by_target()
            for target_id in current.keys() | self._published_rate_by_target.keys():
                rate = current.get(target_id)
                if rate == self._published_rate_by_target.get(target_id):
                    continue
                value = b"" if rate is None else repr(rate).encode()
                try:
                    await store.put(TOPIC, target_id, value)
                except CranberryrunError:
                    # The record is written again unless the topic shows that it was.
                    await asyncio.sleep(_RETRY_DELAY_SECONDS)
                    break
                if rate is None:
                    self._published_rate_by_target.pop(target_id, None)
                else:
                    self._published_rate_by_target[target_id] = rate


def _parse_rate(value: bytes) -> float | None:
    try:
        rate = float(value)
    except ValueError:
        return None
    return rate if 0 <= rate < float("inf") else None


def _resolve(waiting: list[asyncio.Future[bool]], granted: int) -> None:
    """Allow the first ``granted`` of the waiting requests and refuse the others."""
    for future in waiting:
        if future.done():
            continue
        future.set_result(granted > 0)
        granted -= 1
