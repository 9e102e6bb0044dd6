"""Judges from this host's calls whether it reaches any target. Does no I/O.

A failure says something about the host's links only if no target at all was heard from
since: else it is that target's own.
"""

from __future__ import annotations

# A call that hears nothing for this long is a reason to doubt the links. Plain targets
# answer within some ten milliseconds; a slow one is found to be reachable by a probe.
DOUBT_SECONDS = 0.05
_MAX_FAILED_TARGETS = 64


class Reachability:
    """What was heard from targets and what failed.

    Times are in seconds of one clock.
    """

    def __init__(self) -> None:
        self.heard_at = float("-inf")
        self.failed_targets: set[str] = set()
        self._waiting_since_by_call: dict[int, float] = {}
        self._last_call = 0

    def record_heard(self, now: float) -> None:
        """Record that some target sent something."""
        self.heard_at = now
        self.failed_targets.clear()

    def record_failure(self, target_id: str, since: float) -> bool:
        """Record a call that failed and heard nothing since ``since``.

        :return: whether it counts.
        """
        if self.heard_at > since:
            return False
        if len(self.failed_targets) < _MAX_FAILED_TARGETS:
            self.failed_targets.add(target_id)
        return True

    def start_waiting(self, now: float) -> int:
        """Record that a call waits for its answer; return a number for it."""
        self._last_call += 1
        self._waiting_since_by_call[self._last_call] = now
        return self._last_call

    def end_waiting(self, call: int) -> None:
        """Record that the call's answer began, or that the call ended."""
        self._waiting_since_by_call.pop(call, None)

    def doubtful(self, now: float) -> bool:
        """Return whether the host may be cut from all targets.

        Either calls failed and nothing was heard since, or a call waits and nothing was
        heard since it was made.
        """
        if self.failed_targets:
            return True
        oldest = next(iter(self._waiting_since_by_call.values()), now)
        return now >= oldest + DOUBT_SECONDS and self.heard_at < oldest
