"""What callers saw, and the promises that it is held against."""

from __future__ import annotations

from collections import Counter, defaultdict
from dataclasses import dataclass, field

from .world import ITEM_EVENTS, World

# Answers that promise that the request was not run and never will be.
PROMISES = frozenset({408, 421, 429, 503})


@dataclass(slots=True)
class BatchSeen:
    """A batch as its trainer saw it."""

    id: str
    min_version: int
    items: frozenset[str]
    accepted: bool = False
    ended_at: float | None = None
    by_position: dict[int, dict] = field(default_factory=dict)


class History:
    """Collects what was seen; ``violations`` are broken promises, in words."""

    def __init__(self) -> None:
        self.violations: list[str] = []
        self.statuses: Counter[str] = Counter()
        self.unsafe_statuses: defaultdict[str, list[int | None]] = defaultdict(list)
        self.batch_by_id: dict[str, BatchSeen] = {}
        self.steps_whole = 0
        self.steps_short = 0

    def broken(self, promise: str) -> None:
        """Note a broken promise."""
        self.violations.append(promise)

    def answered(self, attempt: str, status: int, body: bytes, headers: dict) -> None:
        """Check an answer to a plain request."""
        self.statuses[str(status)] += 1
        if status >= 300:
            return
        if body != b"answer to " + attempt.encode():
            self.broken(f"{attempt}: the answer is {body[:60]!r}")
        if headers.get("X-Cranberryrun-Attempt-Id") != attempt:
            self.broken(f"{attempt}: the answer names another request")
        if "X-Cranberryrun-Server-Signature" not in headers:
            self.broken(f"{attempt}: the answer bears no signature")

    def read(self, batch: BatchSeen, after: int, page: dict) -> None:
        """Check a page of results against what was read before."""
        if page["total"] != len(batch.items):
            self.broken(f"{batch.id}: total is {page['total']}")
        for position, result in enumerate(page["results"], after):
            known = batch.by_position.setdefault(position, result)
            if known != result:
                self.broken(f"{batch.id}: position {position} changed")
        ids = Counter(result["id"] for result in batch.by_position.values())
        for item, count in ids.items():
            if count > 1:
                self.broken(f"{batch.id}: item {item} stands at {count} positions")
            if item not in batch.items:
                self.broken(f"{batch.id}: item {item} is not of this batch")

    def check_world(self, world: World) -> None:
        """Check what the targets saw, once all is over."""
        ran: Counter[str] = Counter()
        for target in world.targets:
            ran.update(target.ran)
        for attempt, count in ran.items():
            if count > 1 and attempt in self.unsafe_statuses:
                self.broken(f"{attempt}: ran {count} times and may run once")
        for attempt, statuses in self.unsafe_statuses.items():
            if ran[attempt] and any(status in PROMISES for status in statuses):
                self.broken(f"{attempt}: {statuses} said that it was not run")
        self._check_texts(world)
        self._check_orders(world)

    def _check_texts(self, world: World) -> None:
        versions: defaultdict[tuple[str, int], set[int]] = defaultdict(set)
        for target in world.targets:
            for item, number, version in target.made:
                versions[item, number].add(version)
        for batch in self.batch_by_id.values():
            for result in batch.by_position.values():
                if result["state"] == "succeeded":
                    self._check_text(batch, result, versions)
                elif batch.ended_at is None:
                    self.broken(f"{batch.id}: item {result['id']} is lost")

    def _check_text(
        self,
        batch: BatchSeen,
        result: dict,
        versions: dict[tuple[str, int], set[int]],
    ) -> None:
        item = result["id"]
        whole = "\n".join(f"{item}/{n}" for n in range(1, ITEM_EVENTS + 1))
        if result["text"] != whole:
            self.broken(f"{batch.id}: the text of {item} is not its whole output")
        made = set().union(*(versions[item, n] for n in range(1, ITEM_EVENTS + 1)))
        if not set(result["versions"]) <= made:
            self.broken(f"{item}: versions {result['versions']}, made under {made}")
        if min(result["versions"], default=0) < batch.min_version:
            self.broken(f"{item}: a version is under {batch.min_version}")

    def _check_orders(self, world: World) -> None:
        for target in world.targets:
            holder_by_fence: dict[int, str] = {}
            for order in target.orders:
                fence, holder = order["fencing-token"], order["holder"]
                if holder_by_fence.setdefault(fence, holder) != holder:
                    self.broken(f"{target.id}: two holders used fencing token {fence}")
