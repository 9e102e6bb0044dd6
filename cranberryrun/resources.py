"""Declared resources: changing them, their status, and watching both."""

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

_STATUS_SECONDS = 0.5
_ASK_SECONDS = 0.2
_HEADER_BY_FIELD = {"change_id": "Change-Id", "expected_generation": "If-Match"}
_SHOWN_NAMES = 10
_BOOKMARK_SECONDS = 10.0
_ERROR_BY_CODE: dict[str, type[CranberryrunError]] = {
    error.code: error for error in (ConflictError, InvalidInputError, NotFoundError)
}


class Resources(Service):
    """The operators' side of the configuration."""

    name = "resources"
    requires = ("configuration", "engines", "versions", "membership")

    def __init__(self) -> None:
        super().__init__()
        self._behind: set[str] = set()
        self._asked = asyncio.Event()

    async def start(self) -> None:
        """Begin to ask hosts that seem to be behind how far they are."""
        self.supervise(self._ask_behind)

    async def _ask_behind(self) -> None:
        while True:
            await self._asked.wait()
            self._asked.clear()
            behind, self._behind = self._behind, set()
            await self.kernel.get(Peers).ask_offsets(sorted(behind))
            await asyncio.sleep(_ASK_SECONDS)

    def kind(self, kind: str) -> str:
        """Return ``kind`` if there are such resources; :raises NotFoundError:."""
        if kind not in KINDS:
            raise NotFoundError(f"there are no {kind}; there are {', '.join(KINDS)}")
        if not self.kernel.get(Configuration).ready.is_set():
            raise NotReadyError("the host has no configuration yet", retry_after=1)
        return kind

    def get(self, kind: str, name: str) -> Resource:
        """Return a resource; :raises NotFoundError:."""
        resource = self.kernel.get(Configuration).state.get(self.kind(kind), name)
        if resource is None:
            raise NotFoundError(f"there is no {kind}/{name}")
        return resource

    def list(self, kind: str) -> tuple[list[dict[str, Any]], int]:
        """Return all resources of ``kind`` and the offset to watch from."""
        state = self.kernel.get(Configuration).state
        rows = [self.describe(resource) for resource in state.list(self.kind(kind))]
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
        """Put or delete a resource and return it as it then is, None if deleted.

        :param expected: the generation it must have now; None takes the known one.
        :param change_id: the same id again gets the outcome of the first time.
        """
        self.kind(kind)
        if operation == "put":
            check(SPEC_BY_KIND[kind], spec, "spec")
        configuration = self.kernel.get(Configuration)
        if expected is None:
            expected = configuration.state.generation(kind, name)
        change = _checked(
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
        return None if operation == "delete" else self._made_by(change, outcome)

    def _made_by(self, change: Change, outcome: Outcome) -> Resource:
        """Return the resource as ``change`` made it, also if it has changed since."""
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
            "spec": resource.spec.model_dump(mode="json"),
            "status": self.status(resource),
        }

    def status(self, resource: Resource) -> dict[str, Any]:
        """Return the observed generation and the conditions of ``resource``."""
        conditions = [self._in_force(resource)]
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
            status["observed"] = self._engine_observed(resource)
        return status

    def _engine_observed(self, resource: Resource) -> dict[str, Any]:
        """Return what the engine last said of itself, without its exact load."""
        engine = self.kernel.get(Engines).by_name.get(resource.name)
        if engine is None or engine.state is None:
            return {}
        versions = {
            workload: row.version for workload, row in engine.state.by_workload.items()
        }
        return {"incarnation": engine.state.incarnation, "versions": versions}

    def _in_force(self, resource: Resource) -> dict[str, Any]:
        behind = self.kernel.get(Membership).behind(resource.offset)
        if not behind:
            return _condition("InForce", True, "AppliedEverywhere", "")
        self._behind.update(behind)
        self._asked.set()
        return _condition(
            "InForce", False, "HostsBehind", f"not yet at {_some(behind)}"
        )

    def _engine_conditions(self, resource: Resource) -> list[dict[str, Any]]:
        engine = self.kernel.get(Engines).by_name.get(resource.name)
        if engine is None or engine.state is None:
            return [_condition("Ready", False, "NotHeard", "no answer so far")]
        leaving = self.kernel.get(Membership).target_leaving(resource.name)
        if leaving:
            return [_condition("Ready", False, "Leaving", "gets no new work")]
        if not engine.health.usable():
            return [_condition("Ready", False, "Failing", "out for a while")]
        if self.kernel.get(Engines).is_out_of_service(engine):
            message = "its owner took it out: a version can't be loaded"
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
            message = f"no engine is in pool {resource.spec.pool}"
            return [_condition("EnginesCurrent", False, "NoEngines", message)]
        behind = [
            engine.name
            for engine in engines
            if _version(engine, resource.name) < newest
        ]
        if behind:
            message = f"version {newest} not yet at {_some(behind)}"
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
        return [_condition("Ready", False, "NoTargets", "no target may be used")]

    def check_watch(self, offset: int | None) -> None:
        """:raises WatchExpiredError: changes after ``offset`` are no longer kept."""
        configuration = self.kernel.get(Configuration)
        if offset is not None and offset + 1 < configuration.first_kept():
            raise WatchExpiredError(f"changes after {offset} are no longer kept")

    async def watch(
        self, kind: str, offset: int | None, ended: Callable[[], bool]
    ) -> AsyncIterator[dict[str, Any]]:
        """Yield each change after ``offset``, and each change of status.

        With no offset: first every resource as it is. Where nothing happens for a
        while, a bookmark says up to which offset all was told. Several changes of
        one resource that come together are told as the last of them. The watch
        ends soon after ``ended()`` holds.

        :raises WatchExpiredError: changes after ``offset`` are no longer kept.
        """
        configuration = self.kernel.get(Configuration)
        status_by_name: dict[str, Any] = {}
        if offset is None:
            offset = configuration.state.offset
            for resource in configuration.state.list(kind):
                status_by_name[resource.name] = self.status(resource)
                yield _watch_event("current", offset, self.describe(resource))
        yield _bookmark(offset)
        told_at = clock.now()
        while not ended():
            self.check_watch(offset)
            for event in self._news(kind, offset, status_by_name):
                told_at = clock.now()
                yield event
            offset = max(offset, configuration.state.offset)
            if clock.now() - told_at >= _BOOKMARK_SECONDS:
                told_at = clock.now()
                yield _bookmark(offset)
            await configuration.wait_past(offset, _STATUS_SECONDS)

    def _news(
        self, kind: str, offset: int, status_by_name: dict[str, Any]
    ) -> list[dict[str, Any]]:
        """Return the events after ``offset``, and those of a changed status."""
        configuration = self.kernel.get(Configuration)
        news: list[dict[str, Any]] = []
        for record in configuration.recent(offset + 1):
            event = self._changed(kind, record.value, record.offset)
            if event is None:
                continue
            resource = event["resource"]
            status_by_name[resource["name"]] = resource.get("status")
            news.append(event)
        for resource in configuration.state.list(kind):
            status = self.status(resource)
            known = status_by_name.get(resource.name)
            status_by_name[resource.name] = status
            if known != status:
                event = self.describe(resource)
                news.append(_watch_event("status", configuration.state.offset, event))
        return news

    def _changed(self, kind: str, value: Any, offset: int) -> dict[str, Any] | None:
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


def _version(engine: Engine, workload: str) -> int:
    version = engine.version_of(workload)
    return -1 if version is None else version


def _some(names: list[str]) -> str:
    """Return the first of ``names``, and how many more there are."""
    shown = ", ".join(sorted(names)[:_SHOWN_NAMES])
    more = len(names) - _SHOWN_NAMES
    return f"{shown} and {more} more" if more > 0 else shown


def _bookmark(offset: int) -> dict[str, Any]:
    return {"event": "bookmark", "offset": offset}


def _watch_event(event: str, offset: int, resource: dict) -> dict[str, Any]:
    return {"event": event, "offset": offset, "resource": resource}


def _checked(data: dict[str, Any]) -> Change:
    """Return the change; an error names the header that the caller gave."""
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
    text = f"{change.kind}/{change.name} was at generation {outcome.generation}"
    if error is ConflictError:
        text += f", not {change.expected_generation}: another change came first"
    raise error(
        text,
        change_id=change.change_id,
        generation=outcome.generation,
    )
