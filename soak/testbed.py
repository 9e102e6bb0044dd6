"""Testbed of one soak run: host processes, stand-ins and the links between them."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import sys
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import aiohttp
import psutil

from standins.gone_machine import GoneMachine
from standins.platform_api import PlatformApi
from standins.platform_store import PlatformStore
from standins.platform_target import PlatformTarget
from standins.ports import free_port

from .launch import CLOCK_STEP_VARIABLE
from .proxy import Proxy
from .workspaces import KEY, Workspaces

HOST_NAME = "soak.example"
MODEL = "m"
OPERATOR_TOPIC, TARGETS_TOPIC = "keyed.op", "keyed.servers"
SAFE, UNSAFE, ROLLOUT = "status", "hold", "rollout"
# Of a request, a run of an item or a reward call.
MAX_ATTEMPTS = 3
ITEM_EVENTS = 25
# Such an item runs for longer than the store keeps records in runs with long steps.
LONG_ITEM_EVENTS = 800
_RETENTION_SECONDS = 12.0
_BATCH_KEEP_MS = 4000
_EVENT_INTERVAL_SECONDS = 0.02
_RESPONSE_SECONDS = 0.02
_HEARTBEAT_INTERVAL_SECONDS = 1.0
PROBE_ID = "probe"
# Shorter than the platform's, so that a run of some seconds has several windows.
USAGE_WINDOW_SECONDS = 1.0
_USAGE_LATE_SECONDS = 5.0
_READY_TIMEOUT_SECONDS = 20.0
# Time that the platform grants a process between SIGTERM and SIGKILL.
GRACE_SECONDS = 8.0
_KILL_MARGIN_SECONDS = 1.0
# The memory that the platform grants a process.
MEMORY_MB = 190
_MEMORY_SAMPLE_SECONDS = 0.02


def _route(name: str, kind: str, service: str, **fields: Any) -> dict[str, Any]:
    return {
        "name": name,
        "host": HOST_NAME,
        "path-prefix": f"/{name}/",
        "kind": kind,
        "service": service,
        "timeout-ms": 1500,
        "target-latency-ms": 200,
        "priority": 1,
        "max-attempts": MAX_ATTEMPTS,
        **fields,
    }


def manifest(
    version: int,
    added_routes: int,
    workspaces: Workspaces | None = None,
    single_version: bool = False,
) -> dict[str, Any]:
    """Return a manifest with ``added_routes`` routes besides the standard ones."""
    added = [_route(f"added{n}", "safe", "portal") for n in range(added_routes)]
    rollout = {
        "run-deadline-ms": 7500,
        "queue-ttl-s": 40,
        "single-version": single_version,
    }
    return {
        "version": version,
        "routes": [
            _route(SAFE, "safe", "portal"),
            _route(UNSAFE, "unsafe", "portal"),
            _route(ROLLOUT, "rollout", "lm", **rollout),
            *added,
        ],
        "services": [
            {"name": "portal"},
            {"name": "lm", "engine": {"stride": 1, "models": [{"name": MODEL}]}},
        ],
        "limits": {},
        **({"tenants": workspaces.tenants()} if workspaces is not None else {}),
    }


@dataclass(slots=True)
class Host:
    """Process of one host; ``clock_step`` offsets its wall clock, in seconds.

    A ``removed`` one is not started any more.
    """

    name: str
    settings_path: Path
    front_address: str
    store_link: Proxy
    process: asyncio.subprocess.Process | None = None
    clock_step: float = 0.0
    removed: bool = False
    launch_lock: asyncio.Lock = field(default_factory=asyncio.Lock)

    @property
    def is_running(self) -> bool:
        """Whether its process exists."""
        return self.process is not None and self.process.returncode is None


def _used_mb(host: Host) -> float:
    """Return the memory of a host's process; 0 if there is none."""
    if not host.is_running:
        return 0.0
    assert host.process is not None
    try:
        return psutil.Process(host.process.pid).memory_info().rss / 1_000_000
    except psutil.NoSuchProcess:
        return 0.0


class Testbed:
    """Starts the host processes, stand-ins and links of one run; stops only those.

    :param workspaces: the workspaces of the manifest; None if it has none.
    :param api: the platform's API, to which usage is reported; None without duties.
    :param other_build: the checkout of another build, which every second start of a
        host runs, as in an upgrade; None if all run this one.
    :param single_version: whether texts of items may have one weight version only.
    :param long_steps: whether steps last longer than results and records are kept.
    """

    def __init__(
        self,
        folder: Path,
        hosts: int,
        portals: int,
        engines: int,
        workspaces: Workspaces | None = None,
        api: PlatformApi | None = None,
        other_build: Path | None = None,
        single_version: bool = False,
        long_steps: bool = False,
    ) -> None:
        self.single_version = single_version
        self.long_steps = long_steps
        # The hosts that confirmed the end of a batch, in order.
        self.enders: list[Host] = []
        self.folder = folder
        self._other_build = other_build
        self._starts = 0
        self.workspaces = workspaces
        self.api = api
        self.store = PlatformStore()
        self.hosts = [self._create_host(f"host-{n}") for n in range(hosts)]
        self.targets = [PlatformTarget(f"portal-{n}", "portal") for n in range(portals)]
        self.targets += [
            PlatformTarget(f"engine-{n}", "lm", MODEL) for n in range(engines)
        ]
        for target in self.targets:
            target.events = ITEM_EVENTS
            target.event_seconds = _EVENT_INTERVAL_SECONDS
            target.answer_seconds = _RESPONSE_SECONDS
            target.long_events = LONG_ITEM_EVENTS
        if long_steps:
            self.store.retention_seconds = _RETENTION_SECONDS
        self.link_by_target: dict[str, Proxy] = {}
        self.removed_targets: set[str] = set()
        self.manifest_version = 1
        self.added_routes = 0
        self._heartbeat_task: asyncio.Task[None] | None = None
        self._links: list[Proxy] = []
        self._gone_machines: list[GoneMachine] = []

    def _create_host(self, name: str) -> Host:
        front_address = f"127.0.0.1:{free_port()}"
        return Host(name, self.folder / f"{name}.json", front_address, Proxy(""))

    async def start(self) -> None:
        """Start stand-ins, links and hosts; wait until every host serves requests."""
        await self.store.start()
        if self.api is not None:
            await self.api.start()
        self.apply_manifest(1)
        for target in self.targets:
            await target.start()
            link = Proxy(target.address)
            await link.start()
            self.link_by_target[target.id] = link
        self._heartbeat_task = asyncio.get_running_loop().create_task(
            self._write_heartbeats()
        )
        for host in self.hosts:
            await self._start_host(host)
        for host in self.hosts:
            await self.wait_until_serving(host, _READY_TIMEOUT_SECONDS)

    async def _start_host(self, host: Host) -> None:
        host.store_link.target = self.store.address
        await host.store_link.start()
        self._links.append(host.store_link)
        self._write_settings(host)
        await self.launch(host)

    def _write_settings(self, host: Host) -> None:
        settings: dict[str, Any] = {
            "host_id": host.name,
            "zone": "a",
            "ip": "127.0.0.1",
            "front_address": host.front_address,
            "ready_address": f"127.0.0.1:{free_port()}",
            "peer_address": f"127.0.0.1:{free_port()}",
            "memory_mb": MEMORY_MB,
            "store": {"address": host.store_link.address},
        }
        if self.long_steps:
            settings["store"]["retention_s"] = _RETENTION_SECONDS
            settings["bounds"] = {"batch_keep_ms": _BATCH_KEEP_MS}
        if self.api is not None:
            settings["platform_api"] = {
                "address": self.api.address,
                "duties": ["usage"],
            }
            settings["bounds"] = settings.get("bounds", {}) | {
                "usage_window_s": USAGE_WINDOW_SECONDS,
                "usage_late_s": _USAGE_LATE_SECONDS,
                "require_fence": self.api.require_fence,
            }
        host.settings_path.write_text(json.dumps(settings))

    async def launch(self, host: Host) -> None:
        """Start the process of a host unless an overlapping fault already did."""
        async with host.launch_lock:
            if not host.is_running and not host.removed:
                await self._launch(host)

    async def replace(self, host: Host) -> Host:
        """Remove a machine for good, and return the one that takes its place.

        Nothing answers at its address any more.
        """
        async with host.launch_lock:
            if host.removed:
                return host
            host.removed = True
            self.signal(host, signal.SIGCONT)
            await self.kill(host)
        settings = json.loads(host.settings_path.read_text())
        port = int(settings["peer_address"].rpartition(":")[2])
        self._gone_machines.append(GoneMachine(port))
        added = self._create_host(f"{host.name}-{len(self._gone_machines)}")
        self.hosts[self.hosts.index(host)] = added
        await self._start_host(added)
        return added

    async def watch_memory(self, report: Callable[[str], None]) -> None:
        """Report each host that once takes more memory than the platform grants."""
        reported: set[str] = set()
        while True:
            await asyncio.sleep(_MEMORY_SAMPLE_SECONDS)
            for host in self.hosts:
                used = _used_mb(host)
                if used > MEMORY_MB and host.name not in reported:
                    reported.add(host.name)
                    report(f"{host.name} takes {used:.0f} MB of {MEMORY_MB} MB")

    async def _launch(self, host: Host) -> None:
        environment = os.environ | {
            "CRANBERRYRUN_SETTINGS": str(host.settings_path),
            CLOCK_STEP_VARIABLE: str(host.clock_step),
        }
        self._starts += 1
        build = self._other_build if self._starts % 2 else None
        with (self.folder / f"{host.name}.log").open("ab") as output:
            host.process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "soak.launch",
                stdout=output,
                stderr=output,
                env=environment,
                cwd=build,
            )

    def signal(self, host: Host, number: signal.Signals) -> None:
        """Send a signal to the process of a host if it exists."""
        if host.is_running:
            assert host.process is not None
            host.process.send_signal(number)

    async def terminate(self, host: Host) -> None:
        """Stop a host gracefully; kill it after the grace period."""
        process = host.process
        if process is None or process.returncode is not None:
            return
        process.send_signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(GRACE_SECONDS + _KILL_MARGIN_SECONDS):
                await process.wait()
        except TimeoutError:
            if process.returncode is None:
                process.kill()
            await process.wait()

    async def kill(self, host: Host) -> None:
        """Kill the process of a host with SIGKILL."""
        self.signal(host, signal.SIGKILL)
        if host.process is not None:
            await host.process.wait()

    async def next_ender(self, seconds: float) -> Host | None:
        """Return the host that confirms the next end of a batch; None if none does."""
        count = len(self.enders)
        deadline = asyncio.get_running_loop().time() + seconds
        while asyncio.get_running_loop().time() < deadline:
            if len(self.enders) > count:
                return self.enders[count]
            await asyncio.sleep(0.001)
        return None

    async def wait_until_serving(self, host: Host, seconds: float) -> None:
        """Wait until a host serves a request.

        :raises TimeoutError: the host served none within ``seconds``.
        """
        headers = {"Host": HOST_NAME, "X-Cranberryrun-Attempt-Id": PROBE_ID}
        if self.workspaces is not None:
            headers[KEY] = self.workspaces.permanent_key()
        async with asyncio.timeout(seconds), aiohttp.ClientSession() as session:
            while True:
                try:
                    url = f"http://{host.front_address}/{SAFE}/probe"
                    async with session.post(url, headers=headers) as response:
                        if response.status == 200:
                            return
                except aiohttp.ClientError:
                    pass
                await asyncio.sleep(0.05)

    def apply_manifest(self, version: int) -> None:
        """Write a manifest to the store as the operator does."""
        self.manifest_version = version
        content = manifest(
            version, self.added_routes, self.workspaces, self.single_version
        )
        self.store.put(OPERATOR_TOPIC, "config", content)

    def publish_version(self, version: int) -> None:
        """Write the newest weight version to the store as the trainer does."""
        self.store.put(
            OPERATOR_TOPIC, f"version/{MODEL}", {"model": MODEL, "version": version}
        )

    async def _write_heartbeats(self) -> None:
        """Write the entries of the targets periodically, except removed ones."""
        while True:
            for target in self.targets:
                if target.id in self.removed_targets:
                    self.store.put(TARGETS_TOPIC, target.id, None)
                    continue
                entry = target.entry() | {
                    "address": self.link_by_target[target.id].address
                }
                self.store.put(TARGETS_TOPIC, target.id, entry)
            await asyncio.sleep(_HEARTBEAT_INTERVAL_SECONDS)

    async def stop(self) -> None:
        """Stop everything that was started."""
        if self._heartbeat_task is not None:
            self._heartbeat_task.cancel()
        for host in self.hosts:
            self.signal(host, signal.SIGCONT)
            await self.kill(host)
        for link in self._links:
            await link.stop()
        for machine in self._gone_machines:
            machine.close()
        for target in self.targets:
            if target.id in self.link_by_target:
                await self.link_by_target[target.id].stop()
            await target.stop()
        if self.api is not None:
            await self.api.stop()
        await self.store.stop()
