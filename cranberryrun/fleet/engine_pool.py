"""The engines as the holder of the lease uses them: places, speed, versions."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from .. import clock
from ..health import Health
from ..kernel import Service
from .directory import Directory, Target

# Events come in bursts, so gaps are means over this many.
INTERVAL_WINDOW_EVENTS = 6
# Weight of the newest gap in an engine's mean gap; about six bursts count.
_GAP_WEIGHT = 0.25
# A stall counts as this many mean gaps at most: it is not a slow engine.
_GAP_LIMIT = 4.0
# What is known of an engine's slowness loses half its weight in this time.
_GAP_HALF_LIFE_SECONDS = 4.0


@dataclass(slots=True)
class Engine:
    """One start of an engine. ``in_flight`` counts this host's runs at it.

    ``event_interval`` is the mean time between a stream's events in seconds; 0 if it is
    not known. ``blocked_until`` is until when it gets no new runs, in loop seconds.
    """

    target: Target
    health: Health = field(default_factory=Health)
    in_flight: int = 0
    event_interval: float = 0.0
    gap_at: float = 0.0
    blocked_until: float = 0.0
    loading_model: str | None = None
    ordered_version_by_model: dict[str, int] = field(default_factory=dict)

    @property
    def id(self) -> str:
        """The engine's id."""
        return self.target.id

    def version(self, model: str) -> int | None:
        """Return the version of ``model``; None if the engine does not serve it."""
        registered = self.target.version_by_model.get(model)
        if registered is None:
            return None
        return max(registered, self.ordered_version_by_model.get(model, 0))

    def free_slots(self) -> int:
        """Return how many runs may be started at it now."""
        if not self.health.usable():
            return 0
        if clock.now() < self.blocked_until:
            return 0
        if self.health.probing():
            return 1 if not self.in_flight else 0
        return max(0, self.target.slots - self.in_flight)

    def block(self, seconds: float) -> None:
        """Give it no new runs for ``seconds``."""
        self.blocked_until = max(self.blocked_until, clock.now() + seconds)

    def record_event_interval(self, event_interval: float) -> None:
        """Note the mean time between some events of one stream."""
        weight = _GAP_WEIGHT if self.event_interval else 1.0
        if self.event_interval:
            event_interval = min(event_interval, _GAP_LIMIT * self.event_interval)
        self.event_interval += weight * (event_interval - self.event_interval)
        self.gap_at = clock.now()

    def expected_event_interval(self, fastest: float) -> float:
        """Return the mean gap to expect, given that of the fastest engine."""
        if not self.event_interval:
            return fastest
        weight = 0.5 ** ((clock.now() - self.gap_at) / _GAP_HALF_LIFE_SECONDS)
        return fastest + weight * (self.event_interval - fastest)


class EnginePool(Service):
    """Keeps one :class:`Engine` for each target that serves models."""

    name = "engine_pool"
    requires = ("directory",)

    def __init__(self) -> None:
        super().__init__()
        self.engine_by_id: dict[str, Engine] = {}
        self.observers: list[Callable[[], None]] = []

    async def start(self) -> None:
        """Follow the directory."""
        self.kernel.get(Directory).observers.append(self._refresh)

    def changed(self) -> None:
        """Tell the observers that an engine may have room or new weights."""
        for observer in self.observers:
            observer()

    def _refresh(self) -> None:
        target_by_id = self.kernel.get(Directory).target_by_id
        for target_id in list(self.engine_by_id):
            if target_id not in target_by_id:
                del self.engine_by_id[target_id]
        for target in target_by_id.values():
            if not target.version_by_model:
                continue
            engine = self.engine_by_id.get(target.id)
            if engine is None or engine.target.born != target.born:
                self.engine_by_id[target.id] = Engine(target)
                continue
            engine.target = target
        self.changed()

    def usable(self, services: frozenset[str]) -> list[Engine]:
        """Return the engines of ``services`` that are not leaving."""
        return [
            engine
            for engine in self.engine_by_id.values()
            if engine.target.service in services and not engine.target.draining
        ]
