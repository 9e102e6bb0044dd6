"""Trainers' steps: whole, once, fresh, through faults."""

import asyncio
from collections import Counter

from cranberryrun.budgets import DeclaredRate, LentRate
from cranberryrun.dispatch import StepPolicies
from cranberryrun.exceptions import NotReadyError
from cranberryrun.stragglers import NoSecondAttempts
from cranberryrun.views import Fact, FactKind

from .rollouts import WORKLOAD, Rollouts, ScriptedEngine, Trainer, entry, request
from .virtual import VirtualTimeTestCase

POOL_SPEC = {"pool": "rollout", "freshness_bound": 1, "rate": 100}


class StepTestCase(VirtualTimeTestCase):
    async def begin(self, **options) -> Rollouts:
        """Return one host whose engines run version 1."""
        rollouts = await self.enterAsyncContext(Rollouts(**options))
        rollouts.run_version(1)
        await asyncio.sleep(6)
        return rollouts

    def start(self, rollouts, trainer, number=1, **fields) -> asyncio.Task:
        """Begin a step and return the task of its call."""
        workload = rollouts.configuration.state.get("workloads", WORKLOAD)
        work = rollouts.steps.run(workload, number, request(**fields), trainer.send)
        return asyncio.create_task(work)

    def assert_whole(self, trainer, groups, samples):
        """Check that the step is done and each slot came once."""
        self.assertEqual(trainer.events[-1].event, "done")
        slots = [(f"g{g}", i) for g in range(groups) for i in range(samples)]
        self.assertEqual(sorted(trainer.slots), sorted(slots))


class WholeTest(StepTestCase):
    async def test_every_slot_comes_once_in_whole_groups(self):
        rollouts = await self.begin()
        trainer = Trainer()
        await self.start(rollouts, trainer, groups=5, samples=4)
        self.assert_whole(trainer, 5, 4)
        for event in trainer.of("group"):
            self.assertEqual(len(event.samples), 4)
        self.assertEqual(len(rollouts.generated()), 20)

    async def test_received_slots_are_not_made_again(self):
        rollouts = await self.begin()
        trainer = Trainer()
        received = [("g0", 0), ("g0", 1), ("g1", 1)]
        await self.start(rollouts, trainer, received=received)
        self.assertEqual(trainer.slots, [("g1", 0)])

    async def test_nothing_missing_is_done_at_once(self):
        rollouts = await self.begin()
        trainer = Trainer()
        received = [(f"g{g}", i) for g in range(2) for i in range(2)]
        await self.start(rollouts, trainer, received=received)
        self.assertEqual([event.event for event in trainer.events], ["done"])

    async def test_a_text_is_that_of_its_own_slot(self):
        rollouts = await self.begin()
        trainer = Trainer()
        await self.start(rollouts, trainer, groups=3, samples=3)
        for sample in trainer.samples:
            seed = int(sample.group[1:]) * 3 + sample.index
            text = "".join(f"{seed}.{seq} " for seq in range(5))
            self.assertEqual(sample.text, text)

    async def test_a_thousand_samples(self):
        rollouts = await self.begin(engines=8, slots=32)
        trainer = Trainer()
        await self.start(rollouts, trainer, groups=64, samples=16)
        self.assert_whole(trainer, 64, 16)
        rows = sum(len(event.placements) for event in trainer.of("checkpoint"))
        self.assertLess(rows, 128 * (trainer.at[-1] - trainer.at[0]) + 1024)


class TrainerTest(StepTestCase):
    async def test_a_slow_trainer_holds_up_no_sample(self):
        rollouts = await self.begin()
        trainer = Trainer(read_seconds=20)
        await self.start(rollouts, trainer, groups=6, samples=4)
        self.assert_whole(trainer, 6, 4)
        # 24 samples of 5 s in 8 slots: the last begin after 10 s.
        last = rollouts.event_times("sample_dispatched")[-1]
        self.assertLess(last, trainer.at[0] + 15)

    async def test_samples_that_age_behind_a_slow_trainer_are_made_again(self):
        rollouts = await self.begin()
        trainer = Trainer(read_seconds=30)
        task = self.start(rollouts, trainer, groups=4, samples=2)
        await asyncio.sleep(20)
        rollouts.run_version(3)
        await task
        self.assert_whole(trainer, 4, 2)
        late = [
            sample
            for event, at in zip(trainer.events, trainer.at)
            if event.event == "group" and at > 30
            for sample in event.samples
        ]
        self.assertGreater(len(late), 0)
        self.assertTrue(all(span.version >= 2 for s in late for span in s.versions))

    async def test_a_trainer_that_never_reads_is_given_up_at_the_deadline(self):
        rollouts = await self.begin()
        trainer = Trainer(read_seconds=10_000)
        task = self.start(rollouts, trainer, deadline_seconds=30)
        with self.assertRaises(ConnectionResetError):
            await asyncio.wait_for(task, 60)

    async def test_streams_of_a_trainer_that_went_away_linger_and_are_cancelled(self):
        rollouts = await self.begin()
        for engine in rollouts.engine_by_name.values():
            engine.piece_seconds = 100
        trainer = Trainer()
        task = self.start(rollouts, trainer)
        await asyncio.sleep(2)
        told = {p.stream for p in trainer.of("checkpoint")[-1].placements}
        trainer.disconnected = True
        with self.assertRaises(ConnectionResetError):
            await task
        cancelled = [engine.cancelled for engine in rollouts.engine_by_name.values()]
        self.assertEqual(sum(cancelled, []), [])
        await asyncio.sleep(rollouts.settings.timing.stream_linger + 1)
        self.assertEqual(set(sum(cancelled, [])), told)

    async def test_streams_are_kept_where_another_host_runs_the_step(self):
        rollouts = await self.begin()
        for engine in rollouts.engine_by_name.values():
            engine.piece_seconds = 100
        trainer = Trainer()
        task = self.start(rollouts, trainer)
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

    async def test_streams_that_no_checkpoint_named_are_cancelled_at_once(self):
        rollouts = await self.begin()
        trainer = Trainer()
        trainer.disconnected = True
        with self.assertRaises(ConnectionResetError):
            await self.start(rollouts, trainer)
        await asyncio.sleep(0.1)
        for engine in rollouts.engine_by_name.values():
            self.assertEqual(engine.running, 0)


class EndTest(StepTestCase):
    async def test_the_deadline_fails_the_step_and_denies_nothing(self):
        rollouts = await self.begin()
        for engine in rollouts.engine_by_name.values():
            engine.piece_seconds = 100
        trainer = Trainer()
        await self.start(rollouts, trainer, deadline_seconds=10)
        failed = trainer.events[-1]
        self.assertEqual(failed.problem["code"], "step_deadline")
        self.assertNotIn("not_run", failed.problem)
        self.assertEqual(len(failed.placements), 4)

    async def test_a_deleted_workload_fails_the_step_and_frees_the_engines(self):
        rollouts = await self.begin()
        trainer = Trainer()
        task = self.start(rollouts, trainer)
        await asyncio.sleep(2)
        await rollouts.delete("workloads", WORKLOAD)
        await task
        self.assertEqual(trainer.events[-1].problem["code"], "workload_gone")
        await asyncio.sleep(0.1)
        for engine in rollouts.engine_by_name.values():
            self.assertEqual(engine.running, 0)

    async def test_a_planned_stop_moves_the_step_with_all_placements(self):
        rollouts = await self.begin()
        rollouts.engine_by_name["engine-0"].length = {0: 2}
        rollouts.engine_by_name["engine-1"].length = {0: 2}
        trainer = Trainer()
        task = self.start(rollouts, trainer)
        await asyncio.sleep(3)
        rollouts.steps.move_all()
        await task
        moved = trainer.events[-1]
        self.assertEqual(moved.event, "moved")
        # Slot g0/0 is whole and waits for its group: it is named as well.
        self.assertEqual(len(moved.placements), 4)
        with self.assertRaises(NotReadyError):
            rollouts.steps.check(WORKLOAD)

    async def test_the_next_call_resumes_and_makes_nothing_anew(self):
        rollouts = await self.begin()
        first = Trainer()
        task = self.start(rollouts, first)
        await asyncio.sleep(3)
        rollouts.steps.move_all()
        await task
        rollouts.steps._draining = False
        second = Trainer()
        checkpoint = first.events[-1].placements
        await self.start(rollouts, second, checkpoint=checkpoint)
        self.assert_whole(second, 2, 2)
        self.assertEqual(len(rollouts.generated()), 4)
        self.assertEqual(rollouts.engines.usage.take()[WORKLOAD].tokens, 4 * 50)

    async def test_a_checkpoint_of_another_slot_is_not_resumed(self):
        rollouts = await self.begin()
        first = Trainer()
        task = self.start(rollouts, first, groups=1)
        await asyncio.sleep(3)
        task.cancel()
        rows = [each.model_dump() for each in first.of("checkpoint")[-1].placements]
        rows[0]["stream"], rows[1]["stream"] = rows[1]["stream"], rows[0]["stream"]
        second = Trainer()
        await self.start(rollouts, second, groups=1, checkpoint=rows)
        self.assert_whole(second, 1, 2)
        self.assertEqual(rollouts.events("sample_resumed"), [])

    async def test_a_checkpoint_of_another_prompt_is_not_resumed(self):
        rollouts = await self.begin()
        first = Trainer()
        task = self.start(rollouts, first, groups=1)
        await asyncio.sleep(3)
        task.cancel()
        body = request(groups=1, checkpoint=first.of("checkpoint")[-1].placements)
        body.groups[0].prompt = "another"
        workload = rollouts.configuration.state.get("workloads", WORKLOAD)
        await rollouts.steps.run(workload, 1, body, Trainer().send)
        self.assertEqual(rollouts.events("sample_resumed"), [])

    async def test_a_later_call_outranks_the_run_that_its_checkpoint_names(self):
        rollouts = await self.begin()
        first = Trainer()
        task = self.start(rollouts, first)
        await asyncio.sleep(2)
        rows = first.of("checkpoint")[-1].placements
        rollouts.membership.views.forget((FactKind.STEP, f"{WORKLOAD}/1"))
        second = Trainer()
        await self.start(rollouts, second, checkpoint=rows)
        await task
        self.assertEqual(first.events[-1].problem["code"], "step_superseded")
        self.assert_whole(second, 2, 2)


class FreshTest(StepTestCase):
    async def test_a_sample_that_turns_too_old_is_cancelled_and_made_again(self):
        rollouts = await self.begin()
        rollouts.engine_by_name["engine-0"].length = {0: 100}
        rollouts.engine_by_name["engine-1"].length = {0: 100}
        trainer = Trainer()
        task = self.start(rollouts, trainer)
        await asyncio.sleep(3)
        rollouts.run_version(3)
        await asyncio.sleep(1)
        cancelled = [e.cancelled for e in rollouts.engine_by_name.values()]
        self.assertEqual(len(sum(cancelled, [])), 4)
        await task
        self.assert_whole(trainer, 2, 2)
        for sample in trainer.samples:
            self.assertGreaterEqual(min(s.version for s in sample.versions), 2)

    async def test_a_view_that_is_too_old_holds_samples_until_it_is_renewed(self):
        rollouts = await self.begin()
        trainer = Trainer()
        task = self.start(rollouts, trainer)
        rollouts.configuration.age = 10
        await asyncio.sleep(20)
        self.assertEqual(trainer.samples, [])
        self.assertEqual(len(rollouts.events("hand_over_held")), 2)
        rollouts.versions.learn(WORKLOAD, 3)
        rollouts.run_version(3)
        rollouts.configuration.age = 0
        await task
        self.assert_whole(trainer, 2, 2)
        for sample in trainer.samples:
            self.assertGreaterEqual(min(s.version for s in sample.versions), 2)

    async def test_a_host_that_hears_nothing_moves_its_steps_and_takes_none(self):
        rollouts = await self.begin()
        trainer = Trainer()
        task = self.start(rollouts, trainer)
        await asyncio.sleep(1)
        rollouts.hosts.entries.append(entry("host-2", "zone-b"))
        await asyncio.sleep(1)
        rollouts.configuration.age = 60
        await asyncio.wait_for(task, 30)
        self.assertEqual(trainer.events[-1].event, "moved")
        self.assertEqual(trainer.samples, [])
        with self.assertRaises(NotReadyError):
            rollouts.steps.check(WORKLOAD)

    async def test_a_changed_bound_is_in_force_for_a_step_under_way(self):
        rollouts = await self.begin()
        trainer = Trainer()
        task = self.start(rollouts, trainer)
        await asyncio.sleep(2)
        rollouts.run_version(2)
        await rollouts.put("workloads", WORKLOAD, **POOL_SPEC | {"freshness_bound": 0})
        await task
        self.assert_whole(trainer, 2, 2)
        for sample in trainer.samples:
            self.assertEqual([span.version for span in sample.versions], [2])

    async def test_engines_whose_version_is_too_old_are_not_chosen(self):
        rollouts = await self.begin()
        rollouts.versions.learn(WORKLOAD, 3)
        rollouts.engine_by_name["engine-1"].run_version(3)
        await asyncio.sleep(6)
        trainer = Trainer()
        await self.start(rollouts, trainer, version=3)
        self.assertEqual(rollouts.engine_by_name["engine-0"].generated, [])

    async def test_staleness_weighs_in_the_choice_of_engines(self):
        used = {}
        for weight in (0.0, 1.0):
            rollouts = await self.begin()
            await self.start(rollouts, Trainer(), number=0)
            for engine in rollouts.engine_by_name.values():
                engine.generated.clear()
            spec = POOL_SPEC | {"idle_weight": weight}
            await rollouts.put("workloads", WORKLOAD, **spec)
            rollouts.versions.learn(WORKLOAD, 2)
            rollouts.engine_by_name["engine-1"].run_version(2)
            await asyncio.sleep(6)
            await self.start(rollouts, Trainer(), version=2, samples=4)
            used[weight] = len(rollouts.engine_by_name["engine-0"].generated)
        self.assertEqual(used[0.0], 0)
        self.assertGreater(used[1.0], 0)

    async def test_an_older_version_within_the_bound_serves_in_the_end(self):
        rollouts = await self.begin()
        await rollouts.put("workloads", WORKLOAD, **POOL_SPEC | {"idle_weight": 0})
        rollouts.versions.learn(WORKLOAD, 2)
        trainer = Trainer()
        await self.start(rollouts, trainer, version=2)
        self.assert_whole(trainer, 2, 2)


class EngineFaultTest(StepTestCase):
    async def test_samples_of_a_crashed_engine_are_made_again(self):
        rollouts = await self.begin()
        trainer = Trainer()
        task = self.start(rollouts, trainer, groups=4, samples=2)
        await asyncio.sleep(2)
        rollouts.engine_by_name["engine-0"].crash()
        await task
        self.assert_whole(trainer, 4, 2)

    async def test_an_engine_without_stamps_is_left_out(self):
        rollouts = await self.begin()
        rollouts.engine_by_name["engine-0"].unstamped = True
        trainer = Trainer()
        await self.start(rollouts, trainer, groups=4, samples=2)
        self.assert_whole(trainer, 4, 2)
        self.assertEqual({s.engine for s in trainer.samples}, {"engine-1"})
        outs = rollouts.events("engine_out")
        self.assertEqual([out["error"] for out in outs], ["stream_unstamped"])
        self.assertLessEqual(len(rollouts.engine_by_name["engine-0"].generated), 4)

    async def test_an_engine_added_during_a_step_takes_part(self):
        rollouts = await self.begin(engines=1, slots=2)
        trainer = Trainer()
        task = self.start(rollouts, trainer, groups=6, samples=2)
        await asyncio.sleep(2)
        added = ScriptedEngine(2)
        added.run_version(1)
        await rollouts.declare_engine("engine-9", added)
        await task
        self.assert_whole(trainer, 6, 2)
        self.assertGreater(len(added.generated), 0)

    async def test_an_engine_removed_during_a_step_ends_its_streams(self):
        rollouts = await self.begin()
        trainer = Trainer()
        task = self.start(rollouts, trainer, groups=6, samples=2)
        await asyncio.sleep(2)
        begun = len(rollouts.engine_by_name["engine-0"].generated)
        await rollouts.delete("engines", "engine-0")
        await task
        self.assert_whole(trainer, 6, 2)
        self.assertEqual(len(rollouts.engine_by_name["engine-0"].generated), begun)
        self.assertEqual(rollouts.engine_by_name["engine-0"].cancelled, [])


class StragglerTest(StepTestCase):
    async def slow_step(self, **options):
        """Run a step in which engine-0 gets slow after 4 s; return how long it is."""
        rollouts = await self.begin(engines=3, **options)
        trainer = Trainer()
        began = self.now()
        task = self.start(rollouts, trainer, groups=8, samples=4)
        await asyncio.sleep(4)
        rollouts.engine_by_name["engine-0"].piece_seconds = 60
        await task
        self.assert_whole(trainer, 8, 4)
        return rollouts, self.now() - began

    async def test_second_attempts_end_a_step_sooner(self):
        _, alone = await self.slow_step(
            policies=StepPolicies(stragglers=NoSecondAttempts())
        )
        rollouts, helped = await self.slow_step()
        self.assertLess(helped, alone / 2)
        self.assertGreater(len(rollouts.events("second_attempt")), 0)

    async def test_the_loser_is_cancelled_and_nothing_else(self):
        rollouts, _ = await self.slow_step()
        await asyncio.sleep(1)
        whole = Counter(tuple(each["slot"]) for each in rollouts.events("sample_whole"))
        self.assertEqual(set(whole.values()), {1})
        done = {each["stream"] for each in rollouts.events("sample_whole")}
        for engine in rollouts.engine_by_name.values():
            self.assertFalse(done & set(engine.cancelled))
            self.assertEqual(engine.running, 0)
            self.assertEqual(rollouts.engines.by_name["engine-0"].in_flight, 0)


class ShareTest(StepTestCase):
    DECLARED = StepPolicies(budget=DeclaredRate())

    async def test_a_step_holds_the_declared_rate_and_no_more(self):
        rollouts = await self.begin(engines=4, slots=4, policies=self.DECLARED)
        await rollouts.put("workloads", WORKLOAD, **POOL_SPEC | {"rate": 1.5})
        most = await self._most_in_flight(rollouts, 1)
        self.assertEqual(most, 6)

    async def test_two_steps_of_one_workload_share_its_rate(self):
        rollouts = await self.begin(engines=4, slots=4, policies=self.DECLARED)
        await rollouts.put("workloads", WORKLOAD, **POOL_SPEC | {"rate": 2})
        most = await self._most_in_flight(rollouts, 2)
        self.assertLessEqual(most, 8 + 4)

    async def test_slots_are_respected_over_all_steps(self):
        rollouts = await self.begin(engines=2, slots=4)
        await self._most_in_flight(rollouts, 3)
        for engine in rollouts.engine_by_name.values():
            self.assertEqual(engine.most_running, 4)

    async def test_a_slot_is_kept_where_requests_come_too(self):
        rollouts = await self.begin(engines=2, slots=4)
        await rollouts.put("services", "advice", pool="rollout")
        await self._most_in_flight(rollouts, 2)
        for engine in rollouts.engine_by_name.values():
            self.assertEqual(engine.most_running, 3)

    async def test_a_lent_share_uses_idle_engines(self):
        policies = StepPolicies(budget=LentRate(1.0))
        rollouts = await self.begin(engines=4, slots=4, policies=policies)
        await rollouts.put("workloads", WORKLOAD, **POOL_SPEC | {"rate": 1})
        self.assertEqual(await self._most_in_flight(rollouts, 1), 16)

    async def _most_in_flight(self, rollouts, steps) -> int:
        trainers = [Trainer() for _ in range(steps)]
        tasks = [
            self.start(rollouts, trainer, number=n, groups=8, samples=4)
            for n, trainer in enumerate(trainers)
        ]
        most = 0
        while not all(task.done() for task in tasks):
            running = sum(e.running for e in rollouts.engine_by_name.values())
            most = max(most, running)
            await asyncio.sleep(0.5)
        for trainer in trainers:
            self.assert_whole(trainer, 8, 4)
        return most
