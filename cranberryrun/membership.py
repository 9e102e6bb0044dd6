"""Known hosts and targets: the platform's host list merged with peers' views."""

from __future__ import annotations

import asyncio
import json
from abc import ABC, abstractmethod
from bisect import bisect_left
from collections.abc import Callable, Iterable
from typing import Literal

import aiohttp
from pydantic import BaseModel, ConfigDict, ValidationError

from . import clock
from .absences import Absences
from .events import Events
from .exceptions import HostListError
from .http import HttpClients
from .kernel import Service
from .settings import Settings
from .views import LEAVING, Fact, FactKind, Views

_STEP_RETENTION_MS = 2 * 3600 * 1000
_LIST_ENTRY_BYTES = 170
_MAX_POLL_INTERVAL_SECONDS = 120.0


class HostEntry(BaseModel):
    """One entry of the platform's host list; unknown fields are ignored."""

    model_config = ConfigDict(extra="ignore")

    id: str
    kind: Literal["entry", "target"]
    ip: str = ""
    api_port: int = 0
    peer_port: int = 0
    zone: str = ""
    incarnation: int = 0
    state: Literal["live", "leaving"] = "live"


class HostList(ABC):
    """Reads the platform's host list. Subclass it for another platform."""

    @abstractmethod
    async def read(self) -> list[HostEntry]:
        """Return all entries; :raises HostListError: if the list can't be read."""


class HttpHostList(HostList):
    """Reads the list over HTTP; ``docs/PLATFORM.md`` specifies the request."""

    def __init__(self, url: str, clients: HttpClients, timeout: float) -> None:
        self._url = f"{url}/hosts"
        self._clients = clients
        self._timeout = aiohttp.ClientTimeout(total=timeout)

    async def read(self) -> list[HostEntry]:
        """See :meth:`HostList.read`."""
        try:
            async with self._clients.reads.get(
                self._url, timeout=self._timeout, allow_redirects=False
            ) as answer:
                if answer.status != 200:
                    raise HostListError(
                        f"the host list request failed with HTTP status {answer.status}"
                    )
                body = json.loads(await self._clients.read(answer))
                return [HostEntry.model_validate(row) for row in body["hosts"]]
        except (
            aiohttp.ClientError,
            asyncio.TimeoutError,
            ValidationError,
            ValueError,
            KeyError,
        ) as error:
            raise HostListError(f"the host list can't be read: {error!r}") from None


def _seed_entries(settings: Settings) -> dict[str, HostEntry]:
    """Return entries, by address, for the peers named in the settings.

    The address stands in for the id until the peer's first answer gives its id.
    """
    entry_by_seed: dict[str, HostEntry] = {}
    own_address = f"{settings.ip}:{settings.peer_port}"
    for seed in settings.peers:
        if seed == own_address:
            continue
        ip, _, port = seed.rpartition(":")
        entry_by_seed[seed] = HostEntry(
            id=seed, kind="entry", ip=ip, peer_port=int(port)
        )
    return entry_by_seed


class Membership(Service):
    """Tracks hosts and targets. A leaving one stays so until its next incarnation."""

    name = "membership"
    requires = ("http", "events")

    def __init__(self, settings: Settings, incarnation: int) -> None:
        super().__init__()
        self._settings = settings
        self.incarnation = incarnation
        self.views = Views()
        self._absences = Absences()
        self._retained_id_sources: list[Callable[[], Iterable[str]]] = []
        self.entry_by_id: dict[str, HostEntry] = {}
        self._target_by_id: dict[str, HostEntry] = {}
        self._offset_by_host: dict[str, tuple[int, int]] = {}
        self._change_count = 0
        self._peers_by_offset: list[tuple[int, str]] = []
        self._sorted_at_change = -1
        self._list_read_at: float | None = None
        self._peer_answered_at: float | None = None
        self._synced_at_by_zone: dict[str, float] = {}
        self._host_list: HostList | None = None
        self._suspected_ids: set[str] = set()
        self._entry_by_seed = _seed_entries(settings)

    def use_host_list(self, host_list: HostList) -> None:
        """Read from ``host_list`` instead of the URL in the settings."""
        self._host_list = host_list

    def retain(self, ids: Callable[[], Iterable[str]]) -> None:
        """Never forget facts about the ids that ``ids`` returns, listed or not."""
        self._retained_id_sources.append(ids)

    async def start(self) -> None:
        """Add this host's own fact and start to poll the host list."""
        if self._host_list is None:
            self._host_list = HttpHostList(
                self._settings.host_list_url,
                self.kernel.get(HttpClients),
                self._settings.timing.peer_timeout,
            )
        self.learn([self._own_fact(0)])
        self.supervise(self._poll)

    @property
    def id(self) -> str:
        """The id of this host."""
        return self._settings.id

    @property
    def host_count(self) -> int:
        """The number of known entry hosts, including this one."""
        return len(self.entry_by_id) + (self.id not in self.entry_by_id)

    def learn(self, facts: Iterable[Fact]) -> list[Fact]:
        """Merge ``facts`` into the views and return those that were new.

        If a new fact says that this host is suspected, refute it.
        """
        new_facts = self.views.merge(facts, self.host_count)
        self._change_count += bool(new_facts)
        for fact in new_facts:
            self._refute(fact)
            self._detect_return(fact)
            if fact.kind is FactKind.TARGET and fact.value >= LEAVING:
                self.kernel.get(Events).emit("target_leaving", target=fact.name)
        return new_facts

    def _refute(self, fact: Fact) -> None:
        if fact.kind is not FactKind.HOST or fact.name != self.id:
            return
        if fact.incarnation == self.incarnation and fact.value % 2 == 1:
            self.views.merge([self._own_fact(fact.value + 1)], self.host_count)

    def _detect_return(self, fact: Fact) -> None:
        if fact.kind is not FactKind.HOST:
            return
        if fact.value % 2 == 1 and fact.value < LEAVING:
            self._suspected_ids.add(fact.name)
            return
        if fact.name not in self._suspected_ids:
            return
        self._suspected_ids.discard(fact.name)
        if fact.value < LEAVING:
            self.kernel.get(Events).emit("peer_returned", peer=fact.name)

    def _own_fact(self, value: int) -> Fact:
        return Fact(FactKind.HOST, self.id, self.incarnation, value)

    def announce_leaving(self) -> None:
        """Mark this host as leaving; the next exchanges tell the peers."""
        self.learn([self._own_fact(LEAVING)])

    def suspect(self, host_id: str) -> None:
        """Mark a host as suspected because it did not answer; it may refute that."""
        fact = self.views.get(FactKind.HOST, host_id)
        if fact is None:
            entry = self.entry_by_id.get(host_id)
            incarnation = entry.incarnation if entry else 0
            fact = Fact(FactKind.HOST, host_id, incarnation, 0)
        if fact.value >= LEAVING or fact.value % 2 == 1:
            return
        self.learn([Fact(FactKind.HOST, host_id, fact.incarnation, fact.value + 1)])
        self.kernel.get(Events).emit("peer_unreachable", peer=host_id)

    def is_suspected(self, host_id: str) -> bool:
        """Return whether a host is suspected: it did not answer its last request."""
        fact = self.views.get(FactKind.HOST, host_id)
        return fact is not None and fact.value < LEAVING and fact.value % 2 == 1

    def record_contact(self, host_id: str, at: float | None = None) -> None:
        """Record contact with a peer.

        :param at: loop time at which the request was sent; now if not given. The
            answer may have stayed unread while this process was paused, so it can
            be as old as the request.
        """
        contact_at = clock.now() if at is None else at
        self._peer_answered_at = max(self._peer_answered_at or contact_at, contact_at)

    def record_sync(self, host_id: str, at: float | None = None) -> None:
        """Record that this host has all facts that a peer had at loop time ``at``."""
        entry = self.entry_by_id.get(host_id)
        if entry is None:
            return
        synced_at = clock.now() if at is None else at
        known = self._synced_at_by_zone.get(entry.zone, synced_at)
        self._synced_at_by_zone[entry.zone] = max(known, synced_at)

    def peer_sync_age(self) -> float:
        """Return seconds since this host last had all facts of a peer in another zone.

        If all hosts are in one zone, any peer counts.
        """
        own_zone = self._settings.zone
        zones = {entry.zone for entry in self.peers()}
        other_zones = {zone for zone in zones if zone != own_zone} or zones
        sync_times = [self._synced_at_by_zone.get(zone) for zone in other_zones]
        times = [at for at in sync_times if at is not None]
        return clock.now() - max(times) if times else float("inf")

    def record_peer_answer(
        self, entry: HostEntry, host_id: str, zone: str, at: float
    ) -> None:
        """Record a peer's answer to a request sent at loop time ``at``.

        If the peer is a seed from the settings, also record its id and zone.
        """
        self.record_contact(host_id, at)
        seed = f"{entry.ip}:{entry.peer_port}"
        if entry.id == seed and host_id and seed in self._entry_by_seed:
            self._change_count += 1
            self._entry_by_seed[seed] = entry.model_copy(
                update={"id": host_id, "zone": zone or ""}
            )

    def contact_age(self) -> float:
        """Return seconds since the host list was read or any peer answered."""
        contact_times = [
            at for at in (self._list_read_at, self._peer_answered_at) if at is not None
        ]
        if not contact_times:
            return float("inf")
        return clock.now() - max(contact_times)

    def _is_live(self, entry: HostEntry) -> bool:
        fact = self.views.get(FactKind.HOST, entry.id)
        if fact is None or fact.incarnation < entry.incarnation:
            return entry.state == "live"
        return fact.value < LEAVING and fact.value % 2 == 0

    def peers(self) -> list[HostEntry]:
        """Return the other entry hosts, including suspected ones.

        These are the hosts on the list or, until it was first read, the seeds.
        """
        entries = self.entry_by_id.values()
        if self._list_read_at is None:
            entries = self._entry_by_seed.values()
        return [entry for entry in entries if entry.id != self.id]

    def live_peers(self) -> list[HostEntry]:
        """Return the other entry hosts that are neither leaving nor suspected."""
        return [entry for entry in self.peers() if self._is_live(entry)]

    def live_ids(self) -> list[str]:
        """Return the sorted ids of all live hosts, this one unless it is leaving."""
        ids = [entry.id for entry in self.live_peers()]
        own = self.views.get(FactKind.HOST, self.id)
        if own is None or own.value < LEAVING:
            ids.append(self.id)
        return sorted(ids)

    def all_entries(self) -> list[HostEntry]:
        """Return all known entry hosts by id, including this one if not listed."""
        settings = self._settings
        own = HostEntry(
            id=self.id,
            kind="entry",
            ip=settings.ip,
            api_port=settings.api_port,
            peer_port=settings.peer_port,
            zone=settings.zone,
            incarnation=self.incarnation,
        )
        entries = [*self.peers(), self.entry_by_id.get(self.id, own)]
        return sorted(entries, key=lambda entry: entry.id)

    def state_of(self, host_id: str) -> str:
        """Return "live", "suspected" or "leaving"."""
        fact = self.views.get(FactKind.HOST, host_id)
        if host_id in self.live_ids():
            return "live"
        if fact is not None and fact.value < LEAVING:
            return "suspected"
        return "leaving"

    def target_leaving(self, target_id: str) -> bool:
        """Return whether a target is leaving."""
        fact = self.views.get(FactKind.TARGET, target_id)
        entry = self._target_by_id.get(target_id)
        incarnation = entry.incarnation if entry else 0
        return (
            fact is not None
            and fact.value >= LEAVING
            and fact.incarnation >= incarnation
        )

    def record_offset(self, host_id: str, incarnation: int, offset: int) -> None:
        """Record the configuration offset that a host reports as applied."""
        known = self._offset_by_host.get(host_id, (0, -1))
        newest = max(known, (incarnation, offset))
        if newest != known:
            self._offset_by_host[host_id] = newest
            self._change_count += 1

    def lagging_peer_ids(self, offset: int) -> list[str]:
        """Return the ids of live peers not known to have applied ``offset``."""
        if self._sorted_at_change != self._change_count:
            self._peers_by_offset = sorted(
                (self.offset_of(peer.id), peer.id) for peer in self.live_peers()
            )
            self._sorted_at_change = self._change_count
        return [peer for _, peer in self._peers_by_offset[: self._count_below(offset)]]

    def _count_below(self, offset: int) -> int:
        return bisect_left(self._peers_by_offset, offset, key=lambda row: row[0])

    def offset_of(self, host_id: str) -> int:
        """Return the newest offset that a host reported as applied; -1 if none."""
        incarnation, offset = self._offset_by_host.get(host_id, (0, -1))
        entry = self.entry_by_id.get(host_id)
        if entry is not None and incarnation < entry.incarnation:
            return -1
        return offset

    async def _poll(self) -> None:
        events = self.kernel.get(Events)
        unreadable = False
        while True:
            try:
                await self.read_list()
                if unreadable:
                    events.emit("host_list_back")
                unreadable = False
            except HostListError as error:
                if not unreadable:
                    events.emit("host_list_lost", error=error.detail)
                unreadable = True
            self._forget_old_steps()
            await asyncio.sleep(self._poll_interval())

    def _poll_interval(self) -> float:
        """Return seconds until the next poll.

        The interval grows with the list to keep within the configured byte rate.
        Other hosts poll at other times and pass on which hosts and targets leave.
        """
        timing = self._settings.timing
        size = (len(self.entry_by_id) + len(self._target_by_id)) * _LIST_ENTRY_BYTES
        within_rate = size / self._settings.limits.list_bytes_per_second
        return min(max(timing.list_poll, within_rate), _MAX_POLL_INTERVAL_SECONDS)

    async def read_list(self) -> None:
        """Read the host list now; :raises HostListError: if it can't be read."""
        request_time = clock.now()
        entries = await self._host_list.read()
        self.apply_host_list(entries, request_time)

    def apply_host_list(
        self, entries: list[HostEntry], at: float | None = None
    ) -> None:
        """Apply the entries of a host list that was requested at loop time ``at``."""
        self._list_read_at = clock.now() if at is None else at
        self._change_count += 1
        self.entry_by_id = {host.id: host for host in entries if host.kind == "entry"}
        self._target_by_id = {
            target.id: target for target in entries if target.kind == "target"
        }
        facts: list[Fact] = []
        for entry in entries:
            if entry.state != "leaving":
                continue
            kind = FactKind.HOST if entry.kind == "entry" else FactKind.TARGET
            if entry.id == self.id and entry.kind == "entry":
                continue
            facts.append(Fact(kind, entry.id, entry.incarnation, LEAVING))
        self.learn(facts)
        self._update_absences(entries)

    def _update_absences(self, entries: list[HostEntry]) -> None:
        now = clock.now()
        listed = {entry.id for entry in entries} | {self.id}
        for ids in self._retained_id_sources:
            listed.update(ids())
        self._absences.update(self.views.by_key, listed, now)
        self.views.exclude(self._absences.excluded_keys(now))
        self.views.reject(self._absences.forgotten_keys(now))

    def _forget_old_steps(self) -> None:
        oldest = int(clock.wall() * 1000) - _STEP_RETENTION_MS
        for fact in self.views.all():
            if fact.kind is FactKind.STEP and fact.incarnation < oldest:
                self._change_count += 1
                self.views.forget(fact.key)
