"""Tests of service calls over raw connections.

A caller must receive a complete answer, a problem, or a visibly truncated answer.
"""

import asyncio
import gzip
import json
import unittest

from cranberryrun.configuration import Configuration
from cranberryrun.host import Host
from cranberryrun.membership import Membership
from standins.ports import free_port

from .doubles import MemoryLog, RawTarget, answer, cut, drop, head, refuse, settings
from .test_drain import UnreadableHostList, declare

LARGE = bytes(range(256)) * 8000


class ApiCallTests(unittest.IsolatedAsyncioTestCase):
    """Sends raw requests to one host and compares the bytes of the answers."""

    async def asyncSetUp(self) -> None:
        limits = {"body_bytes": 10_000}
        self.host_settings = settings(
            api_port=free_port(), peer_port=free_port(), limits=limits
        )
        self.host = Host(self.host_settings, MemoryLog())
        self.host.kernel.get(Membership).use_host_list(UnreadableHostList())
        await self.host.start()
        self.addAsyncCleanup(self.host.stop)
        await self.host.kernel.get(Configuration).ready.wait()

    async def _exchange(self, *requests: bytes) -> bytes:
        """Send ``requests`` at once on one connection; return the bytes received."""
        host_settings = self.host_settings
        reader, writer = await asyncio.open_connection(
            host_settings.ip, host_settings.api_port
        )
        writer.write(b"".join(requests))
        try:
            return await asyncio.wait_for(reader.read(), 5)
        finally:
            writer.close()

    async def _call(self, *scripts, method: str = "GET", extra: str = "") -> bytes:
        async with RawTarget(*scripts) as target:
            await declare(self.host, target)
            return await self._exchange(
                request(method, "last", extra + "Connection: close\r\n")
            )

    async def test_answers_without_body_keep_their_headers(self) -> None:
        response = await self._call(
            head("200 OK", "Content-Length: 1234"), method="HEAD"
        )
        start, _, body = response.partition(b"\r\n\r\n")
        self.assertIn(b"Content-Length: 1234", start)
        self.assertEqual(body, b"")
        for status in ("204 No Content", "304 Not Modified"):
            start, _, body = (await self._call(head(status, "ETag: x"))).partition(
                b"\r\n\r\n"
            )
            self.assertIn(status.encode(), start)
            self.assertIn(b"etag: x", start.lower())
            self.assertEqual(body, b"")

    async def test_compressed_body_is_forwarded_unchanged(self) -> None:
        body = gzip.compress(b"text")
        response = await self._call(answer(body, "200 OK", "Content-Encoding: gzip"))
        start, _, rest = response.partition(b"\r\n\r\n")
        self.assertIn(b"Content-Encoding: gzip", start)
        self.assertIn(f"Content-Length: {len(body)}".encode(), start)
        self.assertEqual(rest, body)

    async def test_large_answer_is_forwarded_completely(self) -> None:
        start, _, rest = (await self._call(answer(LARGE))).partition(b"\r\n\r\n")
        self.assertIn(f"Content-Length: {len(LARGE)}".encode(), start)
        self.assertEqual(rest, LARGE)

    async def test_large_answer_is_truncated_when_target_disconnects(self) -> None:
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
                    response = await self._exchange(request("GET", "x"))
                except ConnectionResetError:
                    continue
                # A truncated answer has no last chunk and fewer bytes than declared.
                start, _, rest = response.partition(b"\r\n\r\n")
                self.assertFalse(rest.endswith(b"0\r\n\r\n"))
                if b"Content-Length" in start:
                    self.assertLess(len(rest), len(LARGE) + 1)

    async def test_small_answer_becomes_a_problem_when_target_disconnects(self) -> None:
        response = await self._call(cut(b"half", 4), method="POST")
        problem = _problem(response)
        self.assertIn(b"502 Bad Gateway", response)
        self.assertEqual(problem["code"], "answer_truncated")
        self.assertEqual(problem["outcome"], "unknown")
        self.assertNotIn("not_run", problem)

    async def test_problem_tells_refusal_from_unknown_outcome(self) -> None:
        response = await self._call(refuse(), method="POST")
        self.assertTrue(_problem(response)["not_run"])
        self.assertIn(b"Retry-After: ", response)
        async with RawTarget(answer()) as target:
            await declare(self.host, target)
        response = await self._exchange(request("POST", "x", "Connection: close\r\n"))
        self.assertEqual(_problem(response)["code"], "target_unreachable")
        self.assertTrue(_problem(response)["not_run"])
        self.assertIn(b"Retry-After: ", response)
        response = await self._call(drop, method="POST")
        self.assertEqual(_problem(response)["outcome"], "unknown")

    async def test_problem_names_the_invalid_header(self) -> None:
        for extra, field in (
            (f"Idempotency-Key: {'k' * 201}\r\n", "Idempotency-Key"),
            (f"X-Request-Id: {'k' * 201}\r\n", "X-Request-Id"),
            ("X-Deadline-Ms: soon\r\n", "X-Deadline-Ms"),
        ):
            problem = _problem(await self._call(answer(), extra=extra))
            self.assertEqual((problem["field"], problem["not_run"]), (field, True))
        response = await self._call(answer(), extra="X-Deadline-Ms: 0\r\n")
        self.assertTrue(_problem(response)["not_run"])

    async def test_body_over_the_limit_reaches_no_target(self) -> None:
        async with RawTarget(answer()) as target:
            await declare(self.host, target)
            body = b"x" * 20_000
            extra = f"Connection: close\r\nContent-Length: {len(body)}\r\n"
            response = await self._exchange(request("POST", "x", extra) + body)
            self.assertIn(b"413 ", response)
            self.assertEqual(target.connections, 0)

    async def test_pipelined_requests_are_answered_in_order(self) -> None:
        delays = [0.3, 0.0, 0.1]

        async def echo(writer: asyncio.StreamWriter) -> None:
            path = target.requests[-1][0].split()[1].encode()
            await asyncio.sleep(delays.pop(0))
            await answer(path)(writer)

        target = RawTarget(echo)
        async with target:
            await declare(self.host, target)
            response = await self._exchange(
                request("GET", "a%2Fb?q=1"),
                request("GET", "two"),
                request("GET", "three", "Connection: close\r\n"),
            )
        bodies = [
            part.split(b"HTTP/1.1")[0] for part in response.split(b"\r\n\r\n")[1:]
        ]
        self.assertEqual(bodies, [b"/a%2Fb?q=1", b"/two", b"/three"])

    async def test_request_is_cancelled_when_caller_disconnects(self) -> None:
        disconnected = asyncio.Event()

        async def endless(writer: asyncio.StreamWriter) -> None:
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 1000000000\r\n\r\n")
            try:
                while True:
                    writer.write(LARGE)
                    await writer.drain()
            except ConnectionError:
                disconnected.set()

        async with RawTarget(endless) as target:
            await declare(self.host, target)
            reader, writer = await asyncio.open_connection(
                self.host_settings.ip, self.host_settings.api_port
            )
            writer.write(request("GET", "x"))
            await reader.readexactly(100)
            writer.transport.abort()
            await asyncio.wait_for(disconnected.wait(), 5)


def request(method: str, path: str, extra: str = "") -> bytes:
    """Return the bytes of a request to the service ``s``."""
    return f"{method} /call/s/{path} HTTP/1.1\r\nHost: h\r\n{extra}\r\n".encode()


def _problem(response: bytes) -> dict[str, object]:
    return json.loads(response.partition(b"\r\n\r\n")[2])
