"""Tests of engine polling, declarations, cooldowns and ownership."""

import asyncio

from cranberryrun.exceptions import StreamLostError
from cranberryrun.ownership import Ownership
from cranberryrun.rendezvous import owner_of
from cranberryrun.views import EngineMark

from .rollouts import WORKLOAD, Rollouts, ScriptedEngine, entry
from .virtual import VirtualTimeTestCase


class EnginesTestCase(VirtualTimeTestCase):
    async def start_rollouts(self, **options) -> Rollouts:
        """Return the services of one host with scripted engines."""
        return await self.enterAsyncContext(Rollouts(**options))


class PollTest(EnginesTestCase):
    async def test_a_host_polls_a_bounded_subset_and_owned_engines(self):
        rollouts = await self.start_rollouts(
            engines=100, limits={"engines_watched": 10}
        )
        rollouts.hosts.entries += [entry(f"host-{n}") for n in range(2, 12)]
        await asyncio.sleep(5)
        for engine in rollouts.engine_by_name.values():
            engine.polls = 0
        await asyncio.sleep(60)
        polled = [n for n, e in rollouts.engine_by_name.items() if e.polls]
        owned = rollouts.engines.owned()
        self.assertTrue(set(owned) <= set(polled))
        self.assertLessEqual(len(polled), 10 + len(owned))
        self.assertEqual(len(rollouts.engines.usable("rollout")), 10)

    async def test_polls_stay_within_the_rate_limit(self):
        limits = {"engines_watched": 200, "engine_polls_per_second": 10}
        rollouts = await self.start_rollouts(engines=200, limits=limits)
        rollouts.engines.usable("rollout")
        await asyncio.sleep(30)
        polls_before = sum(e.polls for e in rollouts.engine_by_name.values())
        for _ in range(60):
            rollouts.engines.usable("rollout")
            await asyncio.sleep(1)
        polls_after = sum(e.polls for e in rollouts.engine_by_name.values())
        self.assertLessEqual(polls_after - polls_before, 10 * 60 + 10)

    async def test_an_idle_pool_is_polled_rarely_and_at_once_when_it_is_used(self):
        rollouts = await self.start_rollouts(engines=1)
        engine = rollouts.engine_by_name["engine-0"]
        await asyncio.sleep(20)
        engine.polls = 0
        await asyncio.sleep(60)
        self.assertLessEqual(engine.polls, 12)
        engine.run_version(4)
        rollouts.engines.usable("rollout")
        await asyncio.sleep(0.1)
        self.assertEqual(rollouts.engines.by_name["engine-0"].version_of(WORKLOAD), 4)

    async def test_the_subset_is_wider_during_a_widen_subset_block(self):
        rollouts = await self.start_rollouts(engines=40, limits={"engines_watched": 10})
        with rollouts.engines.widen_subset("rollout", 29.5):
            self.assertEqual(len(rollouts.engines.usable("rollout")), 30)
        self.assertEqual(len(rollouts.engines.usable("rollout")), 10)
        self.assertEqual(rollouts.engines.usable_count("rollout"), 40)


class DeclarationTest(EnginesTestCase):
    async def test_a_changed_declaration_keeps_the_count_of_streams_in_flight(self):
        rollouts = await self.start_rollouts(engines=1)
        engine = rollouts.engines.by_name["engine-0"]
        engine.in_flight += 1
        scripted = rollouts.engine_by_name["engine-0"]
        await rollouts.declare_engine("engine-0", scripted, slots=9)
        engine.in_flight -= 1
        changed = rollouts.engines.by_name["engine-0"]
        self.assertEqual((changed.in_flight, changed.spec.slots), (0, 9))

    async def test_reports_are_dropped_when_the_url_changes(self):
        rollouts = await self.start_rollouts(engines=1)
        rollouts.run_version(3)
        await asyncio.sleep(6)
        rollouts.engine_by_name["engine-9"] = ScriptedEngine()
        first = rollouts.engine_by_name["engine-0"]
        await rollouts.declare_engine("engine-0", first, url="http://engine-9")
        self.assertIsNone(rollouts.engines.by_name["engine-0"].version_of(WORKLOAD))

    async def test_a_deleted_engine_is_no_longer_polled(self):
        rollouts = await self.start_rollouts(engines=2)
        await rollouts.delete("engines", "engine-0")
        await asyncio.sleep(1)
        rollouts.engine_by_name["engine-0"].polls = 0
        await asyncio.sleep(30)
        self.assertEqual(rollouts.engine_by_name["engine-0"].polls, 0)
        self.assertEqual(len(rollouts.engines.usable("rollout")), 1)


class OutOfServiceTest(EnginesTestCase):
    async def test_a_successful_poll_does_not_end_a_cooldown(self):
        rollouts = await self.start_rollouts(engines=1)
        engine = rollouts.engines.by_name["engine-0"]
        rollouts.engines.start_cooldown(engine, 30, StreamLostError("test"))
        await asyncio.sleep(29)
        self.assertEqual(rollouts.engines.usable("rollout"), [])
        await asyncio.sleep(2)
        self.assertEqual(rollouts.engines.usable("rollout"), [engine])

    async def test_the_owners_mark_applies_until_the_engine_restarts(self):
        rollouts = await self.start_rollouts(engines=1)
        await asyncio.sleep(1)
        engines = rollouts.engines
        engine = engines.by_name["engine-0"]
        self.assertTrue(engines.publish_mark(engine, EngineMark.OUT_OF_SERVICE))
        self.assertFalse(engines.publish_mark(engine, EngineMark.OUT_OF_SERVICE))
        self.assertEqual(engines.usable("rollout"), [])
        rollouts.engine_by_name["engine-0"].crash()
        await asyncio.sleep(6)
        self.assertEqual(engines.usable("rollout"), [engine])

    async def test_any_mark_can_follow_any_other(self):
        rollouts = await self.start_rollouts(engines=1)
        engines = rollouts.engines
        engine = engines.by_name["engine-0"]
        marks = [
            *EngineMark,
            *reversed(EngineMark),
            EngineMark.OUT_OF_SERVICE,
            EngineMark.HEALTHY,
        ]
        for mark in marks:
            engines.publish_mark(engine, mark)
            self.assertIs(engines.mark_of(engine), mark)

    async def test_a_streamed_version_applies_until_the_next_poll(self):
        rollouts = await self.start_rollouts(engines=1)
        rollouts.run_version(1)
        await asyncio.sleep(6)
        engine = rollouts.engines.by_name["engine-0"]
        engine.record_version(WORKLOAD, 2)
        self.assertEqual(engine.version_of(WORKLOAD), 2)
        await asyncio.sleep(6)
        self.assertEqual(engine.version_of(WORKLOAD), 1)


class OwnershipTest(VirtualTimeTestCase):
    def test_owners_match_rendezvous_hashing_when_owners_change(self):
        keys = [f"engine/{n}" for n in range(200)]
        ownership = Ownership()
        for owners in (["a"], ["a", "b", "c"], ["b", "c"], ["c", "d", "a"], [], ["e"]):
            ownership.update(owners, keys)
            for key in keys:
                self.assertEqual(ownership.owner(key), owner_of(owners, key))
        ownership.update(["e"], keys[:1])
        self.assertIsNone(ownership.owner(keys[1]))
