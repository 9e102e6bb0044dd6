"""How old a sample may be: the policies, each behind one base class.

Ages are in weight versions; a higher version is newer.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass

_PATIENCE_SECONDS = 60.0


@dataclass(frozen=True, slots=True)
class SampleAge:
    """What decides whether a sample may still be handed over.

    ``oldest`` is the oldest stamp so far, None before the first piece;
    ``newest`` is the newest version known now and ``newest_at_dispatch`` the one
    known when the sample's stream began.
    """

    oldest: int | None
    newest: int
    newest_at_dispatch: int


class FreshnessPolicy(ABC):
    """Judges samples while they are made and right before they are handed over."""

    @abstractmethod
    def too_old(self, age: SampleAge, bound: int) -> bool:
        """Say whether a sample may no longer be handed over.

        :param bound: the workload's freshness bound, in versions.
        """

    @abstractmethod
    def patience(self, idle_weight: float, sample_seconds: float) -> float:
        """Return how long a sample may wait for an engine with the newest version.

        After that, in seconds, an engine whose version the bound allows will do.

        :param idle_weight: 1 if only the trainer's idle time counts, 0 if only
            the samples' staleness does.
        :param sample_seconds: how long a sample takes.
        """


class AtHandOver(FreshnessPolicy):
    """Measures from the newest version that is known now.

    A sample waits at most as long as it takes to make, for the newest version.

    :param patience_seconds: the longest wait.
    """

    def __init__(self, patience_seconds: float = _PATIENCE_SECONDS) -> None:
        self._patience_seconds = patience_seconds

    def too_old(self, age: SampleAge, bound: int) -> bool:
        """See :meth:`FreshnessPolicy.too_old`."""
        return age.oldest is not None and age.newest - age.oldest > bound

    def patience(self, idle_weight: float, sample_seconds: float) -> float:
        """See :meth:`FreshnessPolicy.patience`."""
        longest = min(sample_seconds, self._patience_seconds)
        return longest * (1 - idle_weight) ** 2


class AtDispatch(FreshnessPolicy):
    """Measures from the newest version that was known when the stream began."""

    def too_old(self, age: SampleAge, bound: int) -> bool:
        """See :meth:`FreshnessPolicy.too_old`."""
        return age.oldest is not None and age.newest_at_dispatch - age.oldest > bound

    def patience(self, idle_weight: float, sample_seconds: float) -> float:
        """See :meth:`FreshnessPolicy.patience`."""
        return 0.0
