"""Crowds of callers whose heads are too long, incomplete or costly to hold."""

import asyncio
import time

from standins.caller_crowd import CallerCrowd
from standins.slow_caller import SlowCaller

from .crowds import CrowdTestCase, request_head

CALLERS = 200
# The time limit of a short route, with half a second more.
CROWD_SECONDS = 2.0
# 120 lines of 8 kB: as many and as long as aiohttp takes.
LONG_HEAD = request_head(
    "/status/x", *(f"X-Long-{n}: {'x' * 8000}" for n in range(120))
)
# Stays inside ``max-header-bytes`` of the manifest.
SMALL_FIELDS = request_head("/patient/x", *["a:"] * 3900)


async def send_long_head(caller: SlowCaller) -> None:
    """Send a head of 1 MB that lacks its last line."""
    await caller.send(LONG_HEAD)


class HeadCrowdTest(CrowdTestCase):
    async def test_long_heads_that_lack_their_last_line(self):
        """200 of them took 445 MB."""
        await self.crowd(CALLERS, send_long_head)

    async def test_long_heads_at_the_other_listeners(self):
        for name in ("ready", "peer", "metrics"):
            with self.subTest(listener=name):
                await self.crowd(CALLERS, send_long_head, self.address_by_name[name])

    async def test_heads_of_many_small_fields_that_lack_their_last_line(self):
        """As objects they take a hundred times their bytes."""

        async def act(caller):
            await caller.send(SMALL_FIELDS)

        await self.crowd(CALLERS, act)

    async def test_calls_with_many_small_fields_at_a_slow_target(self):
        self.target.answer_seconds = 1.0

        async def act(caller):
            await caller.send(SMALL_FIELDS + b"Content-Length: 0\r\n\r\n")
            await caller.read(100)

        await self.crowd(CALLERS, act)

    async def test_empty_lines_without_end_before_a_request(self):
        """They kept the process busy for 10 s."""

        async def act(caller):
            for _ in range(1000):
                await caller.send(b"\r\n" * 32_768)

        await self.crowd(8, act)
        self.assertEqual(self.closed_count, 8)

    async def test_empty_lines_inside_the_limit_leave_others_their_turn(self):
        """150 callers made a host hang for 20 s, at 4,000 parsed pieces each."""

        async def act(caller):
            await caller.send(b"\r\n" * 8000)

        started_at = time.monotonic()
        async with CallerCrowd(self.front, 150, act) as crowd:
            acting = asyncio.create_task(crowd.act_for(CROWD_SECONDS))
            await asyncio.sleep(0.1)
            await self.assert_ordinary_call_is_served()
            self.assertLess(time.monotonic() - started_at, CROWD_SECONDS)
            await acting
            self.assert_within_machine()

    async def test_request_after_empty_lines_is_served(self):
        served = []

        async def act(caller):
            head = request_head("/status/x", "Content-Length: 0")
            await caller.send(b"\r\n" * 1000 + head + b"\r\n")
            served.append(await caller.read(12))

        await self.crowd(1, act)
        self.assertEqual(served, [b"HTTP/1.1 200"])

    async def test_heads_that_follow_a_request_in_progress(self):
        self.target.answer_seconds = 2.0

        async def act(caller):
            await caller.send(request_head("/patient/x") + b"\r\n" + LONG_HEAD)

        await self.crowd(CALLERS, act)

    async def test_trailers_without_end(self):
        head = request_head("/patient/x", "Transfer-Encoding: chunked")

        async def act(caller):
            await caller.send(head + b"\r\n0\r\n" + b"X-Again: 1\r\n" * 80_000)

        await self.crowd(CALLERS, act)

    async def test_malformed_heads_do_not_fill_the_log(self):
        """Each wrote an error with a traceback."""
        before = len(self.log_path.read_text().splitlines())

        async def act(caller):
            await caller.send(b"GET /patient/x HTTP/1.1\r\nno field\r\n\r\n")
            await caller.read(100)

        await self.crowd(CALLERS, act)
        lines = self.log_path.read_text().splitlines()[before:]
        self.assertEqual([each for each in lines if '"level": "error"' in each], [])
        self.assertLess(len(lines), CALLERS // 4)
