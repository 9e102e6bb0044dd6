"""Newest weight versions: the maximum known from the log, peers and trainers."""

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
    """Tracks each workload's newest version and replicates it to log and peers."""

    name = "versions"
    requires = ("configuration", "membership", "peers", "log", "events")

    def __init__(self, settings: Settings) -> None:
        super().__init__()
        self._settings = settings

    async def start(self) -> None:
        """Start to write versions to the log that only peers or trainers know."""
        self.supervise(self._write_missing)

    def newest(self, workload: str) -> int:
        """Return the newest version this host knows of; -1 if there is none."""
        fact = self.kernel.get(Membership).views.get(FactKind.VERSION, workload)
        return fact.value if fact else -1

    def view_age(self) -> float:
        """Return the staleness, in seconds, of this host's view of versions.

        The view is refreshed by the log, or by a peer in another zone: without the
        log, a version is accepted only if such a peer holds it. After an outage
        the log counts again after ``timing.view_limit``, when other hosts have had
        time to write the versions that it lacks. The host list contains no
        versions and does not count.
        """
        configuration = self.kernel.get(Configuration)
        peer_sync_age = self.kernel.get(Membership).peer_sync_age()
        if configuration.recovery_age() < self._settings.timing.view_limit:
            return peer_sync_age
        return min(configuration.contact_age(), peer_sync_age)

    def learn(self, workload: str, version: int) -> None:
        """Record a version that a trainer stated."""
        new_facts = self.kernel.get(Membership).learn(
            [Fact(FactKind.VERSION, workload, 0, version)]
        )
        if new_facts:
            self.kernel.get(Events).emit(
                "version_known", workload=workload, version=version
            )

    async def announce(self, workload: str, version: int) -> bool:
        """Record a trainer's announcement; return whether the log has it.

        Without the log it is accepted if a peer in another zone holds it.

        :raises NotFoundError: the workload is not declared.
        :raises LogUnavailableError: neither the log nor such a peer confirmed it.
        """
        if self.kernel.get(Configuration).state.get("workloads", workload) is None:
            raise NotFoundError(f"workload {workload} is not declared")
        self.kernel.get(Events).emit(
            "version_announced", workload=workload, version=version
        )
        self.learn(workload, version)
        recorded, peers_reached = await asyncio.gather(
            self._record(workload, version),
            self.kernel.get(Peers).exchange_with_live_peers(),
        )
        if recorded:
            return True
        zone_by_id = {
            entry.id: entry.zone for entry in self.kernel.get(Membership).peers()
        }
        if any(zone_by_id.get(peer) != self._settings.zone for peer in peers_reached):
            return False
        raise LogUnavailableError(
            f"neither the log nor a peer in another zone confirmed version {version} "
            f"of {workload}",
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
        """Write the versions that the log lacks, each from the workload's owner.

        A version still missing in the next round is written by any host, because
        the owner may be unable to reach the log.
        """
        configuration = self.kernel.get(Configuration)
        still_missing: dict[str, int] = {}
        while True:
            await asyncio.sleep(self._settings.timing.reconcile * 4)
            if not configuration.log_up:
                continue
            missing = self._missing()
            for workload, version in missing.items():
                if self._owns(workload) or still_missing.get(workload) == version:
                    await self._record(workload, version)
            still_missing = missing

    def _missing(self) -> dict[str, int]:
        """Return the newest versions by workload that the log lacks."""
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
