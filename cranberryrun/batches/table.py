"""The state of all batches as a function of the log's messages."""

from __future__ import annotations

from .models import Batch, BatchState, Item, Piece, Result
from .records import Accepted, Ended, Listed, Message, Progressed


class BatchTable:
    """Applies messages in the order of the log; every host gets the same table.

    :param keep: seconds after its submission for which a batch is kept.
    """

    def __init__(self, keep: float) -> None:
        self._keep = keep
        self.state_by_id: dict[str, BatchState] = {}
        self.pieces_by_item: dict[str, list[Piece]] = {}
        self._latest_batch_by_item: dict[str, str] = {}
        self._earlier_batch_by_item: dict[str, str] = {}

    def apply(self, message: Message) -> None:
        """Apply the next message."""
        if isinstance(message, Accepted):
            self._accept(message.batch)
            return
        state = self.state_by_id.get(message.batch)
        if state is None:
            return
        if isinstance(message, Listed):
            self._list(state, message.results)
        elif isinstance(message, Progressed):
            self._progress(state, message)
        elif isinstance(message, Ended):
            state.ended = True

    def open_states(self) -> list[BatchState]:
        """Return the batches whose items may still be run."""
        return [state for state in self.state_by_id.values() if state.open]

    def carried(self, batch: Batch, item: Item) -> bool:
        """Say whether the item stood in an earlier batch of the same trainer."""
        return (
            self._latest_batch_by_item.get(item.id) == batch.id
            and item.id in self._earlier_batch_by_item
        )

    def earlier_result(self, item: Item) -> Result | None:
        """Return the result that the item had in an earlier batch, if it succeeded."""
        earlier = self.state_by_id.get(self._earlier_batch_by_item.get(item.id, ""))
        if earlier is None:
            return None
        before = earlier.item(item.id)
        if before is None or (before.path, before.body) != (item.path, item.body):
            return None
        result = earlier.result_by_item.get(item.id)
        return result if result is not None and result.succeeded else None

    def _accept(self, batch: Batch) -> None:
        if batch.id in self.state_by_id:
            return
        self.state_by_id[batch.id] = BatchState(batch)
        for item in batch.items:
            earlier = self._latest_batch_by_item.get(item.id)
            if earlier is not None:
                self._earlier_batch_by_item[item.id] = earlier
            self._latest_batch_by_item[item.id] = batch.id
        self._forget_before(batch.submitted_at - self._keep)

    def _list(self, state: BatchState, results: list[Result]) -> None:
        for result in results:
            if result.item in state.result_by_item:
                continue
            if state.item(result.item) is None:
                continue
            state.results.append(result)
            state.result_by_item[result.item] = result
            if self._latest_batch_by_item.get(result.item) == state.batch.id:
                self.pieces_by_item.pop(result.item, None)

    def _progress(self, state: BatchState, message: Progressed) -> None:
        if message.item in state.result_by_item:
            return
        known = self.pieces_by_item.setdefault(message.item, [])
        if message.start > len(known):
            return
        # A later run may have begun again; what it says replaces the rest.
        del known[message.start :]
        known += [
            Piece(text, version)
            for text, version in zip(message.texts, message.versions)
        ]

    def _forget_before(self, limit: float) -> None:
        for batch_id, state in list(self.state_by_id.items()):
            if state.batch.submitted_at >= limit:
                return
            del self.state_by_id[batch_id]
            for item in state.batch.items:
                if self._latest_batch_by_item.get(item.id) == batch_id:
                    del self._latest_batch_by_item[item.id]
                    self.pieces_by_item.pop(item.id, None)
                if self._earlier_batch_by_item.get(item.id) == batch_id:
                    del self._earlier_batch_by_item[item.id]
