"""The items of open batches that the holder of the lease sees to."""

from __future__ import annotations

from collections.abc import Callable, Iterator

from .. import clock
from ..fleet.directory import Directory
from ..fleet.loads import Loads
from ..fleet.manifest import Manifest, Route
from ..kernel import Kernel
from .dispatch import Work, usable_pieces
from .models import Batch, BatchState, Item, Result
from .table import BatchTable

# Runs of an ended batch go on this long, as their groups may come again.
_CARRY_SECONDS = 2.5
# What was made for an ended batch is kept this long, for the same reason.
_KEEP_SECONDS = 5.0


class Works:
    """Takes up the items of open batches and drops what nobody waits for.

    :param stop: ends the run of an item.
    :param finish: has a result listed; takes the item, its result and the reason.
    """

    def __init__(
        self,
        kernel: Kernel,
        table: BatchTable,
        stop: Callable[[Work], None],
        finish: Callable[[Work, Result, str], None],
    ) -> None:
        self._kernel = kernel
        self._table = table
        self._stop = stop
        self._finish = finish
        self._manifest: Manifest | None = None
        self._works_by_batch: dict[str, dict[str, Work]] = {}
        self._ended_at_by_batch: dict[str, float] = {}

    def __iter__(self) -> Iterator[Work]:
        """Iterate over the items of all batches that are still known."""
        for works in self._works_by_batch.values():
            yield from works.values()

    def open(self) -> list[Work]:
        """Return the items of batches that were not ended."""
        return [work for work in self if work.state.open]

    def clear(self) -> None:
        """Forget all items."""
        self._works_by_batch.clear()
        self._ended_at_by_batch.clear()

    def follow(self) -> None:
        """Follow the table and the manifest."""
        manifest = self._kernel.get(Directory).manifest
        if manifest is None:
            return
        if manifest is not self._manifest:
            self._manifest = manifest
            for work in self:
                self._reroute(work, manifest)
        for state in self._table.open_states():
            if state.batch.id not in self._works_by_batch:
                self._take_up_batch(state, manifest)
            self._give_up_if_old(state.batch)
        self._kernel.get(Loads).needed_version_by_model = self._needed_versions()
        for batch_id, works in list(self._works_by_batch.items()):
            if self._table.ended(batch_id):
                self._drop_ended(batch_id, works)

    def _needed_versions(self) -> dict[str, int]:
        needed: dict[str, int] = {}
        for state in self._table.open_states():
            batch = state.batch
            needed[batch.model] = max(needed.get(batch.model, 0), batch.min_version)
        return needed

    def _take_up_batch(self, state: BatchState, manifest: Manifest) -> None:
        works = self._works_by_batch.setdefault(state.batch.id, {})
        for item in state.batch.items:
            if item.id not in state.result_by_item:
                works[item.id] = self._take_up(state, item, manifest)

    def _take_up(self, state: BatchState, item: Item, manifest: Manifest) -> Work:
        batch = state.batch
        work, earlier = self._carried_work(batch, item)
        if work is None:
            work = Work(item, state, frozenset(), 0.0, 0.0)
            work.pieces = list(self._table.pieces_by_item.get(item.id, ()))
        work.state = state
        work.carried = self._table.carried(batch, item)
        work.result = None
        self._reroute(work, manifest)
        too_old = work.engine is not None and work.run_version < batch.min_version
        if too_old or not usable_pieces(work.pieces, batch.min_version):
            self._stop(work)
            work.begin_anew()
        if earlier is not None and min(earlier.versions) >= batch.min_version:
            self._stop(work)
            self._finish(work, earlier, "its earlier text fits")
        return work

    def _carried_work(
        self, batch: Batch, item: Item
    ) -> tuple[Work | None, Result | None]:
        """Return what an earlier, ended batch left of the item, and its result."""
        earlier = self._table.earlier_state(batch, item)
        if earlier is None:
            return None, None
        result = earlier.result_by_item.get(item.id)
        works = self._works_by_batch.get(earlier.batch.id, {})
        work = works.get(item.id)
        if work is not None:
            result = work.result or result
        if work is not None and self._table.ended(earlier.batch.id):
            del works[item.id]
        else:
            # Its batch is still open, and needs the run for itself.
            work = None
        if result is not None and not result.succeeded:
            result = None
        return work, result

    def _reroute(self, work: Work, manifest: Manifest) -> None:
        """Let the item run where the manifest allows it now."""
        batch = work.state.batch
        route = manifest.route_for(batch.host, work.item.path)
        if route is None:
            work.services = frozenset()
            return
        work.services = frozenset(backend.service for backend in route.backends)
        work.due = batch.submitted_at + route.run_deadline
        work.expected_events = _expected_events(work.item, route, manifest)

    def _give_up_if_old(self, batch: Batch) -> None:
        assert self._manifest is not None
        route = self._manifest.route_for(batch.host, batch.items[0].path)
        if route is None or not route.queue_ttl:
            return
        if clock.wall() <= batch.submitted_at + route.queue_ttl:
            return
        for work in self._works_by_batch[batch.id].values():
            if not work.finished:
                self._stop(work)
                self._finish(work, Result(work.item.id, False), "it is too old")

    def _drop_ended(self, batch_id: str, works: dict[str, Work]) -> None:
        ended_at = self._ended_at_by_batch.setdefault(batch_id, clock.now())
        if clock.now() >= ended_at + _KEEP_SECONDS:
            del self._works_by_batch[batch_id]
            del self._ended_at_by_batch[batch_id]
        elif clock.now() < ended_at + _CARRY_SECONDS:
            return
        for work in works.values():
            self._stop(work)


def _expected_events(item: Item, route: Route, manifest: Manifest) -> float:
    tokens = max(
        manifest.tokens_per_event_by_service.get(backend.service, 1.0)
        for backend in route.backends
    )
    return item.expected_tokens / tokens
