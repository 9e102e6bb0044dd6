"""Single calls at the limits of the manifest, at the smallest machine, in calm."""

import gzip

from standins.slow_caller import SlowCaller

from .crowds import CrowdTestCase, request_head

HEAD_BYTES = 16_384
BODY_BYTES = 33_554_432
END = b"\r\n\r\n"


def filled_head(path="/patient/x", *lines):
    """Return a complete head of exactly ``HEAD_BYTES``; its last field fills it up."""
    head = request_head(path, "Content-Length: 0", *lines, "X-Filler: ")
    filler = HEAD_BYTES - len(head) - 2
    return head[:-2] + b"x" * filler + END


class SingleCallTest(CrowdTestCase):
    limits = {"max-header-bytes": HEAD_BYTES, "max-body-bytes": BODY_BYTES}

    async def send(self, *parts):
        """Send a request in parts; return the status of its answer."""
        caller = SlowCaller(self.front)
        self.addCleanup(caller.close)
        await caller.connect()
        for part in parts:
            await caller.send(part)
        answer = await caller.read(20)
        self.assert_within_machine()
        return int(answer.split()[1])

    async def assert_served(self, *parts):
        self.assertEqual(await self.send(*parts), 200)

    async def assert_body_served(self, body):
        """Assert that the target got ``body`` as its newest request."""
        received = self.target.requests.pop()["body"]
        self.assertEqual(len(received), len(body))
        self.assertTrue(received == body.decode("latin-1"))

    async def test_head_of_one_long_field(self):
        await self.assert_served(filled_head())

    async def test_head_of_a_long_path(self):
        await self.assert_served(filled_head("/patient/" + "x" * 15_000))

    async def test_head_of_many_small_fields(self):
        await self.assert_served(filled_head("/patient/x", *["a:"] * 3900))

    async def test_head_in_pieces(self):
        head = filled_head("/patient/x", *["a: b"] * 1000)
        await self.assert_served(*(head[n : n + 7] for n in range(0, len(head), 7)))

    async def test_head_with_its_body(self):
        body = b"y" * 1_000_000
        head = filled_head().replace(b"Content-Length: 0", b"Content-Length: 1000000")
        # The head keeps its size: the length has six more digits.
        await self.assert_served(head.replace(b"x" * 6 + END, END) + body)
        await self.assert_body_served(body)

    async def test_head_over_the_limit(self):
        status = await self.send(filled_head().replace(END, b"x" + END))
        self.assertEqual(status, 431)

    async def test_whole_body(self):
        self.target.echoes_bodies = False
        body = b"y" * BODY_BYTES
        head = request_head("/patient/x", f"Content-Length: {BODY_BYTES}") + b"\r\n"
        await self.assert_served(head, body)
        await self.assert_body_served(body)

    async def test_body_in_pieces(self):
        self.target.echoes_bodies = False
        pieces = BODY_BYTES // 1024
        head = request_head("/patient/x", "Transfer-Encoding: chunked") + b"\r\n"
        chunk = b"400\r\n" + b"y" * 1024 + b"\r\n"
        await self.assert_served(head, *[chunk * 64] * (pieces // 64), b"0" + END)
        await self.assert_body_served(b"y" * BODY_BYTES)

    async def test_body_in_chunks_of_one_byte(self):
        head = request_head("/patient/x", "Transfer-Encoding: chunked") + b"\r\n"
        await self.assert_served(head, *[b"1\r\ny\r\n" * 100] * 1000, b"0" + END)
        await self.assert_body_served(b"y" * 100_000)

    async def test_body_over_the_limit(self):
        head = request_head("/patient/x", f"Content-Length: {BODY_BYTES + 1}")
        status = await self.send(head + b"\r\n")
        self.assertEqual(status, 413)

    async def test_encoded_body(self):
        """It was decoded on its way, and its Content-Encoding kept."""
        body = gzip.compress(b"y" * 100_000)
        head = request_head(
            "/patient/x", f"Content-Length: {len(body)}", "Content-Encoding: gzip"
        )
        await self.assert_served(head + b"\r\n" + body)
        await self.assert_body_served(body)
