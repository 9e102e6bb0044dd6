"""The configuration replica, fed by the log or, in a log outage, by a peer."""

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
from .peers import Peers, facts_from_wire, facts_to_wire, wire
from .settings import Settings
from .state import (
    ConfigState,
    Outcome,
    Resource,
    digest_of,
    has_workspaces,
    newest_snapshot,
)
from .views import Fact, FactKind

STREAM = "config"
_MAX_READ_RECORDS = 500
_MAX_RECENT_RECORDS = 2_000
_RETRY_DELAY_SECONDS = 0.5
_MAX_UNKNOWN_OUTCOMES = 4_000


class Configuration(Service):
    """Holds :class:`ConfigState` and applies log records to it in log order."""

    name = "configuration"
    requires = ("log", "membership", "peers", "events")

    def __init__(self, settings: Settings, rng: random.Random) -> None:
        super().__init__()
        self._settings = settings
        self._rng = rng
        self.state = ConfigState()
        self.ready = asyncio.Event()
        self.log_up = True
        self._state_changed = asyncio.Condition()
        self._recent_records: deque[Record] = deque(maxlen=_MAX_RECENT_RECORDS)
        self._last_log_contact_at: float | None = None
        self._last_read_at = 0.0
        self._log_recovered_at = float("-inf")
        self._unknown_outcome_ids: OrderedDict[str, None] = OrderedDict()

    async def start(self) -> None:
        """Register the handlers for peers, then start tailing the log."""
        self.kernel.get(Membership).retain(self._declared_target_ids)
        peers = self.kernel.get(Peers)
        peers.handler_by_call["records"] = self._serve_records
        peers.handler_by_call["snapshot"] = self._serve_snapshot
        self.supervise(self._tail_log)

    def contact_age(self) -> float:
        """Return the seconds since the last successful read; infinite if none."""
        if self._last_log_contact_at is None:
            return float("inf")
        return clock.now() - self._last_log_contact_at

    def recovery_age(self) -> float:
        """Return the seconds since the last log outage ended; infinite if none did."""
        return clock.now() - self._log_recovered_at

    def records_from(self, start: int) -> list[Record]:
        """Return the retained records at offset ``start`` and above."""
        return [record for record in self._recent_records if record.offset >= start]

    def oldest_retained_offset(self) -> int:
        """Return the lowest offset that :meth:`records_from` can return."""
        return (
            self._recent_records[0].offset
            if self._recent_records
            else self.state.offset + 1
        )

    def _declared_target_ids(self) -> Iterable[str]:
        """Yield the names of all engines and the ids of all plain targets."""
        for engine in self.state.list("engines"):
            yield engine.name
        for service in self.state.list("services"):
            yield from (target.id for target in service.spec.targets)

    async def wait_past(self, offset: int, timeout: float) -> None:
        """Wait until a record above ``offset`` is applied, or ``timeout`` seconds."""
        try:
            async with asyncio.timeout(timeout):
                async with self._state_changed:
                    await self._state_changed.wait_for(
                        lambda: self.state.offset > offset
                    )
        except TimeoutError:
            return

    async def submit(self, change: Change) -> Outcome:
        """Append ``change`` to the log and return its outcome.

        A change id that already has an outcome is not appended again.

        :raises LogUnavailableError: the change is not in the log.
        :raises OutcomeUnknownError: the change may be in the log; submitting it
            again with the same change id returns its outcome.
        :raises KeyReusedError: the change id belongs to a different change.
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
        outcome = await self._wait_for_outcome(change_id)
        if outcome.digest != digest_of(change):
            raise KeyReusedError(
                "the change id was already used for a different change",
                field="Change-Id",
            )
        return outcome

    async def _append_change(self, change: Change) -> None:
        """Append ``change``; return normally also if the outcome is unknown.

        :raises LogUnavailableError: no attempt of this host to append the change
            can have reached the log.
        """
        value = change.model_dump(mode="json")
        try:
            await self.kernel.get(Log).append(STREAM, [value])
        except LogUnavailableError:
            if change.change_id not in self._unknown_outcome_ids:
                raise
        except CranberryrunError:
            self._record_unknown_outcome(change.change_id)
        except asyncio.CancelledError:
            # The caller disconnected, but the record may already be in the log.
            self._record_unknown_outcome(change.change_id)
            raise

    def _record_unknown_outcome(self, change_id: str) -> None:
        self._unknown_outcome_ids[change_id] = None
        while len(self._unknown_outcome_ids) > _MAX_UNKNOWN_OUTCOMES:
            self._unknown_outcome_ids.popitem(last=False)

    async def _wait_for_outcome(self, change_id: str) -> Outcome:
        """Return the outcome of a change once it has been read back from the log.

        :raises OutcomeUnknownError: the change was not read back within
            ``timing.change_deadline`` seconds.
        """
        try:
            async with asyncio.timeout(self._settings.timing.change_deadline):
                async with self._state_changed:
                    await self._state_changed.wait_for(
                        lambda: change_id in self.state.outcome_by_change
                    )
        except TimeoutError:
            self._record_unknown_outcome(change_id)
            self.kernel.get(Events).emit("change_unknown", change=change_id)
            raise OutcomeUnknownError(
                "the change was not read back from the log in time; retry with the "
                "same change id",
                change_id=change_id,
                retry_after=2,
            ) from None
        return self.state.outcome_by_change[change_id]

    async def _tail_log(self) -> None:
        await self._load_initial_state()
        while True:
            try:
                # In an outage, read without waiting so that its end is noticed at once.
                await self._read_and_apply(wait=None if self.log_up else 0)
                self._set_log_up(True)
            except LogReadError:
                self._set_log_up(False)
                await self._fetch_records_from_peer()
                await asyncio.sleep(_RETRY_DELAY_SECONDS)

    def _set_log_up(self, up: bool) -> None:
        if up:
            self._last_log_contact_at = self._last_read_at
        if up and not self.log_up:
            self._log_recovered_at = clock.now()
        if up != self.log_up:
            self.kernel.get(Events).emit("log_back" if up else "log_lost")
        self.log_up = up

    async def _load_initial_state(self) -> None:
        """Load a peer's state and read the log to its end.

        If the log can't be read, a state loaded from a peer is enough to be ready.
        """
        while not self.ready.is_set():
            await self._load_peer_snapshots()
            try:
                while not await self._read_and_apply(wait=0):
                    continue
                self._set_log_up(True)
                self.ready.set()
            except LogReadError:
                self._set_log_up(False)
                if self.state.offset >= 0:
                    self.ready.set()
                    continue
                await asyncio.sleep(_RETRY_DELAY_SECONDS)

    async def _load_peer_snapshots(self) -> None:
        """Load the state of a random peer, then of the most advanced known peer."""
        membership = self.kernel.get(Membership)
        peers = membership.live_peers()
        self._rng.shuffle(peers)
        for entry in peers:
            if await self._load_peer_snapshot(entry):
                break
        most_advanced = max(
            peers, key=lambda entry: membership.offset_of(entry.id), default=None
        )
        if (
            most_advanced is not None
            and membership.offset_of(most_advanced.id) > self.state.offset
        ):
            await self._load_peer_snapshot(most_advanced)

    async def _load_peer_snapshot(self, entry: HostEntry) -> bool:
        try:
            reply = await self.kernel.get(Peers).call(entry, "snapshot")
        except PeerError:
            return False
        self.kernel.get(Membership).learn(facts_from_wire(reply.facts))
        if not reply.ready:
            return False
        return await self._install_peer_snapshot(reply.state, entry.id)

    async def _install_peer_snapshot(self, text: str, peer_id: str) -> bool:
        """Install a peer's snapshot; return False if it is not valid."""
        try:
            snapshot = SnapshotRecord.model_validate_json(text)
            await self._install_snapshot(snapshot, peer_id)
        except (ValidationError, InvalidInputError) as error:
            logging.warning(
                "ignoring an invalid snapshot from peer %s: %r", peer_id, error
            )
            return False
        return True

    async def _read_and_apply(self, wait: float | None = None) -> bool:
        """Read and apply one page of the log; return whether it held no records.

        :raises LogReadError: the log can't be read, ends before the applied offset,
            or has a gap that no snapshot covers.
        """
        log = self.kernel.get(Log)
        wait_seconds = self._settings.timing.log_wait if wait is None else wait
        requested_at = clock.now()
        page = await log.read(
            STREAM, self.state.offset + 1, _MAX_READ_RECORDS, wait_seconds
        )
        # The process may have been paused after the answer arrived.
        self._last_read_at = min(clock.now(), requested_at + wait_seconds)
        if page.first > self.state.offset + 1:
            await self._recover_from_gap(page)
            return False
        if page.next < self.state.offset + 1:
            raise LogReadError(
                f"the log ends at offset {page.next}, but records up to "
                f"{self.state.offset} were already applied"
            )
        await self.apply(page.records)
        return not page.records

    async def _recover_from_gap(self, page: LogPage) -> None:
        """Continue from a snapshot where the log no longer retains the next records.

        :raises LogGapError: no snapshot covers all records before the retained ones.
        """
        log = self.kernel.get(Log)
        records = list(page.records)
        while records:
            start = records[-1].offset + 1
            more = await log.read(STREAM, start, _MAX_READ_RECORDS, 0)
            if not more.records:
                break
            records += more.records
        snapshot = newest_snapshot(records, page.first - 1)
        if snapshot is None or snapshot.covers <= self.state.offset:
            raise LogGapError(
                f"the log starts at offset {page.first} and holds no snapshot that "
                "covers the records before it"
            )
        await self._install_snapshot(snapshot, "log")
        await self.apply(records)

    async def _install_snapshot(self, snapshot: SnapshotRecord, source: str) -> None:
        if snapshot.covers <= self.state.offset:
            return
        state = ConfigState.load(snapshot)
        if not has_workspaces(snapshot):
            state.keep_workspaces(self.state)
        self.state = state
        self._recent_records.clear()
        self.kernel.get(Events).emit(
            "snapshot_loaded", offset=snapshot.covers, source=source
        )
        await self._publish_offset()

    async def apply(self, records: list[Record]) -> None:
        """Apply ``records`` in order; skip those that were already applied.

        :raises LogReadError: a record does not directly follow the last applied one.
        """
        events = self.kernel.get(Events)
        for record in records:
            if record.offset <= self.state.offset:
                continue
            if record.offset > self.state.offset + 1:
                await self._publish_offset()
                raise LogReadError(
                    f"the record before offset {record.offset} is missing"
                )
            self._verify_snapshot(record)
            result = self.state.apply(record.offset, record.time, record.value)
            self._recent_records.append(record)
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
        await self._publish_offset()

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

    async def _publish_offset(self) -> None:
        """Publish the applied offset and versions to peers; wake local waiters."""
        membership = self.kernel.get(Membership)
        membership.record_offset(
            membership.id, membership.incarnation, self.state.offset
        )
        facts = [
            Fact(FactKind.VERSION, workload, 0, version)
            for workload, version in self.state.version_by_workload.items()
        ]
        membership.learn(facts)
        async with self._state_changed:
            self._state_changed.notify_all()

    async def _fetch_records_from_peer(self) -> None:
        """Fetch and apply records of a more advanced peer during a log outage."""
        membership = self.kernel.get(Membership)
        advanced_peers = [
            entry
            for entry in membership.live_peers()
            if membership.offset_of(entry.id) > self.state.offset
        ]
        if not advanced_peers:
            return
        entry = self._rng.choice(advanced_peers)
        peers = self.kernel.get(Peers)
        try:
            reply = await peers.call(
                entry, "records", self.state.offset + 1, _MAX_READ_RECORDS
            )
            if not reply.complete:
                await self._load_peer_snapshots()
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
            logging.warning(
                "ignoring invalid records from peer %s: %r", entry.id, error
            )
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
            for record in self.records_from(start)[:limit]
        ]
        return wire.Records(
            records=rows, complete=self.oldest_retained_offset() <= start
        )

    async def _serve_snapshot(self) -> Any:
        membership = self.kernel.get(Membership)
        ready = self.ready.is_set()
        state = self.state.snapshot(membership.id).model_dump_json() if ready else ""
        return wire.Snapshot(
            ready=ready,
            state=state,
            facts=facts_to_wire(membership.views.exchangeable_facts()),
        )

    def _verify_snapshot(self, record: Record) -> None:
        """Emit an event if a snapshot of the current offset differs from this state."""
        value = record.value
        if not isinstance(value, dict) or value.get("record") != "snapshot":
            return
        if value.get("covers") != self.state.offset:
            return
        if value.get("state") != json.loads(json.dumps(self.state.dump())):
            self.kernel.get(Events).emit(
                "snapshot_differs", offset=record.offset, writer=value.get("host")
            )
