"""The interface to the platform's API for duties."""

from __future__ import annotations

from abc import abstractmethod
from collections.abc import Mapping
from dataclasses import dataclass

from ..exceptions import CranberryrunError, RefusedError
from ..kernel import Service


@dataclass(frozen=True, slots=True)
class UsageReport:
    """The requests that targets began to run in a window, by workspace."""

    window: int
    count_by_workspace: Mapping[str, int]


@dataclass(frozen=True, slots=True)
class EngineOrder:
    """The number of engines that a service is to have in a zone.

    Spot engines cost less and may be reclaimed; they are counted apart.
    """

    service: str
    zone: str
    count: int
    spot: bool = False


class DutyConflictError(CranberryrunError):
    """The call was refused for good and not carried out.

    For instance, no engine can be had in the zone.
    """

    code = "duty_conflict"


class DutyFencedError(DutyConflictError):
    """The call was not carried out: another host used a higher fencing token."""

    code = "duty_fenced"


class DutyThrottledError(RefusedError):
    """The API takes no more calls for now; the call was not carried out."""

    code = "duty_throttled"


class DutyUnsentError(RefusedError):
    """Nothing was sent: the API can't be reached, or the lease ended before."""

    code = "duty_unsent"


class DutyUnknownError(CranberryrunError):
    """There is no answer; the call may have been carried out, or may be later."""

    code = "duty_unknown"


class DutyClient(Service):
    """Makes single calls to the platform's API. No method retries.

    All methods raise :exc:`DutyFencedError`, :exc:`DutyConflictError`,
    :exc:`DutyThrottledError`, :exc:`DutyUnsentError` or :exc:`DutyUnknownError`.
    """

    name = "duty_client"

    @abstractmethod
    async def report_usage(self, report: UsageReport, holder: str, fence: int) -> None:
        """Report the usage of one window."""

    @abstractmethod
    async def order_engines(self, order: EngineOrder, holder: str, fence: int) -> None:
        """Order a number of engines."""
