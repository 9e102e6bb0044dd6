"""How old a sample may be: the policies, each behind one base class.

Ages are in weight versions; a higher version is newer.
"""

from __future__ import annotations

import math
from abc import ABC, abstractmethod
from dataclasses import dataclass


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
    def oldest_wanted(self, newest: int, bound: int, idle_weight: float) -> int:
        """Return the oldest version an engine should run to be given a sample.

        :param idle_weight: 1 if only the trainer's idle time counts, 0 if only
            the samples' staleness does.
        """


class AtHandOver(FreshnessPolicy):
    """Measures from the newest version that is known now."""

    def too_old(self, age: SampleAge, bound: int) -> bool:
        """See :meth:`FreshnessPolicy.too_old`."""
        return age.oldest is not None and age.newest - age.oldest > bound

    def oldest_wanted(self, newest: int, bound: int, idle_weight: float) -> int:
        """See :meth:`FreshnessPolicy.oldest_wanted`."""
        return newest - math.ceil(bound * idle_weight)


class AtDispatch(FreshnessPolicy):
    """Measures from the newest version that was known when the stream began."""

    def too_old(self, age: SampleAge, bound: int) -> bool:
        """See :meth:`FreshnessPolicy.too_old`."""
        return age.oldest is not None and age.newest_at_dispatch - age.oldest > bound

    def oldest_wanted(self, newest: int, bound: int, idle_weight: float) -> int:
        """See :meth:`FreshnessPolicy.oldest_wanted`."""
        return newest - bound
