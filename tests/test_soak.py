"""The fault soak: a short seeded run, and every seed that ever failed."""

import asyncio
import unittest

from soak.proxy import LinkState, Proxy
from soak.running import soak

# Kept short for CI; ``python -m soak`` runs longer ones.
SECONDS = 6.0


class SoakTest(unittest.IsolatedAsyncioTestCase):
    async def test_no_promise_is_broken_under_the_faults_of_a_seed(self):
        await self.check(3)

    async def test_seeds_that_failed_once(self):
        # 124: engines that had all been silent got no short texts any more.
        for seed in (124,):
            with self.subTest(seed=seed):
                await self.check(seed)

    async def check(self, seed):
        report = await soak(seed, SECONDS)
        self.assertEqual(report.violations, [])
        self.assertTrue(report.faults)
        self.assertGreater(report.statuses["200"], 0)


class ProxyTest(unittest.IsolatedAsyncioTestCase):
    """Faults that are not brought about would prove nothing."""

    async def asyncSetUp(self):
        async def echo(reader, writer):
            while chunk := await reader.read(100):
                writer.write(chunk)
            writer.close()

        server = await asyncio.start_server(echo, "127.0.0.1", 0)
        self.addCleanup(server.close)
        host, port = server.sockets[0].getsockname()
        self.proxy = Proxy(f"{host}:{port}")
        await self.proxy.start()
        self.addAsyncCleanup(self.proxy.stop)
        host, _, port = self.proxy.address.rpartition(":")
        self.reader, self.writer = await asyncio.open_connection(host, int(port))
        self.addCleanup(self.writer.close)

    async def echo(self, seconds=0.5):
        self.writer.write(b"hello")
        async with asyncio.timeout(seconds):
            return await self.reader.read(100)

    async def test_it_passes_bytes_on(self):
        self.assertEqual(await self.echo(), b"hello")

    async def test_it_holds_bytes_until_the_link_heals(self):
        for state in (LinkState.SILENT, LinkState.CUT_UP, LinkState.CUT_DOWN):
            with self.subTest(state=state):
                self.proxy.turn(state)
                with self.assertRaises(TimeoutError):
                    await self.echo(0.1)
                self.proxy.turn(LinkState.PASS)
                self.assertEqual(await self.reader.read(100), b"hello")

    async def test_it_resets_open_and_new_connections(self):
        self.assertEqual(await self.echo(), b"hello")
        self.proxy.turn(LinkState.RESET)
        with self.assertRaises(ConnectionError):
            await self.echo()
