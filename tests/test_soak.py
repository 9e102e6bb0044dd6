"""Tests of the soak test: short runs, its checkers and its proxy."""

import asyncio
import unittest
from types import SimpleNamespace

from soak.history import History, ObservedBatch
from soak.proxy import LinkState, Proxy
from soak.runner import run_soak
from soak.testbed import ITEM_EVENTS
from standins.platform_target import PlatformTarget

# Short for CI; ``python -m soak`` runs for longer.
SECONDS = 6.0
# A limit is judged from 3 s after it was named, in windows of 4 s.
LIMIT_SECONDS = 12.0


class SoakTest(unittest.IsolatedAsyncioTestCase):
    async def test_guarantees_hold_under_faults(self):
        await self.check_seed(3)

    async def test_guarantees_hold_for_seeds_that_once_failed(self):
        # 124: after all engines had been unresponsive, none of them got
        # requests for short texts again.
        for seed in (124,):
            with self.subTest(seed=seed):
                await self.check_seed(seed)

    async def test_limits_are_kept_under_faults(self):
        await self.check_seed(5, LIMIT_SECONDS, limits=True)

    async def check_seed(self, seed, seconds=SECONDS, **options):
        report = await run_soak(seed, seconds, **options)
        self.assertEqual(report.violations, [])
        self.assertTrue(report.faults)
        self.assertGreater(report.statuses["200"], 0)


class HistoryTest(unittest.TestCase):
    """The checkers detect each kind of violation."""

    def setUp(self):
        self.history = History()
        self.target = PlatformTarget("e0", "lm", "m")
        self.testbed = SimpleNamespace(targets=[self.target])
        self.batch = ObservedBatch("b1", 2, frozenset({"i1", "i2"}), accepted=True)
        self.history.batch_by_id["b1"] = self.batch

    def violations(self):
        self.history.check_targets(self.testbed)
        return self.history.violations

    def read(self, *results, after=0):
        self.history.check_page(
            self.batch, after, {"total": 2, "results": list(results)}
        )

    def result(self, item="i1", text=None, versions=(2,), state="succeeded"):
        complete_text = "\n".join(f"{item}/{n}" for n in range(1, ITEM_EVENTS + 1))
        self.target.generated_events += [
            (item, n, 2) for n in range(1, ITEM_EVENTS + 1)
        ]
        return {
            "id": item,
            "state": state,
            "text": complete_text if text is None else text,
            "versions": list(versions),
        }

    def test_no_violation_when_results_are_correct(self):
        self.read(self.result(), self.result("i2"))
        self.assertEqual(self.violations(), [])

    def test_violation_when_an_unsafe_request_is_executed_twice(self):
        self.history.unsafe_statuses["r1"].append(200)
        self.target.executed_requests += ["r1", "r1"]
        self.assertEqual(len(self.violations()), 1)

    def test_violation_when_an_executed_request_is_refused(self):
        self.history.unsafe_statuses["r1"].append(503)
        self.target.executed_requests.append("r1")
        self.assertEqual(len(self.violations()), 1)

    def test_violations_when_the_response_belongs_to_another_request(self):
        headers = {"X-Cranberryrun-Attempt-Id": "r2"}
        self.history.check_response("r1", 200, b"answer to r2", headers)
        self.assertEqual(len(self.history.violations), 3)

    def test_violations_when_a_position_changes_or_an_item_has_two_positions(self):
        self.read(self.result())
        self.read(self.result("i2"))
        self.read(self.result("i1"), after=1)
        self.assertEqual(len(self.history.violations), 2)

    def test_violations_when_a_text_is_short_or_stale_or_an_item_is_lost(self):
        self.read(self.result(text="i1/1", versions=(1,)))
        self.read(self.result("i2", state="lost"), after=1)
        self.assertEqual(len(self.violations()), 4)

    def test_violation_when_two_holders_use_one_fencing_token(self):
        self.target.orders = [
            {"fencing-token": 3, "holder": "h1"},
            {"fencing-token": 3, "holder": "h2"},
        ]
        self.assertEqual(len(self.violations()), 1)


class ScoreHistoryTest(unittest.TestCase):
    """The checker of scores finds each planted violation."""

    def violations(
        self, score, scored=True, called_at=2.0, state="succeeded", failed_runs=0
    ):
        history = History()
        portal = PlatformTarget("p0", "portal")
        engine = PlatformTarget("e0", "lm", "m")
        portal.signatures_by_attempt["score-of-i1"] = {"p0.7"}
        portal.failed_runs_by_attempt["score-of-i1"] = failed_runs
        portal.started_at_by_attempt["score-of-i1"] = called_at
        engine.generated_at_by_event["i1", ITEM_EVENTS] = 1.0
        engine.generated_events = [("i1", n, 1) for n in range(1, ITEM_EVENTS + 1)]
        ids = frozenset({"i1"})
        batch = ObservedBatch("b1", 1, ids, ids if scored else frozenset(), True)
        history.batch_by_id["b1"] = batch
        result = {
            "id": "i1",
            "state": state,
            "text": "\n".join(f"i1/{n}" for n in range(1, ITEM_EVENTS + 1)),
            "versions": [1],
        }
        if score is not None:
            result["score"] = score
        history.check_page(batch, 0, {"total": 1, "results": [result]})
        testbed = SimpleNamespace(targets=[portal, engine])
        history.check_targets(testbed)
        return history.violations

    def test_no_violation_when_the_score_answers_the_call(self):
        self.assertEqual(self.violations("p0.7"), [])
        self.assertEqual(self.violations(None, scored=False), [])

    def test_violation_when_the_score_is_missing_foreign_or_unasked(self):
        for score, scored in ((None, True), ("p0.8", True), ("p0.7", False)):
            with self.subTest(score=score, scored=scored):
                self.assertEqual(len(self.violations(score, scored)), 1)

    def test_violation_when_a_scored_item_is_lost_before_its_call_failed_thrice(self):
        for failed_runs, violations in ((2, 1), (3, 0)):
            with self.subTest(failed_runs=failed_runs):
                found = self.violations(None, state="lost", failed_runs=failed_runs)
                self.assertEqual(len(found), violations)

    def test_violation_when_the_call_was_sent_before_the_last_event(self):
        self.assertEqual(len(self.violations("p0.7", called_at=0.5)), 1)


class ProxyTest(unittest.IsolatedAsyncioTestCase):
    """The proxy injects each kind of link fault."""

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

    async def test_proxy_forwards_bytes(self):
        self.assertEqual(await self.echo(), b"hello")

    async def test_proxy_blocks_bytes_until_the_link_recovers(self):
        for state in (LinkState.SILENT, LinkState.CUT_UP, LinkState.CUT_DOWN):
            with self.subTest(state=state):
                self.proxy.set_state(state)
                with self.assertRaises(TimeoutError):
                    await self.echo(0.1)
                self.proxy.set_state(LinkState.PASS)
                self.assertEqual(await self.reader.read(100), b"hello")

    async def test_proxy_resets_open_connections(self):
        self.assertEqual(await self.echo(), b"hello")
        self.proxy.set_state(LinkState.RESET)
        with self.assertRaises(ConnectionError):
            await self.echo()
