"""A small deployment on loopback: hosts and engines as processes, the store here."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import sys
import tempfile
import time
import tomllib
from contextlib import suppress
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from standins.platform_store import PlatformStore
from standins.ports import free_port
from wire import Answer, ChannelClosed, call

ROOT = Path(__file__).resolve().parents[2]
IP = "127.0.0.1"
HEARTBEAT_SECONDS = 1.2
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2


class NotRun(Exception):
    """The case can't show anything, for example because a process did not start."""


@dataclass
class Process:
    """A process that this deployment started."""

    name: str
    process: asyncio.subprocess.Process
    address: str
    options: dict[str, Any]

    @property
    def alive(self) -> bool:
        """Whether the process exists."""
        return self.process.returncode is None


class World:
    """Starts processes and ends them all; writes what happened to ``record.txt``."""

    def __init__(self, case: Path) -> None:
        self._record = (case / "record.txt").open("w")
        self._folder = tempfile.TemporaryDirectory(prefix="review-")
        self.folder = Path(self._folder.name)
        self.store = PlatformStore()
        self.engine_record = self.folder / "engines.jsonl"
        self.engine_record.touch()
        self.hosts: dict[str, Process] = {}
        self.engines: dict[str, Process] = {}
        self._started: list[Process] = []
        self._tasks: list[asyncio.Task[None]] = []
        self._silent: list[socket.socket] = []
        self.started_at = time.time()

    def note(self, text: str) -> None:
        """Write a line to the record."""
        self._record.write(f"{time.time() - self.started_at:8.3f}  {text}\n")
        self._record.flush()

    async def __aenter__(self) -> World:
        await self.store.start()
        self._tasks.append(asyncio.create_task(self._expire_entries()))
        return self

    async def __aexit__(self, *error: object) -> None:
        for task in self._tasks:
            task.cancel()
        for process in self._started:
            if process.alive:
                with suppress(ProcessLookupError):
                    process.process.kill()
            await process.process.wait()
        for silent in self._silent:
            silent.close()
        await self.store.stop()
        self._record.close()
        self._folder.cleanup()

    def put(self, key: str, value: object) -> None:
        """Write what the operator or a trainer writes."""
        self.store.put("keyed.op", key, value)

    async def _expire_entries(self) -> None:
        """Remove the entries of engines that were silent for three intervals."""
        while True:
            await asyncio.sleep(0.2)
            for name, engine in list(self.engines.items()):
                died_at = engine.options.get("died_at")
                if died_at and time.time() > died_at + 3 * HEARTBEAT_SECONDS:
                    self.store.put("keyed.servers", name, None)
                    del self.engines[name]

    async def start_engine(self, name: str, service: str, **options: Any) -> Process:
        """Start an engine; its entry is in the store soon after."""
        port = free_port()
        words = ["--id", name, "--service", service, "--port", str(port)]
        words += ["--store", self.store.address, "--record", str(self.engine_record)]
        for option, value in options.items():
            words += [f"--{option}", str(value)]
        program = ROOT / "review" / "standins" / "engine.py"
        process = await self._spawn(name, [str(program), *words], {})
        engine = Process(name, process, f"{IP}:{port}", dict(options))
        self._started.append(engine)
        self.engines[name] = engine
        return engine

    def kill_engine(self, name: str) -> None:
        """Crash an engine: SIGKILL, so that it says nothing."""
        self.note(f"SIGKILL engine {name}")
        self.engines[name].options["died_at"] = time.time()
        self.engines[name].process.kill()

    def signal_engine(self, name: str, number: signal.Signals) -> None:
        """Send a signal to an engine."""
        self.note(f"{number.name} to engine {name}")
        self.engines[name].process.send_signal(number)

    def settings(self, name: str, zone: str, **changes: Any) -> dict[str, Any]:
        """Return the settings that the template of the deploy file has for a host."""
        return {
            "host_id": name,
            "zone": zone,
            "ip": IP,
            "front_address": f"{IP}:{free_port()}",
            "ready_address": f"{IP}:{free_port()}",
            "peer_address": f"{IP}:{free_port()}",
            "link_mbps": 1000.0,
            "memory_mb": 190,
            "metrics_port": free_port(),
            "contracts": [
                *("base", "drain", "config", "cost", "recover"),
                *("samples", "stream", "engine", "batch", "platform"),
            ],
            "bounds": {
                "engine_lease_ms": 3000,
                "require_fence": True,
                "seed_lag_s": 3,
                "batch_keep_ms": 120000,
                "grace_ms": 8000,
            },
            "store": {
                "record_bytes": 262144,
                "call_bytes": 2097152,
                "address": self.store.address,
            },
            **changes,
        }

    async def start_host(self, name: str, zone: str = "a", **changes: Any) -> Process:
        """Start a host with the command of the deploy file."""
        settings = self.settings(name, zone, **changes)
        return await self.launch_host(name, settings)

    async def launch_host(self, name: str, settings: dict[str, Any]) -> Process:
        """Start the process of a host."""
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(settings))
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        words = deploy["roles"]["host"]["run"].split()
        if words[0] != "python3":
            raise NotRun(f"the deploy file starts {words[0]}")
        process = await self._spawn(
            name, words[1:], {"CRANBERRYRUN_SETTINGS": str(path)}
        )
        host = Process(name, process, settings["front_address"], settings)
        self._started.append(host)
        self.hosts[name] = host
        return host

    async def _spawn(
        self, name: str, words: list[str], environment: dict[str, str]
    ) -> asyncio.subprocess.Process:
        paths = [ROOT / "target" / "deps", ROOT / "review" / "standins", ROOT]
        base = {"PATH": os.environ["PATH"], "HOME": os.environ.get("HOME", "/")}
        base["PYTHONPATH"] = os.pathsep.join(map(str, paths))
        base["PYTHONDONTWRITEBYTECODE"] = "1"
        with (self.folder / f"{name}.log").open("ab") as output:
            return await asyncio.create_subprocess_exec(
                *(sys.executable, *words),
                stdout=output,
                stderr=output,
                cwd=ROOT,
                env=base | environment,
            )

    async def wait_ready(self, seconds: float = 20.0) -> None:
        """Return once all hosts are ready and all engines are in the store."""
        deadline = time.time() + seconds
        for host in self.hosts.values():
            while not await self.is_ready(host):
                if time.time() > deadline or not host.alive:
                    log = (self.folder / f"{host.name}.log").read_text()
                    raise NotRun(f"{host.name} is not ready: {log[-1500:]}")
                await asyncio.sleep(0.1)
        await asyncio.sleep(3.0)

    async def is_ready(self, host: Process) -> bool:
        """Return whether a host says that it is ready."""
        try:
            address = host.options["ready_address"]
            ready = await call(address, "GET", "/v1/readyz", {"Host": "platform"})
        except ChannelClosed:
            return False
        return ready.status == 200

    def signal_host(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a host."""
        self.note(f"{number.name} to host {name}")
        self.hosts[name].process.send_signal(number)

    async def remove_host(self, name: str) -> None:
        """Remove a machine for good: nothing answers at its addresses any more."""
        self.note(f"machine {name} is removed for good")
        host = self.hosts.pop(name)
        host.process.kill()
        await host.process.wait()
        for field in ("peer_address", "front_address", "ready_address"):
            self._silence(host.options[field])

    def _silence(self, address: str) -> None:
        """Leave connects to an address without an answer.

        The queue of the listener is full, so the kernel drops further connects.
        """
        ip, port = address.split(":")
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((ip, int(port)))
        listener.listen(0)
        self._silent.append(listener)
        for _ in range(3):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex((ip, int(port)))
            self._silent.append(filler)

    def log(self, host: str, word: str) -> list[str]:
        """Return the lines of a host's log that have a word."""
        lines = (self.folder / f"{host}.log").read_text().splitlines()
        return [line for line in lines if word in line]

    def engine_lines(self) -> list[dict[str, Any]]:
        """Return what the engines did, in the order in which they did it."""
        lines = self.engine_record.read_text().splitlines()
        return [json.loads(line) for line in lines]

    def copy_engine_lines(self) -> None:
        """Write what the engines did to the record."""
        self.note("what the engines did (time, engine, what, ...):")
        for line in self.engine_lines():
            at = line.pop("at") - self.started_at
            words = " ".join(f"{name}={value}" for name, value in line.items())
            self._record.write(f"{at:8.3f}    {words}\n")


def main(case: Path, play: Any) -> None:
    """Run ``play`` and exit with the status that it returns."""

    async def run() -> int:
        # Ended from outside, it still ends the processes that it started.
        task = asyncio.current_task()
        assert task is not None
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        async with World(case) as world:
            world.note(f"TROUBLE={'1' if TROUBLE else '0'}")
            try:
                status = await play(world)
            except NotRun as error:
                world.note(f"the case could not run: {error}")
                status = NOT_RUN
            world.note({HELD: "held", BROKEN: "BROKEN", NOT_RUN: "not run"}[status])
            return status

    sys.exit(asyncio.run(run()))


__all__ = ["BROKEN", "HELD", "TROUBLE", "Answer", "NotRun", "World", "call", "main"]
