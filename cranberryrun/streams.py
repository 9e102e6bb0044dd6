"""Names of rollout streams: the same slot and prompt give the same beginning."""

from __future__ import annotations

from collections.abc import Iterable

import xxhash

from .models import Placement
from .slots import Slot

_SEPARATOR = "."
_MAX_AHEAD_MS = 24 * 3600 * 1000


def stream_prefix(workload: str, step: int, slot: Slot) -> str:
    """Return what the names of all streams of a slot begin with.

    Its digest covers the prompt, the seed and the length too, so a checkpoint
    can't bring in a stream that was made for another slot or from another prompt.
    """
    place = [workload, str(step), slot.group, str(slot.index)]
    content = [slot.prefix, str(slot.seed), str(slot.max_tokens)]
    digest = xxhash.xxh3_64_hexdigest("\0".join(place + content).encode())
    return _SEPARATOR.join([*place, digest, ""])


def stream_name(prefix: str, began_ms: int, attempt: int) -> str:
    """Return the name of one stream of a slot.

    :param began_ms: when the run that asks for it began, in ms since 1970.
    """
    return f"{prefix}{began_ms}{_SEPARATOR}{attempt}"


def is_stream_of(prefix: str, stream: str) -> bool:
    """Say whether ``stream`` is one of the slot with this prefix."""
    rest = stream.removeprefix(prefix).split(_SEPARATOR)
    if not stream.startswith(prefix) or len(rest) != 2:
        return False
    return all(part.isascii() and part.isdecimal() for part in rest)


def latest_run(placements: Iterable[Placement], now_ms: int) -> int:
    """Return when the latest run named in a checkpoint began; 0 if none is.

    Times that are far ahead of ``now_ms`` are not believed.
    """
    latest = 0
    for placement in placements:
        parts = placement.stream.split(_SEPARATOR)
        if len(parts) < 2 or not parts[-2].isascii() or not parts[-2].isdecimal():
            continue
        began_ms = int(parts[-2])
        if began_ms <= now_ms + _MAX_AHEAD_MS:
            latest = max(latest, began_ms)
    return latest
