"""Keeps requests that end their targets from being sent on, at all hosts together.

Each crash is recorded under the request's fingerprint in a topic that all hosts follow.
A request with several crashes is refused, but for a few trials that only one host at a
time may make. Batch items and reward calls are not concerned: they are owed.
"""

from __future__ import annotations

import asyncio
from collections import OrderedDict
from dataclasses import dataclass

from .. import clock
from ..events import Events
from ..exceptions import (
    CranberryrunError,
    TargetFailedError,
    TargetUnreachableError,
    TruncatedAnswerError,
)
from ..fleet.client import ConnectionLostError, Request, TargetClient
from ..fleet.directory import Target
from ..fleet.inquiries import inquire
from ..fleet.keyed_follower import KeyedFollower
from ..fleet.lease import Lease
from ..kernel import Service
from ..metrics import Metrics
from ..store import KeyedRecord, Store
from .crash_records import CrashRecords, Decision, RequestCrashesTargetsError
from .fingerprint import fingerprint_of
from .lost_connections import LostConnections

TOPIC = "keyed.crashes"
_TRIAL_PREFIX = "trial-"
# The store allows 255 bytes, and the fingerprint takes 33.
_MAX_TARGET_KEY_LENGTH = 160
# Errors that show that a target has ended, or lost a connection.
_POSSIBLE_CRASHES = (
    ConnectionLostError,
    TargetUnreachableError,
    TruncatedAnswerError,
)
# A repeat at another host may come within some milliseconds.
_READ_INTERVAL_SECONDS = 0.01
_WRITE_RETRY_SECONDS = 0.5
# A caller waits while its host claims a trial.
_CLAIM_TIMEOUT_SECONDS = 0.3
# A caller waits while a crash under its request becomes known; some ten milliseconds.
_SHARE_TIMEOUT_SECONDS = 0.1
# A target that ended refuses connections until its next start, some seconds later.
_CONFIRMATION_SECONDS = 2.0
_MAX_UNWRITTEN = 1024
_PRUNE_INTERVAL_SECONDS = 30.0
_RECORDED = b"1"


@dataclass(frozen=True, slots=True)
class CrashFact:
    """The crashes under a request, what follows, and the age of the record in s."""

    crashes: int
    decision: Decision
    age: float | None


class Crashes(Service):
    """Records the crashes of targets by request, and refuses such requests."""

    name = "crashes"
    requires = ("events", "metrics", "store", "lease", "target_client")

    def __init__(self) -> None:
        super().__init__()
        self._records = CrashRecords()
        self._lost = LostConnections(_CONFIRMATION_SECONDS)
        self._value_by_unwritten_key: OrderedDict[str, bytes] = OrderedDict()
        self._keys_by_fingerprint: dict[str, set[str]] = {}
        self._unwritten = asyncio.Event()
        self._shared_by_key: dict[str, asyncio.Event] = {}
        self._follower: KeyedFollower

    async def start(self) -> None:
        """Follow and write the records that all hosts share."""
        self._follower = KeyedFollower(
            self.kernel.get(Store), TOPIC, self._apply, _READ_INTERVAL_SECONDS
        )
        self.supervise(self._follower.run)
        self.supervise(self._write)
        self.supervise(self._prune)

    async def admit(self, request: Request) -> None:
        """Return if the request may be sent to a target now.

        :raises RequestCrashesTargetsError: it may not.
        """
        if not len(self._records):
            return
        fingerprint = fingerprint_of(request)
        decision = self._records.decide(fingerprint, clock.now())
        if decision.trial is None:
            return
        if decision.wait <= 0 and await self._claim_trial(fingerprint, decision.trial):
            return
        self.kernel.get(Metrics).crashing_request()
        raise RequestCrashesTargetsError.after(decision)

    def explain(self, request: Request) -> CrashFact:
        """Return what is known of a request, without claiming a trial."""
        fingerprint = fingerprint_of(request)
        now = clock.now()
        changed_at = self._records.changed_at(fingerprint)
        return CrashFact(
            crashes=self._records.crash_count(fingerprint),
            decision=self._records.decide(fingerprint, now),
            age=now - changed_at if changed_at is not None else None,
        )

    def may_repeat(self, request: Request) -> bool:
        """Return whether a request that may have run may go to another target."""
        return not len(self._records) or self._records.may_repeat(
            fingerprint_of(request)
        )

    def may_hedge(self, request: Request) -> bool:
        """Return whether two targets may run the request at the same time."""
        return not len(self._records) or fingerprint_of(request) not in self._records

    def suspect(self, target: Target, request: Request) -> None:
        """Remember a request that was ended while ``target`` may still have run it.

        Its caller left or its deadline passed, so nobody sees whether the target ends.
        """
        self._lost.record(target.id, fingerprint_of(request), clock.now())

    async def examine(
        self, target: Target, request: Request, error: CranberryrunError
    ) -> None:
        """Record that ``target`` ended under ``request``, if ``error`` shows it.

        A connection may also be lost without a crash; then the target still accepts
        new ones. A target that can't be reached may have ended under an earlier one.
        An examination that fails shows nothing.
        """
        if isinstance(error, TargetFailedError):
            self.suspect(target, request)
        if target.id not in self._lost or not isinstance(error, _POSSIBLE_CRASHES):
            return
        await inquire(
            self.kernel, f"whether {target.id} ended", self._examine_process(target)
        )

    async def _examine_process(self, target: Target) -> None:
        if not await self.kernel.get(TargetClient).refuses_connections(target):
            return
        keys = [
            self._record_crash(target, fingerprint)
            for fingerprint in self._lost.confirm(target.id, clock.now())
        ]
        await self._wait_until_shared(keys)

    async def _wait_until_shared(self, keys: list[str]) -> None:
        """Wait a short time until the other hosts know these records as well.

        The caller repeats its request at another host as soon as it has an answer. This
        host reads its own records as soon as the others do.
        """
        shared = [self._shared_by_key.setdefault(key, asyncio.Event()) for key in keys]
        try:
            async with asyncio.timeout(_SHARE_TIMEOUT_SECONDS):
                for event in shared:
                    await event.wait()
        except TimeoutError:
            # Without the store nobody can be told; the record is written later.
            return
        finally:
            for key in keys:
                self._shared_by_key.pop(key, None)

    def _record_crash(self, target: Target, fingerprint: str) -> str:
        """Record that ``target`` ended under a request; return the record's key."""
        process = f"{target.id[:_MAX_TARGET_KEY_LENGTH]}:{target.born}"
        key = f"{fingerprint}/{process}"
        self._records.record_crash(fingerprint, process, clock.now())
        self._queue(key, _RECORDED)
        self.kernel.get(Events).emit(
            "target_crashed",
            target=target.id,
            fingerprint=fingerprint,
            crashes=self._records.crash_count(fingerprint),
        )
        return key

    def record_answer(self, request: Request) -> None:
        """Record that a target answered the request, which shows it to be harmless."""
        if not len(self._records):
            return
        fingerprint = fingerprint_of(request)
        if fingerprint in self._records:
            self._forget(fingerprint)

    def _forget(self, fingerprint: str) -> None:
        self._records.clear(fingerprint)
        for key in self._keys_by_fingerprint.pop(fingerprint, ()):
            self._queue(key, b"")

    async def _claim_trial(self, fingerprint: str, number: int) -> bool:
        """Return whether this host makes the trial; of several hosts one does.

        A host that can't reach the store makes none.
        """
        offset = self._follower.next_offset
        if offset is None:
            return False
        key = f"{fingerprint}/{_TRIAL_PREFIX}{number}"
        try:
            async with asyncio.timeout(_CLAIM_TIMEOUT_SECONDS):
                await self.kernel.get(Store).put(TOPIC, key, _RECORDED, at=offset)
        except (CranberryrunError, TimeoutError):
            # Another host wrote first, or it is not known whether this one did.
            return False
        self._remember(fingerprint, key)
        self._records.record_trial(fingerprint, number, clock.now())
        self.kernel.get(Events).emit(
            "request_on_trial", fingerprint=fingerprint, trial=number
        )
        return True

    def _remember(self, fingerprint: str, key: str) -> None:
        self._keys_by_fingerprint.setdefault(fingerprint, set()).add(key)

    def _queue(self, key: str, value: bytes) -> None:
        if value:
            self._remember(key.partition("/")[0], key)
        self._value_by_unwritten_key[key] = value
        self._value_by_unwritten_key.move_to_end(key)
        while len(self._value_by_unwritten_key) > _MAX_UNWRITTEN:
            self._value_by_unwritten_key.popitem(last=False)
        self._unwritten.set()

    async def _write(self) -> None:
        while True:
            await self._unwritten.wait()
            self._unwritten.clear()
            while self._value_by_unwritten_key:
                key, value = next(iter(self._value_by_unwritten_key.items()))
                try:
                    await self.kernel.get(Store).put(TOPIC, key, value)
                except CranberryrunError:
                    # Not logged here: the directory logs outages of the store.
                    await asyncio.sleep(_WRITE_RETRY_SECONDS)
                    continue
                if self._value_by_unwritten_key.get(key) == value:
                    del self._value_by_unwritten_key[key]

    def _apply(self, record: KeyedRecord) -> None:
        fingerprint, _, suffix = record.key.partition("/")
        if record.value is None:
            keys = self._keys_by_fingerprint.get(fingerprint, set())
            keys.discard(record.key)
            # Whoever removes one record of a request removes all of them.
            self._records.clear(fingerprint)
            if not keys:
                self._keys_by_fingerprint.pop(fingerprint, None)
            return
        self._remember(fingerprint, record.key)
        if record.key in self._shared_by_key:
            self._shared_by_key[record.key].set()
        number = suffix.removeprefix(_TRIAL_PREFIX)
        if suffix.startswith(_TRIAL_PREFIX) and number.isdigit():
            self._records.record_trial(fingerprint, int(number), clock.now())
        else:
            self._records.record_crash(fingerprint, suffix, clock.now())

    async def _prune(self) -> None:
        """Remove old records from the topic while this host holds the lease."""
        while True:
            await asyncio.sleep(_PRUNE_INTERVAL_SECONDS)
            forgotten = [
                fingerprint
                for fingerprint in self._keys_by_fingerprint
                if fingerprint not in self._records
            ]
            if not self.kernel.get(Lease).held:
                for fingerprint in forgotten:
                    del self._keys_by_fingerprint[fingerprint]
                continue
            for fingerprint in forgotten + self._records.expired(clock.now()):
                self._forget(fingerprint)
