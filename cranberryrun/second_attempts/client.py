"""The interface through which a host asks the lease holder for second attempts."""

from __future__ import annotations

from abc import abstractmethod
from typing import Literal

from pydantic import BaseModel, ConfigDict, Field

from ..kernel import Service
from .response_times import Count, TimeCounts

Refusal = Literal["no_budget", "slow", "full", "unknown"]


class _Message(BaseModel):
    model_config = ConfigDict(extra="ignore")


class ServiceCounts(_Message):
    """What a host counted for one service since its last call.

    ``sent`` is the number of requests that targets may have run, ``begun`` the number
    of repeatable requests that arrived.
    """

    sent: Count = 0
    begun: Count = 0
    times: TimeCounts = Field(default_factory=TimeCounts)

    def add(self, other: ServiceCounts) -> None:
        """Add the counts of ``other``."""
        self.sent += other.sent
        self.begun += other.begun
        self.times.add(other.times)


class PermitAsk(_Message):
    """Asks for one second attempt, at ``target`` beside ``slow_target``."""

    service: str
    slow_target: str
    target: str


class HedgeReport(_Message):
    """The counts of a host since its last call, and perhaps a request for a permit.

    ``unused`` is the number of permits that were granted and not needed.
    """

    counts_by_service: dict[str, ServiceCounts] = Field(default_factory=dict)
    unused: Count = 0
    ask: PermitAsk | None = None

    def add(self, other: HedgeReport) -> None:
        """Add the counts of ``other``."""
        self.unused += other.unused
        for service, counts in other.counts_by_service.items():
            self.counts_by_service.setdefault(service, ServiceCounts()).add(counts)


class Expectation(_Message):
    """The expected response time of a service, in seconds.

    A second attempt is worth its cost after ``delay``; None if it never is.
    """

    mean: float = Field(ge=0, allow_inf_nan=False)
    delay: float | None = Field(None, ge=0, allow_inf_nan=False)


class HedgeAnswer(_Message):
    """The holder's answer. ``refusal`` says why a permit was not granted."""

    granted: bool = False
    refusal: Refusal | None = None
    expectation_by_service: dict[str, Expectation] = Field(default_factory=dict)


class HedgeClient(Service):
    """Reaches the holder of the lease."""

    name = "hedge_client"

    @abstractmethod
    async def report(self, host: str, report: HedgeReport) -> HedgeAnswer:
        """Give ``host`` the report and return its answer.

        :raises NotHolderError: the host does not hold the lease; nothing was counted.
        :raises PeerError: there is no answer; the host may have counted the report.
        """
