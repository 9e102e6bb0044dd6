"""Reads results from the holder of the lease instead of from the store.

A host that a caller asks for results for the first time would read the whole topic of
the batch, which takes up to a second over a slow link. The holder has it in memory, and
sends only the results that are asked for.
"""

from __future__ import annotations

from .. import clock
from ..exceptions import PeerError
from ..fleet.lease import Lease
from ..kernel import Service
from ..metrics import Metrics
from .result_source import ResultPage, ResultSource

# On a faster link, a topic of one or two megabytes is read in less than 0.2 s.
_SLOW_LINK_MBPS = 100.0
# After a call that failed, results are read from the store for this long.
_COOLDOWN_SECONDS = 1.0
# A holder that is suspended or lost is noticed only when a call has no answer in time,
# so a longer wait is made of several calls. The lease passes on after a second.
_MAX_CALL_WAIT_SECONDS = 1.0


class RemoteResults(Service):
    """Asks the holder of the lease for batches, if this host's link is slow.

    :param host: the name of this host.
    :param link_mbps: the rate of this host's network link in Mbit/s.
    """

    name = "remote_results"
    requires = ("metrics", "lease", "result_source")

    def __init__(self, host: str, link_mbps: float) -> None:
        super().__init__()
        self._host = host
        self._link_is_slow = link_mbps < _SLOW_LINK_MBPS
        self._ask_again_at = float("-inf")

    async def read(self, batch_id: str, after: int, wait: float) -> ResultPage | None:
        """Return the results that the holder has; None to read the store instead.

        :param wait: how long to wait for the first result, in seconds.
        """
        if not self._link_is_slow:
            return None
        deadline = clock.now() + wait
        while True:
            call_ends_at = min(deadline, clock.now() + _MAX_CALL_WAIT_SECONDS)
            page = await self._ask(batch_id, after, call_ends_at - clock.now())
            if page is None or page.results:
                return page
            # A holder that answers before its time expects no more results.
            if clock.now() < call_ends_at or clock.now() >= deadline:
                return page

    async def find(self, batch_id: str, store_failed: bool) -> ResultPage | None:
        """Return an empty page of a batch that the holder has in memory.

        :param store_failed: whether the store can't be read; then hosts on fast links
            ask, too.
        :return: None if the holder is not asked or does not have the batch.
        """
        if not self._link_is_slow and not store_failed:
            return None
        return await self._ask(batch_id, None, 0.0)

    async def _ask(
        self, batch_id: str, after: int | None, wait: float
    ) -> ResultPage | None:
        holder = self.kernel.get(Lease).holder_host
        if holder is None or holder == self._host:
            return None
        if clock.now() < self._ask_again_at:
            return None
        source = self.kernel.get(ResultSource)
        try:
            page = await source.read(holder, batch_id, after, wait)
        except PeerError:
            self._ask_again_at = clock.now() + _COOLDOWN_SECONDS
            self.kernel.get(Metrics).remote_results("failed")
            return None
        self.kernel.get(Metrics).remote_results("unknown" if page is None else "read")
        return page
