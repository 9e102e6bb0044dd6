"""Records what callers observed and checks it against the guarantees."""

from __future__ import annotations

from collections import Counter, defaultdict
from dataclasses import dataclass, field

from . import workspaces
from .duties import check_holders, check_reports
from .testbed import (
    ITEM_EVENTS,
    LONG_ITEM_EVENTS,
    MAX_ATTEMPTS,
    OPERATOR_TOPIC,
    Testbed,
)

# The users' rule on limits counts from this time after a target first named one.
_LIMIT_GRACE_SECONDS = 3.0
_LIMIT_WINDOW_SECONDS = 4.0
# No item starts later than this after the end of its batch was confirmed.
_CANCEL_SECONDS = 3.0
# Statuses which guarantee that the request was not executed and never will be.
NOT_EXECUTED_STATUSES = frozenset({401, 408, 421, 429, 503})


@dataclass(slots=True)
class ObservedBatch:
    """State of a batch as observed by the trainer that submitted it."""

    id: str
    min_version: int
    items: frozenset[str]
    scored_items: frozenset[str] = frozenset()
    accepted: bool = False
    deleted_at: float | None = None
    workspace: str | None = None
    result_by_position: dict[int, dict] = field(default_factory=dict)


def score_id(item: str) -> str:
    """Return the id of an item's reward call."""
    return f"score-of-{item}"


class History:
    """Collects observations; ``violations`` describes each violated guarantee."""

    def __init__(self) -> None:
        self.violations: list[str] = []
        self.statuses: Counter[str] = Counter()
        self.unsafe_statuses: defaultdict[str, list[int | None]] = defaultdict(list)
        self.batch_by_id: dict[str, ObservedBatch] = {}
        self.key_by_attempt: dict[str, str | None] = {}
        self.steps_whole = 0
        self.steps_short = 0

    def add_violation(self, description: str) -> None:
        """Record a violated guarantee."""
        self.violations.append(description)

    def check_response(
        self, attempt_id: str, status: int, body: bytes, headers: dict
    ) -> None:
        """Check the response to a plain request."""
        self.statuses[str(status)] += 1
        if status >= 300:
            return
        if body != b"answer to " + attempt_id.encode():
            self.add_violation(f"{attempt_id}: unexpected response body {body[:60]!r}")
        if headers.get("X-Cranberryrun-Attempt-Id") != attempt_id:
            self.add_violation(f"{attempt_id}: the response belongs to another attempt")
        if "X-Cranberryrun-Server-Signature" not in headers:
            self.add_violation(f"{attempt_id}: the response has no server signature")

    def check_page(self, batch: ObservedBatch, after: int, page: dict) -> None:
        """Check a page of results for consistency with the pages read before."""
        if page["total"] != len(batch.items):
            self.add_violation(
                f"{batch.id}: total is {page['total']}, expected {len(batch.items)}"
            )
        for position, result in enumerate(page["results"], after):
            previous = batch.result_by_position.setdefault(position, result)
            if previous != result:
                self.add_violation(
                    f"{batch.id}: the result at position {position} changed"
                )
        ids = Counter(result["id"] for result in batch.result_by_position.values())
        for item, count in ids.items():
            if count > 1:
                self.add_violation(f"{batch.id}: item {item} has {count} positions")
            if item not in batch.items:
                self.add_violation(f"{batch.id}: item {item} belongs to another batch")

    def check_permanent_key(self, attempt_id: str, status: int) -> None:
        """Check the status of a call with a key that every manifest holds."""
        if status == 401:
            self.add_violation(f"{attempt_id}: 401, but every manifest held its key")

    def check_foreign_call(self, batch: ObservedBatch, call: str, status: int) -> None:
        """Check the status of a call for a batch without a key of its workspace."""
        if status < 300:
            self.add_violation(
                f"{batch.id} of {batch.workspace}: {call} without a key of this"
                f" workspace got {status}"
            )

    def check_features(self, testbed: Testbed) -> None:
        """Check what workspaces and duties guarantee, after all hosts have ended."""
        if testbed.workspaces is not None:
            workspace_by_item = {
                item: batch.workspace
                for batch in self.batch_by_id.values()
                for item in batch.items
            }
            self.violations += workspaces.check_targets(
                testbed.workspaces.workspace_by_key,
                self.key_by_attempt,
                workspace_by_item,
                testbed.targets,
            )
            self.violations += workspaces.check_stored_text(
                testbed.store, OPERATOR_TOPIC, testbed.folder
            )
        if testbed.api is not None:
            self.violations += check_reports(testbed.api.carried_out)
            self.violations += check_holders(testbed.api.calls)

    def check_targets(self, testbed: Testbed) -> None:
        """Check the records of the targets after all callers have stopped."""
        executions: Counter[str] = Counter()
        for target in testbed.targets:
            executions.update(target.executed_requests)
        for attempt_id, count in executions.items():
            if count > 1 and attempt_id in self.unsafe_statuses:
                self.add_violation(
                    f"{attempt_id}: executed {count} times, but the route is unsafe"
                )
        for attempt_id, statuses in self.unsafe_statuses.items():
            if executions[attempt_id] and any(
                status in NOT_EXECUTED_STATUSES for status in statuses
            ):
                self.add_violation(
                    f"{attempt_id}: executed, but its statuses {statuses}"
                    " claim that it was not"
                )
        self._check_results(testbed)
        self._check_fencing_tokens(testbed)
        self._check_limits(testbed)

    def _check_results(self, testbed: Testbed) -> None:
        versions: defaultdict[tuple[str, int], set[int]] = defaultdict(set)
        for target in testbed.targets:
            for item, number, version in target.generated_events:
                versions[item, number].add(version)
        for batch in self.batch_by_id.values():
            for result in batch.result_by_position.values():
                if result["state"] == "succeeded":
                    self._check_result(batch, result, versions, testbed)
                elif batch.deleted_at is None and not self._may_be_lost(
                    batch, result["id"], testbed
                ):
                    self.add_violation(f"{batch.id}: item {result['id']} was lost")

    def _may_be_lost(self, batch: ObservedBatch, item: str, testbed: Testbed) -> bool:
        """Return whether the item's reward call failed as often as it may."""
        if item not in batch.scored_items:
            return False
        failed_runs = sum(
            target.failed_runs_by_attempt[score_id(item)] for target in testbed.targets
        )
        return failed_runs >= MAX_ATTEMPTS

    def _check_result(
        self,
        batch: ObservedBatch,
        result: dict,
        versions: dict[tuple[str, int], set[int]],
        testbed: Testbed,
    ) -> None:
        item = result["id"]
        count = LONG_ITEM_EVENTS if item.startswith("long") else ITEM_EVENTS
        expected_text = "\n".join(f"{item}/{n}" for n in range(1, count + 1))
        if result["text"] != expected_text:
            self.add_violation(
                f"{batch.id}: the text of {item} is not its complete output"
            )
        generated_by = set().union(*(versions[item, n] for n in range(1, count + 1)))
        if not set(result["versions"]) <= generated_by:
            self.add_violation(
                f"{item}: reported versions {result['versions']}, "
                f"but its events were generated by {generated_by}"
            )
        self._check_score(batch, result, testbed)
        if testbed.single_version and len(result["versions"]) != 1:
            self.add_violation(f"{item}: its versions are {result['versions']}")
        if min(result["versions"], default=0) < batch.min_version:
            self.add_violation(
                f"{item}: a version is below min-version {batch.min_version}"
            )

    def _check_score(
        self, batch: ObservedBatch, result: dict, testbed: Testbed
    ) -> None:
        """Check that the score answers the item's own call, made after its text."""
        item = result["id"]
        if item not in batch.scored_items:
            if "score" in result:
                self.add_violation(f"{item}: has a score, but no reward call")
            return
        call = score_id(item)
        signatures = set().union(
            *(target.signatures_by_attempt.get(call, ()) for target in testbed.targets)
        )
        if result.get("score") not in signatures:
            self.add_violation(
                f"{item}: the score {result.get('score')!r} is no answer to {call}"
            )
        called_at = min(
            target.started_at_by_attempt.get(call, float("inf"))
            for target in testbed.targets
        )
        complete_at = min(
            target.generated_at_by_event.get((item, ITEM_EVENTS), float("inf"))
            for target in testbed.targets
        )
        if called_at < complete_at:
            self.add_violation(f"{item}: {call} was sent before the last event")

    def check_starts(self, testbed: Testbed) -> None:
        """Check that no item started long after its batch had ended.

        This holds where only single hosts are disturbed.
        """
        for batch in self.batch_by_id.values():
            if batch.deleted_at is None:
                continue
            for target in testbed.targets:
                for item in batch.items & target.last_run_at_by_attempt.keys():
                    late = target.last_run_at_by_attempt[item] - batch.deleted_at
                    if late > _CANCEL_SECONDS:
                        self.add_violation(
                            f"{item}: started {late:.2f} s after its batch ended"
                        )

    def _check_limits(self, testbed: Testbed) -> None:
        """Check the requests of each target while it named a limit."""
        for target in testbed.targets:
            for span in target.limit_spans:
                arrivals = [
                    at
                    for at in target.arrivals
                    if span.started_at + _LIMIT_GRACE_SECONDS <= at < span.ended_at
                ]
                for start in arrivals:
                    count = sum(
                        start <= at < start + _LIMIT_WINDOW_SECONDS for at in arrivals
                    )
                    most = 1.5 * span.rate * _LIMIT_WINDOW_SECONDS + 5
                    if count > most:
                        self.add_violation(
                            f"{target.id}: {count} requests in 4 s from {start:.2f}, "
                            f"though it takes {span.rate} a second"
                        )
                        break

    def _check_fencing_tokens(self, testbed: Testbed) -> None:
        for target in testbed.targets:
            holder_by_fence: dict[int, str] = {}
            for order in target.orders:
                fence, holder = order["fencing-token"], order["holder"]
                if holder_by_fence.setdefault(fence, holder) != holder:
                    self.add_violation(
                        f"{target.id}: two lease holders used fencing token {fence}"
                    )
