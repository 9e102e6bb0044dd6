"""Where a stream began, which decides at which targets it may go on."""

from __future__ import annotations

from dataclasses import dataclass

from .directory import Target


@dataclass(frozen=True, slots=True)
class Origin:
    """The service and the software version of the target that began a stream.

    What two versions of a service's software generate does not fit together, and
    targets do not check it.
    """

    service: str
    software: str

    @classmethod
    def of(cls, target: Target) -> Origin:
        """Return the origin of a stream that ``target`` begins."""
        return cls(target.service, target.software)

    def allows(self, target: Target) -> bool:
        """Return whether a stream of this origin may go on at ``target``."""
        return Origin.of(target) == self
