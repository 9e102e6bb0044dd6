"""Crowds of callers with large bodies, many of which stop just short of their end."""

import gzip

from .crowds import CrowdTestCase, request_head

BODY = b"x" * 2_000_000


class BodyCrowdTest(CrowdTestCase):
    async def test_bodies_that_lack_their_last_byte(self):
        """200 of them took 136 MB of 128 MB."""
        head = request_head("/patient/x", f"Content-Length: {len(BODY)}") + b"\r\n"

        async def act(caller):
            await caller.send(head + BODY[:-1])
            await caller.read(100)

        await self.crowd(200, act)

    async def test_bodies_without_length_that_lack_their_end(self):
        head = request_head("/patient/x", "Transfer-Encoding: chunked") + b"\r\n"
        chunk = b"%x\r\n%b\r\n" % (len(BODY) // 10, BODY[: len(BODY) // 10])

        async def act(caller):
            await caller.send(head + chunk * 10)
            await caller.read(100)

        await self.crowd(200, act)

    async def test_bodies_in_chunks_of_one_byte(self):
        head = request_head("/patient/x", "Transfer-Encoding: chunked") + b"\r\n"

        async def act(caller):
            await caller.send(head + b"1\r\nx\r\n" * 20_000)
            await caller.read(100)

        await self.crowd(100, act)

    async def test_whole_bodies_at_a_slow_target(self):
        self.target.answer_seconds = 2.0
        head = request_head("/once/x", f"Content-Length: {len(BODY)}") + b"\r\n"

        async def act(caller):
            await caller.send(head + BODY)
            await caller.read(100)

        await self.crowd(200, act)

    async def test_bodies_that_expand_when_they_are_decoded(self):
        body = gzip.compress(b"x" * 20_000_000)
        head = request_head(
            "/patient/x", f"Content-Length: {len(body)}", "Content-Encoding: gzip"
        )

        async def act(caller):
            await caller.send(head + b"\r\n" + body)
            await caller.read(100)

        await self.crowd(40, act)

    async def test_bodies_that_relays_would_pass_on(self):
        head = request_head("/relay/t0/x", f"Content-Length: {len(BODY)}") + b"\r\n"

        async def act(caller):
            await caller.send(head + BODY[:-1])
            await caller.read(100)

        await self.crowd(200, act, self.address_by_name["peer"])


class SubmissionCrowdTest(CrowdTestCase):
    async def submit(self, count, body):
        head = request_head("/rollout/x", f"Content-Length: {len(body)}") + b"\r\n"

        async def act(caller):
            await caller.send(head + body)
            await caller.read(100)

        await self.crowd(count, act)

    async def test_batches_of_many_small_objects(self):
        """40 of them took 163 MB."""
        await self.submit(40, b"[" + b"{}," * 600_000 + b"{}]")

    async def test_batches_of_deep_nesting(self):
        await self.submit(40, b"[[],[]," * 250_000)

    async def test_batches_of_long_strings(self):
        await self.submit(40, b'{"step": "' + "é".encode() * 900_000 + b'"}')
