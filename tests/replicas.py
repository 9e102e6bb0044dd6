"""Replicas of the configuration on the virtual clock, connected without sockets."""

from __future__ import annotations

import asyncio
import random
from typing import Any

from cranberryrun import clock
from cranberryrun.configuration import Configuration
from cranberryrun.events import Events
from cranberryrun.exceptions import (
    AppendUnknownError,
    HostListError,
    LogReadError,
    LogUnavailableError,
    PeerError,
)
from cranberryrun.kernel import Kernel, Service
from cranberryrun.log import Log, LogPage, Record
from cranberryrun.membership import HostEntry, HostList, Membership
from cranberryrun.models import Change
from cranberryrun.peers import Peers, wire
from cranberryrun.settings import parse_settings
from cranberryrun.snapshots import Snapshots
from standins.log import AckLost, LogStandin, LogUnavailable, RateExceeded

WORKLOAD_SPEC = {"pool": "rollout", "freshness_bound": 2}


def put(change_id: str, name: str = "denoiser", expected: int = 0, **spec: Any):
    """Return a change that declares a workload."""
    return Change(
        change_id=change_id,
        kind="workloads",
        name=name,
        expected_generation=expected,
        operation="put",
        spec=WORKLOAD_SPEC | spec,
    )


class StandinLog(Log):
    """Calls the log's stand-in directly; ``cut`` separates this host from the log."""

    def __init__(self, standin: LogStandin) -> None:
        super().__init__()
        self._standin = standin
        self.cut = False

    async def append(self, stream: str, values: list[Any]) -> int:
        """See :meth:`Log.append`."""
        if self.cut:
            raise LogUnavailableError("cut", retry_after=1)
        try:
            return await self._standin.append(stream, values)
        except AckLost:
            raise AppendUnknownError("lost") from None
        except (LogUnavailable, RateExceeded):
            raise LogUnavailableError("down", retry_after=1) from None

    async def read(self, stream: str, start: int, limit: int, wait: float) -> LogPage:
        """See :meth:`Log.read`."""
        if self.cut:
            raise LogReadError("cut")
        try:
            page = await self._standin.read(stream, start, limit, wait)
        except LogUnavailable:
            raise LogReadError("down") from None
        records = [Record(row.offset, row.time, row.value) for row in page.records]
        return LogPage(records, page.first, page.next)


class FixedHostList(HostList):
    """A host list whose entries a test sets; ``down`` makes it unavailable."""

    def __init__(self) -> None:
        self.entries: list[HostEntry] = []
        self.down = False

    async def read(self) -> list[HostEntry]:
        """See :meth:`HostList.read`."""
        if self.down:
            raise HostListError("down")
        return list(self.entries)


class StubHttpClients(Service):
    """Replaces the HTTP sessions, which the replicas do not use."""

    name = "http"


class DirectPeers(Peers):
    """Calls the handlers of other replicas directly.

    A call from or to a host in :attr:`ReplicaSet.silent_ids` times out.
    """

    def __init__(
        self, replica_set: ReplicaSet, settings: Any, rng: random.Random
    ) -> None:
        super().__init__(settings, rng)
        self._replica_set = replica_set

    async def start(self) -> None:
        """Start the exchange of views."""
        self.supervise(self._exchange_forever)

    async def stop(self) -> None:
        """Stop the exchange of views."""
        await Service.stop(self)

    async def call(
        self, entry: HostEntry, method: str, *args: Any, timeout: float | None = None
    ) -> Any:
        """See :meth:`Peers.call`."""
        kernel = self._replica_set.kernel_by_port.get(entry.peer_port)
        is_silent = {entry.id, self._settings.id} & self._replica_set.silent_ids
        if kernel is None or is_silent:
            await asyncio.sleep(timeout or self._settings.timing.peer_timeout)
            raise PeerError(f"peer {entry.id} did not answer")
        await asyncio.sleep(0.001)
        peers = kernel.get(Peers)
        if method == "exchange":
            return peers.answer_exchange(*args)
        try:
            return await peers.handler_by_call[method](*args)
        except KeyError:
            raise PeerError(
                f"peer {entry.id} has not registered a handler for {method} yet"
            ) from None


class ReplicaSet:
    """A log, a host list and the replicas that use them.

    :param retention: retention of the log, in seconds.
    """

    def __init__(self, retention: float = 3600.0) -> None:
        self.log = LogStandin(retention=retention)
        self.list = FixedHostList()
        self.kernel_by_port: dict[int, Kernel] = {}
        self.silent_ids: set[str] = set()
        self._retention = retention

    async def host(
        self, n: int, incarnation: int = 1, listed: bool = True, **changes: Any
    ) -> Kernel:
        """Start the replica of ``host-n`` and return its services."""
        data = {
            "id": f"host-{n}",
            "incarnation": incarnation,
            "zone": f"zone-{n}",
            "api_port": 1000 + n,
            "peer_port": 2000 + n,
            "log": {"url": "http://log", "retention": self._retention},
            "host_list_url": "http://list",
            **changes,
        }
        settings = parse_settings(data)
        if listed:
            self.put_on_list(n, incarnation)
        kernel = Kernel()
        rng = random.Random(n)
        membership = Membership(settings, incarnation)
        membership.use_host_list(self.list)
        for service in (
            StubHttpClients(),
            Events(settings.id, incarnation, 1000),
            membership,
            DirectPeers(self, settings, rng),
            StandinLog(self.log),
            Configuration(settings, rng),
            Snapshots(settings, rng),
        ):
            kernel.register(service)
        self.kernel_by_port[settings.peer_port] = kernel
        await kernel.start()
        return kernel

    def put_on_list(self, n: int, incarnation: int, state: str = "live") -> None:
        """Put ``host-n`` on the host list; it replaces an older entry of the host."""
        entry = HostEntry(
            id=f"host-{n}",
            kind="entry",
            ip="127.0.0.1",
            peer_port=2000 + n,
            zone=f"zone-{n}",
            incarnation=incarnation,
            state=state,
        )
        others = [each for each in self.list.entries if each.id != entry.id]
        self.list.entries = [*others, entry]

    async def stop(self, n: int) -> None:
        """Stop the replica of ``host-n``."""
        await self.kernel_by_port.pop(2000 + n).stop()

    async def close(self) -> None:
        """Stop all replicas."""
        for kernel in self.kernel_by_port.values():
            await kernel.stop()


def configuration_of(kernel: Kernel) -> Configuration:
    """Return the configuration of a replica."""
    return kernel.get(Configuration)


def event_names(kernel: Kernel) -> list[str]:
    """Return the names of the events that a replica has emitted."""
    return [event.kind.name for event in kernel.get(Events).after(-1)]


async def until(condition: Any, seconds: float = 30.0) -> None:
    """Wait until ``condition()`` is true.

    :raises TimeoutError: it is still false after ``seconds``.
    """
    deadline = clock.now() + seconds
    while not condition():
        if clock.now() > deadline:
            raise TimeoutError
        await asyncio.sleep(0.05)


def snapshot_reply(text: str) -> Any:
    """Return a peer's answer to a request for its snapshot."""
    return wire.Snapshot(ready=True, state=text, facts=[])
