"""An engine crashes while a new version is loaded; the route is ``single-version``.

The check is the rule VERSION: a result of such a route names several versions.
"""

from __future__ import annotations

import asyncio
from pathlib import Path

from rig import BROKEN, HELD, ROUTE_HOST, CannotRun, Engine, Rig, run
from trainer import Batch, Trainer

MODEL = "m0"
SHORT_EVENTS, LONG_EVENTS = 10, 120
EVENT_SECONDS = 0.05
# A crashed engine is back after this time, with the weights that it had.
DOWN_SECONDS = 4.5
ROUNDS = 3


def manifest() -> dict:
    """Return a manifest with one rollout route whose results have one version."""
    route = {
        "name": "r-m0",
        "host": ROUTE_HOST,
        "path-prefix": f"/{MODEL}/",
        "kind": "rollout",
        "timeout-ms": 10000,
        "target-latency-ms": 400,
        "priority": 1,
        "service": "lm",
        "max-attempts": 3,
        "queue-ttl-s": 40,
        "run-deadline-ms": 7500,
        "single-version": True,
        "session-affinity": True,
        "resumable": True,
    }
    engine = {"slots": 12, "stride": 1, "models": [{"name": MODEL}]}
    service = {"name": "lm", "health-path": "/healthz", "engine": engine}
    return {"version": 1, "routes": [route], "services": [service], "limits": {}}


def events_of(attempt_id: str) -> int:
    """Return the length of an item's text; few texts are long."""
    return LONG_EVENTS if "long" in attempt_id else SHORT_EVENTS


def build() -> Rig:
    """Return three hosts and six engines."""
    rig = Rig(Path(__file__).parent)
    for number in range(6):
        engine = rig.engine(
            f"e{number}", "lm", models=(MODEL,), event_seconds=EVENT_SECONDS
        )
        engine.events_of = events_of
    for name in ("host-1", "host-2", "host-3"):
        rig.host(name)
    return rig


def groups_of(step: int) -> dict[str, list[str]]:
    """Return twelve groups of four items; two items have long texts."""
    groups = {}
    for number in range(12):
        kinds = ["long" if number < 2 else "short", "short", "short", "short"]
        groups[f"s{step}g{number}"] = [
            f"{kind}-{step}-{number}-{i}" for i, kind in enumerate(kinds)
        ]
    return groups


def busy_with_long(engine: Engine, version: int) -> bool:
    """Return whether the engine runs long items under the version before."""
    return engine.version_by_model[MODEL] < version and any(
        "long" in attempt_id for attempt_id in engine.running_ids
    )


async def crash_one(rig: Rig, version: int) -> None:
    """Crash an engine with long runs once most of the others have the version."""
    for _ in range(100):
        await asyncio.sleep(0.05)
        loaded = [e for e in rig.engines if e.version_by_model[MODEL] == version]
        busy = [e for e in rig.engines if busy_with_long(e, version)]
        if len(loaded) >= 3 and busy:
            busy[0].kill()
            await asyncio.sleep(DOWN_SECONDS)
            await busy[0].start()
            return
    rig.record.write("no engine ran long items under the version before")


async def case(rig: Rig) -> int:
    """Play the case; return its outcome."""
    rig.put_manifest(manifest())
    await rig.start()
    trainer = Trainer(rig.record, rig.hosts)
    broken = []
    finished = 0
    for step in range(1, ROUNDS + 1):
        # Step k is asked once version k is named, and allows k - 1 and newer.
        batch = Batch(
            f"step-{step}",
            MODEL,
            groups_of(step),
            step=step,
            min_version=max(1, step - 1),
            wanted=12,
        )
        await trainer.submit(batch)
        await asyncio.sleep(1.2)
        # The trainer asks for steps ahead, so the next version comes meanwhile.
        rig.name_version(MODEL, step + 1)
        crash = None
        if rig.trouble:
            crash = asyncio.create_task(crash_one(rig, step + 1))
        await trainer.read_until(batch, 12, 12.0)
        await trainer.end(batch, rig.hosts[0])
        if crash is not None:
            await crash
        for _ in range(100):
            if all(e.version_by_model[MODEL] == step + 1 for e in rig.engines):
                break
            await asyncio.sleep(0.1)
        for result in batch.results:
            finished += result["state"] == "succeeded"
            if len(result["versions"]) > 1:
                broken.append(result)
                rig.record.write(
                    f"VERSION broken: {result['id']} of batch {batch.id} has versions "
                    f"{result['versions']}"
                )
    if finished < 60:
        raise CannotRun("too few items were done")
    return BROKEN if broken else HELD


run(build, case)
