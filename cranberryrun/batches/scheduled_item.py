"""An item of an open batch with its scheduling state. Does no I/O."""

from __future__ import annotations

import asyncio
import uuid
from collections.abc import Iterable
from dataclasses import dataclass, field

from .. import clock
from ..fleet.engine_pool import Engine
from ..fleet.origin import Origin
from ..rewards.models import PendingCall
from .models import BatchState, Item, Piece, Result

# Output lengths have a heavy tail: an output that exceeds its estimate is expected to
# grow by this share of its current length.
OVERRUN_SHARE = 0.5
# An item whose runs keep being malformed waits before its third run, and then longer
# each time: it may be an item that no engine can run. The platform counts an item as
# lost that is at no engine for five seconds.
_MALFORMED_DELAYS_SECONDS = (0.0, 0.5, 1.0, 2.0, 4.0)
# The mean length as a multiple of the estimate. Estimates are right at the median, and
# a mean excess of a half belongs to a tail that falls with the third power: above the
# estimate lengths are 1.5 times as long in the mean. If they are as often below it by
# some factor as above it, they are 0.75 times as long there.
MEAN_LENGTH = (1.5 + 0.75) / 2


def _new_output_id() -> str:
    return uuid.uuid4().hex


@dataclass(slots=True, eq=False)
class ScheduledItem:
    """An item of a batch with its scheduling state and the output received so far.

    ``services`` are the services that its route currently allows. ``due`` is the time
    by which its result should be complete and ``limit`` the time when it is given up,
    both in seconds since 1970. ``expected_events`` is the estimated length of its
    stream. ``output_id`` identifies the output that ``pieces`` belong to; the store has
    the first ``recorded_count`` of them, in progress records from offset
    ``first_record_offset`` on, which were written since ``recorded_since``, in loop
    seconds. ``run_version`` is the weight version that the engine had when the current
    run started at ``started_at``, in loop seconds; ``answered`` tells whether the run
    has received an event. ``carried`` items were already in an earlier batch. No run of
    the item uses weights older than ``min_version``, and with ``single_version`` one
    version generates the whole output. ``origin`` is where the output began, and None
    without pieces; without a run, the item waits for an engine since ``idle_since``, in
    loop seconds. ``ahead`` marks an item that its batch no longer needs and that runs
    for the next batch. ``unscored`` is the result of a complete output whose
    ``reward_call`` has no answer yet; ``completion_recorded`` tells whether the store
    knows that the output is complete. ``slow_span_moves`` counts its moves away from
    engines that were slow for a moment. ``malformed_runs`` counts the runs in which an
    engine sent something that is no output; no run starts before ``retry_at``, in loop
    seconds. ``discard_recorded`` tells whether the store has no output that was
    discarded since.
    """

    item: Item
    state: BatchState
    services: frozenset[str]
    due: float
    expected_events: float
    limit: float = float("inf")
    carried: bool = False
    min_version: int = 0
    single_version: bool = False
    ahead: bool = False
    pieces: list[Piece] = field(default_factory=list)
    origin: Origin | None = None
    output_id: str = field(default_factory=_new_output_id)
    recorded_count: int = 0
    first_record_offset: int | None = None
    recorded_since: float = 0.0
    failures: int = 0
    engine: Engine | None = None
    task: asyncio.Task[None] | None = None
    run_version: int = 0
    started_at: float = 0.0
    answered: bool = False
    slow_span_moves: int = 0
    idle_since: float = 0.0
    result: Result | None = None
    unscored: Result | None = None
    completion_recorded: bool = False
    reward_call: PendingCall | None = None
    malformed_runs: int = 0
    retry_at: float = 0.0
    discard_recorded: bool = True

    def __post_init__(self) -> None:
        self.min_version = max(self.min_version, self.state.batch.min_version)

    @property
    def finished(self) -> bool:
        """Whether the item has a result and needs no more runs."""
        return self.result is not None

    @property
    def waiting(self) -> bool:
        """Whether the item needs a run now and has none."""
        if self.engine is not None or self.unscored is not None or self.finished:
            return False
        return clock.now() >= self.retry_at

    @property
    def scoring(self) -> bool:
        """Whether the output is complete and only its score is missing."""
        return self.unscored is not None and not self.finished

    def discard_output(self) -> None:
        """Drop all received pieces; the next run starts a new output."""
        self.pieces = []
        self.origin = None
        self.output_id = _new_output_id()
        self.unscored = None
        self.record_from_start()

    def drop_malformed(self, kept: int) -> None:
        """Drop the pieces of a run that was malformed, which may be wrong.

        :param kept: the number of pieces of earlier runs, which the next run resumes.
        """
        pieces, origin = self.pieces[:kept], self.origin
        self.discard_output()
        if pieces:
            self.pieces, self.origin = pieces, origin
        self.discard_recorded = False
        longest = len(_MALFORMED_DELAYS_SECONDS) - 1
        delay = _MALFORMED_DELAYS_SECONDS[min(self.malformed_runs, longest)]
        self.malformed_runs += 1
        self.retry_at = clock.now() + delay

    @property
    def kept_version(self) -> int | None:
        """The weight version that has to generate the rest; None if any newer may."""
        if not self.single_version or not self.pieces:
            return None
        return self.pieces[0].version

    def accepts(self, versions: Iterable[int]) -> bool:
        """Return whether an output of these weight versions is one of the item."""
        distinct = set(versions)
        if self.single_version and len(distinct) > 1:
            return False
        return all(version >= self.min_version for version in distinct)

    def record_from_start(self) -> None:
        """Have the whole output recorded again."""
        self.recorded_count = 0
        self.first_record_offset = None
        self.completion_recorded = False

    def total_events(self) -> float:
        """Return the expected length of the complete output, in events."""
        return len(self.pieces) + self.remaining_events()

    def remaining_events(self) -> float:
        """Return how many more events are expected of an incomplete output.

        The result is at least one.

        An output that is longer than estimated tends to grow further.
        """
        done = len(self.pieces)
        return max(1.0, self.expected_events - done, OVERRUN_SHARE * done)
