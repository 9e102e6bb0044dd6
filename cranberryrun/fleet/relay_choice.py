"""Which neighbours can pass calls on to targets. Does no I/O."""

from __future__ import annotations

import random

# A neighbour that reached targets this long ago may have lost them since.
_CONFIRMATION_SECONDS = 2.0


class RelayChoice:
    """The neighbours that said that they reach targets, by host.

    Times are in seconds of one clock.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._confirmed_at_by_host: dict[str, float] = {}

    def confirm(self, host: str, now: float) -> None:
        """Record that a neighbour reaches targets."""
        self._confirmed_at_by_host[host] = now

    def refute(self, host: str) -> None:
        """Record that a neighbour does not reach targets, or did not respond."""
        self._confirmed_at_by_host.pop(host, None)

    def hosts(self, now: float) -> list[str]:
        """Return the neighbours that reach targets, in random order."""
        for host, confirmed_at in list(self._confirmed_at_by_host.items()):
            if now >= confirmed_at + _CONFIRMATION_SECONDS:
                del self._confirmed_at_by_host[host]
        hosts = list(self._confirmed_at_by_host)
        self._rng.shuffle(hosts)
        return hosts
