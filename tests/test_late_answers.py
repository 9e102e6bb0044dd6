"""A target sends a second, late copy of an answer on a connection in use again.

The copy arrives where the answer to the next request is due. It must not be taken for
that answer, whether it is a success or a refusal.
"""

import asyncio

from cranberryrun import clock
from cranberryrun.exceptions import TargetFailedError
from cranberryrun.fleet.address import Address
from cranberryrun.fleet.client import LoadOrder, TargetClient
from cranberryrun.fleet.directory import Directory, Target
from fakes.deployment import reward_call

from .doubles import RawTarget, answer, report
from .test_platform_host import PlatformTestCase

COPIES = ("foreign", "foreign refusal")


class LateAnswerTest(PlatformTestCase):
    def entry(self, target):
        return self.host.kernel.get(Directory).target_by_id[target.id]

    @property
    def client(self):
        return self.host.kernel.get(TargetClient)

    async def test_request_that_may_not_be_repeated_is_not_called_refused(self):
        """It runs once, and its caller is not told that it has not run."""
        for copy in COPIES:
            with self.subTest(copy=copy):
                for portal in self.portals:
                    portal.executed_requests.clear()
                    portal.script.append(copy)
                status, _, body = await self.request("POST", "/hold/x", copy)
                self.assertEqual(status, 502)
                self.assertNotIn(b'"not_run": true', body)
                runs = [run for p in self.portals for run in p.executed_requests]
                self.assertEqual(len(runs), 1)
                for portal in self.portals:
                    portal.script.clear()

    async def test_repeatable_request_gets_its_own_answer(self):
        for copy in COPIES:
            with self.subTest(copy=copy):
                self.portals[0].script.append(copy)
                for number in range(4):
                    status, _, body = await self.request(
                        "POST", "/status/x", f"{copy}-{number}", data=b"mine"
                    )
                    self.assertEqual((status, body), (200, b"answer to mine"))
                self.portals[0].script.clear()

    async def test_reward_call_is_not_scored_or_refused_by_the_copy(self):
        for copy in COPIES:
            with self.subTest(copy=copy):
                self.portals[0].script.append(copy)
                with self.assertRaises(TargetFailedError):
                    await self.client.score(
                        self.entry(self.portals[0]),
                        reward_call("i1"),
                        clock.now() + 1.0,
                    )

    async def test_order_and_report_are_not_answered_by_the_copy(self):
        self.engine.answers_carry_id = "somebody-else"
        order = LoadOrder("m", 2, "host-1", 99, 0, True)
        with self.assertRaises(TargetFailedError):
            await self.client.order(self.entry(self.engine), order)
        with self.assertRaises(TargetFailedError):
            await self.client.report(self.entry(self.engine))

    async def test_copy_on_an_idle_connection_answers_no_later_call(self):
        # Reports have no id by which a copy could be told from an answer.
        for copy in (
            answer(report(1)),
            answer(b"", "503 Service Unavailable", "X-Cranberryrun-Not-Executed: 1"),
        ):
            sent = asyncio.Event()

            async def answer_twice(writer):
                await answer(report(1))(writer)
                await writer.drain()
                await asyncio.sleep(0.05)
                await copy(writer)
                sent.set()

            async with RawTarget(answer_twice, answer(report(2))) as raw:
                address = Address.parse(raw.url.removeprefix("http://"))
                target = Target("t", "lm", address, "a", 4, False, 1, 1, {})
                self.assertEqual((await self.client.report(target)).sequence, 1)
                await sent.wait()
                await asyncio.sleep(0.05)
                self.assertEqual((await self.client.report(target)).sequence, 2)
                self.assertEqual(raw.connections, 2)
