"""Response times of a service as counts by bucket, which hosts report and merge."""

from __future__ import annotations

from bisect import bisect_left
from collections import Counter
from typing import Annotated

from pydantic import BaseModel, ConfigDict, Field

# Each bucket ends a fifth later than the one before, from 5 ms to about a minute.
_SMALLEST_BOUND_SECONDS = 0.005
_BUCKET_GROWTH = 1.2
_BUCKET_COUNT = 53
_BOUNDS = tuple(
    _SMALLEST_BOUND_SECONDS * _BUCKET_GROWTH**bucket for bucket in range(_BUCKET_COUNT)
)
# A service is as slow or fast as it was in the last half minute.
_HALF_LIFE_SECONDS = 30.0
_MIN_WEIGHT = 0.001

Bucket = Annotated[int, Field(ge=0, lt=_BUCKET_COUNT)]
Count = Annotated[int, Field(ge=0, le=1_000_000)]


class TimeCounts(BaseModel):
    """Counts of response times by bucket.

    ``cancelled`` counts attempts by the time after which this host ended them: their
    response would have taken longer.
    """

    model_config = ConfigDict(extra="ignore")

    complete: dict[Bucket, Count] = Field(default_factory=dict)
    cancelled: dict[Bucket, Count] = Field(default_factory=dict)

    def record(self, seconds: float, complete: bool) -> None:
        """Add one response time, in seconds."""
        counts = self.complete if complete else self.cancelled
        bucket = min(bisect_left(_BOUNDS, seconds), _BUCKET_COUNT - 1)
        counts[bucket] = counts.get(bucket, 0) + 1

    def add(self, other: TimeCounts) -> None:
        """Add the counts of ``other``."""
        for own, added in (
            (self.complete, other.complete),
            (self.cancelled, other.cancelled),
        ):
            for bucket, count in added.items():
                own[bucket] = own.get(bucket, 0) + count


class ResponseTimes:
    """The response times of a service over all hosts, the recent ones with most weight.

    The load that it responds to is the one under which the counted responses were made.
    """

    def __init__(self) -> None:
        self._complete: Counter[int] = Counter()
        self._cancelled: Counter[int] = Counter()
        self._updated_at = 0.0

    @property
    def weight(self) -> float:
        """The number of complete responses, each halved every half minute."""
        return sum(self._complete.values())

    def merge(self, counts: TimeCounts, now: float) -> None:
        """Add the counts of a host.

        :param now: the current time, in loop seconds.
        """
        factor = 0.5 ** (max(0.0, now - self._updated_at) / _HALF_LIFE_SECONDS)
        self._updated_at = now
        for own, added in (
            (self._complete, counts.complete),
            (self._cancelled, counts.cancelled),
        ):
            for bucket in list(own):
                own[bucket] *= factor
                if own[bucket] < _MIN_WEIGHT:
                    del own[bucket]
            own.update(added)

    def distribution(self) -> list[tuple[float, float, float]]:
        """Return for each bucket in use its middle, its end and its probability.

        Times are in seconds and ascend. Cancelled attempts count as in the estimate of
        Kaplan and Meier. Counting them as responses would hide how slow the responses
        are that second attempts replace; leaving them out would hide how many there
        are.
        """
        rows = []
        at_risk = sum(self._complete.values()) + sum(self._cancelled.values())
        survival = 1.0
        for bucket in sorted(self._complete.keys() | self._cancelled.keys()):
            complete = self._complete.get(bucket, 0.0)
            share = survival * complete / at_risk if at_risk > 0 else 0.0
            at_risk -= complete + self._cancelled.get(bucket, 0.0)
            survival -= share
            rows.append([bucket, share])
        if rows:
            # Nothing is known of later times, so what is left counts as ending here.
            rows[-1][1] += survival
        return [
            (_middle(bucket), _BOUNDS[bucket], share) for bucket, share in rows if share
        ]


def _middle(bucket: int) -> float:
    """Return the geometric middle of a bucket, in seconds."""
    return _BOUNDS[bucket] / _BUCKET_GROWTH**0.5
