"""The output of ``cranberryctl``: tables, JSON, errors with advice, exit codes."""

from __future__ import annotations

import json
from enum import IntEnum
from typing import Any

import click

from .ctl_errors import (
    ChangeUnknownError,
    ControlError,
    HostsUnreachableError,
    ProblemAnswerError,
    UsageError,
)
from .exceptions import CranberryrunError

_COLUMN_SEPARATOR = "  "


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
    "conflict": "look up the generation with `describe`, then apply again with it",
    "input_invalid": "correct the field and apply again",
    "not_ready": "the host is starting or stopping; use another --host",
    "log_unavailable": "nothing was changed; retry when the log is available again",
    "watch_expired": "watch again without --from",
    "too_large": "the setting limits.body_bytes of the host limits the request size",
}


def exit_code(error: CranberryrunError) -> ExitCode:
    """Return the exit code for the kind of ``error``."""
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
    """Return what the user can do about ``error``; empty if there is no advice."""
    if isinstance(error, ProblemAnswerError):
        if error.answer_status == 404 and not error.answer_code:
            return "this host does not serve the path; it may run an older release"
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


def format_table(headers: list[str], rows: list[list[Any]]) -> str:
    """Format ``rows`` as text in aligned columns below ``headers``."""
    texts = [[_cell_text(cell) for cell in row] for row in rows]
    lines = [headers, *texts]
    widths = [max(len(line[n]) for line in lines) for n in range(len(headers))]
    return "\n".join(
        _COLUMN_SEPARATOR.join(
            cell.ljust(width) for cell, width in zip(line, widths)
        ).rstrip()
        for line in lines
    )


def _cell_text(cell: Any) -> str:
    if cell is None:
        return "-"
    if isinstance(cell, bool):
        return "yes" if cell else "no"
    if isinstance(cell, float):
        return f"{cell:g}"
    return str(cell)


def print_data(data: Any, output: str, text: str) -> None:
    """Print ``data`` as JSON if ``output`` is ``json``, else ``text``."""
    click.echo(json.dumps(data, indent=2) if output == "json" else text)


def find_condition(resource: dict[str, Any], kind: str) -> dict[str, Any]:
    """Return the condition of type ``kind``; one with empty values if it is missing."""
    for condition in resource.get("status", {}).get("conditions", []):
        if condition["type"] == kind:
            return condition
    return {"type": kind, "status": None, "reason": "", "message": ""}


def resource_table(items: list[dict[str, Any]]) -> str:
    """Format resources as a table, one line per resource."""
    rows = [
        [
            f"{item['kind']}/{item['name']}",
            item["metadata"]["generation"],
            find_condition(item, "InForce")["status"],
            _other_conditions(item),
        ]
        for item in items
    ]
    return format_table(["NAME", "GENERATION", "IN FORCE", "CONDITIONS"], rows)


def _other_conditions(item: dict[str, Any]) -> str:
    texts = []
    for condition in item["status"]["conditions"]:
        if condition["type"] == "InForce":
            continue
        negation = "" if condition["status"] else "not "
        texts.append(
            f"{negation}{condition['type']} "
            f"({condition['message'] or condition['reason']})"
        )
    return ", ".join(texts)


def description(item: dict[str, Any]) -> str:
    """Format all fields of one resource as text."""
    lines = [f"{item['kind']}/{item['name']}", "metadata:"]
    lines += [f"  {key}: {value}" for key, value in item["metadata"].items()]
    lines.append("spec:")
    for key, value in item["spec"].items():
        lines.append(f"  {key}: {json.dumps(value)}")
    lines.append("conditions:")
    for condition in item["status"]["conditions"]:
        status = "yes" if condition["status"] else "no"
        lines.append(
            f"  {condition['type']}: {status} ({condition['reason']}) "
            f"{condition['message']}"
        )
    return "\n".join(lines)


def exit_with_error(error: ControlError, output: str) -> None:
    """Print ``error`` and exit with its exit code."""
    print_error(error, output)
    raise SystemExit(int(exit_code(error)))
