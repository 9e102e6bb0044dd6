"""Decides after how long a second attempt is worth its cost, and where it goes."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from .client import Expectation
from .response_times import ResponseTimes

# With fewer responses than this the tail of the distribution is not known.
_MIN_RESPONSES = 20.0
# A second attempt that saves less than this share of the mean response time is not
# worth running a request twice.
_MIN_SAVING_SHARE = 0.1
# Delays whose savings differ by less than this share are equally good.
_EQUAL_SAVING_SHARE = 0.01
# A caller whose response comes within this share of its route's latency goal gains
# nothing from an earlier one.
_MIN_DELAY_PER_GOAL = 0.25


@dataclass(frozen=True, slots=True)
class SecondTarget:
    """A target that may get a second attempt, as this host knows it.

    ``usable`` is whether it is not in a cooldown and has refused or failed nothing
    since its last response. ``in_flight`` counts this host's own requests.
    """

    id: str
    zone: str
    slots: int
    in_flight: int
    usable: bool

    @property
    def has_free_slot(self) -> bool:
        """Whether a slot is free, as far as this host knows."""
        return self.usable and self.in_flight < self.slots


def second_targets(
    candidates: Sequence[SecondTarget], first_zone: str
) -> list[SecondTarget]:
    """Return the targets with a free slot; those in another zone, if there are any."""
    free = [candidate for candidate in candidates if candidate.has_free_slot]
    return [candidate for candidate in free if candidate.zone != first_zone] or free


def delay_at(
    expectation: Expectation, target: SecondTarget, latency_goal: float
) -> float | None:
    """Return the seconds after which a second attempt goes to ``target``.

    A loaded target takes longer, so it has to be worth more waiting.

    :param latency_goal: the goal of the request's route, in seconds.
    :return: None if it is not worth its cost.
    """
    if expectation.delay is None:
        return None
    loaded = expectation.delay * (1.0 + target.in_flight / target.slots)
    return max(loaded, _MIN_DELAY_PER_GOAL * latency_goal)


def expectation_of(times: ResponseTimes, permit_share: float) -> Expectation | None:
    """Return the expectation of a service; None if it is not known well enough.

    The delay is the one that saves the most time over all requests, if second attempts
    are allowed for at most ``permit_share`` of them: a long delay leaves little to
    save, a short one spends permits on responses that are about to come. A second
    attempt is expected to take as long as any other attempt.
    """
    if times.weight < _MIN_RESPONSES:
        return None
    rows = times.distribution()
    mean = sum(middle * share for middle, _, share in rows)
    best_delay: float | None = None
    best_saving = 0.0
    remaining = 1.0
    for index, (_, delay, share) in enumerate(rows[:-1]):
        remaining -= share
        saving_sum = sum(
            later_share * _saving(rows, middle - delay)
            for middle, _, later_share in rows[index + 1 :]
        )
        if remaining <= 0 or saving_sum < _MIN_SAVING_SHARE * mean * remaining:
            continue
        saving = saving_sum * min(1.0, permit_share / remaining)
        if saving >= best_saving * (1.0 - _EQUAL_SAVING_SHARE):
            best_delay = delay
            best_saving = max(saving, best_saving)
    return Expectation(mean=mean, delay=best_delay)


def _saving(rows: list[tuple[float, float, float]], seconds: float) -> float:
    """Return how much sooner than after ``seconds`` a new attempt ends, on average."""
    saving = 0.0
    for middle, _, share in rows:
        if middle >= seconds:
            break
        saving += share * (seconds - middle)
    return saving
