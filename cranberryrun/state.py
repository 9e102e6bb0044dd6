"""The configuration state, computed from the log alone and equal on all hosts."""

from __future__ import annotations

import json
from collections import OrderedDict
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

import xxhash
from pydantic import ValidationError
from returns.result import Failure, Result, Success

from .exceptions import (
    ConflictError,
    CranberryrunError,
    InvalidInputError,
    NotFoundError,
)
from .models import SPEC_BY_KIND, Change, Model, SnapshotRecord, VersionRecord, check
from .workspaces.declared import check_unshared, complete_spec, keyring_of
from .workspaces.keyring import Keyring

if TYPE_CHECKING:
    from .log import Record

Key = tuple[str, str]
_MAX_OUTCOMES = 4_000
_MAX_DELETED_RESOURCES = 10_000
_WORKSPACES = "workspaces"


@dataclass(frozen=True, slots=True)
class Resource:
    """A declared resource.

    ``offset`` is the offset of the log record that set the current generation;
    ``changed_at`` is that record's time in seconds since 1970.
    """

    kind: str
    name: str
    generation: int
    spec: Any
    offset: int
    changed_at: float
    change_id: str
    deleted: bool = False


@dataclass(frozen=True, slots=True)
class Outcome:
    """The outcome of a change.

    ``generation`` is the generation of the resource after the change; ``rejected``
    is the code of the error that rejected it, None if it was applied. ``digest``
    detects a change id that was reused for a different change.
    """

    offset: int
    generation: int
    rejected: str | None = None
    digest: str = ""


def digest_of(change: Change) -> str:
    """Return a digest that is equal for retries of a change and differs otherwise."""
    content = [change.kind, change.name, change.operation, change.spec]
    return xxhash.xxh3_64_hexdigest(json.dumps(content, sort_keys=True).encode())


@dataclass(slots=True)
class ConfigState:
    """All resources and weight versions after the record at ``offset``.

    ``snapshot_time`` is the log time of the last snapshot or, without one, of the
    first record, in seconds since 1970; 0 if no record was applied yet.
    """

    offset: int = -1
    snapshot_time: float = 0.0
    by_key: dict[Key, Resource] = field(default_factory=dict)
    version_by_workload: dict[str, int] = field(default_factory=dict)
    outcome_by_change: OrderedDict[str, Outcome] = field(default_factory=OrderedDict)
    _keyring: Keyring | None = field(default=None, repr=False, compare=False)
    _keyring_outdated: bool = field(default=True, repr=False, compare=False)

    @property
    def keyring(self) -> Keyring | None:
        """The keys of the declared workspaces; None if there are no workspaces."""
        if self._keyring_outdated:
            earlier = self._keyring
            self._keyring = keyring_of(
                {resource.name: resource.spec for resource in self.list(_WORKSPACES)}
            )
            if self._keyring is not None and earlier is not None:
                self._keyring.follow(earlier)
            self._keyring_outdated = False
        return self._keyring

    def get(self, kind: str, name: str) -> Resource | None:
        """Return the resource, or None if it was never declared or is deleted."""
        resource = self.by_key.get((kind, name))
        if resource is None or resource.deleted:
            return None
        return resource

    def list(self, kind: str) -> list[Resource]:
        """Return the declared resources of ``kind``, sorted by name."""
        matching = [
            resource
            for (resource_kind, _), resource in self.by_key.items()
            if resource_kind == kind and not resource.deleted
        ]
        return sorted(matching, key=lambda resource: resource.name)

    def generation(self, kind: str, name: str) -> int:
        """Return the generation that a change must expect; 0 for an unknown name."""
        resource = self.by_key.get((kind, name))
        return resource.generation if resource else 0

    def apply(
        self, offset: int, time: float, value: Any
    ) -> Result[Resource | VersionRecord | None, CranberryrunError]:
        """Apply the record at ``offset``; skip a record that was already applied.

        The result is a failure if the record is not valid or the change is rejected.
        """
        if offset <= self.offset:
            return Success(None)
        self.offset = offset
        self.snapshot_time = self.snapshot_time or time
        record_type = value.get("record") if isinstance(value, dict) else None
        try:
            if record_type == "change":
                return self._apply_change(offset, time, Change.model_validate(value))
            if record_type == "version":
                return self._apply_version(VersionRecord.model_validate(value))
        except ValidationError as error:
            return Failure(InvalidInputError(f"record {offset}: {error}"))
        if record_type == "snapshot":
            self.snapshot_time = max(self.snapshot_time, time)
            return Success(None)
        return Failure(InvalidInputError(f"record {offset} is of an unknown type"))

    def _apply_version(self, record: VersionRecord) -> Result[Any, CranberryrunError]:
        known_version = self.version_by_workload.get(record.workload, -1)
        self.version_by_workload[record.workload] = max(known_version, record.version)
        return Success(record)

    def _apply_change(
        self, offset: int, time: float, change: Change
    ) -> Result[Any, CranberryrunError]:
        if change.change_id in self.outcome_by_change:
            return Success(None)
        key = (change.kind, change.name)
        generation = self.generation(*key)
        digest = digest_of(change)
        error = self._find_rejection(change, generation, time)
        if error is not None:
            outcome = Outcome(offset, generation, error.code, digest)
            self._record_outcome(change.change_id, outcome)
            return Failure(error)
        resource = Resource(
            kind=change.kind,
            name=change.name,
            generation=generation + 1,
            spec=self._parse_spec(change, time),
            offset=offset,
            changed_at=time,
            change_id=change.change_id,
            deleted=change.operation == "delete",
        )
        self.by_key[key] = resource
        if change.kind == _WORKSPACES:
            self._keyring_outdated = True
        outcome = Outcome(offset, generation + 1, None, digest)
        self._record_outcome(change.change_id, outcome)
        if resource.deleted:
            self._evict_oldest_deleted()
        return Success(resource)

    def _evict_oldest_deleted(self) -> None:
        """Drop the resource deleted longest ago if too many deleted ones are kept."""
        deleted = [key for key, resource in self.by_key.items() if resource.deleted]
        if len(deleted) <= _MAX_DELETED_RESOURCES:
            return
        del self.by_key[min(deleted, key=lambda key: self.by_key[key].offset)]

    def _find_rejection(
        self, change: Change, generation: int, time: float
    ) -> CranberryrunError | None:
        if change.expected_generation != generation:
            return ConflictError(
                f"{change.kind}/{change.name} is at generation {generation}, "
                f"not {change.expected_generation}",
                generation=generation,
            )
        if change.operation == "delete":
            if self.get(change.kind, change.name) is None:
                return NotFoundError(f"there is no {change.kind}/{change.name}")
            return None
        try:
            self.complete_spec(change.kind, change.name, change.spec, time)
        except InvalidInputError as error:
            return error
        return None

    def _parse_spec(self, change: Change, time: float) -> Model | None:
        if change.operation == "delete":
            return None
        return self.complete_spec(change.kind, change.name, change.spec, time)

    def complete_spec(self, kind: str, name: str, spec: Any, time: float) -> Model:
        """Return the spec that a put at ``time`` would store.

        :param time: in seconds since 1970.
        :raises InvalidInputError: a field is not valid; names the field.
        """
        parsed = check(SPEC_BY_KIND[kind], spec, "spec")
        if kind != _WORKSPACES:
            return parsed
        current = self.get(kind, name)
        completed = complete_spec(parsed, current.spec if current else None, time)
        check_unshared(name, completed, self.keyring)
        return completed

    def _record_outcome(self, change_id: str, outcome: Outcome) -> None:
        self.outcome_by_change[change_id] = outcome
        while len(self.outcome_by_change) > _MAX_OUTCOMES:
            self.outcome_by_change.popitem(last=False)

    def dump(self) -> dict[str, Any]:
        """Return the state as a JSON object, except its offset.

        Workspaces have a field of their own, which is left out if none was ever
        declared: builds before them refuse a snapshot with an unknown kind among the
        resources, and ignore other fields.
        """
        resources: list[list[Any]] = []
        workspaces: list[list[Any]] = []
        for _, resource in sorted(self.by_key.items()):
            row = _resource_row(resource)
            (workspaces if resource.kind == _WORKSPACES else resources).append(row)
        outcomes = [
            [
                change_id,
                outcome.offset,
                outcome.generation,
                outcome.rejected,
                outcome.digest,
            ]
            for change_id, outcome in self.outcome_by_change.items()
        ]
        state = {
            "resources": resources,
            "versions": dict(sorted(self.version_by_workload.items())),
            "outcomes": outcomes,
            "snapshot_time": self.snapshot_time,
        }
        return state | ({_WORKSPACES: workspaces} if workspaces else {})

    def snapshot(self, host: str) -> SnapshotRecord:
        """Return the state as a snapshot record, written by ``host``."""
        return SnapshotRecord(covers=self.offset, state=self.dump(), host=host)

    @classmethod
    def load(cls, snapshot: SnapshotRecord) -> ConfigState:
        """Return the state that ``snapshot`` holds.

        :raises InvalidInputError: the snapshot is malformed or incomplete.
        """
        state = cls(offset=snapshot.covers)
        try:
            for row in snapshot.state["resources"]:
                state._load_resource(row)
            for row in snapshot.state.get(_WORKSPACES, ()):
                state._load_resource(row)
            for workload, version in snapshot.state["versions"].items():
                state.version_by_workload[workload] = int(version)
            for change_id, *row in snapshot.state["outcomes"]:
                state.outcome_by_change[change_id] = Outcome(*row)
            state.snapshot_time = float(snapshot.state["snapshot_time"])
        except (KeyError, ValueError, TypeError, AttributeError) as error:
            raise InvalidInputError(f"the snapshot is malformed: {error!r}") from None
        return state

    def _load_resource(self, row: list[Any]) -> None:
        kind, name, generation, spec, offset, changed_at, change_id, deleted = row
        model = SPEC_BY_KIND[kind]
        self.by_key[kind, name] = Resource(
            kind,
            name,
            generation,
            None if spec is None else model.model_validate(spec),
            offset,
            changed_at,
            change_id,
            deleted,
        )

    def keep_workspaces(self, earlier: ConfigState) -> None:
        """Take over the workspaces of ``earlier`` that this state does not have.

        For a state that was loaded from the snapshot of a build without workspaces:
        without them, calls would need no key.
        """
        for key, resource in earlier.by_key.items():
            if resource.kind == _WORKSPACES:
                self.by_key.setdefault(key, resource)


def _resource_row(resource: Resource) -> list[Any]:
    return [
        resource.kind,
        resource.name,
        resource.generation,
        resource.spec.model_dump(mode="json") if resource.spec else None,
        resource.offset,
        resource.changed_at,
        resource.change_id,
        resource.deleted,
    ]


def has_workspaces(snapshot: SnapshotRecord) -> bool:
    """Return whether a host that knows of workspaces wrote ``snapshot`` with some."""
    return _WORKSPACES in snapshot.state


def newest_snapshot(
    records: Sequence[Record], min_offset: int
) -> SnapshotRecord | None:
    """Return the newest valid snapshot in ``records`` covering ``min_offset``.

    If one has workspaces, those without are passed over: hosts of an earlier build
    wrote them, and without the workspaces calls would need no key.
    """
    newest: SnapshotRecord | None = None
    for record in reversed(records):
        value = record.value
        if not isinstance(value, dict) or value.get("record") != "snapshot":
            continue
        try:
            snapshot = SnapshotRecord.model_validate(value)
            if newest is not None and not has_workspaces(snapshot):
                continue
            ConfigState.load(snapshot)
        except (ValidationError, InvalidInputError):
            continue
        if not min_offset <= snapshot.covers < record.offset:
            continue
        if has_workspaces(snapshot):
            return snapshot
        newest = snapshot
    return newest
