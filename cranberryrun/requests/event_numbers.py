"""Judges gaps in the numbers of a stream's events. Does no I/O.

Numbers increase, and those of most software follow each other. A gap may be the way in
which some software counts, or events that a target in trouble left out. Another target
shows which of the two it is: asked to go on before the gap, it leaves the same numbers
out or sends what is missing.
"""

from __future__ import annotations

from collections.abc import Callable

from ..fleet.client import MalformedStreamError, StreamedEvents
from ..fleet.directory import Target
from ..fleet.origin import Origin

# Software may count from zero or from one.
_FIRST_NUMBERS = (0, 1)


class KnownGaps:
    """The software of whose streams two targets left out the same numbers."""

    def __init__(self) -> None:
        self._origins: set[Origin] = set()

    def add(self, origin: Origin) -> None:
        """Record that gaps belong to the streams of ``origin``."""
        self._origins.add(origin)

    def __contains__(self, origin: object) -> bool:
        """Return whether gaps belong to the streams of ``origin``."""
        return origin in self._origins


class EventNumbers:
    """The numbers of the events of one caller's stream, over all attempts at it.

    ``last`` is the newest one that the caller has, None without one. ``doubtful`` tells
    whether the caller has events after a gap that no second target confirmed.
    """

    def __init__(self, last: int | None, known_gaps: KnownGaps) -> None:
        self.last = last
        self.doubtful = False
        self._known_gaps = known_gaps
        self._target_by_gap: dict[tuple[int | None, int], str] = {}

    def accept(
        self, part: StreamedEvents, target: Target, others_left: Callable[[], bool]
    ) -> None:
        """Take the numbers of the next events, which are greater than ``last``.

        :param others_left: returns whether another target may be asked to go on.
        :raises MalformedStreamError: it comes after a gap that another target should
            confirm first.
        """
        if part.first is None or part.last is None:
            return
        if self._leaves_gap(part.first) and Origin.of(target) not in self._known_gaps:
            gap = (self.last, part.first)
            if self._target_by_gap.get(gap, target.id) != target.id:
                self._known_gaps.add(Origin.of(target))
            elif others_left():
                self._target_by_gap[gap] = target.id
                raise MalformedStreamError(
                    f"event {part.first} follows event {self.last or 0} after a gap "
                    "that no other target has confirmed"
                )
            else:
                self.doubtful = True
        self.last = part.last

    def _leaves_gap(self, number: int) -> bool:
        if self.last is None:
            return number not in _FIRST_NUMBERS
        return number != self.last + 1
