"""Engines are lost for good, so that a batch stays open for longer than ``status-s``.

The check is the rule LOST: a host answers 404 for a batch that it accepted, that is
open and that its trainer still reads.
"""

from __future__ import annotations

import asyncio
from pathlib import Path

from rig import BROKEN, HELD, ROUTE_HOST, CannotRun, Rig, run
from trainer import Batch, Trainer

# Under ``bounds``: 120 s on the sheets; the script may run for 120 s.
STATUS_SECONDS = 30
ENGINES, SLOTS = 9, 8
# On the site's days up to 0.229 of the engines of the service crash.
LOST_ENGINES = 2
EVENT_SECONDS = 0.05
LONG_EVENTS, SHORT_EVENTS = 96, 10
GROUPS, GROUP_SIZE = 90, 4
LONG, SHORT = "m0", "m1"


def route(model: str, deadline_ms: int, ttl_s: int) -> dict:
    """Return a rollout route."""
    return {
        "name": f"r-{model}",
        "host": ROUTE_HOST,
        "path-prefix": f"/{model}/",
        "kind": "rollout",
        "timeout-ms": 10000,
        "target-latency-ms": 400,
        "priority": 1,
        "service": "lm",
        "max-attempts": 3,
        "queue-ttl-s": ttl_s,
        "run-deadline-ms": deadline_ms,
        "single-version": False,
        "session-affinity": True,
        "resumable": True,
    }


def manifest() -> dict:
    """Return a manifest with routes for two trainers."""
    models = [{"name": LONG}, {"name": SHORT}]
    engine = {"slots": SLOTS, "stride": 1, "models": models}
    return {
        "version": 1,
        "routes": [route(LONG, 40000, 90), route(SHORT, 7500, 40)],
        "services": [{"name": "lm", "health-path": "/healthz", "engine": engine}],
        "limits": {},
    }


def build() -> Rig:
    """Return three hosts and nine engines."""
    rig = Rig(Path(__file__).parent)
    for number in range(ENGINES):
        engine = rig.engine(
            f"e{number}",
            "lm",
            models=(LONG, SHORT),
            slots=SLOTS,
            event_seconds=EVENT_SECONDS,
        )
        engine.events_of = lambda attempt_id: (
            LONG_EVENTS if attempt_id.startswith("long") else SHORT_EVENTS
        )
    for name in ("host-1", "host-2", "host-3"):
        rig.host(name, batch_keep_ms=STATUS_SECONDS * 1000)
    return rig


async def short_steps(trainer: Trainer, rig: Rig) -> None:
    """Submit a small batch of the other trainer each four seconds."""
    step = 0
    while True:
        step += 1
        groups = {f"short{step}g{g}": [f"short-{step}-{g}"] for g in range(4)}
        batch = Batch(
            f"short-{step}", SHORT, groups, step=step, min_version=1, wanted=4
        )
        await trainer.submit(batch, step)
        await trainer.read_until(batch, 4, 3.0)
        await trainer.end(batch, rig.hosts[step % 3])
        await asyncio.sleep(max(0.1, 4.0 - (rig.record.now() - batch.accepted_at)))


async def case(rig: Rig) -> int:
    """Play the case; return its outcome."""
    rig.put_manifest(manifest())
    await rig.start()
    await asyncio.sleep(4.0)
    trainer = Trainer(rig.record, rig.hosts)
    groups = {
        f"long{g}": [f"long-{g}-{i}" for i in range(GROUP_SIZE)] for g in range(GROUPS)
    }
    batch = Batch("long-1", LONG, groups, step=1, min_version=1, wanted=GROUPS)
    await trainer.submit(batch)
    others = asyncio.create_task(short_steps(trainer, rig))
    await asyncio.sleep(1.0)
    if rig.trouble:
        for engine in rig.engines[:LOST_ENGINES]:
            engine.kill()
    lost = []
    number = 0
    while batch.complete_groups() < GROUPS:
        seconds = rig.record.now() - batch.accepted_at
        if seconds > 60:
            break
        host = rig.hosts[number % len(rig.hosts)]
        number += 1
        status = await trainer.read(batch, host)
        if status != 200:
            rig.record.write(f"read of {batch.id} at {host.name}: {status}")
            await asyncio.sleep(0.2)
        if status == 404:
            lost.append(f"{host.name} answers 404 {seconds:.1f} s after the submission")
    seconds = rig.record.now() - batch.accepted_at
    rig.record.write(
        f"{len(batch.results)} of {GROUPS * GROUP_SIZE} results of {batch.id} were "
        f"read {seconds:.1f} s after its submission"
    )
    await trainer.end(batch, rig.hosts[0])
    others.cancel()
    for line in lost:
        rig.record.write(f"LOST broken: {batch.id} is open, but {line}")
    if not lost and len(batch.results) < GROUPS * GROUP_SIZE:
        raise CannotRun("the batch was not complete")
    return BROKEN if lost else HELD


run(build, case)
