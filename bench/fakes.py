"""Fakes of what a host communicates with: log, host list, peers, weight store."""

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
    """The reachable hosts and zones, and the latency between zones."""

    def __init__(self, zone_latency_seconds: float) -> None:
        self.zone_latency_seconds = zone_latency_seconds
        self.zone_by_host: dict[str, str] = {}
        self.handler_by_host: dict[str, PeerHandler] = {}
        self.lost_zones: set[str] = set()

    async def delay(self, source: str, target: str) -> None:
        """Wait for the one-way latency from zone ``source`` to zone ``target``."""
        await asyncio.sleep(self.zone_latency_seconds if source != target else 0.0002)


class LogStore:
    """The records of all streams, shared by the fakes of all hosts."""

    def __init__(self) -> None:
        self.down = False
        self._records_by_stream: dict[str, list[Record]] = defaultdict(list)
        self._changed = asyncio.Event()

    def append(self, stream: str, values: list[Any]) -> int:
        """Append ``values`` and return the offset of the first."""
        records = self._records_by_stream[stream]
        first = len(records)
        for value in values:
            records.append(Record(len(records), clock.wall(), value))
        self._changed.set()
        self._changed = asyncio.Event()
        return first

    def read_from(self, stream: str, start: int, limit: int) -> LogPage:
        """Return up to ``limit`` records, from offset ``start`` on."""
        records = self._records_by_stream[stream]
        return LogPage(records[start : start + limit], 0, len(records))

    async def wait(self, seconds: float) -> None:
        """Wait until a record is appended, at most ``seconds``."""
        try:
            async with asyncio.timeout(seconds):
                await self._changed.wait()
        except TimeoutError:
            return


class FakeLog(Log):
    """One host's client of the shared records."""

    def __init__(self, store: LogStore) -> None:
        super().__init__()
        self._store = store

    async def append(self, stream: str, values: list[Any]) -> int:
        """See :meth:`Log.append`."""
        await asyncio.sleep(_APPEND_SECONDS)
        if self._store.down:
            raise LogUnavailableError(
                f"log is unavailable; records for {stream} were not appended",
                retry_after=2,
            )
        return self._store.append(stream, values)

    async def read(self, stream: str, start: int, limit: int, wait: float) -> LogPage:
        """See :meth:`Log.read`."""
        if self._store.down:
            raise LogReadError(f"log is unavailable; {stream} cannot be read")
        batch = self._store.read_from(stream, start, limit)
        if batch.records or wait <= 0:
            return batch
        await self._store.wait(wait)
        if self._store.down:
            raise LogReadError(f"log is unavailable; {stream} cannot be read")
        return self._store.read_from(stream, start, limit)


class FakeHostList(HostList):
    """A host list that returns the entries of ``lag`` seconds ago."""

    def __init__(self, lag: float = 2.0) -> None:
        self._lag = lag
        self._history: list[tuple[float, list[HostEntry]]] = []

    def publish(self, entries: list[HostEntry]) -> None:
        """Replace the list by ``entries``; readers see them after the lag."""
        self._history.append((clock.now(), list(entries)))

    async def read(self) -> list[HostEntry]:
        """See :meth:`HostList.read`."""
        visible = [
            entries for at, entries in self._history if at <= clock.now() - self._lag
        ]
        if not visible and not self._history:
            raise HostListError("no host list has been published yet")
        return list(visible[-1] if visible else self._history[0][1])


class FakePeers(Peers):
    """Calls the handlers of other hosts over the fake network."""

    def __init__(self, settings: Any, rng: Any, network: Network) -> None:
        super().__init__(settings, rng)
        self._network = network
        self._zone = settings.zone
        self._id = settings.id

    async def start(self) -> None:
        """Register the handler at the network and start to exchange views."""
        self._network.zone_by_host[self._id] = self._zone
        self._network.handler_by_host[self._id] = PeerHandler(self)
        self.supervise(self._exchange_forever)

    async def stop(self) -> None:
        """Remove the handler from the network and stop."""
        self._network.handler_by_host.pop(self._id, None)
        await super().stop()

    async def call(
        self, entry: HostEntry, method: str, *args: Any, timeout: float | None = None
    ) -> Any:
        """See :meth:`Peers.call`."""
        network = self._network
        await network.delay(self._zone, entry.zone)
        handler = network.handler_by_host.get(entry.id)
        if handler is None or {entry.zone, self._zone} & network.lost_zones:
            await asyncio.sleep(timeout or self._settings.timing.peer_timeout)
            raise PeerError(f"peer {entry.id} is unreachable; {method} was not called")
        reply = await getattr(handler, method)(*args)
        await network.delay(entry.zone, self._zone)
        return reply


class NoHttp(HttpClients):
    """HTTP clients without sessions, which the fakes do not need."""

    async def start(self) -> None:
        """Open no sessions."""

    async def stop(self) -> None:
        """Do nothing, as no sessions are open."""


class NoApi(Api):
    """An API that does not listen, as simulated clients call the services directly."""

    async def start(self) -> None:
        """Accept calls without opening a port."""
        self.accepting = True

    async def stop(self) -> None:
        """Do nothing, as no port is open."""


class WeightStore:
    """Divides its rate among the loads in progress; rejects loads above its limit.

    :param load_seconds: duration of a load that has the whole rate.
    :param max_loads: highest number of loads in progress.
    """

    def __init__(self, load_seconds: float = 6.0, max_loads: int = 4) -> None:
        self._load_seconds = load_seconds
        self._max_loads = max_loads
        self._loads_in_progress = 0

    async def download(self) -> bool:
        """Load one version; return False if the store rejects the load."""
        if self._loads_in_progress >= self._max_loads:
            return False
        self._loads_in_progress += 1
        remaining = 1.0
        try:
            while remaining > 0:
                await asyncio.sleep(0.25)
                remaining -= 0.25 / (self._load_seconds * self._loads_in_progress)
        finally:
            self._loads_in_progress -= 1
        return True
