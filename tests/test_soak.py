"""The fault soak: a short seeded run, and every seed that ever failed."""

import asyncio
import unittest
from types import SimpleNamespace

from soak.history import BatchSeen, History
from soak.proxy import LinkState, Proxy
from soak.running import soak
from soak.world import ITEM_EVENTS
from standins.platform_target import PlatformTarget

# Kept short for CI; ``python -m soak`` runs longer ones.
SECONDS = 6.0


class SoakTest(unittest.IsolatedAsyncioTestCase):
    async def test_no_promise_is_broken_under_the_faults_of_a_seed(self):
        await self.check(3)

    async def test_seeds_that_failed_once(self):
        # 124: engines that had all been silent got no short texts any more.
        for seed in (124,):
            with self.subTest(seed=seed):
                await self.check(seed)

    async def check(self, seed):
        report = await soak(seed, SECONDS)
        self.assertEqual(report.violations, [])
        self.assertTrue(report.faults)
        self.assertGreater(report.statuses["200"], 0)


class HistoryTest(unittest.TestCase):
    """A checker that finds nothing proves nothing."""

    def setUp(self):
        self.history = History()
        self.target = PlatformTarget("e0", "lm", "m")
        self.world = SimpleNamespace(targets=[self.target])
        self.batch = BatchSeen("b1", 2, frozenset({"i1", "i2"}), accepted=True)
        self.history.batch_by_id["b1"] = self.batch

    def violations(self):
        self.history.check_world(self.world)
        return self.history.violations

    def read(self, *results, after=0):
        self.history.read(self.batch, after, {"total": 2, "results": list(results)})

    def result(self, item="i1", text=None, versions=(2,), state="succeeded"):
        whole = "\n".join(f"{item}/{n}" for n in range(1, ITEM_EVENTS + 1))
        self.target.made += [(item, n, 2) for n in range(1, ITEM_EVENTS + 1)]
        return {
            "id": item,
            "state": state,
            "text": whole if text is None else text,
            "versions": list(versions),
        }

    def test_what_is_right_passes(self):
        self.read(self.result(), self.result("i2"))
        self.assertEqual(self.violations(), [])

    def test_a_second_run_of_an_unsafe_request(self):
        self.history.unsafe_statuses["r1"].append(200)
        self.target.ran += ["r1", "r1"]
        self.assertEqual(len(self.violations()), 1)

    def test_a_refusal_of_what_ran(self):
        self.history.unsafe_statuses["r1"].append(503)
        self.target.ran.append("r1")
        self.assertEqual(len(self.violations()), 1)

    def test_an_answer_to_another_request(self):
        headers = {"X-Cranberryrun-Attempt-Id": "r2"}
        self.history.answered("r1", 200, b"answer to r2", headers)
        self.assertEqual(len(self.history.violations), 3)

    def test_a_position_that_changed_and_an_item_that_stands_twice(self):
        self.read(self.result())
        self.read(self.result("i2"))
        self.read(self.result("i1"), after=1)
        self.assertEqual(len(self.history.violations), 2)

    def test_texts_that_are_short_or_too_old_and_items_that_are_lost(self):
        self.read(self.result(text="i1/1", versions=(1,)))
        self.read(self.result("i2", state="lost"), after=1)
        self.assertEqual(len(self.violations()), 4)

    def test_two_holders_with_one_token(self):
        self.target.orders = [
            {"fencing-token": 3, "holder": "h1"},
            {"fencing-token": 3, "holder": "h2"},
        ]
        self.assertEqual(len(self.violations()), 1)


class ProxyTest(unittest.IsolatedAsyncioTestCase):
    """Faults that are not brought about would prove nothing."""

    async def asyncSetUp(self):
        async def echo(reader, writer):
            while chunk := await reader.read(100):
                writer.write(chunk)
            writer.close()

        server = await asyncio.start_server(echo, "127.0.0.1", 0)
        self.addCleanup(server.close)
        host, port = server.sockets[0].getsockname()
        self.proxy = Proxy(f"{host}:{port}")
        await self.proxy.start()
        self.addAsyncCleanup(self.proxy.stop)
        host, _, port = self.proxy.address.rpartition(":")
        self.reader, self.writer = await asyncio.open_connection(host, int(port))
        self.addCleanup(self.writer.close)

    async def echo(self, seconds=0.5):
        self.writer.write(b"hello")
        async with asyncio.timeout(seconds):
            return await self.reader.read(100)

    async def test_it_passes_bytes_on(self):
        self.assertEqual(await self.echo(), b"hello")

    async def test_it_holds_bytes_until_the_link_heals(self):
        for state in (LinkState.SILENT, LinkState.CUT_UP, LinkState.CUT_DOWN):
            with self.subTest(state=state):
                self.proxy.turn(state)
                with self.assertRaises(TimeoutError):
                    await self.echo(0.1)
                self.proxy.turn(LinkState.PASS)
                self.assertEqual(await self.reader.read(100), b"hello")

    async def test_it_resets_open_and_new_connections(self):
        self.assertEqual(await self.echo(), b"hello")
        self.proxy.turn(LinkState.RESET)
        with self.assertRaises(ConnectionError):
            await self.echo()
