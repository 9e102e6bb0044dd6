"""The engines that the holder of the lease sends work to: slots, speed, versions."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial

from .. import clock
from ..health import Health
from ..kernel import Service
from .directory import Directory, Target
from .engine_speed import EngineSpeed
from .send_permits import SendPermits

# Engines send events in bursts, so an interval is averaged over this many events.
INTERVAL_WINDOW_EVENTS = 6
# Weight of the newest interval in the moving average; about six bursts contribute.
_NEWEST_INTERVAL_WEIGHT = 0.25
# A new interval counts as at most this multiple of the average, because a single stall
# does not make an engine slow.
_MAX_INTERVAL_FACTOR = 4.0
# A measured interval loses half its weight in this time, because the slowness of an
# engine may have ended since.
_INTERVAL_HALF_LIFE_SECONDS = 4.0
# Measured intervals of equal engines differ by less than this factor.
SAME_SPEED_FACTOR = 1.15
# A zone may be 1.3 times slower than others for good, and its single gaps are longer.
_MAX_NORMAL_FACTOR = 1.4
# The time between two readings of an engine's lasting interval, which changes within
# two seconds.
_MIN_RECORD_SECONDS = 0.2


def _unlimited() -> None:
    """Return that there is no limit."""


@dataclass(slots=True)
class Engine:
    """One process of an engine. ``in_flight`` counts this host's runs at it.

    ``event_interval`` is the mean time between a stream's events in seconds; 0 if it is
    not known. The engine gets no new runs until ``cooldown_until``, in loop seconds.
    ``loaded_version_by_model`` has the versions of completed loads, which the target
    registers only later. ``permits`` returns how many runs the engine's limit allows
    now; None if it has none. ``leaves_at`` is when the engine ends, in loop seconds,
    if that is known.
    """

    target: Target
    health: Health = field(default_factory=Health)
    in_flight: int = 0
    event_interval: float = 0.0
    interval_recorded_at: float = 0.0
    cooldown_until: float = 0.0
    loading_model: str | None = None
    loaded_version_by_model: dict[str, int] = field(default_factory=dict)
    permits: Callable[[], int | None] = _unlimited
    leaves_at: float | None = None
    speed: EngineSpeed = field(default_factory=EngineSpeed)

    @property
    def id(self) -> str:
        """The engine's id."""
        return self.target.id

    def version(self, model: str) -> int | None:
        """Return the version of ``model``; None if the engine does not serve it."""
        registered = self.target.version_by_model.get(model)
        if registered is None:
            return None
        return max(registered, self.loaded_version_by_model.get(model, 0))

    def free_slots(self) -> int:
        """Return how many runs may be started at this engine now."""
        if not self.health.usable():
            return 0
        if clock.now() < self.cooldown_until:
            return 0
        if self.health.probing():
            slots = 1 if not self.in_flight else 0
        else:
            slots = max(0, self.target.slots - self.in_flight)
        permits = self.permits()
        return slots if permits is None else min(slots, permits)

    def update_target(self, target: Target) -> None:
        """Take over a newer entry of the same process."""
        self.target = target
        if target.leaves_in is None:
            return
        # The same entry is read again with each change of the directory, so the
        # earliest time counts.
        leaves_at = clock.now() + target.leaves_in
        self.leaves_at = min(leaves_at, self.leaves_at or leaves_at)

    def start_cooldown(self, seconds: float) -> None:
        """Start no new runs at this engine for ``seconds``."""
        self.cooldown_until = max(self.cooldown_until, clock.now() + seconds)

    def record_event_interval(self, event_interval: float) -> None:
        """Add an interval, in seconds, measured on one stream to the moving average."""
        weight = _NEWEST_INTERVAL_WEIGHT if self.event_interval else 1.0
        if self.event_interval:
            event_interval = min(
                event_interval, _MAX_INTERVAL_FACTOR * self.event_interval
            )
        self.event_interval += weight * (event_interval - self.event_interval)
        self.interval_recorded_at = clock.now()

    def record_lasting_interval(self) -> None:
        """Take over the interval that :class:`EngineSpeed` measured, if there is one.

        This replaces :meth:`record_event_interval`, which slow spans change. It sorts
        the measurements of two seconds, so it does that a few times a second only,
        however many runs the engine has.
        """
        if clock.now() < self.interval_recorded_at + _MIN_RECORD_SECONDS:
            return
        interval = self.speed.lasting_interval()
        if interval:
            self.event_interval = interval
            self.interval_recorded_at = clock.now()

    def restore_event_interval(self, event_interval: float, age: float) -> None:
        """Take over an interval that another host measured.

        :param event_interval: in seconds.
        :param age: how long ago it was measured, in seconds.
        """
        self.speed.restore(event_interval)
        self.event_interval = event_interval
        self.interval_recorded_at = clock.now() - age

    def expected_event_interval(self, fastest: float) -> float:
        """Return the event interval to expect, in seconds.

        The longer ago the last measurement, the closer the result is to ``fastest``.

        :param fastest: the interval of the fastest engine, in seconds.
        """
        if not self.event_interval:
            return fastest
        weight = 0.5 ** (
            (clock.now() - self.interval_recorded_at) / _INTERVAL_HALF_LIFE_SECONDS
        )
        return fastest + weight * (self.event_interval - fastest)

    def lasting_factor(self, usual: float) -> float:
        """Return how many times as long as usual the engine takes for an event.

        :param usual: the interval of the fastest engine, in seconds.
        """
        return self.expected_event_interval(usual) / usual

    def normal_interval(self, usual: float) -> float:
        """Return the seconds between this engine's events outside of slow spans.

        An engine that is much slower than others for long is never normal.

        :param usual: the interval of the fastest engine, in seconds.
        """
        factor = self.lasting_factor(usual)
        if not SAME_SPEED_FACTOR <= factor <= _MAX_NORMAL_FACTOR:
            return usual
        return usual * factor


class EnginePool(Service):
    """Keeps one :class:`Engine` for each target that serves models.

    ``waiting_items`` are those that found no engine when runs were last started.
    """

    name = "engine_pool"
    requires = ("directory", "send_permits")

    def __init__(self) -> None:
        super().__init__()
        self.engine_by_id: dict[str, Engine] = {}
        self.observers: list[Callable[[], None]] = []
        self.waiting_items = 0

    async def start(self) -> None:
        """Start following the directory."""
        self.kernel.get(Directory).observers.append(self._refresh)

    def notify_observers(self) -> None:
        """Call the observers: an engine may have free slots or new weights."""
        for observer in self.observers:
            observer()

    def _refresh(self) -> None:
        named = self.kernel.get(Directory).named_targets()
        target_by_id = {target.id: target for target in named}
        permits = self.kernel.get(SendPermits)
        for target_id in list(self.engine_by_id):
            if target_id not in target_by_id:
                del self.engine_by_id[target_id]
        for target in target_by_id.values():
            if not target.version_by_model:
                continue
            engine = self.engine_by_id.get(target.id)
            if engine is None or engine.target.born != target.born:
                engine = Engine(target, permits=partial(permits.available, target.id))
                self.engine_by_id[target.id] = engine
            engine.update_target(target)
        self.notify_observers()

    def engines_of(self, services: frozenset[str]) -> list[Engine]:
        """Return the engines of ``services`` that are not draining."""
        return [
            engine
            for engine in self.engine_by_id.values()
            if engine.target.service in services and not engine.target.draining
        ]
