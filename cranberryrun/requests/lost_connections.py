"""Remembers which requests a target had when their connections ended. Does no I/O.

Whether the target ended shows only later: it then refuses connections.
"""

from __future__ import annotations

from collections import OrderedDict

_MAX_TARGETS = 512
_MAX_REQUESTS_PER_TARGET = 64


class LostConnections:
    """The requests without an answer, by target. Times are in seconds of one clock.

    :param seconds: how long after a connection ended a refusal of the target counts.
    """

    def __init__(self, seconds: float) -> None:
        self._seconds = seconds
        self._lost_at_by_target: OrderedDict[str, dict[str, float]] = OrderedDict()

    def __len__(self) -> int:
        return len(self._lost_at_by_target)

    def __contains__(self, target: str) -> bool:
        return target in self._lost_at_by_target

    def record(self, target: str, fingerprint: str, now: float) -> None:
        """Record that a request's connection to ``target`` ended without an answer."""
        lost_at = self._lost_at_by_target.setdefault(target, {})
        self._lost_at_by_target.move_to_end(target)
        if len(lost_at) < _MAX_REQUESTS_PER_TARGET:
            lost_at[fingerprint] = now
        while len(self._lost_at_by_target) > _MAX_TARGETS:
            self._lost_at_by_target.popitem(last=False)

    def confirm(self, target: str, now: float) -> list[str]:
        """Return and forget the requests of ``target``, which refuses connections."""
        lost_at = self._lost_at_by_target.pop(target, {})
        return [
            fingerprint
            for fingerprint, at in lost_at.items()
            if now < at + self._seconds
        ]

    def forget(self, target: str) -> None:
        """Forget the requests of ``target``, which runs on."""
        self._lost_at_by_target.pop(target, None)
