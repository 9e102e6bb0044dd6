"""The replica of the configuration: tails the log, or a peer when the log is out."""

from __future__ import annotations

import asyncio
import json
import random
from collections import deque
from typing import Any

from returns.result import Failure

from . import clock
from .events import Events
from .exceptions import (
    CranberryrunError,
    InvalidInputError,
    LogGapError,
    LogReadError,
    LogUnavailableError,
    OutcomeUnknownError,
    PeerError,
)
from .kernel import Service
from .log import Batch, Log, Record
from .membership import Membership
from .models import Change, SnapshotRecord
from .peers import Peers, from_wire, to_wire, wire
from .settings import Settings
from .state import ConfigState, Outcome, Resource
from .views import Fact, FactKind

STREAM = "config"
_READ_LIMIT = 500
_KEPT_RECORDS = 2_000
_RETRY_SECONDS = 0.5
_SNAPSHOTS_PER_RETENTION = 3
_SNAPSHOT_JITTER_SECONDS = 5.0


class Configuration(Service):
    """Holds :class:`ConfigState` and applies records in the log's order."""

    name = "configuration"
    requires = ("log", "membership", "peers", "events")

    def __init__(self, settings: Settings, rng: random.Random) -> None:
        super().__init__()
        self._settings = settings
        self._rng = rng
        self.state = ConfigState()
        self.ready = asyncio.Event()
        self.log_up = True
        self._changed = asyncio.Condition()
        self._recent: deque[Record] = deque(maxlen=_KEPT_RECORDS)
        self._log_heard_at: float | None = None
        self._snapshot_time = 0.0
        self._listeners: list[Any] = []

    async def start(self) -> None:
        """Serve peers, then begin to follow the log."""
        peers = self.kernel.get(Peers)
        peers.handler_by_call["records"] = self._serve_records
        peers.handler_by_call["snapshot"] = self._serve_snapshot
        self.supervise(self._follow)
        self.supervise(self._write_snapshots)

    def heard_age(self) -> float:
        """Return seconds since the log was last heard."""
        if self._log_heard_at is None:
            return float("inf")
        return clock.now() - self._log_heard_at

    def recent(self, start: int) -> list[Record]:
        """Return the kept records from offset ``start`` on."""
        return [record for record in self._recent if record.offset >= start]

    def first_kept(self) -> int:
        """Return the oldest offset that :meth:`recent` can give."""
        return self._recent[0].offset if self._recent else self.state.offset + 1

    async def wait_past(self, offset: int, timeout: float) -> None:
        """Wait until a record above ``offset`` is applied, or ``timeout`` seconds."""
        try:
            async with asyncio.timeout(timeout):
                async with self._changed:
                    await self._changed.wait_for(lambda: self.state.offset > offset)
        except TimeoutError:
            return

    async def submit(self, change: Change) -> Outcome:
        """Bring ``change`` into the log and return its outcome.

        :raises LogUnavailableError: it is certainly not in the log.
        :raises OutcomeUnknownError: the same change id later gets the outcome.
        """
        events = self.kernel.get(Events)
        known = self.state.outcome_by_change.get(change.change_id)
        if known is not None:
            return known
        events.emit("change_asked", change=change.change_id, resource=change.name)
        try:
            await self.kernel.get(Log).append(STREAM, [change.model_dump(mode="json")])
        except LogUnavailableError:
            raise
        except CranberryrunError:
            events.emit("change_unknown", change=change.change_id)
        return await self._outcome(change.change_id)

    async def _outcome(self, change_id: str) -> Outcome:
        outcomes = self.state.outcome_by_change
        try:
            async with asyncio.timeout(self._settings.timing.change_deadline):
                async with self._changed:
                    await self._changed.wait_for(lambda: change_id in outcomes)
        except TimeoutError:
            raise OutcomeUnknownError(
                "the change was not read back in time; ask again with its id",
                change_id=change_id,
                retry_after=2,
            ) from None
        return outcomes[change_id]

    async def _follow(self) -> None:
        await self._begin()
        while True:
            try:
                await self._read_once()
                self._log_is(True)
            except LogReadError:
                self._log_is(False)
                await self._read_from_peer()
                await asyncio.sleep(_RETRY_SECONDS)

    def _log_is(self, up: bool) -> None:
        if up:
            self._log_heard_at = clock.now()
        if up != self.log_up:
            self.kernel.get(Events).emit("log_back" if up else "log_lost")
        self.log_up = up

    async def _begin(self) -> None:
        """Take the highest state that a peer or the log's own snapshot gives."""
        while not self.ready.is_set():
            await self._load_from_peers()
            try:
                while not await self._read_once(wait=0):
                    continue
                self._log_is(True)
                self.ready.set()
            except LogReadError:
                self._log_is(False)
                if self.state.offset >= 0:
                    self.ready.set()
                    continue
                await asyncio.sleep(_RETRY_SECONDS)

    async def _load_from_peers(self) -> None:
        peers = self.kernel.get(Peers)
        membership = self.kernel.get(Membership)
        for entry in membership.live_peers():
            try:
                reply = await peers.call(entry, "snapshot")
            except PeerError:
                continue
            membership.learn(from_wire(reply.facts))
            if not reply.ready:
                continue
            await self._take_snapshot(
                SnapshotRecord.model_validate_json(reply.state), entry.id
            )
            return

    async def _read_once(self, wait: float | None = None) -> bool:
        """Read and apply what is new; say whether that was all.

        :raises LogReadError: the log can't be read, or has a gap with no snapshot.
        """
        log = self.kernel.get(Log)
        seconds = self._settings.timing.log_wait if wait is None else wait
        batch = await log.read(STREAM, self.state.offset + 1, _READ_LIMIT, seconds)
        if batch.first > self.state.offset + 1:
            await self._cross_gap(batch)
        else:
            await self.apply(batch.records)
        return self.state.offset + 1 >= batch.next

    async def _cross_gap(self, batch: Batch) -> None:
        """Go on after records that are no longer kept, from a snapshot.

        :raises LogGapError: there is no snapshot that reaches the kept records.
        """
        log = self.kernel.get(Log)
        records = list(batch.records)
        while records and records[-1].offset + 1 < batch.next:
            more = await log.read(STREAM, records[-1].offset + 1, _READ_LIMIT, 0)
            if not more.records:
                break
            records += more.records
        snapshot = _last_snapshot(records, batch.first - 1)
        if snapshot is None or snapshot.covers <= self.state.offset:
            raise LogGapError(f"no snapshot before offset {batch.first}")
        await self._take_snapshot(snapshot, "log")
        await self.apply(records)

    async def _take_snapshot(self, snapshot: SnapshotRecord, source: str) -> None:
        if snapshot.covers <= self.state.offset:
            return
        self.state = ConfigState.load(snapshot)
        self._recent.clear()
        self.kernel.get(Events).emit(
            "snapshot_loaded", offset=snapshot.covers, source=source
        )
        await self._announce()

    async def apply(self, records: list[Record]) -> None:
        """Apply ``records`` that follow on what is applied."""
        events = self.kernel.get(Events)
        for record in records:
            if record.offset <= self.state.offset:
                continue
            result = self.state.apply(record.offset, record.time, record.value)
            self._recent.append(record)
            self._note_snapshot(record)
            if isinstance(result, Failure):
                self._emit_rejected(record, result.failure())
                continue
            applied = result.unwrap()
            if isinstance(applied, Resource):
                events.emit(
                    "change_applied",
                    offset=record.offset,
                    change=applied.change_id,
                    resource=f"{applied.kind}/{applied.name}",
                    generation=applied.generation,
                )
        await self._announce()

    def _emit_rejected(self, record: Record, error: CranberryrunError) -> None:
        name = "change_rejected"
        if isinstance(error, InvalidInputError) and error.field is None:
            name = "record_invalid"
        change_id = None
        if isinstance(record.value, dict):
            change_id = record.value.get("change_id")
        self.kernel.get(Events).emit(
            name, offset=record.offset, change=change_id, error=error.detail
        )

    async def _announce(self) -> None:
        """Wake who waits, and tell the peers how far this host is."""
        membership = self.kernel.get(Membership)
        membership.note_offset(membership.id, membership.incarnation, self.state.offset)
        facts = [
            Fact(FactKind.VERSION, workload, 0, version)
            for workload, version in self.state.version_by_workload.items()
        ]
        membership.learn(facts)
        async with self._changed:
            self._changed.notify_all()

    async def _read_from_peer(self) -> None:
        """Take records from a peer that is further on, in an outage of the log."""
        membership = self.kernel.get(Membership)
        ahead = [
            entry
            for entry in membership.live_peers()
            if membership.offset_of(entry.id) > self.state.offset
        ]
        if not ahead:
            return
        entry = self._rng.choice(ahead)
        peers = self.kernel.get(Peers)
        try:
            reply = await peers.call(
                entry, "records", self.state.offset + 1, _READ_LIMIT
            )
            if not reply.complete:
                await self._load_from_peers()
                return
        except PeerError:
            return
        records = [
            Record(row.offset, row.time, json.loads(row.value)) for row in reply.records
        ]
        if records:
            self.kernel.get(Events).emit(
                "records_from_peer", peer=entry.id, offset=records[-1].offset
            )
        await self.apply(records)

    async def _serve_records(self, start: int, limit: int) -> Any:
        rows = [
            wire.Record(
                offset=record.offset, time=record.time, value=json.dumps(record.value)
            )
            for record in self.recent(start)[:limit]
        ]
        return wire.Records(records=rows, complete=self.first_kept() <= start)

    async def _serve_snapshot(self) -> Any:
        membership = self.kernel.get(Membership)
        ready = self.ready.is_set()
        state = self.state.snapshot(membership.id).model_dump_json() if ready else ""
        return wire.Snapshot(
            ready=ready, state=state, facts=to_wire(membership.views.all())
        )

    def _note_snapshot(self, record: Record) -> None:
        value = record.value
        if isinstance(value, dict) and value.get("record") == "snapshot":
            self._snapshot_time = max(self._snapshot_time, record.time)

    async def _write_snapshots(self) -> None:
        await self.ready.wait()
        every = self._settings.log.retention / _SNAPSHOTS_PER_RETENTION
        self._snapshot_time = self._snapshot_time or clock.wall()
        while True:
            await asyncio.sleep(self._settings.timing.snapshot_check)
            if clock.wall() - self._snapshot_time < every:
                continue
            jitter = min(_SNAPSHOT_JITTER_SECONDS, every / 4)
            await asyncio.sleep(self._rng.uniform(0, jitter))
            if clock.wall() - self._snapshot_time < every or not self.log_up:
                continue
            await self._append_snapshot()

    async def _append_snapshot(self) -> None:
        record = self.state.snapshot(self._settings.id)
        try:
            await self.kernel.get(Log).append(STREAM, [record.model_dump(mode="json")])
        except CranberryrunError:
            return
        self.kernel.get(Events).emit("snapshot_written", offset=record.covers)


def _last_snapshot(records: list[Record], reach: int) -> SnapshotRecord | None:
    """Return the newest snapshot in ``records`` that covers offset ``reach``."""
    for record in reversed(records):
        if not isinstance(record.value, dict):
            continue
        if record.value.get("record") != "snapshot":
            continue
        snapshot = SnapshotRecord.model_validate(record.value)
        if snapshot.covers >= reach:
            return snapshot
    return None
