"""Weight versions: a maximum from the log, peers and trainers."""

from unittest import mock

from cranberryrun.exceptions import LogUnavailableError, NotFoundError
from cranberryrun.versions import Versions
from cranberryrun.views import Fact, FactKind

from .rollouts import WORKLOAD, Rollouts, entry
from .virtual import VirtualTimeTestCase


class VersionsTest(VirtualTimeTestCase):
    async def begin(self, recorded=False, answered=()) -> Rollouts:
        """Return a host of three; say who takes an announcement."""
        rollouts = await self.enterAsyncContext(Rollouts())
        rollouts.membership.apply_host_list(
            [entry("host-1"), entry("host-2"), entry("host-3", "zone-b")]
        )
        spread = mock.AsyncMock(return_value=list(answered))
        record = mock.AsyncMock(return_value=recorded)
        peers = rollouts.kernel._by_name["peers"]
        self.enterContext(mock.patch.object(peers, "spread_now", spread))
        self.enterContext(mock.patch.object(Versions, "_record", record))
        return rollouts

    async def test_the_newest_of_all_sources_holds(self):
        rollouts = await self.begin()
        versions = rollouts.versions
        self.assertEqual(versions.newest(WORKLOAD), -1)
        versions.learn(WORKLOAD, 5)
        rollouts.membership.learn([Fact(FactKind.VERSION, WORKLOAD, 0, 7)])
        versions.learn(WORKLOAD, 6)
        self.assertEqual(versions.newest(WORKLOAD), 7)
        known = [each["version"] for each in rollouts.events("version_known")]
        self.assertNotIn(6, known)

    async def test_the_log_alone_takes_an_announcement(self):
        rollouts = await self.begin(recorded=True)
        self.assertTrue(await rollouts.versions.announce(WORKLOAD, 3))

    async def test_without_the_log_a_peer_in_another_zone_takes_it(self):
        rollouts = await self.begin(answered=["host-2", "host-3"])
        self.assertFalse(await rollouts.versions.announce(WORKLOAD, 3))

    async def test_a_peer_in_the_same_zone_is_not_enough(self):
        rollouts = await self.begin(answered=["host-2"])
        with self.assertRaises(LogUnavailableError):
            await rollouts.versions.announce(WORKLOAD, 3)

    async def test_an_unknown_workload_has_no_versions(self):
        rollouts = await self.begin(recorded=True)
        with self.assertRaises(NotFoundError):
            await rollouts.versions.announce("nobody", 3)

    async def test_a_view_is_as_old_as_the_log_or_a_peer_of_another_zone(self):
        rollouts = await self.begin()
        self.assertEqual(rollouts.versions.view_age(), 0.0)
        rollouts.configuration.age = float("inf")
        self.assertEqual(rollouts.versions.view_age(), float("inf"))
        rollouts.membership.record_sync("host-2")
        self.assertEqual(rollouts.versions.view_age(), float("inf"))
        rollouts.membership.record_contact("host-3")
        self.assertEqual(rollouts.versions.view_age(), float("inf"))
        rollouts.membership.record_sync("host-3")
        self.assertEqual(rollouts.versions.view_age(), 0.0)

    async def test_in_a_single_zone_any_peer_counts(self):
        rollouts = await self.begin()
        rollouts.configuration.age = float("inf")
        rollouts.membership.apply_host_list([entry("host-1"), entry("host-2")])
        rollouts.membership.record_sync("host-2")
        self.assertEqual(rollouts.versions.view_age(), 0.0)
