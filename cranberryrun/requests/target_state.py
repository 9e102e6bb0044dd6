"""What a host observed of one target of a plain service."""

from __future__ import annotations

from ..health import Health


class TargetState:
    """Health and load of one target of a plain service, as this host observed them."""

    def __init__(self) -> None:
        self.health = Health()
        self.in_flight = 0
