"""Simulate a deployment in one event loop, on a virtual clock.

Each host is a real :class:`cranberryrun.host.Host`. It reaches the log, the host
list, its peers, engines and plain services over the in-memory network of
:mod:`fakes.network`. A killed host executes nothing more and its connections
break. A paused host executes nothing, its connections stay open, and data that it
sent before the pause is still delivered. A partition drops what is sent without
an error. HTTP and thrift are not simulated: clients call the services of a host
directly. All hosts share the loop's clock, so clock skew is not simulated either.
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
from .loop import start_task, virtual_wall_time
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
VIEW_INTERVAL_SECONDS = 0.5
READY_TIMEOUT_SECONDS = 30.0
FLUSH_SECONDS = 0.1
FAULT_POINT_BY_EVENT = {
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
    """Replaces the HTTP sessions, which the simulation does not use."""

    async def start(self) -> None:
        """Open nothing."""

    async def stop(self) -> None:
        """Close nothing."""


class FakeApi(Api):
    """Replaces the HTTP server.

    Counts the requests in flight and refuses connections after the listener closed.
    """

    listening = False
    _latest_deadline = 0.0

    async def start(self) -> None:
        """Accept requests from now on."""
        self.listening = True
        self.accepting = True

    async def stop_listening(self) -> None:
        """Refuse new connections from now on."""
        self.listening = False
        self._idle_since = clock.now()

    async def stop(self) -> None:
        """Stop the service; the simulation closes the open connections."""
        await Service.stop(self)

    @contextlib.contextmanager
    def request(self) -> Iterator[None]:
        """Count a request as in flight for the time of the block.

        :raises Unreachable: the host does not listen.
        """
        if not self.listening:
            raise Unreachable("the host does not listen")
        self._in_flight += 1
        try:
            yield
        finally:
            self._in_flight -= 1
            self._idle_since = clock.now()

    def record_deadline(self, deadline: float) -> None:
        """Record the deadline of a request, in loop time."""
        self._latest_deadline = max(self._latest_deadline, deadline)


class Simulation:
    """Hosts, engines, services, log and host list, with faults and a history.

    :param seed: seed of the random choices that faults and clients make.
    :param retention: retention of the log, in seconds.
    :param fencing: whether the engines reject orders with a stale fencing token.
    """

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
        self.ended_hosts: set[str] = set()
        self.killed_hosts: set[str] = set()
        self.appended_records: list[tuple[int, Any]] = []
        self._peers_by_id: dict[str, FakePeers] = {}
        self._actions_by_fault_point: dict[str, list[Callable[[str], None]]] = (
            defaultdict(list)
        )
        self._recorded_leaving: set[str] = set()
        self._clock_patch = mock.patch.object(clock, "wall", virtual_wall_time)
        self.engine_by_name = {
            name: FakeEngine(
                name,
                zone,
                self.reach_fault_point,
                slots=4,
                tokens_per_second=300.0,
                fencing=fencing,
                load_lag=0.5,
            )
            for name, zone in zip(ENGINES, ZONES)
        }
        self.service_by_name = {
            name: FakeService(name, self.reach_fault_point) for name in TARGETS
        }

    async def __aenter__(self) -> "Simulation":
        self._clock_patch.start()
        self._verbosity = logging.get_verbosity()
        logging.set_verbosity(logging.FATAL)
        for name in ENGINES + TARGETS:
            self._put_on_list(name, "target")
        for engine in self.engine_by_name.values():
            await engine.start()
        start_task("", self._record_views_forever())
        return self

    async def __aexit__(self, *error: object) -> None:
        self.loop.paused.clear()
        self.loop.resume("")
        tasks = asyncio.all_tasks() - {asyncio.current_task()}
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        self._clock_patch.stop()
        logging.set_verbosity(self._verbosity)

    def reach_fault_point(self, fault_point: str, host_name: str) -> None:
        """Run the next action armed for a fault point, unless the host has ended."""
        if (
            not self._actions_by_fault_point[fault_point]
            or host_name in self.ended_hosts
        ):
            return
        self._actions_by_fault_point[fault_point].pop(0)(host_name)

    def arm(
        self, fault_point: str, action: Callable[[str], None], skipped: int = 0
    ) -> None:
        """Call ``action`` once, with the name of the host that reaches a fault point.

        :param skipped: how many arrivals at the fault point are ignored before.
        """
        self._actions_by_fault_point[fault_point] = [
            lambda host_name: None
        ] * skipped + [action]

    def _put_on_list(self, name: str, kind: Any, **changes: Any) -> None:
        entry: dict[str, Any] = {"id": name, "kind": kind, "ip": "", "api_port": 0}
        self.list.put(HostEntry(**entry, zone=self.zone_of(name), **changes))

    def zone_of(self, name: str) -> str:
        """Return the zone of a host or target."""
        return ZONES[(int(name.rpartition("-")[2]) - 1) % len(ZONES)]

    async def start_host(self, name: str, **changes: Any) -> Host:
        """Start a host and put it on the host list, without waiting for readiness."""
        incarnation = int(virtual_wall_time() * 1000)
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
        self.ended_hosts.discard(name)
        self._put_on_list(name, "entry", incarnation=incarnation)
        self.reach_fault_point("join", name)
        start_task(name, host.start())
        await asyncio.sleep(0.01)
        return host

    def _build(self, settings: Settings) -> Host:
        name = settings.id
        rng = random.Random(f"{name}/{settings.incarnation}")
        peers = FakePeers(settings, rng, self.network)
        peers.peers_by_id = self._peers_by_id
        self._peers_by_id[name] = peers
        log = FakeLog(
            name, self.log, self.network, self.reach_fault_point, self.appended_records
        )
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
        self._attach_fault_points(kernel.get(Events), name)
        return host

    def _attach_fault_points(self, events: Events, name: str) -> None:
        emit = events.emit

        def emit_and_reach_fault_point(event: str, **fields: Any) -> None:
            emit(event, **fields)
            if event in FAULT_POINT_BY_EVENT:
                self.reach_fault_point(FAULT_POINT_BY_EVENT[event], name)

        events.emit = emit_and_reach_fault_point

    def running(self) -> list[str]:
        """Return the hosts that have not ended, paused ones included."""
        return [name for name in self.host_by_name if name not in self.ended_hosts]

    def is_ready(self, name: str) -> bool:
        """Return whether a host has loaded the configuration."""
        return self.host_by_name[name].kernel.get(Configuration).ready.is_set()

    async def wait_until_ready(self, *names: str) -> None:
        """Wait until the named hosts have loaded the configuration."""
        async with asyncio.timeout(READY_TIMEOUT_SECONDS):
            while not all(self.is_ready(name) for name in names):
                await asyncio.sleep(0.05)

    def kill_host(self, name: str) -> None:
        """Kill a host without a drain; the host list drops it after its lag."""
        if name in self.ended_hosts:
            return
        self.killed_hosts.add(name)
        self._terminate(name)
        self.list.delete(name)

    def _terminate(self, name: str) -> None:
        self.ended_hosts.add(name)
        self.network.kill(name)

    def pause_host(self, name: str) -> None:
        """Suspend a host, as SIGSTOP suspends a process."""
        self.loop.pause(name)

    def resume_host(self, name: str) -> None:
        """Resume a paused host, unless it was ended in the meantime."""
        if name not in self.ended_hosts:
            self.loop.resume(name)

    async def drain_host(self, name: str) -> None:
        """Drain a host and wait until it has ended."""
        if name in self.ended_hosts:
            return
        self.history.record("invoke", "drain", name, clock.now(), name)
        host = self.host_by_name[name]
        entry = {"incarnation": host.incarnation, "state": "leaving"}
        self._put_on_list(name, "entry", **entry)
        draining = start_task(name, host.drain())
        while not draining.done() and name not in self.ended_hosts:
            await asyncio.sleep(0.05)
        if name in self.ended_hosts:
            return
        self.ended_hosts.add(name)
        self.network.dead.add(name)
        self.list.delete(name)
        # The operating system still delivers data that a process sent before it exited.
        await asyncio.sleep(FLUSH_SECONDS)
        self.network.kill(name)

    def set_leaving(self, target: str) -> None:
        """Mark a target as leaving on the host list."""
        self._put_on_list(target, "target", state="leaving")
        self.reach_fault_point("leave", self.rng.choice(self.running()))

    def crash_engine(self, name: str) -> None:
        """Crash an engine: it loses its streams and versions and drops its readers."""
        self.engine_by_name[name].change_faults({"crash": True})

    def fail_zone(self, zone: str) -> None:
        """Kill every host, engine and target of an availability zone."""
        for name in self.running():
            if self.zone_of(name) == zone:
                self.kill_host(name)
        for name in ENGINES + TARGETS:
            if self.zone_of(name) != zone:
                continue
            if name in self.engine_by_name:
                self.crash_engine(name)
            self.network.kill(name)

    def restore_targets(self) -> None:
        """Make the engines and targets of failed zones reachable again."""
        for name in ENGINES + TARGETS:
            self.network.dead.discard(name)
            self.loop.resume(name)

    def offset_of(self, name: str) -> int:
        """Return the configuration offset that a host has applied."""
        return self.host_by_name[name].kernel.get(Configuration).state.offset

    def _reachable_offset(self, name: str) -> int:
        """Return the newest configuration offset that a host can read.

        The log counts while the host reaches it, otherwise the reachable peers. A
        paused host can read nothing: -1.
        """
        if name in self.loop.paused:
            return -1
        if self.network.can_reach(name, LOG) and not self.log.faults.down:
            stream = self.log.by_stream.get("config")
            return stream.next - 1 if stream else -1
        offsets = [
            self.offset_of(peer)
            for peer in self.running()
            if peer == name or self.network.can_reach(name, peer)
        ]
        return max(offsets)

    async def _record_views_forever(self) -> None:
        while True:
            await asyncio.sleep(VIEW_INTERVAL_SECONDS)
            self._record_leaving()
            for name in self.running():
                if self.is_ready(name):
                    self._record_view(name)

    def _record_leaving(self) -> None:
        """Record the targets that the host list newly shows as leaving."""
        if self.list.faults.down:
            return
        for entry in self.list.visible().hosts:
            if entry.kind == "entry" or entry.state == "live":
                continue
            if entry.id not in self._recorded_leaving:
                self._recorded_leaving.add(entry.id)
                now = clock.now()
                self.history.record("ok", "leaving", entry.id, now, target=entry.id)

    def _record_view(self, name: str) -> None:
        state = self.host_by_name[name].kernel.get(Configuration).state
        incarnation = self.host_by_name[name].incarnation
        self.history.record(
            "ok",
            "view",
            f"{name}/{incarnation}",
            clock.now(),
            name,
            offset=state.offset,
            knowable=self._reachable_offset(name),
            generations={
                f"{kind}/{each}": resource.generation
                for (kind, each), resource in state.by_key.items()
            },
        )

    def record_ground_truth(self) -> None:
        """Add to the history what the log, engines and targets actually did."""
        record = self.history.record
        for name, engine in self.engine_by_name.items():
            for stream, spans in engine.produced_streams():
                versions = [(span.version, span.tokens) for span in spans]
                slot = "/".join(stream.split(".")[:4])
                value = {"engine": name, "slot": slot, "versions": versions}
                record("ok", "made", stream, 0.0, **value)
            for stream, at in engine.recorded_starts:
                record("ok", "began", stream, at, target=name)
        for name, service in self.service_by_name.items():
            for run, (request, key, at) in zip(service.runs, service.recorded_starts):
                value = {"request": request, "key": key, "target": name}
                repeatable = run.method == "GET"
                record("ok", "ran", request, at, repeatable=repeatable, **value)
                record("ok", "began", request, at, target=name)
        for change_id in self._applied_ids():
            record("ok", "applied", change_id, 0.0)

    def _applied_ids(self) -> list[str]:
        state = ConfigState()
        for offset, value in sorted(self.appended_records, key=lambda row: row[0]):
            state.apply(offset, 0.0, value)
        outcomes = state.outcome_by_change.items()
        return [key for key, outcome in outcomes if outcome.rejected is None]

    def timeline(self) -> list[str]:
        """Return the log lines of all hosts' events, ordered by loop time."""
        rows = []
        for host in self.host_by_name.values():
            for event in host.kernel.get(Events).after(-1):
                fields = " ".join(f"{k}={v}" for k, v in event.fields.items())
                line = f"{event.loop:9.3f} {event.host} {event.kind.name} {fields}"
                rows.append(((event.loop, event.host, event.n), line))
        return [line for _, line in sorted(rows)]
