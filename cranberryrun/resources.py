"""Declared resources: changes, status and watches."""

from __future__ import annotations

import asyncio
import uuid
from collections.abc import AsyncIterator, Callable
from typing import Any

from . import clock
from .configuration import Configuration
from .engines import Engine, Engines
from .exceptions import (
    ConflictError,
    CranberryrunError,
    InvalidInputError,
    NotFoundError,
    NotReadyError,
    WatchExpiredError,
)
from .kernel import Service
from .membership import Membership
from .models import KINDS, SPEC_BY_KIND, Change, check
from .peers import Peers
from .state import Outcome, Resource
from .versions import Versions

_STATUS_CHECK_INTERVAL_SECONDS = 0.5
_OFFSET_POLL_INTERVAL_SECONDS = 0.2
_HEADER_BY_FIELD = {"change_id": "Change-Id", "expected_generation": "If-Match"}
_MAX_LISTED_NAMES = 10
_BOOKMARK_INTERVAL_SECONDS = 10.0
_ERROR_BY_CODE: dict[str, type[CranberryrunError]] = {
    error.code: error for error in (ConflictError, InvalidInputError, NotFoundError)
}


class Resources(Service):
    """Reads, changes and watches of declared resources, for operators."""

    name = "resources"
    requires = ("configuration", "engines", "versions", "membership")

    def __init__(self) -> None:
        super().__init__()
        self._lagging_host_ids: set[str] = set()
        self._offset_poll_requested = asyncio.Event()

    async def start(self) -> None:
        """Start polling hosts that seem to lag for their applied offset."""
        self.supervise(self._poll_lagging_hosts)

    async def _poll_lagging_hosts(self) -> None:
        while True:
            await self._offset_poll_requested.wait()
            self._offset_poll_requested.clear()
            lagging, self._lagging_host_ids = self._lagging_host_ids, set()
            await self.kernel.get(Peers).ask_offsets(sorted(lagging))
            await asyncio.sleep(_OFFSET_POLL_INTERVAL_SECONDS)

    def check_kind(self, kind: str) -> str:
        """Return ``kind`` unchanged if it is a known kind of resource.

        :raises NotFoundError: there is no such kind.
        :raises NotReadyError: the host has no configuration yet.
        """
        if kind not in KINDS:
            raise NotFoundError(f"unknown kind {kind}; known kinds: {', '.join(KINDS)}")
        if not self.kernel.get(Configuration).ready.is_set():
            raise NotReadyError("the host has no configuration yet", retry_after=1)
        return kind

    def get(self, kind: str, name: str) -> Resource:
        """Return a resource.

        :raises NotFoundError: it is not declared.
        :raises NotReadyError: the host has no configuration yet.
        """
        resource = self.kernel.get(Configuration).state.get(self.check_kind(kind), name)
        if resource is None:
            raise NotFoundError(f"there is no {kind}/{name}")
        return resource

    def list(self, kind: str) -> tuple[list[dict[str, Any]], int]:
        """Return the resources of ``kind`` and the offset from which to watch them."""
        state = self.kernel.get(Configuration).state
        rows = [
            self.describe(resource) for resource in state.list(self.check_kind(kind))
        ]
        return rows, state.offset

    async def change(
        self,
        operation: str,
        kind: str,
        name: str,
        spec: Any,
        expected: int | None,
        change_id: str | None,
    ) -> Resource | None:
        """Put or delete a resource; return its new state, None after a delete.

        :param operation: ``put`` or ``delete``.
        :param expected: the generation that the resource must have; None uses the
            generation known to this host.
        :param change_id: an idempotency key; a retry with the same id returns the
            outcome of the first attempt. None generates one.
        :raises ConflictError: the resource has another generation.
        :raises InvalidInputError: a field is not valid.
        :raises NotFoundError: the kind is unknown or the resource to delete is not
            declared.
        """
        self.check_kind(kind)
        if operation == "put":
            check(SPEC_BY_KIND[kind], spec, "spec")
        configuration = self.kernel.get(Configuration)
        state = configuration.state
        generation = state.generation(kind, name)
        if expected is None:
            expected = generation
        is_repeat = change_id in state.outcome_by_change
        if operation == "put" and expected == generation and not is_repeat:
            # The log decides again; this refusal names the field and costs no record.
            state.complete_spec(kind, name, spec, 0.0)
        change = _parse_change(
            {
                "change_id": uuid.uuid4().hex if change_id is None else change_id,
                "kind": kind,
                "name": name,
                "expected_generation": expected,
                "operation": operation,
                "spec": spec,
                "host": self.kernel.get(Membership).id,
            },
        )
        outcome = await configuration.submit(change)
        _raise_rejected(change, outcome)
        return None if operation == "delete" else self._resource_after(change, outcome)

    def _resource_after(self, change: Change, outcome: Outcome) -> Resource:
        """Return the resource as ``change`` left it, also if it changed again since."""
        state = self.kernel.get(Configuration).state
        resource = state.by_key.get((change.kind, change.name))
        if resource is not None and resource.change_id == change.change_id:
            return resource
        return Resource(
            change.kind,
            change.name,
            outcome.generation,
            SPEC_BY_KIND[change.kind].model_validate(change.spec),
            outcome.offset,
            resource.changed_at if resource else 0.0,
            change.change_id,
        )

    def describe(self, resource: Resource) -> dict[str, Any]:
        """Return ``resource`` with its status as a JSON object."""
        return {
            "kind": resource.kind,
            "name": resource.name,
            "metadata": {
                "generation": resource.generation,
                "offset": resource.offset,
                "changed_at": resource.changed_at,
                "change_id": resource.change_id,
            },
            "spec": resource.spec.shown(),
            "status": self.status(resource),
        }

    def status(self, resource: Resource) -> dict[str, Any]:
        """Return the observed generation and the conditions of ``resource``."""
        conditions = [self._in_force_condition(resource)]
        if resource.kind == "engines":
            conditions += self._engine_conditions(resource)
        if resource.kind == "workloads":
            conditions += self._workload_conditions(resource)
        if resource.kind == "services":
            conditions += self._service_conditions(resource)
        status = {
            "observed_generation": resource.generation,
            "conditions": conditions,
        }
        if resource.kind == "engines":
            status["observed"] = self._observed_engine(resource)
        return status

    def _observed_engine(self, resource: Resource) -> dict[str, Any]:
        """Return the incarnation and the versions that the engine last reported."""
        engine = self.kernel.get(Engines).by_name.get(resource.name)
        if engine is None or engine.state is None:
            return {}
        versions = {
            workload: row.version for workload, row in engine.state.by_workload.items()
        }
        return {"incarnation": engine.state.incarnation, "versions": versions}

    def _in_force_condition(self, resource: Resource) -> dict[str, Any]:
        lagging = self.kernel.get(Membership).lagging_peer_ids(resource.offset)
        if not lagging:
            return _condition("InForce", True, "AppliedEverywhere", "")
        self._lagging_host_ids.update(lagging)
        self._offset_poll_requested.set()
        return _condition(
            "InForce",
            False,
            "HostsBehind",
            f"not yet applied on {_format_names(lagging)}",
        )

    def _engine_conditions(self, resource: Resource) -> list[dict[str, Any]]:
        engine = self.kernel.get(Engines).by_name.get(resource.name)
        if engine is None or engine.state is None:
            return [_condition("Ready", False, "NotHeard", "no answer received yet")]
        leaving = self.kernel.get(Membership).target_leaving(resource.name)
        if leaving:
            return [_condition("Ready", False, "Leaving", "draining; gets no new work")]
        if not engine.health.usable():
            return [_condition("Ready", False, "Failing", "in cooldown after failures")]
        if self.kernel.get(Engines).is_out_of_service(engine):
            message = "out of service: the engine fails to load a version"
            return [_condition("Ready", False, "LoadFailing", message)]
        versions = ", ".join(
            f"{workload}={row.version}"
            for workload, row in sorted(engine.state.by_workload.items())
        )
        return [_condition("Ready", True, "Answers", versions)]

    def _workload_conditions(self, resource: Resource) -> list[dict[str, Any]]:
        newest = self.kernel.get(Versions).newest(resource.name)
        engines = [
            engine
            for engine in self.kernel.get(Engines).by_name.values()
            if engine.spec.pool == resource.spec.pool
        ]
        if not engines:
            message = f"pool {resource.spec.pool} has no engines"
            return [_condition("EnginesCurrent", False, "NoEngines", message)]
        lagging = [
            engine.name
            for engine in engines
            if _loaded_version(engine, resource.name) < newest
        ]
        if lagging:
            message = f"version {newest} not yet loaded on {_format_names(lagging)}"
            return [_condition("EnginesCurrent", False, "Loading", message)]
        message = f"version {newest}" if newest >= 0 else "no version announced"
        return [_condition("EnginesCurrent", True, "AllCurrent", message)]

    def _service_conditions(self, resource: Resource) -> list[dict[str, Any]]:
        membership = self.kernel.get(Membership)
        if resource.spec.pool is not None:
            usable = len(self.kernel.get(Engines).usable(resource.spec.pool))
        else:
            usable = sum(
                not membership.target_leaving(target.id)
                for target in resource.spec.targets
            )
        if usable:
            return [_condition("Ready", True, "TargetsUsable", f"{usable} usable")]
        return [_condition("Ready", False, "NoTargets", "no usable target")]

    def check_watch_offset(self, offset: int | None) -> None:
        """Check that a watch can start at ``offset``.

        :raises WatchExpiredError: changes after ``offset`` are no longer retained.
        """
        configuration = self.kernel.get(Configuration)
        if offset is not None and offset + 1 < configuration.oldest_retained_offset():
            raise WatchExpiredError(
                f"changes after offset {offset} are no longer retained"
            )

    async def watch(
        self, kind: str, offset: int | None, should_end: Callable[[], bool]
    ) -> AsyncIterator[dict[str, Any]]:
        """Yield an event for each change after ``offset`` and for each new status.

        Without an offset, the watch starts with the current state of every
        resource. While nothing changes, periodic bookmarks give the offset up to
        which all changes were reported. Changes of one resource in quick
        succession may be reported as the last of them only.

        :param should_end: polled; the watch ends soon after it returns True.
        :raises WatchExpiredError: changes after ``offset`` are no longer retained.
        """
        configuration = self.kernel.get(Configuration)
        status_by_name: dict[str, Any] = {}
        if offset is None:
            offset = configuration.state.offset
            for resource in configuration.state.list(kind):
                status_by_name[resource.name] = self.status(resource)
                yield _watch_event("current", offset, self.describe(resource))
        yield _bookmark(offset)
        last_event_at = clock.now()
        while not should_end():
            self.check_watch_offset(offset)
            for event in self._new_watch_events(kind, offset, status_by_name):
                last_event_at = clock.now()
                yield event
            offset = max(offset, configuration.state.offset)
            if clock.now() - last_event_at >= _BOOKMARK_INTERVAL_SECONDS:
                last_event_at = clock.now()
                yield _bookmark(offset)
            await configuration.wait_past(offset, _STATUS_CHECK_INTERVAL_SECONDS)

    def _new_watch_events(
        self, kind: str, offset: int, status_by_name: dict[str, Any]
    ) -> list[dict[str, Any]]:
        """Return events for the changes after ``offset`` and for changed statuses."""
        configuration = self.kernel.get(Configuration)
        events: list[dict[str, Any]] = []
        for record in configuration.records_from(offset + 1):
            event = self._change_event(kind, record.value, record.offset)
            if event is None:
                continue
            resource = event["resource"]
            status_by_name[resource["name"]] = resource.get("status")
            events.append(event)
        for resource in configuration.state.list(kind):
            status = self.status(resource)
            last_status = status_by_name.get(resource.name)
            status_by_name[resource.name] = status
            if last_status != status:
                event = self.describe(resource)
                events.append(_watch_event("status", configuration.state.offset, event))
        return events

    def _change_event(
        self, kind: str, value: Any, offset: int
    ) -> dict[str, Any] | None:
        if not isinstance(value, dict) or value.get("kind") != kind:
            return None
        state = self.kernel.get(Configuration).state
        outcome = state.outcome_by_change.get(value.get("change_id"))
        if outcome is None or outcome.rejected or outcome.offset != offset:
            return None
        name = value["name"]
        if value["operation"] == "delete":
            return _watch_event("deleted", offset, {"kind": kind, "name": name})
        resource = state.get(kind, name)
        if resource is None or resource.offset != offset:
            return None
        return _watch_event("changed", offset, self.describe(resource))


def _loaded_version(engine: Engine, workload: str) -> int:
    version = engine.version_of(workload)
    return -1 if version is None else version


def _format_names(names: list[str]) -> str:
    """Return the first of the sorted ``names`` and the number of the others."""
    shown = ", ".join(sorted(names)[:_MAX_LISTED_NAMES])
    more = len(names) - _MAX_LISTED_NAMES
    return f"{shown} and {more} more" if more > 0 else shown


def _bookmark(offset: int) -> dict[str, Any]:
    return {"event": "bookmark", "offset": offset}


def _watch_event(event: str, offset: int, resource: dict) -> dict[str, Any]:
    return {"event": event, "offset": offset, "resource": resource}


def _parse_change(data: dict[str, Any]) -> Change:
    """Return the validated change; errors name the header that set the field."""
    try:
        return check(Change, data)
    except InvalidInputError as error:
        field = _HEADER_BY_FIELD.get(error.field or "", error.field)
        raise InvalidInputError(error.detail, field=field) from None


def _condition(kind: str, holds: bool, reason: str, message: str) -> dict[str, Any]:
    return {"type": kind, "status": holds, "reason": reason, "message": message}


def _raise_rejected(change: Change, outcome: Outcome) -> None:
    if outcome.rejected is None:
        return
    error = _ERROR_BY_CODE.get(outcome.rejected, ConflictError)
    text = (
        f"the change was rejected; {change.kind}/{change.name} was at generation "
        f"{outcome.generation}"
    )
    if error is ConflictError:
        text += f", not {change.expected_generation}: another change was applied first"
    raise error(
        text,
        change_id=change.change_id,
        generation=outcome.generation,
    )
