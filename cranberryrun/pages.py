"""Writes the pages that follow from the code: ``python -m cranberryrun.pages docs``."""

from __future__ import annotations

import json
from pathlib import Path
from types import UnionType
from typing import Annotated, Any, Literal, Union, get_args, get_origin

import click
from pydantic import BaseModel
from pydantic.fields import FieldInfo

from .catalogue import EVENT_BY_NAME
from .models import EngineSpec, ServiceSpec, ServiceTarget, WorkloadSpec
from .platform.settings import BoundSettings, HostSettings, StoreSettings
from .settings import (
    LimitSettings,
    LogSettings,
    Settings,
    TimingSettings,
    TlsSettings,
    TokenSettings,
)

_EVENTS_HEAD = """# Events

Each host writes numbered events to its log, one JSON object a line, and keeps the
newest of them (`limits.event_ring`) for the time line. A number is never used again
for another event. This page is written by `make pages`.

Every event has `n` (counts from 0 in its process), `wall` (seconds since 1970, UTC),
`loop` (seconds on the process's clock), `host`, `incarnation`, `number` and `event`.
Fields that link events keep one name everywhere: `step`, `request`, `change`,
`offset`, `stream`, `engine`, `workload`.

`cranberryctl timeline` merges the events of all hosts, and `cranberryctl explain`
tells the story of one step, request or change. In the merged order the events of one
process keep their order, and a cause stands before its effects at other hosts, also
where clocks disagree.

| number | event | level | meaning |
|---|---|---|---|
"""
_CONFIGURATION_HEAD = """# Configuration

A host reads its settings from one JSON file when it starts: `cranberryrund FILE`.
What may change while it runs is declared through the API instead (`API.md`). This
page is written by `make pages`.

    cranberryrund --print-default-settings      # a file to start from
    cranberryrund --check-settings FILE         # exit 0 if valid, else 2 and the field
    cranberryrund --print-settings-schema       # JSON Schema; also settings.schema.json

A key that is not known is an error. Times are in seconds, sizes in bytes.
"""
_MODELS = (
    ("Settings", "", Settings),
    ("log", "", LogSettings),
    ("tls", "", TlsSettings),
    ("tokens", "A list of these.", TokenSettings),
    ("timing", "All in seconds.", TimingSettings),
    ("limits", "", LimitSettings),
    ("Workloads", "The `spec` of `/v1/workloads/{name}`.", WorkloadSpec),
    ("Engines", "The `spec` of `/v1/engines/{name}`.", EngineSpec),
    ("Services", "The `spec` of `/v1/services/{name}`.", ServiceSpec),
    ("A service's targets", "A list of these.", ServiceTarget),
)
_PLATFORM_HEAD = """
# On the users' platform

The platform renders `deploy/settings.json` at each start and puts it where the
variable `CRANBERRYRUN_SETTINGS` says. `python -m cranberryrun.platform
--check-settings` checks it. On SIGHUP the file is read again: `settings_read` says
which fields changed, they come into force at the next start; a bad file is
`settings_kept`, and the old one holds. Times are in milliseconds here, as the
platform gives them.
"""
_PLATFORM_MODELS = (
    ("Host", "", HostSettings),
    ("store", "", StoreSettings),
    ("bounds", "", BoundSettings),
)
_BOUND_SIGNS = {"ge": "≥", "gt": ">", "le": "≤", "lt": "<"}


def event_page() -> str:
    """Return the page of the events."""
    rows = sorted(EVENT_BY_NAME.values(), key=lambda kind: kind.number)
    lines = [
        f"| {kind.number} | `{kind.name}` | {kind.level} | {kind.meaning} |"
        for kind in rows
    ]
    return _EVENTS_HEAD + "\n".join(lines) + "\n"


def configuration_page() -> str:
    """Return the page of the settings and of the resources' specs."""
    parts = [_CONFIGURATION_HEAD]
    parts += _tables(_MODELS)
    parts.append(_PLATFORM_HEAD)
    parts += _tables(_PLATFORM_MODELS)
    return "".join(parts)


def _tables(models: tuple[tuple[str, str, type[BaseModel]], ...]) -> list[str]:
    parts = []
    for title, text, model in models:
        parts.append(f"\n## {title}\n\n" + (f"{text}\n\n" if text else ""))
        parts.append("| field | value | default | meaning |\n|---|---|---|---|\n")
        parts += [
            _field_row(name, field) + "\n" for name, field in model.model_fields.items()
        ]
    return parts


def _field_row(name: str, field: FieldInfo) -> str:
    default = "required"
    if not field.is_required():
        default = _default(field.get_default(call_default_factory=True))
    value = ", ".join([_value(field.annotation), *_bounds(field)])
    return f"| `{name}` | {value} | {default} | {field.description} |"


def _default(value: Any) -> str:
    if isinstance(value, BaseModel):
        return "see below"
    return f"`{json.dumps(value)}`"


def _value(annotation: Any) -> str:
    origin = get_origin(annotation)
    if origin is Annotated:
        return _value(get_args(annotation)[0])
    if origin is Literal:
        return " or ".join(f"`{value}`" for value in get_args(annotation))
    if origin is list:
        return f"list of {_value(get_args(annotation)[0])}"
    if origin in (Union, UnionType):
        kinds = [kind for kind in get_args(annotation) if kind is not type(None)]
        return " or ".join(_value(kind) for kind in kinds)
    if isinstance(annotation, type) and issubclass(annotation, BaseModel):
        return "object"
    return {"str": "text", "int": "whole number", "float": "number"}.get(
        annotation.__name__, annotation.__name__
    )


def _bounds(field: FieldInfo) -> list[str]:
    found: list[str] = []
    for each in field.metadata:
        for name, sign in _BOUND_SIGNS.items():
            bound = getattr(each, name, None)
            if bound is not None:
                found.append(f"{sign} {bound}")
    return found


def settings_schema() -> str:
    """Return the JSON Schema of the settings."""
    return json.dumps(Settings.model_json_schema(), indent=2) + "\n"


@click.command()
@click.argument("folder", type=click.Path(file_okay=False, path_type=Path))
def main(folder: Path) -> None:
    """Write the pages into FOLDER."""
    for name, text in (
        ("EVENTS.md", event_page()),
        ("CONFIGURATION.md", configuration_page()),
        ("settings.schema.json", settings_schema()),
    ):
        (folder / name).write_text(text, encoding="utf-8")


if __name__ == "__main__":
    main()
