"""Names of rollout streams, which identify the slot, its prompt and the run."""

from __future__ import annotations

from collections.abc import Iterable

import xxhash

from .models import Placement
from .slots import Slot

_MAX_CLOCK_SKEW_MS = 24 * 3600 * 1000


class StreamNames:
    """Makes and checks the names of the streams of one step.

    A name is ``workload.step.group.index.run-digest.attempt``. The run is its
    start time. The digest covers the slot, its prompt, seed and length, so that a
    checkpoint can't resume the stream of another slot or another prompt.

    :param started_ms: start time of this run of the step, in ms since 1970.
    """

    def __init__(self, workload: str, step: int, started_ms: int) -> None:
        self._step = f"{workload}.{step}"
        self._started_ms = started_ms

    def _slot_name(self, slot: Slot) -> str:
        return f"{self._step}.{slot.group}.{slot.index}"

    def _digest(self, slot: Slot) -> str:
        fields = [
            self._slot_name(slot),
            slot.prompt_digest,
            str(slot.seed),
            str(slot.max_tokens),
        ]
        return xxhash.xxh3_64_hexdigest("\0".join(fields).encode())

    def name(self, slot: Slot) -> str:
        """Return the name of the slot's newest attempt."""
        run = f"{self._started_ms}-{self._digest(slot)}"
        return f"{self._slot_name(slot)}.{run}.{slot.attempts}"

    def matches_slot(self, slot: Slot, stream: str) -> bool:
        """Return whether ``stream`` belongs to the slot, whichever run started it."""
        slot_prefix = f"{self._slot_name(slot)}."
        parts = stream.removeprefix(slot_prefix).split(".")
        if not stream.startswith(slot_prefix) or len(parts) != 2:
            return False
        start, _, digest = parts[0].partition("-")
        return (
            _is_number(start) and digest == self._digest(slot) and _is_number(parts[1])
        )


def latest_start_ms(placements: Iterable[Placement], now_ms: int) -> int:
    """Return the start time of the latest run in a checkpoint, in ms; 0 if none.

    Start times more than a day after ``now_ms`` are ignored as invalid.
    """
    latest = 0
    for placement in placements:
        parts = placement.stream.split(".")
        start = parts[-2].partition("-")[0] if len(parts) > 1 else ""
        if _is_number(start) and int(start) <= now_ms + _MAX_CLOCK_SKEW_MS:
            latest = max(latest, int(start))
    return latest


def _is_number(text: str) -> bool:
    return text.isascii() and text.isdecimal()
