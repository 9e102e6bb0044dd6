"""Weight versions of workloads: a maximum that the log, peers and trainers raise."""

from __future__ import annotations

import asyncio

from .configuration import STREAM, Configuration
from .events import Events
from .exceptions import CranberryrunError, LogUnavailableError, NotFoundError
from .kernel import Service
from .log import Log
from .membership import Membership
from .models import VersionRecord
from .peers import Peers
from .rendezvous import owner_of
from .settings import Settings
from .views import Fact, FactKind


class Versions(Service):
    """Knows each workload's newest version and brings it to the log and the peers."""

    name = "versions"
    requires = ("configuration", "membership", "peers", "log", "events")

    def __init__(self, settings: Settings) -> None:
        super().__init__()
        self._settings = settings

    async def start(self) -> None:
        """Begin to write versions to the log that only peers or trainers knew."""
        self.supervise(self._write_missing)

    def newest(self, workload: str) -> int:
        """Return the newest version this host knows of; -1 if there is none."""
        fact = self.kernel.get(Membership).views.get(FactKind.VERSION, workload)
        return fact.value if fact else -1

    def view_age(self) -> float:
        """Return seconds since this host could have learnt of a newer version.

        That is from the log, or from a peer in another zone: without the log a
        version is accepted only once such a peer holds it. After an outage the
        log counts again once the others had time to bring it what it lacks. The
        host list names no versions and does not count.
        """
        configuration = self.kernel.get(Configuration)
        peer_age = self.kernel.get(Membership).peer_age()
        if configuration.recovery_age() < self._settings.timing.view_limit:
            return peer_age
        return min(configuration.heard_age(), peer_age)

    def learn(self, workload: str, version: int) -> None:
        """Take in a version that a trainer stated."""
        news = self.kernel.get(Membership).learn(
            [Fact(FactKind.VERSION, workload, 0, version)]
        )
        if news:
            self.kernel.get(Events).emit(
                "version_known", workload=workload, version=version
            )

    async def announce(self, workload: str, version: int) -> bool:
        """Take a trainer's announcement; say whether the log has it.

        Without the log it is accepted once a peer in another zone holds it.

        :raises NotFoundError: the workload is not declared.
        :raises LogUnavailableError: neither the log nor such a peer has it.
        """
        if self.kernel.get(Configuration).state.get("workloads", workload) is None:
            raise NotFoundError(f"there is no workloads/{workload}")
        self.kernel.get(Events).emit(
            "version_announced", workload=workload, version=version
        )
        self.learn(workload, version)
        recorded, answered = await asyncio.gather(
            self._record(workload, version), self.kernel.get(Peers).spread_now()
        )
        if recorded:
            return True
        zone_by_id = {
            entry.id: entry.zone for entry in self.kernel.get(Membership).peers()
        }
        if any(zone_by_id.get(peer) != self._settings.zone for peer in answered):
            return False
        raise LogUnavailableError(
            "neither the log nor a peer in another zone holds the version",
            retry_after=2,
        )

    async def _record(self, workload: str, version: int) -> bool:
        record = VersionRecord(workload=workload, version=version)
        try:
            await self.kernel.get(Log).append(STREAM, [record.model_dump()])
        except CranberryrunError:
            return False
        return True

    async def _write_missing(self) -> None:
        """Write to the log what it lacks, each workload from one host.

        What its owner leaves out, as one that can't reach the log does, any host
        writes in its next round.
        """
        configuration = self.kernel.get(Configuration)
        left_out: dict[str, int] = {}
        while True:
            await asyncio.sleep(self._settings.timing.reconcile * 4)
            if not configuration.log_up:
                continue
            missing = self._missing()
            for workload, version in missing.items():
                if self._owns(workload) or left_out.get(workload) == version:
                    await self._record(workload, version)
            left_out = missing

    def _missing(self) -> dict[str, int]:
        """Return the versions by workload that the log lacks."""
        state = self.kernel.get(Configuration).state
        missing: dict[str, int] = {}
        for resource in state.list("workloads"):
            version = self.newest(resource.name)
            if version > state.version_by_workload.get(resource.name, -1):
                missing[resource.name] = version
        return missing

    def _owns(self, workload: str) -> bool:
        membership = self.kernel.get(Membership)
        owner = owner_of(membership.live_ids(), f"version/{workload}")
        return owner == membership.id
