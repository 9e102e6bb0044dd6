"""One process of a target, as its entry in the store describes it."""

from __future__ import annotations

from dataclasses import dataclass, field

from .address import Address


@dataclass(frozen=True, slots=True)
class Target:
    """One process of a target, as it registered itself.

    ``born`` is the start time of the process, in milliseconds since 1970, and
    ``sequence`` the number of its entry since then. ``version_by_model`` has the weight
    version of each model it serves, and ``software`` names the version of the program
    that it runs. A ``spot`` target may be taken back by the platform; once it drains,
    ``leaves_in`` has the seconds from its entry to its end, if it is known.
    """

    id: str
    service: str
    address: Address
    zone: str
    slots: int
    draining: bool
    born: int
    sequence: int
    version_by_model: dict[str, int] = field(default_factory=dict)
    software: str = ""
    spot: bool = False
    leaves_in: float | None = None

    @property
    def entry_order(self) -> tuple[int, int]:
        """What the entries of a target increase with each write."""
        return self.born, self.sequence
