"""Workspaces in the output and the comparisons of ``cranberryctl``."""

from __future__ import annotations

from datetime import datetime, timezone
from typing import Any

from .ctl_output import find_condition, format_table


def comparable_workspace(
    declared: dict[str, Any], current: dict[str, Any]
) -> dict[str, Any]:
    """Return a declared spec in the form in which hosts show specs.

    Hosts show no digests. An id stands for one key for good, so keys are compared by
    their ids.

    :param declared: the spec of a file, with defaults.
    :param current: the spec that hosts show, empty if the workspace does not exist.
    """
    known = current.get("keys") or []
    keys = declared.get("keys")
    if keys is None:
        return declared | {"keys": known}
    if not isinstance(keys, list) or not all(isinstance(key, dict) for key in keys):
        return declared
    known_by_id = {key["id"]: key for key in known}
    new = {"created_at": None}
    return declared | {
        "keys": [
            known_by_id.get(key.get("id"), new | {"id": key.get("id")}) for key in keys
        ]
    }


def workspace_table(items: list[dict[str, Any]]) -> str:
    """Format workspaces as a table, one line per key."""
    rows: list[list[Any]] = []
    for item in items:
        priority = item["spec"]["priority"]
        in_force = find_condition(item, "InForce")["status"]
        name = f"{item['kind']}/{item['name']}"
        for key in item["spec"]["keys"] or [{"id": None, "created_at": None}]:
            created = _format_time(key["created_at"])
            rows.append([name, priority, in_force, key["id"], created])
    return format_table(["NAME", "PRIORITY", "IN FORCE", "KEY", "CREATED"], rows)


def _format_time(seconds: float | None) -> str | None:
    if seconds is None:
        return None
    time = datetime.fromtimestamp(seconds, timezone.utc)
    return time.strftime("%Y-%m-%dT%H:%M:%SZ")
