"""Tests of the callers' side over raw connections: whole answers, or visibly none."""

import asyncio
import gzip
import json
import unittest

from cranberryrun.configuration import Configuration
from cranberryrun.host import Host
from cranberryrun.membership import Membership
from standins.deployment import free_port

from .doubles import MemoryLog, RawTarget, answer, cut, drop, head, refuse, settings
from .test_drain import UnreadableHostList, declare

LARGE = bytes(range(256)) * 8000


class ApiCallTests(unittest.IsolatedAsyncioTestCase):
    """One host; what goes in and out is compared byte by byte."""

    async def asyncSetUp(self) -> None:
        limits = {"body_bytes": 10_000}
        self.made = settings(api_port=free_port(), peer_port=free_port(), limits=limits)
        self.host = Host(self.made, MemoryLog())
        self.host.kernel.get(Membership).use_host_list(UnreadableHostList())
        await self.host.start()
        self.addAsyncCleanup(self.host.stop)
        await self.host.kernel.get(Configuration).ready.wait()

    async def _talk(self, *requests: bytes) -> bytes:
        """Send all at once on one connection and return all that comes back."""
        made = self.made
        reader, writer = await asyncio.open_connection(made.ip, made.api_port)
        writer.write(b"".join(requests))
        try:
            return await asyncio.wait_for(reader.read(), 5)
        finally:
            writer.close()

    async def _one(self, *scripts, method: str = "GET", extra: str = "") -> bytes:
        async with RawTarget(*scripts) as target:
            await declare(self.host, target)
            return await self._talk(
                request(method, "last", extra + "Connection: close\r\n")
            )

    async def test_heads_and_empty_bodies(self) -> None:
        got = await self._one(head("200 OK", "Content-Length: 1234"), method="HEAD")
        start, _, body = got.partition(b"\r\n\r\n")
        self.assertIn(b"Content-Length: 1234", start)
        self.assertEqual(body, b"")
        for status in ("204 No Content", "304 Not Modified"):
            start, _, body = (await self._one(head(status, "ETag: x"))).partition(
                b"\r\n\r\n"
            )
            self.assertIn(status.encode(), start)
            self.assertIn(b"etag: x", start.lower())
            self.assertEqual(body, b"")

    async def test_compressed_body_is_passed_on(self) -> None:
        body = gzip.compress(b"text")
        got = await self._one(answer(body, "200 OK", "Content-Encoding: gzip"))
        start, _, rest = got.partition(b"\r\n\r\n")
        self.assertIn(b"Content-Encoding: gzip", start)
        self.assertIn(f"Content-Length: {len(body)}".encode(), start)
        self.assertEqual(rest, body)

    async def test_large_answer_is_whole(self) -> None:
        start, _, rest = (await self._one(answer(LARGE))).partition(b"\r\n\r\n")
        self.assertIn(f"Content-Length: {len(LARGE)}".encode(), start)
        self.assertEqual(rest, LARGE)

    async def test_large_answer_that_is_cut_looks_cut(self) -> None:
        async def chunks(writer: asyncio.StreamWriter) -> None:
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            for _ in range(10):
                writer.write(b"%x\r\n" % len(LARGE) + LARGE + b"\r\n")
            writer.write(b"ff\r\nhalf")
            await writer.drain()
            writer.close()

        async with RawTarget(cut(LARGE, 1), chunks) as target:
            await declare(self.host, target)
            for _ in range(2):
                try:
                    got = await self._talk(request("GET", "x"))
                except ConnectionResetError:
                    continue
                # Neither the declared length nor the last chunk may be there.
                start, _, rest = got.partition(b"\r\n\r\n")
                self.assertFalse(rest.endswith(b"0\r\n\r\n"))
                if b"Content-Length" in start:
                    self.assertLess(len(rest), len(LARGE) + 1)

    async def test_small_answer_that_is_cut_is_a_problem(self) -> None:
        got = await self._one(cut(b"half", 4), method="POST")
        problem = _problem(got)
        self.assertIn(b"502 Bad Gateway", got)
        self.assertEqual(problem["code"], "answer_truncated")
        self.assertEqual(problem["outcome"], "unknown")
        self.assertNotIn("not_run", problem)

    async def test_refusals_and_failures_are_told_apart(self) -> None:
        got = await self._one(refuse(), method="POST")
        self.assertTrue(_problem(got)["not_run"])
        self.assertIn(b"Retry-After: ", got)
        async with RawTarget(answer()) as target:
            await declare(self.host, target)
        got = await self._talk(request("POST", "x", "Connection: close\r\n"))
        self.assertEqual(_problem(got)["code"], "target_unreachable")
        self.assertTrue(_problem(got)["not_run"])
        self.assertIn(b"Retry-After: ", got)
        got = await self._one(drop, method="POST")
        self.assertEqual(_problem(got)["outcome"], "unknown")

    async def test_bad_input_names_its_field(self) -> None:
        for extra, field in (
            (f"Idempotency-Key: {'k' * 201}\r\n", "Idempotency-Key"),
            (f"X-Request-Id: {'k' * 201}\r\n", "X-Request-Id"),
            ("X-Deadline-Ms: soon\r\n", "X-Deadline-Ms"),
        ):
            problem = _problem(await self._one(answer(), extra=extra))
            self.assertEqual((problem["field"], problem["not_run"]), (field, True))
        got = await self._one(answer(), extra="X-Deadline-Ms: 0\r\n")
        self.assertTrue(_problem(got)["not_run"])

    async def test_body_over_the_limit_reaches_no_target(self) -> None:
        async with RawTarget(answer()) as target:
            await declare(self.host, target)
            body = b"x" * 20_000
            extra = f"Connection: close\r\nContent-Length: {len(body)}\r\n"
            got = await self._talk(request("POST", "x", extra) + body)
            self.assertIn(b"413 ", got)
            self.assertEqual(target.connections, 0)

    async def test_requests_on_one_connection_keep_their_order(self) -> None:
        waits = [0.3, 0.0, 0.1]

        async def echo(writer: asyncio.StreamWriter) -> None:
            path = target.requests[-1][0].split()[1].encode()
            await asyncio.sleep(waits.pop(0))
            await answer(path)(writer)

        target = RawTarget(echo)
        async with target:
            await declare(self.host, target)
            got = await self._talk(
                request("GET", "a%2Fb?q=1"),
                request("GET", "two"),
                request("GET", "three", "Connection: close\r\n"),
            )
        bodies = [part.split(b"HTTP/1.1")[0] for part in got.split(b"\r\n\r\n")[1:]]
        self.assertEqual(bodies, [b"/a%2Fb?q=1", b"/two", b"/three"])

    async def test_caller_that_goes_ends_the_request(self) -> None:
        gone = asyncio.Event()

        async def endless(writer: asyncio.StreamWriter) -> None:
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 1000000000\r\n\r\n")
            try:
                while True:
                    writer.write(LARGE)
                    await writer.drain()
            except ConnectionError:
                gone.set()

        async with RawTarget(endless) as target:
            await declare(self.host, target)
            reader, writer = await asyncio.open_connection(
                self.made.ip, self.made.api_port
            )
            writer.write(request("GET", "x"))
            await reader.readexactly(100)
            writer.transport.abort()
            await asyncio.wait_for(gone.wait(), 5)


def request(method: str, path: str, extra: str = "") -> bytes:
    """Return the bytes of a request to the service ``s``."""
    return f"{method} /call/s/{path} HTTP/1.1\r\nHost: h\r\n{extra}\r\n".encode()


def _problem(got: bytes) -> dict[str, object]:
    return json.loads(got.partition(b"\r\n\r\n")[2])
