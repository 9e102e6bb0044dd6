"""Declaring resources from a file: apply, compare, and wait until in force."""

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
from .ctl_output import condition
from .exceptions import NotInForceError, ProblemAnswerError, UsageError
from .models import SPEC_BY_KIND, Model

_POLL_SECONDS = 0.3
_PLURAL_BY_KIND = {"workload": "workloads", "engine": "engines", "service": "services"}
Progress = Callable[[str], None]


class DeclaredMetadata(Model):
    """Metadata in a file: ``generation`` is what the resource must have now."""

    generation: int | None = Field(default=None, ge=0)
    offset: int | None = None
    changed_at: float | None = None
    change_id: str | None = None


class DeclaredResource(Model):
    """One resource of a file; ``status`` is passed over."""

    kind: str
    name: str
    spec: dict[str, Any]
    metadata: DeclaredMetadata = Field(default_factory=DeclaredMetadata)
    status: Any = None


def plural(kind: str) -> str:
    """Return the API's name of ``kind``, which may be given in the singular."""
    return _PLURAL_BY_KIND.get(kind, kind)


def path_of(kind: str, name: str) -> str:
    """Return the path of one resource."""
    return f"/v1/{quote(plural(kind), safe='')}/{quote(name, safe='')}"


def parse_resources(text: str) -> list[DeclaredResource]:
    """Return the resources of a JSON text: one object or a list.

    :raises UsageError: naming the line of bad JSON, or the field at fault.
    """
    try:
        data = json.loads(text)
    except json.JSONDecodeError as error:
        raise UsageError(
            f"line {error.lineno}, column {error.colno}: {error.msg}"
        ) from None
    if isinstance(data, dict) and set(data) >= {"items"}:
        data = data["items"]
    rows = data if isinstance(data, list) else [data]
    return [_declared(row, n) for n, row in enumerate(rows)]


def _declared(row: Any, n: int) -> DeclaredResource:
    try:
        declared = DeclaredResource.model_validate(row)
    except ValidationError as error:
        first = error.errors(include_url=False, include_input=False)[0]
        field = ".".join(str(part) for part in (n, *first["loc"]))
        raise UsageError(f"{field}: {first['msg']}", field=field) from None
    declared.kind = plural(declared.kind)
    return declared


def with_defaults(kind: str, spec: dict[str, Any]) -> dict[str, Any]:
    """Return ``spec`` with its defaults; as it is where only the host can judge."""
    model = SPEC_BY_KIND.get(kind)
    if model is None:
        return spec
    try:
        return model.model_validate(spec).model_dump(mode="json")
    except ValidationError:
        return spec


async def current(client: ControlClient, kind: str, name: str) -> dict | None:
    """Return the resource as it is, None if there is none."""
    try:
        return await client.get(path_of(kind, name))
    except ProblemAnswerError as error:
        if error.answer_status == 404 and kind in SPEC_BY_KIND:
            return None
        raise


def difference(declared: DeclaredResource, known: dict[str, Any] | None) -> str:
    """Return a unified diff from what is to what is declared; empty if equal."""
    before = _pretty(known["spec"]) if known else []
    after = _pretty(with_defaults(declared.kind, declared.spec))
    name = f"{declared.kind}/{declared.name}"
    return "\n".join(
        difflib.unified_diff(
            before, after, f"{name} (now)", f"{name} (file)", lineterm=""
        )
    )


def _pretty(spec: dict[str, Any]) -> list[str]:
    return json.dumps(spec, indent=2, sort_keys=True).splitlines()


class Apply:
    """Applies declared resources one after another.

    :param change_id: the id of the whole apply; each resource gets its own from it.
    """

    def __init__(
        self, client: ControlClient, change_id: str, repeated: bool, say: Progress
    ) -> None:
        self._client = client
        self._change_id = change_id
        self._repeated = repeated
        self._say = say

    async def one(self, declared: DeclaredResource, n: int) -> dict[str, Any]:
        """Apply one resource and return it with what was done."""
        name = f"{declared.kind}/{declared.name}"
        known = None
        if not self._repeated:
            known = await current(self._client, declared.kind, declared.name)
        if known is not None and not difference(declared, known):
            self._say(f"{name} unchanged")
            return known | {"result": "unchanged"}
        headers: dict[str, str] = {}
        if declared.metadata.generation is not None:
            headers["If-Match"] = f'"{declared.metadata.generation}"'
        changed = await self._client.send(
            Request(
                "PUT",
                path_of(declared.kind, declared.name),
                {"spec": declared.spec},
                headers=headers,
                change_id=f"{self._change_id}.{n}",
            )
        )
        generation = changed["metadata"]["generation"]
        result = "created" if generation == 1 else "changed"
        self._say(f"{name} {result}: generation {generation}")
        return changed | {"result": result}


async def wait_in_force(
    client: ControlClient,
    resource: dict[str, Any],
    seconds: float,
    say: Progress,
) -> dict[str, Any]:
    """Wait until ``resource`` is in force on every live host and return it.

    :raises NotInForceError: it was not within ``seconds``.
    """
    name = f"{resource['kind']}/{resource['name']}"
    generation = resource["metadata"]["generation"]
    deadline = clock.now() + seconds
    told = None
    while True:
        seen = await client.get(path_of(resource["kind"], resource["name"]))
        in_force = condition(seen, "InForce")
        if seen["metadata"]["generation"] >= generation and in_force["status"]:
            say(f"{name} is in force everywhere")
            return seen
        if in_force["message"] != told:
            told = in_force["message"]
            say(f"{name} {told}")
        if clock.now() > deadline:
            raise NotInForceError(f"{name} after {seconds:g} s: {told}")
        await asyncio.sleep(_POLL_SECONDS)
