"""Tests of the forecast on synthetic histories."""

import unittest

from cranberryrun.configuration import ConfigState
from cranberryrun.forecast import DAY_SECONDS, DailyUsage, backtest, forecast
from cranberryrun.usage_ledger import Amount, UsageLedger
from cranberryrun.usage_reports import forecast_report, usage_report


def history(
    days: int, utilization=lambda day: 0.5, rate: float = 2.0
) -> list[DailyUsage]:
    """Return ``days`` days of usage with the given utilization by day."""
    return [
        DailyUsage(day, utilization(day) * rate * DAY_SECONDS, rate)
        for day in range(days)
    ]


class ForecastTest(unittest.TestCase):
    def test_steady_use_is_extrapolated(self) -> None:
        predicted = forecast(history(60), rate=2.0)
        self.assertAlmostEqual(predicted.mean, 0.5 * 2 * DAY_SECONDS * 30, delta=1)
        self.assertLessEqual(predicted.low, predicted.mean)
        self.assertLessEqual(predicted.mean, predicted.high)

    def test_forecast_follows_a_changed_rate(self) -> None:
        predicted = forecast(history(60), rate=4.0)
        self.assertAlmostEqual(predicted.mean, 0.5 * 4 * DAY_SECONDS * 30, delta=1)

    def test_weekends_have_their_own_factor(self) -> None:
        usage = history(70, lambda day: 0.1 if day % 7 >= 5 else 0.8)
        weekdays = forecast(usage, rate=2.0, days=5)
        week = forecast(usage, rate=2.0, days=7)
        weekend = week.mean - weekdays.mean
        self.assertLess(weekend / 2, weekdays.mean / 5 / 3)

    def test_the_interval_is_wide_and_within_the_declared_rate_without_history(
        self,
    ) -> None:
        predicted = forecast([], rate=2.0)
        declared_engine_seconds = 2.0 * DAY_SECONDS * 30
        self.assertLess(predicted.low, 0.2 * declared_engine_seconds)
        self.assertGreater(predicted.high, 0.8 * declared_engine_seconds)
        self.assertLessEqual(predicted.high, declared_engine_seconds)

    def test_the_forecast_never_exceeds_the_declared_rate(self) -> None:
        predicted = forecast(history(60, lambda day: 0.99 + day % 2), rate=2.0)
        self.assertLessEqual(predicted.mean, predicted.high)
        self.assertLessEqual(predicted.high, 2.0 * DAY_SECONDS * 30)

    def test_the_forecast_is_zero_without_use(self) -> None:
        predicted = forecast(history(60, lambda day: 0.0), rate=2.0)
        self.assertEqual(
            (predicted.mean, predicted.low, predicted.high), (0.0, 0.0, 0.0)
        )

    def test_bill_is_the_price_of_the_engine_hours(self) -> None:
        predicted = forecast(history(60), rate=2.0)
        self.assertAlmostEqual(predicted.bill(3.0)[0], 3.0 * 24 * 30, delta=0.01)

    def test_backtest_of_steady_use(self) -> None:
        result = backtest(history(120, lambda day: 0.5 + 0.01 * (day % 3)))
        self.assertGreater(result.forecasts, 5)
        self.assertGreaterEqual(result.coverage, 0.8)
        self.assertLess(result.mean_absolute_percentage_error, 0.02)

    def test_backtest_without_history(self) -> None:
        self.assertEqual(backtest([]).forecasts, 0)


class ReportTest(unittest.TestCase):
    def setUp(self) -> None:
        spec = {"pool": "p", "freshness_bound": 1, "price_per_engine_hour": 7.2}
        change = {
            "record": "change",
            "change_id": "c",
            "kind": "workloads",
            "name": "w",
            "expected_generation": 0,
            "operation": "put",
            "spec": spec,
        }
        self.state = ConfigState()
        self.state.apply(0, 0.0, change).unwrap()
        self.ledger = UsageLedger()
        for day in (0, 2):
            self.ledger.by_day[day]["w"] = Amount(engine_seconds=500, tokens=9, rate=1)

    def test_usage_by_day(self) -> None:
        items = usage_report(self.ledger, self.state)["items"]
        self.assertEqual(
            [item["day"] for item in items], ["1970-01-01", "1970-01-02", "1970-01-03"]
        )
        self.assertEqual([item["bill"] for item in items], [1.0, 0.0, 1.0])

    def test_forecast_has_a_row_for_each_declared_workload(self) -> None:
        items = forecast_report(self.ledger, self.state)["items"]
        self.assertEqual([item["workload"] for item in items], ["w"])
        self.assertEqual(items[0]["history_days"], 3)
        self.assertLessEqual(items[0]["bill_low"], items[0]["bill"])
