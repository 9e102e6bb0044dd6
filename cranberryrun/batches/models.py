"""Batches, their items and results.

The states of an item:

=========  =======================================  ===============================
state      entered when                             left when
=========  =======================================  ===============================
waiting    the batch is accepted, or a run ends     an engine has a free slot
           before its output is complete            (running), or the batch exceeds
                                                    its queue TTL (finished)
running    the item is sent to an engine            the stream is complete
                                                    (scoring or finished), the
                                                    stream breaks off (waiting), or
                                                    the engine answers 422 or too
                                                    many times 500 (finished)
scoring    the output of an item with a reward      the call is answered, or failed
           call is complete                         too many times (finished)
finished   the output is complete and scored, or    the store has the result
           the item failed permanently              (listed)
listed     the first result record of the item is   never
           read
=========  =======================================  ===============================

Only *listed* is durable. The other states are kept by the runner; the next holder of
the lease rebuilds them from the log. When the batch ends, its waiting and running
items are stopped.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from pydantic import Base64Bytes

from ..rewards.models import RewardCall

# Callers choose the ids of items, so an id means an item of one workspace only.
ItemKey = str | tuple[str, str]


def item_key(workspace: str | None, item_id: str) -> ItemKey:
    """Return the key of an item over all batches of its workspace."""
    return item_id if workspace is None else (workspace, item_id)


@dataclass(frozen=True, slots=True)
class Item:
    """A request of a batch. ``expected_tokens`` is the caller's estimate.

    An item with a ``reward`` is complete when the call has scored its text. Its prompt
    has ``prompt_tokens``, 0 if the caller did not say, and its output at most
    ``max_output_tokens``. ``prompt_parts`` are the ids and tokens of the parts of the
    prompt that other items share.
    """

    id: str
    group: str
    path: str
    headers: dict[str, str]
    body: Base64Bytes
    expected_tokens: float
    reward: RewardCall | None = None
    prompt_tokens: float = 0.0
    max_output_tokens: float | None = None
    prompt_parts: tuple[tuple[str, float], ...] = ()


@dataclass(frozen=True, slots=True)
class Batch:
    """An accepted batch. ``submitted_at`` is in seconds since 1970.

    ``wanted_groups`` is the number of complete groups that the trainer waits for.
    ``min_version`` is the oldest weight version that may generate its tokens.
    ``workspace`` is the one that submitted it, and ``priority`` its rank, 0 first; both
    are None without workspaces.
    """

    id: str
    route: str
    host: str
    model: str
    step: int
    min_version: int
    wanted_groups: int
    submitted_at: float
    items: tuple[Item, ...]
    workspace: str | None = None
    priority: int | None = None


@dataclass(frozen=True, slots=True)
class Piece:
    """An event of an item's stream and the weight version that generated it."""

    text: str
    version: int


@dataclass(frozen=True, slots=True)
class Result:
    """The result of an item. ``text`` and ``versions`` are empty if it failed.

    ``score`` is the answer to the item's reward call, if it has one.
    """

    item: str
    succeeded: bool
    text: str = ""
    versions: tuple[int, ...] = ()
    score: str | None = None


@dataclass(slots=True)
class BatchState:
    """A batch with its results, in the order of its topic.

    ``recorded_at`` is when its newest complete record was written, in seconds since
    1970. ``ended`` is up to date only on a host that reads the index. ``groups`` are
    the names of all groups of the batch.
    """

    batch: Batch
    results: list[Result] = field(default_factory=list)
    result_by_item: dict[str, Result] = field(default_factory=dict)
    ended: bool = False
    recorded_at: float = 0.0
    _item_by_id: dict[str, Item] = field(init=False, repr=False)
    groups: frozenset[str] = field(init=False)

    def __post_init__(self) -> None:
        self._item_by_id = {item.id: item for item in self.batch.items}
        self.groups = frozenset(item.group for item in self.batch.items)
        self.recorded_at = max(self.recorded_at, self.batch.submitted_at)

    @property
    def complete(self) -> bool:
        """Whether every item has a listed result."""
        return len(self.results) == len(self.batch.items)

    @property
    def open(self) -> bool:
        """Whether items of the batch may still be run."""
        return not self.ended and not self.complete

    def item(self, item_id: str) -> Item | None:
        """Return the item with this id; None if the batch has none."""
        return self._item_by_id.get(item_id)


def result_of(item_id: str, pieces: list[Piece]) -> Result:
    """Return the result of an item whose stream is complete."""
    versions = tuple(dict.fromkeys(piece.version for piece in pieces))
    text = "\n".join(piece.text for piece in pieces)
    return Result(item_id, True, text, versions)
