"""Parses declared resources, applies them and waits until they are in force."""

from __future__ import annotations

import asyncio
import difflib
import json
from collections.abc import Callable
from typing import Any
from urllib.parse import quote

from pydantic import Field, ValidationError

from . import clock
from .ctl_client import ControlClient, Request
from .ctl_errors import NotInForceError, ProblemAnswerError, UsageError
from .ctl_output import find_condition
from .ctl_workspaces import comparable_workspace
from .models import SPEC_BY_KIND, Model

_POLL_INTERVAL_SECONDS = 0.3
_PLURAL_BY_KIND = {
    "workload": "workloads",
    "engine": "engines",
    "service": "services",
    "workspace": "workspaces",
}
ProgressReporter = Callable[[str], None]


class DeclaredMetadata(Model):
    """Metadata in a file; if ``generation`` is given, it must be the current one."""

    generation: int | None = Field(default=None, ge=0)
    offset: int | None = None
    changed_at: float | None = None
    change_id: str | None = None


class DeclaredResource(Model):
    """One resource of a file; ``status`` is ignored."""

    kind: str
    name: str
    spec: dict[str, Any]
    metadata: DeclaredMetadata = Field(default_factory=DeclaredMetadata)
    status: Any = None


def plural(kind: str) -> str:
    """Return the name of ``kind`` in API paths; singular names are accepted."""
    return _PLURAL_BY_KIND.get(kind, kind)


def resource_path(kind: str, name: str) -> str:
    """Return the API path of one resource."""
    return f"/v1/{quote(plural(kind), safe='')}/{quote(name, safe='')}"


def parse_resources(text: str) -> list[DeclaredResource]:
    """Parse the resources of a JSON text: one object, a list, or ``{"items": [...]}``.

    :raises UsageError: with the position of invalid JSON, or the invalid field.
    """
    try:
        data = json.loads(text)
    except json.JSONDecodeError as error:
        raise UsageError(
            f"invalid JSON at line {error.lineno}, column {error.colno}: {error.msg}"
        ) from None
    if isinstance(data, dict) and set(data) >= {"items"}:
        data = data["items"]
    rows = data if isinstance(data, list) else [data]
    return [_validated_resource(row, n) for n, row in enumerate(rows)]


def _validated_resource(row: Any, n: int) -> DeclaredResource:
    try:
        declared = DeclaredResource.model_validate(row)
    except ValidationError as error:
        first = error.errors(include_url=False, include_input=False)[0]
        field = ".".join(str(part) for part in (n, *first["loc"]))
        raise UsageError(f"{field}: {first['msg']}", field=field) from None
    declared.kind = plural(declared.kind)
    return declared


def with_defaults(kind: str, spec: dict[str, Any]) -> dict[str, Any]:
    """Return ``spec`` with defaults filled in.

    A spec that is invalid, or of an unknown kind, is returned unchanged: the host
    reports the error.
    """
    model = SPEC_BY_KIND.get(kind)
    if model is None:
        return spec
    try:
        return model.model_validate(spec).model_dump(mode="json")
    except ValidationError:
        return spec


async def fetch_resource(client: ControlClient, kind: str, name: str) -> dict | None:
    """Return the resource as the hosts have it now, None if it does not exist."""
    try:
        return await client.get(resource_path(kind, name))
    except ProblemAnswerError as error:
        if error.answer_status == 404 and kind in SPEC_BY_KIND:
            return None
        raise


def spec_diff(declared: DeclaredResource, current: dict[str, Any] | None) -> str:
    """Return a unified diff from the current to the declared spec; empty if equal."""
    current_lines = _spec_lines(current["spec"]) if current else []
    spec = with_defaults(declared.kind, declared.spec)
    if declared.kind == "workspaces":
        spec = comparable_workspace(spec, current["spec"] if current else {})
    declared_lines = _spec_lines(spec)
    name = f"{declared.kind}/{declared.name}"
    return "\n".join(
        difflib.unified_diff(
            current_lines,
            declared_lines,
            f"{name} (current)",
            f"{name} (file)",
            lineterm="",
        )
    )


def _spec_lines(spec: dict[str, Any]) -> list[str]:
    return json.dumps(spec, indent=2, sort_keys=True).splitlines()


class ResourceApplier:
    """Applies declared resources one after another.

    :param change_id: id of the whole apply; the change of resource ``n`` gets
        ``<change_id>.<n>``.
    :param repeated: the change id was used before. Resources are then sent without
        a comparison to their current spec, so that the hosts return the
        outcome of the earlier change.
    :param report_progress: gets one line of text per resource.
    """

    def __init__(
        self,
        client: ControlClient,
        change_id: str,
        repeated: bool,
        report_progress: ProgressReporter,
    ) -> None:
        self._client = client
        self._change_id = change_id
        self._repeated = repeated
        self._report_progress = report_progress

    async def apply(self, declared: DeclaredResource, n: int) -> dict[str, Any]:
        """Apply resource ``n`` of the file.

        :return: the resource, with ``result``: created, changed or unchanged.
        """
        name = f"{declared.kind}/{declared.name}"
        current = None
        if not self._repeated:
            current = await fetch_resource(self._client, declared.kind, declared.name)
        if current is not None and not spec_diff(declared, current):
            self._report_progress(f"{name} unchanged")
            return current | {"result": "unchanged"}
        headers: dict[str, str] = {}
        if declared.metadata.generation is not None:
            headers["If-Match"] = f'"{declared.metadata.generation}"'
        changed = await self._client.send(
            Request(
                "PUT",
                resource_path(declared.kind, declared.name),
                {"spec": declared.spec},
                headers=headers,
                change_id=f"{self._change_id}.{n}",
            )
        )
        generation = changed["metadata"]["generation"]
        result = "created" if generation == 1 else "changed"
        self._report_progress(f"{name} {result}: generation {generation}")
        return changed | {"result": result}


async def wait_in_force(
    client: ControlClient,
    resource: dict[str, Any],
    timeout: float,
    report_progress: ProgressReporter,
) -> dict[str, Any]:
    """Wait until ``resource`` is in force on every live host and return it.

    :param timeout: seconds to wait at most.
    :raises NotInForceError: the resource was not in force everywhere in time.
    """
    name = f"{resource['kind']}/{resource['name']}"
    generation = resource["metadata"]["generation"]
    deadline = clock.now() + timeout
    last_message = None
    while True:
        latest = await client.get(resource_path(resource["kind"], resource["name"]))
        in_force = find_condition(latest, "InForce")
        if latest["metadata"]["generation"] >= generation and in_force["status"]:
            report_progress(f"{name} is in force everywhere")
            return latest
        if in_force["message"] != last_message:
            last_message = in_force["message"]
            report_progress(f"{name}: {last_message}")
        if clock.now() > deadline:
            raise NotInForceError(
                f"{name} is not in force after {timeout:g} s: {last_message}"
            )
        await asyncio.sleep(_POLL_INTERVAL_SECONDS)
