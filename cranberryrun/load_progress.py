"""How an engine comes to a workload's version: orders, failures and retries."""

from __future__ import annotations

from dataclasses import dataclass

from . import clock

_MAX_FAILED_LOADS = 3
_MAX_FAILING_SECONDS = 5.0
_FIRST_RETRY_SECONDS = 0.5
_MAX_RETRY_SECONDS = 10.0


@dataclass(slots=True)
class LoadProgress:
    """How an engine this host owns comes to a workload's version.

    Times are of the loop; ``incarnation`` is the engine's when it was ordered.
    ``is_open`` says that the last order was taken and nothing is known of it.
    """

    version: int
    incarnation: int
    orders: int = 0
    failures: int = 0
    is_open: bool = False
    ordered_at: float = -1.0
    failing_since: float = 0.0
    not_before: float = 0.0

    def begin(self, version: int) -> None:
        """Go on with a newer version."""
        self.version = version
        self.is_open = False
        self.not_before = 0.0

    def failed(self) -> None:
        """Note a failed load or order; the next one waits longer."""
        self.is_open = False
        if not self.failures:
            self.failing_since = clock.now()
        self.failures += 1
        pause = _FIRST_RETRY_SECONDS * 2 ** min(self.failures - 1, 8)
        self.not_before = clock.now() + min(pause, _MAX_RETRY_SECONDS)

    @property
    def is_hopeless(self) -> bool:
        """Whether it failed often and for long."""
        if self.failures < _MAX_FAILED_LOADS:
            return False
        return clock.now() - self.failing_since >= _MAX_FAILING_SECONDS
