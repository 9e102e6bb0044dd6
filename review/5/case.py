"""A manifest must be in force in time after the store was silent; machines had left.

Besides, items of a batch that was ended then must not be sent any more.
"""

from __future__ import annotations

import asyncio
import copy
import secrets
import time
from pathlib import Path
from typing import Any

from trainer import Trainer
from wire import ChannelClosed, call
from world import BROKEN, HELD, TROUBLE, NotRun, World, main

HOST = "paths.example"
PREFIX = "/rollout/"
MODEL = "m0"
ENGINES, SLOTS = 2, 4
EVENT_SECONDS = 0.1
EVENTS = 20
GROUPS, SIZE = 14, 4
# Machines that are replaced, one after the other, before the store is silent.
REPLACED = 10
OUTAGE_SECONDS = 4.5
CYCLES = 3
# How long routes are asked for after the store is back.
ASK_SECONDS = 12.0
# The bounds config-apply-ms, cancel-ms and stable-window-ms of the site.
APPLY_SECONDS = 2.0
CANCEL_SECONDS = 3.0
STABLE_SECONDS = 3.0
# The first requests on an added route may meet hosts that just apply the manifest.
SLACK_SECONDS = 0.1

MANIFEST: dict[str, Any] = {
    "version": 1,
    "routes": [
        {
            "name": "r-rollout",
            "host": HOST,
            "path-prefix": PREFIX,
            "kind": "rollout",
            "timeout-ms": 10000,
            "target-latency-ms": 400,
            "priority": 1,
            "service": "advisor-lm",
            "max-attempts": 3,
            "queue-ttl-s": 40.0,
            "run-deadline-ms": 7500,
            "single-version": False,
            "session-affinity": True,
            "resumable": True,
        },
    ],
    "services": [
        {
            "name": "enrol-app",
            "health-path": "/healthz",
            "max-conns": 96,
            "protocol": "h1",
            "tls": False,
        },
        {
            "name": "advisor-lm",
            "health-path": "/healthz",
            "max-conns": 150,
            "protocol": "h1",
            "tls": False,
            "engine": {
                "slots": SLOTS,
                "kv-capacity": 82511,
                "stride": 1,
                "models": [{"name": MODEL}],
            },
        },
    ],
    "limits": {"max-header-bytes": 16384, "max-body-bytes": 33554432},
}


async def replace_machines(world: World) -> None:
    """Replace machines by others at other addresses, as operators do over time."""
    for number in range(REPLACED):
        zone = "bc"[number % 2]
        old = f"front-{zone}-{number // 2 + 1}"
        new = f"front-{zone}-{number // 2 + 2}"
        await world.remove_host(old)
        world.note(f"machine {new} is added")
        await world.start_host(new, zone=zone)
        while not await world.is_ready(world.hosts[new]):
            await asyncio.sleep(0.1)


def add_route(manifest: dict[str, Any], version: int) -> str:
    """Add a route for plain requests to the manifest; return its prefix."""
    manifest["version"] = version
    route = {
        "name": f"r-added{version}",
        "host": HOST,
        "path-prefix": f"/added{version}/",
        "kind": "safe",
        "timeout-ms": 800,
        "target-latency-ms": 192,
        "priority": 2,
        "max-attempts": 2,
        "service": "enrol-app",
    }
    manifest["routes"].append(route)
    return f"/added{version}/"


async def ask(world: World, host: str, prefix: str, answers: list[Any]) -> None:
    """Ask a host for a route for some seconds: when, where, and the status."""
    ends_at = time.time() + ASK_SECONDS
    while time.time() < ends_at:
        headers = {
            "Host": HOST,
            "X-Cranberryrun-Attempt-Id": secrets.token_hex(8),
            "X-Cranberryrun-Deadline-Ms": "800",
        }
        at = time.time()
        try:
            address = world.hosts[host].address
            answer = await call(address, "GET", f"{prefix}1", headers, b"", 0.8)
            answers.append((at, host, answer.status))
        except ChannelClosed:
            answers.append((at, host, None))
        await asyncio.sleep(0.2)


async def play_cycle(
    world: World, manifest: dict[str, Any], step: int
) -> tuple[list[Any], list[Any]]:
    """Return what broke CONFIG, and which items were sent although none was wanted."""
    names = sorted(world.hosts, reverse=True)
    # The trainer's hosts are those that came last; the oldest one holds the lease.
    addresses = [world.hosts[name].address for name in names[:2]]
    trainer = Trainer(world.note, addresses, HOST, PREFIX, MODEL)
    lengths = [[EVENTS] * SIZE] * GROUPS
    batch = await trainer.submit(step, lengths, min_version=1, wanted=GROUPS)
    await asyncio.sleep(1.0)
    if TROUBLE:
        world.note("the store is silent")
        world.store.mode = "silent"
    await asyncio.sleep(OUTAGE_SECONDS)
    if TROUBLE:
        world.note("the store answers again")
        world.store.mode = "up"
    in_touch_at = time.time() + (STABLE_SECONDS if TROUBLE else 0.0)
    prefix = add_route(manifest, step + 2)
    world.put("config", manifest)
    world.note(
        f"the store confirms manifest {manifest['version']}, which adds {prefix}"
    )
    apply_limit = max(time.time() + APPLY_SECONDS, in_touch_at) + SLACK_SECONDS
    answers: list[Any] = []
    asking = asyncio.gather(*(ask(world, name, prefix, answers) for name in names))
    await trainer.end(batch)
    cancel_limit = max(time.time() + CANCEL_SECONDS, in_touch_at)
    await asking
    counts: dict[str, int] = {}
    for _, host, status in answers:
        counts[f"{host} {status}"] = counts.get(f"{host} {status}", 0) + 1
    world.note(f"answers on {prefix}: {counts}")
    stale = [each for each in answers if each[2] == 404 and each[0] > apply_limit]
    for at, host, _ in stale:
        world.note(
            f"CONFIG: {host} answers 404 to a request of {at - world.started_at:.3f}; "
            f"{apply_limit - world.started_at:.3f} was the limit"
        )
    items = set(batch.items)
    late = [
        line
        for line in world.engine_lines()
        if line["what"] == "run" and line["id"] in items and line["at"] > cancel_limit
    ]
    for line in late:
        world.note(
            f"besides, UNASKED: item {line['id']} of the ended batch reaches "
            f"{line['engine']} at {line['at'] - world.started_at:.3f}; "
            f"{cancel_limit - world.started_at:.3f} was the limit"
        )
    return stale, late


async def play(world: World) -> int:
    """Return whether a host handles requests as an older manifest says, too late."""
    manifest = copy.deepcopy(MANIFEST)
    world.put("config", manifest)
    await world.start_engine("i-app0", "enrol-app", slots=6, work=0.01)
    for number in range(ENGINES):
        await world.start_engine(
            f"i-lm{number}", "advisor-lm", slots=SLOTS, model=MODEL, event=EVENT_SECONDS
        )
    await world.start_host("front-a-1")
    await world.wait_ready()
    await world.start_host("front-b-1", zone="b")
    await world.start_host("front-c-1", zone="c")
    await world.wait_ready()
    if TROUBLE:
        await replace_machines(world)
    # Hosts read the entries of the others every 5 s.
    await asyncio.sleep(6.0)
    stale_count = late_count = 0
    for step in range(CYCLES):
        stale, late = await play_cycle(world, manifest, step)
        stale_count += len(stale)
        late_count += len(late)
    runs = [line for line in world.engine_lines() if line["what"] == "run"]
    if not any(line["engine"] == "i-app0" for line in runs):
        raise NotRun("no request ran")
    world.note(f"CONFIG broken by {stale_count} answers, UNASKED by {late_count} items")
    world.copy_engine_lines()
    return BROKEN if stale_count else HELD


main(Path(__file__).parent, play)
