"""The manifest, the targets and the weight versions, as read from the store."""

from __future__ import annotations

import asyncio
from abc import ABC, abstractmethod
from collections.abc import Callable
from dataclasses import replace
from functools import partial

from .. import clock
from ..events import Events
from ..exceptions import LogGapError, LogReadError, RecordInvalidError
from ..kernel import Service
from ..metrics import Metrics
from ..store import KeyedRecord, Store
from .entry_order import EntryOrder
from .leaving_marks import LeavingMarks
from .manifest import Manifest, Route
from .target import Target
from .topic_reads import IDLE_TICK_SECONDS, TICK_SECONDS, PauseWatch, TopicReads

# Long polls end this often, so that an outage is noticed and a record that a poll
# missed is found.
_POLL_SECONDS = 0.5
# Pause between reads. Many targets write about once a second each, so one read then
# returns the entries of several. While they are only heartbeats, the pause is longer,
# except on the host that runs batches: it needs new weights and engines at once.
_READ_INTERVAL_SECONDS = 0.15
_HEARTBEAT_READ_INTERVAL_SECONDS = 0.6
# Short, because the platform requires the configuration to be in force on all hosts
# within 2 s of the end of an outage of the store.
_RETRY_DELAY_SECONDS = 0.2
# The platform's limit for targets to register again after an outage of the store in
# which their entries expired.
_REREGISTRATION_SECONDS = 2.0
# Another writer's record may have a key or a field of any length.
_MAX_LOGGED_CHARACTERS = 200
# A read takes some milliseconds. A partitioned host goes on with the manifest it has.
_MAX_WAIT_FOR_MANIFEST_SECONDS = 0.5


class Decoder(ABC):
    """Decodes the records of the operator and of the targets.

    Every method raises :exc:`~cranberryrun.exceptions.RecordInvalidError` if the
    value is malformed.
    """

    operator_topic: str
    target_topic: str

    @abstractmethod
    def manifest(self, key: str, value: bytes) -> Manifest | None:
        """Return the manifest in an operator's record; None for other records."""

    @abstractmethod
    def version(self, key: str, value: bytes) -> tuple[str, int] | None:
        """Return the model and its version; None for records without a version."""

    @abstractmethod
    def target(self, key: str, value: bytes) -> Target:
        """Return the target that a record registers."""


class Directory(Service):
    """Follows the operator's topic and the targets' topic; keeps their current content.

    ``observers`` are called after each read of a topic and after the delayed removal
    of a target. ``follow_closely`` shortens the time until changes are noticed, at the
    cost of more calls to the store. Within one process the manifest and the weight
    versions are never replaced by older ones.
    """

    name = "directory"
    requires = ("events", "metrics", "store")

    def __init__(self, decoder: Decoder) -> None:
        super().__init__()
        self._decoder = decoder
        self.manifest: Manifest | None = None
        self.target_by_id: dict[str, Target] = {}
        self.version_by_model: dict[str, int] = {}
        self.observers: list[Callable[[], None]] = []
        self.targets_loaded = False
        self.follow_closely = False
        self._change_count = 0
        self._leaving = LeavingMarks()
        self._order = EntryOrder()
        self._expiry_timer_by_id: dict[str, asyncio.TimerHandle] = {}
        self._reads_by_topic: dict[str, TopicReads] = {}
        self._pauses: PauseWatch

    @property
    def ready(self) -> bool:
        """Whether requests can be routed."""
        return self.manifest is not None and self.targets_loaded

    async def start(self) -> None:
        """Start following both topics."""
        self._pauses = PauseWatch()
        self.supervise(self._watch_pauses)
        decoder = self._decoder
        for topic, apply_record, apply_snapshot in (
            (
                decoder.operator_topic,
                self._apply_operator_record,
                self._apply_operator_snapshot,
            ),
            (
                decoder.target_topic,
                self._apply_target_record,
                self._apply_target_snapshot,
            ),
        ):
            self._reads_by_topic[topic] = TopicReads()
            self.supervise(partial(self._follow, topic, apply_record, apply_snapshot))

    def route_for(self, host: str, path: str) -> Route | None:
        """Return the route of a request; None without a manifest or a match."""
        if self.manifest is None:
            return None
        return self.manifest.route_for(host, path)

    def targets_of(self, service: str) -> list[Target]:
        """Return the targets of ``service`` that are not draining."""
        return [
            target
            for target in self.target_by_id.values()
            if target.service == service and not target.draining
        ]

    def named_targets(self) -> list[Target]:
        """Return the targets of all services that the manifest names.

        Others were registered by writers that don't belong to this deployment. Without
        a manifest nothing is known of them.
        """
        manifest = self.manifest
        return [
            target
            for target in self.target_by_id.values()
            if manifest is None or target.service in manifest.named_services
        ]

    def seconds_since_read(self) -> tuple[float, float]:
        """Return how long ago the operator's and the targets' topic were last read."""
        now = clock.now()
        operator, targets = (
            now - self._reads_by_topic[topic].last_success_at
            for topic in (self._decoder.operator_topic, self._decoder.target_topic)
        )
        return operator, targets

    async def wait_for_recent_manifest(self) -> None:
        """After a pause, in which keys may have been removed, wait for a read."""
        if self.manifest is None or self.manifest.keyring is None:
            return
        self._pauses.tick()
        reads = self._reads_by_topic[self._decoder.operator_topic]
        if not reads.requested_since(self._pauses.resumed_after):
            await reads.wait_until_requested_since(
                self._pauses.resumed_after, _MAX_WAIT_FOR_MANIFEST_SECONDS
            )

    async def _watch_pauses(self) -> None:
        while True:
            self._pauses.tick()
            has_keys = self.manifest is not None and self.manifest.keyring is not None
            await asyncio.sleep(TICK_SECONDS if has_keys else IDLE_TICK_SECONDS)

    def mark_leaving(self, target_id: str) -> None:
        """Give a target no new work for the life of this host's process.

        Called when an answer of the target says that it is leaving.
        """
        if not self._leaving.add(target_id, clock.wall(), self.target_by_id):
            return
        target = self.target_by_id.get(target_id)
        if target is None or target.draining:
            return
        self.target_by_id[target_id] = replace(target, draining=True)
        self.kernel.get(Events).emit("target_leaving", target=target_id)
        self._notify_observers()

    async def _follow(
        self,
        topic: str,
        apply_record: Callable[[KeyedRecord], None],
        apply_snapshot: Callable[[list[KeyedRecord]], None],
    ) -> None:
        store = self.kernel.get(Store)
        reads = self._reads_by_topic[topic]
        offset: int | None = None
        wait = 0.0
        while True:
            requested_at = clock.now()
            changes_before = self._change_count
            only_heartbeats = False
            try:
                if offset is None:
                    newest = await store.newest(topic)
                    self._record_success(topic, requested_at)
                    apply_snapshot(newest.records)
                    offset = newest.next
                else:
                    page = await store.read(topic, offset, wait)
                    self._record_success(topic, requested_at)
                    self._apply_records(page.records, apply_record)
                    only_heartbeats = (
                        bool(page.records) and self._change_count == changes_before
                    )
                    offset = page.next
            except LogGapError:
                offset = None
                continue
            except LogReadError as error:
                self._record_failure(topic, requested_at, error)
                await asyncio.sleep(_RETRY_DELAY_SECONDS)
                # A long poll that the store leaves unanswered would hide the end of
                # the outage.
                wait = 0.0
                continue
            self._notify_observers()
            urgent = await reads.pause(
                _HEARTBEAT_READ_INTERVAL_SECONDS
                if only_heartbeats and not self.follow_closely
                else _READ_INTERVAL_SECONDS
            )
            wait = 0.0 if urgent else _POLL_SECONDS

    def _apply_records(
        self, records: list[bytes], apply_record: Callable[[KeyedRecord], None]
    ) -> None:
        store = self.kernel.get(Store)
        for raw in records:
            record = store.parse_keyed_record(raw)
            if record is None:
                self._log_invalid_record("?", "the record has no key")
                continue
            apply_record(record)

    def _record_success(self, topic: str, at: float) -> None:
        if self._reads_by_topic[topic].record_success(at):
            self.kernel.get(Events).emit("log_back", topic=topic)

    def _record_failure(self, topic: str, at: float, error: LogReadError) -> None:
        if self._reads_by_topic[topic].record_failure(at):
            self.kernel.get(Events).emit("log_lost", topic=topic, reason=str(error))

    def _notify_observers(self) -> None:
        for observer in self.observers:
            observer()

    def _log_invalid_record(self, key: str, reason: str) -> None:
        self.kernel.get(Metrics).invalid_record()
        self.kernel.get(Events).emit(
            "record_invalid",
            key=key[:_MAX_LOGGED_CHARACTERS],
            reason=reason[:_MAX_LOGGED_CHARACTERS],
        )

    def _apply_operator_snapshot(self, records: list[KeyedRecord]) -> None:
        for record in records:
            self._apply_operator_record(record)

    def _apply_operator_record(self, record: KeyedRecord) -> None:
        if record.value is None:
            return
        try:
            manifest = self._decoder.manifest(record.key, record.value)
            model_version = self._decoder.version(record.key, record.value)
        except RecordInvalidError as error:
            self._log_invalid_record(record.key, error.detail)
            return
        if manifest is not None:
            self._apply_manifest(manifest)
        if model_version is not None:
            self._apply_version(*model_version)

    def _apply_manifest(self, manifest: Manifest) -> None:
        if self.manifest is not None and manifest.version <= self.manifest.version:
            return
        earlier = self.manifest.keyring if self.manifest is not None else None
        if earlier is not None and manifest.keyring is not None:
            manifest.keyring.follow(earlier)
        self.manifest = manifest
        self._change_count += 1
        self.kernel.get(Events).emit(
            "manifest_applied", version=manifest.version, routes=len(manifest.routes)
        )
        if manifest.keyring is not None and manifest.keyring.keyless:
            self.kernel.get(Events).emit(
                "workspaces_without_keys",
                version=manifest.version,
                workspaces=list(manifest.keyring.keyless),
            )
        for service, reason in manifest.autoscale_error_by_service.items():
            self.kernel.get(Events).emit(
                "autoscale_invalid", service=service, reason=reason
            )

    def _apply_version(self, model: str, version: int) -> None:
        if version <= self.version_by_model.get(model, 0):
            return
        self.version_by_model[model] = version
        self._change_count += 1
        self.kernel.get(Events).emit("version_known", workload=model, version=version)

    def _apply_target_snapshot(self, records: list[KeyedRecord]) -> None:
        present_ids = {record.key for record in records}
        for record in records:
            self._apply_target_record(record)
        for target_id in list(self.target_by_id):
            if target_id not in present_ids:
                self._remove_target(target_id)
        self.targets_loaded = True

    def _apply_target_record(self, record: KeyedRecord) -> None:
        if record.value is None:
            self._remove_target(record.key)
            return
        try:
            target = self._decoder.target(record.key, record.value)
        except RecordInvalidError as error:
            self._log_invalid_record(record.key, error.detail)
            self._remove_target_now(record.key, "the target's entry is malformed")
            return
        registered = self.target_by_id.get(target.id)
        if self._order.is_late(target, registered, self.target_by_id):
            return
        if self._leaving.holds(target.id, target.born):
            target = replace(target, draining=True)
        timer = self._expiry_timer_by_id.pop(target.id, None)
        if timer is not None:
            timer.cancel()
        self.target_by_id[target.id] = target
        if registered is None or _usage_of(target) != _usage_of(registered):
            self._change_count += 1
        if registered is None:
            self.kernel.get(Events).emit(
                "target_registered",
                target=target.id,
                service=target.service,
                software=target.software,
            )
        elif target.draining and not registered.draining:
            self.kernel.get(Events).emit("target_leaving", target=target.id)

    def _remove_target(self, target_id: str) -> None:
        """Remove a target, after a grace period if an outage has just ended.

        Targets can't renew their entries during an outage, so entries of healthy
        targets expire too.
        """
        if target_id not in self.target_by_id or target_id in self._expiry_timer_by_id:
            return
        ended_at = self._reads_by_topic[self._decoder.target_topic].outage_ended_at
        grace = ended_at + _REREGISTRATION_SECONDS - clock.now()
        if grace <= 0:
            self._remove_target_now(
                target_id, "the target's entry was removed from the store"
            )
            return
        self._expiry_timer_by_id[target_id] = asyncio.get_running_loop().call_later(
            grace, self._remove_expired_target, target_id
        )

    def _remove_expired_target(self, target_id: str) -> None:
        self._expiry_timer_by_id.pop(target_id, None)
        self._remove_target_now(
            target_id, "the target did not register again after the outage of the store"
        )
        self._notify_observers()

    def _remove_target_now(self, target_id: str, reason: str) -> None:
        if self.target_by_id.pop(target_id, None) is not None:
            self._change_count += 1
            self.kernel.get(Events).emit("target_gone", target=target_id, reason=reason)


def _usage_of(target: Target) -> Target:
    """Return ``target`` without the count that changes with each heartbeat."""
    return replace(target, sequence=0)
