"""Batches whose items are scored: faults of targets, engines, hosts and the store."""

import asyncio
from dataclasses import replace

from cranberryrun.batches.runner import Runner
from cranberryrun.batches.service import Batches
from cranberryrun.exceptions import (
    TargetFailedError,
    TargetRefusedError,
    TargetUnreachableError,
)
from cranberryrun.fleet.client import RunFailedError
from cranberryrun.fleet.lease import Lease
from cranberryrun.fleet.manifest import Backend
from cranberryrun.requests.forwarder import Forwarder
from fakes.deployment import (
    SCORING_SERVICE,
    Deployment,
    batch_route,
    manifest,
    reward_call,
    scored_batch,
    scoring_route,
)

from .virtual import VirtualTimeTestCase

NEVER = 3600.0


class ScoredBatchTestCase(VirtualTimeTestCase):
    async def asyncSetUp(self):
        self.deployment = Deployment()
        self.targets = self.deployment.targets
        self.deployment.put_manifest(manifest(1, batch_route(), scoring_route()))
        self.addAsyncCleanup(self.deployment.stop)
        self.engine = self.deployment.add_engine("e0")

    async def start(self, *steps_of_scorers):
        for index, steps in enumerate(steps_of_scorers):
            self.deployment.add_scorer(f"s{index}", *steps)
        self.host = await self.deployment.start_host()
        await asyncio.sleep(1.0)

    async def run_batch(self, seconds=5.0, **options):
        value = scored_batch(**{"groups": 1, "size": 1} | options)
        await self.deployment.submit(self.host, value)
        return await self.deployment.results(self.host, value.id, seconds)

    def health(self, target):
        return self.host.get(Forwarder).state_of(target).health

    def targets_called(self):
        return [call.target for call in self.targets.score_calls]


class ScoreTest(ScoredBatchTestCase):
    async def test_each_result_has_the_answer_to_its_own_call(self):
        await self.start((), ())
        results = await self.run_batch(groups=3, size=4)
        self.assertEqual(len(results), 12)
        for result in results:
            self.assertTrue(result.succeeded)
            self.assertIn(f"score-of-{result.item} scored by", result.score)

    async def test_call_is_not_sent_before_the_last_event(self):
        await self.start(())
        await self.run_batch()
        (call,) = self.targets.score_calls
        # The run starts a second after the host and its ten events take 0.4 s.
        self.assertGreaterEqual(call.time, 1.4)
        self.assertEqual(self.engine.running, 0)

    async def test_call_follows_its_route_to_another_service(self):
        await self.start((NEVER,))
        moved = scoring_route(backends=(Backend("other", 1.0),))
        self.deployment.put_manifest(manifest(2, batch_route(), moved))
        self.targets.score_steps_by_target["o0"] = [0.1]
        self.deployment.register("o0", service="other", version_by_model={})
        await asyncio.sleep(0.5)
        (result,) = await self.run_batch()
        self.assertTrue(result.succeeded)
        self.assertEqual(self.targets_called(), ["o0"])

    async def test_call_waits_while_the_manifest_has_no_route_for_it(self):
        await self.start(())
        self.deployment.put_manifest(manifest(2, batch_route()))
        await asyncio.sleep(0.5)
        self.assertEqual(await self.run_batch(seconds=2.0), [])
        self.deployment.put_manifest(manifest(3, batch_route(), scoring_route()))
        (result,) = await self.deployment.results(self.host, "b1", 2.0)
        self.assertTrue(result.succeeded)
        self.assertEqual(len(self.engine.runs), 1)

    async def test_ended_batch_gets_no_more_calls(self):
        await self.start((RunFailedError(), NEVER))
        value = scored_batch(groups=1, size=1)
        await self.deployment.submit(self.host, value)
        await asyncio.sleep(1.0)
        await self.host.get(Batches).end("b1", self.now() + 1.0)
        await asyncio.sleep(3.0)
        calls_before = len(self.targets.score_calls)
        await asyncio.sleep(10.0)
        self.assertEqual(len(self.targets.score_calls), calls_before)
        self.assertEqual(sum(self.targets.scores_running_by_target.values()), 0)


class FailingCallTest(ScoredBatchTestCase):
    """A few calls fail at every target."""

    async def test_item_is_lost_after_max_attempts_failures(self):
        await self.start((RunFailedError(),), (RunFailedError(),))
        (result,) = await self.run_batch()
        self.assertFalse(result.succeeded)
        self.assertIsNone(result.score)
        self.assertEqual(len(self.targets.score_calls), batch_route().max_attempts)

    async def test_calls_that_always_fail_take_no_target_out_of_use(self):
        await self.start((RunFailedError(),), (RunFailedError(),))
        results = await self.run_batch(groups=8, size=1)
        self.assertEqual(len(results), 8)
        for target in ("s0", "s1"):
            self.assertTrue(self.health(target).usable())

    async def test_target_that_fails_what_another_one_answers_loses_its_work(self):
        """A grey target fails a part of its requests although it seems healthy."""
        await self.start((RunFailedError(),), (0.1,))
        results = await self.run_batch(groups=8, size=1)
        self.assertTrue(all(result.succeeded for result in results))
        self.assertGreater(self.health("s0").failures, 0)

    async def test_refusal_is_no_failure(self):
        refusals = [TargetRefusedError() for _ in range(6)]
        await self.start((*refusals, 0.1))
        (result,) = await self.run_batch()
        self.assertTrue(result.succeeded)

    async def test_failed_run_of_the_call_does_not_repeat_the_text(self):
        await self.start((RunFailedError(), TargetFailedError(), 0.1))
        (result,) = await self.run_batch()
        self.assertTrue(result.succeeded)
        self.assertEqual(len(self.engine.runs), 1)


class TroubledTargetTest(ScoredBatchTestCase):
    async def test_silent_target_is_left_for_another(self):
        await self.start((NEVER,), (0.1,))
        results = await self.run_batch(groups=6, size=2)
        self.assertEqual(len(results), 12)
        # Texts take up to 0.8 s on one engine; a hedged call follows within 0.3 s.
        self.assertLess(self.now(), 1.0 + 0.8 + 1.5)

    async def test_unreachable_target_is_left_for_another(self):
        await self.start((TargetUnreachableError(),), (0.1,))
        results = await self.run_batch(groups=4, size=2)
        self.assertTrue(all(result.succeeded for result in results))
        # The texts end together, so one call goes to each of its four usable slots.
        self.assertLessEqual(self.targets_called().count("s0"), 4)

    async def test_call_is_answered_soon_after_all_targets_failed(self):
        """All targets are in a cooldown that has grown to several seconds."""
        failures = [TargetFailedError() for _ in range(6)]
        await self.start((*failures, 0.1), (*failures, 0.1))
        for target in ("s0", "s1"):
            for _ in range(5):
                self.health(target).record_failure()
                self.health(target).cooldown_until = 0.0
            self.health(target).record_failure()
            self.assertFalse(self.health(target).usable())
        (result,) = await self.run_batch(seconds=8.0)
        self.assertTrue(result.succeeded)

    async def test_unexpected_error_does_not_repeat_the_call_without_end(self):
        await self.start((ZeroDivisionError(), 0.1))
        (result,) = await self.run_batch()
        self.assertTrue(result.succeeded)
        self.assertEqual(len(self.targets.score_calls), 2)
        errors = [
            event for event in self.deployment.events if event.kind.level == "error"
        ]
        self.assertEqual([each.kind.name for each in errors], ["attempt_unexpected"])
        self.assertIn("ZeroDivisionError", errors[0].fields["reason"])

    async def test_leaving_target_gets_no_calls(self):
        await self.start((0.1,), (0.1,))
        self.deployment.register(
            "s0", service=SCORING_SERVICE, version_by_model={}, draining=True
        )
        await asyncio.sleep(0.5)
        await self.run_batch(groups=2, size=2)
        self.assertEqual(set(self.targets_called()), {"s1"})

    async def test_slots_for_callers_stay_free_when_many_texts_end_at_once(self):
        await self.start((0.5,), (0.5,))
        most = 0

        async def watch():
            nonlocal most
            while True:
                running = self.targets.scores_running_by_target
                most = max(most, *(running[name] for name in ("s0", "s1")))
                await asyncio.sleep(0.01)

        watcher = asyncio.create_task(watch())
        results = await self.run_batch(groups=6, size=2, seconds=8.0)
        watcher.cancel()
        self.assertEqual(len(results), 12)
        self.assertLessEqual(most, 4)


class HolderChangeTest(ScoredBatchTestCase):
    """The text is complete and its call still open when the holder changes."""

    async def open_call(self):
        await self.start((NEVER,))
        self.next_host = await self.deployment.start_host("host-2")
        value = scored_batch(groups=1, size=1)
        holder = self.host if self.host.get(Lease).assigned else self.next_host
        await self.deployment.submit(holder, value)
        # The text takes 0.5 s, and the progress is recorded every 0.4 s.
        await asyncio.sleep(1.2)
        self.assertEqual(len(self.engine.runs), 1)
        return holder, self.next_host if holder is self.host else self.host

    async def assert_scored_without_a_run(self, host):
        self.targets.score_steps_by_target["s0"] = [0.1]
        (result,) = await self.deployment.results(host, "b1", 6.0)
        self.assertTrue(result.succeeded)
        self.assertEqual(len(result.text.split("\n")), 10)
        self.assertEqual(len(self.engine.runs), 1)

    async def test_next_holder_calls_for_the_score_when_the_holder_is_killed(self):
        holder, other = await self.open_call()
        await holder.stop()
        await self.assert_scored_without_a_run(other)

    async def test_next_holder_calls_for_the_score_after_a_planned_stop(self):
        holder, other = await self.open_call()
        await holder.get(Runner).hand_over(self.now() + 5.0)
        await self.assert_scored_without_a_run(other)

    async def test_hand_over_right_after_the_last_event_keeps_the_text(self):
        await self.start((NEVER,))
        self.next_host = await self.deployment.start_host("host-2")
        holder = self.host if self.host.get(Lease).assigned else self.next_host
        other = self.next_host if holder is self.host else self.host
        await self.deployment.submit(holder, scored_batch(groups=1, size=1))
        while not self.targets.score_calls:
            await asyncio.sleep(0.005)
        await holder.get(Runner).hand_over(self.now() + 5.0)
        await self.assert_scored_without_a_run(other)

    async def test_score_is_listed_when_the_store_was_down_meanwhile(self):
        await self.start((0.1,))
        await self.deployment.submit(self.host, scored_batch(groups=1, size=1))
        await asyncio.sleep(0.2)
        self.deployment.store.down = True
        await asyncio.sleep(3.0)
        self.deployment.store.down = False
        (result,) = await self.deployment.results(self.host, "b1", 3.0)
        self.assertTrue(result.succeeded)
        self.assertEqual(len(self.engine.runs), 1)
        self.assertEqual(len(self.targets.score_calls), 1)


class CarriedItemTest(ScoredBatchTestCase):
    """An item of an ended batch appears again in the next one."""

    async def carry(self, item_changes=None, wait=0.2, steps=(NEVER,)):
        await self.start(steps)
        first = scored_batch("b1", groups=1, size=1)
        await self.deployment.submit(self.host, first)
        await asyncio.sleep(1.0)
        await self.host.get(Batches).end("b1", self.now() + 1.0)
        await asyncio.sleep(wait)
        self.targets.score_steps_by_target["s0"] = [0.1]
        items = tuple(replace(item, **(item_changes or {})) for item in first.items)
        second = scored_batch("b2", groups=1, size=1)
        await self.deployment.submit(self.host, replace(second, items=items))
        (result,) = await self.deployment.results(self.host, "b2", 5.0)
        self.assertTrue(result.succeeded)
        self.assertEqual(len(self.engine.runs), 1)
        return result

    async def test_text_is_kept_while_its_call_is_open(self):
        result = await self.carry()
        self.assertIn("score-of-b1-g0-0 scored by", result.score)

    async def test_text_is_kept_when_the_call_was_stopped_seconds_ago(self):
        await self.carry(wait=8.0)

    async def test_text_taken_over_for_another_call_is_dropped_when_it_is_stale(self):
        """The text is scored anew in the second batch, which ends before the answer."""
        await self.start((0.1, NEVER))
        first = scored_batch("b1", groups=1, size=1)
        await self.deployment.submit(self.host, first)
        await self.deployment.results(self.host, "b1", 3.0)
        self.assertEqual(len(self.engine.runs), 1)
        items = (replace(first.items[0], reward=reward_call("other")),)
        await self.deployment.submit(
            self.host, scored_batch("b2", groups=1, size=1, items=items)
        )
        await asyncio.sleep(0.5)
        await self.host.get(Batches).end("b2", self.now() + 1.0)
        self.engine.version = 2
        self.deployment.register("e0")
        self.targets.score_steps_by_target["s0"] = [0.1]
        third = scored_batch("b3", groups=1, size=1, min_version=2)
        await self.deployment.submit(self.host, replace(third, items=items))
        (result,) = await self.deployment.results(self.host, "b3", 5.0)
        self.assertEqual(result.versions, (2,))

    async def test_score_is_kept_when_the_call_is_the_same(self):
        await self.carry(steps=(0.1,))
        self.assertEqual(len(self.targets.score_calls), 1)

    async def test_other_call_is_sent_for_the_same_text(self):
        other = reward_call("other")
        for steps in ((0.1,), (NEVER,)):
            with self.subTest(steps=steps):
                await self.asyncSetUp()
                result = await self.carry({"reward": other}, steps=steps)
                self.assertIn("score-of-other scored by", result.score)
