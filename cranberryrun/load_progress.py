"""Progress of loading a workload's version on one engine: orders and retries."""

from __future__ import annotations

from dataclasses import dataclass

from . import clock

_PERSISTENT_FAILURES = 3
_PERSISTENT_FAILURE_SECONDS = 5.0
_FIRST_RETRY_SECONDS = 0.5
_MAX_RETRY_SECONDS = 10.0


@dataclass(slots=True)
class LoadProgress:
    """The state of loading a workload's version on an engine that this host owns.

    Times are event loop times in seconds; ``incarnation`` is the engine's.
    ``awaiting_result`` is true from an accepted order until its result is known.
    """

    version: int
    incarnation: int
    orders: int = 0
    failures: int = 0
    awaiting_result: bool = False
    ordered_at: float = -1.0
    failing_since: float = 0.0
    not_before: float = 0.0

    def set_version(self, version: int) -> None:
        """Switch to a newer version; the count of failures is kept."""
        self.version = version
        self.awaiting_result = False
        self.not_before = 0.0

    def record_failure(self) -> None:
        """Record a failed load or order; retry after an exponential delay."""
        self.awaiting_result = False
        if not self.failures:
            self.failing_since = clock.now()
        self.failures += 1
        delay = _FIRST_RETRY_SECONDS * 2 ** min(self.failures - 1, 8)
        self.not_before = clock.now() + min(delay, _MAX_RETRY_SECONDS)

    @property
    def is_persistent_failure(self) -> bool:
        """Whether loads failed several times and for several seconds."""
        if self.failures < _PERSISTENT_FAILURES:
            return False
        return clock.now() - self.failing_since >= _PERSISTENT_FAILURE_SECONDS
