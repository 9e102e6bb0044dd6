"""A whole deployment on loopback: hosts, platform and targets as processes."""

import asyncio
import json
import random
import signal
import socket
import sys
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import aiohttp

from ._program import StandinError, wall_time

IP = "127.0.0.1"
READY_SECONDS = 15.0
STOP_SECONDS = 20.0
POLL_SECONDS = 0.05
REQUEST_SECONDS = 20.0


class NotStarted(StandinError):
    """A process did not become ready in time."""


class UnexpectedAnswer(StandinError):
    """A request of the deployment itself was not answered as needed."""


_LISTENING_PORTS = range(12_000, 32_000)
_PORTS_TRIED = 100
# Two programs of one test must not get one port before either listens.
_given_ports: set[int] = set()
# What a program printed last is part of the error when it ends at its start.
_OUTPUT_TAIL_BYTES = 2000


@dataclass
class Running:
    """One process and where it listens."""

    name: str
    process: asyncio.subprocess.Process
    port: int
    settings: dict[str, Any] = field(default_factory=dict)

    @property
    def url(self) -> str:
        """Base of its HTTP paths."""
        return f"http://{IP}:{self.port}"


def free_port() -> int:
    """Return a TCP port that is free now.

    It is below the range from which the kernel takes the ports of outgoing
    connections, so that none of them takes it before the program listens.
    """
    ports = random.sample(_LISTENING_PORTS, _PORTS_TRIED)
    for port in ports:
        if port in _given_ports:
            continue
        with socket.socket() as probe:
            try:
                probe.bind((IP, port))
            except OSError:
                continue
            _given_ports.add(port)
            return port
    raise StandinError(f"none of {len(ports)} ports is free")


class Deployment:
    """Starts processes, keeps them by name, and ends only those.

    :param folder: where settings and output files go.
    """

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.by_name: dict[str, Running] = {}
        self.session: aiohttp.ClientSession

    async def __aenter__(self) -> "Deployment":
        self.folder.mkdir(parents=True, exist_ok=True)
        timeout = aiohttp.ClientTimeout(total=REQUEST_SECONDS)
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

    async def standin(
        self, name: str, program: str, *options: str, port: int | None = None
    ) -> Running:
        """Start a stand-in, on a free port if none is given; wait until it listens."""
        port = port or free_port()
        process = await self._spawn(
            name, f"standins.{program}", "--ip", IP, "--port", str(port), *options
        )
        running = Running(name, process, port)
        self.by_name[name] = running
        await self._until_answer(running, "/control/faults")
        return running

    async def client(self, name: str, program: str, *options: str) -> Running:
        """Start a client program, which ends by itself."""
        process = await self._spawn(name, f"standins.{program}", *options)
        running = Running(name, process, 0)
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

    async def host(self, settings: dict[str, Any]) -> Running:
        """Start ``cranberryrund`` with ``settings`` and put it on the list."""
        name = settings["id"]
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(settings, indent=2) + "\n")
        await self.list_host(settings)
        process = await self._spawn(name, "cranberryrun.daemon", str(path))
        running = Running(name, process, settings["api_port"], settings)
        self.by_name[name] = running
        return running

    async def list_host(self, settings: dict[str, Any], state: str = "live") -> None:
        """Put an entry host on the platform's list."""
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
        """Put any entry on the platform's list."""
        url = f"{self.by_name['hosts'].url}/hosts/{entry['id']}"
        await self.request("PUT", url, entry)

    async def unlist(self, name: str) -> None:
        """Take a host from the platform's list."""
        url = f"{self.by_name['hosts'].url}/hosts/{name}"
        await self.request("DELETE", url)

    async def until_ready(self, *names: str) -> None:
        """Wait until each named host takes work."""
        for name in names:
            await self._until_answer(self.by_name[name], "/readyz")

    async def _until_answer(self, running: Running, path: str) -> None:
        try:
            async with asyncio.timeout(READY_SECONDS):
                while not await self._answers(running.url + path):
                    if running.process.returncode is not None:
                        raise NotStarted(self._how_it_ended(running))
                    await asyncio.sleep(POLL_SECONDS)
        except TimeoutError:
            raise NotStarted(f"{running.name} is not ready") from None

    def _how_it_ended(self, running: Running) -> str:
        output = (self.folder / f"{running.name}.out").read_bytes()
        tail = output[-_OUTPUT_TAIL_BYTES:].decode(errors="replace")
        return f"{running.name} ended with {running.process.returncode}: {tail}"

    async def _answers(self, url: str) -> bool:
        try:
            async with self.session.get(url) as response:
                return response.status == 200
        except (aiohttp.ClientError, TimeoutError):
            return False

    async def request(
        self, method: str, url: str, body: Any = None, **options: Any
    ) -> Any:
        """Send one request and return its JSON answer.

        :raises UnexpectedAnswer: the status is not 2xx.
        """
        async with self.session.request(method, url, json=body, **options) as response:
            text = await response.text()
            if response.status // 100 != 2:
                raise UnexpectedAnswer(f"{method} {url}: {response.status} {text}")
            return json.loads(text) if text else None

    async def declare(self, host: str, kind: str, name: str, spec: Any) -> Any:
        """Declare a resource at ``host``."""
        url = f"{self.by_name[host].url}/v1/{kind}/{name}"
        return await self.request("PUT", url, {"spec": spec})

    async def faults(self, name: str, **changes: Any) -> None:
        """Change the fault settings of a stand-in."""
        url = f"{self.by_name[name].url}/control/faults"
        await self.request("POST", url, changes)

    async def record(self, name: str) -> Any:
        """Return what a stand-in truly did."""
        return await self.request("GET", f"{self.by_name[name].url}/control/record")

    async def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process of this deployment."""
        process = self.by_name[name].process
        if process.returncode is None:
            process.send_signal(number)

    async def kill(self, name: str) -> None:
        """End a process at once."""
        running = self.by_name.pop(name)
        if running.process.returncode is None:
            running.process.kill()
        await running.process.wait()

    async def terminate(self, name: str) -> int:
        """Stop a process as planned and return its exit code."""
        running = self.by_name.pop(name)
        if running.process.returncode is None:
            running.process.terminate()
        async with asyncio.timeout(STOP_SECONDS):
            return await running.process.wait()

    async def ended(self, name: str, seconds: float) -> int:
        """Wait until a client program has ended and return its exit code."""
        running = self.by_name.pop(name)
        try:
            async with asyncio.timeout(seconds):
                return await running.process.wait()
        except TimeoutError:
            running.process.kill()
            return await running.process.wait()
