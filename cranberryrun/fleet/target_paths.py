"""Whether this host reaches targets at all, as its own calls show."""

from __future__ import annotations

from .. import clock
from ..events import Events
from ..kernel import Service
from .directory import Directory
from .reachability import DOUBT_SECONDS, Reachability

# One target that can't be reached may have ended by itself.
_MIN_FAILED_TARGETS = 2


class CallWatch:
    """One direct call to a target; tells :class:`TargetPaths` what was heard."""

    def __init__(self, paths: TargetPaths, target_id: str) -> None:
        self._paths = paths
        self._target_id = target_id
        self._heard_at = clock.now()
        self._call = paths.reachability.start_waiting(self._heard_at)

    def heard(self) -> None:
        """Record that the target sent something."""
        self._heard_at = clock.now()
        self._paths.reachability.end_waiting(self._call)
        self._paths.record_heard()

    def failed(self) -> None:
        """Record that no connection was made, or that it ended."""
        self._paths.record_failure(self._target_id, self._heard_at)

    def abandoned(self) -> None:
        """Record that the call was ended while the target said nothing."""
        if clock.now() >= self._heard_at + DOUBT_SECONDS:
            self.failed()

    def end(self) -> None:
        """Record that the call is over."""
        self._paths.reachability.end_waiting(self._call)


class TargetPaths(Service):
    """Follows the outcomes of this host's calls to targets."""

    name = "target_paths"
    requires = ("events", "directory")

    def __init__(self) -> None:
        super().__init__()
        self.reachability = Reachability()
        self.lost = False

    def watch(self, target_id: str) -> CallWatch:
        """Return the watch of a call that begins now."""
        return CallWatch(self, target_id)

    def record_heard(self) -> None:
        """Record that some target sent something."""
        self.reachability.record_heard(clock.now())
        if self.lost:
            self.lost = False
            self.kernel.get(Events).emit("targets_reached")

    def record_failure(self, target_id: str, since: float) -> None:
        """Record a call to a target that heard nothing since ``since``."""
        if not self.reachability.record_failure(target_id, since) or self.lost:
            return
        known = len(self.kernel.get(Directory).target_by_id)
        failed = self.reachability.failed_targets
        if len(failed) >= min(_MIN_FAILED_TARGETS, known):
            self.lost = True
            self.kernel.get(Events).emit("targets_lost", failed=sorted(failed))
