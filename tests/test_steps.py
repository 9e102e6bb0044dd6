"""Tests of steps: each sample is handed over once and fresh, despite faults."""

import asyncio
from collections import Counter

from cranberryrun.budgets import DeclaredRate, LentRate
from cranberryrun.exceptions import NotReadyError
from cranberryrun.step_policies import StepPolicies
from cranberryrun.stragglers import NoSecondAttempts
from cranberryrun.views import Fact, FactKind

from .rollouts import WORKLOAD, Rollouts, ScriptedEngine, Trainer, entry, request
from .virtual import VirtualTimeTestCase

POOL_SPEC = {"pool": "rollout", "freshness_bound": 1, "rate": 100}


class StepTestCase(VirtualTimeTestCase):
    async def start_rollouts(self, **options) -> Rollouts:
        """Return one host whose engines run version 1."""
        rollouts = await self.enterAsyncContext(Rollouts(**options))
        rollouts.run_version(1)
        await asyncio.sleep(6)
        return rollouts

    def start_step(self, rollouts, trainer, number=1, **fields) -> asyncio.Task:
        """Start a step and return the task of its call."""
        workload = rollouts.configuration.state.get("workloads", WORKLOAD)
        run = rollouts.steps.run(workload, number, request(**fields), trainer.send)
        return asyncio.create_task(run)

    def assert_done(self, trainer, groups, samples):
        """Check that the step is done and each slot was handed over once."""
        self.assertEqual(trainer.events[-1].event, "done")
        slots = [(f"g{g}", i) for g in range(groups) for i in range(samples)]
        self.assertEqual(sorted(trainer.slots), sorted(slots))


class HandOverTest(StepTestCase):
    async def test_every_slot_is_handed_over_once_in_complete_groups(self):
        rollouts = await self.start_rollouts()
        trainer = Trainer()
        await self.start_step(rollouts, trainer, groups=5, samples=4)
        self.assert_done(trainer, 5, 4)
        for event in trainer.of("group"):
            self.assertEqual(len(event.samples), 4)
        self.assertEqual(len(rollouts.generated()), 20)

    async def test_received_slots_are_not_generated_again(self):
        rollouts = await self.start_rollouts()
        trainer = Trainer()
        received = [("g0", 0), ("g0", 1), ("g1", 1)]
        await self.start_step(rollouts, trainer, received=received)
        self.assertEqual(trainer.slots, [("g1", 0)])

    async def test_step_is_done_at_once_when_all_samples_were_received(self):
        rollouts = await self.start_rollouts()
        trainer = Trainer()
        received = [(f"g{g}", i) for g in range(2) for i in range(2)]
        await self.start_step(rollouts, trainer, received=received)
        self.assertEqual([event.event for event in trainer.events], ["done"])

    async def test_each_sample_has_the_text_of_its_slot(self):
        rollouts = await self.start_rollouts()
        trainer = Trainer()
        await self.start_step(rollouts, trainer, groups=3, samples=3)
        for sample in trainer.samples:
            seed = int(sample.group[1:]) * 3 + sample.index
            text = "".join(f"{seed}.{seq} " for seq in range(5))
            self.assertEqual(sample.text, text)

    async def test_checkpoint_rate_is_bounded_in_a_step_of_1024_samples(self):
        rollouts = await self.start_rollouts(engines=8, slots=32)
        trainer = Trainer()
        await self.start_step(rollouts, trainer, groups=64, samples=16)
        self.assert_done(trainer, 64, 16)
        placements = sum(len(event.placements) for event in trainer.of("checkpoint"))
        self.assertLess(placements, 128 * (trainer.at[-1] - trainer.at[0]) + 1024)


class WorkspaceTest(StepTestCase):
    async def test_engines_get_the_workspace_of_a_step(self):
        # Engines that account by workspace would count the step to none.
        rollouts = await self.start_rollouts()
        workload = rollouts.configuration.state.get("workloads", WORKLOAD)
        await rollouts.steps.run(workload, 1, request(), Trainer().send, "red")
        await self.start_step(rollouts, Trainer(), number=2)
        told = {order.workspace for order in rollouts.generated()}
        self.assertEqual(told, {"red", None})


class TrainerTest(StepTestCase):
    async def test_generation_continues_when_the_trainer_reads_slowly(self):
        rollouts = await self.start_rollouts()
        trainer = Trainer(read_seconds=20)
        await self.start_step(rollouts, trainer, groups=6, samples=4)
        self.assert_done(trainer, 6, 4)
        # 24 samples of 5 s each in 8 slots: the last are dispatched after 10 s.
        last = rollouts.event_times("sample_dispatched")[-1]
        self.assertLess(last, trainer.at[0] + 15)

    async def test_stale_samples_are_regenerated_when_the_trainer_reads_slowly(self):
        rollouts = await self.start_rollouts()
        trainer = Trainer(read_seconds=30)
        task = self.start_step(rollouts, trainer, groups=4, samples=2)
        await asyncio.sleep(20)
        rollouts.run_version(3)
        await task
        self.assert_done(trainer, 4, 2)
        late_samples = [
            sample
            for event, at in zip(trainer.events, trainer.at)
            if event.event == "group" and at > 30
            for sample in event.samples
        ]
        self.assertGreater(len(late_samples), 0)
        self.assertTrue(
            all(span.version >= 2 for s in late_samples for span in s.versions)
        )

    async def test_connection_ends_at_the_deadline_when_the_trainer_never_reads(self):
        rollouts = await self.start_rollouts()
        trainer = Trainer(read_seconds=10_000)
        task = self.start_step(rollouts, trainer, deadline_seconds=30)
        with self.assertRaises(ConnectionResetError):
            await asyncio.wait_for(task, 60)

    async def test_streams_are_cancelled_after_linger_when_the_trainer_is_gone(self):
        rollouts = await self.start_rollouts()
        for engine in rollouts.engine_by_name.values():
            engine.piece_seconds = 100
        trainer = Trainer()
        task = self.start_step(rollouts, trainer)
        await asyncio.sleep(2)
        checkpointed = {p.stream for p in trainer.of("checkpoint")[-1].placements}
        trainer.disconnected = True
        with self.assertRaises(ConnectionResetError):
            await task
        cancelled = [engine.cancelled for engine in rollouts.engine_by_name.values()]
        self.assertEqual(sum(cancelled, []), [])
        await asyncio.sleep(rollouts.settings.timing.stream_linger + 1)
        self.assertEqual(set(sum(cancelled, [])), checkpointed)

    async def test_streams_are_kept_when_another_host_runs_the_step(self):
        rollouts = await self.start_rollouts()
        for engine in rollouts.engine_by_name.values():
            engine.piece_seconds = 100
        trainer = Trainer()
        task = self.start_step(rollouts, trainer)
        await asyncio.sleep(2)
        later = Fact(FactKind.STEP, f"{WORKLOAD}/1", 2**60, 0)
        rollouts.membership.learn([later])
        await task
        problem = trainer.events[-1].problem
        self.assertEqual(problem["code"], "step_superseded")
        self.assertNotIn("not_run", problem)
        await asyncio.sleep(rollouts.settings.timing.stream_linger + 1)
        for engine in rollouts.engine_by_name.values():
            self.assertEqual(engine.cancelled, [])

    async def test_streams_in_no_checkpoint_are_cancelled_at_once(self):
        rollouts = await self.start_rollouts()
        trainer = Trainer()
        trainer.disconnected = True
        with self.assertRaises(ConnectionResetError):
            await self.start_step(rollouts, trainer)
        await asyncio.sleep(0.1)
        for engine in rollouts.engine_by_name.values():
            self.assertEqual(engine.running, 0)


class EndTest(StepTestCase):
    async def test_step_fails_without_not_run_when_the_deadline_passes(self):
        rollouts = await self.start_rollouts()
        for engine in rollouts.engine_by_name.values():
            engine.piece_seconds = 100
        trainer = Trainer()
        await self.start_step(rollouts, trainer, deadline_seconds=10)
        failed = trainer.events[-1]
        self.assertEqual(failed.problem["code"], "step_deadline")
        self.assertNotIn("not_run", failed.problem)
        self.assertEqual(len(failed.placements), 4)

    async def test_step_fails_and_streams_end_when_the_workload_is_deleted(self):
        rollouts = await self.start_rollouts()
        trainer = Trainer()
        task = self.start_step(rollouts, trainer)
        await asyncio.sleep(2)
        await rollouts.delete("workloads", WORKLOAD)
        await task
        self.assertEqual(trainer.events[-1].problem["code"], "workload_gone")
        await asyncio.sleep(0.1)
        for engine in rollouts.engine_by_name.values():
            self.assertEqual(engine.running, 0)

    async def test_step_moves_with_all_placements_when_the_host_stops(self):
        rollouts = await self.start_rollouts()
        rollouts.engine_by_name["engine-0"].length = {0: 2}
        rollouts.engine_by_name["engine-1"].length = {0: 2}
        trainer = Trainer()
        task = self.start_step(rollouts, trainer)
        await asyncio.sleep(3)
        rollouts.steps.move_all()
        await task
        moved = trainer.events[-1]
        self.assertEqual(moved.event, "moved")
        # The sample of slot g0/0 is complete and waits for its group; its placement
        # is sent as well.
        self.assertEqual(len(moved.placements), 4)
        with self.assertRaises(NotReadyError):
            rollouts.steps.resolve_workload(WORKLOAD)

    async def test_next_call_resumes_all_streams_after_a_move(self):
        rollouts = await self.start_rollouts()
        first = Trainer()
        task = self.start_step(rollouts, first)
        await asyncio.sleep(3)
        rollouts.steps.move_all()
        await task
        rollouts.steps._draining = False
        second = Trainer()
        checkpoint = first.events[-1].placements
        await self.start_step(rollouts, second, checkpoint=checkpoint)
        self.assert_done(second, 2, 2)
        self.assertEqual(len(rollouts.generated()), 4)
        self.assertEqual(rollouts.engines.usage.take()[WORKLOAD].tokens, 4 * 50)

    async def test_stream_is_not_resumed_when_it_belongs_to_another_slot(self):
        rollouts = await self.start_rollouts()
        first = Trainer()
        task = self.start_step(rollouts, first, groups=1)
        await asyncio.sleep(3)
        task.cancel()
        placements = [
            placement.model_dump()
            for placement in first.of("checkpoint")[-1].placements
        ]
        placements[0]["stream"], placements[1]["stream"] = (
            placements[1]["stream"],
            placements[0]["stream"],
        )
        second = Trainer()
        await self.start_step(rollouts, second, groups=1, checkpoint=placements)
        self.assert_done(second, 1, 2)
        self.assertEqual(rollouts.events("sample_resumed"), [])

    async def test_stream_is_not_resumed_when_the_prompt_differs(self):
        rollouts = await self.start_rollouts()
        first = Trainer()
        task = self.start_step(rollouts, first, groups=1)
        await asyncio.sleep(3)
        task.cancel()
        body = request(groups=1, checkpoint=first.of("checkpoint")[-1].placements)
        body.groups[0].prompt = "another"
        workload = rollouts.configuration.state.get("workloads", WORKLOAD)
        await rollouts.steps.run(workload, 1, body, Trainer().send)
        self.assertEqual(rollouts.events("sample_resumed"), [])

    async def test_later_call_supersedes_the_run_in_its_checkpoint(self):
        rollouts = await self.start_rollouts()
        first = Trainer()
        task = self.start_step(rollouts, first)
        await asyncio.sleep(2)
        placements = first.of("checkpoint")[-1].placements
        rollouts.membership.views.forget((FactKind.STEP, f"{WORKLOAD}/1"))
        second = Trainer()
        await self.start_step(rollouts, second, checkpoint=placements)
        await task
        self.assertEqual(first.events[-1].problem["code"], "step_superseded")
        self.assert_done(second, 2, 2)


class FreshnessTest(StepTestCase):
    async def test_sample_is_cancelled_and_regenerated_when_it_becomes_stale(self):
        rollouts = await self.start_rollouts()
        rollouts.engine_by_name["engine-0"].length = {0: 100}
        rollouts.engine_by_name["engine-1"].length = {0: 100}
        trainer = Trainer()
        task = self.start_step(rollouts, trainer)
        await asyncio.sleep(3)
        rollouts.run_version(3)
        await asyncio.sleep(1)
        cancelled = [e.cancelled for e in rollouts.engine_by_name.values()]
        self.assertEqual(len(sum(cancelled, [])), 4)
        await task
        self.assert_done(trainer, 2, 2)
        for sample in trainer.samples:
            self.assertGreaterEqual(min(s.version for s in sample.versions), 2)

    async def test_samples_are_withheld_while_the_view_is_out_of_date(self):
        rollouts = await self.start_rollouts()
        trainer = Trainer()
        task = self.start_step(rollouts, trainer)
        rollouts.configuration.age = 10
        await asyncio.sleep(20)
        self.assertEqual(trainer.samples, [])
        self.assertEqual(len(rollouts.events("hand_over_held")), 2)
        rollouts.versions.learn(WORKLOAD, 3)
        rollouts.run_version(3)
        rollouts.configuration.age = 0
        await task
        self.assert_done(trainer, 2, 2)
        for sample in trainer.samples:
            self.assertGreaterEqual(min(s.version for s in sample.versions), 2)

    async def test_steps_move_and_new_ones_are_refused_when_the_host_is_cut_off(self):
        rollouts = await self.start_rollouts()
        trainer = Trainer()
        task = self.start_step(rollouts, trainer)
        await asyncio.sleep(1)
        rollouts.hosts.entries.append(entry("host-2", "zone-b"))
        await asyncio.sleep(1)
        rollouts.configuration.age = 60
        await asyncio.wait_for(task, 30)
        self.assertEqual(trainer.events[-1].event, "moved")
        self.assertEqual(trainer.samples, [])
        with self.assertRaises(NotReadyError):
            rollouts.steps.resolve_workload(WORKLOAD)

    async def test_changed_freshness_bound_applies_to_a_running_step(self):
        rollouts = await self.start_rollouts()
        trainer = Trainer()
        task = self.start_step(rollouts, trainer)
        await asyncio.sleep(2)
        rollouts.run_version(2)
        await rollouts.put("workloads", WORKLOAD, **POOL_SPEC | {"freshness_bound": 0})
        await task
        self.assert_done(trainer, 2, 2)
        for sample in trainer.samples:
            self.assertEqual([span.version for span in sample.versions], [2])

    async def test_engine_is_not_chosen_when_its_version_is_too_old(self):
        rollouts = await self.start_rollouts()
        rollouts.versions.learn(WORKLOAD, 3)
        rollouts.engine_by_name["engine-1"].run_version(3)
        await asyncio.sleep(6)
        trainer = Trainer()
        await self.start_step(rollouts, trainer, version=3)
        self.assertEqual(rollouts.engine_by_name["engine-0"].generated, [])

    async def test_engine_with_old_weights_is_used_only_when_idle_time_counts(self):
        used = {}
        for weight in (0.0, 1.0):
            rollouts = await self.start_rollouts()
            await self.start_step(rollouts, Trainer(), number=0)
            for engine in rollouts.engine_by_name.values():
                engine.generated.clear()
            spec = POOL_SPEC | {"idle_weight": weight}
            await rollouts.put("workloads", WORKLOAD, **spec)
            rollouts.versions.learn(WORKLOAD, 2)
            rollouts.engine_by_name["engine-1"].run_version(2)
            await asyncio.sleep(6)
            await self.start_step(rollouts, Trainer(), version=2, samples=4)
            used[weight] = len(rollouts.engine_by_name["engine-0"].generated)
        self.assertEqual(used[0.0], 0)
        self.assertGreater(used[1.0], 0)

    async def test_older_version_within_the_bound_is_used_after_the_wait(self):
        rollouts = await self.start_rollouts()
        await rollouts.put("workloads", WORKLOAD, **POOL_SPEC | {"idle_weight": 0})
        rollouts.versions.learn(WORKLOAD, 2)
        trainer = Trainer()
        await self.start_step(rollouts, trainer, version=2)
        self.assert_done(trainer, 2, 2)


class EngineFaultTest(StepTestCase):
    async def test_samples_are_regenerated_when_their_engine_crashes(self):
        rollouts = await self.start_rollouts()
        trainer = Trainer()
        task = self.start_step(rollouts, trainer, groups=4, samples=2)
        await asyncio.sleep(2)
        rollouts.engine_by_name["engine-0"].crash()
        await task
        self.assert_done(trainer, 4, 2)

    async def test_engine_is_avoided_when_its_pieces_have_no_version(self):
        rollouts = await self.start_rollouts()
        rollouts.engine_by_name["engine-0"].unstamped = True
        trainer = Trainer()
        await self.start_step(rollouts, trainer, groups=4, samples=2)
        self.assert_done(trainer, 4, 2)
        self.assertEqual({s.engine for s in trainer.samples}, {"engine-1"})
        cooldowns = rollouts.events("engine_out")
        self.assertEqual([event["error"] for event in cooldowns], ["stream_unstamped"])
        self.assertLessEqual(len(rollouts.engine_by_name["engine-0"].generated), 4)

    async def test_engine_added_during_a_step_is_used(self):
        rollouts = await self.start_rollouts(engines=1, slots=2)
        trainer = Trainer()
        task = self.start_step(rollouts, trainer, groups=6, samples=2)
        await asyncio.sleep(2)
        added = ScriptedEngine(2)
        added.run_version(1)
        await rollouts.declare_engine("engine-9", added)
        await task
        self.assert_done(trainer, 6, 2)
        self.assertGreater(len(added.generated), 0)

    async def test_engine_removed_during_a_step_gets_no_new_streams(self):
        rollouts = await self.start_rollouts()
        trainer = Trainer()
        task = self.start_step(rollouts, trainer, groups=6, samples=2)
        await asyncio.sleep(2)
        started_count = len(rollouts.engine_by_name["engine-0"].generated)
        await rollouts.delete("engines", "engine-0")
        await task
        self.assert_done(trainer, 6, 2)
        self.assertEqual(
            len(rollouts.engine_by_name["engine-0"].generated), started_count
        )
        self.assertEqual(rollouts.engine_by_name["engine-0"].cancelled, [])


class StragglerTest(StepTestCase):
    async def run_slow_step(self, **options):
        """Run a step in which engine-0 slows down after 4 s; return its duration."""
        rollouts = await self.start_rollouts(engines=3, **options)
        trainer = Trainer()
        started_at = self.now()
        task = self.start_step(rollouts, trainer, groups=8, samples=4)
        await asyncio.sleep(4)
        rollouts.engine_by_name["engine-0"].piece_seconds = 60
        await task
        self.assert_done(trainer, 8, 4)
        return rollouts, self.now() - started_at

    async def test_second_attempts_end_a_step_sooner(self):
        _, baseline_seconds = await self.run_slow_step(
            policies=StepPolicies(stragglers=NoSecondAttempts())
        )
        rollouts, second_attempt_seconds = await self.run_slow_step()
        self.assertLess(second_attempt_seconds, baseline_seconds / 2)
        self.assertGreater(len(rollouts.events("second_attempt")), 0)

    async def test_only_streams_without_a_used_sample_are_cancelled(self):
        rollouts, _ = await self.run_slow_step()
        await asyncio.sleep(1)
        completions_by_slot = Counter(
            tuple(event["slot"]) for event in rollouts.events("sample_whole")
        )
        self.assertEqual(set(completions_by_slot.values()), {1})
        used_streams = {event["stream"] for event in rollouts.events("sample_whole")}
        for engine in rollouts.engine_by_name.values():
            self.assertFalse(used_streams & set(engine.cancelled))
            self.assertEqual(engine.running, 0)
            self.assertEqual(rollouts.engines.by_name["engine-0"].in_flight, 0)


class BudgetTest(StepTestCase):
    DECLARED = StepPolicies(budget=DeclaredRate())

    async def test_step_uses_the_declared_rate_and_no_more(self):
        rollouts = await self.start_rollouts(engines=4, slots=4, policies=self.DECLARED)
        await rollouts.put("workloads", WORKLOAD, **POOL_SPEC | {"rate": 1.5})
        peak = await self._peak_in_flight(rollouts, 1)
        self.assertEqual(peak, 6)

    async def test_two_steps_of_one_workload_share_its_rate(self):
        rollouts = await self.start_rollouts(engines=4, slots=4, policies=self.DECLARED)
        await rollouts.put("workloads", WORKLOAD, **POOL_SPEC | {"rate": 2})
        peak = await self._peak_in_flight(rollouts, 2)
        self.assertLessEqual(peak, 8 + 4)

    async def test_several_steps_do_not_exceed_the_slots_of_an_engine(self):
        rollouts = await self.start_rollouts(engines=2, slots=4)
        await self._peak_in_flight(rollouts, 3)
        for engine in rollouts.engine_by_name.values():
            self.assertEqual(engine.most_running, 4)

    async def test_one_slot_is_reserved_when_the_pool_serves_requests(self):
        rollouts = await self.start_rollouts(engines=2, slots=4)
        await rollouts.put("services", "advice", pool="rollout")
        await self._peak_in_flight(rollouts, 2)
        for engine in rollouts.engine_by_name.values():
            self.assertEqual(engine.most_running, 3)

    async def test_lent_streams_use_idle_engines(self):
        policies = StepPolicies(budget=LentRate(1.0))
        rollouts = await self.start_rollouts(engines=4, slots=4, policies=policies)
        await rollouts.put("workloads", WORKLOAD, **POOL_SPEC | {"rate": 1})
        self.assertEqual(await self._peak_in_flight(rollouts, 1), 16)

    async def _peak_in_flight(self, rollouts, steps) -> int:
        trainers = [Trainer() for _ in range(steps)]
        tasks = [
            self.start_step(rollouts, trainer, number=n, groups=8, samples=4)
            for n, trainer in enumerate(trainers)
        ]
        peak = 0
        while not all(task.done() for task in tasks):
            running = sum(e.running for e in rollouts.engine_by_name.values())
            peak = max(peak, running)
            await asyncio.sleep(0.5)
        for trainer in trainers:
            self.assert_done(trainer, 8, 4)
        return peak
