"""An engine crashes while it runs unsafe requests; none of these may run twice."""

from __future__ import annotations

import asyncio
import secrets
from collections import Counter, defaultdict
from pathlib import Path

from wire import Channel, ChannelClosed
from world import BROKEN, HELD, TROUBLE, NotRun, World, main

HOST = "holds.example"
METHODS = ("POST", "PUT", "DELETE")
CHANNELS_PER_HOST = 9
PLAY_SECONDS = 24.0
# One engine of three at a time crashes, and is back after 4.5 s.
CRASHES = ("i-app1", "i-app2")
CALM_SECONDS = 6.0
DOWN_SECONDS = 4.5
WORK_SECONDS = 0.1
DEADLINE_MS = 1500

MANIFEST = {
    "version": 1,
    "routes": [
        {
            "name": "r-hold",
            "host": HOST,
            "path-prefix": "/hold/",
            "kind": "unsafe",
            "timeout-ms": 1500,
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
    "limits": {
        "max-header-bytes": 16384,
        "max-body-bytes": 33554432,
        "header-timeout-ms": 3000,
        "idle-timeout-ms": 15000,
    },
}


async def client(
    world: World, host: str, method: str, ends_at: float, answers: dict[str, str]
) -> None:
    """Send one request after the other on a kept channel; repeat none of them."""
    loop = asyncio.get_running_loop()
    channel = Channel(world.hosts[host].address)
    while loop.time() < ends_at:
        attempt = secrets.token_hex(8)
        headers = {
            "Host": HOST,
            "X-Cranberryrun-Attempt-Id": attempt,
            "X-Cranberryrun-Deadline-Ms": str(DEADLINE_MS),
        }
        answers[attempt] = f"{method} at {host}: no answer"
        try:
            answer = await channel.send(
                method, f"/hold/{attempt[:4]}", headers, b"seat 17", 2.5
            )
            answers[attempt] = f"{method} at {host}: {answer.status}"
        except ChannelClosed as error:
            answers[attempt] = f"{method} at {host}: closed, {error}"
        await asyncio.sleep(0.02)
    channel.close()


async def start_engine(world: World, name: str) -> None:
    """Start an engine of the service."""
    await world.start_engine(name, "enrol-app", slots=6, work=WORK_SECONDS)


async def play(world: World) -> int:
    """Return whether an unsafe request ran twice."""
    world.put("config", MANIFEST)
    for number in range(3):
        await start_engine(world, f"i-app{number}")
    await world.start_host("front-a-1")
    await world.start_host("front-b-1", zone="b")
    await world.wait_ready()
    answers: dict[str, str] = {}
    ends_at = asyncio.get_running_loop().time() + PLAY_SECONDS
    clients = [
        client(world, host, METHODS[number % len(METHODS)], ends_at, answers)
        for host in world.hosts
        for number in range(CHANNELS_PER_HOST)
    ]
    playing = asyncio.gather(*clients)
    for engine in CRASHES:
        await asyncio.sleep(CALM_SECONDS)
        if TROUBLE:
            world.kill_engine(engine)
        await asyncio.sleep(DOWN_SECONDS)
        if TROUBLE:
            await start_engine(world, f"{engine}b")
    await playing
    runs = defaultdict(list)
    for line in world.engine_lines():
        if line["what"] == "run":
            runs[line["id"]].append(line)
    world.note(f"{len(answers)} requests sent, {len(runs)} of them run")
    world.note(f"answers: {dict(Counter(answers.values()))}")
    served = sum(text.endswith(": 200") for text in answers.values())
    if served < len(answers) / 2:
        raise NotRun("fewer than half of the requests were served")
    twice = {attempt: lines for attempt, lines in runs.items() if len(lines) > 1}
    refused = [
        attempt
        for attempt, text in answers.items()
        if text.endswith((": 429", ": 503", ": 408", ": 421")) and attempt in runs
    ]
    for attempt, lines in twice.items():
        world.note(f"TWICE: request {attempt}, {answers[attempt]}")
        for line in lines:
            at = line["at"] - world.started_at
            world.note(f"   run by {line['engine']} at {at:.3f} ({line['method']})")
    for attempt in refused:
        world.note(f"REFUSED: request {attempt} ran: {answers[attempt]}")
    world.note(f"{len(twice)} requests ran twice, {len(refused)} ran and were refused")
    world.copy_engine_lines()
    return BROKEN if twice or refused else HELD


main(Path(__file__).parent, play)
