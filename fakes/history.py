"""Histories of concurrent runs, and one checker for each promise.

A client notes ``invoke`` when it asks and ``ok``, ``fail`` or ``unknown`` when it
knows what came of it; the same ``id`` links the two. What a target or a host
truly did is noted as ``ok`` alone. Times are in loop seconds.
"""

from collections import defaultdict
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from typing import Any

INVOKE = "invoke"
OK = "ok"
FAIL = "fail"
UNKNOWN = "unknown"
LEAVE_SECONDS = 5.0
IN_FORCE_SECONDS = 10.0
VIEW_SECONDS = 5.0


@dataclass(frozen=True)
class Operation:
    """One line of a history; ``host`` is the entry host that it went through."""

    kind: str
    name: str
    id: str
    at: float
    host: str = ""
    value: dict[str, Any] = field(default_factory=dict)


@dataclass(frozen=True)
class Violation:
    """One promise that did not hold."""

    promise: str
    detail: str
    at: float


class History:
    """The operations of one run, in the order in which they were noted."""

    def __init__(self) -> None:
        self.operations: list[Operation] = []

    def note(
        self, kind: str, name: str, id: str, at: float, host: str = "", **value: Any
    ) -> None:
        """Add one operation."""
        self.operations.append(Operation(kind, name, id, at, host, value))

    def of(self, name: str, *kinds: str) -> Iterator[Operation]:
        """Yield the operations called ``name``, of some kinds if any are given."""
        for operation in self.operations:
            if operation.name == name and (not kinds or operation.kind in kinds):
                yield operation


def stamps_true(history: History) -> list[Violation]:
    """Each sample names the versions that truly made it.

    ``sample`` (slot, engine, versions) against ``made`` (slot, engine, versions).
    """
    made: dict[Any, list[Any]] = defaultdict(list)
    for operation in history.of("made", OK):
        value = operation.value
        made[value["engine"], value["slot"]].append(value["versions"])
    found = []
    for operation in history.of("sample", OK):
        value = operation.value
        truths = made[value["engine"], value["slot"]]
        if value["versions"] not in truths:
            detail = f"{value['slot']} says {value['versions']}, made were {truths}"
            found.append(Violation("stamps_true", detail, operation.at))
    return found


def samples_fresh(history: History) -> list[Violation]:
    """No sample that is handed over is over its workload's freshness bound.

    A version counts for a hand-over (``handed``: workload, stated, bound,
    oldest) at once where the call stated it or the same host acknowledged it,
    and :data:`VIEW_SECONDS` after another host acknowledged it (``version``).
    """
    found = []
    versions = list(history.of("version", OK))
    for operation in history.of("handed", OK):
        value = operation.value
        newest = value["stated"]
        for version in versions:
            if version.value["workload"] != value["workload"]:
                continue
            grace = 0.0 if version.host == operation.host else VIEW_SECONDS
            if version.at + grace < operation.at:
                newest = max(newest, version.value["version"])
        if value["oldest"] < newest - value["bound"]:
            detail = f"{value['slot']}: {value['oldest']} while {newest} is newest"
            found.append(Violation("samples_fresh", detail, operation.at))
    return found


def samples_once(history: History) -> list[Violation]:
    """Each sample reaches its trainer once."""
    found = []
    seen: set[Any] = set()
    for operation in history.of("sample", OK):
        slot = (operation.value["trainer"], operation.value["slot"])
        if slot in seen:
            found.append(Violation("samples_once", f"{slot} again", operation.at))
        seen.add(slot)
    return found


def answers_whole(history: History) -> list[Violation]:
    """Each answer is the whole one to its own request.

    ``got`` must equal ``due``: the echo of a call's token, a sample's text.
    """
    found = []
    for name in ("call", "sample"):
        for operation in history.of(name, OK):
            if operation.value["got"] != operation.value["due"]:
                detail = f"{operation.id}: got {str(operation.value['got'])[:80]}"
                found.append(Violation("answers_whole", detail, operation.at))
    return found


def refusals_true(history: History) -> list[Violation]:
    """What was refused as not run was not run: calls and changes.

    A ``fail`` with ``not_run`` against ``ran`` (request) and ``applied`` (change).
    A change id that was asked for again counts by its last attempts together.
    """
    ran = {operation.value["request"] for operation in history.of("ran", OK)}
    found = []
    for operation in history.of("call", FAIL):
        if operation.value.get("not_run") and operation.id in ran:
            detail = f"{operation.id} was run"
            found.append(Violation("refusals_true", detail, operation.at))
    applied = {operation.id for operation in history.of("applied", OK)}
    outcomes: dict[str, list[Operation]] = defaultdict(list)
    for operation in history.of("change", OK, FAIL, UNKNOWN):
        outcomes[operation.id].append(operation)
    for change_id, operations in outcomes.items():
        refused = all(
            each.kind == FAIL and each.value.get("not_run") for each in operations
        )
        if refused and change_id in applied:
            detail = f"change {change_id} was applied"
            found.append(Violation("refusals_true", detail, operations[-1].at))
    return found


def run_at_most_once(history: History) -> list[Violation]:
    """A request that may not be repeated runs at most once, by key or by id."""
    found = []
    seen: set[Any] = set()
    for operation in history.of("ran", OK):
        value = operation.value
        if value.get("repeatable"):
            continue
        identity = value["key"] or value["request"]
        if identity in seen:
            detail = f"{identity} ran again at {value['target']}"
            found.append(Violation("run_at_most_once", detail, operation.at))
        seen.add(identity)
    return found


def leaving_left_alone(history: History) -> list[Violation]:
    """A target that leaves (``leaving``) begins no work later than a few seconds."""
    since = {each.value["target"]: each.at for each in history.of("leaving", OK)}
    found = []
    for operation in history.of("began", OK):
        at = since.get(operation.value["target"])
        if at is None or operation.at <= at + LEAVE_SECONDS:
            continue
        detail = f"{operation.id} at {operation.value['target']}, leaving since {at}"
        found.append(Violation("leaving_left_alone", detail, operation.at))
    return found


def stop_cuts_nothing(history: History) -> list[Violation]:
    """No request that a host took was cut off by its planned stop.

    ``drain`` marks the stop; ``cut`` is a client's connection that the host ended
    without a whole answer, a refusal or ``moved``.
    """
    drains: dict[str, list[float]] = defaultdict(list)
    for operation in history.of("drain", INVOKE):
        drains[operation.host].append(operation.at)
    found = []
    for operation in history.of("cut", OK):
        if any(at <= operation.at for at in drains[operation.host]):
            detail = f"{operation.id} at {operation.host}: {operation.value['why']}"
            found.append(Violation("stop_cuts_nothing", detail, operation.at))
    return found


def changes_in_force(history: History) -> list[Violation]:
    """An accepted change is in force everywhere in time and never reverts.

    ``view`` is what a host showed: offset, the offset it could know (log or a
    peer within reach), generation by resource. ``change`` ok has its offset.
    """
    return _views_never_revert(history) + _views_in_time(history)


def _views_never_revert(history: History) -> list[Violation]:
    found = []
    last: dict[str, Operation] = {}
    for operation in history.of("view", OK):
        before = last.get(operation.id)
        last[operation.id] = operation
        if before is None:
            continue
        known = before.value["generations"]
        shown = operation.value["generations"]
        for resource, generation in known.items():
            if shown.get(resource, 0) < generation:
                detail = f"{operation.id}: {resource} went back to {shown}"
                found.append(Violation("changes_in_force", detail, operation.at))
    return found


def _views_in_time(history: History) -> list[Violation]:
    found = []
    views: dict[str, list[Operation]] = defaultdict(list)
    for operation in history.of("view", OK):
        views[operation.id].append(operation)
    for change in history.of("change", OK):
        for rows in views.values():
            due = change.at
            for row in rows:
                value = row.value
                if value["knowable"] < change.value["offset"]:
                    due = row.at
                    continue
                if row.at < due + IN_FORCE_SECONDS:
                    continue
                resource, generation = change.value["resource"]
                if value["generations"].get(resource, 0) < generation:
                    detail = f"{row.id} lacks {resource} generation {generation}"
                    found.append(Violation("changes_in_force", detail, row.at))
                    break
    return found


def steps_complete(history: History) -> list[Violation]:
    """Each step ends in time, with each of its slots received.

    ``step`` invoke (slots, limit in seconds) and ok; ``sample`` for each slot.
    """
    received: dict[str, set[Any]] = defaultdict(set)
    for operation in history.of("sample", OK):
        received[operation.value["step"]].add(operation.value["slot"])
    ended = {operation.id: operation.at for operation in history.of("step", OK)}
    found = []
    for operation in history.of("step", INVOKE):
        limit = operation.at + operation.value["limit"]
        at = ended.get(operation.id)
        if at is None or at > limit:
            detail = f"step {operation.id} ended at {at}, due at {limit}"
            found.append(Violation("steps_complete", detail, limit))
            continue
        missing = set(operation.value["slots"]) - received[operation.id]
        if missing:
            detail = f"step {operation.id} lacks {sorted(missing)[:3]}"
            found.append(Violation("steps_complete", detail, at))
    return found


CHECKER_BY_PROMISE: dict[str, Callable[[History], list[Violation]]] = {
    check.__name__: check
    for check in (
        stamps_true,
        samples_fresh,
        samples_once,
        answers_whole,
        refusals_true,
        run_at_most_once,
        leaving_left_alone,
        stop_cuts_nothing,
        changes_in_force,
        steps_complete,
    )
}


def check_all(history: History) -> list[Violation]:
    """Return what any checker finds."""
    found = []
    for check in CHECKER_BY_PROMISE.values():
        found += check(history)
    return found
