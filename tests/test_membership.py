"""Tests of membership: live, suspected and leaving hosts by host list and peers."""

import asyncio

from cranberryrun.membership import HostEntry, HostList, Membership
from cranberryrun.views import LEAVING, Fact, FactKind

from .replicas import ReplicaSet, configuration_of, event_names, until
from .virtual import HostTestCase


class MembershipTest(HostTestCase):
    async def asyncSetUp(self):
        self.replica_set = ReplicaSet()

    async def asyncTearDown(self):
        await self.replica_set.close()

    async def memberships(self, count):
        """Start hosts and return their memberships once all know each other."""
        kernels = [await self.replica_set.host(n) for n in range(1, count + 1)]
        members = [kernel.get(Membership) for kernel in kernels]
        await until(lambda: all(len(member.live_ids()) == count for member in members))
        return members

    async def test_silent_host_is_suspected_and_refutes_when_it_answers_again(self):
        one, two, three = await self.memberships(3)
        self.replica_set.silent_ids.add("host-3")
        await until(lambda: one.live_ids() == ["host-1", "host-2"], 15)
        await until(lambda: two.live_ids() == ["host-1", "host-2"], 15)
        await asyncio.sleep(60)
        self.replica_set.silent_ids.clear()
        await until(lambda: len(one.live_ids()) == len(two.live_ids()) == 3, 15)
        self.assertIn("peer_returned", event_names(one.kernel))

    async def test_host_is_not_suspected_after_a_short_silence(self):
        one, _ = await self.memberships(2)
        self.replica_set.silent_ids.add("host-2")
        await asyncio.sleep(1.2)
        self.replica_set.silent_ids.clear()
        await asyncio.sleep(10)
        self.assertNotIn("peer_unreachable", event_names(one.kernel))

    async def test_leaving_is_sticky_for_an_incarnation(self):
        one, two = await self.memberships(2)
        two.announce_leaving()
        await until(lambda: one.live_ids() == ["host-1"], 10)
        await asyncio.sleep(30)
        self.assertEqual(one.live_ids(), ["host-1"])
        one.learn([Fact(FactKind.HOST, "host-2", 1, 4)])
        self.assertEqual(one.live_ids(), ["host-1"])

    async def test_restarted_host_is_live_with_its_new_incarnation(self):
        one, two = await self.memberships(2)
        two.announce_leaving()
        await until(lambda: one.live_ids() == ["host-1"], 10)
        await self.replica_set.stop(2)
        await self.replica_set.host(2, incarnation=2)
        await until(lambda: one.live_ids() == ["host-1", "host-2"], 10)

    async def test_lagging_list_does_not_revive_a_leaving_host(self):
        one, two = await self.memberships(2)
        self.replica_set.put_on_list(2, 1, "leaving")
        await until(lambda: one.live_ids() == ["host-1"], 10)
        self.replica_set.put_on_list(2, 1, "live")
        await asyncio.sleep(10)
        self.assertEqual(one.live_ids(), ["host-1"])

    async def test_hosts_stay_live_when_the_list_is_down(self):
        one, two = await self.memberships(2)
        self.replica_set.list.down = True
        await asyncio.sleep(30)
        self.assertEqual(one.live_ids(), ["host-1", "host-2"])
        self.assertLess(one.contact_age(), 5)
        self.assertEqual(event_names(one.kernel).count("host_list_lost"), 1)
        self.replica_set.list.down = False
        await until(lambda: "host_list_back" in event_names(one.kernel), 5)

    async def test_target_is_leaving_until_its_next_incarnation(self):
        (one,) = await self.memberships(1)
        entry = HostEntry(id="portal-1", kind="target", incarnation=3, state="leaving")
        self.replica_set.list.entries.append(entry)
        await until(lambda: one.target_leaving("portal-1"), 5)
        self.replica_set.list.entries.pop()
        await asyncio.sleep(5)
        self.assertTrue(one.target_leaving("portal-1"))
        back = entry.model_copy(update={"incarnation": 4, "state": "live"})
        self.replica_set.list.entries.append(back)
        await until(lambda: not one.target_leaving("portal-1"), 5)

    async def test_host_ignores_a_list_that_calls_it_leaving_and_refutes_suspicion(
        self,
    ):
        (one,) = await self.memberships(1)
        self.replica_set.put_on_list(1, 1, "leaving")
        await asyncio.sleep(5)
        self.assertEqual(one.live_ids(), ["host-1"])
        one.learn([Fact(FactKind.HOST, "host-1", 1, 1)])
        fact = one.views.get(FactKind.HOST, "host-1")
        self.assertEqual((fact.value % 2, fact.value < LEAVING), (0, True))

    async def test_facts_are_forgotten_by_all_hosts_after_an_hour_of_absence(self):
        one, two = await self.memberships(2)
        absent = [
            Fact(FactKind.HOST, "host-9", 1, 1),
            Fact(FactKind.TARGET, "target-9", 1, LEAVING),
        ]
        one.learn(absent)
        await until(lambda: one.views.digest == two.views.digest, 15)
        self.assertIsNotNone(two.views.get(FactKind.HOST, "host-9"))
        await asyncio.sleep(3700)
        for member in (one, two):
            self.assertEqual(len(member.views.by_key), 2)
        one.learn(absent)
        await asyncio.sleep(30)
        for member in (one, two):
            self.assertEqual(len(member.views.by_key), 2)
        self.assertEqual(one.views.digest, two.views.digest)

    async def test_retained_fact_is_not_forgotten_when_not_listed(self):
        (one,) = await self.memberships(1)
        fact = Fact(FactKind.ENGINE, "engine-9", 1, 2)
        one.learn([fact])
        one.retain(lambda: ["engine-9"])
        await asyncio.sleep(3700)
        self.assertEqual(one.views.get(*fact.key), fact)

    async def test_facts_are_accepted_again_when_their_host_is_listed_again(self):
        (one,) = await self.memberships(1)
        absent = Fact(FactKind.HOST, "host-9", 1, LEAVING)
        one.learn([absent])
        await asyncio.sleep(3700)
        self.assertEqual(one.learn([absent]), [])
        self.assertIsNone(one.views.get(FactKind.HOST, "host-9"))
        self.replica_set.put_on_list(9, 2)
        await asyncio.sleep(5)
        back = Fact(FactKind.HOST, "host-9", 2, 0)
        self.assertEqual(one.learn([back]), [back])

    async def test_applied_offset_reaches_the_peers(self):
        one, two = await self.memberships(2)
        configuration = configuration_of(two.kernel)
        await until(configuration.ready.is_set)
        await self.replica_set.log.append("config", [{"record": "version"}] * 3)
        await until(lambda: one.offset_of("host-2") == 2, 10)


class ListPollTest(HostTestCase):
    LIST_ENTRIES = 410 + 600
    MAX_BYTES_PER_SECOND = 5_000

    async def asyncSetUp(self):
        self.replica_set = ReplicaSet()

    async def asyncTearDown(self):
        await self.replica_set.close()

    async def test_polls_of_a_long_list_keep_within_the_byte_rate(self):
        kernel = await self.replica_set.host(1)
        membership = kernel.get(Membership)
        long_list = CountingList(self.LIST_ENTRIES)
        membership.use_host_list(long_list)
        await asyncio.sleep(5)
        bytes_before = long_list.bytes_read
        await asyncio.sleep(600)
        rate = (long_list.bytes_read - bytes_before) / 600
        self.assertGreater(long_list.bytes_read, bytes_before)
        self.assertLess(rate, self.MAX_BYTES_PER_SECOND)


class CountingList(HostList):
    """A host list of targets that counts the bytes of its answers."""

    def __init__(self, entries: int) -> None:
        self._entries = [
            HostEntry(id=f"engine-{n:04}", kind="target", ip="10.0.0.1", zone="z1")
            for n in range(entries)
        ]
        self.bytes_read = 0

    async def read(self) -> list[HostEntry]:
        self.bytes_read += sum(len(entry.model_dump_json()) for entry in self._entries)
        return self._entries


class LaggingPeersTest(HostTestCase):
    async def asyncSetUp(self):
        self.replica_set = ReplicaSet()

    async def asyncTearDown(self):
        await self.replica_set.close()

    async def test_lagging_peers_reflect_changes_of_offsets_and_members(self):
        kernel = await self.replica_set.host(1)
        await self.replica_set.host(2)
        membership = kernel.get(Membership)
        await until(lambda: len(membership.live_ids()) == 2)
        offset = membership.offset_of("host-2") + 1
        self.assertEqual(membership.lagging_peer_ids(offset), ["host-2"])
        membership.record_offset("host-2", 1, offset)
        self.assertEqual(membership.lagging_peer_ids(offset), [])
        self.assertEqual(membership.lagging_peer_ids(offset + 1), ["host-2"])
        membership.learn([Fact(FactKind.HOST, "host-2", 1, LEAVING)])
        self.assertEqual(membership.lagging_peer_ids(offset + 1), [])
