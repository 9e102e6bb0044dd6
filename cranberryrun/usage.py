"""Engine-seconds and tokens of each workload: counted, written, read back."""

from __future__ import annotations

import asyncio
from collections import deque

from absl import logging
from pydantic import ValidationError

from . import clock
from .configuration import Configuration
from .engines import Engines
from .events import Events
from .exceptions import CranberryrunError, LogGapError
from .kernel import Service
from .log import Log, LogPage
from .membership import Membership
from .rendezvous import owner_of
from .settings import Settings
from .usage_ledger import Amount, RollupRecord, UsageLedger, UsageRecord

STREAM = "usage"
_READ_LIMIT = 500
_APPENDED_AT_ONCE = 100
_MAX_PENDING = 1_440
_MAX_CHECK_SECONDS = 3_600.0
_ROLLUPS_PER_RETENTION = 3
_OWNER_KEY = "usage/rollup"


class PendingRecords:
    """Numbered records that the log has not confirmed, a bounded number.

    Over the bound the newest that were never sent are merged, so nothing is lost.
    A record that may have been appended keeps its number and content.
    """

    def __init__(self, most: int = _MAX_PENDING) -> None:
        self._most = most
        self._records: deque[UsageRecord] = deque()
        self._sent_below = 0
        self._next = 0

    def __len__(self) -> int:
        """Return how many records wait."""
        return len(self._records)

    def add(self, host: str, incarnation: int, by_workload: dict[str, Amount]) -> None:
        """Let a new record wait."""
        ended = clock.wall()
        last = self._records[-1] if self._records else None
        full = len(self._records) >= self._most
        if full and last is not None and last.number >= self._sent_below:
            for name, amount in by_workload.items():
                last.by_workload.setdefault(name, Amount()).add(amount)
            last.ended = ended
            return
        self._records.append(
            UsageRecord(
                host=host,
                incarnation=incarnation,
                number=self._next,
                ended=ended,
                by_workload=by_workload,
            )
        )
        self._next += 1

    def sending(self) -> list[UsageRecord]:
        """Return the oldest records; from now on they may have been appended."""
        records = list(self._records)[:_APPENDED_AT_ONCE]
        if records:
            self._sent_below = max(self._sent_below, records[-1].number + 1)
        return records

    def confirmed(self, count: int) -> None:
        """Forget the ``count`` oldest; the log holds them."""
        for _ in range(count):
            self._records.popleft()


class Usage(Service):
    """Writes this host's use to the log, and reads that of all hosts when asked."""

    name = "usage"
    requires = ("log", "configuration", "membership", "events", "engines")

    def __init__(self, settings: Settings) -> None:
        super().__init__()
        self._settings = settings
        self.pending = PendingRecords()
        self.ledger = UsageLedger()
        self._reading = asyncio.Lock()
        self._rolled_up_at: float | None = None

    async def start(self) -> None:
        """Begin to write, and to roll up before records expire."""
        self.supervise(self._write_forever)
        self.supervise(self._roll_up_forever)

    async def stop(self) -> None:
        """Write what is left, if the log takes it at once."""
        await super().stop()
        self.record()
        try:
            async with asyncio.timeout(self._settings.timing.log_timeout):
                await self.write()
        except (CranberryrunError, TimeoutError):
            return

    def record(self) -> None:
        """Put what was used since the last call into a record."""
        by_workload = self.kernel.get(Engines).usage.take()
        if not by_workload:
            return
        state = self.kernel.get(Configuration).state
        for name, amount in by_workload.items():
            resource = state.get("workloads", name)
            amount.rate = resource.spec.rate if resource is not None else 0.0
        membership = self.kernel.get(Membership)
        self.pending.add(membership.id, membership.incarnation, by_workload)

    async def write(self) -> None:
        """Append all that waits.

        :raises LogUnavailableError, OutcomeUnknownError: the rest goes on waiting.
        """
        log = self.kernel.get(Log)
        while records := self.pending.sending():
            await log.append(STREAM, [each.model_dump(mode="json") for each in records])
            self.pending.confirmed(len(records))
            self.kernel.get(Events).emit("usage_written", records=len(records))

    async def _write_forever(self) -> None:
        while True:
            await asyncio.sleep(self._settings.timing.usage)
            self.record()
            try:
                await self.write()
            except CranberryrunError:
                continue

    async def read(self) -> UsageLedger:
        """Read what is new in the log and return all use.

        :raises LogReadError: the log can't be read, or has lost what was not
            rolled up.
        """
        async with self._reading:
            while not await self._read_once():
                continue
        return self.ledger

    async def _read_once(self) -> bool:
        log = self.kernel.get(Log)
        start = self.ledger.offset + 1
        batch = await log.read(STREAM, start, _READ_LIMIT, 0)
        if batch.first > start:
            await self._cross_gap(batch)
            return False
        for record in batch.records:
            self.ledger.apply(record.offset, record.value)
            if self._rolled_up_at is None or _rollup(record.value) is not None:
                self._rolled_up_at = record.time
        return self.ledger.offset + 1 >= batch.next or not batch.records

    async def _cross_gap(self, batch: LogPage) -> None:
        """Go on from a roll-up that covers what is no longer kept.

        :raises LogGapError: there is none.
        """
        log = self.kernel.get(Log)
        while batch.records:
            for record in batch.records:
                rollup = _rollup(record.value)
                if rollup is not None and rollup.covers >= batch.first - 1:
                    self.ledger = UsageLedger.load(rollup)
                    self._rolled_up_at = record.time
                    return
            following = batch.records[-1].offset + 1
            batch = await log.read(STREAM, following, _READ_LIMIT, 0)
        raise LogGapError("usage records expired before they were rolled up")

    async def _roll_up_forever(self) -> None:
        every = self._settings.log.retention / _ROLLUPS_PER_RETENTION
        while True:
            await asyncio.sleep(min(every / 4, _MAX_CHECK_SECONDS))
            membership = self.kernel.get(Membership)
            if owner_of(membership.live_ids(), _OWNER_KEY) != membership.id:
                continue
            try:
                await self._roll_up_if_due(every)
            except CranberryrunError as error:
                logging.warning("usage was not rolled up: %s", error.detail)

    async def _roll_up_if_due(self, every: float) -> None:
        """Append a roll-up unless a recent one stands in the log.

        One that was appended although its answer is lost changes nothing.
        """
        ledger = await self.read()
        rolled_up_at = self._rolled_up_at
        if rolled_up_at is None or clock.wall() - rolled_up_at < every:
            return
        record = ledger.rollup().model_dump(mode="json")
        await self.kernel.get(Log).append(STREAM, [record])


def _rollup(value: object) -> RollupRecord | None:
    if not isinstance(value, dict) or value.get("record") != "rollup":
        return None
    try:
        return RollupRecord.model_validate(value)
    except ValidationError:
        return None
