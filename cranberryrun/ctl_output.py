"""What ``cranberryctl`` prints: tables, JSON, errors with advice, exit codes."""

from __future__ import annotations

import json
from enum import IntEnum
from typing import Any

import click

from .exceptions import (
    ChangeUnknownError,
    ControlError,
    CranberryrunError,
    HostsUnreachableError,
    ProblemAnswerError,
    UsageError,
)

_GAP = "  "


class ExitCode(IntEnum):
    """The exit codes of ``cranberryctl``."""

    OK = 0
    FAILED = 1
    USAGE = 2
    NOT_FOUND = 3
    CONFLICT = 4
    UNAVAILABLE = 5
    UNKNOWN = 6


_EXIT_BY_STATUS = {
    400: ExitCode.USAGE,
    404: ExitCode.NOT_FOUND,
    409: ExitCode.CONFLICT,
    413: ExitCode.USAGE,
    422: ExitCode.USAGE,
    429: ExitCode.UNAVAILABLE,
    502: ExitCode.UNKNOWN,
    503: ExitCode.UNAVAILABLE,
    504: ExitCode.UNKNOWN,
}
_ADVICE_BY_CODE = {
    "unauthorized": "give --token, or set CRANBERRYCTL_TOKEN",
    "forbidden": "use a token with the operator role",
    "conflict": "look with `describe`, then apply again to the generation you saw",
    "input_invalid": "correct the field and apply again",
    "not_ready": "the host is starting or stopping; give another --host",
    "log_unavailable": "nothing was changed; try again once the log is back",
    "watch_expired": "watch again without --from",
    "too_large": "the host's limits.body_bytes bounds what it takes",
}


def exit_code(error: CranberryrunError) -> ExitCode:
    """Return the exit code that says what kind of failure ``error`` is."""
    if isinstance(error, ProblemAnswerError):
        return _EXIT_BY_STATUS.get(error.answer_status, ExitCode.FAILED)
    if isinstance(error, UsageError):
        return ExitCode.USAGE
    if isinstance(error, HostsUnreachableError):
        return ExitCode.UNAVAILABLE
    if isinstance(error, ChangeUnknownError):
        return ExitCode.UNKNOWN
    return ExitCode.FAILED


def advice(error: CranberryrunError) -> str:
    """Return what the user may do about ``error``; empty if nothing is known."""
    if isinstance(error, ProblemAnswerError):
        if error.answer_status == 404 and not error.answer_code:
            return "this host does not serve that; is it of an older release?"
        return _ADVICE_BY_CODE.get(error.answer_code, "")
    if isinstance(error, HostsUnreachableError):
        return "check the URLs given by --host or CRANBERRYCTL_HOST"
    if isinstance(error, ChangeUnknownError):
        change_id = error.extra.get("change_id")
        if change_id:
            return f"run the same command with --change-id {change_id}"
    return ""


def print_error(error: CranberryrunError, output: str) -> None:
    """Print ``error`` to standard error, as text or as a JSON object."""
    if output == "json":
        click.echo(json.dumps(_error_object(error)), err=True)
        return
    code = error.answer_code if isinstance(error, ProblemAnswerError) else error.code
    click.echo(f"cranberryctl: {code or error.code}: {error.detail}", err=True)
    if isinstance(error, ProblemAnswerError) and "generation" in error.body:
        click.echo(f"  current generation: {error.body['generation']}", err=True)
    hint = advice(error)
    if hint:
        click.echo(f"  {hint}", err=True)


def _error_object(error: CranberryrunError) -> dict[str, Any]:
    if isinstance(error, ProblemAnswerError):
        return {"code": error.code, "detail": error.detail} | error.body
    return {"code": error.code, "detail": error.detail} | error.extra


def table(headers: list[str], rows: list[list[Any]]) -> str:
    """Return ``rows`` under ``headers`` in columns."""
    texts = [[_text(cell) for cell in row] for row in rows]
    lines = [headers, *texts]
    widths = [max(len(line[n]) for line in lines) for n in range(len(headers))]
    return "\n".join(
        _GAP.join(cell.ljust(width) for cell, width in zip(line, widths)).rstrip()
        for line in lines
    )


def _text(cell: Any) -> str:
    if cell is None:
        return "-"
    if isinstance(cell, bool):
        return "yes" if cell else "no"
    if isinstance(cell, float):
        return f"{cell:g}"
    return str(cell)


def print_data(data: Any, output: str, text: str) -> None:
    """Print ``data`` as JSON, or else ``text``."""
    click.echo(json.dumps(data, indent=2) if output == "json" else text)


def condition(resource: dict[str, Any], kind: str) -> dict[str, Any]:
    """Return the condition ``kind`` of a resource; an empty one if there is none."""
    for each in resource.get("status", {}).get("conditions", []):
        if each["type"] == kind:
            return each
    return {"type": kind, "status": None, "reason": "", "message": ""}


def resource_table(items: list[dict[str, Any]]) -> str:
    """Return resources as a table, one line each."""
    rows = [
        [
            f"{item['kind']}/{item['name']}",
            item["metadata"]["generation"],
            condition(item, "InForce")["status"],
            _other_conditions(item),
        ]
        for item in items
    ]
    return table(["NAME", "GENERATION", "IN FORCE", "CONDITIONS"], rows)


def _other_conditions(item: dict[str, Any]) -> str:
    texts = []
    for each in item["status"]["conditions"]:
        if each["type"] == "InForce":
            continue
        sign = "" if each["status"] else "not "
        texts.append(f"{sign}{each['type']} ({each['message'] or each['reason']})")
    return ", ".join(texts)


def description(item: dict[str, Any]) -> str:
    """Return everything of one resource, for a person."""
    lines = [f"{item['kind']}/{item['name']}", "metadata:"]
    lines += [f"  {key}: {value}" for key, value in item["metadata"].items()]
    lines.append("spec:")
    for key, value in item["spec"].items():
        lines.append(f"  {key}: {json.dumps(value)}")
    lines.append("conditions:")
    for each in item["status"]["conditions"]:
        holds = "yes" if each["status"] else "no"
        lines.append(f"  {each['type']}: {holds} ({each['reason']}) {each['message']}")
    return "\n".join(lines)


def fail(error: ControlError, output: str) -> None:
    """Print ``error`` and end with its exit code."""
    print_error(error, output)
    raise SystemExit(int(exit_code(error)))
