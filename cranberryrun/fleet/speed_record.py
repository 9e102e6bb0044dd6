"""The lasting speeds of all engines, as the holder of the lease records them. No I/O.

A new holder would otherwise send work to slow engines until it has measured them.
"""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass, field

from .. import clock
from .engine_pool import Engine

# Engines whose factor is smaller are not listed. Measured factors of equal engines
# differ by a few percent.
_MIN_FACTOR = 1.1
# A record that is older says nothing about the speed any more.
_MAX_AGE_SECONDS = 30.0


@dataclass(frozen=True, slots=True)
class SpeedRecord:
    """Speeds measured until ``recorded_at``, in seconds since 1970.

    ``interval_by_service`` has the event interval of the fastest engine of each
    service, in seconds. ``factor_by_engine`` has the engines that are slower; all
    others are as fast as that.
    """

    recorded_at: float
    interval_by_service: dict[str, float] = field(default_factory=dict)
    factor_by_engine: dict[str, float] = field(default_factory=dict)


def usual_intervals(engines: Collection[Engine]) -> dict[str, float]:
    """Return the interval of the fastest engine of each service, in seconds."""
    interval_by_service: dict[str, float] = {}
    for engine in engines:
        if not engine.event_interval:
            continue
        service = engine.target.service
        interval = interval_by_service.get(service, engine.event_interval)
        interval_by_service[service] = min(interval, engine.event_interval)
    return interval_by_service


def lasting_factors(engines: Collection[Engine]) -> dict[str, float]:
    """Return the lasting factor of each engine whose service was measured, by id."""
    interval_by_service = usual_intervals(engines)
    return {
        engine.id: engine.lasting_factor(interval_by_service[engine.target.service])
        for engine in engines
        if engine.target.service in interval_by_service
    }


def record_speeds(engines: Collection[Engine], now_wall: float) -> SpeedRecord:
    """Return the speeds that this host expects of the engines now.

    :param now_wall: the current time, in seconds since 1970.
    """
    interval_by_service = usual_intervals(engines)
    factor_by_engine = {
        engine_id: round(factor, 2)
        for engine_id, factor in lasting_factors(engines).items()
        if factor >= _MIN_FACTOR
    }
    rounded = {name: round(each, 4) for name, each in interval_by_service.items()}
    return SpeedRecord(now_wall, rounded, factor_by_engine)


def restore_speeds(
    record: SpeedRecord, engines: Collection[Engine], now_wall: float
) -> int:
    """Take over the speeds of engines that this host has not measured since then.

    The older the record, the less slow its engines are taken to be.

    :param now_wall: the current time, in seconds since 1970.
    :return: how many slower engines were taken over.
    """
    age = max(0.0, now_wall - record.recorded_at)
    if age > _MAX_AGE_SECONDS:
        return 0
    restored = 0
    for engine in engines:
        usual = record.interval_by_service.get(engine.target.service)
        if usual is None:
            continue
        if engine.event_interval and engine.interval_recorded_at >= clock.now() - age:
            continue
        factor = record.factor_by_engine.get(engine.id, 1.0)
        engine.restore_event_interval(factor * usual, age)
        restored += factor > 1.0
    return restored
