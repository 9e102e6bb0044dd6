"""Forecasts of the next month's engine-seconds and bill of a workload.

The model predicts utilization, the share of the declared rate that is used, so a
forecast follows a changed rate. It is a local level model fitted by exponential
smoothing, with a factor for each day of the week. The variance of its one-step
errors determines the width of the interval.
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
_CANDIDATE_GAINS = (0.02, 0.05, 0.1, 0.2, 0.35, 0.5)
_NORMAL_QUANTILE = statistics.NormalDist().inv_cdf
_DEFAULT_UTILIZATION = 0.5
_DEFAULT_UTILIZATION_DEVIATION = 0.25


@dataclass(frozen=True, slots=True)
class DailyUsage:
    """A workload's usage in one day.

    ``day`` is in days since 1970 (UTC); ``rate`` is the declared rate in engines.
    """

    day: int
    engine_seconds: float
    rate: float

    @property
    def utilization(self) -> float:
        """The used share of the declared rate."""
        return self.engine_seconds / (max(self.rate, 1e-9) * DAY_SECONDS)


@dataclass(frozen=True, slots=True)
class Forecast:
    """A forecast of engine-seconds: the mean and a prediction interval.

    ``confidence`` is the probability that the interval contains the true value.
    """

    days: int
    mean: float
    low: float
    high: float
    confidence: float

    def bill(self, price_per_engine_hour: float) -> tuple[float, float, float]:
        """Return mean, low and high as costs, in the currency of the price."""
        per_second = price_per_engine_hour / 3600
        return self.mean * per_second, self.low * per_second, self.high * per_second


@dataclass(frozen=True, slots=True)
class Backtest:
    """The accuracy of forecasts of past days.

    ``coverage`` is the share of true values within the interval. The mean absolute
    percentage error is a share of the true value, not a number of percent.
    """

    forecasts: int
    coverage: float
    mean_absolute_percentage_error: float


@dataclass(frozen=True, slots=True)
class _Level:
    """The smoothed level, and the variance of its one-step errors."""

    gain: float
    level: float
    variance: float


def forecast(
    history: Sequence[DailyUsage],
    rate: float,
    days: int = MONTH_DAYS,
    confidence: float = 0.9,
) -> Forecast:
    """Return the forecast for the ``days`` days after the end of ``history``.

    :param history: one entry per day, oldest first, complete days only.
    :param rate: the future declared rate in engines; it bounds the forecast.
    """
    declared_engine_seconds = rate * DAY_SECONDS
    quantile = _NORMAL_QUANTILE((1 + confidence) / 2)
    if len(history) < _MIN_HISTORY_DAYS:
        mean = _mean_utilization(history) * days
        deviation = _DEFAULT_UTILIZATION_DEVIATION * days
    else:
        factors = _weekday_factors(history)
        level_estimate = _best_level(history, factors)
        first_day = history[-1].day + 1
        coming_factors = [
            factors[(first_day + days_ahead) % _WEEK_DAYS] for days_ahead in range(days)
        ]
        mean = level_estimate.level * sum(coming_factors)
        deviation = (
            math.sqrt(_sum_variance(level_estimate, days)) * sum(coming_factors) / days
        )
    return Forecast(
        days=days,
        mean=declared_engine_seconds * min(max(mean, 0.0), days),
        low=declared_engine_seconds * max(mean - quantile * deviation, 0.0),
        high=declared_engine_seconds * min(mean + quantile * deviation, days),
        confidence=confidence,
    )


def backtest(
    history: Sequence[DailyUsage], days: int = MONTH_DAYS, confidence: float = 0.9
) -> Backtest:
    """Forecast past days from the days before, once a week, and compare."""
    within_interval: list[bool] = []
    errors: list[float] = []
    for end in range(2 * _MIN_HISTORY_DAYS, len(history) - days + 1, _WEEK_DAYS):
        actual = sum(usage.engine_seconds for usage in history[end : end + days])
        rate = statistics.fmean(usage.rate for usage in history[end : end + days])
        predicted = forecast(history[:end], rate, days, confidence)
        within_interval.append(predicted.low <= actual <= predicted.high)
        if actual > 0:
            errors.append(abs(predicted.mean - actual) / actual)
    return Backtest(
        forecasts=len(within_interval),
        coverage=(
            sum(within_interval) / len(within_interval) if within_interval else 0.0
        ),
        mean_absolute_percentage_error=statistics.fmean(errors) if errors else 0.0,
    )


def _mean_utilization(history: Sequence[DailyUsage]) -> float:
    if not history:
        return _DEFAULT_UTILIZATION
    return statistics.fmean(usage.utilization for usage in history)


def _weekday_factors(history: Sequence[DailyUsage]) -> list[float]:
    """Return the factor of each weekday relative to the mean, shrunk towards 1."""
    recent = history[-8 * _WEEK_DAYS :]
    mean = statistics.fmean(usage.utilization for usage in recent)
    if mean <= 0:
        return [1.0] * _WEEK_DAYS
    factors: list[float] = []
    for weekday in range(_WEEK_DAYS):
        utilizations = [
            usage.utilization for usage in recent if usage.day % _WEEK_DAYS == weekday
        ]
        weight = len(utilizations) / (len(utilizations) + 1)
        factors.append(1 + weight * (statistics.fmean(utilizations) / mean - 1))
    return [factor * _WEEK_DAYS / sum(factors) for factor in factors]


def _best_level(history: Sequence[DailyUsage], factors: Sequence[float]) -> _Level:
    """Smooth with each candidate gain; return the level with the least variance."""
    adjusted = [
        usage.utilization / max(factors[usage.day % _WEEK_DAYS], 0.05)
        for usage in history
    ]
    return min(
        (_smooth_level(adjusted, gain) for gain in _CANDIDATE_GAINS),
        key=lambda level: level.variance,
    )


def _smooth_level(values: Sequence[float], gain: float) -> _Level:
    level = statistics.fmean(values[:_WEEK_DAYS])
    squared_errors: list[float] = []
    for value in values[_WEEK_DAYS:]:
        error = value - level
        squared_errors.append(error * error)
        level += gain * error
    return _Level(gain, level, statistics.fmean(squared_errors))


def _sum_variance(level_estimate: _Level, days: int) -> float:
    """Return the variance of the sum of the next ``days`` values.

    In a local level model with gain g and one-step error variance v, the level's
    daily change has the variance g²v, the daily noise (1 - g)v, and the estimate of
    the level g(1 - g)v.
    """
    gain, variance = level_estimate.gain, level_estimate.variance
    level_changes = (
        gain
        * gain
        * variance
        * sum(days_ahead * days_ahead for days_ahead in range(1, days + 1))
    )
    noise = (1 - gain) * variance * days
    level_error = gain * (1 - gain) * variance * days * days
    return level_changes + noise + level_error
