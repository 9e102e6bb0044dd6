"""Stand-in for the platform's lagging list of hosts."""

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

KEPT_CHANGES = 10_000


class ListUnavailable(StandinError):
    """The list is down."""


class HostFaults(FaultSettings):
    """Fault settings of the list; ``lag`` in seconds replaces the option."""

    down: bool = False
    lag: NonNegativeFloat | None = None
    frozen: bool = False


class HostEntry(BaseModel):
    """One host as the platform sees it."""

    id: str
    kind: Literal["entry", "target"]
    ip: str
    api_port: int
    peer_port: int = 0
    zone: str
    incarnation: int = 0
    state: Literal["live", "leaving"] = "live"


@dataclass
class HostsView:
    """The hosts from a loop time on."""

    since: float
    by_id: dict[str, HostEntry]


@dataclass
class HostsAnswer:
    """What a reader sees; ``as_of`` is wall time."""

    as_of: float
    hosts: list[HostEntry]


class HostsStandin(Standin):
    """List whose readers see each change after a lag.

    :param lag: seconds between a change and its sight.
    :param hosts: the hosts known from the start.
    """

    def __init__(self, lag: float = 2.0, hosts: list[HostEntry] | None = None) -> None:
        self.faults: HostFaults = HostFaults()
        self.lag = lag
        by_id = {host.id: host for host in hosts or []}
        self._views = deque([HostsView(float("-inf"), by_id)])
        self._frozen: HostsAnswer | None = None
        self._changes: deque[dict[str, Any]] = deque(maxlen=KEPT_CHANGES)

    def put(self, host: HostEntry) -> None:
        """Add or replace one host."""
        by_id = dict(self._views[-1].by_id)
        by_id[host.id] = host
        self._change(by_id, {"put": host.model_dump()})

    def delete(self, host_id: str) -> None:
        """Remove one host; an unknown one is no failure."""
        by_id = dict(self._views[-1].by_id)
        by_id.pop(host_id, None)
        self._change(by_id, {"delete": host_id})

    def visible(self) -> HostsAnswer:
        """Return the hosts as they were before the lag.

        :raises ListUnavailable: the list is down.
        """
        if self.faults.down:
            raise ListUnavailable
        if self._frozen is not None:
            return self._frozen
        return self._lagged()

    def faults_changed(self, names: set[str]) -> None:
        """Keep the present answer while the list is frozen."""
        if "frozen" not in names:
            return
        self._frozen = self._lagged() if self.faults.frozen else None

    def record(self) -> dict[str, Any]:
        """Return every change and the present hosts without lag."""
        hosts = [host.model_dump() for host in self._views[-1].by_id.values()]
        return {"changes": list(self._changes), "hosts": hosts}

    def _change(self, by_id: dict[str, HostEntry], change: dict[str, Any]) -> None:
        self._views.append(HostsView(loop_time(), by_id))
        while len(self._views) > KEPT_CHANGES:
            self._views.popleft()
        self._changes.append({"time": wall_time(), **change})

    def _lagged(self) -> HostsAnswer:
        lag = self.lag if self.faults.lag is None else self.faults.lag
        seen_until = loop_time() - lag
        view = self._views[0]
        for candidate in self._views:
            if candidate.since <= seen_until:
                view = candidate
        return HostsAnswer(wall_time() - lag, list(view.by_id.values()))


class HostsProgram(Program):
    """HTTP side of the list."""

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
            answer = self.standin.visible()
        except ListUnavailable:
            return web.json_response({"code": "unavailable"}, status=503)
        hosts = [host.model_dump() for host in answer.hosts]
        return web.json_response({"as_of": answer.as_of, "hosts": hosts})

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
    """Read a JSON list of hosts."""
    return [HostEntry.model_validate(host) for host in json.loads(path.read_text())]


@click.command()
@listen_options
@click.option("--lag", type=float, default=2.0, help="Seconds.")
@click.option(
    "--hosts",
    "hosts_file",
    type=click.Path(exists=True, dir_okay=False, path_type=Path),
    help="JSON list of the first hosts.",
)
def main(ip: str, port: int, lag: float, hosts_file: Path | None) -> None:
    """Serve the stand-in of the platform's list of hosts."""
    hosts = read_hosts(hosts_file) if hosts_file else []
    run_program(HostsProgram(HostsStandin(lag, hosts)), ip, port)


if __name__ == "__main__":
    main()
