"""Accounting of engine-seconds and tokens per workload through the log."""

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
_READ_LIMIT_RECORDS = 500
_MAX_RECORDS_PER_APPEND = 100
_MAX_PENDING_RECORDS = 1_440
_MAX_CHECK_INTERVAL_SECONDS = 3_600.0
_ROLLUPS_PER_RETENTION = 3
_OWNER_KEY = "usage/rollup"


class PendingRecords:
    """A bounded queue of numbered records that the log has not confirmed.

    When the queue is full, new usage is merged into the newest record, so nothing is
    lost. A record that may have been appended is never merged into: a retry must
    have the same number and content, because readers count each number once.
    """

    def __init__(self, max_records: int = _MAX_PENDING_RECORDS) -> None:
        self._max_records = max_records
        self._records: deque[UsageRecord] = deque()
        self._first_unsent_number = 0
        self._next_number = 0

    def __len__(self) -> int:
        """Return the number of unconfirmed records."""
        return len(self._records)

    def add(self, host: str, incarnation: int, by_workload: dict[str, Amount]) -> None:
        """Queue a record of the usage in a period that ends now."""
        ended = clock.wall()
        last = self._records[-1] if self._records else None
        is_full = len(self._records) >= self._max_records
        if is_full and last is not None and last.number >= self._first_unsent_number:
            for name, amount in by_workload.items():
                last.by_workload.setdefault(name, Amount()).add(amount)
            last.ended = ended
            return
        self._records.append(
            UsageRecord(
                host=host,
                incarnation=incarnation,
                number=self._next_number,
                ended=ended,
                by_workload=by_workload,
            )
        )
        self._next_number += 1

    def next_batch(self) -> list[UsageRecord]:
        """Return the oldest records to append and mark them as possibly appended."""
        records = list(self._records)[:_MAX_RECORDS_PER_APPEND]
        if records:
            self._first_unsent_number = max(
                self._first_unsent_number, records[-1].number + 1
            )
        return records

    def remove_confirmed(self, count: int) -> None:
        """Remove the ``count`` oldest records, which the log has confirmed."""
        for _ in range(count):
            self._records.popleft()


class Usage(Service):
    """Writes this host's usage to the log and reads that of all hosts on demand."""

    name = "usage"
    requires = ("log", "configuration", "membership", "events", "engines")

    def __init__(self, settings: Settings) -> None:
        super().__init__()
        self._settings = settings
        self.pending = PendingRecords()
        self.ledger = UsageLedger()
        self._read_lock = asyncio.Lock()
        self._rolled_up_at: float | None = None

    async def start(self) -> None:
        """Start to write records, and to roll them up before they expire."""
        self.supervise(self._write_forever)
        self.supervise(self._roll_up_forever)

    async def stop(self) -> None:
        """Write the remaining records, within ``timing.log_timeout``."""
        await super().stop()
        self.record()
        try:
            async with asyncio.timeout(self._settings.timing.log_timeout):
                await self.write()
        except (CranberryrunError, TimeoutError):
            return

    def record(self) -> None:
        """Queue a record of the usage since the last call, if there was any."""
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
        """Append all queued records to the log.

        :raises LogUnavailableError, OutcomeUnknownError: the unconfirmed records
            stay queued.
        """
        log = self.kernel.get(Log)
        while records := self.pending.next_batch():
            await log.append(
                STREAM, [record.model_dump(mode="json") for record in records]
            )
            self.pending.remove_confirmed(len(records))
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
        """Read new records from the log and return the ledger.

        :raises LogReadError: the log can't be read, or records expired before they
            were rolled up.
        """
        async with self._read_lock:
            while not await self._read_once():
                continue
        return self.ledger

    async def _read_once(self) -> bool:
        log = self.kernel.get(Log)
        start = self.ledger.offset + 1
        page = await log.read(STREAM, start, _READ_LIMIT_RECORDS, 0)
        if page.first > start:
            await self._restore_from_rollup(page)
            return False
        for record in page.records:
            self.ledger.apply(record.offset, record.value)
            if self._rolled_up_at is None or _parse_rollup(record.value) is not None:
                self._rolled_up_at = record.time
        return self.ledger.offset + 1 >= page.next or not page.records

    async def _restore_from_rollup(self, page: LogPage) -> None:
        """Restore the ledger from a roll-up that covers the expired records.

        :raises LogGapError: the log contains no such roll-up.
        """
        log = self.kernel.get(Log)
        while page.records:
            for record in page.records:
                rollup = _parse_rollup(record.value)
                if rollup is not None and rollup.covers >= page.first - 1:
                    self.ledger = UsageLedger.load(rollup)
                    self._rolled_up_at = record.time
                    return
            next_offset = page.records[-1].offset + 1
            page = await log.read(STREAM, next_offset, _READ_LIMIT_RECORDS, 0)
        raise LogGapError("usage records expired before a roll-up covered them")

    async def _roll_up_forever(self) -> None:
        interval = self._settings.log.retention / _ROLLUPS_PER_RETENTION
        while True:
            await asyncio.sleep(min(interval / 4, _MAX_CHECK_INTERVAL_SECONDS))
            membership = self.kernel.get(Membership)
            if owner_of(membership.live_ids(), _OWNER_KEY) != membership.id:
                continue
            try:
                await self._roll_up_if_due(interval)
            except CranberryrunError as error:
                logging.warning(
                    "usage roll-up failed, retrying at the next check: %s", error.detail
                )

    async def _roll_up_if_due(self, interval: float) -> None:
        """Append a roll-up unless the log has a recent one.

        If the append's outcome is unknown, a second roll-up does no harm.
        """
        ledger = await self.read()
        rolled_up_at = self._rolled_up_at
        if rolled_up_at is None or clock.wall() - rolled_up_at < interval:
            return
        record = ledger.rollup().model_dump(mode="json")
        await self.kernel.get(Log).append(STREAM, [record])


def _parse_rollup(value: object) -> RollupRecord | None:
    if not isinstance(value, dict) or value.get("record") != "rollup":
        return None
    try:
        return RollupRecord.model_validate(value)
    except ValidationError:
        return None
