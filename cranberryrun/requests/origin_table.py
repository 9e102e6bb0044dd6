"""Remembers where streams began, in bounded memory. Does no I/O."""

from __future__ import annotations

from collections import OrderedDict

import xxhash

from ..fleet.origin import Origin

# Callers return within seconds, so only the streams that began last are asked for.
_MAX_STREAMS = 20_000


def stream_key(attempt_id: str) -> int:
    """Return the key of the stream that a caller's request began.

    Callers choose the ids, so their length says nothing of the memory they take.
    """
    return xxhash.xxh3_64_intdigest(attempt_id.encode("utf-8", "surrogateescape"))


class OriginTable:
    """The origins of the streams that began last.

    An id under which streams of two origins began has none: whichever of them a caller
    means, the other one would be wrong.
    """

    def __init__(self) -> None:
        self._origin_by_key: OrderedDict[int, Origin | None] = OrderedDict()

    def __len__(self) -> int:
        return len(self._origin_by_key)

    def record(self, key: int, origin: Origin) -> None:
        """Record the origin of a stream; a repeat changes nothing."""
        known = self._origin_by_key.setdefault(key, origin)
        if known != origin:
            self._origin_by_key[key] = None
        while len(self._origin_by_key) > _MAX_STREAMS:
            self._origin_by_key.popitem(last=False)

    def get(self, key: int) -> Origin | None:
        """Return the origin of a stream; None if it is not known."""
        return self._origin_by_key.get(key)
