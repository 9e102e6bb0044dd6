"""Memory, CPU time and snapshot size of a host's replica of the configuration."""

from __future__ import annotations

import json
from typing import Any

from cranberryrun.state import ConfigState

from .slopes import Point, Slope, allocated_bytes, cpu_seconds

ENGINE_COUNTS = (100, 300, 600, 1200)
CHANGE_COUNT = 2000
WALL_CLOCK_SECONDS = 1_700_000_000.0


def engine_change(n: int, generation: int, offset: int) -> dict[str, Any]:
    """Return the log record that declares engine ``n``."""
    return {
        "record": "change",
        "change_id": f"change-{offset:012}",
        "kind": "engines",
        "name": f"engine-{n:04}",
        "expected_generation": generation,
        "operation": "put",
        "spec": {
            "url": f"http://10.0.{n // 250}.{n % 250}:8000",
            "zone": f"zone-{n % 5}",
            "pool": f"pool-{n % 4}",
            "slots": 32,
            "tokens_per_second": 1550.0,
        },
        "host": "host-001",
    }


def build_state(engines: int) -> ConfigState:
    """Return a state with ``engines`` declared engines."""
    state = ConfigState()
    for n in range(engines):
        state.apply(n, WALL_CLOCK_SECONDS, engine_change(n, 0, n))
    return state


def _apply_changes(state: ConfigState, engines: int) -> None:
    for n in range(CHANGE_COUNT):
        offset = state.offset + 1
        which = n % engines
        name = f"engine-{which:04}"
        generation = state.generation("engines", name)
        state.apply(
            offset, WALL_CLOCK_SECONDS, engine_change(which, generation, offset)
        )


def measure() -> list[Slope]:
    """Return the slopes of the replica over the number of engines."""
    memory: list[Point] = []
    apply_time: list[Point] = []
    snapshot_size: list[Point] = []
    snapshot_time: list[Point] = []
    for engines in ENGINE_COUNTS:
        memory.append(
            Point(engines, allocated_bytes(lambda: build_state(engines)) / 1024)
        )
        state = build_state(engines)
        seconds = cpu_seconds(lambda: _apply_changes(state, engines))
        apply_time.append(Point(engines, 1e6 * seconds / CHANGE_COUNT))
        snapshot = json.dumps(state.snapshot("host-001").model_dump(mode="json"))
        snapshot_size.append(Point(engines, len(snapshot) / 1024))
        seconds = cpu_seconds(lambda: state.snapshot("host-001").model_dump_json())
        snapshot_time.append(Point(engines, 1000 * seconds))
    return [
        Slope("configuration: memory", "KiB", "engines", memory),
        Slope("configuration: apply a change", "µs", "engines", apply_time),
        Slope("configuration: snapshot", "KiB", "engines", snapshot_size),
        Slope("configuration: write a snapshot", "ms", "engines", snapshot_time),
    ]
