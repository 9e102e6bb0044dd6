"""Tests of the forecast, on histories made up for them."""

import unittest

from cranberryrun.configuration import ConfigState
from cranberryrun.forecast import DAY_SECONDS, DailyUsage, backtest, forecast
from cranberryrun.usage_ledger import Amount, UsageLedger
from cranberryrun.usage_reports import forecast_report, usage_report


def history(days: int, share=lambda day: 0.5, rate: float = 2.0) -> list[DailyUsage]:
    """Return ``days`` days with the given share of the declared rate."""
    return [
        DailyUsage(day, share(day) * rate * DAY_SECONDS, rate) for day in range(days)
    ]


class ForecastTest(unittest.TestCase):
    def test_steady_use_goes_on(self) -> None:
        made = forecast(history(60), rate=2.0)
        self.assertAlmostEqual(made.mean, 0.5 * 2 * DAY_SECONDS * 30, delta=1)
        self.assertLessEqual(made.low, made.mean)
        self.assertLessEqual(made.mean, made.high)

    def test_a_changed_rate_carries_over(self) -> None:
        made = forecast(history(60), rate=4.0)
        self.assertAlmostEqual(made.mean, 0.5 * 4 * DAY_SECONDS * 30, delta=1)

    def test_weekends_are_told_apart(self) -> None:
        uses = history(70, lambda day: 0.1 if day % 7 >= 5 else 0.8)
        weekdays = forecast(uses, rate=2.0, days=5)
        week = forecast(uses, rate=2.0, days=7)
        weekend = week.mean - weekdays.mean
        self.assertLess(weekend / 2, weekdays.mean / 5 / 3)

    def test_nothing_known_gives_a_wide_interval_within_the_declared(self) -> None:
        made = forecast([], rate=2.0)
        whole = 2.0 * DAY_SECONDS * 30
        self.assertLess(made.low, 0.2 * whole)
        self.assertGreater(made.high, 0.8 * whole)
        self.assertLessEqual(made.high, whole)

    def test_never_over_what_is_declared(self) -> None:
        made = forecast(history(60, lambda day: 0.99 + day % 2), rate=2.0)
        self.assertLessEqual(made.mean, made.high)
        self.assertLessEqual(made.high, 2.0 * DAY_SECONDS * 30)

    def test_no_use_is_no_error(self) -> None:
        made = forecast(history(60, lambda day: 0.0), rate=2.0)
        self.assertEqual((made.mean, made.low, made.high), (0.0, 0.0, 0.0))

    def test_bill(self) -> None:
        made = forecast(history(60), rate=2.0)
        self.assertAlmostEqual(made.bill(3.0)[0], 3.0 * 24 * 30, delta=0.01)

    def test_backtest_of_steady_use(self) -> None:
        done = backtest(history(120, lambda day: 0.5 + 0.01 * (day % 3)))
        self.assertGreater(done.forecasts, 5)
        self.assertGreaterEqual(done.coverage, 0.8)
        self.assertLess(done.mean_absolute_percentage_error, 0.02)

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

    def test_forecast_names_each_declared_workload(self) -> None:
        items = forecast_report(self.ledger, self.state)["items"]
        self.assertEqual([item["workload"] for item in items], ["w"])
        self.assertEqual(items[0]["history_days"], 3)
        self.assertLessEqual(items[0]["bill_low"], items[0]["bill"])
