"""What a batch is made of, and what has become of it.

An item's life, and what moves it on:

=========  ======================================  ================================
state      entered when                            left for
=========  ======================================  ================================
waiting    its batch is accepted, or its run ended running, by a free place at an
           before its text was whole               engine; lost, by its age
running    an engine was asked for it              finished, when the stream ends
                                                   whole; waiting, when it breaks;
                                                   lost, by 422 or too many 500
finished   its text is whole, or it was given up   listed, when the store has taken
                                                   the result
listed     the first result record for it was read never
=========  ======================================  ================================

Only *listed* is durable; the other states are the runner's and are made again from
the log by the next one. The end of the batch stops the first two states.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from pydantic import Base64Bytes


@dataclass(frozen=True, slots=True)
class Item:
    """One request of a batch. ``expected_tokens`` is the caller's estimate."""

    id: str
    group: str
    path: str
    headers: dict[str, str]
    body: Base64Bytes
    expected_tokens: float


@dataclass(frozen=True, slots=True)
class Batch:
    """An accepted batch. ``submitted_at`` is in seconds since 1970.

    ``wanted_groups`` is how many whole groups the trainer waits for, and
    ``min_version`` the oldest weight version that may make its tokens.
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


@dataclass(frozen=True, slots=True)
class Piece:
    """One event of an item's stream and the weight version that made it."""

    text: str
    version: int


@dataclass(frozen=True, slots=True)
class Result:
    """What became of an item. ``text`` and ``versions`` are empty if it was lost."""

    item: str
    succeeded: bool
    text: str = ""
    versions: tuple[int, ...] = ()


@dataclass(slots=True)
class BatchState:
    """A batch with its results, in the order of its topic.

    ``ended`` is known only where the index is read. ``groups`` are all its groups.
    """

    batch: Batch
    results: list[Result] = field(default_factory=list)
    result_by_item: dict[str, Result] = field(default_factory=dict)
    ended: bool = False
    _item_by_id: dict[str, Item] = field(init=False, repr=False)
    groups: frozenset[str] = field(init=False)

    def __post_init__(self) -> None:
        self._item_by_id = {item.id: item for item in self.batch.items}
        self.groups = frozenset(item.group for item in self.batch.items)

    @property
    def whole(self) -> bool:
        """Whether every item is listed."""
        return len(self.results) == len(self.batch.items)

    @property
    def open(self) -> bool:
        """Whether items may still be run for it."""
        return not self.ended and not self.whole

    def item(self, item_id: str) -> Item | None:
        """Return the item with this id, if the batch has it."""
        return self._item_by_id.get(item_id)


def result_of(item_id: str, pieces: list[Piece]) -> Result:
    """Return the result of an item whose stream ended whole."""
    versions = tuple(dict.fromkeys(piece.version for piece in pieces))
    text = "\n".join(piece.text for piece in pieces)
    return Result(item_id, True, text, versions)
