"""One sample: its stamps, and streams that are cut, lost or silent."""

import asyncio

from cranberryrun import clock
from cranberryrun.engines import Piece, StreamOrder
from cranberryrun.exceptions import (
    SampleTooOldError,
    StreamCutError,
    StreamIdleError,
    StreamLostError,
    TargetUnreachableError,
    UnstampedStreamError,
)
from cranberryrun.meters import Meter
from cranberryrun.samples import Attempt, collect
from cranberryrun.slots import Slot

from .rollouts import WORKLOAD, Rollouts
from .virtual import VirtualTimeTestCase


class SampleTestCase(VirtualTimeTestCase):
    async def begin(self) -> Rollouts:
        """Return a host with one engine that runs version 1."""
        rollouts = await self.enterAsyncContext(Rollouts(engines=1))
        rollouts.run_version(1)
        self.scripted = rollouts.engine_by_name["engine-0"]
        self.engine = rollouts.engines.by_name["engine-0"]
        self.engines = rollouts.engines
        return rollouts

    def attempt(self, resumed=False) -> Attempt:
        """Return an attempt at a slot."""
        slot = Slot("g", 0, "prompt", 100, 7)
        return Attempt(slot, self.engine, "s", clock.now(), 1, resumed=resumed)

    async def collect(self, attempt, too_old=lambda attempt: False):
        """Collect an attempt's sample."""
        order = StreamOrder("s", WORKLOAD, "prompt", 100, 7, 0)
        return await collect(attempt, order, self.engines, too_old)


class CollectTest(SampleTestCase):
    async def test_a_cut_stream_goes_on_where_it_was(self):
        await self.begin()
        self.scripted.cut_once_at = 2
        sample = await self.collect(self.attempt())
        self.assertEqual(sample.text, "".join(f"7.{n} " for n in range(5)))
        self.assertEqual(sample.tokens, 50)
        self.assertEqual(len(self.scripted.generated), 1)

    async def test_each_version_that_made_a_part_is_named_in_order(self):
        rollouts = await self.begin()
        task = asyncio.create_task(self.collect(self.attempt()))
        await asyncio.sleep(2.5)
        rollouts.run_version(2)
        sample = await task
        spans = [(span.version, span.tokens) for span in sample.versions]
        self.assertEqual(spans, [(1, 20), (2, 30)])

    async def test_a_piece_without_a_version_is_an_error(self):
        await self.begin()
        self.scripted.unstamped = True
        with self.assertRaises(UnstampedStreamError):
            await self.collect(self.attempt())

    async def test_a_sample_that_gets_too_old_ends_at_once(self):
        await self.begin()
        attempt = self.attempt()
        with self.assertRaises(SampleTooOldError):
            await self.collect(attempt, lambda each: len(each.pieces) == 2)
        self.assertEqual(len(attempt.pieces), 2)

    async def test_a_crash_loses_the_stream(self):
        await self.begin()
        task = asyncio.create_task(self.collect(self.attempt()))
        await asyncio.sleep(2)
        self.scripted.crash()
        with self.assertRaises(StreamLostError):
            await asyncio.wait_for(task, 5)

    async def test_an_engine_that_is_down_from_the_start_refused(self):
        await self.begin()
        self.scripted.down = True
        with self.assertRaises(TargetUnreachableError):
            await self.collect(self.attempt())
        self.assertFalse(self.engine.health.usable())

    async def test_an_engine_that_goes_down_is_given_up_soon(self):
        await self.begin()
        task = asyncio.create_task(self.collect(self.attempt()))
        await asyncio.sleep(2)
        self.scripted.crash()
        self.scripted.down = True
        with self.assertRaises(StreamLostError):
            await asyncio.wait_for(task, 5)

    async def test_a_stream_that_runs_already_is_resumed(self):
        await self.begin()
        await self.collect(self.attempt())
        sample = await self.collect(self.attempt())
        self.assertEqual(sample.tokens, 50)
        self.assertEqual(len(self.scripted.generated), 1)

    async def test_only_pieces_that_no_host_had_seen_are_counted(self):
        await self.begin()
        await self.collect(self.attempt())
        attempt = self.attempt(resumed=True)
        attempt.seen = 3
        attempt.meter = Meter(WORKLOAD, 1)
        self.assertEqual(attempt.placement().pieces, 3)
        self.assertEqual((await self.collect(attempt)).tokens, 50)
        self.assertEqual(attempt.meter.tokens, 20)
        self.assertEqual(attempt.placement().pieces, 5)

    async def test_an_unknown_stream_of_a_checkpoint_is_lost(self):
        await self.begin()
        with self.assertRaises(StreamLostError):
            await self.collect(self.attempt(resumed=True))

    async def test_many_cuts_with_progress_between_are_got_over(self):
        await self.begin()
        read = self.scripted._read

        async def cut(stream, start):
            async for piece in read(stream, start):
                yield piece
                if not piece.done:
                    raise StreamCutError("cut")

        self.scripted._read = cut
        self.assertEqual((await self.collect(self.attempt())).tokens, 50)

    async def test_silence_alone_does_not_count_against_the_engine(self):
        await self.begin()
        silent = 3

        async def wait(stream, start):
            nonlocal silent
            if silent:
                silent -= 1
                await asyncio.sleep(15)
                raise StreamIdleError("silent")
            async for piece in read(stream, start):
                yield piece

        read = self.scripted._read
        self.scripted._read = wait
        self.assertEqual((await self.collect(self.attempt())).tokens, 50)
        self.assertEqual(self.engine.health.failures, 0)


class AttemptTest(SampleTestCase):
    async def test_attempts_are_told_apart(self):
        await self.begin()
        self.assertNotEqual(self.attempt(), self.attempt())

    async def test_the_oldest_version_leaves_empty_pieces_out(self):
        await self.begin()
        attempt = self.attempt()
        attempt.add(Piece(0, 0, "", 1, False))
        self.assertIsNone(attempt.oldest)
        attempt.add(Piece(1, 8, "a", 4, False))
        attempt.add(Piece(2, 8, "b", 3, True))
        self.assertEqual(attempt.oldest, 3)
        spans = [(span.version, span.tokens) for span in attempt.sample().versions]
        self.assertEqual(spans, [(4, 8), (3, 8)])

    async def test_a_stream_with_no_tokens_has_no_version(self):
        await self.begin()
        attempt = self.attempt()
        attempt.add(Piece(0, 0, "", 1, True))
        with self.assertRaises(UnstampedStreamError):
            attempt.sample()

    async def test_the_rate_is_that_of_late(self):
        await self.begin()
        attempt = self.attempt()
        for seq in range(10):
            await asyncio.sleep(1)
            attempt.add(Piece(seq, 10, "", 1, False))
            attempt.rate(clock.now())
        self.assertAlmostEqual(attempt.rate(clock.now()), 10, delta=1)
        await asyncio.sleep(10)
        self.assertLess(attempt.rate(clock.now()), 1)
        await asyncio.sleep(2)
        self.assertEqual(attempt.rate(clock.now()), 0)
