"""The state of batches as a function of the messages in the store's topics."""

from __future__ import annotations

from .. import clock
from .models import Batch, BatchState, Item, Piece, Result
from .records import Accepted, Ended, Message, Opened, Progressed


class BatchTable:
    """Applies messages in the order of their topic.

    Every host that read a batch's topic to the same offset knows the same of it.

    :param keep: seconds after its submission for which a batch is kept.
    """

    def __init__(self, keep: float) -> None:
        self._keep = keep
        self.state_by_id: dict[str, BatchState] = {}
        self.text_bytes = 0
        self.pieces_by_item: dict[str, list[Piece]] = {}
        self._text_by_item: dict[str, str] = {}
        self._opened_at_by_batch: dict[str, float] = {}
        self._ended_at_by_batch: dict[str, float] = {}
        self._latest_batch_by_item: dict[str, str] = {}
        self._earlier_batch_by_item: dict[str, str] = {}

    def apply(self, message: Message) -> None:
        """Apply the next message of a topic."""
        if isinstance(message, Accepted):
            self._accept(message.batch)
        elif isinstance(message, Opened):
            self._open(message)
        elif isinstance(message, Ended):
            self._end(message.batch)
        elif isinstance(message, Progressed):
            self._progress(message)
        elif message.batch in self.state_by_id:
            self._list(self.state_by_id[message.batch], message.results)

    def ended(self, batch_id: str) -> bool:
        """Whether the trainer is known to have ended the batch."""
        return batch_id in self._ended_at_by_batch

    def opened_since(self, limit: float) -> list[str]:
        """Return the batches that were submitted after ``limit`` (wall seconds)."""
        return [
            batch_id
            for batch_id, opened_at in self._opened_at_by_batch.items()
            if opened_at >= limit
        ]

    def unknown(self) -> list[str]:
        """Return batches that are to be run and whose topic was not read."""
        return [
            batch_id
            for batch_id in self._opened_at_by_batch
            if batch_id not in self.state_by_id and not self.ended(batch_id)
        ]

    def open_states(self) -> list[BatchState]:
        """Return the known batches whose items may still be run."""
        states = []
        for batch_id in self._opened_at_by_batch:
            state = self.state_by_id.get(batch_id)
            if state is not None and state.open:
                states.append(state)
        return states

    def carried(self, batch: Batch, item: Item) -> bool:
        """Say whether the item stood in an earlier batch of the same trainer."""
        return (
            self._latest_batch_by_item.get(item.id) == batch.id
            and item.id in self._earlier_batch_by_item
        )

    def earlier_state(self, batch: Batch, item: Item) -> BatchState | None:
        """Return the earlier batch that ``batch`` carries the item over from."""
        if not self.carried(batch, item):
            return None
        earlier = self.state_by_id.get(self._earlier_batch_by_item[item.id])
        before = earlier.item(item.id) if earlier is not None else None
        if before is None or (before.path, before.body) != (item.path, item.body):
            return None
        return earlier

    def _open(self, message: Opened) -> None:
        self._opened_at_by_batch.setdefault(message.batch, message.submitted_at)
        limit = message.submitted_at - self._keep
        for at_by_batch in (self._opened_at_by_batch, self._ended_at_by_batch):
            for batch_id, at in list(at_by_batch.items()):
                if at >= limit:
                    break
                del at_by_batch[batch_id]

    def _end(self, batch_id: str) -> None:
        opened_at = self._opened_at_by_batch.get(batch_id, clock.wall())
        self._ended_at_by_batch.setdefault(batch_id, opened_at)
        state = self.state_by_id.get(batch_id)
        if state is not None:
            state.ended = True

    def _accept(self, batch: Batch) -> None:
        if batch.id in self.state_by_id:
            return
        state = BatchState(batch, ended=self.ended(batch.id))
        self.state_by_id[batch.id] = state
        for item in batch.items:
            self._order_batches(item.id, batch)
        self._forget_before(batch.submitted_at - self._keep)

    def _order_batches(self, item_id: str, batch: Batch) -> None:
        """Note which of the item's batches is its latest; topics come in any order."""
        latest = self.state_by_id.get(self._latest_batch_by_item.get(item_id, ""))
        if latest is None:
            self._latest_batch_by_item[item_id] = batch.id
        elif latest.batch.submitted_at > batch.submitted_at:
            self._earlier_batch_by_item[item_id] = batch.id
        else:
            self._earlier_batch_by_item[item_id] = latest.batch.id
            self._latest_batch_by_item[item_id] = batch.id

    def _list(self, state: BatchState, results: list[Result]) -> None:
        for result in results:
            if result.item in state.result_by_item:
                continue
            if state.item(result.item) is None:
                continue
            state.results.append(result)
            self.text_bytes += len(result.text)
            state.result_by_item[result.item] = result
            if self._latest_batch_by_item.get(result.item) == state.batch.id:
                self._forget_pieces(result.item)

    def _progress(self, message: Progressed) -> None:
        state = self.state_by_id.get(message.batch)
        if state is not None and message.item in state.result_by_item:
            return
        pieces = [
            Piece(text, version)
            for text, version in zip(message.texts, message.versions)
        ]
        known = self.pieces_by_item.get(message.item)
        if message.start == 0 and self._text_by_item.get(message.item) != message.text:
            self._text_by_item[message.item] = message.text
            self.pieces_by_item[message.item] = pieces
        elif known is None or self._text_by_item.get(message.item) != message.text:
            # A holder that was replaced records on; texts of two runs never join.
            return
        elif message.start <= len(known):
            # An append that was carried out late says what is known already.
            known[message.start : message.start + len(pieces)] = pieces

    def _forget_pieces(self, item_id: str) -> None:
        self.pieces_by_item.pop(item_id, None)
        self._text_by_item.pop(item_id, None)

    def _forget_before(self, limit: float) -> None:
        for state in list(self.state_by_id.values()):
            if state.batch.submitted_at >= limit:
                return
            self.forget(state)

    def forget(self, state: BatchState) -> None:
        """Drop a batch with its results."""
        batch_id = state.batch.id
        del self.state_by_id[batch_id]
        self.text_bytes -= sum(len(result.text) for result in state.results)
        for item in state.batch.items:
            if self._latest_batch_by_item.get(item.id) == batch_id:
                del self._latest_batch_by_item[item.id]
                self._forget_pieces(item.id)
            if self._earlier_batch_by_item.get(item.id) == batch_id:
                del self._earlier_batch_by_item[item.id]
