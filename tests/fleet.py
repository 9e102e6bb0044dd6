"""Hosts and stand-ins of the platform in this process, on a separate thread."""

from __future__ import annotations

import asyncio
import threading
from collections.abc import Coroutine
from typing import Any

from aiohttp import web

from cranberryrun.configuration import Configuration
from cranberryrun.host import Host
from cranberryrun.membership import Membership
from cranberryrun.settings import parse_settings
from standins._program import Program
from standins.hosts import HostEntry, HostsProgram, HostsStandin
from standins.log import LogProgram, LogStandin
from standins.ports import free_port

_IP = "127.0.0.1"
_CALL_TIMEOUT_SECONDS = 30
_TIMING = {
    "list_poll": 0.1,
    "peer_exchange": 0.1,
    "log_wait": 1.0,
    "log_timeout": 1.0,
    "change_deadline": 2.0,
    "balancer_lag": 0.1,
    "suspect_after": 0.5,
    "peer_timeout": 0.3,
}


class Fleet:
    """A log, a host list and hosts that communicate over loopback::

        with Fleet(2) as fleet:
            fleet.urls[0]

    :param hosts: number of hosts.
    :param changes: settings that override the default ones.
    """

    def __init__(self, hosts: int, **changes: Any) -> None:
        self._host_count = hosts
        self._settings_changes = changes
        self.log = LogStandin()
        self.list = HostsStandin(lag=0)
        self.host_by_id: dict[str, Host] = {}
        self._runners: list[web.AppRunner] = []
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever, daemon=True)

    def __enter__(self) -> Fleet:
        self._thread.start()
        self.run(self._start())
        return self

    def __exit__(self, *error: object) -> None:
        try:
            self.run(self._stop())
        finally:
            self._loop.call_soon_threadsafe(self._loop.stop)
            self._thread.join()
        self._loop.close()

    def run(self, coroutine: Coroutine[Any, Any, Any]) -> Any:
        """Run ``coroutine`` on the fleet's loop and return its result."""
        future = asyncio.run_coroutine_threadsafe(coroutine, self._loop)
        return future.result(_CALL_TIMEOUT_SECONDS)

    @property
    def urls(self) -> list[str]:
        """The base URLs of the hosts."""
        return [
            f"http://{_IP}:{host.settings.api_port}"
            for host in self.host_by_id.values()
        ]

    async def _start(self) -> None:
        log_url = await self.serve(LogProgram(self.log))
        list_url = await self.serve(HostsProgram(self.list))
        for n in range(self._host_count):
            await self._start_host(f"host-{n + 1}", log_url, list_url)
        async with asyncio.timeout(_CALL_TIMEOUT_SECONDS):
            while not all(map(self._is_ready, self.host_by_id.values())):
                await asyncio.sleep(0.02)

    def _is_ready(self, host: Host) -> bool:
        live = host.kernel.get(Membership).live_ids()
        ready = host.kernel.get(Configuration).ready.is_set()
        return ready and len(live) == self._host_count

    async def serve(self, program: Program) -> str:
        """Serve a stand-in on the fleet's loop and return its base URL."""
        runner = web.AppRunner(program.application(), shutdown_timeout=0.1)
        await runner.setup()
        await web.TCPSite(runner, _IP, 0).start()
        self._runners.append(runner)
        return f"http://{_IP}:{runner.addresses[0][1]}"

    async def _start_host(self, host_id: str, log_url: str, list_url: str) -> None:
        data = {
            "id": host_id,
            "incarnation": 1,
            "zone": "zone-a",
            "ip": _IP,
            "api_port": free_port(),
            "peer_port": free_port(),
            "log": {"url": log_url, "retention": 3600},
            "host_list_url": list_url,
            "timing": _TIMING,
            "log_level": "error",
            **self._settings_changes,
        }
        settings = parse_settings(data)
        entry = HostEntry(
            id=host_id,
            kind="entry",
            ip=_IP,
            api_port=settings.api_port,
            peer_port=settings.peer_port,
            zone=settings.zone,
            incarnation=1,
        )
        self.list.put(entry)
        host = Host(settings)
        await host.start()
        self.host_by_id[host_id] = host

    async def _stop(self) -> None:
        for host in self.host_by_id.values():
            await host.stop()
        for runner in self._runners:
            await runner.cleanup()
        remaining_tasks = asyncio.all_tasks() - {asyncio.current_task()}
        for task in remaining_tasks:
            task.cancel()
        await asyncio.gather(*remaining_tasks, return_exceptions=True)
