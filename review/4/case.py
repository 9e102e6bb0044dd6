"""Two engines in trouble answer with bytes without end; hosts must stay alive."""

from __future__ import annotations

import asyncio
import os
import secrets
import signal
import time
from collections import Counter
from pathlib import Path

from wire import Channel, ChannelClosed
from world import BROKEN, HELD, TROUBLE, NotRun, World, main

HOST = "holds.example"
HOSTS = ("front-a-1", "front-b-1", "front-c-1")
CHANNELS_PER_HOST = 4
PLAY_SECONDS = 80.0
# One engine of three is in trouble at a time, for 5 s with pauses of 3 s.
SPANS = 9
SPAN_SECONDS = 5.0
PAUSE_SECONDS = 3.0
# The largest share of answers that a site file names for this disruption.
SPOILT_SHARE = 0.03
DEADLINE_MS = 800
MEMORY_MB = 190
RESTART_SECONDS = 0.5
# Where processes end by themselves three times on two machines, the rule is broken.
MACHINES, ENDS = 2, 3

MANIFEST = {
    "version": 1,
    "routes": [
        {
            "name": "r-hold",
            "host": HOST,
            "path-prefix": "/hold/",
            "kind": "safe",
            "timeout-ms": 800,
            "target-latency-ms": 192,
            "priority": 2,
            "max-attempts": 2,
            "service": "enrol-app",
        }
    ],
    "services": [
        {
            "name": "enrol-app",
            "health-path": "/healthz",
            "max-conns": 96,
            "protocol": "h1",
            "tls": False,
        }
    ],
    "limits": {"max-header-bytes": 16384, "max-body-bytes": 33554432},
}


class Platform:
    """Kills a process that exceeds its memory, and starts it again, as machines do."""

    def __init__(self, world: World) -> None:
        self._world = world
        self.peak_mb: Counter[str] = Counter()
        self.ends: Counter[str] = Counter()

    async def watch(self, name: str) -> None:
        """Watch the process of one host."""
        while True:
            await asyncio.sleep(0.02)
            host = self._world.hosts[name]
            used = self._used_mb(host.process.pid) if host.alive else 0.0
            self.peak_mb[name] = max(self.peak_mb[name], int(used))
            if host.alive and used <= MEMORY_MB:
                continue
            self.ends[name] += 1
            self._world.note(
                f"{name}: end {self.ends[name]}: {used:.0f} MB of {MEMORY_MB} MB"
                if host.alive
                else f"{name}: end {self.ends[name]}: exit {host.process.returncode}"
            )
            if host.alive:
                host.process.kill()
            await host.process.wait()
            await asyncio.sleep(RESTART_SECONDS)
            await self._world.launch_host(name, host.options)

    def _used_mb(self, pid: int) -> float:
        try:
            pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
        except (OSError, IndexError):
            return 0.0
        return pages * os.sysconf("SC_PAGE_SIZE") / 1e6


async def client(
    world: World, host: str, ends_at: float, answers: Counter[str]
) -> None:
    """Send one request after the other, six a second and host in all."""
    channel = Channel(world.hosts[host].address)
    while time.monotonic() < ends_at:
        headers = {
            "Host": HOST,
            "X-Cranberryrun-Attempt-Id": secrets.token_hex(8),
            "X-Cranberryrun-Deadline-Ms": str(DEADLINE_MS),
        }
        try:
            answer = await channel.send("POST", "/hold/1", headers, b"seat", 0.8)
            answers[str(answer.status)] += 1
        except ChannelClosed:
            answers["none"] += 1
        await asyncio.sleep(0.1)
    channel.close()


async def play(world: World) -> int:
    """Return whether hosts end by themselves."""
    world.put("config", MANIFEST)
    for number in range(3):
        await world.start_engine(
            f"i-app{number}",
            "enrol-app",
            slots=6,
            work=0.04,
            floods=SPOILT_SHARE,
            trouble=SPAN_SECONDS,
        )
    for name in HOSTS:
        await world.start_host(name, zone=name[6])
    await world.wait_ready()
    platform = Platform(world)
    watches = [asyncio.create_task(platform.watch(name)) for name in HOSTS]
    answers: Counter[str] = Counter()
    ends_at = time.monotonic() + PLAY_SECONDS
    clients = [
        client(world, host, ends_at, answers)
        for host in HOSTS
        for _ in range(CHANNELS_PER_HOST)
    ]
    playing = asyncio.gather(*clients)
    for span in range(SPANS):
        await asyncio.sleep(PAUSE_SECONDS)
        if TROUBLE:
            world.signal_engine(f"i-app{span % 3}", signal.SIGUSR1)
        await asyncio.sleep(SPAN_SECONDS)
    await playing
    for watch in watches:
        watch.cancel()
    floods = sum(line["what"] == "flood" for line in world.engine_lines())
    world.note(f"answers: {dict(answers)}; {floods} were bytes without end")
    world.note(f"most memory of a process, MB: {dict(platform.peak_mb)}")
    world.note(f"ends of processes by themselves: {dict(platform.ends)}")
    if not answers["200"]:
        raise NotRun("no request was served")
    ended = [name for name in HOSTS if platform.ends[name] >= ENDS]
    world.copy_engine_lines()
    return BROKEN if len(ended) >= MACHINES else HELD


main(Path(__file__).parent, play)
