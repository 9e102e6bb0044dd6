"""Whether a target may be used: failures take it out for a growing while."""

from __future__ import annotations

from dataclasses import dataclass

from . import clock

_FIRST_OUT_SECONDS = 0.5
_MAX_OUT_SECONDS = 10.0
_REFUSALS_OUT = 3


@dataclass(slots=True)
class Health:
    """A circuit breaker by a target's failures in a row, as this host saw them."""

    failures: int = 0
    refusals: int = 0
    cooldown_until: float = 0.0

    def usable(self) -> bool:
        """Say whether the target may be sent work now."""
        return clock.now() >= self.cooldown_until

    def probing(self) -> bool:
        """Say whether the target has yet to show that it answers again."""
        return self.failures > 0

    def failed(self) -> bool:
        """Note a failure; say whether it was the first in a row.

        Failures while the target is out are of work that was begun before; they
        tell of the same trouble.
        """
        if not self.usable():
            return False
        self.failures += 1
        seconds = min(_MAX_OUT_SECONDS, _FIRST_OUT_SECONDS * 2 ** (self.failures - 1))
        self.cooldown_until = clock.now() + seconds
        return self.failures == 1

    def refused(self) -> bool:
        """Note a refusal; several in a row count as a failure."""
        self.refusals += 1
        if self.refusals < _REFUSALS_OUT:
            return False
        self.refusals = 0
        return self.failed()

    def answered(self) -> bool:
        """Note an answer; say whether the target had been failing."""
        was_failing = self.failures > 0
        self.failures = 0
        self.refusals = 0
        self.cooldown_until = 0.0
        return was_failing
