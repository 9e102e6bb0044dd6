"""Decodes what the platform's records say of the scaling of engines."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from pydantic import Field, ValidationError, model_validator

from .. import clock
from ..fleet.manifest import Autoscale
from .wire_model import WireModel

_MS_PER_SECOND = 1000.0
# The protocol does not say whether ``leaves_ms`` is a time span or a time since 1970.
# An announced end is seconds away, so a value above one day is a time.
_MAX_SPAN_MS = 86_400_000.0


class _Autoscale(WireModel):
    min: int = Field(ge=0)
    max: int = Field(ge=0)
    boot_time_s: float = Field(4.0, ge=0, allow_inf_nan=False)
    # Relative to the price of an on-demand engine in the same zone.
    spot_price: float = Field(0.18, ge=0, allow_inf_nan=False)
    zone_prices: dict[str, float] = {}

    @model_validator(mode="after")
    def _check(self) -> _Autoscale:
        if self.min > self.max:
            raise ValueError("min is over max")
        for zone, price in self.zone_prices.items():
            if not 0 <= price < float("inf"):
                raise ValueError(f"the price of zone {zone} is not valid")
        return self

    def to_autoscale(self) -> Autoscale:
        return Autoscale(
            minimum=self.min,
            maximum=self.max,
            boot_seconds=self.boot_time_s,
            spot_price=self.spot_price,
            price_by_zone=dict(self.zone_prices),
        )


def decode_autoscale(
    raw_by_service: Mapping[str, Any],
) -> tuple[dict[str, Autoscale], dict[str, str]]:
    """Decode the ``autoscale`` of each service; None stands for none.

    :return: the valid ones by service, and why the others are invalid.
    """
    autoscale_by_service: dict[str, Autoscale] = {}
    error_by_service: dict[str, str] = {}
    for service, raw in raw_by_service.items():
        if raw is None:
            continue
        try:
            autoscale = _Autoscale.model_validate(raw).to_autoscale()
        except ValidationError as error:
            first_error = error.errors()[0]
            field = ".".join(str(part) for part in first_error["loc"])
            error_by_service[service] = f"{field}: {first_error['msg']}".lstrip(": ")
            continue
        autoscale_by_service[service] = autoscale
    return autoscale_by_service, error_by_service


def seconds_until_leaving(leaves_ms: float | None, draining: bool) -> float | None:
    """Return the seconds until a draining target ends; None if it is not known."""
    if leaves_ms is None or not draining:
        return None
    if leaves_ms > _MAX_SPAN_MS:
        leaves_ms -= clock.wall() * _MS_PER_SECOND
    return max(0.0, leaves_ms / _MS_PER_SECOND)
