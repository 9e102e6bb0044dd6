"""Peers in processes of their own that send bytes without end, under uvloop.

Its transports read a socket that always has more bytes dozens of times in a row, so
that nothing else runs meanwhile.
"""

import asyncio
import sys
import threading
import time
import unittest
from contextlib import asynccontextmanager, suppress

import aiohttp
import psutil
import uvloop
from aiohttp import web

from cranberryrun.answer_protocol import Connector
from cranberryrun.ctl_client import ControlClient
from cranberryrun.http import HttpClients
from cranberryrun.platform.duty_client import HttpDutyClient
from cranberryrun.platform.http_server import listen
from standins.endless_target import (
    ENDLESS_ANSWERS,
    ENDLESS_REQUESTS,
)
from standins.ports import free_port

CALL_SECONDS = 0.8
# What answers that are being read may take on the smallest host; their buffers and the
# heads may take as much again.
ANSWER_BYTES = 12_800_000
SAMPLE_SECONDS = 0.002


class PeakMemory:
    """Measures by how many bytes the process grows while the block runs."""

    def __enter__(self):
        self._process = psutil.Process()
        self._start = self._peak = self._process.memory_info().rss
        self._running = True
        self._thread = threading.Thread(target=self._sample)
        self._thread.start()
        return self

    def __exit__(self, *error):
        self._running = False
        self._thread.join()

    def _sample(self):
        while self._running:
            self._peak = max(self._peak, self._process.memory_info().rss)
            time.sleep(SAMPLE_SECONDS)

    @property
    def growth(self):
        return self._peak - self._start


@asynccontextmanager
async def endless_peer(*arguments):
    """Run a peer in a process of its own; the block gets the process."""
    process = await asyncio.create_subprocess_exec(
        *(sys.executable, "-m", "standins.endless_target", *arguments),
        stdout=asyncio.subprocess.PIPE,
    )
    try:
        yield process
    finally:
        with suppress(ProcessLookupError):
            process.kill()
        await process.wait()


class AnswersWithoutEndTest(unittest.TestCase):
    def test_answer_takes_bounded_memory_and_time(self):
        # Guards against hosts killed for their memory by interim heads without end.
        for fault in ENDLESS_ANSWERS:
            with self.subTest(fault=fault):
                seconds, growth = uvloop.run(self.call(fault))
                self.assertLess(growth, 2 * ANSWER_BYTES)
                self.assertLess(seconds, CALL_SECONDS + 0.5)

    async def call(self, fault):
        clients = HttpClients(CALL_SECONDS, answer_bytes=ANSWER_BYTES)
        await clients.start()
        timeout = aiohttp.ClientTimeout(total=CALL_SECONDS)
        async with endless_peer(fault) as peer:
            address = (await peer.stdout.readline()).decode().strip()
            started_at = time.monotonic()
            with PeakMemory() as memory:
                try:
                    async with clients.shared.post(
                        f"http://{address}/x", timeout=timeout
                    ) as response:
                        await clients.read(response)
                except (aiohttp.ClientError, TimeoutError):
                    pass
            seconds = time.monotonic() - started_at
        await clients.stop()
        return seconds, memory.growth

    def test_some_interim_answers_precede_an_answer(self):
        async def call():
            async def serve(reader, writer):
                await reader.readuntil(b"\r\n\r\n")
                writer.write(b"HTTP/1.1 103 Early Hints\r\nX-A: 1\r\n\r\n" * 10)
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
                await reader.read()
                writer.close()

            server = await asyncio.start_server(serve, "127.0.0.1", 0)
            host, port = server.sockets[0].getsockname()
            clients = HttpClients(CALL_SECONDS)
            await clients.start()
            async with clients.shared.get(f"http://{host}:{port}/") as response:
                body = await clients.read(response)
            await clients.stop()
            server.close()
            return body

        self.assertEqual(uvloop.run(call()), b"ok")

    def test_connection_serves_more_requests_than_one_may_have_heads(self):
        async def call():
            connections = set()

            async def handle(request):
                connections.add(request.transport)
                return web.Response(text="ok")

            address = f"127.0.0.1:{free_port()}"
            runner, _ = await listen(address, handle, keepalive=5.0)
            clients = HttpClients(CALL_SECONDS)
            await clients.start()
            for _ in range(40):
                async with clients.shared.get(f"http://{address}/") as response:
                    await clients.read(response)
            await clients.stop()
            await runner.cleanup()
            return len(connections)

        self.assertEqual(uvloop.run(call()), 1)

    def test_every_client_has_the_limit(self):
        async def connectors():
            clients = HttpClients(CALL_SECONDS)
            duties = HttpDutyClient("127.0.0.1:1")
            await clients.start()
            await duties.start()
            async with ControlClient(["http://127.0.0.1:1"]) as control:
                sessions = (clients.shared, clients.single_use)
                sessions += (duties._session, control._session)
                connectors = [session.connector for session in sessions]
            await clients.stop()
            await duties.stop()
            return connectors

        for connector in uvloop.run(connectors()):
            self.assertIsInstance(connector, Connector)


class RequestsWithoutEndTest(unittest.TestCase):
    def test_caller_takes_bounded_memory(self):
        # Guards against the same growth by requests that a caller does not wait for.
        for fault in ENDLESS_REQUESTS:
            with self.subTest(fault=fault):
                growth = uvloop.run(self.serve(fault))
                self.assertLess(growth, 2 * ANSWER_BYTES)

    async def serve(self, fault):
        async def handle(request):
            await asyncio.sleep(CALL_SECONDS)
            return web.Response(text="ok")

        address = f"127.0.0.1:{free_port()}"
        runner, _ = await listen(address, handle, keepalive=5.0)
        with PeakMemory() as memory:
            async with endless_peer("--to", address, fault):
                await asyncio.sleep(2 * CALL_SECONDS)
        await runner.cleanup()
        return memory.growth
