"""Names of rollout streams: they tell the slot, the prompt and the run."""

from __future__ import annotations

from collections.abc import Iterable

import xxhash

from .models import Placement
from .slots import Slot

_MAX_AHEAD_MS = 24 * 3600 * 1000


class StreamNames:
    """Makes and checks the names of the streams of one step.

    A name is ``workload.step.group.index.run-digest.attempt``. The digest covers
    the slot, its prompt, seed and length, so a checkpoint can't bring in a stream
    that was made for another slot or from another prompt.

    :param began_ms: when this run of the step began, in ms since 1970.
    """

    def __init__(self, workload: str, step: int, began_ms: int) -> None:
        self._step = f"{workload}.{step}"
        self._began_ms = began_ms

    def _place(self, slot: Slot) -> str:
        return f"{self._step}.{slot.group}.{slot.index}"

    def _digest(self, slot: Slot) -> str:
        content = [self._place(slot), slot.prefix, str(slot.seed), str(slot.max_tokens)]
        return xxhash.xxh3_64_hexdigest("\0".join(content).encode())

    def name(self, slot: Slot) -> str:
        """Return the name of the slot's newest attempt."""
        run = f"{self._began_ms}-{self._digest(slot)}"
        return f"{self._place(slot)}.{run}.{slot.attempts}"

    def is_of(self, slot: Slot, stream: str) -> bool:
        """Say whether ``stream`` is one of the slot, from any run."""
        place = f"{self._place(slot)}."
        parts = stream.removeprefix(place).split(".")
        if not stream.startswith(place) or len(parts) != 2:
            return False
        began, _, digest = parts[0].partition("-")
        return (
            _is_number(began) and digest == self._digest(slot) and _is_number(parts[1])
        )


def latest_run(placements: Iterable[Placement], now_ms: int) -> int:
    """Return when the latest run named in a checkpoint began; 0 if none is.

    Times that are far ahead of ``now_ms`` are not believed.
    """
    latest = 0
    for placement in placements:
        parts = placement.stream.split(".")
        began = parts[-2].partition("-")[0] if len(parts) > 1 else ""
        if _is_number(began) and int(began) <= now_ms + _MAX_AHEAD_MS:
            latest = max(latest, int(began))
    return latest


def _is_number(text: str) -> bool:
    return text.isascii() and text.isdecimal()
