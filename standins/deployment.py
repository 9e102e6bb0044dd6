"""Deployment on loopback: hosts, platform and targets as processes."""

import asyncio
import json
import signal
import sys
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import aiohttp

from ._program import StandinError, wall_time
from .ports import IP, free_port

READY_TIMEOUT_SECONDS = 15.0
STOP_TIMEOUT_SECONDS = 20.0
POLL_INTERVAL_SECONDS = 0.05
REQUEST_TIMEOUT_SECONDS = 20.0


class ProcessNotReady(StandinError):
    """A process did not become ready in time."""


class RequestFailed(StandinError):
    """A request of the deployment got a response other than 2xx."""


# The error for a program that exits during its start contains its last output.
_OUTPUT_TAIL_BYTES = 2000


@dataclass
class RunningProcess:
    """One process and the port on which it listens."""

    name: str
    process: asyncio.subprocess.Process
    port: int
    settings: dict[str, Any] = field(default_factory=dict)

    @property
    def url(self) -> str:
        """Base URL of its HTTP API."""
        return f"http://{IP}:{self.port}"


class Deployment:
    """Starts processes, keeps them by name and stops only those.

    :param folder: folder of the settings and output files.
    """

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.by_name: dict[str, RunningProcess] = {}
        self.session: aiohttp.ClientSession

    async def __aenter__(self) -> "Deployment":
        self.folder.mkdir(parents=True, exist_ok=True)
        timeout = aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_SECONDS)
        self.session = aiohttp.ClientSession(timeout=timeout)
        return self

    async def __aexit__(self, *error: object) -> None:
        for running in reversed(list(self.by_name.values())):
            await self.kill(running.name)
        await self.session.close()

    async def _spawn(self, name: str, *arguments: str) -> asyncio.subprocess.Process:
        with (self.folder / f"{name}.out").open("ab") as output:
            return await asyncio.create_subprocess_exec(
                sys.executable, "-m", *arguments, stdout=output, stderr=output
            )

    async def launch_standin(
        self, name: str, program: str, *options: str, port: int | None = None
    ) -> RunningProcess:
        """Start a stand-in and wait until it responds.

        :param port: TCP port; ``None`` chooses a free one.
        :raises ProcessNotReady: it exited or did not respond in time.
        """
        port = port or free_port()
        process = await self._spawn(
            name, f"standins.{program}", "--ip", IP, "--port", str(port), *options
        )
        running = RunningProcess(name, process, port)
        self.by_name[name] = running
        await self._wait_until_ok(running, "/control/faults")
        return running

    async def launch_client(
        self, name: str, program: str, *options: str
    ) -> RunningProcess:
        """Start a client program, which exits when its work is done."""
        process = await self._spawn(name, f"standins.{program}", *options)
        running = RunningProcess(name, process, 0)
        self.by_name[name] = running
        return running

    def settings_for(self, name: str, zone: str, **changes: Any) -> dict[str, Any]:
        """Return the settings of an entry host of this deployment."""
        return {
            "id": name,
            "incarnation": int(wall_time() * 1000),
            "zone": zone,
            "ip": IP,
            "api_port": free_port(),
            "peer_port": free_port(),
            "log": {"url": self.by_name["log"].url, "retention": 86_400},
            "host_list_url": self.by_name["hosts"].url,
            **changes,
        }

    async def launch_host(self, settings: dict[str, Any]) -> RunningProcess:
        """Start ``cranberryrund`` with ``settings`` and add it to the host list."""
        name = settings["id"]
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(settings, indent=2) + "\n")
        await self.put_on_list(settings)
        process = await self._spawn(name, "cranberryrun.daemon", str(path))
        running = RunningProcess(name, process, settings["api_port"], settings)
        self.by_name[name] = running
        return running

    async def put_on_list(self, settings: dict[str, Any], state: str = "live") -> None:
        """Add an entry host to the platform's host list."""
        entry = {
            "id": settings["id"],
            "kind": "entry",
            "ip": IP,
            "api_port": settings["api_port"],
            "peer_port": settings["peer_port"],
            "zone": settings["zone"],
            "incarnation": settings["incarnation"],
            "state": state,
        }
        await self.put_entry(entry)

    async def put_entry(self, entry: dict[str, Any]) -> None:
        """Add or replace an entry of the platform's host list."""
        url = f"{self.by_name['hosts'].url}/hosts/{entry['id']}"
        await self.request("PUT", url, entry)

    async def remove_from_list(self, name: str) -> None:
        """Remove a host from the platform's host list."""
        url = f"{self.by_name['hosts'].url}/hosts/{name}"
        await self.request("DELETE", url)

    async def wait_until_ready(self, *names: str) -> None:
        """Wait until each named host is ready.

        :raises ProcessNotReady: a host exited or was not ready in time.
        """
        for name in names:
            await self._wait_until_ok(self.by_name[name], "/readyz")

    async def _wait_until_ok(self, running: RunningProcess, path: str) -> None:
        try:
            async with asyncio.timeout(READY_TIMEOUT_SECONDS):
                while not await self._is_ok(running.url + path):
                    if running.process.returncode is not None:
                        raise ProcessNotReady(self._exit_message(running))
                    await asyncio.sleep(POLL_INTERVAL_SECONDS)
        except TimeoutError:
            raise ProcessNotReady(
                f"{running.name} was not ready within {READY_TIMEOUT_SECONDS} s"
            ) from None

    def _exit_message(self, running: RunningProcess) -> str:
        output = (self.folder / f"{running.name}.out").read_bytes()
        tail = output[-_OUTPUT_TAIL_BYTES:].decode(errors="replace")
        return (
            f"{running.name} exited with status {running.process.returncode};"
            f" last output: {tail}"
        )

    async def _is_ok(self, url: str) -> bool:
        try:
            async with self.session.get(url) as response:
                return response.status == 200
        except (aiohttp.ClientError, TimeoutError):
            return False

    async def request(
        self, method: str, url: str, body: Any = None, **options: Any
    ) -> Any:
        """Send one request and return the JSON of its response.

        :raises RequestFailed: the status is not 2xx.
        """
        async with self.session.request(method, url, json=body, **options) as response:
            text = await response.text()
            if response.status // 100 != 2:
                raise RequestFailed(
                    f"{method} {url} returned status {response.status}: {text}"
                )
            return json.loads(text) if text else None

    async def declare(self, host: str, kind: str, name: str, spec: Any) -> Any:
        """Declare a resource through the API of ``host``."""
        url = f"{self.by_name[host].url}/v1/{kind}/{name}"
        return await self.request("PUT", url, {"spec": spec})

    async def set_faults(self, name: str, **changes: Any) -> None:
        """Change the given fault settings of a stand-in."""
        url = f"{self.by_name[name].url}/control/faults"
        await self.request("POST", url, changes)

    async def record(self, name: str) -> Any:
        """Return the record of what a stand-in actually did."""
        return await self.request("GET", f"{self.by_name[name].url}/control/record")

    async def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process of this deployment."""
        process = self.by_name[name].process
        if process.returncode is None:
            process.send_signal(number)

    async def kill(self, name: str) -> None:
        """Kill a process."""
        running = self.by_name.pop(name)
        if running.process.returncode is None:
            running.process.kill()
        await running.process.wait()

    async def terminate(self, name: str) -> int:
        """Stop a process gracefully and return its exit status."""
        running = self.by_name.pop(name)
        if running.process.returncode is None:
            running.process.terminate()
        async with asyncio.timeout(STOP_TIMEOUT_SECONDS):
            return await running.process.wait()

    async def wait_for_exit(self, name: str, seconds: float) -> int:
        """Wait for a client program and return its exit status.

        A program that runs for more than ``seconds`` is killed.
        """
        running = self.by_name.pop(name)
        try:
            async with asyncio.timeout(seconds):
                return await running.process.wait()
        except TimeoutError:
            running.process.kill()
            return await running.process.wait()
