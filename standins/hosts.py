"""Stand-in for the platform's host list, which lags behind changes."""

import json
from collections import deque
from dataclasses import dataclass
from pathlib import Path
from typing import Any, Literal

import click
from aiohttp import web
from pydantic import BaseModel, NonNegativeFloat

from ._program import (
    FaultSettings,
    Program,
    Standin,
    StandinError,
    listen_options,
    loop_time,
    parse_body,
    run_program,
    wall_time,
)

MAX_RECORDED_CHANGES = 10_000


class ListUnavailable(StandinError):
    """The list cannot be read."""


class HostFaults(FaultSettings):
    """Fault settings of the list; ``lag`` (seconds) overrides the option."""

    down: bool = False
    lag: NonNegativeFloat | None = None
    frozen: bool = False


class HostEntry(BaseModel):
    """One host in the platform's list."""

    id: str
    kind: Literal["entry", "target"]
    ip: str
    api_port: int
    peer_port: int = 0
    zone: str
    incarnation: int = 0
    state: Literal["live", "leaving"] = "live"


@dataclass
class HostListVersion:
    """Content of the list from the loop time ``since`` on."""

    since: float
    by_id: dict[str, HostEntry]


@dataclass
class VisibleHosts:
    """Hosts that a reader gets; ``as_of`` is wall-clock time."""

    as_of: float
    hosts: list[HostEntry]


class HostsStandin(Standin):
    """Host list whose readers see each change after a lag.

    :param lag: seconds until a change is visible.
    :param hosts: initial content, visible at once.
    """

    def __init__(self, lag: float = 2.0, hosts: list[HostEntry] | None = None) -> None:
        self.faults: HostFaults = HostFaults()
        self.lag = lag
        by_id = {host.id: host for host in hosts or []}
        self._versions = deque([HostListVersion(float("-inf"), by_id)])
        self._frozen: VisibleHosts | None = None
        self._changes: deque[dict[str, Any]] = deque(maxlen=MAX_RECORDED_CHANGES)

    def put(self, host: HostEntry) -> None:
        """Add or replace a host."""
        by_id = dict(self._versions[-1].by_id)
        by_id[host.id] = host
        self._add_version(by_id, {"put": host.model_dump()})

    def delete(self, host_id: str) -> None:
        """Remove a host; an unknown host is ignored."""
        by_id = dict(self._versions[-1].by_id)
        by_id.pop(host_id, None)
        self._add_version(by_id, {"delete": host_id})

    def visible(self) -> VisibleHosts:
        """Return the hosts that readers see: those of ``lag`` seconds ago.

        :raises ListUnavailable: the list cannot be read.
        """
        if self.faults.down:
            raise ListUnavailable
        if self._frozen is not None:
            return self._frozen
        return self._lagged_hosts()

    def on_faults_changed(self, names: set[str]) -> None:
        """Keep the currently visible hosts while the list is frozen."""
        if "frozen" not in names:
            return
        self._frozen = self._lagged_hosts() if self.faults.frozen else None

    def record(self) -> dict[str, Any]:
        """Return every change and the current hosts without lag."""
        hosts = [host.model_dump() for host in self._versions[-1].by_id.values()]
        return {"changes": list(self._changes), "hosts": hosts}

    def _add_version(self, by_id: dict[str, HostEntry], change: dict[str, Any]) -> None:
        self._versions.append(HostListVersion(loop_time(), by_id))
        while len(self._versions) > MAX_RECORDED_CHANGES:
            self._versions.popleft()
        self._changes.append({"time": wall_time(), **change})

    def _lagged_hosts(self) -> VisibleHosts:
        lag = self.lag if self.faults.lag is None else self.faults.lag
        visible_until = loop_time() - lag
        version = self._versions[0]
        for candidate in self._versions:
            if candidate.since <= visible_until:
                version = candidate
        return VisibleHosts(wall_time() - lag, list(version.by_id.values()))


class HostsProgram(Program):
    """HTTP server of the list."""

    name = "hosts"
    standin: HostsStandin

    def routes(self) -> list[web.RouteDef]:
        """Return the routes of the list."""
        return [
            web.get("/hosts", self._list),
            web.put("/hosts/{id}", self._put),
            web.delete("/hosts/{id}", self._delete),
        ]

    async def _list(self, request: web.Request) -> web.Response:
        try:
            visible_hosts = self.standin.visible()
        except ListUnavailable:
            return web.json_response({"code": "unavailable"}, status=503)
        hosts = [host.model_dump() for host in visible_hosts.hosts]
        return web.json_response({"as_of": visible_hosts.as_of, "hosts": hosts})

    async def _put(self, request: web.Request) -> web.Response:
        host = await parse_body(request, HostEntry)
        if host.id != request.match_info["id"]:
            return web.json_response({"code": "id_differs"}, status=422)
        self.standin.put(host)
        return web.json_response(host.model_dump())

    async def _delete(self, request: web.Request) -> web.Response:
        self.standin.delete(request.match_info["id"])
        return web.Response(status=204)


def read_hosts(path: Path) -> list[HostEntry]:
    """Read a JSON list of hosts from a file."""
    return [HostEntry.model_validate(host) for host in json.loads(path.read_text())]


@click.command()
@listen_options
@click.option("--lag", type=float, default=2.0, help="Lag of the list, seconds.")
@click.option(
    "--hosts",
    "hosts_file",
    type=click.Path(exists=True, dir_okay=False, path_type=Path),
    help="JSON file with the initial hosts.",
)
def main(ip: str, port: int, lag: float, hosts_file: Path | None) -> None:
    """Serve the stand-in of the platform's host list."""
    hosts = read_hosts(hosts_file) if hosts_file else []
    run_program(HostsProgram(HostsStandin(lag, hosts)), ip, port)


if __name__ == "__main__":
    main()
