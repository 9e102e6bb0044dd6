"""Tests of the engine stand-in on a virtual clock."""

import asyncio
from contextlib import aclosing

from standins._generation import Piece, generated_length, generated_text
from standins._orders import Order, StaleFence
from standins._program import ConnectionBroken
from standins.engine import (
    EngineStandin,
    GenerateBody,
    RefusedBeforeRun,
    StreamExists,
    UnknownStream,
)

from .virtual import VirtualTimeTestCase

PROMPT = "why"


def make_body(stream: str, **changes: object) -> GenerateBody:
    """Return a request for a stream of 80 tokens, unless ``changes`` say otherwise."""
    seed = next(s for s in range(1000) if generated_length(PROMPT, s, 1000) >= 80)
    body = {"stream": stream, "workload": "w", "prompt": PROMPT, "seed": seed}
    return GenerateBody.model_validate({**body, "max_tokens": 80, **changes})


def make_order(version: int, fence: int, order: str | None = None) -> Order:
    """Return an order to load a version of workload ``w``."""
    return Order(
        order=order or f"o{version}",
        fence=fence,
        kind="load_version",
        workload="w",
        version=version,
    )


class EngineTests(VirtualTimeTestCase):
    """Batching, version stamps, fencing and faults of the engine stand-in."""

    async def start_engine(self, **options: object) -> EngineStandin:
        """Return a started engine with two slots and 80 tokens per second."""
        engine = EngineStandin(slots=2, tokens_per_second=80.0, **options)
        await engine.start()
        self.addAsyncCleanup(engine.stop)
        return engine

    async def read_all(self, engine: EngineStandin, stream: str) -> list[Piece]:
        """Read a stream to its end."""
        async with aclosing(engine.read(stream)) as pieces:
            return [piece async for piece in pieces]

    async def test_running_streams_share_the_rate(self) -> None:
        engine = await self.start_engine()
        started = self.now()
        engine.generate(make_body("a"))
        engine.generate(make_body("b"))
        pieces = await self.read_all(engine, "a")
        self.assertAlmostEqual(self.now() - started, 2.0, delta=0.1)
        self.assertEqual(sum(piece.tokens for piece in pieces), 80)
        self.assertEqual([p.seq for p in pieces], list(range(len(pieces))))
        self.assertTrue(pieces[-1].done)
        text = "".join(piece.text for piece in pieces)
        self.assertEqual(text, generated_text(PROMPT, make_body("a").seed, 0, 80))

    async def test_queue_is_ordered_by_priority_then_arrival(self) -> None:
        engine = await self.start_engine()
        for name, priority in (("a", 0), ("b", 0), ("c", 0), ("d", 5), ("e", 5)):
            engine.generate(make_body(name, priority=priority))
        await asyncio.sleep(10)
        streams = [s for s in engine.record()["streams"] if s["state"] == "finished"]
        self.assertEqual(len(streams), 5)
        by_end = sorted(streams, key=lambda stream: stream["ended"])
        self.assertEqual([s["stream"] for s in by_end], ["a", "b", "d", "e", "c"])

    async def test_stamp_changes_within_a_stream_when_a_load_completes(self) -> None:
        engine = await self.start_engine()
        engine.generate(make_body("a"))
        await asyncio.sleep(0.5)
        engine.orders.accept(make_order(3, fence=1))
        self.assertEqual(engine.state()["by_workload"]["w"]["loading"], 3)
        versions = [piece.version for piece in await self.read_all(engine, "a")]
        self.assertEqual(sorted(set(versions)), [0, 3])
        self.assertEqual(versions, sorted(versions))

    async def test_old_fencing_token_is_rejected_only_with_fencing(self) -> None:
        for fencing in (True, False):
            engine = await self.start_engine(fencing=fencing)
            engine.orders.accept(make_order(3, fence=5))
            engine.orders.accept(make_order(3, fence=5))
            await asyncio.sleep(1)
            if fencing:
                with self.assertRaises(StaleFence):
                    engine.orders.accept(make_order(2, fence=4))
            else:
                engine.orders.accept(make_order(2, fence=4))
            await asyncio.sleep(1)
            version = engine.state()["by_workload"]["w"]["version"]
            self.assertEqual(version, 3 if fencing else 2)

    async def test_failed_load_keeps_the_version_and_can_be_retried(self) -> None:
        engine = await self.start_engine()
        engine.change_faults({"fail_loads": 1})
        expected = {"version": 0, "fence": 1, "loading": None}
        engine.orders.accept(make_order(3, fence=1))
        await asyncio.sleep(1)
        self.assertEqual(engine.state()["by_workload"]["w"], expected)
        engine.orders.accept(make_order(3, fence=1))
        await asyncio.sleep(1)
        self.assertEqual(engine.state()["by_workload"]["w"]["version"], 3)

    async def test_later_order_supersedes_a_load(self) -> None:
        engine = await self.start_engine()
        engine.orders.accept(make_order(3, fence=1))
        engine.orders.accept(make_order(4, fence=2))
        await asyncio.sleep(1)
        states = [order["state"] for order in engine.record()["orders_applied"]]
        self.assertEqual(states, ["superseded", "applied"])
        self.assertEqual(engine.state()["by_workload"]["w"]["version"], 4)

    async def test_min_version_waits_for_a_running_load_or_is_refused(
        self,
    ) -> None:
        engine = await self.start_engine()
        with self.assertRaises(RefusedBeforeRun):
            engine.generate(make_body("a", min_version=3))
        engine.orders.accept(make_order(3, fence=1))
        engine.generate(make_body("a", min_version=3))
        pieces = await self.read_all(engine, "a")
        self.assertEqual({piece.version for piece in pieces}, {3})

    async def test_unread_stream_continues_and_expires(self) -> None:
        engine = await self.start_engine()
        engine.generate(make_body("a"))
        await asyncio.sleep(59)
        self.assertTrue((await self.read_all(engine, "a"))[-1].done)
        with self.assertRaises(StreamExists):
            engine.generate(make_body("a"))
        await asyncio.sleep(61)
        with self.assertRaises(UnknownStream):
            await self.read_all(engine, "a")

    async def test_stream_is_cut_once_and_can_be_resumed(self) -> None:
        engine = await self.start_engine()
        engine.change_faults({"cut_after": 2})
        engine.generate(make_body("a"))
        sequence_numbers = []
        with self.assertRaises(ConnectionBroken):
            async for piece in engine.read("a"):
                sequence_numbers.append(piece.seq)
        self.assertEqual(sequence_numbers, [0, 1])
        async for piece in engine.read("a", 2):
            sequence_numbers.append(piece.seq)
        self.assertEqual(sequence_numbers, list(range(10)))

    async def test_crash_loses_streams_and_versions(self) -> None:
        engine = await self.start_engine()
        engine.orders.accept(make_order(3, fence=1))
        engine.generate(make_body("a"))
        reading = asyncio.create_task(self.read_all(engine, "a"))
        await asyncio.sleep(0.5)
        before = engine.incarnation
        engine.change_faults({"crash": True})
        with self.assertRaises(ConnectionBroken):
            await reading
        self.assertGreater(engine.incarnation, before)
        self.assertEqual(engine.state()["by_workload"], {})
        self.assertFalse(engine.faults.crash)

    async def test_load_report_lags(self) -> None:
        engine = await self.start_engine(load_lag=2.0)
        await asyncio.sleep(3)
        engine.generate(make_body("a", max_tokens=1000))
        await asyncio.sleep(1)
        self.assertEqual(engine.load()["running"], 0)
        engine.generate(make_body("b", max_tokens=1000))
        await asyncio.sleep(1.5)
        self.assertEqual(engine.load()["running"], 1)

    async def test_cached_prefix_skips_the_prefill(self) -> None:
        engine = await self.start_engine(cache_prefixes=1)
        seconds = []
        for name, prompt in (("a", "p" * 256), ("b", "p" * 256), ("c", "q")):
            started = self.now()
            engine.generate(make_body(name, prompt=prompt, max_tokens=1))
            await self.read_all(engine, name)
            seconds.append(self.now() - started)
        self.assertGreater(seconds[0] - seconds[1], 0.03)
        await asyncio.sleep(2)
        events, next_number = engine.cache.events(0)
        kinds = [event["kind"] for event in events]
        self.assertEqual(kinds, ["stored", "stored", "evicted"])
        self.assertEqual(next_number, 3)

    async def test_pieces_have_no_version_when_unstamped(self) -> None:
        engine = await self.start_engine()
        engine.change_faults({"unstamped": True})
        engine.generate(make_body("a"))
        pieces = await self.read_all(engine, "a")
        self.assertNotIn("version", pieces[0].as_json())

    def test_lengths_have_a_long_tail(self) -> None:
        lengths = sorted(generated_length("p", seed, 10_000) for seed in range(500))
        self.assertGreater(lengths[-5], 4 * lengths[250])
        self.assertEqual(generated_length("p", 1, 3), 3)

    async def test_pieces_have_the_requested_length_and_end_when_the_version_changes(
        self,
    ) -> None:
        engine = await self.start_engine()
        engine.orders.accept(make_order(1, fence=1))
        await asyncio.sleep(2)
        engine.generate(make_body("a", piece_tokens=40))
        await asyncio.sleep(0.3)
        engine.orders.accept(make_order(2, fence=2))
        pieces = await self.read_all(engine, "a")
        self.assertEqual(sum(piece.tokens for piece in pieces), 80)
        self.assertEqual({piece.version for piece in pieces}, {1, 2})
        for piece, next_piece in zip(pieces, pieces[1:]):
            if piece.tokens < 40:
                self.assertNotEqual(piece.version, next_piece.version)
