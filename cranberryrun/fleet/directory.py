"""The directory: manifest, targets and weight versions, as the store has them."""

from __future__ import annotations

import asyncio
from abc import ABC, abstractmethod
from collections.abc import Callable
from dataclasses import dataclass, field

from .. import clock
from ..events import Events
from ..exceptions import LogGapError, LogReadError, RecordInvalidError
from ..kernel import Service
from ..store import KeyedRecord, Store
from .manifest import Manifest, Route

# Long polls end at least this often: a lost store is noticed, a missed record found.
_POLL_SECONDS = 0.5
# Many targets write about once a second each; their entries are read together.
_COLLECT_SECONDS = 0.15
# The configuration has 2 s from the store's return to be in force everywhere.
_RETRY_SECONDS = 0.2
# The platform's bound for entries that lapsed in an outage to be back.
_LAPSE_GRACE_SECONDS = 2.0
# Heartbeats come about once a second; silence of this length means an outage.
_OUTAGE_SECONDS = 1.0


@dataclass(frozen=True, slots=True)
class Target:
    """One start of a target, as it registered itself.

    ``born`` is the time of its start; ``sequence`` counts its entries since then.
    ``version_by_model`` holds the weight version of each model it serves.
    """

    id: str
    service: str
    address: str
    zone: str
    slots: int
    draining: bool
    born: int
    sequence: int
    version_by_model: dict[str, int] = field(default_factory=dict)


class Decoder(ABC):
    """Turns the operator's and the targets' records into the product's types.

    Every method raises :exc:`~cranberryrun.exceptions.RecordInvalidError` for a
    value that is malformed.
    """

    operator_topic: str
    target_topic: str

    @abstractmethod
    def manifest(self, key: str, value: bytes) -> Manifest | None:
        """Return the manifest in a record of the operator; None if it holds none."""

    @abstractmethod
    def version(self, key: str, value: bytes) -> tuple[str, int] | None:
        """Return model and version if the record names a version."""

    @abstractmethod
    def target(self, key: str, value: bytes) -> Target:
        """Return the target that a record registers."""


class _Outage:
    """Notes whether a topic is in an outage, and when the last one ended."""

    def __init__(self) -> None:
        self._heard_at = clock.now()
        self.lost = False
        self.ended_at = float("-inf")

    def failed(self) -> bool:
        """Note a failed read; say whether an outage begins with it."""
        if self.lost or clock.now() - self._heard_at < _OUTAGE_SECONDS:
            return False
        self.lost = True
        return True

    def heard(self) -> bool:
        """Note a read that succeeded; say whether it ends an outage."""
        self._heard_at = clock.now()
        if not self.lost:
            return False
        self.lost = False
        self.ended_at = clock.now()
        return True


class Directory(Service):
    """Follows the operator's topic and the targets' topic.

    ``observers`` are called after each change. The manifest and the versions never
    go back in one incarnation of the process.
    """

    name = "directory"
    requires = ("events", "store")

    def __init__(self, decoder: Decoder) -> None:
        super().__init__()
        self._decoder = decoder
        self.manifest: Manifest | None = None
        self.target_by_id: dict[str, Target] = {}
        self.version_by_model: dict[str, int] = {}
        self.observers: list[Callable[[], None]] = []
        self.targets_known = False
        self._lapse_timer_by_id: dict[str, asyncio.TimerHandle] = {}
        self._outage_by_topic: dict[str, _Outage] = {}

    @property
    def ready(self) -> bool:
        """Whether requests can be routed."""
        return self.manifest is not None and self.targets_known

    async def start(self) -> None:
        """Begin to follow both topics."""
        decoder = self._decoder
        for topic, apply, replace in (
            (decoder.operator_topic, self._apply_operator, self._replace_operator),
            (decoder.target_topic, self._apply_target, self._replace_targets),
        ):
            self._outage_by_topic[topic] = _Outage()
            self.spawn(self._follow(topic, apply, replace))

    def route_for(self, host: str, path: str) -> Route | None:
        """Return the route of a request, if the manifest is known and has one."""
        if self.manifest is None:
            return None
        return self.manifest.route_for(host, path)

    def targets_of(self, service: str) -> list[Target]:
        """Return the targets of ``service`` that may get new work."""
        return [
            target
            for target in self.target_by_id.values()
            if target.service == service and not target.draining
        ]

    async def _follow(
        self,
        topic: str,
        apply: Callable[[KeyedRecord], None],
        replace: Callable[[list[KeyedRecord]], None],
    ) -> None:
        store = self.kernel.get(Store)
        offset: int | None = None
        wait = 0.0
        while True:
            try:
                if offset is None:
                    newest = await store.newest(topic)
                    self._heard(topic)
                    replace(newest.records)
                    offset = newest.next
                else:
                    page = await store.read(topic, offset, wait)
                    self._heard(topic)
                    self._apply_page(page.records, apply)
                    offset = page.next
            except LogGapError:
                offset = None
                continue
            except LogReadError as error:
                self._failed(topic, error)
                await asyncio.sleep(_RETRY_SECONDS)
                # A long poll into a silent store would hide its return.
                wait = 0.0
                continue
            wait = _POLL_SECONDS
            self._changed()
            await asyncio.sleep(_COLLECT_SECONDS)

    def _apply_page(
        self, records: list[bytes], apply: Callable[[KeyedRecord], None]
    ) -> None:
        store = self.kernel.get(Store)
        for raw in records:
            record = store.parse_keyed_record(raw)
            if record is None:
                self._invalid("?", "the record has no key")
                continue
            apply(record)

    def _heard(self, topic: str) -> None:
        if self._outage_by_topic[topic].heard():
            self.kernel.get(Events).emit("log_back", topic=topic)

    def _failed(self, topic: str, error: LogReadError) -> None:
        if self._outage_by_topic[topic].failed():
            self.kernel.get(Events).emit("log_lost", topic=topic, reason=str(error))

    def _changed(self) -> None:
        for observer in self.observers:
            observer()

    def _invalid(self, key: str, reason: str) -> None:
        self.kernel.get(Events).emit("record_invalid", key=key, reason=reason)

    def _replace_operator(self, records: list[KeyedRecord]) -> None:
        for record in records:
            self._apply_operator(record)

    def _apply_operator(self, record: KeyedRecord) -> None:
        if record.value is None:
            return
        try:
            manifest = self._decoder.manifest(record.key, record.value)
            named = self._decoder.version(record.key, record.value)
        except RecordInvalidError as error:
            self._invalid(record.key, error.detail)
            return
        if manifest is not None:
            self._take_manifest(manifest)
        if named is not None:
            self._take_version(*named)

    def _take_manifest(self, manifest: Manifest) -> None:
        if self.manifest is not None and manifest.version <= self.manifest.version:
            return
        self.manifest = manifest
        self.kernel.get(Events).emit(
            "manifest_applied", version=manifest.version, routes=len(manifest.routes)
        )

    def _take_version(self, model: str, version: int) -> None:
        if version <= self.version_by_model.get(model, 0):
            return
        self.version_by_model[model] = version
        self.kernel.get(Events).emit("version_known", workload=model, version=version)

    def _replace_targets(self, records: list[KeyedRecord]) -> None:
        present = {record.key for record in records}
        for record in records:
            self._apply_target(record)
        for target_id in list(self.target_by_id):
            if target_id not in present:
                self._removed(target_id)
        self.targets_known = True

    def _apply_target(self, record: KeyedRecord) -> None:
        if record.value is None:
            self._removed(record.key)
            return
        try:
            target = self._decoder.target(record.key, record.value)
        except RecordInvalidError as error:
            self._invalid(record.key, error.detail)
            self._forget(record.key, "its entry is malformed")
            return
        known = self.target_by_id.get(target.id)
        if known is not None and _age(target) < _age(known):
            return
        timer = self._lapse_timer_by_id.pop(target.id, None)
        if timer is not None:
            timer.cancel()
        self.target_by_id[target.id] = target
        if known is None:
            self.kernel.get(Events).emit(
                "target_registered", target=target.id, service=target.service
            )
        elif target.draining and not known.draining:
            self.kernel.get(Events).emit("target_leaving", target=target.id)

    def _removed(self, target_id: str) -> None:
        """Forget a target, but let one that lapsed in an outage register again."""
        if target_id not in self.target_by_id or target_id in self._lapse_timer_by_id:
            return
        ended_at = self._outage_by_topic[self._decoder.target_topic].ended_at
        grace = ended_at + _LAPSE_GRACE_SECONDS - clock.now()
        if grace <= 0:
            self._forget(target_id, "its entry was removed")
            return
        self._lapse_timer_by_id[target_id] = asyncio.get_running_loop().call_later(
            grace, self._lapsed, target_id
        )

    def _lapsed(self, target_id: str) -> None:
        self._lapse_timer_by_id.pop(target_id, None)
        self._forget(target_id, "its entry did not return after the outage")
        self._changed()

    def _forget(self, target_id: str, reason: str) -> None:
        if self.target_by_id.pop(target_id, None) is not None:
            self.kernel.get(Events).emit("target_gone", target=target_id, reason=reason)


def _age(target: Target) -> tuple[int, int]:
    return target.born, target.sequence
