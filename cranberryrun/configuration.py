"""The replica of the configuration: tails the log, or a peer when the log is out."""

from __future__ import annotations

import asyncio
import json
import random
from collections import OrderedDict, deque
from collections.abc import Iterable
from typing import Any

from absl import logging
from pydantic import ValidationError
from returns.result import Failure

from . import clock
from .events import Events
from .exceptions import (
    CranberryrunError,
    InvalidInputError,
    KeyReusedError,
    LogGapError,
    LogReadError,
    LogUnavailableError,
    OutcomeUnknownError,
    PeerError,
)
from .kernel import Service
from .log import Log, LogPage, Record
from .membership import HostEntry, Membership
from .models import Change, SnapshotRecord
from .peers import Peers, from_wire, to_wire, wire
from .settings import Settings
from .state import ConfigState, Outcome, Resource, digest_of
from .views import Fact, FactKind

STREAM = "config"
_READ_LIMIT = 500
_KEPT_RECORDS = 2_000
_RETRY_SECONDS = 0.5
_MAX_UNKNOWN_CHANGES = 4_000


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
        self._read_at = 0.0
        self._log_back_at = float("-inf")
        self._unknown_ids: OrderedDict[str, None] = OrderedDict()

    async def start(self) -> None:
        """Serve peers, then begin to follow the log."""
        self.kernel.get(Membership).retain(self._declared_ids)
        peers = self.kernel.get(Peers)
        peers.handler_by_call["records"] = self._serve_records
        peers.handler_by_call["snapshot"] = self._serve_snapshot
        self.supervise(self._follow)

    def contact_age(self) -> float:
        """Return seconds since the log was last heard."""
        if self._log_heard_at is None:
            return float("inf")
        return clock.now() - self._log_heard_at

    def back_age(self) -> float:
        """Return seconds since the log came back; infinite if it never was lost."""
        return clock.now() - self._log_back_at

    def recent(self, start: int) -> list[Record]:
        """Return the kept records from offset ``start`` on."""
        return [record for record in self._recent if record.offset >= start]

    def first_kept(self) -> int:
        """Return the oldest offset that :meth:`recent` can give."""
        return self._recent[0].offset if self._recent else self.state.offset + 1

    def _declared_ids(self) -> Iterable[str]:
        """Yield the names of engines and the ids of plain services' targets."""
        for engine in self.state.list("engines"):
            yield engine.name
        for service in self.state.list("services"):
            yield from (target.id for target in service.spec.targets)

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
        :raises KeyReusedError: the change id was that of another change.
        """
        events = self.kernel.get(Events)
        change_id = change.change_id
        if change_id not in self.state.outcome_by_change:
            events.emit(
                "change_asked",
                change=change_id,
                resource=f"{change.kind}/{change.name}",
                operation=change.operation,
            )
            await self._append_change(change)
        outcome = await self._outcome(change_id)
        if outcome.digest != digest_of(change):
            raise KeyReusedError(
                "the change id was that of another change", field="Change-Id"
            )
        return outcome

    async def _append_change(self, change: Change) -> None:
        """Append ``change``; return also where nobody can tell whether it was.

        :raises LogUnavailableError: no try of it at this host can be in the log.
        """
        value = change.model_dump(mode="json")
        try:
            await self.kernel.get(Log).append(STREAM, [value])
        except LogUnavailableError:
            if change.change_id not in self._unknown_ids:
                raise
        except CranberryrunError:
            self._note_unknown(change.change_id)
        except asyncio.CancelledError:
            # The caller has gone, and the record may be in the log.
            self._note_unknown(change.change_id)
            raise

    def _note_unknown(self, change_id: str) -> None:
        self._unknown_ids[change_id] = None
        while len(self._unknown_ids) > _MAX_UNKNOWN_CHANGES:
            self._unknown_ids.popitem(last=False)

    async def _outcome(self, change_id: str) -> Outcome:
        """Wait until the change is read back; :raises OutcomeUnknownError: late."""
        try:
            async with asyncio.timeout(self._settings.timing.change_deadline):
                async with self._changed:
                    await self._changed.wait_for(
                        lambda: change_id in self.state.outcome_by_change
                    )
        except TimeoutError:
            self._note_unknown(change_id)
            self.kernel.get(Events).emit("change_unknown", change=change_id)
            raise OutcomeUnknownError(
                "the change was not read back in time; ask again with its id",
                change_id=change_id,
                retry_after=2,
            ) from None
        return self.state.outcome_by_change[change_id]

    async def _follow(self) -> None:
        await self._begin()
        while True:
            try:
                # In an outage: don't wait for news to learn that it is over.
                await self._read_once(wait=None if self.log_up else 0)
                self._log_is(True)
            except LogReadError:
                self._log_is(False)
                await self._read_from_peer()
                await asyncio.sleep(_RETRY_SECONDS)

    def _log_is(self, up: bool) -> None:
        if up:
            self._log_heard_at = self._read_at
        if up and not self.log_up:
            self._log_back_at = clock.now()
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
        """Take the state of a peer, and then of one that is known to be further on."""
        membership = self.kernel.get(Membership)
        peers = membership.live_peers()
        self._rng.shuffle(peers)
        for entry in peers:
            if await self._load_from(entry):
                break
        ahead = max(
            peers, key=lambda entry: membership.offset_of(entry.id), default=None
        )
        if ahead is not None and membership.offset_of(ahead.id) > self.state.offset:
            await self._load_from(ahead)

    async def _load_from(self, entry: HostEntry) -> bool:
        try:
            reply = await self.kernel.get(Peers).call(entry, "snapshot")
        except PeerError:
            return False
        self.kernel.get(Membership).learn(from_wire(reply.facts))
        if not reply.ready:
            return False
        return await self._take_peer_snapshot(reply.state, entry.id)

    async def _take_peer_snapshot(self, text: str, peer_id: str) -> bool:
        """Take a peer's state if it is whole; say whether it is."""
        try:
            snapshot = SnapshotRecord.model_validate_json(text)
            await self._take_snapshot(snapshot, peer_id)
        except (ValidationError, InvalidInputError) as error:
            logging.warning("%s gave a snapshot that is not valid: %r", peer_id, error)
            return False
        return True

    async def _read_once(self, wait: float | None = None) -> bool:
        """Read and apply what is new; say whether there was nothing.

        :raises LogReadError: the log can't be read, or has a gap with no snapshot.
        """
        log = self.kernel.get(Log)
        seconds = self._settings.timing.log_wait if wait is None else wait
        asked_at = clock.now()
        batch = await log.read(STREAM, self.state.offset + 1, _READ_LIMIT, seconds)
        # An answer may have lain unread while this process was paused.
        self._read_at = min(clock.now(), asked_at + seconds)
        if batch.first > self.state.offset + 1:
            await self._cross_gap(batch)
            return False
        if batch.next < self.state.offset + 1:
            raise LogReadError(
                f"the log ends at {batch.next}, before what was applied already"
            )
        await self.apply(batch.records)
        return not batch.records

    async def _cross_gap(self, batch: LogPage) -> None:
        """Go on after records that are no longer kept, from a snapshot.

        :raises LogGapError: there is no snapshot that reaches the kept records.
        """
        log = self.kernel.get(Log)
        records = list(batch.records)
        while records:
            start = records[-1].offset + 1
            more = await log.read(STREAM, start, _READ_LIMIT, 0)
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
        """Apply ``records`` that follow on what is applied.

        :raises LogReadError: a record is missing before one of them.
        """
        events = self.kernel.get(Events)
        for record in records:
            if record.offset <= self.state.offset:
                continue
            if record.offset > self.state.offset + 1:
                await self._announce()
                raise LogReadError(f"a record is missing before {record.offset}")
            self._compare_snapshot(record)
            result = self.state.apply(record.offset, record.time, record.value)
            self._recent.append(record)
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
        membership.record_offset(
            membership.id, membership.incarnation, self.state.offset
        )
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
        try:
            records = [
                Record(row.offset, row.time, json.loads(row.value))
                for row in reply.records or []
            ]
            await self.apply(records)
        except (LogReadError, ValueError, TypeError) as error:
            logging.warning("%s gave records that are not valid: %r", entry.id, error)
            return
        if records:
            self.kernel.get(Events).emit(
                "records_from_peer", peer=entry.id, offset=self.state.offset
            )

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
            ready=ready,
            state=state,
            facts=to_wire(membership.views.exchangeable_facts()),
        )

    def _compare_snapshot(self, record: Record) -> None:
        """Say so if a snapshot of just this state differs from it."""
        value = record.value
        if not isinstance(value, dict) or value.get("record") != "snapshot":
            return
        if value.get("covers") != self.state.offset:
            return
        if value.get("state") != json.loads(json.dumps(self.state.dump())):
            self.kernel.get(Events).emit(
                "snapshot_differs", offset=record.offset, writer=value.get("host")
            )


def _last_snapshot(records: list[Record], reach: int) -> SnapshotRecord | None:
    """Return the newest valid snapshot in ``records`` that covers offset ``reach``."""
    for record in reversed(records):
        value = record.value
        if not isinstance(value, dict) or value.get("record") != "snapshot":
            continue
        try:
            snapshot = SnapshotRecord.model_validate(value)
            ConfigState.load(snapshot)
        except (ValidationError, InvalidInputError):
            continue
        if reach <= snapshot.covers < record.offset:
            return snapshot
    return None
