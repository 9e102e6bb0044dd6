"""Tests of the client of plain services, against a target that records raw bytes."""

import asyncio
import socket
import unittest

from cranberryrun.exceptions import (
    CallerGoneError,
    TargetFailedError,
    TargetRefusedError,
    TargetTimeoutError,
    TargetUnreachableError,
    TruncatedAnswerError,
)
from cranberryrun.http import HttpClients
from cranberryrun.models import ServiceTarget
from cranberryrun.services import Answer, HttpServiceClient, Sink, end_to_end_headers

from .doubles import ListSink, RawTarget, answer, call, cut, drop, hang, head, refuse

LARGE = b"x" * 1_000_000


class ServiceClientTests(unittest.IsolatedAsyncioTestCase):
    """The reported outcome of a request agrees with what the target received."""

    async def asyncSetUp(self) -> None:
        self.clients = HttpClients(connect_timeout=1)
        await self.clients.start()
        self.addAsyncCleanup(self.clients.stop)

    async def _send(
        self,
        target: RawTarget,
        method: str = "GET",
        repeatable: bool = False,
        sink: Sink | None = None,
        idle_timeout: float = 5,
        **fields,
    ) -> Answer:
        client = HttpServiceClient(target.target(), self.clients, 1)
        return await client.send(call(method, **fields), repeatable, idle_timeout, sink)

    async def test_answer_is_passed_on_unchanged(self) -> None:
        script = answer(
            b"\x1f\x8bnot-for-us",
            "201 Created",
            "Content-Encoding: gzip",
            "Set-Cookie: a=1",
            "Set-Cookie: b=2",
            "Connection: X-Hop",
            "X-Hop: 1",
        )
        async with RawTarget(script) as target:
            received = await self._send(target, "POST", body=b"{}", path="a%2Fb?q=%20")
            again = await self._send(target, "POST")
        self.assertEqual((received.status, received.body), (201, b"\x1f\x8bnot-for-us"))
        self.assertEqual(received.headers["Content-Encoding"], "gzip")
        self.assertEqual(received.headers.getall("Set-Cookie"), ["a=1", "b=2"])
        self.assertNotIn("X-Hop", received.headers)
        sent, body = target.requests[0]
        self.assertTrue(sent.startswith("POST /a%2Fb?q=%20 HTTP/1.1"), sent)
        self.assertIn("X-Request-Id: r1", sent)
        self.assertIn("X-Deadline-Ms:", sent)
        self.assertNotIn("Accept-Encoding", sent)
        self.assertEqual(body, b"{}")
        self.assertEqual(again.status, 201)
        self.assertNotIn("Cookie", target.requests[1][0])

    async def test_answers_without_a_body_keep_their_headers(self) -> None:
        async with RawTarget(
            head("200 OK", "Content-Length: 1234"),
            head("204 No Content"),
            head("304 Not Modified", "ETag: x"),
        ) as target:
            received = await self._send(target, "HEAD")
            self.assertEqual((received.body, received.length), (b"", 1234))
            self.assertEqual((await self._send(target)).status, 204)
            self.assertEqual((await self._send(target)).headers["ETag"], "x")

    async def test_refused_connection_is_reported_as_not_run(self) -> None:
        with socket.socket() as unused:
            unused.bind(("127.0.0.1", 0))
            url = f"http://127.0.0.1:{unused.getsockname()[1]}"
            client = HttpServiceClient(
                ServiceTarget(id="t1", url=url, zone="z1"), self.clients, 1
            )
            with self.assertRaises(TargetUnreachableError) as caught:
                await client.send(call("POST"), False, 5)
        self.assertTrue(caught.exception.problem()["not_run"])

    async def test_only_the_not_run_header_marks_a_refusal(self) -> None:
        async with RawTarget(refuse()) as target:
            with self.assertRaises(TargetRefusedError) as caught:
                await self._send(target, "POST")
        self.assertTrue(caught.exception.problem()["not_run"])
        async with RawTarget(answer(b"busy", "503 Service Unavailable")) as target:
            self.assertEqual((await self._send(target, "POST")).status, 503)

    async def test_dropped_request_has_an_unknown_outcome_and_is_sent_once(
        self,
    ) -> None:
        # aiohttp retries most of these methods itself unless that is disabled.
        for method in ("DELETE", "PUT", "GET", "POST"):
            with self.subTest(method):
                async with RawTarget(drop) as target:
                    with self.assertRaises(TargetFailedError) as caught:
                        await self._send(target, method, body=b"{}")
                    self.assertEqual(len(target.requests), 1)
                    problem = caught.exception.problem()
                    self.assertNotIn("not_run", problem)
                    self.assertEqual(problem["outcome"], "unknown")

    async def test_call_that_is_not_repeatable_uses_a_new_connection(self) -> None:
        async with RawTarget(answer()) as target:
            await self._send(target, "GET", repeatable=True)
            await self._send(target, "GET", repeatable=True)
            self.assertEqual(target.connections, 1)
            await self._send(target, "POST")
            await self._send(target, "POST")
            self.assertEqual(target.connections, 3)

    async def test_target_that_sends_nothing_times_out(self) -> None:
        async with RawTarget(hang) as target:
            with self.assertRaises(TargetTimeoutError):
                await self._send(target, idle_timeout=0.05)
            with self.assertRaises(TargetTimeoutError):
                await self._send(target, seconds=0.05)

    async def test_truncated_answer_raises_before_the_sink_begins(self) -> None:
        sink = ListSink()
        async with RawTarget(cut(b"half", 4)) as target:
            with self.assertRaises(TruncatedAnswerError) as caught:
                await self._send(target, sink=sink)
        self.assertFalse(sink.begun)
        self.assertEqual(caught.exception.problem()["outcome"], "unknown")
        self.assertEqual(caught.exception.status, 502)

    async def test_large_answer_is_streamed_and_may_be_truncated(self) -> None:
        sink = ListSink()
        async with RawTarget(answer(LARGE)) as target:
            received = await self._send(target, sink=sink)
        self.assertTrue(received.streamed)
        self.assertEqual((sink.length, b"".join(sink.parts)), (len(LARGE), LARGE))
        sink = ListSink()
        async with RawTarget(cut(LARGE, 1)) as target:
            with self.assertRaises(TruncatedAnswerError):
                await self._send(target, sink=sink)
        self.assertTrue(sink.begun)

    async def test_slow_caller_puts_backpressure_on_the_target(self) -> None:
        sent = 0

        async def endless(writer: asyncio.StreamWriter) -> None:
            nonlocal sent
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 1000000000\r\n\r\n")
            while not writer.is_closing():
                writer.write(LARGE)
                await writer.drain()
                sent += len(LARGE)

        class DisconnectedSink(ListSink):
            async def write(self, data: bytes) -> None:
                await asyncio.sleep(0.3)
                raise CallerGoneError("gone")

        async with RawTarget(endless) as target:
            with self.assertRaises(CallerGoneError):
                await self._send(target, sink=DisconnectedSink())
        # More than the socket buffers take; without backpressure far more is sent.
        self.assertLess(sent, 32 * 1024 * 1024)

    def test_hop_by_hop_headers_are_removed(self) -> None:
        passed_on = end_to_end_headers(
            {"Authorization": "secret", "TE": "x", "Accept": "a"}
        )
        self.assertEqual(dict(passed_on), {"Accept": "a"})
