"""Crowds of callers that ask for long answers and read little or nothing of them."""

import asyncio

from .crowds import CrowdTestCase, request_head

ANSWER_BYTES = 4_000_000


class AnswerCrowdTest(CrowdTestCase):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.target.answer_padding = b"x" * ANSWER_BYTES

    async def test_unread_answers(self):
        """200 of them took 976 MB."""

        async def act(caller):
            await caller.send(request_head("/patient/x") + b"\r\n")
            await asyncio.sleep(7.0)

        await self.crowd(60, act)

    async def test_unread_answers_to_calls_that_run_once(self):
        async def act(caller):
            await caller.send(request_head("/once/x") + b"\r\n")
            await asyncio.sleep(7.0)

        await self.crowd(60, act)

    async def test_many_unread_answers_on_each_connection(self):
        async def act(caller):
            for number in range(20):
                head = request_head("/patient/x", attempt_id=f"crowd-{number}")
                await caller.send(head + b"\r\n")
            await asyncio.sleep(7.0)

        await self.crowd(60, act)

    async def test_answers_that_are_read_a_few_bytes_at_a_time(self):
        async def act(caller):
            await caller.send(request_head("/patient/x") + b"\r\n")
            await caller.read(7_000, rate=1000)

        await self.crowd(60, act)

    async def test_callers_that_leave_and_ask_again(self):
        async def act(caller):
            await caller.send(request_head("/patient/x") + b"\r\n")
            await asyncio.sleep(0.2)
            caller.close()

        for _ in range(4):
            await self.crowd(60, act)
