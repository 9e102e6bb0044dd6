"""Evaluates the forecast on generated histories whose last month is held back."""

from __future__ import annotations

import math
import random
import statistics
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from cranberryrun.forecast import DAY_SECONDS, MONTH_DAYS, DailyUsage, forecast

_SERIES_COUNT = 200
_HISTORY_DAYS = 120
_RATE_ENGINES = 4.0


@dataclass(frozen=True, slots=True)
class Pattern:
    """How the daily use of a workload develops, in fractions of its declared rate."""

    name: str
    level: float = 0.6
    noise: float = 0.05
    drift: float = 0.0
    growth: float = 0.0
    weekend: float = 1.0
    outage_chance: float = 0.0
    rate_change_at: int | None = None


PATTERNS = (
    Pattern("steady"),
    Pattern("weekly", weekend=0.4),
    Pattern("drifting", drift=0.015),
    Pattern("growing", growth=0.001, drift=0.005),
    Pattern("outages", outage_chance=0.03),
    Pattern("rate changed", weekend=0.7, rate_change_at=100),
)
Method = Callable[[Sequence[DailyUsage], float], tuple[float, float, float]]


def generate(pattern: Pattern, seed: int, days: int) -> list[DailyUsage]:
    """Return a generated history of ``days`` days."""
    rng = random.Random(f"{pattern.name}/{seed}")
    level = pattern.level * rng.uniform(0.7, 1.2)
    history: list[DailyUsage] = []
    for day in range(days):
        level += pattern.growth + rng.gauss(0, pattern.drift)
        level = min(max(level, 0.05), 0.95)
        share = level * math.exp(rng.gauss(0, pattern.noise))
        share *= pattern.weekend if day % 7 >= 5 else 1.0
        if rng.random() < pattern.outage_chance:
            share *= rng.uniform(0, 0.5)
        changed = pattern.rate_change_at is not None and day >= pattern.rate_change_at
        rate = _RATE_ENGINES * 1.5 if changed else _RATE_ENGINES
        history.append(DailyUsage(day, min(share, 1.0) * rate * DAY_SECONDS, rate))
    return history


def adopted(history: Sequence[DailyUsage], rate: float) -> tuple[float, float, float]:
    """Return the mean and the interval of the forecast that the package uses."""
    prediction = forecast(history, rate)
    return prediction.mean, prediction.low, prediction.high


def last_month(
    history: Sequence[DailyUsage], rate: float
) -> tuple[float, float, float]:
    """Predict the use of the last month, with a 90% interval for independent days."""
    uses = [each.engine_seconds for each in history[-MONTH_DAYS:]]
    half_width = 1.645 * statistics.pstdev(uses) * math.sqrt(MONTH_DAYS)
    return sum(uses), sum(uses) - half_width, sum(uses) + half_width


def declared(history: Sequence[DailyUsage], rate: float) -> tuple[float, float, float]:
    """Predict the whole declared rate, with an interval from 0 up to it."""
    total = rate * DAY_SECONDS * MONTH_DAYS
    return total, 0.0, total


METHODS: dict[str, Method] = {
    "adopted": adopted,
    "last month": last_month,
    "declared": declared,
}


def evaluate(
    pattern: Pattern, method: Method, series: int = _SERIES_COUNT
) -> dict[str, float]:
    """Return the interval's coverage and width and the mean error over ``series`` runs.

    Error and width are fractions of the actual use of the month that is held back.
    """
    inside = 0
    errors: list[float] = []
    widths: list[float] = []
    for seed in range(series):
        days = generate(pattern, seed, _HISTORY_DAYS + MONTH_DAYS)
        held_back = days[_HISTORY_DAYS:]
        actual = sum(each.engine_seconds for each in held_back)
        mean, low, high = method(days[:_HISTORY_DAYS], held_back[0].rate)
        inside += low <= actual <= high
        errors.append(abs(mean - actual) / actual)
        widths.append((high - low) / actual)
    return {
        "coverage": inside / series,
        "error": statistics.fmean(errors),
        "width": statistics.fmean(widths),
    }


def table(series: int = _SERIES_COUNT) -> str:
    """Return a Markdown table of all patterns and methods."""
    lines = [
        "| pattern | method | coverage of the 90% interval | mean absolute % error"
        " | interval's width, % |",
        "|---|---|---|---|---|",
    ]
    for pattern in PATTERNS:
        for name, method in METHODS.items():
            row = evaluate(pattern, method, series)
            lines.append(
                f"| {pattern.name} | {name} | {row['coverage']:.2f}"
                f" | {row['error']:.1%} | {row['width']:.1%} |"
            )
    return "\n".join(lines)
