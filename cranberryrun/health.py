"""A circuit breaker per target with an exponentially growing cooldown."""

from __future__ import annotations

from dataclasses import dataclass

from . import clock

_FIRST_COOLDOWN_SECONDS = 0.5
_MAX_COOLDOWN_SECONDS = 10.0
_REFUSALS_PER_FAILURE = 3


@dataclass(slots=True)
class Health:
    """A circuit breaker that counts a target's consecutive failures on this host."""

    failures: int = 0
    refusals: int = 0
    cooldown_until: float = 0.0

    def usable(self) -> bool:
        """Return whether the target may get work, i.e. is not in a cooldown."""
        return clock.now() >= self.cooldown_until

    def probing(self) -> bool:
        """Return whether the target has not responded since its last failure."""
        return self.failures > 0

    def record_failure(self) -> bool:
        """Record a failure; return whether it was the first in a row.

        Failures during a cooldown are not counted: they belong to work sent before
        it and usually have the same cause.
        """
        if not self.usable():
            return False
        self.failures += 1
        seconds = min(
            _MAX_COOLDOWN_SECONDS, _FIRST_COOLDOWN_SECONDS * 2 ** (self.failures - 1)
        )
        self.cooldown_until = clock.now() + seconds
        return self.failures == 1

    def record_refusal(self) -> bool:
        """Record a refusal; several in a row count as one failure.

        :returns: whether it led to the first failure in a row.
        """
        self.refusals += 1
        if self.refusals < _REFUSALS_PER_FAILURE:
            return False
        self.refusals = 0
        return self.record_failure()

    def record_answer(self) -> bool:
        """Record a response; return whether the target had been failing."""
        was_failing = self.failures > 0
        self.failures = 0
        self.refusals = 0
        self.cooldown_until = 0.0
        return was_failing
