"""Counts the requests that targets began to run, by workspace and window. No I/O."""

from __future__ import annotations

import math
from collections.abc import Iterator
from contextlib import contextmanager

from .. import clock
from ..exceptions import RefusedError
from ..fleet.client import Request

# A target that refuses a request does so at once, so a request without an answer is
# counted after this time. Reports are composed some seconds after their window.
_UNREFUSED_SECONDS = 1.0


class UsageCounter:
    """The counts of this host that are not yet in the store.

    Without workspaces nothing is counted.

    :param window_seconds: length of a window; window k begins k windows after the start
        of 1970.
    """

    def __init__(self, window_seconds: float) -> None:
        self._window_seconds = window_seconds
        self._counts_by_window: dict[int, dict[str, int]] = {}
        self._open: set[RequestUsage] = set()

    def window_of(self, wall: float) -> int:
        """Return the window of a time in seconds since 1970."""
        return math.floor(wall / self._window_seconds)

    def count(self, workspace: str, wall: float) -> None:
        """Count one request that a target began to run at ``wall``."""
        counts = self._counts_by_window.setdefault(self.window_of(wall), {})
        counts[workspace] = counts.get(workspace, 0) + 1

    def take(self, now: float, closing: bool = False) -> dict[int, dict[str, int]]:
        """Return the counts of each window and start anew.

        :param now: seconds since 1970.
        :param closing: whether to count all open requests because the process ends.
        """
        for usage in list(self._open):
            usage.count_if_sent_before(now if closing else now - _UNREFUSED_SECONDS)
        counts, self._counts_by_window = self._counts_by_window, {}
        return counts

    def forget_before(self, window: int) -> None:
        """Remove the counts of windows that are too old for a report."""
        for old in [each for each in self._counts_by_window if each < window]:
            del self._counts_by_window[old]

    def watch(self, usage: RequestUsage) -> None:
        """Count an open request in :meth:`take` if it stays without an answer."""
        self._open.add(usage)

    def unwatch(self, usage: RequestUsage) -> None:
        """Stop what :meth:`watch` began."""
        self._open.discard(usage)


class RequestUsage:
    """The attempts at one request of a caller, which is counted at most once.

    It counts for the time at which its first attempt was sent that no target refused,
    or for the time of its first token if it streams. An attempt whose outcome is not
    known may have been run, so it counts.

    :param counter: None if nothing is counted.
    """

    def __init__(self, counter: UsageCounter | None, request: Request) -> None:
        self._counter = counter if request.workspace is not None else None
        self._workspace = request.workspace or ""
        self._sent_at: list[float] = []

    @contextmanager
    def attempt(self, streamed: bool = False) -> Iterator[None]:
        """Send one attempt in the block, which raises what the client raises.

        :param streamed: whether :meth:`begin` follows at the first token.
        """
        if self._counter is None:
            yield
            return
        sent_at = clock.wall()
        self._sent_at.append(sent_at)
        if not streamed:
            self._counter.watch(self)
        try:
            yield
        except RefusedError:
            self._sent_at.remove(sent_at)
            raise

    def begin(self) -> None:
        """Count the request now, unless it is counted already."""
        self._count(clock.wall())

    def close(self) -> None:
        """Count the request if a target may have begun it; no attempt follows."""
        if self._sent_at:
            self._count(min(self._sent_at))
        elif self._counter is not None:
            self._counter.unwatch(self)

    def count_if_sent_before(self, wall: float) -> None:
        """Count the request if an attempt that was not refused is older."""
        if self._sent_at and min(self._sent_at) < wall:
            self._count(min(self._sent_at))

    def _count(self, wall: float) -> None:
        if self._counter is None:
            return
        self._counter.unwatch(self)
        self._counter.count(self._workspace, wall)
        self._counter = None
