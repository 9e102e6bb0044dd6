"""Who is alive or leaving, by the platform's list and the peers."""

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
        """Start hosts and return their memberships once all know all."""
        kernels = [await self.replica_set.host(n) for n in range(1, count + 1)]
        found = [kernel.get(Membership) for kernel in kernels]
        await until(lambda: all(len(each.live_ids()) == count for each in found))
        return found

    async def test_a_silent_host_is_suspected_and_refutes_when_it_is_back(self):
        one, two, three = await self.memberships(3)
        self.replica_set.silent_ids.add("host-3")
        await until(lambda: one.live_ids() == ["host-1", "host-2"], 15)
        await until(lambda: two.live_ids() == ["host-1", "host-2"], 15)
        await asyncio.sleep(60)
        self.replica_set.silent_ids.clear()
        await until(lambda: len(one.live_ids()) == len(two.live_ids()) == 3, 15)
        self.assertIn("peer_returned", event_names(one.kernel))

    async def test_one_lost_answer_is_no_suspicion(self):
        one, _ = await self.memberships(2)
        self.replica_set.silent_ids.add("host-2")
        await asyncio.sleep(1.2)
        self.replica_set.silent_ids.clear()
        await asyncio.sleep(10)
        self.assertNotIn("peer_unreachable", event_names(one.kernel))

    async def test_leaving_is_sticky_for_an_incarnation(self):
        one, two = await self.memberships(2)
        two.say_leaving()
        await until(lambda: one.live_ids() == ["host-1"], 10)
        await asyncio.sleep(30)
        self.assertEqual(one.live_ids(), ["host-1"])
        one.learn([Fact(FactKind.HOST, "host-2", 1, 4)])
        self.assertEqual(one.live_ids(), ["host-1"])

    async def test_a_restarted_host_is_live_with_its_new_incarnation(self):
        one, two = await self.memberships(2)
        two.say_leaving()
        await until(lambda: one.live_ids() == ["host-1"], 10)
        await self.replica_set.stop(2)
        await self.replica_set.host(2, incarnation=2)
        await until(lambda: one.live_ids() == ["host-1", "host-2"], 10)

    async def test_a_lagging_list_does_not_bring_a_leaving_host_back(self):
        one, two = await self.memberships(2)
        self.replica_set.put_on_list(2, 1, "leaving")
        await until(lambda: one.live_ids() == ["host-1"], 10)
        self.replica_set.put_on_list(2, 1, "live")
        await asyncio.sleep(10)
        self.assertEqual(one.live_ids(), ["host-1"])

    async def test_a_list_that_is_down_changes_nothing(self):
        one, two = await self.memberships(2)
        self.replica_set.list.down = True
        await asyncio.sleep(30)
        self.assertEqual(one.live_ids(), ["host-1", "host-2"])
        self.assertLess(one.heard_age(), 5)
        self.assertEqual(event_names(one.kernel).count("host_list_lost"), 1)
        self.replica_set.list.down = False
        await until(lambda: "host_list_back" in event_names(one.kernel), 5)

    async def test_a_target_that_leaves_is_known_until_its_next_incarnation(self):
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

    async def test_a_host_does_not_take_its_own_name_for_leaving(self):
        (one,) = await self.memberships(1)
        self.replica_set.put_on_list(1, 1, "leaving")
        await asyncio.sleep(5)
        self.assertEqual(one.live_ids(), ["host-1"])
        one.learn([Fact(FactKind.HOST, "host-1", 1, 1)])
        fact = one.views.get(FactKind.HOST, "host-1")
        self.assertEqual((fact.value % 2, fact.value < LEAVING), (0, True))

    async def test_what_is_gone_for_an_hour_is_forgotten_by_all(self):
        one, two = await self.memberships(2)
        gone = [
            Fact(FactKind.HOST, "host-9", 1, 1),
            Fact(FactKind.TARGET, "target-9", 1, LEAVING),
        ]
        one.learn(gone)
        await until(lambda: one.views.digest == two.views.digest, 15)
        self.assertIsNotNone(two.views.get(FactKind.HOST, "host-9"))
        await asyncio.sleep(3700)
        for each in (one, two):
            self.assertEqual(len(each.views.by_key), 2)
        one.learn(gone)
        await asyncio.sleep(30)
        for each in (one, two):
            self.assertEqual(len(each.views.by_key), 2)
        self.assertEqual(one.views.digest, two.views.digest)

    async def test_what_is_declared_is_kept_though_not_listed(self):
        (one,) = await self.memberships(1)
        mark = Fact(FactKind.ENGINE, "engine-9", 1, 2)
        one.learn([mark])
        one.keep(lambda: ["engine-9"])
        await asyncio.sleep(3700)
        self.assertEqual(one.views.get(*mark.key), mark)

    async def test_what_is_listed_again_is_heard_again(self):
        (one,) = await self.memberships(1)
        gone = Fact(FactKind.HOST, "host-9", 1, LEAVING)
        one.learn([gone])
        await asyncio.sleep(3700)
        self.assertEqual(one.learn([gone]), [])
        self.assertIsNone(one.views.get(FactKind.HOST, "host-9"))
        self.replica_set.put_on_list(9, 2)
        await asyncio.sleep(5)
        back = Fact(FactKind.HOST, "host-9", 2, 0)
        self.assertEqual(one.learn([back]), [back])

    async def test_offsets_reach_the_others(self):
        one, two = await self.memberships(2)
        other = configuration_of(two.kernel)
        await until(other.ready.is_set)
        await self.replica_set.log.append("config", [{"record": "version"}] * 3)
        await until(lambda: one.offset_of("host-2") == 2, 10)


class ListCostTest(HostTestCase):
    ENTRIES = 410 + 600
    CONTROL_BYTES_A_SECOND = 5_000

    async def asyncSetUp(self):
        self.replica_set = ReplicaSet()

    async def asyncTearDown(self):
        await self.replica_set.close()

    async def test_a_long_list_is_read_within_what_control_may_cost(self):
        kernel = await self.replica_set.host(1)
        membership = kernel.get(Membership)
        long_list = CountingList(self.ENTRIES)
        membership.use_list(long_list)
        await asyncio.sleep(5)
        before = long_list.bytes_read
        await asyncio.sleep(600)
        rate = (long_list.bytes_read - before) / 600
        self.assertGreater(long_list.bytes_read, before)
        self.assertLess(rate, self.CONTROL_BYTES_A_SECOND)


class CountingList(HostList):
    """A list of targets that counts the bytes of its answers."""

    def __init__(self, entries: int) -> None:
        self._entries = [
            HostEntry(id=f"engine-{n:04}", kind="target", ip="10.0.0.1", zone="z1")
            for n in range(entries)
        ]
        self.bytes_read = 0

    async def read(self) -> list[HostEntry]:
        self.bytes_read += sum(len(entry.model_dump_json()) for entry in self._entries)
        return self._entries


class ProgressTest(HostTestCase):
    async def asyncSetUp(self):
        self.replica_set = ReplicaSet()

    async def asyncTearDown(self):
        await self.replica_set.close()

    async def test_who_is_behind_follows_every_change(self):
        kernel = await self.replica_set.host(1)
        await self.replica_set.host(2)
        membership = kernel.get(Membership)
        await until(lambda: len(membership.live_ids()) == 2)
        offset = membership.offset_of("host-2") + 1
        self.assertEqual(membership.behind(offset), ["host-2"])
        membership.note_offset("host-2", 1, offset)
        self.assertEqual(membership.behind(offset), [])
        self.assertEqual(membership.behind(offset + 1), ["host-2"])
        membership.learn([Fact(FactKind.HOST, "host-2", 1, LEAVING)])
        self.assertEqual(membership.behind(offset + 1), [])
