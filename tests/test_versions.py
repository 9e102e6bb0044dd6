"""Tests of the newest weight versions known from log, peers and trainers."""

from unittest import mock

from cranberryrun.exceptions import LogUnavailableError, NotFoundError
from cranberryrun.versions import Versions
from cranberryrun.views import Fact, FactKind

from .rollouts import WORKLOAD, Rollouts, entry
from .virtual import VirtualTimeTestCase


class VersionsTest(VirtualTimeTestCase):
    async def start_rollouts(self, recorded=False, acknowledging_peers=()) -> Rollouts:
        """Return one of three hosts.

        :param recorded: whether the log accepts an announcement.
        :param acknowledging_peers: the peers that acknowledge an announcement.
        """
        rollouts = await self.enterAsyncContext(Rollouts())
        rollouts.membership.apply_host_list(
            [entry("host-1"), entry("host-2"), entry("host-3", "zone-b")]
        )
        spread = mock.AsyncMock(return_value=list(acknowledging_peers))
        record = mock.AsyncMock(return_value=recorded)
        peers = rollouts.kernel._by_name["peers"]
        self.enterContext(mock.patch.object(peers, "exchange_with_live_peers", spread))
        self.enterContext(mock.patch.object(Versions, "_record", record))
        return rollouts

    async def test_the_newest_version_of_all_sources_is_used(self):
        rollouts = await self.start_rollouts()
        versions = rollouts.versions
        self.assertEqual(versions.newest(WORKLOAD), -1)
        versions.learn(WORKLOAD, 5)
        rollouts.membership.learn([Fact(FactKind.VERSION, WORKLOAD, 0, 7)])
        versions.learn(WORKLOAD, 6)
        self.assertEqual(versions.newest(WORKLOAD), 7)
        known = [event["version"] for event in rollouts.events("version_known")]
        self.assertNotIn(6, known)

    async def test_an_announcement_is_accepted_with_the_log_alone(self):
        rollouts = await self.start_rollouts(recorded=True)
        self.assertTrue(await rollouts.versions.announce(WORKLOAD, 3))

    async def test_an_announcement_is_accepted_with_a_peer_in_another_zone_alone(self):
        rollouts = await self.start_rollouts(acknowledging_peers=["host-2", "host-3"])
        self.assertFalse(await rollouts.versions.announce(WORKLOAD, 3))

    async def test_an_announcement_fails_with_a_peer_in_the_same_zone_alone(self):
        rollouts = await self.start_rollouts(acknowledging_peers=["host-2"])
        with self.assertRaises(LogUnavailableError):
            await rollouts.versions.announce(WORKLOAD, 3)

    async def test_an_announcement_for_an_unknown_workload_fails(self):
        rollouts = await self.start_rollouts(recorded=True)
        with self.assertRaises(NotFoundError):
            await rollouts.versions.announce("nobody", 3)

    async def test_the_view_age_depends_on_the_log_or_a_peer_in_another_zone(self):
        rollouts = await self.start_rollouts()
        self.assertEqual(rollouts.versions.view_age(), 0.0)
        rollouts.configuration.age = float("inf")
        self.assertEqual(rollouts.versions.view_age(), float("inf"))
        rollouts.membership.record_sync("host-2")
        self.assertEqual(rollouts.versions.view_age(), float("inf"))
        rollouts.membership.record_contact("host-3")
        self.assertEqual(rollouts.versions.view_age(), float("inf"))
        rollouts.membership.record_sync("host-3")
        self.assertEqual(rollouts.versions.view_age(), 0.0)

    async def test_any_peer_refreshes_the_view_in_a_single_zone(self):
        rollouts = await self.start_rollouts()
        rollouts.configuration.age = float("inf")
        rollouts.membership.apply_host_list([entry("host-1"), entry("host-2")])
        rollouts.membership.record_sync("host-2")
        self.assertEqual(rollouts.versions.view_age(), 0.0)
