"""The state of batches, derived from the messages in the store's topics."""

from __future__ import annotations

from dataclasses import dataclass

from .. import clock
from ..fleet.origin import Origin
from ..fleet.speed_record import SpeedRecord
from .models import Batch, BatchState, Item, ItemKey, Piece, Result, item_key
from .records import Accepted, Ended, Kept, Message, Opened, Progressed


@dataclass(slots=True)
class RecordedOutput:
    """The recorded output of an item; ``complete`` if only its score is missing.

    ``origin`` is where it began; None if the host that recorded it did not say.
    """

    id: str
    pieces: list[Piece]
    complete: bool = False
    origin: Origin | None = None


@dataclass(slots=True)
class _IndexEntry:
    """What the index says of a batch; times are in seconds since 1970.

    ``opened_at`` is when the newest record that the batch is open was written, None
    without one. ``ended_at`` is when the batch ended, None if it is open.
    """

    submitted_at: float
    opened_at: float | None = None
    ended_at: float | None = None

    @property
    def open(self) -> bool:
        return self.opened_at is not None and self.ended_at is None


class BatchTable:
    """Applies the messages of each topic in their order.

    Hosts that have read a batch's topic to the same offset have the same state of it.

    The lease holder records open batches again before the store deletes their records.
    So a batch whose newest record is that old is not open, and a host that does not
    read the index forgets it. A host that reads the index forgets ended batches only.

    :param keep_seconds: how long a batch is kept after its submission, and after its
        end.
    :param retention_seconds: age at which the store deletes records.
    """

    def __init__(
        self, keep_seconds: float, retention_seconds: float = float("inf")
    ) -> None:
        self._keep_seconds = keep_seconds
        self._retention_seconds = max(keep_seconds, retention_seconds)
        # Whether this host has read the index to its end, and still follows it.
        self.index_current = False
        self.state_by_id: dict[str, BatchState] = {}
        self.text_bytes = 0
        self.output_by_item: dict[ItemKey, RecordedOutput] = {}
        self.speeds: SpeedRecord | None = None
        self._index_by_batch: dict[str, _IndexEntry] = {}
        self._index_time = 0.0
        self._latest_batch_by_item: dict[ItemKey, str] = {}
        self._earlier_batch_by_item: dict[ItemKey, str] = {}

    def apply(self, message: Message) -> None:
        """Apply the next message of a topic."""
        if isinstance(message, Accepted):
            self._accept(message.batch)
        elif isinstance(message, Kept):
            self._keep(message)
        elif isinstance(message, Opened):
            self._open(message)
        elif isinstance(message, Ended):
            self._end(message)
        elif isinstance(message, Progressed):
            self._apply_progress(message)
        elif message.batch in self.state_by_id:
            self._add_results(self.state_by_id[message.batch], message.results)

    def opened(self, batch_id: str) -> bool:
        """Return whether the index lists the batch; see :meth:`ended`."""
        entry = self._index_by_batch.get(batch_id)
        return entry is not None and entry.opened_at is not None

    def ended(self, batch_id: str) -> bool:
        """Return whether the index says that the trainer ended the batch."""
        entry = self._index_by_batch.get(batch_id)
        return entry is not None and entry.ended_at is not None

    def submitted_at(self, batch_id: str) -> float:
        """Return when a batch of the index was submitted, in seconds since 1970."""
        return self._index_by_batch[batch_id].submitted_at

    def open_or_recent(self, limit: float) -> list[str]:
        """Return the ids of batches that are open, or were submitted or ended lately.

        :param limit: the earliest time that is recent, in seconds since 1970.
        """
        return [
            batch_id
            for batch_id, entry in self._index_by_batch.items()
            if entry.open
            or entry.opened_at is not None
            and max(entry.submitted_at, entry.ended_at or 0.0) >= limit
        ]

    def batches_recorded_before(self, limit: float) -> list[str]:
        """Return the ids of open batches without a newer record in the index.

        :param limit: in seconds since 1970.
        """
        return [
            batch_id
            for batch_id, entry in self._index_by_batch.items()
            if entry.open and entry.opened_at is not None and entry.opened_at < limit
        ]

    def unread_batches(self) -> list[str]:
        """Return the ids of batches that are not ended and whose topic was not read."""
        return [
            batch_id
            for batch_id, entry in self._index_by_batch.items()
            if entry.open and batch_id not in self.state_by_id
        ]

    def open_states(self) -> list[BatchState]:
        """Return the open batches whose topic was read."""
        states = []
        for batch_id, entry in self._index_by_batch.items():
            state = self.state_by_id.get(batch_id)
            if entry.opened_at is not None and state is not None and state.open:
                states.append(state)
        return states

    def carried(self, batch: Batch, item: Item) -> bool:
        """Return whether the item was already in an earlier batch of its workspace.

        Only the latest batch of an item carries it over.
        """
        key = item_key(batch.workspace, item.id)
        return (
            self._latest_batch_by_item.get(key) == batch.id
            and key in self._earlier_batch_by_item
        )

    def known(self, batch: Batch, item: Item) -> bool:
        """Return whether a batch of its workspace that was read has the item."""
        return item_key(batch.workspace, item.id) in self._latest_batch_by_item

    def earlier_state(self, batch: Batch, item: Item) -> BatchState | None:
        """Return the earlier batch that ``batch`` carries the item over from.

        :return: None if there is none or if its request differs.
        """
        if not self.carried(batch, item):
            return None
        key = item_key(batch.workspace, item.id)
        earlier = self.state_by_id.get(self._earlier_batch_by_item[key])
        earlier_item = earlier.item(item.id) if earlier is not None else None
        if earlier_item is None or (earlier_item.path, earlier_item.body) != (
            item.path,
            item.body,
        ):
            return None
        return earlier

    def forget_open(self, limit: float) -> None:
        """Forget that batches are open of which a host may have missed the end.

        :param limit: the store has deleted all records before this time, in seconds
            since 1970. What is open has a newer one.
        """
        for batch_id, entry in list(self._index_by_batch.items()):
            if entry.open and entry.opened_at is not None and entry.opened_at < limit:
                del self._index_by_batch[batch_id]

    def drop(self, batch_id: str) -> None:
        """Remove a batch, although it is open."""
        del self._index_by_batch[batch_id]
        state = self.state_by_id.get(batch_id)
        if state is not None:
            self.remove(state)

    def _open(self, message: Opened) -> None:
        recorded_at = message.recorded_at or message.submitted_at
        if recorded_at < self._index_time - self._retention_seconds:
            # A late copy. What is open has a newer record.
            return
        entry = self._index_by_batch.setdefault(
            message.batch, _IndexEntry(message.submitted_at)
        )
        entry.submitted_at = message.submitted_at
        entry.opened_at = max(entry.opened_at or 0.0, recorded_at)
        self._index_time = max(self._index_time, recorded_at)
        for batch_id, entry in list(self._index_by_batch.items()):
            state = self.state_by_id.get(batch_id)
            if state is not None and self._end_expired(entry, self._keep_seconds):
                self.remove(state)
            if self._entry_expired(entry):
                # An open batch may have newer records, which this host has not read.
                del self._index_by_batch[batch_id]

    def _end_expired(self, entry: _IndexEntry, seconds: float) -> bool:
        if entry.ended_at is None:
            return False
        newest = max(entry.submitted_at, entry.ended_at)
        return newest < self._index_time - seconds

    def _entry_expired(self, entry: _IndexEntry) -> bool:
        if entry.ended_at is not None:
            # Records that the batch is open may still be read, in both indexes.
            return self._end_expired(entry, 2 * self._retention_seconds)
        if self.index_current or entry.opened_at is None:
            return False
        return entry.opened_at < self._index_time - self._retention_seconds

    def _end(self, message: Ended) -> None:
        ended_at = message.ended_at or clock.wall()
        entry = self._index_by_batch.setdefault(message.batch, _IndexEntry(ended_at))
        if entry.ended_at is None:
            entry.ended_at = ended_at
        state = self.state_by_id.get(message.batch)
        if state is not None:
            state.ended = True

    def _accept(self, batch: Batch) -> None:
        if batch.id not in self.state_by_id:
            self._add(BatchState(batch))
            self._remove_expired(batch.submitted_at)

    def _keep(self, message: Kept) -> None:
        state = self.state_by_id.get(message.batch.id)
        if state is None:
            state = BatchState(message.batch)
            self._add(state)
        state.recorded_at = max(state.recorded_at, message.recorded_at)
        self._add_results(state, message.results)

    def _add(self, state: BatchState) -> None:
        batch = state.batch
        state.ended = self.ended(batch.id)
        self.state_by_id[batch.id] = state
        for item in batch.items:
            self._update_batch_order(item_key(batch.workspace, item.id), batch)

    def _update_batch_order(self, key: ItemKey, batch: Batch) -> None:
        """Update the latest and the earlier batch of an item.

        Topics are read in any order, so the submission times decide.
        """
        latest = self.state_by_id.get(self._latest_batch_by_item.get(key, ""))
        if latest is None:
            self._latest_batch_by_item[key] = batch.id
        elif latest.batch.submitted_at > batch.submitted_at:
            self._earlier_batch_by_item[key] = batch.id
        else:
            self._earlier_batch_by_item[key] = latest.batch.id
            self._latest_batch_by_item[key] = batch.id

    def _add_results(self, state: BatchState, results: list[Result]) -> None:
        for result in results:
            if result.item in state.result_by_item:
                continue
            if state.item(result.item) is None:
                continue
            state.results.append(result)
            self.text_bytes += len(result.text)
            state.result_by_item[result.item] = result
            key = item_key(state.batch.workspace, result.item)
            if self._latest_batch_by_item.get(key) == state.batch.id:
                self.output_by_item.pop(key, None)

    def _apply_progress(self, message: Progressed) -> None:
        if message.speeds is not None:
            self.speeds = message.speeds
        state = self.state_by_id.get(message.batch)
        if state is not None and message.item in state.result_by_item:
            return
        pieces = [
            Piece(text, version)
            for text, version in zip(message.texts, message.versions)
        ]
        key = item_key(message.workspace, message.item)
        known = self.output_by_item.get(key)
        if known is None or known.id != message.text:
            # A replaced holder may still record progress. Pieces of two different
            # outputs are never joined.
            if message.start == 0:
                self.output_by_item[key] = RecordedOutput(
                    message.text, pieces, message.complete, message.origin
                )
        elif message.start <= len(known.pieces):
            # An append that the store carried out late repeats known pieces.
            known.pieces[message.start : message.start + len(pieces)] = pieces
            known.complete = known.complete or message.complete

    def _remove_expired(self, now: float) -> None:
        for state in list(self.state_by_id.values()):
            if self._state_expired(state, now):
                self.remove(state)

    def _state_expired(self, state: BatchState, now: float) -> bool:
        entry = self._index_by_batch.get(state.batch.id)
        if entry is not None and entry.ended_at is not None:
            newest = max(state.batch.submitted_at, entry.ended_at)
            return newest < now - self._keep_seconds
        if entry is not None and entry.open and self.index_current:
            return False
        return state.recorded_at < now - self._retention_seconds

    def remove(self, state: BatchState) -> None:
        """Remove a batch with its results."""
        batch_id = state.batch.id
        del self.state_by_id[batch_id]
        self.text_bytes -= sum(len(result.text) for result in state.results)
        for item in state.batch.items:
            key = item_key(state.batch.workspace, item.id)
            if self._latest_batch_by_item.get(key) == batch_id:
                del self._latest_batch_by_item[key]
                self.output_by_item.pop(key, None)
            if self._earlier_batch_by_item.get(key) == batch_id:
                del self._earlier_batch_by_item[key]
