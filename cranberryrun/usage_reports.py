"""Usage reports for operators: daily usage, and the forecast for the next month."""

from __future__ import annotations

from datetime import datetime, timezone
from typing import Any

from . import clock
from .forecast import DAY_SECONDS, DailyUsage, backtest, forecast
from .state import ConfigState
from .usage_ledger import UsageLedger

_SECONDS_PER_HOUR = 3_600


def usage_report(ledger: UsageLedger, state: ConfigState) -> dict[str, Any]:
    """Return each workload's usage and bill per day (UTC), oldest first."""
    items: list[dict[str, Any]] = []
    for workload in ledger.workloads():
        price = _price(state, workload)
        for day, amount in ledger.days(workload):
            items.append(
                {
                    "workload": workload,
                    "day": _date(day),
                    "engine_seconds": round(amount.engine_seconds, 3),
                    "tokens": amount.tokens,
                    "bill": round(amount.engine_seconds / _SECONDS_PER_HOUR * price, 4),
                }
            )
    return {"offset": ledger.offset, "items": items}


def forecast_report(ledger: UsageLedger, state: ConfigState) -> dict[str, Any]:
    """Return each declared workload's forecast and the accuracy of past ones.

    The current day is left out, because its usage is incomplete.
    """
    items: list[dict[str, Any]] = []
    today = int(clock.wall() // DAY_SECONDS)
    for resource in state.list("workloads"):
        spec = resource.spec
        history = [
            DailyUsage(day, amount.engine_seconds, amount.rate or spec.rate)
            for day, amount in ledger.days(resource.name)
            if day < today
        ]
        items.append(_forecast_row(resource.name, history, spec))
    return {"offset": ledger.offset, "items": items}


def _forecast_row(name: str, history: list[DailyUsage], spec: Any) -> dict[str, Any]:
    predicted = forecast(history, spec.rate)
    mean, low, high = predicted.bill(spec.price_per_engine_hour)
    accuracy = backtest(history)
    return {
        "workload": name,
        "days": predicted.days,
        "engine_seconds": round(predicted.mean),
        "low": round(predicted.low),
        "high": round(predicted.high),
        "confidence": predicted.confidence,
        "bill": round(mean, 2),
        "bill_low": round(low, 2),
        "bill_high": round(high, 2),
        "history_days": len(history),
        "past_forecasts": accuracy.forecasts,
        "past_coverage": round(accuracy.coverage, 3),
        "past_error": round(accuracy.mean_absolute_percentage_error, 4),
    }


def _price(state: ConfigState, workload: str) -> float:
    resource = state.get("workloads", workload)
    return resource.spec.price_per_engine_hour if resource is not None else 0.0


def _date(day: int) -> str:
    midnight = datetime.fromtimestamp(day * DAY_SECONDS, timezone.utc)
    return midnight.date().isoformat()
