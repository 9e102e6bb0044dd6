"""The items of open batches that the holder of the lease schedules."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import replace
from math import isfinite

from .. import clock
from ..events import Events
from ..fleet.directory import Directory
from ..fleet.loads import Loads
from ..fleet.manifest import Manifest, Route
from ..kernel import Kernel
from .carry_over import NextBatches, unneeded_items
from .dispatch import ScheduledItem
from .log import BatchLog
from .models import Batch, BatchState, Item, Result, item_key, result_of
from .table import RecordedOutput

# Runs of an ended batch continue for this long, because the trainer's next batch may
# contain their groups again.
_ENDED_RUN_SECONDS = 2.5
# Items that run ahead are started during this share of the time in which items of an
# ended batch may reach engines. The next batch follows when the trainer has trained.
# The rest of the time is for runs that are being sent.
_ENDED_START_SHARE = 1 / 2
# The output received for an ended batch is kept for this long, for the same reason.
_ENDED_KEEP_SECONDS = 5.0


class ScheduledItems:
    """Adds the items of new batches and releases those of ended batches.

    :param log: the batches, and how far their ends are known.
    :param stop: cancels the current run of an item.
    :param finish: records the result of an item; called with the item, its result and
        the reason.
    """

    def __init__(
        self,
        kernel: Kernel,
        log: BatchLog,
        stop: Callable[[ScheduledItem], None],
        finish: Callable[[ScheduledItem, Result, str], None],
    ) -> None:
        self._kernel = kernel
        self._log = log
        self._table = log.table
        self._stop = stop
        self._finish = finish
        self._manifest: Manifest | None = None
        self._scheduled_by_batch: dict[str, dict[str, ScheduledItem]] = {}
        self._ended_at_by_batch: dict[str, float] = {}
        # When each batch was last known to be open, in loop seconds.
        self._open_at_by_batch: dict[str, float] = {}
        self._next_batches = NextBatches()
        self._known_batches = 0

    def __iter__(self) -> Iterator[ScheduledItem]:
        """Iterate over all items, including those of recently ended batches."""
        for scheduled_items in self._scheduled_by_batch.values():
            yield from scheduled_items.values()

    def in_open_batches(self) -> list[ScheduledItem]:
        """Return the items of open batches."""
        return [scheduled for scheduled in self if scheduled.state.open]

    def startable(self) -> list[ScheduledItem]:
        """Return the items that may be run, including those that run ahead."""
        return [
            scheduled
            for scheduled in self
            if scheduled.state.open
            or (scheduled.ahead and self._may_start_ended(scheduled.state.batch.id))
        ]

    def _may_start_ended(self, batch_id: str) -> bool:
        """Return whether items of an ended batch may still be started.

        The end may have been confirmed any time since the batch was last known to be
        open, so the time is counted from there.
        """
        if not self._table.ended(batch_id):
            return False
        seconds = _ENDED_START_SHARE * self._log.cancel_seconds
        return clock.now() < self._open_at_by_batch[batch_id] + seconds

    def clear(self) -> None:
        """Remove all items without stopping their runs."""
        self._scheduled_by_batch.clear()
        self._ended_at_by_batch.clear()
        self._open_at_by_batch.clear()

    def update(self) -> None:
        """Apply changes of the batch table and the manifest."""
        manifest = self._kernel.get(Directory).manifest
        if manifest is None:
            return
        if manifest is not self._manifest:
            self._manifest = manifest
            for scheduled in self:
                self._apply_route(scheduled, manifest)
                self._discard_stale_output(scheduled)
        for state in self._table.open_states():
            if state.batch.id not in self._scheduled_by_batch:
                self._add_batch(state, manifest)
            self._fail_expired(state.batch)
        self._kernel.get(Loads).needed_version_by_model = self._needed_versions()
        self._update_carried()
        for batch_id, scheduled_items in list(self._scheduled_by_batch.items()):
            self._run_ahead(scheduled_items)
            if self._table.ended(batch_id):
                self._release_ended(batch_id, scheduled_items)
            elif self._table.opened(batch_id):
                self._open_at_by_batch[batch_id] = self._log.ends_known_until
            else:
                self._drop(batch_id, scheduled_items)

    def _update_carried(self) -> None:
        """Update which items are carried over, when earlier batches were read.

        A new holder reads the ended batches after the open ones.
        """
        known_batches = len(self._table.state_by_id)
        if known_batches == self._known_batches:
            return
        self._known_batches = known_batches
        for scheduled in self.in_open_batches():
            scheduled.carried = self._table.carried(
                scheduled.state.batch, scheduled.item
            )

    def _needed_versions(self) -> dict[str, int]:
        needed: dict[str, int] = {}
        for state in self._table.open_states():
            batch = state.batch
            needed[batch.model] = max(needed.get(batch.model, 0), batch.min_version)
        return needed

    def _add_batch(self, state: BatchState, manifest: Manifest) -> None:
        self._next_batches.record(state.batch)
        scheduled_items = self._scheduled_by_batch.setdefault(state.batch.id, {})
        self._open_at_by_batch[state.batch.id] = self._log.ends_known_until
        for item in state.batch.items:
            if item.id not in state.result_by_item:
                scheduled_items[item.id] = self._schedule(state, item, manifest)

    def _schedule(
        self, state: BatchState, item: Item, manifest: Manifest
    ) -> ScheduledItem:
        batch = state.batch
        scheduled, earlier = self._carried_over(batch, item)
        if scheduled is None:
            scheduled = ScheduledItem(item, state, frozenset(), 0.0, 0.0)
            self._restore_output(scheduled)
        scheduled.item = item
        scheduled.state = state
        scheduled.min_version = batch.min_version
        scheduled.ahead = False
        scheduled.idle_since = clock.now()
        scheduled.carried = self._table.carried(batch, item)
        scheduled.result = None
        self._apply_route(scheduled, manifest)
        self._discard_stale_output(scheduled)
        if earlier is not None and scheduled.accepts(earlier.versions):
            self._stop(scheduled)
            self._reuse(scheduled, earlier)
        return scheduled

    def _discard_stale_output(self, scheduled: ScheduledItem) -> None:
        """Stop and forget output of weights that the item does not accept."""
        run_is_stale = (
            scheduled.engine is not None
            and scheduled.run_version < scheduled.min_version
        )
        # A result that was taken over from an earlier batch has no pieces.
        versions = [piece.version for piece in scheduled.pieces]
        if scheduled.unscored is not None:
            versions += scheduled.unscored.versions
        if run_is_stale or not scheduled.accepts(versions):
            self._stop(scheduled)
            scheduled.discard_output()

    def _run_ahead(self, scheduled_items: dict[str, ScheduledItem]) -> None:
        """Have items that their batch does not need run for the next one."""
        announced_by_model = self._kernel.get(Directory).version_by_model
        for scheduled in unneeded_items(scheduled_items.values()):
            if scheduled.scoring and scheduled.state.open:
                # The result will be listed before the batch ends.
                continue
            model = scheduled.state.batch.model
            min_version = self._next_batches.min_version(model) or 0
            if min_version <= scheduled.min_version:
                continue
            if min_version > announced_by_model.get(model, 0):
                # No engine can have this version yet.
                continue
            scheduled.ahead = True
            scheduled.min_version = min_version
            self._discard_stale_output(scheduled)

    def _restore_output(self, scheduled: ScheduledItem) -> None:
        """Continue the output that an earlier holder recorded, if there is one."""
        key = item_key(scheduled.state.batch.workspace, scheduled.item.id)
        output = self._table.output_by_item.get(key)
        if output is None:
            return
        if output.origin is None and not output.complete:
            # No engine is known that may go on with it.
            return
        scheduled.origin = output.origin
        scheduled.pieces = list(output.pieces)
        if output.complete and output.pieces:
            scheduled.unscored = result_of(scheduled.item.id, scheduled.pieces)

    def _reuse(self, scheduled: ScheduledItem, earlier: Result) -> None:
        """Use the result of an earlier batch, with its score if the call is the same.

        ``earlier`` has no score if its reward call differs from that of the item.
        """
        if scheduled.item.reward is not None and earlier.score is None:
            scheduled.unscored = earlier
            return
        self._finish(scheduled, earlier, "the result from an earlier batch was reused")

    def _carried_over(
        self, batch: Batch, item: Item
    ) -> tuple[ScheduledItem | None, Result | None]:
        """Return what an earlier batch has of ``item`` and what can be reused.

        :return: the scheduled item, if that batch has ended, and the result, if it
            succeeded; otherwise None.
        """
        earlier = self._table.earlier_state(batch, item)
        if earlier is None:
            return None, None
        result = earlier.result_by_item.get(item.id)
        scheduled_items = self._scheduled_by_batch.get(earlier.batch.id, {})
        scheduled = scheduled_items.get(item.id)
        if scheduled is not None:
            result = scheduled.result or result
        if scheduled is not None and self._table.ended(earlier.batch.id):
            del scheduled_items[item.id]
        else:
            # The earlier batch is still open and needs this run itself.
            scheduled = None
        if result is not None and not result.succeeded:
            result = None
        earlier_item = earlier.item(item.id)
        if earlier_item is None or earlier_item.reward != item.reward:
            scheduled, result = self._without_score(scheduled, result)
        return scheduled, result

    def _without_score(
        self, scheduled: ScheduledItem | None, result: Result | None
    ) -> tuple[ScheduledItem | None, Result | None]:
        """Drop the score and the reward call of an item whose call has changed."""
        if scheduled is not None and scheduled.scoring:
            self._stop(scheduled)
        return scheduled, None if result is None else replace(result, score=None)

    def _apply_route(self, scheduled: ScheduledItem, manifest: Manifest) -> None:
        """Update the services, due time and expected length from the manifest."""
        batch = scheduled.state.batch
        route = manifest.route_for(batch.host, scheduled.item.path)
        if route is None:
            scheduled.services = frozenset()
            return
        scheduled.single_version = route.single_version
        scheduled.services = frozenset(backend.service for backend in route.backends)
        scheduled.due = batch.submitted_at + route.run_deadline
        scheduled.limit = batch.submitted_at + (route.queue_ttl or float("inf"))
        scheduled.expected_events = _expected_events(scheduled.item, route, manifest)

    def _fail_expired(self, batch: Batch) -> None:
        assert self._manifest is not None
        route = self._manifest.route_for(batch.host, batch.items[0].path)
        if route is None or not route.queue_ttl:
            return
        if clock.wall() <= batch.submitted_at + route.queue_ttl:
            return
        for scheduled in self._scheduled_by_batch[batch.id].values():
            if not scheduled.finished:
                self._stop(scheduled)
                self._finish(
                    scheduled,
                    Result(scheduled.item.id, False),
                    "the batch exceeded the queue TTL of its route",
                )

    def _release_ended(
        self, batch_id: str, scheduled_items: dict[str, ScheduledItem]
    ) -> None:
        if batch_id not in self._ended_at_by_batch:
            self._ended_at_by_batch[batch_id] = clock.now()
            open_at = self._open_at_by_batch[batch_id]
            self._kernel.get(Events).emit(
                "batch_end_learned",
                step=batch_id,
                open_seconds_ago=(
                    round(clock.now() - open_at, 3) if isfinite(open_at) else None
                ),
            )
        ended_at = self._ended_at_by_batch[batch_id]
        if clock.now() >= ended_at + _ENDED_KEEP_SECONDS:
            self._keep_outputs(scheduled_items)
            del self._scheduled_by_batch[batch_id]
            del self._ended_at_by_batch[batch_id]
            del self._open_at_by_batch[batch_id]
        elif clock.now() < ended_at + _ENDED_RUN_SECONDS:
            if not self._may_start_ended(batch_id):
                self._stop_unanswered(scheduled_items)
            return
        for scheduled in scheduled_items.values():
            self._stop(scheduled)

    def _drop(self, batch_id: str, scheduled_items: dict[str, ScheduledItem]) -> None:
        """Stop the items of a batch that the table does not have any more."""
        del self._scheduled_by_batch[batch_id]
        del self._open_at_by_batch[batch_id]
        for scheduled in scheduled_items.values():
            self._stop(scheduled)

    def _stop_unanswered(self, scheduled_items: dict[str, ScheduledItem]) -> None:
        """Stop the runs that may not have reached their engines yet."""
        for scheduled in scheduled_items.values():
            if scheduled.engine is not None and not scheduled.answered:
                self._stop(scheduled)

    def _keep_outputs(self, scheduled_items: dict[str, ScheduledItem]) -> None:
        """Keep incomplete results for later batches that contain their items."""
        for item_id, scheduled in scheduled_items.items():
            if scheduled.pieces and not scheduled.finished:
                key = item_key(scheduled.state.batch.workspace, item_id)
                self._table.output_by_item[key] = RecordedOutput(
                    scheduled.output_id,
                    scheduled.pieces,
                    scheduled.scoring,
                    scheduled.origin,
                )


def _expected_events(item: Item, route: Route, manifest: Manifest) -> float:
    tokens = max(
        manifest.tokens_per_event_by_service.get(backend.service, 1.0)
        for backend in route.backends
    )
    return item.expected_tokens / tokens
