"""Items that a batch does not need any more run ahead for the trainer's next batch.

The load of kelani-votes scale-1: each step of 31 groups has some items that run for as
long as the step may take. Those of the groups that the trainer does not wait for come
again in a later step, whose minimum version their output does not meet.
"""

import asyncio
from dataclasses import replace

from cranberryrun.batches.carry_over import NextBatches, unneeded_items
from cranberryrun.batches.models import BatchState, Result
from cranberryrun.batches.service import Batches
from fakes.deployment import MODEL, Deployment, batch, manifest

from .test_batch_dispatch import DispatchTestCase
from .virtual import VirtualTimeTestCase


class NextBatchesTest(DispatchTestCase):
    async def test_next_batch_accepts_one_version_less(self):
        batches = NextBatches()
        self.assertIsNone(batches.min_version(MODEL))
        for step, min_version in ((6, 5), (7, 6)):
            batches.record(batch(step=step, min_version=min_version))
        self.assertEqual(batches.min_version(MODEL), 7)

    async def test_earlier_batch_that_is_read_late_changes_nothing(self):
        batches = NextBatches()
        for step, min_version in ((7, 6), (6, 5)):
            batches.record(batch(step=step, min_version=min_version))
        self.assertEqual(batches.min_version(MODEL), 7)


class UnneededItemsTest(DispatchTestCase):
    def unneeded(self, finished, ended=False, carried=()):
        items = self.scheduled_items(3, 2, wanted_groups=2, carried=carried)
        items[0].state.ended = ended
        for scheduled in items:
            if scheduled.item.group in finished:
                scheduled.result = Result(scheduled.item.id, True)
        return {scheduled.item.group for scheduled in unneeded_items(items)}

    async def test_rest_is_unneeded_when_enough_groups_are_complete(self):
        self.assertEqual(self.unneeded({"g0"}), set())
        self.assertEqual(self.unneeded({"g0", "g1"}), {"g2"})

    async def test_carried_group_is_needed_when_enough_others_are_complete(self):
        self.assertEqual(self.unneeded({"g0", "g1"}, carried={"g2"}), set())

    async def test_rest_is_unneeded_when_the_batch_has_ended(self):
        self.assertEqual(self.unneeded(set(), ended=True), {"g0", "g1", "g2"})

    async def test_nothing_is_unneeded_when_all_items_are_finished(self):
        self.assertEqual(self.unneeded({"g0", "g1", "g2"}), set())
        self.assertEqual(unneeded_items([]), [])
        self.assertTrue(BatchState(batch()).open)


class RunAheadTest(VirtualTimeTestCase):
    """A step of three groups; the trainer waits for two, the third is long."""

    async def asyncSetUp(self):
        self.deployment = Deployment()
        self.addAsyncCleanup(self.deployment.stop)
        self.deployment.put_manifest(manifest())
        self.engine = self.deployment.add_engine("e0")
        self.host = await self.deployment.start_host()
        await asyncio.sleep(1.0)

    async def submit_step(self, announced=2):
        """Submit a step and return it; the long item has 100 events."""
        self.deployment.targets.events_by_item["b1-g2-0"] = 100
        value = batch("b1", groups=3, size=1, wanted_groups=2, step=1, min_version=1)
        items = list(value.items)
        items[2] = replace(items[2], expected_tokens=1000.0)
        value = replace(value, items=tuple(items))
        await self.deployment.submit(self.host, value)
        await asyncio.sleep(0.2)
        if announced is not None:
            self.deployment.announce_version(announced)
            # The load takes 0.9 s.
            await asyncio.sleep(2.0)
            self.deployment.register("e0")
        return value

    async def next_step(self, first, seconds):
        """End the step, submit the next one and return the time to its results."""
        await self.host.get(Batches).end("b1", self.now() + 1.0)
        await asyncio.sleep(seconds)
        second = replace(
            first,
            id="b2",
            step=2,
            min_version=2,
            items=first.items[2:],
            wanted_groups=1,
        )
        started_at = self.now()
        await self.deployment.submit(self.host, second)
        (result,) = await self.deployment.results(self.host, "b2", 10.0)
        self.assertEqual(result.versions, (2,))
        self.assertEqual(len(result.text.split("\n")), 100)
        return self.now() - started_at

    def runs_of_long_item(self):
        return [done for item, done in self.engine.runs if item == "b1-g2-0"]

    async def test_long_item_runs_under_the_next_version_before_its_next_step(self):
        first = await self.submit_step()
        # Its 100 events take 4 s, of which the second after the end is saved.
        self.assertLess(await self.next_step(first, 1.0), 3.5)
        self.assertEqual(len(self.runs_of_long_item()), 2)

    async def test_output_is_kept_while_no_later_version_is_announced(self):
        first = await self.submit_step(announced=None)
        await asyncio.sleep(1.0)
        self.assertEqual(len(self.runs_of_long_item()), 1)
        await self.host.get(Batches).end(first.id, self.now() + 1.0)
        await asyncio.sleep(0.5)
        self.assertEqual(self.engine.running, 1)

    async def test_item_of_an_ended_batch_is_started_only_for_a_short_time(self):
        """After some seconds no engine may get an item of an ended batch."""
        await self.submit_step()
        self.engine.gone = True
        await self.host.get(Batches).end("b1", self.now() + 1.0)
        await asyncio.sleep(2.6)
        self.engine.gone = False
        runs_before = len(self.engine.runs)
        await asyncio.sleep(5.0)
        self.assertEqual(len(self.engine.runs), runs_before)
        self.assertEqual(self.engine.running, 0)
