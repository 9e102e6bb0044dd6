"""The services of the duties that a host's settings name.

Kept apart from the other services, so that hosts without duties do not import them.
"""

from __future__ import annotations

from .. import clock
from ..duties.duty import Duty
from ..duties.service import Duties
from ..kernel import Service
from ..usage_counts.counter import UsageCounter
from ..usage_counts.report_duty import ReportDuty
from ..usage_counts.service import UsageCounts
from ..usage_counts.totals import UsageTotals
from .duty_client import HttpDutyClient
from .settings import HostSettings


def create_duty_services(
    settings: HostSettings, incarnation: int, usage: UsageCounter | None
) -> list[Service]:
    """Return the services of the duties that the settings name; [] if there are none.

    :param usage: counts this host's requests; None if usage is not reported.
    """
    api = settings.platform_api
    if api is None:
        return []
    bounds = settings.bounds
    duties: list[Duty] = []
    services: list[Service] = []
    if usage is not None:
        totals = UsageTotals()
        services.append(UsageCounts(settings.host_id, incarnation, usage, totals))
        duties.append(
            ReportDuty(totals, bounds.usage_window_s, bounds.usage_late_s, clock.wall())
        )
    if "scale" in api.duties:
        # Most deployments order no engines.
        from ..scaling.inputs import Scaling

        scaling = Scaling()
        services.append(scaling)
        duties.append(scaling.duty)
    if not duties:
        return []
    return services + [
        HttpDutyClient(api.address),
        Duties(settings.host_id, tuple(duties), api.calls_per_s),
    ]
