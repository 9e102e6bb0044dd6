"""Freshness policies: how old a sample may be, in weight versions.

A higher version is newer.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass

_MAX_NEWEST_WAIT_SECONDS = 60.0


@dataclass(frozen=True, slots=True)
class SampleAge:
    """The versions that decide whether a sample may still be handed over.

    ``oldest`` is the oldest version of the pieces so far, None before the first
    piece; ``newest`` is the newest version known now and ``newest_at_dispatch``
    the newest one known when the sample's stream started.
    """

    oldest: int | None
    newest: int
    newest_at_dispatch: int


class FreshnessPolicy(ABC):
    """Decides when a sample is stale.

    Samples are checked during generation and right before the hand-over.
    """

    @abstractmethod
    def is_stale(self, age: SampleAge, bound: int) -> bool:
        """Return whether a sample exceeds the freshness bound.

        :param bound: the workload's freshness bound, in versions.
        """

    @abstractmethod
    def max_newest_wait(self, idle_weight: float, sample_seconds: float) -> float:
        """Return how long to wait for an engine with the newest version, in seconds.

        After that, an engine with any version that the bound allows is used.

        :param idle_weight: 1 if only the trainer's idle time counts, 0 if only
            the samples' staleness does.
        :param sample_seconds: mean duration of a sample.
        """


class AtHandOver(FreshnessPolicy):
    """Measures staleness against the newest version that is known now.

    The wait for an engine with the newest version is at most the mean duration of a
    sample.

    :param max_wait_seconds: the longest wait for the newest version.
    """

    def __init__(self, max_wait_seconds: float = _MAX_NEWEST_WAIT_SECONDS) -> None:
        self._max_wait_seconds = max_wait_seconds

    def is_stale(self, age: SampleAge, bound: int) -> bool:
        """See :meth:`FreshnessPolicy.is_stale`."""
        return age.oldest is not None and age.newest - age.oldest > bound

    def max_newest_wait(self, idle_weight: float, sample_seconds: float) -> float:
        """See :meth:`FreshnessPolicy.max_newest_wait`."""
        longest_wait = min(sample_seconds, self._max_wait_seconds)
        return longest_wait * (1 - idle_weight) ** 2


class AtDispatch(FreshnessPolicy):
    """Measures staleness against the newest version known at the stream's start.

    It never waits for an engine with the newest version.
    """

    def is_stale(self, age: SampleAge, bound: int) -> bool:
        """See :meth:`FreshnessPolicy.is_stale`."""
        return age.oldest is not None and age.newest_at_dispatch - age.oldest > bound

    def max_newest_wait(self, idle_weight: float, sample_seconds: float) -> float:
        """See :meth:`FreshnessPolicy.max_newest_wait`."""
        return 0.0
