"""The state of batches, derived from the messages in the store's topics."""

from __future__ import annotations

from dataclasses import dataclass

from .. import clock
from ..fleet.origin import Origin
from ..fleet.speed_record import SpeedRecord
from .models import Batch, BatchState, Item, ItemKey, Piece, Result, item_key
from .records import Accepted, Ended, Message, Opened, Progressed


@dataclass(slots=True)
class RecordedOutput:
    """The recorded output of an item; ``complete`` if only its score is missing.

    ``origin`` is where it began; None if the host that recorded it did not say.
    """

    id: str
    pieces: list[Piece]
    complete: bool = False
    origin: Origin | None = None


class BatchTable:
    """Applies the messages of each topic in their order.

    Hosts that have read a batch's topic to the same offset have the same state of it.

    :param keep_seconds: how long a batch is kept after its submission.
    """

    def __init__(self, keep_seconds: float) -> None:
        self._keep_seconds = keep_seconds
        self.state_by_id: dict[str, BatchState] = {}
        self.text_bytes = 0
        self.output_by_item: dict[ItemKey, RecordedOutput] = {}
        self.speeds: SpeedRecord | None = None
        self._submitted_at_by_opened_batch: dict[str, float] = {}
        self._submitted_at_by_ended_batch: dict[str, float] = {}
        self._latest_batch_by_item: dict[ItemKey, str] = {}
        self._earlier_batch_by_item: dict[ItemKey, str] = {}

    def apply(self, message: Message) -> None:
        """Apply the next message of a topic."""
        if isinstance(message, Accepted):
            self._accept(message.batch)
        elif isinstance(message, Opened):
            self._open(message)
        elif isinstance(message, Ended):
            self._end(message.batch)
        elif isinstance(message, Progressed):
            self._apply_progress(message)
        elif message.batch in self.state_by_id:
            self._add_results(self.state_by_id[message.batch], message.results)

    def opened(self, batch_id: str) -> bool:
        """Return whether the index lists the batch; see :meth:`ended`."""
        return batch_id in self._submitted_at_by_opened_batch

    def ended(self, batch_id: str) -> bool:
        """Return whether the index says that the trainer ended the batch."""
        return batch_id in self._submitted_at_by_ended_batch

    def opened_since(self, limit: float) -> list[str]:
        """Return the ids of batches submitted since ``limit`` (seconds since 1970)."""
        return [
            batch_id
            for batch_id, submitted_at in self._submitted_at_by_opened_batch.items()
            if submitted_at >= limit
        ]

    def unread_batches(self) -> list[str]:
        """Return the ids of batches that are not ended and whose topic was not read."""
        return [
            batch_id
            for batch_id in self._submitted_at_by_opened_batch
            if batch_id not in self.state_by_id and not self.ended(batch_id)
        ]

    def open_states(self) -> list[BatchState]:
        """Return the open batches whose topic was read."""
        states = []
        for batch_id in self._submitted_at_by_opened_batch:
            state = self.state_by_id.get(batch_id)
            if state is not None and state.open:
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

    def _open(self, message: Opened) -> None:
        self._submitted_at_by_opened_batch.setdefault(
            message.batch, message.submitted_at
        )
        limit = message.submitted_at - self._keep_seconds
        for submitted_at_by_batch in (
            self._submitted_at_by_opened_batch,
            self._submitted_at_by_ended_batch,
        ):
            for batch_id, submitted_at in list(submitted_at_by_batch.items()):
                if submitted_at >= limit:
                    break
                del submitted_at_by_batch[batch_id]

    def _end(self, batch_id: str) -> None:
        submitted_at = self._submitted_at_by_opened_batch.get(batch_id, clock.wall())
        self._submitted_at_by_ended_batch.setdefault(batch_id, submitted_at)
        state = self.state_by_id.get(batch_id)
        if state is not None:
            state.ended = True

    def _accept(self, batch: Batch) -> None:
        if batch.id in self.state_by_id:
            return
        state = BatchState(batch, ended=self.ended(batch.id))
        self.state_by_id[batch.id] = state
        for item in batch.items:
            self._update_batch_order(item_key(batch.workspace, item.id), batch)
        self._remove_before(batch.submitted_at - self._keep_seconds)

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

    def _remove_before(self, limit: float) -> None:
        for state in list(self.state_by_id.values()):
            if state.batch.submitted_at >= limit:
                return
            self.remove(state)

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
