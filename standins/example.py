"""Example settings and resources, and the stand-ins to which they refer.

``python -m standins.example`` writes the files and runs the stand-ins until SIGTERM
or SIGINT; hosts can then be started manually with these settings.
"""

import asyncio
import json
import signal
from pathlib import Path
from typing import Any

import click
import uvloop

from .deployment import IP, Deployment

FOLDER = Path(".demo/example")
PORT_BY_NAME = {
    "log": 9001,
    "hosts": 9002,
    "weights": 9003,
    "engine-1": 9101,
    "engine-2": 9102,
    "portal-1": 9201,
    "portal-2": 9202,
}
HOSTS = ("host-1", "host-2")
ZONES = ("zone-a", "zone-b")
FIRST_API_PORT = 8080
FIRST_PEER_PORT = 8180


def base_url(name: str) -> str:
    """Return the base URL of a stand-in."""
    return f"http://{IP}:{PORT_BY_NAME[name]}"


def host_settings(n: int) -> dict[str, Any]:
    """Return the settings of the ``n``-th host of ``HOSTS``, counted from 0."""
    return {
        "id": HOSTS[n],
        "incarnation": 1,
        "zone": ZONES[n],
        "ip": IP,
        "api_port": FIRST_API_PORT + n,
        "peer_port": FIRST_PEER_PORT + n,
        "log": {"url": base_url("log"), "retention": 86_400},
        "host_list_url": base_url("hosts"),
    }


def host_list_entries() -> list[dict[str, Any]]:
    """Return the entries of the hosts in the platform's host list."""
    return [
        {
            "id": host,
            "kind": "entry",
            "ip": IP,
            "api_port": FIRST_API_PORT + n,
            "peer_port": FIRST_PEER_PORT + n,
            "zone": ZONES[n],
            "incarnation": 1,
        }
        for n, host in enumerate(HOSTS)
    ]


def resources() -> list[dict[str, Any]]:
    """Return a workload, its engines and a service for ``cranberryctl apply``."""
    engines = [
        {
            "kind": "engines",
            "name": f"engine-{n + 1}",
            "spec": {
                "url": base_url(f"engine-{n + 1}"),
                "zone": zone,
                "pool": "rollout",
            },
        }
        for n, zone in enumerate(ZONES)
    ]
    targets = [
        {"id": f"portal-{n + 1}", "url": base_url(f"portal-{n + 1}"), "zone": zone}
        for n, zone in enumerate(ZONES)
    ]
    workload = {"pool": "rollout", "freshness_bound": 2, "rate": 2}
    return [
        *engines,
        {"kind": "workloads", "name": "denoiser", "spec": workload},
        {"kind": "services", "name": "portal", "spec": {"targets": targets}},
    ]


def step_request() -> dict[str, Any]:
    """Return the request body of a trainer's step."""
    groups = [
        {"group": f"g{n}", "prompt": f"frame {n}", "samples": 2, "max_tokens": 32}
        for n in range(2)
    ]
    return {"version": 1, "groups": groups}


def write_files(folder: Path) -> None:
    """Write the example files into ``folder``."""
    folder.mkdir(parents=True, exist_ok=True)
    content_by_name: dict[str, Any] = {
        "hosts.json": host_list_entries(),
        "resources.json": resources(),
        "step.json": step_request(),
    }
    for n, host in enumerate(HOSTS):
        content_by_name[f"{host}.json"] = host_settings(n)
    for name, content in content_by_name.items():
        (folder / name).write_text(json.dumps(content, indent=2) + "\n")


async def _start_standins(deployment: Deployment) -> None:
    hosts_file = str(deployment.folder / "hosts.json")
    options_by_name = {"log": (), "weights": (), "hosts": ("--hosts", hosts_file)}
    for name, options in options_by_name.items():
        await deployment.launch_standin(name, name, *options, port=PORT_BY_NAME[name])
    for n, zone in enumerate(ZONES):
        engine, portal = f"engine-{n + 1}", f"portal-{n + 1}"
        options = ("--id", engine, "--zone", zone, "--weights", base_url("weights"))
        await deployment.launch_standin(
            engine, "engine", *options, port=PORT_BY_NAME[engine]
        )
        await deployment.launch_standin(
            portal, "service", "--name", portal, port=PORT_BY_NAME[portal]
        )


async def _run(folder: Path) -> None:
    write_files(folder)
    stop_requested = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, stop_requested.set)
    async with Deployment(folder) as deployment:
        await _start_standins(deployment)
        click.echo(
            f"stand-ins are running; files are in {folder}; press Ctrl-C to stop"
        )
        await stop_requested.wait()


@click.command()
@click.option("--folder", type=click.Path(path_type=Path), default=FOLDER)
def main(folder: Path) -> None:
    """Write the example files and run the stand-ins to which they refer."""
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(_run(folder))


if __name__ == "__main__":
    main()
