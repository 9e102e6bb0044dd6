"""The next month's engine-seconds and bill, from declared rates and measured use.

Use is taken as a part of what was declared, so a changed rate carries over. The
model is a local level that exponential smoothing follows, with a factor for each
day of the week; how far the level strays decides how wide the interval is.
"""

from __future__ import annotations

import math
import statistics
from collections.abc import Sequence
from dataclasses import dataclass

DAY_SECONDS = 86_400
MONTH_DAYS = 30
_WEEK_DAYS = 7
_MIN_HISTORY_DAYS = 14
_GAINS = (0.02, 0.05, 0.1, 0.2, 0.35, 0.5)
_NORMAL_QUANTILE = statistics.NormalDist().inv_cdf
_UNKNOWN_SHARE = 0.5
_UNKNOWN_DEVIATION = 0.25


@dataclass(frozen=True, slots=True)
class DailyUsage:
    """What a workload used in a day. ``day`` counts from 1970; ``rate`` in engines."""

    day: int
    engine_seconds: float
    rate: float

    @property
    def share(self) -> float:
        """The used part of the declared rate."""
        return self.engine_seconds / (max(self.rate, 1e-9) * DAY_SECONDS)


@dataclass(frozen=True, slots=True)
class Forecast:
    """Engine-seconds of the days to come: the mean, and an interval around it.

    ``confidence`` is how likely the true figure lies in the interval.
    """

    days: int
    mean: float
    low: float
    high: float
    confidence: float

    def bill(self, price_per_engine_hour: float) -> tuple[float, float, float]:
        """Return mean, low and high in money."""
        each = price_per_engine_hour / 3600
        return self.mean * each, self.low * each, self.high * each


@dataclass(frozen=True, slots=True)
class Backtest:
    """How forecasts of past days did: the part of true figures in the interval,
    and the mean absolute error as a part of the true figure.
    """

    forecasts: int
    coverage: float
    mean_absolute_percentage_error: float


@dataclass(frozen=True, slots=True)
class _Level:
    """The level after smoothing with ``gain``, and the variance of its errors."""

    gain: float
    level: float
    variance: float


def forecast(
    history: Sequence[DailyUsage],
    rate: float,
    days: int = MONTH_DAYS,
    confidence: float = 0.9,
) -> Forecast:
    """Return the forecast for ``days`` days after the last one of ``history``.

    :param history: one entry a day, oldest first, of whole days only.
    :param rate: what will be declared, in engines; it bounds the forecast.
    """
    whole = rate * DAY_SECONDS
    quantile = _NORMAL_QUANTILE((1 + confidence) / 2)
    if len(history) < _MIN_HISTORY_DAYS:
        mean = _early_share(history) * days
        deviation = _UNKNOWN_DEVIATION * days
    else:
        factors = _week_factors(history)
        smoothed = _smooth(history, factors)
        first = history[-1].day + 1
        coming = [factors[(first + ahead) % _WEEK_DAYS] for ahead in range(days)]
        mean = smoothed.level * sum(coming)
        deviation = math.sqrt(_sum_variance(smoothed, days)) * sum(coming) / days
    return Forecast(
        days=days,
        mean=whole * min(max(mean, 0.0), days),
        low=whole * max(mean - quantile * deviation, 0.0),
        high=whole * min(mean + quantile * deviation, days),
        confidence=confidence,
    )


def backtest(
    history: Sequence[DailyUsage], days: int = MONTH_DAYS, confidence: float = 0.9
) -> Backtest:
    """Forecast past days from those before them, a week apart, and compare."""
    inside: list[bool] = []
    errors: list[float] = []
    for end in range(2 * _MIN_HISTORY_DAYS, len(history) - days + 1, _WEEK_DAYS):
        true = sum(each.engine_seconds for each in history[end : end + days])
        rate = statistics.fmean(each.rate for each in history[end : end + days])
        made = forecast(history[:end], rate, days, confidence)
        inside.append(made.low <= true <= made.high)
        if true > 0:
            errors.append(abs(made.mean - true) / true)
    return Backtest(
        forecasts=len(inside),
        coverage=sum(inside) / len(inside) if inside else 0.0,
        mean_absolute_percentage_error=statistics.fmean(errors) if errors else 0.0,
    )


def _early_share(history: Sequence[DailyUsage]) -> float:
    if not history:
        return _UNKNOWN_SHARE
    return statistics.fmean(each.share for each in history)


def _week_factors(history: Sequence[DailyUsage]) -> list[float]:
    """Return each day of the week's use against the mean, drawn towards 1."""
    recent = history[-8 * _WEEK_DAYS :]
    mean = statistics.fmean(each.share for each in recent)
    if mean <= 0:
        return [1.0] * _WEEK_DAYS
    factors: list[float] = []
    for weekday in range(_WEEK_DAYS):
        shares = [each.share for each in recent if each.day % _WEEK_DAYS == weekday]
        weight = len(shares) / (len(shares) + 1)
        factors.append(1 + weight * (statistics.fmean(shares) / mean - 1))
    return [factor * _WEEK_DAYS / sum(factors) for factor in factors]


def _smooth(history: Sequence[DailyUsage], factors: Sequence[float]) -> _Level:
    """Return the smoothing that foretold each next day best."""
    adjusted = [
        each.share / max(factors[each.day % _WEEK_DAYS], 0.05) for each in history
    ]
    return min(
        (_smoothed(adjusted, gain) for gain in _GAINS), key=lambda each: each.variance
    )


def _smoothed(values: Sequence[float], gain: float) -> _Level:
    level = statistics.fmean(values[:_WEEK_DAYS])
    errors: list[float] = []
    for value in values[_WEEK_DAYS:]:
        error = value - level
        errors.append(error * error)
        level += gain * error
    return _Level(gain, level, statistics.fmean(errors))


def _sum_variance(smoothed: _Level, days: int) -> float:
    """Return the variance of the sum of the next ``days`` values.

    For a local level whose one-step errors have variance v and gain g, the level
    moves by g²v a day, a day's noise is (1 - g)v and the level's error g(1 - g)v.
    """
    gain, variance = smoothed.gain, smoothed.variance
    moves = gain * gain * variance * sum(ahead * ahead for ahead in range(1, days + 1))
    noise = (1 - gain) * variance * days
    known = gain * (1 - gain) * variance * days * days
    return moves + noise + known
