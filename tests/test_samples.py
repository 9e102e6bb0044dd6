"""Tests of sample collection: versions, and streams that are cut, lost or idle."""

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
from cranberryrun.samples import Attempt, collect_sample
from cranberryrun.slots import Slot

from .rollouts import WORKLOAD, Rollouts
from .virtual import VirtualTimeTestCase


class SampleTestCase(VirtualTimeTestCase):
    async def start_rollouts(self) -> Rollouts:
        """Start a host with one engine that runs version 1, and return it."""
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

    async def collect_sample(self, attempt, is_stale=lambda attempt: False):
        """Collect an attempt's sample."""
        order = StreamOrder("s", WORKLOAD, "prompt", 100, 7, 0)
        return await collect_sample(attempt, order, self.engines, is_stale)


class CollectTest(SampleTestCase):
    async def test_cut_stream_is_resumed_at_the_next_piece(self):
        await self.start_rollouts()
        self.scripted.cut_once_at = 2
        sample = await self.collect_sample(self.attempt())
        self.assertEqual(sample.text, "".join(f"7.{n} " for n in range(5)))
        self.assertEqual(sample.tokens, 50)
        self.assertEqual(len(self.scripted.generated), 1)

    async def test_sample_names_the_versions_of_its_parts_in_order(self):
        rollouts = await self.start_rollouts()
        task = asyncio.create_task(self.collect_sample(self.attempt()))
        await asyncio.sleep(2.5)
        rollouts.run_version(2)
        sample = await task
        spans = [(span.version, span.tokens) for span in sample.versions]
        self.assertEqual(spans, [(1, 20), (2, 30)])

    async def test_piece_without_a_version_is_an_error(self):
        await self.start_rollouts()
        self.scripted.unstamped = True
        with self.assertRaises(UnstampedStreamError):
            await self.collect_sample(self.attempt())

    async def test_sample_fails_at_once_when_it_becomes_stale(self):
        await self.start_rollouts()
        attempt = self.attempt()
        with self.assertRaises(SampleTooOldError):
            await self.collect_sample(attempt, lambda current: len(current.pieces) == 2)
        self.assertEqual(len(attempt.pieces), 2)

    async def test_stream_is_lost_when_the_engine_crashes(self):
        await self.start_rollouts()
        task = asyncio.create_task(self.collect_sample(self.attempt()))
        await asyncio.sleep(2)
        self.scripted.crash()
        with self.assertRaises(StreamLostError):
            await asyncio.wait_for(task, 5)

    async def test_request_is_refused_when_the_engine_is_down(self):
        await self.start_rollouts()
        self.scripted.down = True
        with self.assertRaises(TargetUnreachableError):
            await self.collect_sample(self.attempt())
        self.assertFalse(self.engine.health.usable())

    async def test_stream_is_lost_soon_when_the_engine_goes_down(self):
        await self.start_rollouts()
        task = asyncio.create_task(self.collect_sample(self.attempt()))
        await asyncio.sleep(2)
        self.scripted.crash()
        self.scripted.down = True
        with self.assertRaises(StreamLostError):
            await asyncio.wait_for(task, 5)

    async def test_stream_is_resumed_when_it_exists_already(self):
        await self.start_rollouts()
        await self.collect_sample(self.attempt())
        sample = await self.collect_sample(self.attempt())
        self.assertEqual(sample.tokens, 50)
        self.assertEqual(len(self.scripted.generated), 1)

    async def test_only_pieces_that_no_other_host_counted_are_metered(self):
        await self.start_rollouts()
        await self.collect_sample(self.attempt())
        attempt = self.attempt(resumed=True)
        attempt.metered_pieces = 3
        attempt.meter = Meter(WORKLOAD, 1)
        self.assertEqual(attempt.placement().pieces, 3)
        self.assertEqual((await self.collect_sample(attempt)).tokens, 50)
        self.assertEqual(attempt.meter.tokens, 20)
        self.assertEqual(attempt.placement().pieces, 5)

    async def test_stream_of_a_checkpoint_is_lost_when_the_engine_lacks_it(self):
        await self.start_rollouts()
        with self.assertRaises(StreamLostError):
            await self.collect_sample(self.attempt(resumed=True))

    async def test_sample_completes_when_each_of_many_cuts_follows_a_piece(self):
        await self.start_rollouts()
        read = self.scripted._read

        async def cut_after_each_piece(stream, start):
            async for piece in read(stream, start):
                yield piece
                if not piece.done:
                    raise StreamCutError("cut")

        self.scripted._read = cut_after_each_piece
        self.assertEqual((await self.collect_sample(self.attempt())).tokens, 50)

    async def test_idle_timeouts_do_not_count_as_engine_failures(self):
        await self.start_rollouts()
        idle_timeouts = 3

        async def read_after_idle_timeouts(stream, start):
            nonlocal idle_timeouts
            if idle_timeouts:
                idle_timeouts -= 1
                await asyncio.sleep(15)
                raise StreamIdleError("silent")
            async for piece in read(stream, start):
                yield piece

        read = self.scripted._read
        self.scripted._read = read_after_idle_timeouts
        self.assertEqual((await self.collect_sample(self.attempt())).tokens, 50)
        self.assertEqual(self.engine.health.failures, 0)


class AttemptTest(SampleTestCase):
    async def test_attempts_are_compared_by_identity(self):
        await self.start_rollouts()
        self.assertNotEqual(self.attempt(), self.attempt())

    async def test_oldest_version_ignores_pieces_without_tokens(self):
        await self.start_rollouts()
        attempt = self.attempt()
        attempt.add(Piece(0, 0, "", 1, False))
        self.assertIsNone(attempt.oldest)
        attempt.add(Piece(1, 8, "a", 4, False))
        attempt.add(Piece(2, 8, "b", 3, True))
        self.assertEqual(attempt.oldest, 3)
        spans = [(span.version, span.tokens) for span in attempt.sample().versions]
        self.assertEqual(spans, [(4, 8), (3, 8)])

    async def test_stream_without_tokens_has_no_version(self):
        await self.start_rollouts()
        attempt = self.attempt()
        attempt.add(Piece(0, 0, "", 1, True))
        with self.assertRaises(UnstampedStreamError):
            attempt.sample()

    async def test_rate_covers_recent_pieces_only(self):
        await self.start_rollouts()
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
