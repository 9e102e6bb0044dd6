"""What a host knows of engines, and how much it asks them."""

import asyncio

from cranberryrun.exceptions import StreamLostError
from cranberryrun.ownership import Ownership
from cranberryrun.rendezvous import owner_of
from cranberryrun.views import EngineMark

from .rollouts import WORKLOAD, Rollouts, ScriptedEngine, entry
from .virtual import VirtualTimeTestCase


class EnginesTestCase(VirtualTimeTestCase):
    async def begin(self, **options) -> Rollouts:
        """Return one host and its engines."""
        return await self.enterAsyncContext(Rollouts(**options))


class PollTest(EnginesTestCase):
    async def test_a_host_polls_a_bounded_subset_and_what_it_owns(self):
        rollouts = await self.begin(engines=100, limits={"engines_watched": 10})
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

    async def test_polls_stay_within_their_rate(self):
        limits = {"engines_watched": 200, "engine_polls_per_second": 10}
        rollouts = await self.begin(engines=200, limits=limits)
        rollouts.engines.usable("rollout")
        await asyncio.sleep(30)
        before = sum(e.polls for e in rollouts.engine_by_name.values())
        for _ in range(60):
            rollouts.engines.usable("rollout")
            await asyncio.sleep(1)
        after = sum(e.polls for e in rollouts.engine_by_name.values())
        self.assertLessEqual(after - before, 10 * 60 + 10)

    async def test_an_idle_pool_is_asked_seldom_and_at_once_when_it_is_used(self):
        rollouts = await self.begin(engines=1)
        engine = rollouts.engine_by_name["engine-0"]
        await asyncio.sleep(20)
        engine.polls = 0
        await asyncio.sleep(60)
        self.assertLessEqual(engine.polls, 12)
        engine.run_version(4)
        rollouts.engines.usable("rollout")
        await asyncio.sleep(0.1)
        self.assertEqual(rollouts.engines.by_name["engine-0"].version_of(WORKLOAD), 4)

    async def test_a_step_may_have_more_engines_watched_for_a_while(self):
        rollouts = await self.begin(engines=40, limits={"engines_watched": 10})
        with rollouts.engines.reserve("rollout", 29.5):
            self.assertEqual(len(rollouts.engines.usable("rollout")), 30)
        self.assertEqual(len(rollouts.engines.usable("rollout")), 10)
        self.assertEqual(rollouts.engines.usable_count("rollout"), 40)


class DeclaredTest(EnginesTestCase):
    async def test_an_engine_declared_anew_keeps_its_count_of_streams(self):
        rollouts = await self.begin(engines=1)
        engine = rollouts.engines.by_name["engine-0"]
        engine.in_flight += 1
        scripted = rollouts.engine_by_name["engine-0"]
        await rollouts.declare_engine("engine-0", scripted, slots=9)
        engine.in_flight -= 1
        now = rollouts.engines.by_name["engine-0"]
        self.assertEqual((now.in_flight, now.spec.slots), (0, 9))

    async def test_another_url_is_another_engine(self):
        rollouts = await self.begin(engines=1)
        rollouts.run_version(3)
        await asyncio.sleep(6)
        rollouts.engine_by_name["engine-9"] = ScriptedEngine()
        first = rollouts.engine_by_name["engine-0"]
        await rollouts.declare_engine("engine-0", first, url="http://engine-9")
        self.assertIsNone(rollouts.engines.by_name["engine-0"].version_of(WORKLOAD))

    async def test_a_deleted_engine_is_polled_no_more(self):
        rollouts = await self.begin(engines=2)
        await rollouts.delete("engines", "engine-0")
        await asyncio.sleep(1)
        rollouts.engine_by_name["engine-0"].polls = 0
        await asyncio.sleep(30)
        self.assertEqual(rollouts.engine_by_name["engine-0"].polls, 0)
        self.assertEqual(len(rollouts.engines.usable("rollout")), 1)


class OutTest(EnginesTestCase):
    async def test_a_poll_does_not_bring_back_an_engine_that_was_taken_out(self):
        rollouts = await self.begin(engines=1)
        engine = rollouts.engines.by_name["engine-0"]
        rollouts.engines.take_out(engine, 30, StreamLostError("test"))
        await asyncio.sleep(29)
        self.assertEqual(rollouts.engines.usable("rollout"), [])
        await asyncio.sleep(2)
        self.assertEqual(rollouts.engines.usable("rollout"), [engine])

    async def test_the_owners_word_holds_until_the_engine_restarts(self):
        rollouts = await self.begin(engines=1)
        await asyncio.sleep(1)
        engines = rollouts.engines
        engine = engines.by_name["engine-0"]
        self.assertTrue(engines.declare(engine, EngineMark.OUT_OF_SERVICE))
        self.assertFalse(engines.declare(engine, EngineMark.OUT_OF_SERVICE))
        self.assertEqual(engines.usable("rollout"), [])
        rollouts.engine_by_name["engine-0"].crash()
        await asyncio.sleep(6)
        self.assertEqual(engines.usable("rollout"), [engine])

    async def test_marks_follow_each_other_in_any_order(self):
        rollouts = await self.begin(engines=1)
        engines = rollouts.engines
        engine = engines.by_name["engine-0"]
        marks = [
            *EngineMark,
            *reversed(EngineMark),
            EngineMark.OUT_OF_SERVICE,
            EngineMark.HEALTHY,
        ]
        for mark in marks:
            engines.declare(engine, mark)
            self.assertIs(engines.mark_of(engine), mark)

    async def test_a_stamp_tells_the_version_before_the_next_poll(self):
        rollouts = await self.begin(engines=1)
        rollouts.run_version(1)
        await asyncio.sleep(6)
        engine = rollouts.engines.by_name["engine-0"]
        engine.stamped(WORKLOAD, 2)
        self.assertEqual(engine.version_of(WORKLOAD), 2)
        await asyncio.sleep(6)
        self.assertEqual(engine.version_of(WORKLOAD), 1)


class OwnershipTest(VirtualTimeTestCase):
    def test_it_agrees_with_rendezvous_hashing_as_owners_come_and_go(self):
        keys = [f"engine/{n}" for n in range(200)]
        ownership = Ownership()
        for owners in (["a"], ["a", "b", "c"], ["b", "c"], ["c", "d", "a"], [], ["e"]):
            ownership.update(owners, keys)
            for key in keys:
                self.assertEqual(ownership.owner(key), owner_of(owners, key))
        ownership.update(["e"], keys[:1])
        self.assertIsNone(ownership.owner(keys[1]))
