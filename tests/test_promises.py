"""The failures that each promise is meant for, one test each.

Every test runs real hosts over fakes on the virtual clock, brings its failure
about, asserts that it came about, and has every checker judge the history.
"""

import asyncio
from typing import Any

from cranberryrun import clock
from cranberryrun.configuration import Configuration
from cranberryrun.rendezvous import owner_of
from cranberryrun.steps import Steps
from cranberryrun.versions import Versions
from fakes.clients import (
    WORKLOAD,
    Caller,
    Operator,
    Trainer,
    declare_all,
    workload_spec,
)
from fakes.history import VIEW_SECONDS, check_all
from fakes.world import World

from .virtual import HostTestCase

HOSTS = ("host-1", "host-2", "host-3")
STEP_SECONDS = 60.0
SETTLE_SECONDS = 3.0
TIMELINE_LINES = 200


class PromisesTest(HostTestCase):
    """Runs three hosts, brings a failure about and checks the whole history."""

    async def begin(self, **options: Any) -> World:
        """Start three hosts with everything declared and version 1 loaded."""
        world = World(**options)
        await self.enterAsyncContext(world)
        for name in HOSTS:
            await world.start_host(name)
        await world.until_ready(*HOSTS)
        self.operator = Operator(world, "operator")
        await declare_all(world, self.operator)
        self.trainer = Trainer(world)
        self.caller = Caller(world, "caller")
        await self.trainer.announce(1)
        await asyncio.sleep(SETTLE_SECONDS)
        return world

    def check(self, world: World) -> None:
        """Fail with the time line if a promise did not hold."""
        world.note_truth()
        found = check_all(world.history)
        lines = [f"{each.promise}: {each.detail} ({each.at:.2f})" for each in found]
        if lines:
            self.fail("\n".join(lines + world.timeline()[-TIMELINE_LINES:]))

    def fire(self, world: World, point: str, action: Any) -> list[str]:
        """Do ``action`` when a host comes to a step; return the hosts it was."""
        places: list[str] = []

        def begin(place: str) -> None:
            places.append(place)
            action(place)

        world.arm(point, begin)
        return places

    async def step(self, number: int, host: str | None = None) -> None:
        """Run one step to its end."""
        step = self.trainer.make_step(number)
        await self.trainer.run_step(step, STEP_SECONDS, host)

    async def test_nothing_fails(self):
        world = await self.begin()
        calls = asyncio.create_task(self.caller.run(5))
        await self.step(1)
        await self.trainer.announce(2)
        await self.step(2)
        await calls
        self.check(world)

    async def test_an_engines_answer_comes_late_after_the_step_moved(self):
        world = await self.begin()
        late = 8.0
        stops: list[asyncio.Task[None]] = []

        def delay(place: str) -> None:
            for engine in world.engine_by_name:
                world.network.delay_by_link[frozenset((place, engine))] = late
            stops.append(asyncio.create_task(world.drain_host(place)))

        self.fire(world, "stream", delay)
        await self.step(1, "host-1")
        await asyncio.gather(*stops)
        await asyncio.sleep(late + SETTLE_SECONDS)
        self.assertGreater(len(set(self.started_at(world))), 1)
        self.check(world)

    def started_at(self, world: World) -> list[str]:
        """Return the hosts that a step started at, one for each call."""
        lines = [line.split() for line in world.timeline()]
        return [line[1] for line in lines if line[2] == "step_started"]

    async def test_two_hosts_run_one_step_at_once(self):
        world = await self.begin()
        for engine in world.engine_by_name.values():
            engine.change_faults({"slow": 60})
        self.fire(world, "stream", lambda place: self.isolate(world, place))
        stepping = asyncio.create_task(self.step(1, "host-1"))
        await asyncio.sleep(13)
        self.assertEqual(len(self.running_at(world)), 2)
        await asyncio.sleep(8)
        world.network.mend()
        await stepping
        await asyncio.sleep(25)
        self.check(world)

    def isolate(self, world: World, place: str) -> None:
        """Cut a host from its peers and the trainer, but not from the engines."""
        for other in (*HOSTS, "trainer"):
            if other != place:
                world.network.cut(place, other)

    def running_at(self, world: World) -> set[str]:
        """Return the hosts that run a step now."""
        return {
            name
            for name in world.running()
            if world.host_by_name[name].kernel.get(Steps).in_flight
        }

    async def test_a_call_is_cut_after_its_last_byte(self):
        world = await self.begin()
        host = "host-1"
        # What was sent before the cut arrives, and nothing after it.
        self.fire(
            world, "acknowledge", lambda place: world.network.cut(host, "trainer")
        )
        await self.step(1, host)
        world.network.mend()
        self.assertGreater(len(self.started_at(world)), 1)
        self.check(world)

    async def test_weights_are_announced_between_check_and_hand_over(self):
        world = await self.begin()
        announced: list[asyncio.Task[None]] = []

        def announce(place: str) -> None:
            kernel = world.host_by_name[place].kernel
            for version in (2, 3, 4):
                kernel.get(Versions).learn(WORKLOAD, version)
            other = Trainer(world, "announcer")
            announced.append(asyncio.create_task(other.announce(4, place)))

        self.fire(world, "finish", announce)
        await self.step(1)
        await announced[0]
        oldest = [each.value["oldest"] for each in world.history.of("handed")]
        self.assertGreaterEqual(min(oldest), 3)
        self.check(world)

    async def test_each_group_is_judged_right_before_it_is_written(self):
        world = await self.begin()
        self.part(world, "host-1")
        await asyncio.sleep(VIEW_SECONDS + 0.5)
        stepping = asyncio.create_task(self.step(1, "host-1"))
        await asyncio.sleep(1)
        self.assertEqual(list(world.history.of("handed")), [])
        kernel = world.host_by_name["host-1"].kernel
        learnt = self.fire(
            world, "hand_over", lambda place: kernel.get(Versions).learn(WORKLOAD, 4)
        )
        world.network.mend()
        await asyncio.sleep(2.5)
        self.assertEqual(learnt, ["host-1"])
        old = [each for each in world.history.of("handed") if each.value["oldest"] < 3]
        self.assertEqual(len({each.id.split("/")[0] for each in old}), 1)
        await Trainer(world, "announcer").announce(4)
        await stepping
        self.check(world)

    async def test_a_sample_has_several_versions(self):
        world = await self.begin()
        for engine in world.engine_by_name.values():
            engine.change_faults({"slow": 10})
        world.arm("stream", lambda place: asyncio.create_task(self.swap(world)))
        await self.step(1)
        mixed = [
            each
            for each in world.history.of("sample", "ok")
            if len(each.value["versions"]) > 1
        ]
        self.assertTrue(mixed)
        self.check(world)

    async def swap(self, world: World) -> None:
        """Have the engines load version 2 while they generate."""
        await Trainer(world, "announcer").announce(2)

    async def test_a_host_is_paused_past_a_weight_change_and_a_leave(self):
        world = await self.begin()
        calls = asyncio.create_task(self.caller.run(4))
        paused = self.fire(world, "dispatch", world.pause_host)
        stepping = asyncio.create_task(self.step(1, "host-1"))
        await asyncio.sleep(1)
        held = [
            asyncio.create_task(self.caller.call(f"held-{n}", "GET", host="host-1"))
            for n in range(6)
        ]
        await asyncio.sleep(0.5)
        for version in (2, 3, 4):
            await Trainer(world, "announcer").announce(version, "host-2")
        world.leave("portal-1")
        world.leave("engine-1")
        await asyncio.sleep(25)
        world.resume_host("host-1")
        await asyncio.gather(stepping, calls, *held)
        await self.step(2, "host-1")
        await asyncio.sleep(SETTLE_SECONDS)
        self.assertEqual(paused, ["host-1"])
        self.check(world)

    async def test_a_keyed_call_comes_to_two_hosts_and_again_after_its_owner(self):
        world = await self.begin()
        owners = self.fire(world, "answer", world.kill_host)
        calls = [
            self.caller.call("seat", key="key-seat", host=host)
            for host in ("host-1", "host-2")
        ]
        await asyncio.gather(*calls)
        self.assertEqual(len(owners), 1)
        await world.start_host("host-4")
        await self.caller.keyed("seat", hosts=2, limit=15)
        self.check(world)
        runs = [each for each in world.history.of("ran", "ok")]
        self.assertEqual(len(runs), 1)

    async def test_a_repeat_gets_the_outcome_of_the_first(self):
        world = await self.begin()
        self.assertEqual(await self.caller.call("seat", key="k", host="host-1"), "ok")
        self.assertEqual(await self.caller.call("seat", key="k", host="host-2"), "ok")
        self.check(world)
        self.assertEqual(len(list(world.history.of("ran", "ok"))), 1)

    async def test_a_refusal_is_compared_with_what_ran(self):
        world = await self.begin()
        for service in world.service_by_name.values():
            service.change_faults(
                {"refuse": 4, "refuse_after_run": 2, "drop_after_run": 2}
            )
        outcomes = []
        for n in range(20):
            token = f"t{n}"
            outcomes.append(await self.caller.call(token, "POST"))
            outcomes.append(await self.caller.call(token, "POST", key=f"k{n}"))
        self.check(world)
        for outcome in ("ok", "fail", "unknown"):
            self.assertIn(outcome, outcomes)

    async def test_a_forwarded_call_that_ran_is_not_called_refused(self):
        world = await self.begin()
        for number in range(12):
            token = f"seat-{number}"
            point = self.fire(world, "answer", lambda place: self.part(world, place))
            await self.caller.call(token, key=f"key-{token}", host="host-1")
            world.network.mend()
            self.assertEqual(len(point), 1)
        self.check(world)

    async def test_a_call_that_its_owner_may_run_later_is_not_called_refused(self):
        world = await self.begin()
        outcomes = []
        for number in range(8):
            token = f"seat-{number}"
            world.pause_host("host-2")
            world.log.change_faults({"refuse": 100})
            outcomes.append(
                await self.caller.call(token, key=f"key-{token}", host="host-1")
            )
            world.log.change_faults({"refuse": 0})
            world.resume_host("host-2")
            await asyncio.sleep(SETTLE_SECONDS)
        self.assertNotIn("ok", outcomes)
        self.check(world)
        # Some of the keys were the paused host's, and it ran their calls late.
        self.assertTrue(list(world.history.of("ran", "ok")))

    def part(self, world: World, place: str) -> None:
        """Cut a host from its peers and the log."""
        for other in (*HOSTS, "log"):
            if other != place:
                world.network.cut(place, other)

    async def test_a_put_whose_acknowledgement_is_lost_is_retried_elsewhere(self):
        world = await self.begin()
        lost: list[str] = []

        def lose(place: str) -> None:
            lost.append(place)
            world.log.change_faults({"lose_acks": 1})
            world.kill_host(place)

        world.arm("append", lose)
        spec = workload_spec(priority=7)
        outcome = await self.operator.put("workloads", WORKLOAD, spec, "host-1")
        self.assertEqual((lost, outcome), (["host-1"], "ok"))
        await asyncio.sleep(SETTLE_SECONDS)
        self.check(world)

    async def test_a_put_that_was_appended_counts_once(self):
        world = await self.begin()
        world.log.change_faults({"lose_acks": 1})
        self.fire(world, "read_back", world.kill_host)
        spec = workload_spec(priority=7)
        outcome = await self.operator.put("workloads", WORKLOAD, spec, "host-1")
        self.assertEqual(outcome, "ok")
        state = world.host_by_name["host-2"].kernel.get(Configuration).state
        self.assertEqual(state.generation("workloads", WORKLOAD), 2)
        self.check(world)

    async def test_a_change_that_two_hosts_append_counts_once(self):
        world = await self.begin()
        spec = workload_spec(priority=7)
        outcomes = await asyncio.gather(
            *[
                self.operator.put_once(host, "workloads", WORKLOAD, spec, 1, "twice")
                for host in ("host-1", "host-2")
            ]
        )
        self.assertEqual(outcomes, ["ok", "ok"])
        self.assertEqual(
            sum(row[1].get("change_id") == "twice" for row in world.appended), 2
        )
        state = world.host_by_name["host-3"].kernel.get(Configuration).state
        self.assertEqual(state.generation("workloads", WORKLOAD), 2)
        self.check(world)

    async def test_a_host_starts_alone_past_the_retention(self):
        world = await self.begin(retention=30.0)
        await asyncio.sleep(60)
        for name in HOSTS:
            world.kill_host(name)
        await asyncio.sleep(SETTLE_SECONDS)
        await world.start_host("host-4")
        await world.until_ready("host-4")
        state = world.host_by_name["host-4"].kernel.get(Configuration).state
        self.assertEqual(len(state.list("engines")), 3)
        await self.step(1)
        self.check(world)

    async def test_all_hosts_are_replaced_past_the_retention(self):
        world = await self.begin(retention=30.0)
        await self.operator.put("workloads", WORKLOAD, workload_spec(priority=5))
        for n in range(3):
            await asyncio.sleep(20)
            await world.start_host(f"host-{n + 4}")
            await world.until_ready(f"host-{n + 4}")
            await world.drain_host(HOSTS[n])
        await asyncio.sleep(40)
        await world.start_host("host-7")
        await world.until_ready("host-7")
        for name in world.running():
            state = world.host_by_name[name].kernel.get(Configuration).state
            self.assertEqual(state.get("workloads", WORKLOAD).spec.priority, 5)
            self.assertEqual(len(state.list("engines")), 3)
        await self.step(1)
        self.check(world)

    async def test_hosts_start_from_a_peer_in_an_outage(self):
        world = await self.begin()
        world.log.change_faults({"down": True})
        await world.start_host("host-4")
        await world.until_ready("host-4")
        await world.drain_host("host-1")
        await self.step(1, "host-4")
        self.check(world)

    async def test_a_stop_in_an_outage_cuts_nothing(self):
        world = await self.begin()
        for service in world.service_by_name.values():
            service.change_faults({"slow": 4.0})
        calls = asyncio.create_task(self.caller.run(6))
        stepping = asyncio.create_task(self.step(1, "host-1"))
        await asyncio.sleep(0.2)
        world.log.change_faults({"down": True})
        world.list.change_faults({"down": True})
        await world.drain_host("host-1")
        world.log.change_faults({"down": False})
        await asyncio.gather(calls, stepping)
        self.check(world)

    async def test_operators_race_and_one_wins_everywhere(self):
        world = await self.begin()
        puts = [
            Operator(world, f"rival-{n}").put(
                "workloads", WORKLOAD, workload_spec(priority=n), host, expected=1
            )
            for n, host in enumerate(HOSTS)
        ]
        outcomes = await asyncio.gather(*puts)
        self.assertEqual(sorted(outcomes), ["conflict", "conflict", "ok"])
        await asyncio.sleep(SETTLE_SECONDS)
        priorities = {
            world.host_by_name[name]
            .kernel.get(Configuration)
            .state.get("workloads", WORKLOAD)
            .spec.priority
            for name in HOSTS
        }
        self.assertEqual(priorities, {outcomes.index("ok")})
        self.check(world)

    async def test_a_host_that_hears_nobody_hands_nothing_over(self):
        world = await self.begin()
        step = self.trainer.make_step(1, groups=6, samples=4)
        for engine in world.engine_by_name.values():
            engine.change_faults({"slow": 10})
        running = asyncio.create_task(
            self.trainer.run_step(step, STEP_SECONDS, "host-1")
        )
        await asyncio.sleep(0.5)
        self.part(world, "host-1")
        began = clock.now()
        for version in (2, 3, 4):
            await Trainer(world, "announcer").announce(version, "host-2")
        await asyncio.sleep(15)
        world.network.mend()
        for engine in world.engine_by_name.values():
            engine.change_faults({"slow": 1})
        await running
        self.assert_not_handed_after(world, "host-1", began + VIEW_SECONDS)
        self.check(world)

    def assert_not_handed_after(self, world: World, host: str, at: float) -> None:
        """Fail if ``host`` handed over samples made by versions below 3 later on."""
        late = [
            each
            for each in world.history.of("handed")
            if each.host == host and each.value["oldest"] < 3 and each.at > at
        ]
        self.assertEqual(late, [])

    async def test_a_version_of_an_outage_counts_once_the_log_is_back(self):
        world = await self.begin()
        step = self.trainer.make_step(1, groups=6, samples=4)
        for engine in world.engine_by_name.values():
            engine.change_faults({"slow": 20})
        running = asyncio.create_task(
            self.trainer.run_step(step, STEP_SECONDS, "host-1")
        )
        await asyncio.sleep(0.5)
        world.log.change_faults({"down": True})
        world.network.cut("host-1", "host-2")
        world.network.cut("host-1", "host-3")
        for version in (2, 3, 4):
            await Trainer(world, "announcer").announce(version, "host-2")
        began = clock.now()
        await asyncio.sleep(15)
        world.log.change_faults({"down": False})
        await asyncio.sleep(6)
        for engine in world.engine_by_name.values():
            engine.change_faults({"slow": 1})
        await running
        self.assert_not_handed_after(world, "host-1", began + VIEW_SECONDS)
        self.check(world)

    async def test_any_host_brings_a_version_to_the_log_in_the_end(self):
        world = await self.begin()
        owner = owner_of(HOSTS, f"version/{WORKLOAD}")
        other = next(name for name in HOSTS if name != owner)
        world.network.cut(owner, "log")
        await Trainer(world, "announcer").announce(2, owner)
        await asyncio.sleep(SETTLE_SECONDS + VIEW_SECONDS)
        state = world.host_by_name[other].kernel.get(Configuration).state
        self.assertEqual(state.version_by_workload[WORKLOAD], 2)
        self.check(world)

    async def test_a_step_leaves_a_host_that_hears_nobody(self):
        world = await self.begin()
        for engine in world.engine_by_name.values():
            engine.change_faults({"slow": 60})
        step = self.trainer.make_step(1)
        point = self.fire(world, "dispatch", lambda place: self.cut_off(world, place))
        await self.trainer.run_step(step, 45.0, "host-1")
        self.assertEqual(point, ["host-1"])
        self.assertIn("host-1", self.started_at(world))
        self.check(world)

    def cut_off(self, world: World, place: str) -> None:
        """Cut a host from its peers, the log and the host list."""
        self.part(world, place)
        world.network.cut(place, "list")

    async def test_a_host_that_hears_nobody_sends_a_leaving_target_nothing(self):
        world = await self.begin()
        self.cut_off(world, "host-1")
        for name in ("portal-1", "portal-2", "engine-1", "engine-2"):
            world.leave(name)
        await asyncio.sleep(8)
        outcomes = [
            await self.caller.call(f"t{n}", "POST", host="host-1") for n in range(9)
        ]
        await self.step(1, "host-1")
        self.assertIn("fail", outcomes)
        self.check(world)
