"""Which batches are rejected because they certainly can't be served. Does no I/O.

Answers two loads: all engines of a batch's services are gone and none can be there in
time, or a step has so much work that even all slots of all engines at full speed need
far longer than its trainer waits. Its trainer then learns at once that the batch does
not run, and may submit it again when there are engines.

A rejected batch that would have fitted costs more than an accepted one that does not
fit. So whatever is unknown counts in favour of the batch: an engine that was lost may
come back, one that is leaving still has its slots, and a host rejects nothing while its
list of targets is new or old.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from ..exceptions import NoTargetError, OverloadedError, RefusedError
from ..fleet.directory import Target
from ..fleet.manifest import Manifest, Route
from .models import Batch, Item

NO_ENGINE = "no_engine"
TOO_MUCH_WORK = "too_much_work"

_MIN_RETRY_SECONDS = 1.0
_MAX_RETRY_SECONDS = 5.0
# After its start or an outage of the store, a host knows all targets only once they
# have had the time to register again.
_MIN_LIST_AGE_SECONDS = 3.0
# Reads of the directory's topics end about once a second. Where they are further apart,
# the store can't be read or the process was suspended.
_MAX_READ_AGE_SECONDS = 2.0
# Estimates of lengths are right at the median only, and some items may be carried over,
# so only work of more than this multiple of the time left certainly does not fit.
_CERTAIN_EXCESS = 2.0
# Trainers repeat a submission within seconds, in which they submit few other batches.
_MAX_SUBMITTED = 256


@dataclass(frozen=True, slots=True)
class Rejection:
    """Why a batch can't be served, and after how many seconds to submit it again.

    ``cause`` is :data:`NO_ENGINE` or :data:`TOO_MUCH_WORK`.
    """

    cause: str
    reason: str
    retry_after: float

    def error(self) -> RefusedError:
        """Return the error that tells the trainer."""
        if self.cause == NO_ENGINE:
            return NoTargetError(self.reason, retry_after=self.retry_after)
        return OverloadedError(self.reason, retry_after=self.retry_after)


@dataclass(slots=True)
class _SeenTarget:
    """A target in the directory, and when it was there and not leaving, in loop s."""

    service: str
    slots: int
    seen_at: float
    usable_at: float


class Admission:
    """Knows the engines as this host saw them, and rejects batches by them.

    Times are in loop seconds.

    :param lag: how long the entry of a target may be missing although it runs, in
        seconds.
    """

    def __init__(self, lag: float) -> None:
        self.lag = lag
        self._seen_by_id: dict[str, _SeenTarget] = {}
        self._read_at = -math.inf
        self._recorded_at = -math.inf
        self._known_since = math.inf
        self._fastest_interval = math.inf
        self._submitted: OrderedDict[str, None] = OrderedDict()

    def record_targets(
        self, targets: Iterable[Target], read_at: float, now: float
    ) -> None:
        """Record the targets that the directory has now.

        :param read_at: when the directory was last read.
        """
        if read_at - self._read_at > _MAX_READ_AGE_SECONDS:
            self._known_since = now
        self._read_at = read_at
        self._recorded_at = now
        for target in targets:
            seen = self._seen_by_id.get(target.id)
            usable_at = seen.usable_at if seen is not None else -math.inf
            self._seen_by_id[target.id] = _SeenTarget(
                service=target.service,
                slots=target.slots,
                seen_at=now,
                usable_at=usable_at if target.draining else now,
            )
        for target_id, seen in list(self._seen_by_id.items()):
            if seen.seen_at < now - self.lag:
                del self._seen_by_id[target_id]

    def record_intervals(self, intervals: Iterable[float]) -> None:
        """Record event intervals of engines, in seconds; 0 stands for an unknown one.

        Only the shortest one ever seen counts: engines that are slow now may be fast
        again.
        """
        for interval in intervals:
            if interval > 0:
                self._fastest_interval = min(self._fastest_interval, interval)

    def record_submission(self, batch_id: str) -> None:
        """Record that this host starts to store a batch."""
        self._submitted[batch_id] = None
        self._submitted.move_to_end(batch_id)
        while len(self._submitted) > _MAX_SUBMITTED:
            self._submitted.popitem(last=False)

    def submitted(self, batch_id: str) -> bool:
        """Return whether this host has tried to store the batch before."""
        return batch_id in self._submitted

    def rejection(
        self,
        batch: Batch,
        manifest: Manifest,
        now: float,
        is_known: Callable[[Item], bool],
    ) -> Rejection | None:
        """Return why the batch certainly can't be served; None if it may be.

        :param is_known: whether an item was in an earlier batch, from which its output
            may be taken over.
        """
        if now - self._read_at > _MAX_READ_AGE_SECONDS:
            return None
        if now - self._known_since < max(_MIN_LIST_AGE_SECONDS, self.lag):
            return None
        route_by_name: dict[str, Route] = {}
        for item in batch.items:
            route = manifest.route_for(batch.host, item.path)
            if route is None:
                return None
            route_by_name[route.name] = route
        routes = list(route_by_name.values())
        services = frozenset(
            backend.service for route in routes for backend in route.backends
        )
        return self._without_engines(
            services, routes, manifest, now
        ) or self._with_too_much_work(batch, services, routes, manifest, is_known)

    def _without_engines(
        self,
        services: frozenset[str],
        routes: list[Route],
        manifest: Manifest,
        now: float,
    ) -> Rejection | None:
        step_seconds = max(_step_seconds(route) for route in routes)
        wait = min(
            self._seconds_until_engine(services, now),
            _boot_seconds(services, manifest),
        )
        if step_seconds == math.inf or wait < step_seconds:
            return None
        names = ", ".join(sorted(services))
        return Rejection(
            NO_ENGINE,
            f"no engine of {names} can take a run within {step_seconds:g} s",
            min(_MAX_RETRY_SECONDS, max(_MIN_RETRY_SECONDS, wait)),
        )

    def _seconds_until_engine(self, services: frozenset[str], now: float) -> float:
        """Return when a known engine may take a run; infinity if there is none.

        One that is gone may be back in the directory within the lag.
        """
        # The targets were recorded a little before ``now``.
        recorded_at = self._recorded_at
        waits = [
            0.0 if seen.usable_at >= recorded_at else seen.usable_at + self.lag - now
            for seen in self._seen_by_id.values()
            if seen.service in services and seen.usable_at >= now - self.lag
        ]
        return min(waits, default=math.inf)

    def _with_too_much_work(
        self,
        batch: Batch,
        services: frozenset[str],
        routes: list[Route],
        manifest: Manifest,
        is_known: Callable[[Item], bool],
    ) -> Rejection | None:
        if self._fastest_interval == math.inf:
            return None
        due_within = max(route.run_deadline or math.inf for route in routes)
        time_left = _CERTAIN_EXCESS * due_within
        if time_left == math.inf or _boot_seconds(services, manifest) < time_left:
            return None
        slots = sum(
            seen.slots for seen in self._seen_by_id.values() if seen.service in services
        )
        tokens_per_event = max(
            manifest.tokens_per_event_by_service.get(service, 1.0)
            for service in services
        )
        events = _least_events(batch, tokens_per_event, is_known)
        seconds = events * self._fastest_interval / max(1, slots)
        if seconds <= time_left:
            return None
        return Rejection(
            TOO_MUCH_WORK,
            f"the groups that the trainer waits for take {seconds:.1f} s on all "
            f"{slots} slots, and are due within {due_within:g} s",
            _MAX_RETRY_SECONDS,
        )


def _step_seconds(route: Route) -> float:
    """Return how long after its submission a batch may still be run."""
    return route.queue_ttl or _CERTAIN_EXCESS * route.run_deadline or math.inf


def _boot_seconds(services: frozenset[str], manifest: Manifest) -> float:
    """Return the seconds from an order to its engine; infinity if none is possible."""
    times = [
        autoscale.boot_seconds
        for service, autoscale in manifest.autoscale_by_service.items()
        if service in services and autoscale.maximum > 0
    ]
    return min(times, default=math.inf)


def _least_events(
    batch: Batch, tokens_per_event: float, is_known: Callable[[Item], bool]
) -> float:
    """Return the events of the groups with the least work that make the step complete.

    Without an estimate of the caller, the expected tokens include the prompt and the
    longest possible output. An item counts as one event unless it certainly has an
    estimate, and as none if its output may be taken over.
    """
    events_by_group: dict[str, float] = {}
    for item in batch.items:
        events = 0.0
        if not is_known(item):
            events = 1.0
            longest = item.max_output_tokens
            if longest is not None and item.expected_tokens < longest:
                events = max(1.0, item.expected_tokens / tokens_per_event)
        events_by_group[item.group] = events_by_group.get(item.group, 0.0) + events
    return sum(sorted(events_by_group.values())[: batch.wanted_groups])
