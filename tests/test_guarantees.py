"""Failures that the guarantees must survive, one test each.

Every test runs real hosts over fakes on the virtual clock, injects its failure,
asserts that it occurred, and runs every checker over the history.
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


class GuaranteesTestCase(HostTestCase):
    """Runs three hosts and checks the whole history."""

    async def begin(self, **options: Any) -> Simulation:
        """Start three hosts, declare all resources and announce version 1."""
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
        """Fail with the end of the timeline if a guarantee did not hold."""
        simulation.record_ground_truth()
        violations = check_all(simulation.history)
        lines = [
            f"{each.guarantee}: {each.detail} ({each.at:.2f})" for each in violations
        ]
        if lines:
            self.fail("\n".join(lines + simulation.timeline()[-TIMELINE_LINES:]))

    def run_at_fault_point(
        self, simulation: Simulation, fault_point: str, action: Any
    ) -> list[str]:
        """Call ``action`` when a host first reaches a fault point.

        :returns: a list that receives the name of that host.
        """
        host_names: list[str] = []

        def run_action(host_name: str) -> None:
            host_names.append(host_name)
            action(host_name)

        simulation.arm(fault_point, run_action)
        return host_names

    async def step(self, number: int, host: str | None = None) -> None:
        """Run one step until it is done."""
        step = self.trainer.make_step(number)
        await self.trainer.run_step(step, STEP_DEADLINE_SECONDS, host)


class GuaranteesTest(GuaranteesTestCase):
    """Injects a failure and checks the whole history."""

    async def test_guarantees_hold_without_faults(self):
        simulation = await self.begin()
        calls = asyncio.create_task(self.caller.run(5))
        await self.step(1)
        await self.trainer.announce(2)
        await self.step(2)
        await calls
        self.check(simulation)

    async def test_guarantees_hold_when_engine_answers_arrive_after_the_step_moved(
        self,
    ):
        simulation = await self.begin()
        delay_seconds = 8.0
        drains: list[asyncio.Task[None]] = []

        def delay(host_name: str) -> None:
            for engine in simulation.engine_by_name:
                simulation.network.delay_by_link[frozenset((host_name, engine))] = (
                    delay_seconds
                )
            drains.append(asyncio.create_task(simulation.drain_host(host_name)))

        self.run_at_fault_point(simulation, "stream", delay)
        await self.step(1, "host-1")
        await asyncio.gather(*drains)
        await asyncio.sleep(delay_seconds + SETTLE_SECONDS)
        self.assertGreater(len(set(self.step_start_hosts(simulation))), 1)
        self.check(simulation)

    def step_start_hosts(self, simulation: Simulation) -> list[str]:
        """Return the host of each started run of a step, in order."""
        lines = [line.split() for line in simulation.timeline()]
        return [line[1] for line in lines if line[2] == "step_started"]

    async def test_guarantees_hold_when_two_hosts_run_the_same_step(self):
        simulation = await self.begin()
        for engine in simulation.engine_by_name.values():
            engine.change_faults({"slow": 60})
        self.run_at_fault_point(
            simulation,
            "stream",
            lambda host_name: self.partition_from_peers_and_trainer(
                simulation, host_name
            ),
        )
        running_step = asyncio.create_task(self.step(1, "host-1"))
        await asyncio.sleep(13)
        self.assertEqual(len(self.hosts_running_a_step(simulation)), 2)
        await asyncio.sleep(8)
        simulation.network.heal()
        await running_step
        await asyncio.sleep(25)
        self.check(simulation)

    def partition_from_peers_and_trainer(
        self, simulation: Simulation, host_name: str
    ) -> None:
        """Partition a host from its peers and the trainer, but not from engines."""
        for other in (*HOSTS, "trainer"):
            if other != host_name:
                simulation.network.partition(host_name, other)

    def hosts_running_a_step(self, simulation: Simulation) -> set[str]:
        """Return the hosts that run a step at present."""
        return {
            name
            for name in simulation.running()
            if simulation.host_by_name[name].kernel.get(Steps).in_flight
        }

    async def test_step_is_requested_again_when_the_connection_breaks_after_a_group(
        self,
    ):
        simulation = await self.begin()
        host = "host-1"
        # Events sent before the partition still arrive, later ones do not.
        self.run_at_fault_point(
            simulation,
            "acknowledge",
            lambda host_name: simulation.network.partition(host, "trainer"),
        )
        await self.step(1, host)
        simulation.network.heal()
        self.assertGreater(len(self.step_start_hosts(simulation)), 1)
        self.check(simulation)

    async def test_samples_are_fresh_when_versions_are_announced_before_hand_over(self):
        simulation = await self.begin()
        announcements: list[asyncio.Task[None]] = []

        def announce(host_name: str) -> None:
            kernel = simulation.host_by_name[host_name].kernel
            for version in (2, 3, 4):
                kernel.get(Versions).learn(WORKLOAD, version)
            other = Trainer(simulation, "announcer")
            announcements.append(asyncio.create_task(other.announce(4, host_name)))

        self.run_at_fault_point(simulation, "finish", announce)
        await self.step(1)
        await announcements[0]
        oldest = [each.value["oldest"] for each in simulation.history.select("handed")]
        self.assertGreaterEqual(min(oldest), 3)
        self.check(simulation)

    async def test_freshness_of_each_group_is_checked_right_before_hand_over(self):
        simulation = await self.begin()
        self.partition_from_peers_and_log(simulation, "host-1")
        await asyncio.sleep(VIEW_STALENESS_SECONDS + 0.5)
        running_step = asyncio.create_task(self.step(1, "host-1"))
        await asyncio.sleep(1)
        self.assertEqual(list(simulation.history.select("handed")), [])
        kernel = simulation.host_by_name["host-1"].kernel
        hosts = self.run_at_fault_point(
            simulation,
            "hand_over",
            lambda host_name: kernel.get(Versions).learn(WORKLOAD, 4),
        )
        simulation.network.heal()
        await asyncio.sleep(2.5)
        self.assertEqual(hosts, ["host-1"])
        stale = [
            each
            for each in simulation.history.select("handed")
            if each.value["oldest"] < 3
        ]
        self.assertEqual(len({each.id.split("/")[0] for each in stale}), 1)
        await Trainer(simulation, "announcer").announce(4)
        await running_step
        self.check(simulation)

    async def test_sample_names_all_its_versions_when_engines_load_meanwhile(self):
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
        """Announce version 2, so that engines load it while they generate."""
        await Trainer(simulation, "announcer").announce(2)

    async def test_guarantees_hold_when_host_pauses_over_version_change_and_leave(
        self,
    ):
        simulation = await self.begin()
        calls = asyncio.create_task(self.caller.run(4))
        paused_hosts = self.run_at_fault_point(
            simulation, "dispatch", simulation.pause_host
        )
        running_step = asyncio.create_task(self.step(1, "host-1"))
        await asyncio.sleep(1)
        pending_calls = [
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
        await asyncio.gather(running_step, calls, *pending_calls)
        await self.step(2, "host-1")
        await asyncio.sleep(SETTLE_SECONDS)
        self.assertEqual(paused_hosts, ["host-1"])
        self.check(simulation)

    async def test_keyed_call_runs_once_when_its_owner_dies_and_it_is_repeated(self):
        simulation = await self.begin()
        owners = self.run_at_fault_point(simulation, "answer", simulation.kill_host)
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

    async def test_repeated_keyed_call_gets_the_first_outcome(self):
        simulation = await self.begin()
        self.assertEqual(await self.caller.call("seat", key="k", host="host-1"), "ok")
        self.assertEqual(await self.caller.call("seat", key="k", host="host-2"), "ok")
        self.check(simulation)
        self.assertEqual(len(list(simulation.history.select("ran", "ok"))), 1)

    async def test_refused_calls_did_not_run(self):
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

    async def test_forwarded_call_is_not_reported_as_refused_when_it_ran(self):
        simulation = await self.begin()
        for number in range(12):
            token = f"seat-{number}"
            hosts = self.run_at_fault_point(
                simulation,
                "answer",
                lambda host_name: self.partition_from_peers_and_log(
                    simulation, host_name
                ),
            )
            await self.caller.call(token, key=f"key-{token}", host="host-1")
            simulation.network.heal()
            self.assertEqual(len(hosts), 1)
        self.check(simulation)

    async def test_call_is_not_reported_as_refused_when_its_owner_may_run_it_later(
        self,
    ):
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
        # The paused host owned some of the keys and ran their calls after the pause.
        self.assertTrue(list(simulation.history.select("ran", "ok")))

    def partition_from_peers_and_log(
        self, simulation: Simulation, host_name: str
    ) -> None:
        """Partition a host from its peers and the log."""
        for other in (*HOSTS, "log"):
            if other != host_name:
                simulation.network.partition(host_name, other)

    async def test_put_is_retried_at_another_host_when_its_acknowledgement_is_lost(
        self,
    ):
        simulation = await self.begin()
        hosts: list[str] = []

        def lose_acknowledgement(host_name: str) -> None:
            hosts.append(host_name)
            simulation.log.change_faults({"lose_acks": 1})
            simulation.kill_host(host_name)

        simulation.arm("append", lose_acknowledgement)
        spec = workload_spec(priority=7)
        outcome = await self.operator.put("workloads", WORKLOAD, spec, "host-1")
        self.assertEqual((hosts, outcome), (["host-1"], "ok"))
        await asyncio.sleep(SETTLE_SECONDS)
        self.check(simulation)

    async def test_put_is_applied_once_when_its_host_dies_after_the_append(self):
        simulation = await self.begin()
        simulation.log.change_faults({"lose_acks": 1})
        self.run_at_fault_point(simulation, "read_back", simulation.kill_host)
        spec = workload_spec(priority=7)
        outcome = await self.operator.put("workloads", WORKLOAD, spec, "host-1")
        self.assertEqual(outcome, "ok")
        state = simulation.host_by_name["host-2"].kernel.get(Configuration).state
        self.assertEqual(state.generation("workloads", WORKLOAD), 2)
        self.check(simulation)

    async def test_change_is_applied_once_when_two_hosts_append_it(self):
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

    async def test_configuration_survives_when_all_hosts_die_after_the_retention(self):
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

    async def test_configuration_survives_when_all_hosts_are_replaced(self):
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

    async def test_host_starts_from_a_peer_during_a_log_outage(self):
        simulation = await self.begin()
        simulation.log.change_faults({"down": True})
        await simulation.start_host("host-4")
        await simulation.wait_until_ready("host-4")
        await simulation.drain_host("host-1")
        await self.step(1, "host-4")
        self.check(simulation)

    async def test_drain_breaks_no_request_during_an_outage(self):
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

    async def test_one_of_several_concurrent_changes_is_applied_at_all_hosts(self):
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

    async def test_partitioned_host_hands_over_no_stale_samples(self):
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
        self.assert_no_stale_hand_over(
            simulation, "host-1", announced_at + VIEW_STALENESS_SECONDS
        )
        self.check(simulation)

    def assert_no_stale_hand_over(
        self, simulation: Simulation, host: str, at: float
    ) -> None:
        """Fail if ``host`` handed over samples of a version below 3 after ``at``."""
        stale = [
            each
            for each in simulation.history.select("handed")
            if each.host == host and each.value["oldest"] < 3 and each.at > at
        ]
        self.assertEqual(stale, [])

    async def test_version_announced_during_an_outage_counts_after_log_recovery(self):
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
        self.assert_no_stale_hand_over(
            simulation, "host-1", announced_at + VIEW_STALENESS_SECONDS
        )
        self.check(simulation)

    async def test_version_reaches_the_log_when_its_owner_is_partitioned_from_it(self):
        simulation = await self.begin()
        owner = owner_of(HOSTS, f"version/{WORKLOAD}")
        other = next(name for name in HOSTS if name != owner)
        simulation.network.partition(owner, "log")
        await Trainer(simulation, "announcer").announce(2, owner)
        await asyncio.sleep(SETTLE_SECONDS + VIEW_STALENESS_SECONDS)
        state = simulation.host_by_name[other].kernel.get(Configuration).state
        self.assertEqual(state.version_by_workload[WORKLOAD], 2)
        self.check(simulation)

    async def test_step_moves_when_its_host_is_isolated(self):
        simulation = await self.begin()
        for engine in simulation.engine_by_name.values():
            engine.change_faults({"slow": 60})
        step = self.trainer.make_step(1)
        hosts = self.run_at_fault_point(
            simulation,
            "dispatch",
            lambda host_name: self.isolate(simulation, host_name),
        )
        await self.trainer.run_step(step, 45.0, "host-1")
        self.assertEqual(hosts, ["host-1"])
        self.assertIn("host-1", self.step_start_hosts(simulation))
        self.check(simulation)

    def isolate(self, simulation: Simulation, host_name: str) -> None:
        """Partition a host from its peers, the log and the host list."""
        self.partition_from_peers_and_log(simulation, host_name)
        simulation.network.partition(host_name, "list")

    async def test_isolated_host_sends_no_work_to_leaving_targets(self):
        simulation = await self.begin()
        self.isolate(simulation, "host-1")
        for name in ("portal-1", "portal-2", "engine-1", "engine-2"):
            simulation.set_leaving(name)
        await asyncio.sleep(8)
        outcomes = [
            await self.caller.call(f"t{n}", "POST", host="host-1") for n in range(9)
        ]
        await self.step(1, "host-1")
        self.assertIn("fail", outcomes)
        self.check(simulation)
