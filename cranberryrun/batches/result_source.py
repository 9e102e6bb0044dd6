"""The interface through which a host reads results of a batch from another host."""

from __future__ import annotations

from abc import abstractmethod
from dataclasses import dataclass

from ..kernel import Service
from .models import Result


@dataclass(frozen=True, slots=True)
class ResultPage:
    """Consecutive results of a batch. ``total`` is the number of its items.

    ``next`` is the position after the last result of the page, and ``workspace`` the
    owner of the batch.
    """

    total: int
    next: int
    results: list[Result]
    workspace: str | None = None

    @property
    def text_size(self) -> int:
        """The number of characters of all results."""
        return sum(len(result.text) for result in self.results)


class ResultSource(Service):
    """Reads from other hosts what they have in memory."""

    name = "result_source"

    @abstractmethod
    async def read(
        self, host: str, batch_id: str, after: int | None, wait: float
    ) -> ResultPage | None:
        """Return results of a batch from position ``after`` on.

        :param after: None asks for no results, only whether the batch exists and whose
            it is, which needs no read of the store.
        :param wait: how long ``host`` may wait for the first of them, in seconds.
        :return: None if the host does not have the batch or the page is too large.
        :raises PeerError: the host can't be reached, or can't read the store.
        """
