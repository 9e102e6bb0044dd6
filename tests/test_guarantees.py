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
from fakes.history import VIEW_STALENESS_SECONDS, check_all
from fakes.simulation import Simulation

from .virtual import HostTestCase

HOSTS = ("host-1", "host-2", "host-3")
STEP_DEADLINE_SECONDS = 60.0
SETTLE_SECONDS = 3.0
TIMELINE_LINES = 200


class GuaranteesTest(HostTestCase):
    """Runs three hosts, brings a failure about and checks the whole history."""

    async def begin(self, **options: Any) -> Simulation:
        """Start three hosts with everything declared and version 1 loaded."""
        simulation = Simulation(**options)
        await self.enterAsyncContext(simulation)
        for name in HOSTS:
            await simulation.start_host(name)
        await simulation.wait_until_ready(*HOSTS)
        self.operator = Operator(simulation, "operator")
        await declare_all(simulation, self.operator)
        self.trainer = Trainer(simulation)
        self.caller = Caller(simulation, "caller")
        await self.trainer.announce(1)
        await asyncio.sleep(SETTLE_SECONDS)
        return simulation

    def check(self, simulation: Simulation) -> None:
        """Fail with the time line if a promise did not hold."""
        simulation.record_ground_truth()
        found = check_all(simulation.history)
        lines = [f"{each.guarantee}: {each.detail} ({each.at:.2f})" for each in found]
        if lines:
            self.fail("\n".join(lines + simulation.timeline()[-TIMELINE_LINES:]))

    def act_at(
        self, simulation: Simulation, fault_point: str, action: Any
    ) -> list[str]:
        """Do ``action`` when a host comes to a step; return the hosts it was."""
        host_names: list[str] = []

        def begin(host_name: str) -> None:
            host_names.append(host_name)
            action(host_name)

        simulation.arm(fault_point, begin)
        return host_names

    async def step(self, number: int, host: str | None = None) -> None:
        """Run one step to its end."""
        step = self.trainer.make_step(number)
        await self.trainer.run_step(step, STEP_DEADLINE_SECONDS, host)

    async def test_nothing_fails(self):
        simulation = await self.begin()
        calls = asyncio.create_task(self.caller.run(5))
        await self.step(1)
        await self.trainer.announce(2)
        await self.step(2)
        await calls
        self.check(simulation)

    async def test_an_engines_answer_comes_late_after_the_step_moved(self):
        simulation = await self.begin()
        late = 8.0
        stops: list[asyncio.Task[None]] = []

        def delay(host_name: str) -> None:
            for engine in simulation.engine_by_name:
                simulation.network.delay_by_link[frozenset((host_name, engine))] = late
            stops.append(asyncio.create_task(simulation.drain_host(host_name)))

        self.act_at(simulation, "stream", delay)
        await self.step(1, "host-1")
        await asyncio.gather(*stops)
        await asyncio.sleep(late + SETTLE_SECONDS)
        self.assertGreater(len(set(self.started_at(simulation))), 1)
        self.check(simulation)

    def started_at(self, simulation: Simulation) -> list[str]:
        """Return the hosts that a step started at, one for each call."""
        lines = [line.split() for line in simulation.timeline()]
        return [line[1] for line in lines if line[2] == "step_started"]

    async def test_two_hosts_run_one_step_at_once(self):
        simulation = await self.begin()
        for engine in simulation.engine_by_name.values():
            engine.change_faults({"slow": 60})
        self.act_at(
            simulation, "stream", lambda host_name: self.isolate(simulation, host_name)
        )
        running_step = asyncio.create_task(self.step(1, "host-1"))
        await asyncio.sleep(13)
        self.assertEqual(len(self.running_at(simulation)), 2)
        await asyncio.sleep(8)
        simulation.network.heal()
        await running_step
        await asyncio.sleep(25)
        self.check(simulation)

    def isolate(self, simulation: Simulation, host_name: str) -> None:
        """Cut a host from its peers and the trainer, but not from the engines."""
        for other in (*HOSTS, "trainer"):
            if other != host_name:
                simulation.network.partition(host_name, other)

    def running_at(self, simulation: Simulation) -> set[str]:
        """Return the hosts that run a step now."""
        return {
            name
            for name in simulation.running()
            if simulation.host_by_name[name].kernel.get(Steps).in_flight
        }

    async def test_a_call_is_cut_after_its_last_byte(self):
        simulation = await self.begin()
        host = "host-1"
        # What was sent before the cut arrives, and nothing after it.
        self.act_at(
            simulation,
            "acknowledge",
            lambda host_name: simulation.network.partition(host, "trainer"),
        )
        await self.step(1, host)
        simulation.network.heal()
        self.assertGreater(len(self.started_at(simulation)), 1)
        self.check(simulation)

    async def test_weights_are_announced_between_check_and_hand_over(self):
        simulation = await self.begin()
        announced: list[asyncio.Task[None]] = []

        def announce(host_name: str) -> None:
            kernel = simulation.host_by_name[host_name].kernel
            for version in (2, 3, 4):
                kernel.get(Versions).learn(WORKLOAD, version)
            other = Trainer(simulation, "announcer")
            announced.append(asyncio.create_task(other.announce(4, host_name)))

        self.act_at(simulation, "finish", announce)
        await self.step(1)
        await announced[0]
        oldest = [each.value["oldest"] for each in simulation.history.select("handed")]
        self.assertGreaterEqual(min(oldest), 3)
        self.check(simulation)

    async def test_each_group_is_judged_right_before_it_is_written(self):
        simulation = await self.begin()
        self.partition_from_peers_and_log(simulation, "host-1")
        await asyncio.sleep(VIEW_STALENESS_SECONDS + 0.5)
        running_step = asyncio.create_task(self.step(1, "host-1"))
        await asyncio.sleep(1)
        self.assertEqual(list(simulation.history.select("handed")), [])
        kernel = simulation.host_by_name["host-1"].kernel
        learnt = self.act_at(
            simulation,
            "hand_over",
            lambda host_name: kernel.get(Versions).learn(WORKLOAD, 4),
        )
        simulation.network.heal()
        await asyncio.sleep(2.5)
        self.assertEqual(learnt, ["host-1"])
        old = [
            each
            for each in simulation.history.select("handed")
            if each.value["oldest"] < 3
        ]
        self.assertEqual(len({each.id.split("/")[0] for each in old}), 1)
        await Trainer(simulation, "announcer").announce(4)
        await running_step
        self.check(simulation)

    async def test_a_sample_has_several_versions(self):
        simulation = await self.begin()
        for engine in simulation.engine_by_name.values():
            engine.change_faults({"slow": 10})
        simulation.arm(
            "stream",
            lambda host_name: asyncio.create_task(self.load_new_version(simulation)),
        )
        await self.step(1)
        mixed = [
            each
            for each in simulation.history.select("sample", "ok")
            if len(each.value["versions"]) > 1
        ]
        self.assertTrue(mixed)
        self.check(simulation)

    async def load_new_version(self, simulation: Simulation) -> None:
        """Have the engines load version 2 while they generate."""
        await Trainer(simulation, "announcer").announce(2)

    async def test_a_host_is_paused_past_a_weight_change_and_a_leave(self):
        simulation = await self.begin()
        calls = asyncio.create_task(self.caller.run(4))
        paused = self.act_at(simulation, "dispatch", simulation.pause_host)
        running_step = asyncio.create_task(self.step(1, "host-1"))
        await asyncio.sleep(1)
        held = [
            asyncio.create_task(self.caller.call(f"held-{n}", "GET", host="host-1"))
            for n in range(6)
        ]
        await asyncio.sleep(0.5)
        for version in (2, 3, 4):
            await Trainer(simulation, "announcer").announce(version, "host-2")
        simulation.set_leaving("portal-1")
        simulation.set_leaving("engine-1")
        await asyncio.sleep(25)
        simulation.resume_host("host-1")
        await asyncio.gather(running_step, calls, *held)
        await self.step(2, "host-1")
        await asyncio.sleep(SETTLE_SECONDS)
        self.assertEqual(paused, ["host-1"])
        self.check(simulation)

    async def test_a_keyed_call_comes_to_two_hosts_and_again_after_its_owner(self):
        simulation = await self.begin()
        owners = self.act_at(simulation, "answer", simulation.kill_host)
        calls = [
            self.caller.call("seat", key="key-seat", host=host)
            for host in ("host-1", "host-2")
        ]
        await asyncio.gather(*calls)
        self.assertEqual(len(owners), 1)
        await simulation.start_host("host-4")
        await self.caller.call_with_key("seat", hosts=2, limit=15)
        self.check(simulation)
        runs = [each for each in simulation.history.select("ran", "ok")]
        self.assertEqual(len(runs), 1)

    async def test_a_repeat_gets_the_outcome_of_the_first(self):
        simulation = await self.begin()
        self.assertEqual(await self.caller.call("seat", key="k", host="host-1"), "ok")
        self.assertEqual(await self.caller.call("seat", key="k", host="host-2"), "ok")
        self.check(simulation)
        self.assertEqual(len(list(simulation.history.select("ran", "ok"))), 1)

    async def test_a_refusal_is_compared_with_what_ran(self):
        simulation = await self.begin()
        for service in simulation.service_by_name.values():
            service.change_faults(
                {"refuse": 4, "refuse_after_run": 2, "drop_after_run": 2}
            )
        outcomes = []
        for n in range(20):
            token = f"t{n}"
            outcomes.append(await self.caller.call(token, "POST"))
            outcomes.append(await self.caller.call(token, "POST", key=f"k{n}"))
        self.check(simulation)
        for outcome in ("ok", "fail", "unknown"):
            self.assertIn(outcome, outcomes)

    async def test_a_forwarded_call_that_ran_is_not_called_refused(self):
        simulation = await self.begin()
        for number in range(12):
            token = f"seat-{number}"
            fault_point = self.act_at(
                simulation,
                "answer",
                lambda host_name: self.partition_from_peers_and_log(
                    simulation, host_name
                ),
            )
            await self.caller.call(token, key=f"key-{token}", host="host-1")
            simulation.network.heal()
            self.assertEqual(len(fault_point), 1)
        self.check(simulation)

    async def test_a_call_that_its_owner_may_run_later_is_not_called_refused(self):
        simulation = await self.begin()
        outcomes = []
        for number in range(8):
            token = f"seat-{number}"
            simulation.pause_host("host-2")
            simulation.log.change_faults({"refuse": 100})
            outcomes.append(
                await self.caller.call(token, key=f"key-{token}", host="host-1")
            )
            simulation.log.change_faults({"refuse": 0})
            simulation.resume_host("host-2")
            await asyncio.sleep(SETTLE_SECONDS)
        self.assertNotIn("ok", outcomes)
        self.check(simulation)
        # Some of the keys were the paused host's, and it ran their calls late.
        self.assertTrue(list(simulation.history.select("ran", "ok")))

    def partition_from_peers_and_log(
        self, simulation: Simulation, host_name: str
    ) -> None:
        """Cut a host from its peers and the log."""
        for other in (*HOSTS, "log"):
            if other != host_name:
                simulation.network.partition(host_name, other)

    async def test_a_put_whose_acknowledgement_is_lost_is_retried_elsewhere(self):
        simulation = await self.begin()
        lost: list[str] = []

        def lose(host_name: str) -> None:
            lost.append(host_name)
            simulation.log.change_faults({"lose_acks": 1})
            simulation.kill_host(host_name)

        simulation.arm("append", lose)
        spec = workload_spec(priority=7)
        outcome = await self.operator.put("workloads", WORKLOAD, spec, "host-1")
        self.assertEqual((lost, outcome), (["host-1"], "ok"))
        await asyncio.sleep(SETTLE_SECONDS)
        self.check(simulation)

    async def test_a_put_that_was_appended_counts_once(self):
        simulation = await self.begin()
        simulation.log.change_faults({"lose_acks": 1})
        self.act_at(simulation, "read_back", simulation.kill_host)
        spec = workload_spec(priority=7)
        outcome = await self.operator.put("workloads", WORKLOAD, spec, "host-1")
        self.assertEqual(outcome, "ok")
        state = simulation.host_by_name["host-2"].kernel.get(Configuration).state
        self.assertEqual(state.generation("workloads", WORKLOAD), 2)
        self.check(simulation)

    async def test_a_change_that_two_hosts_append_counts_once(self):
        simulation = await self.begin()
        spec = workload_spec(priority=7)
        outcomes = await asyncio.gather(
            *[
                self.operator.put_once(host, "workloads", WORKLOAD, spec, 1, "twice")
                for host in ("host-1", "host-2")
            ]
        )
        self.assertEqual(outcomes, ["ok", "ok"])
        self.assertEqual(
            sum(
                row[1].get("change_id") == "twice"
                for row in simulation.appended_records
            ),
            2,
        )
        state = simulation.host_by_name["host-3"].kernel.get(Configuration).state
        self.assertEqual(state.generation("workloads", WORKLOAD), 2)
        self.check(simulation)

    async def test_a_host_starts_alone_past_the_retention(self):
        simulation = await self.begin(retention=30.0)
        await asyncio.sleep(60)
        for name in HOSTS:
            simulation.kill_host(name)
        await asyncio.sleep(SETTLE_SECONDS)
        await simulation.start_host("host-4")
        await simulation.wait_until_ready("host-4")
        state = simulation.host_by_name["host-4"].kernel.get(Configuration).state
        self.assertEqual(len(state.list("engines")), 3)
        await self.step(1)
        self.check(simulation)

    async def test_all_hosts_are_replaced_past_the_retention(self):
        simulation = await self.begin(retention=30.0)
        await self.operator.put("workloads", WORKLOAD, workload_spec(priority=5))
        for n in range(3):
            await asyncio.sleep(20)
            await simulation.start_host(f"host-{n + 4}")
            await simulation.wait_until_ready(f"host-{n + 4}")
            await simulation.drain_host(HOSTS[n])
        await asyncio.sleep(40)
        await simulation.start_host("host-7")
        await simulation.wait_until_ready("host-7")
        for name in simulation.running():
            state = simulation.host_by_name[name].kernel.get(Configuration).state
            self.assertEqual(state.get("workloads", WORKLOAD).spec.priority, 5)
            self.assertEqual(len(state.list("engines")), 3)
        await self.step(1)
        self.check(simulation)

    async def test_hosts_start_from_a_peer_in_an_outage(self):
        simulation = await self.begin()
        simulation.log.change_faults({"down": True})
        await simulation.start_host("host-4")
        await simulation.wait_until_ready("host-4")
        await simulation.drain_host("host-1")
        await self.step(1, "host-4")
        self.check(simulation)

    async def test_a_stop_in_an_outage_cuts_nothing(self):
        simulation = await self.begin()
        for service in simulation.service_by_name.values():
            service.change_faults({"slow": 4.0})
        calls = asyncio.create_task(self.caller.run(6))
        running_step = asyncio.create_task(self.step(1, "host-1"))
        await asyncio.sleep(0.2)
        simulation.log.change_faults({"down": True})
        simulation.list.change_faults({"down": True})
        await simulation.drain_host("host-1")
        simulation.log.change_faults({"down": False})
        await asyncio.gather(calls, running_step)
        self.check(simulation)

    async def test_operators_race_and_one_wins_everywhere(self):
        simulation = await self.begin()
        puts = [
            Operator(simulation, f"rival-{n}").put(
                "workloads", WORKLOAD, workload_spec(priority=n), host, expected=1
            )
            for n, host in enumerate(HOSTS)
        ]
        outcomes = await asyncio.gather(*puts)
        self.assertEqual(sorted(outcomes), ["conflict", "conflict", "ok"])
        await asyncio.sleep(SETTLE_SECONDS)
        priorities = {
            simulation.host_by_name[name]
            .kernel.get(Configuration)
            .state.get("workloads", WORKLOAD)
            .spec.priority
            for name in HOSTS
        }
        self.assertEqual(priorities, {outcomes.index("ok")})
        self.check(simulation)

    async def test_a_host_that_hears_nobody_hands_nothing_over(self):
        simulation = await self.begin()
        step = self.trainer.make_step(1, groups=6, samples=4)
        for engine in simulation.engine_by_name.values():
            engine.change_faults({"slow": 10})
        running = asyncio.create_task(
            self.trainer.run_step(step, STEP_DEADLINE_SECONDS, "host-1")
        )
        await asyncio.sleep(0.5)
        self.partition_from_peers_and_log(simulation, "host-1")
        announced_at = clock.now()
        for version in (2, 3, 4):
            await Trainer(simulation, "announcer").announce(version, "host-2")
        await asyncio.sleep(15)
        simulation.network.heal()
        for engine in simulation.engine_by_name.values():
            engine.change_faults({"slow": 1})
        await running
        self.assert_not_handed_after(
            simulation, "host-1", announced_at + VIEW_STALENESS_SECONDS
        )
        self.check(simulation)

    def assert_not_handed_after(
        self, simulation: Simulation, host: str, at: float
    ) -> None:
        """Fail if ``host`` handed over samples made by versions below 3 later on."""
        late = [
            each
            for each in simulation.history.select("handed")
            if each.host == host and each.value["oldest"] < 3 and each.at > at
        ]
        self.assertEqual(late, [])

    async def test_a_version_of_an_outage_counts_once_the_log_is_back(self):
        simulation = await self.begin()
        step = self.trainer.make_step(1, groups=6, samples=4)
        for engine in simulation.engine_by_name.values():
            engine.change_faults({"slow": 20})
        running = asyncio.create_task(
            self.trainer.run_step(step, STEP_DEADLINE_SECONDS, "host-1")
        )
        await asyncio.sleep(0.5)
        simulation.log.change_faults({"down": True})
        simulation.network.partition("host-1", "host-2")
        simulation.network.partition("host-1", "host-3")
        for version in (2, 3, 4):
            await Trainer(simulation, "announcer").announce(version, "host-2")
        announced_at = clock.now()
        await asyncio.sleep(15)
        simulation.log.change_faults({"down": False})
        await asyncio.sleep(6)
        for engine in simulation.engine_by_name.values():
            engine.change_faults({"slow": 1})
        await running
        self.assert_not_handed_after(
            simulation, "host-1", announced_at + VIEW_STALENESS_SECONDS
        )
        self.check(simulation)

    async def test_any_host_brings_a_version_to_the_log_in_the_end(self):
        simulation = await self.begin()
        owner = owner_of(HOSTS, f"version/{WORKLOAD}")
        other = next(name for name in HOSTS if name != owner)
        simulation.network.partition(owner, "log")
        await Trainer(simulation, "announcer").announce(2, owner)
        await asyncio.sleep(SETTLE_SECONDS + VIEW_STALENESS_SECONDS)
        state = simulation.host_by_name[other].kernel.get(Configuration).state
        self.assertEqual(state.version_by_workload[WORKLOAD], 2)
        self.check(simulation)

    async def test_a_step_leaves_a_host_that_hears_nobody(self):
        simulation = await self.begin()
        for engine in simulation.engine_by_name.values():
            engine.change_faults({"slow": 60})
        step = self.trainer.make_step(1)
        fault_point = self.act_at(
            simulation,
            "dispatch",
            lambda host_name: self.partition_from_control_plane(simulation, host_name),
        )
        await self.trainer.run_step(step, 45.0, "host-1")
        self.assertEqual(fault_point, ["host-1"])
        self.assertIn("host-1", self.started_at(simulation))
        self.check(simulation)

    def partition_from_control_plane(
        self, simulation: Simulation, host_name: str
    ) -> None:
        """Cut a host from its peers, the log and the host list."""
        self.partition_from_peers_and_log(simulation, host_name)
        simulation.network.partition(host_name, "list")

    async def test_a_host_that_hears_nobody_sends_a_leaving_target_nothing(self):
        simulation = await self.begin()
        self.partition_from_control_plane(simulation, "host-1")
        for name in ("portal-1", "portal-2", "engine-1", "engine-2"):
            simulation.set_leaving(name)
        await asyncio.sleep(8)
        outcomes = [
            await self.caller.call(f"t{n}", "POST", host="host-1") for n in range(9)
        ]
        await self.step(1, "host-1")
        self.assertIn("fail", outcomes)
        self.check(simulation)
