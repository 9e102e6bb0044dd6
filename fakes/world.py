"""A deployment in one event loop: real hosts between fakes, on the virtual clock.

What the model covers: each host is a real :class:`cranberryrun.host.Host` whose
log, host list, peers, engines and plain services are reached over the in-memory
network of :mod:`fakes.network`. A killed host runs nothing more and its
connections break. A paused host runs nothing while its connections stay open;
what it sent before is still delivered. A cut swallows what is sent. HTTP and
thrift are left out: callers use the services of a host directly, and one loop
means that the hosts' clocks agree.
"""

import asyncio
import contextlib
import random
from collections import defaultdict
from collections.abc import Callable, Iterator
from typing import Any
from unittest import mock

from absl import logging

from cranberryrun import clock
from cranberryrun.api import Api
from cranberryrun.configuration import Configuration
from cranberryrun.engines import Engines
from cranberryrun.events import Events
from cranberryrun.host import Host
from cranberryrun.http import HttpClients
from cranberryrun.kernel import Service
from cranberryrun.membership import Membership
from cranberryrun.request_router import RequestRouter
from cranberryrun.settings import Settings
from cranberryrun.state import ConfigState
from standins.hosts import HostEntry, HostsStandin
from standins.log import LogStandin

from .history import History
from .loop import start_for, virtual_wall
from .network import FakePeers, Network, Unreachable
from .platform import LOG, FakeHostList, FakeLog
from .targets import (
    FakeEngine,
    FakeEngineClient,
    FakeService,
    FakeServiceClient,
)

ZONES = ("zone-a", "zone-b", "zone-c")
ENGINES = ("engine-1", "engine-2", "engine-3")
TARGETS = ("portal-1", "portal-2", "portal-3")
PROBE_SECONDS = 0.5
READY_SECONDS = 30.0
FLUSH_SECONDS = 0.1
POINT_BY_EVENT = {
    "change_asked": "declare",
    "change_applied": "apply",
    "step_started": "admit",
    "sample_dispatched": "dispatch",
    "sample_whole": "finish",
    "version_announced": "announce",
    "order_confirmed": "confirm",
    "host_draining": "drain",
}


class NoHttp(HttpClients):
    """In place of the HTTP sessions, which nothing uses here."""

    async def start(self) -> None:
        """Open nothing."""

    async def stop(self) -> None:
        """Close nothing."""


class FakeApi(Api):
    """In place of the HTTP side: counts requests and refuses connections."""

    listening = False
    _latest_deadline = 0.0

    async def start(self) -> None:
        """Begin to take requests."""
        self.listening = True
        self.accepting = True

    async def stop_listening(self) -> None:
        """Take no new connections."""
        self.listening = False
        self._idle_since = clock.now()

    async def stop(self) -> None:
        """End; the world breaks what is open."""
        await Service.stop(self)

    @contextlib.contextmanager
    def request(self) -> Iterator[None]:
        """Count one request; :raises Unreachable: if none is taken."""
        if not self.listening:
            raise Unreachable("the host does not listen")
        self._in_flight += 1
        try:
            yield
        finally:
            self._in_flight -= 1
            self._idle_since = clock.now()

    def record_deadline(self, deadline: float) -> None:
        """Take a request's deadline, in the loop's time."""
        self._latest_deadline = max(self._latest_deadline, deadline)


class World:
    """The deployment, its faults and its history."""

    def __init__(
        self, seed: object = 1, retention: float = 3600.0, fencing: bool = True
    ) -> None:
        self.rng = random.Random(str(seed))
        self.loop: Any = asyncio.get_running_loop()
        self.history = History()
        self.network = Network(self.loop)
        self.retention = retention
        self.log = LogStandin(300.0, retention)
        self.list = HostsStandin(1.0)
        self.host_by_name: dict[str, Host] = {}
        self.ended: set[str] = set()
        self.killed: set[str] = set()
        self.appended: list[tuple[int, Any]] = []
        self._peers_by_id: dict[str, FakePeers] = {}
        self._armed: dict[str, list[Callable[[str], None]]] = defaultdict(list)
        self._leaving: set[str] = set()
        self._patch = mock.patch.object(clock, "wall", virtual_wall)
        self.engine_by_name = {
            name: FakeEngine(
                name,
                zone,
                self.reach,
                slots=4,
                tokens_per_second=300.0,
                fencing=fencing,
                load_lag=0.5,
            )
            for name, zone in zip(ENGINES, ZONES)
        }
        self.service_by_name = {name: FakeService(name, self.reach) for name in TARGETS}

    async def __aenter__(self) -> "World":
        self._patch.start()
        self._verbosity = logging.get_verbosity()
        logging.set_verbosity(logging.FATAL)
        for name in ENGINES + TARGETS:
            self._list(name, "target")
        for engine in self.engine_by_name.values():
            await engine.start()
        start_for("", self._probe())
        return self

    async def __aexit__(self, *error: object) -> None:
        self.loop.paused.clear()
        self.loop.resume("")
        tasks = asyncio.all_tasks() - {asyncio.current_task()}
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        self._patch.stop()
        logging.set_verbosity(self._verbosity)

    def reach(self, point: str, place: str) -> None:
        """Note that a host has come to a step; do what was armed for it."""
        if not self._armed[point] or place in self.ended:
            return
        self._armed[point].pop(0)(place)

    def arm(self, point: str, action: Callable[[str], None], after: int = 0) -> None:
        """Call ``action`` with the host when a step is reached, the n-th time."""
        self._armed[point] = [lambda place: None] * after + [action]

    def _list(self, name: str, kind: Any, **changes: Any) -> None:
        entry: dict[str, Any] = {"id": name, "kind": kind, "ip": "", "api_port": 0}
        self.list.put(HostEntry(**entry, zone=self.zone_of(name), **changes))

    def zone_of(self, name: str) -> str:
        """Return the zone of a host or target."""
        return ZONES[(int(name.rpartition("-")[2]) - 1) % len(ZONES)]

    async def start_host(self, name: str, **changes: Any) -> Host:
        """Start a host and put it on the list; it need not be ready yet."""
        incarnation = int(virtual_wall() * 1000)
        settings = Settings.model_validate(
            {
                "id": name,
                "incarnation": incarnation,
                "zone": self.zone_of(name),
                "api_port": 0,
                "peer_port": 0,
                "log": {"url": "http://log", "retention": self.retention},
                "host_list_url": "http://list",
                **changes,
            }
        )
        host = self._build(settings)
        self.host_by_name[name] = host
        self.ended.discard(name)
        self._list(name, "entry", incarnation=incarnation)
        self.reach("join", name)
        start_for(name, host.start())
        await asyncio.sleep(0.01)
        return host

    def _build(self, settings: Settings) -> Host:
        name = settings.id
        rng = random.Random(f"{name}/{settings.incarnation}")
        peers = FakePeers(settings, rng, self.network)
        peers.peers_by_id = self._peers_by_id
        self._peers_by_id[name] = peers
        log = FakeLog(name, self.log, self.network, self.reach, self.appended)
        host = Host(settings, NoHttp(1.0), log, peers, FakeApi(settings))
        kernel = host.kernel
        kernel.get(Membership).use_host_list(
            FakeHostList(name, self.list, self.network)
        )
        kernel.get(Engines).client_for = lambda spec: FakeEngineClient(
            name, self.engine_by_name[spec.url.rpartition("/")[2]], self.network
        )
        kernel.get(RequestRouter).client_for = lambda target: FakeServiceClient(
            name, self.service_by_name[target.id], self.network
        )
        self._trace(kernel.get(Events), name)
        return host

    def _trace(self, events: Events, name: str) -> None:
        emit = events.emit

        def traced(event: str, **fields: Any) -> None:
            emit(event, **fields)
            if event in POINT_BY_EVENT:
                self.reach(POINT_BY_EVENT[event], name)

        events.emit = traced

    def running(self) -> list[str]:
        """Return the hosts that have not ended, paused ones included."""
        return [name for name in self.host_by_name if name not in self.ended]

    def is_ready(self, name: str) -> bool:
        """Say whether a host has a configuration."""
        return self.host_by_name[name].kernel.get(Configuration).ready.is_set()

    async def until_ready(self, *names: str) -> None:
        """Wait until the named hosts have a configuration."""
        async with asyncio.timeout(READY_SECONDS):
            while not all(self.is_ready(name) for name in names):
                await asyncio.sleep(0.05)

    def kill_host(self, name: str) -> None:
        """End a host at once; the list drops it after its lag."""
        if name in self.ended:
            return
        self.killed.add(name)
        self._end(name)
        self.list.delete(name)

    def _end(self, name: str) -> None:
        self.ended.add(name)
        self.network.kill(name)

    def pause_host(self, name: str) -> None:
        """Stop a host's process, as SIGSTOP does."""
        self.loop.pause(name)

    def resume_host(self, name: str) -> None:
        """Let a paused host go on."""
        if name not in self.ended:
            self.loop.resume(name)

    async def drain_host(self, name: str) -> None:
        """Stop a host as planned and wait until it has ended."""
        if name in self.ended:
            return
        self.history.note("invoke", "drain", name, clock.now(), name)
        host = self.host_by_name[name]
        entry = {"incarnation": host.incarnation, "state": "leaving"}
        self._list(name, "entry", **entry)
        draining = start_for(name, host.drain())
        while not draining.done() and name not in self.ended:
            await asyncio.sleep(0.05)
        if name in self.ended:
            return
        self.ended.add(name)
        self.network.dead.add(name)
        self.list.delete(name)
        # The system delivers what a process sent before it ended.
        await asyncio.sleep(FLUSH_SECONDS)
        self.network.kill(name)

    def leave(self, target: str) -> None:
        """Have the platform's list say that a target leaves."""
        self._list(target, "target", state="leaving")
        self.reach("leave", self.rng.choice(self.running()))

    def crash_engine(self, name: str) -> None:
        """Lose all that an engine holds; its readers are cut off."""
        self.engine_by_name[name].change_faults({"crash": True})

    def lose_zone(self, zone: str) -> None:
        """End every host, engine and target of a zone."""
        for name in self.running():
            if self.zone_of(name) == zone:
                self.kill_host(name)
        for name in ENGINES + TARGETS:
            if self.zone_of(name) != zone:
                continue
            if name in self.engine_by_name:
                self.crash_engine(name)
            self.network.kill(name)

    def return_targets(self) -> None:
        """Let the engines and targets of lost zones answer again."""
        for name in ENGINES + TARGETS:
            self.network.dead.discard(name)
            self.loop.resume(name)

    def offset_of(self, name: str) -> int:
        """Return the configuration offset that a host has applied."""
        return self.host_by_name[name].kernel.get(Configuration).state.offset

    def _knowable(self, name: str) -> int:
        if name in self.loop.paused:
            return -1
        if self.network.reaches(name, LOG) and not self.log.faults.down:
            stream = self.log.by_stream.get("config")
            return stream.next - 1 if stream else -1
        offsets = [
            self.offset_of(peer)
            for peer in self.running()
            if peer == name or self.network.reaches(name, peer)
        ]
        return max(offsets)

    async def _probe(self) -> None:
        while True:
            await asyncio.sleep(PROBE_SECONDS)
            self._note_leaving()
            for name in self.running():
                if self.is_ready(name):
                    self._note_view(name)

    def _note_leaving(self) -> None:
        """Note the targets that the list, with its lag, now says are leaving."""
        if self.list.faults.down:
            return
        for entry in self.list.visible().hosts:
            if entry.kind == "entry" or entry.state == "live":
                continue
            if entry.id not in self._leaving:
                self._leaving.add(entry.id)
                now = clock.now()
                self.history.note("ok", "leaving", entry.id, now, target=entry.id)

    def _note_view(self, name: str) -> None:
        state = self.host_by_name[name].kernel.get(Configuration).state
        incarnation = self.host_by_name[name].incarnation
        self.history.note(
            "ok",
            "view",
            f"{name}/{incarnation}",
            clock.now(),
            name,
            offset=state.offset,
            knowable=self._knowable(name),
            generations={
                f"{kind}/{each}": resource.generation
                for (kind, each), resource in state.by_key.items()
            },
        )

    def note_truth(self) -> None:
        """Add to the history what log, engines and targets truly did."""
        note = self.history.note
        for name, engine in self.engine_by_name.items():
            for stream, spans in engine.made():
                versions = [(span.version, span.tokens) for span in spans]
                slot = "/".join(stream.split(".")[:4])
                value = {"engine": name, "slot": slot, "versions": versions}
                note("ok", "made", stream, 0.0, **value)
            for stream, at in engine.began:
                note("ok", "began", stream, at, target=name)
        for name, service in self.service_by_name.items():
            for run, (request, key, at) in zip(service.runs, service.began):
                value = {"request": request, "key": key, "target": name}
                repeatable = run.method == "GET"
                note("ok", "ran", request, at, repeatable=repeatable, **value)
                note("ok", "began", request, at, target=name)
        for change_id in self._applied_ids():
            note("ok", "applied", change_id, 0.0)

    def _applied_ids(self) -> list[str]:
        state = ConfigState()
        for offset, value in sorted(self.appended, key=lambda row: row[0]):
            state.apply(offset, 0.0, value)
        outcomes = state.outcome_by_change.items()
        return [key for key, outcome in outcomes if outcome.rejected is None]

    def timeline(self) -> list[str]:
        """Return the events of all hosts, in the order of their loop times."""
        rows = []
        for host in self.host_by_name.values():
            for event in host.kernel.get(Events).after(-1):
                fields = " ".join(f"{k}={v}" for k, v in event.fields.items())
                line = f"{event.loop:9.3f} {event.host} {event.kind.name} {fields}"
                rows.append(((event.loop, event.host, event.n), line))
        return [line for _, line in sorted(rows)]
