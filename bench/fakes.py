"""Small fakes at the borders of a host: log, host list, peers, weight store."""

from __future__ import annotations

import asyncio
from collections import defaultdict
from typing import Any

from cranberryrun import clock
from cranberryrun.api import Api
from cranberryrun.exceptions import (
    HostListError,
    LogReadError,
    LogUnavailableError,
    PeerError,
)
from cranberryrun.http import HttpClients
from cranberryrun.log import Log, LogPage, Record
from cranberryrun.membership import HostEntry, HostList
from cranberryrun.peers import PeerHandler, Peers

_APPEND_SECONDS = 0.01


class Network:
    """Which hosts and zones can be reached, and how long that takes."""

    def __init__(self, zone_seconds: float) -> None:
        self.zone_seconds = zone_seconds
        self.zone_by_host: dict[str, str] = {}
        self.handler_by_host: dict[str, PeerHandler] = {}
        self.lost_zones: set[str] = set()

    async def travel(self, source: str, target: str) -> None:
        """Take one way from zone ``source`` to zone ``target``."""
        await asyncio.sleep(self.zone_seconds if source != target else 0.0002)


class LogStore:
    """The records of all streams, shared by the fakes of all hosts."""

    def __init__(self) -> None:
        self.down = False
        self._records_by_stream: dict[str, list[Record]] = defaultdict(list)
        self._changed = asyncio.Event()

    def append(self, stream: str, values: list[Any]) -> int:
        """Append and return the first offset."""
        records = self._records_by_stream[stream]
        first = len(records)
        for value in values:
            records.append(Record(len(records), clock.wall(), value))
        self._changed.set()
        self._changed = asyncio.Event()
        return first

    def since(self, stream: str, start: int, limit: int) -> LogPage:
        """Return up to ``limit`` records from ``start`` on."""
        records = self._records_by_stream[stream]
        return LogPage(records[start : start + limit], 0, len(records))

    async def wait(self, seconds: float) -> None:
        """Wait for an append, at most ``seconds``."""
        try:
            async with asyncio.timeout(seconds):
                await self._changed.wait()
        except TimeoutError:
            return


class FakeLog(Log):
    """One host's way to the shared records."""

    def __init__(self, store: LogStore) -> None:
        super().__init__()
        self._store = store

    async def append(self, stream: str, values: list[Any]) -> int:
        """See :meth:`Log.append`."""
        await asyncio.sleep(_APPEND_SECONDS)
        if self._store.down:
            raise LogUnavailableError("the log is down", retry_after=2)
        return self._store.append(stream, values)

    async def read(self, stream: str, start: int, limit: int, wait: float) -> LogPage:
        """See :meth:`Log.read`."""
        if self._store.down:
            raise LogReadError("the log is down")
        batch = self._store.since(stream, start, limit)
        if batch.records or wait <= 0:
            return batch
        await self._store.wait(wait)
        if self._store.down:
            raise LogReadError("the log is down")
        return self._store.since(stream, start, limit)


class FakeHostList(HostList):
    """A list that lags: what it says was true ``lag`` seconds ago."""

    def __init__(self, lag: float = 2.0) -> None:
        self._lag = lag
        self._history: list[tuple[float, list[HostEntry]]] = []

    def put(self, entries: list[HostEntry]) -> None:
        """Make ``entries`` the truth from now on."""
        self._history.append((clock.now(), list(entries)))

    async def read(self) -> list[HostEntry]:
        """See :meth:`HostList.read`."""
        seen = [rows for at, rows in self._history if at <= clock.now() - self._lag]
        if not seen and not self._history:
            raise HostListError("the list is empty")
        return list(seen[-1] if seen else self._history[0][1])


class FakePeers(Peers):
    """Peers that call each other's handlers over the fake network."""

    def __init__(self, settings: Any, rng: Any, network: Network) -> None:
        super().__init__(settings, rng)
        self._network = network
        self._zone = settings.zone
        self._id = settings.id

    async def start(self) -> None:
        """Put the handler on the network and begin to exchange views."""
        self._network.zone_by_host[self._id] = self._zone
        self._network.handler_by_host[self._id] = PeerHandler(self)
        self.supervise(self._exchange_forever)

    async def stop(self) -> None:
        """Leave the network."""
        self._network.handler_by_host.pop(self._id, None)
        await super().stop()

    async def call(
        self, entry: HostEntry, method: str, *args: Any, timeout: float | None = None
    ) -> Any:
        """See :meth:`Peers.call`."""
        network = self._network
        await network.travel(self._zone, entry.zone)
        handler = network.handler_by_host.get(entry.id)
        if handler is None or {entry.zone, self._zone} & network.lost_zones:
            await asyncio.sleep(timeout or self._settings.timing.peer_timeout)
            raise PeerError(f"{entry.id} does not answer")
        answer = await getattr(handler, method)(*args)
        await network.travel(entry.zone, self._zone)
        return answer


class NoHttp(HttpClients):
    """No sessions: the fakes need none."""

    async def start(self) -> None:
        """Open nothing."""

    async def stop(self) -> None:
        """Close nothing."""


class NoApi(Api):
    """An API that doesn't listen: clients call the services themselves."""

    async def start(self) -> None:
        """Listen nowhere."""
        self.accepting = True

    async def stop(self) -> None:
        """Close nothing."""


class WeightStore:
    """Shares its rate among the loads under way; refuses those over its limit.

    ``load_seconds`` is how long one load takes alone.
    """

    def __init__(self, load_seconds: float = 6.0, concurrent: int = 4) -> None:
        self._load_seconds = load_seconds
        self._concurrent = concurrent
        self._loads = 0

    async def download(self) -> bool:
        """Read one version; say whether the store let it."""
        if self._loads >= self._concurrent:
            return False
        self._loads += 1
        left = 1.0
        try:
            while left > 0:
                await asyncio.sleep(0.25)
                left -= 0.25 / (self._load_seconds * self._loads)
        finally:
            self._loads -= 1
        return True
