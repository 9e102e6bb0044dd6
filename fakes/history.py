"""Histories of concurrent operations, and one checker for each guarantee.

A client records ``invoke`` when it sends a request and ``ok``, ``fail`` or
``unknown`` when it knows the outcome; both carry the same ``id``. What a target or a
host actually did is recorded as ``ok`` without an ``invoke``. Times are in seconds
of the loop's clock.
"""

from collections import defaultdict
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from typing import Any

INVOKE = "invoke"
OK = "ok"
FAIL = "fail"
UNKNOWN = "unknown"
LEAVING_GRACE_SECONDS = 5.0
CHANGE_PROPAGATION_SECONDS = 10.0
VIEW_STALENESS_SECONDS = 5.0


@dataclass(frozen=True)
class Operation:
    """One entry of a history; ``host`` is the host that received the request."""

    kind: str
    name: str
    id: str
    at: float
    host: str = ""
    value: dict[str, Any] = field(default_factory=dict)


@dataclass(frozen=True)
class Violation:
    """One case in which a guarantee did not hold."""

    guarantee: str
    detail: str
    at: float


class History:
    """The operations of one simulation, in the order in which they were recorded."""

    def __init__(self) -> None:
        self.operations: list[Operation] = []

    def record(
        self, kind: str, name: str, id: str, at: float, host: str = "", **value: Any
    ) -> None:
        """Add one operation."""
        self.operations.append(Operation(kind, name, id, at, host, value))

    def select(self, name: str, *kinds: str) -> Iterator[Operation]:
        """Yield the operations called ``name``, only of ``kinds`` if any are given."""
        for operation in self.operations:
            if operation.name == name and (not kinds or operation.kind in kinds):
                yield operation


def stamps_true(history: History) -> list[Violation]:
    """Check that each sample names the versions that produced it.

    Compares ``sample`` with ``made`` (both: slot, engine, versions).
    """
    produced: dict[Any, list[Any]] = defaultdict(list)
    for operation in history.select("made", OK):
        value = operation.value
        produced[value["engine"], value["slot"]].append(value["versions"])
    violations = []
    for operation in history.select("sample", OK):
        value = operation.value
        produced_versions = produced[value["engine"], value["slot"]]
        if value["versions"] not in produced_versions:
            detail = (
                f"{value['slot']} says {value['versions']}, not {produced_versions}"
            )
            violations.append(Violation("stamps_true", detail, operation.at))
    return violations


def samples_fresh(history: History) -> list[Violation]:
    """Check that no sample exceeds its workload's freshness bound when handed over.

    A version counts for a hand-over (``handed``: workload, stated, bound, oldest) at
    once if the request stated it or the same host acknowledged it (``version``). A
    version that another host acknowledged counts after
    :data:`VIEW_STALENESS_SECONDS`.
    """
    violations = []
    versions = list(history.select("version", OK))
    for operation in history.select("handed", OK):
        value = operation.value
        newest = value["stated"]
        for version in versions:
            if version.value["workload"] != value["workload"]:
                continue
            grace = 0.0 if version.host == operation.host else VIEW_STALENESS_SECONDS
            if version.at + grace < operation.at:
                newest = max(newest, version.value["version"])
        if value["oldest"] < newest - value["bound"]:
            detail = f"{value['slot']}: {value['oldest']} while {newest} is newest"
            violations.append(Violation("samples_fresh", detail, operation.at))
    return violations


def samples_once(history: History) -> list[Violation]:
    """Check that no sample reaches its trainer more than once."""
    violations = []
    delivered: set[Any] = set()
    for operation in history.select("sample", OK):
        slot = (operation.value["trainer"], operation.value["slot"])
        if slot in delivered:
            violations.append(
                Violation("samples_once", f"{slot} was delivered again", operation.at)
            )
        delivered.add(slot)
    return violations


def answers_whole(history: History) -> list[Violation]:
    """Check that each answer is complete and belongs to its own request.

    ``got`` must equal ``due``: the echo of a call's token, or a sample's text.
    """
    violations = []
    for name in ("call", "sample"):
        for operation in history.select(name, OK):
            if operation.value["got"] != operation.value["due"]:
                detail = f"{operation.id}: got {str(operation.value['got'])[:80]}"
                violations.append(Violation("answers_whole", detail, operation.at))
    return violations


def refusals_true(history: History) -> list[Violation]:
    """Check that calls and changes that were refused as not run did not run.

    Compares each ``fail`` with ``not_run`` with ``ran`` (calls) and ``applied``
    (changes). A change that was sent several times counts as refused only if every
    attempt was refused.
    """
    ran = {operation.value["request"] for operation in history.select("ran", OK)}
    violations = []
    for operation in history.select("call", FAIL):
        if operation.value.get("not_run") and operation.id in ran:
            detail = f"{operation.id} was run"
            violations.append(Violation("refusals_true", detail, operation.at))
    applied = {operation.id for operation in history.select("applied", OK)}
    outcomes: dict[str, list[Operation]] = defaultdict(list)
    for operation in history.select("change", OK, FAIL, UNKNOWN):
        outcomes[operation.id].append(operation)
    for change_id, operations in outcomes.items():
        refused = all(
            each.kind == FAIL and each.value.get("not_run") for each in operations
        )
        if refused and change_id in applied:
            detail = f"change {change_id} was applied"
            violations.append(Violation("refusals_true", detail, operations[-1].at))
    return violations


def run_at_most_once(history: History) -> list[Violation]:
    """Check that a non-repeatable request, by key or by id, runs at most once."""
    violations = []
    run_identities: set[Any] = set()
    for operation in history.select("ran", OK):
        value = operation.value
        if value.get("repeatable"):
            continue
        identity = value["key"] or value["request"]
        if identity in run_identities:
            detail = f"{identity} ran again at {value['target']}"
            violations.append(Violation("run_at_most_once", detail, operation.at))
        run_identities.add(identity)
    return violations


def leaving_left_alone(history: History) -> list[Violation]:
    """Check that a leaving target starts no work after a grace period.

    Compares ``began`` with ``leaving``, plus :data:`LEAVING_GRACE_SECONDS`.
    """
    leaving_at_by_target = {
        each.value["target"]: each.at for each in history.select("leaving", OK)
    }
    violations = []
    for operation in history.select("began", OK):
        leaving_at = leaving_at_by_target.get(operation.value["target"])
        if leaving_at is None or operation.at <= leaving_at + LEAVING_GRACE_SECONDS:
            continue
        detail = (
            f"{operation.id} at {operation.value['target']}, leaving since {leaving_at}"
        )
        violations.append(Violation("leaving_left_alone", detail, operation.at))
    return violations


def stop_cuts_nothing(history: History) -> list[Violation]:
    """Check that a graceful stop broke no request that the host had accepted.

    ``drain`` is the start of the stop. ``cut`` is a client's connection that the host
    closed without a complete answer, a refusal or ``moved``.
    """
    drains: dict[str, list[float]] = defaultdict(list)
    for operation in history.select("drain", INVOKE):
        drains[operation.host].append(operation.at)
    violations = []
    for operation in history.select("cut", OK):
        if any(at <= operation.at for at in drains[operation.host]):
            detail = f"{operation.id} at {operation.host}: {operation.value['why']}"
            violations.append(Violation("stop_cuts_nothing", detail, operation.at))
    return violations


def changes_in_force(history: History) -> list[Violation]:
    """Check that accepted changes reach all hosts in time and are never reverted.

    ``view`` is a host's state: its offset, the offset that it could read from the log
    or a reachable peer (``knowable``), and the generation of each resource. ``change``
    with ``ok`` has the offset of the change.
    """
    return _views_never_revert(history) + _views_in_time(history)


def _views_never_revert(history: History) -> list[Violation]:
    violations = []
    last_view_by_host: dict[str, Operation] = {}
    for operation in history.select("view", OK):
        before = last_view_by_host.get(operation.id)
        last_view_by_host[operation.id] = operation
        if before is None:
            continue
        known = before.value["generations"]
        shown = operation.value["generations"]
        for resource, generation in known.items():
            if shown.get(resource, 0) < generation:
                detail = f"{operation.id}: {resource} fell below {generation}: {shown}"
                violations.append(Violation("changes_in_force", detail, operation.at))
    return violations


def _views_in_time(history: History) -> list[Violation]:
    violations = []
    views_by_host: dict[str, list[Operation]] = defaultdict(list)
    for operation in history.select("view", OK):
        views_by_host[operation.id].append(operation)
    for change in history.select("change", OK):
        for host_views in views_by_host.values():
            grace_start = change.at
            for view in host_views:
                value = view.value
                if value["knowable"] < change.value["offset"]:
                    grace_start = view.at
                    continue
                if view.at < grace_start + CHANGE_PROPAGATION_SECONDS:
                    continue
                resource, generation = change.value["resource"]
                if value["generations"].get(resource, 0) < generation:
                    detail = f"{view.id} lacks {resource} generation {generation}"
                    violations.append(Violation("changes_in_force", detail, view.at))
                    break
    return violations


def steps_complete(history: History) -> list[Violation]:
    """Check that each step ends before its deadline, with a sample for each slot.

    Compares ``step`` ``invoke`` (slots, limit in seconds) with ``step`` ``ok`` and the
    ``sample`` operations.
    """
    received: dict[str, set[Any]] = defaultdict(set)
    for operation in history.select("sample", OK):
        received[operation.value["step"]].add(operation.value["slot"])
    ended_at_by_step = {
        operation.id: operation.at for operation in history.select("step", OK)
    }
    violations = []
    for operation in history.select("step", INVOKE):
        deadline = operation.at + operation.value["limit"]
        at = ended_at_by_step.get(operation.id)
        if at is None or at > deadline:
            detail = f"step {operation.id} ended at {at}, due at {deadline}"
            violations.append(Violation("steps_complete", detail, deadline))
            continue
        missing = set(operation.value["slots"]) - received[operation.id]
        if missing:
            detail = f"step {operation.id} lacks {sorted(missing)[:3]}"
            violations.append(Violation("steps_complete", detail, at))
    return violations


CHECKER_BY_GUARANTEE: dict[str, Callable[[History], list[Violation]]] = {
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
    """Return the violations that all checkers find."""
    violations = []
    for check in CHECKER_BY_GUARANTEE.values():
        violations += check(history)
    return violations
