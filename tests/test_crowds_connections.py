"""Crowds of connections beyond the descriptors of the process."""

import asyncio
import contextlib

from standins.slow_caller import SlowCaller

from .crowds import CrowdTestCase, request_head


class ConnectionCrowdTest(CrowdTestCase):
    max_descriptors = 1024

    async def test_idle_connections(self):
        async def act(caller):
            await asyncio.sleep(5.0)

        await self.crowd(1200, act)

    async def test_idle_connections_that_come_again_when_they_are_closed(self):
        async def act(caller):
            while True:
                with contextlib.suppress(ConnectionError):
                    await caller.read(1)
                caller.close()
                await asyncio.sleep(0.2)
                caller = SlowCaller(self.front)
                self.addCleanup(caller.close)
                with contextlib.suppress(ConnectionError):
                    await caller.connect()

        await self.crowd(1200, act)

    async def test_connections_whose_heads_are_incomplete(self):
        async def act(caller):
            await caller.send(b"POST /patient/x HT")
            await asyncio.sleep(5.0)

        await self.crowd(1200, act)

    async def test_connections_whose_calls_wait_for_a_target(self):
        self.target.answer_seconds = 5.0

        async def act(caller):
            await caller.send(request_head("/patient/x") + b"\r\n")
            await caller.read(100)

        await self.crowd(1200, act)
