"""Tests of a graceful stop: work in flight completes and the process exits with 0."""

import asyncio
import json
import os
import signal
import sys
import tempfile
import unittest
from pathlib import Path

import aiohttp
from aiohttp import web

from cranberryrun.api import Api
from cranberryrun.configuration import Configuration
from cranberryrun.events import Events
from cranberryrun.exceptions import HostListError
from cranberryrun.host import Host
from cranberryrun.keyed_calls import KeyedCalls
from cranberryrun.membership import HostEntry, HostList, Membership
from cranberryrun.models import Change
from standins.log import LogProgram, LogStandin
from standins.ports import free_port

from .doubles import MemoryLog, RawTarget, answer, settings

TIMING = {
    "balancer_lag": 0.3,
    "drain_limit": 1.0,
    "log_wait": 0.2,
    "list_poll": 0.1,
    "peer_exchange": 0.1,
}
READY_SECONDS = 20.0


class UnreadableHostList(HostList):
    """A host list that can't be read."""

    async def read(self) -> list[HostEntry]:
        raise HostListError("none")


async def start_host(log: MemoryLog, **timing: float) -> Host:
    """Start a host on free ports and wait until it has a configuration."""
    host_settings = settings(
        api_port=free_port(), peer_port=free_port(), timing=TIMING | timing
    )
    host = Host(host_settings, log)
    host.kernel.get(Membership).use_host_list(UnreadableHostList())
    await host.start()
    await asyncio.wait_for(host.kernel.get(Configuration).ready.wait(), READY_SECONDS)
    return host


async def declare(host: Host, target: RawTarget) -> None:
    """Declare the service ``s`` with one target."""
    spec = {"targets": [target.target().model_dump()], "timeout": 10}
    generation = host.kernel.get(Configuration).state.generation("services", "s")
    change = Change(
        change_id=f"c{generation}",
        kind="services",
        name="s",
        expected_generation=generation,
        operation="put",
        spec=spec,
    )
    await host.kernel.get(Configuration).submit(change)


def answer_after(seconds: float):
    """Return a target script that answers ``late`` after ``seconds``."""

    async def script(writer: asyncio.StreamWriter) -> None:
        await asyncio.sleep(seconds)
        await answer(b"late")(writer)

    return script


class DrainTests(unittest.IsolatedAsyncioTestCase):
    """Drains one host in this process, over real sockets."""

    async def asyncSetUp(self) -> None:
        self.log = MemoryLog()
        self.host = await start_host(self.log)
        self.addAsyncCleanup(self.host.stop)
        host_settings = self.host.settings
        self.url = f"http://{host_settings.ip}:{host_settings.api_port}"
        self.session = aiohttp.ClientSession()
        self.addAsyncCleanup(self.session.close)

    def _has_event(self, name: str) -> bool:
        events = self.host.kernel.get(Events).after(-1)
        return any(event.kind.name == name for event in events)

    async def _get(self, path: str, **headers: str) -> tuple[int, bytes, str]:
        async with self.session.get(self.url + path, headers=headers) as response:
            return (
                response.status,
                await response.read(),
                response.headers.get("Connection", ""),
            )

    async def test_drain_serves_late_requests_then_closes_the_listener(self) -> None:
        async with RawTarget(answer_after(1.2), answer()) as target:
            await declare(self.host, target)
            first = asyncio.create_task(self._get("/call/s/x"))
            await asyncio.sleep(0.1)
            watch = asyncio.create_task(self._get("/v1/services?watch="))
            await asyncio.sleep(0.1)
            stops = [asyncio.create_task(self.host.drain()) for _ in range(2)]
            await asyncio.sleep(0.05)
            self.assertEqual((await self._get("/readyz"))[0], 503)
            # The balancer may still send requests: they are served, then disconnected.
            status, body, connection = await self._get("/call/s/y")
            self.assertEqual((status, body, connection), (200, b"ok", "close"))
            await asyncio.wait_for(watch, 1)
            await asyncio.sleep(0.4)
            with self.assertRaises(OSError):
                host_settings = self.host.settings
                await asyncio.open_connection(host_settings.ip, host_settings.api_port)
            self.assertFalse(stops[1].done())
            self.assertEqual((await first)[:2], (200, b"late"))
            await asyncio.wait_for(asyncio.gather(*stops), 3)
        self.assertFalse(self._has_event("drain_limit"))

    async def test_keepalive_connection_is_served_once_more_then_closed(self) -> None:
        async with RawTarget(answer()) as target:
            await declare(self.host, target)
            host_settings = self.host.settings
            reader, writer = await asyncio.open_connection(
                host_settings.ip, host_settings.api_port
            )
            head = b"GET /call/s/x HTTP/1.1\r\nHost: h\r\n\r\n"
            writer.write(head)
            await reader.readuntil(b"ok")
            stop = asyncio.create_task(self.host.drain())
            await asyncio.sleep(0.4)
            writer.write(head)
            rest = await asyncio.wait_for(reader.read(), 3)
            self.assertIn(b"200 OK", rest)
            self.assertIn(b"Connection: close", rest)
            self.assertTrue(rest.endswith(b"ok"))
            writer.close()
            await stop

    async def test_request_finishes_when_it_takes_longer_than_the_drain_limit(
        self,
    ) -> None:
        async with RawTarget(answer_after(2.5)) as target:
            await declare(self.host, target)
            first = asyncio.create_task(self._get("/call/s/x"))
            await asyncio.sleep(0.1)
            await self.host.drain()
            self.assertEqual((await first)[:2], (200, b"late"))
        self.assertFalse(self._has_event("drain_limit"))

    async def test_outcome_of_a_keyed_call_is_recorded_before_the_stop(self) -> None:
        async with RawTarget(answer()) as target:
            await declare(self.host, target)
            self.assertEqual(
                (await self._get("/call/s/x", **{"Idempotency-Key": "k"}))[0], 200
            )
            calls = self.host.kernel.get(KeyedCalls)
            original_append = self.log.append

            async def append(stream, values):
                await asyncio.sleep(1)
                return await original_append(stream, values)

            self.log.append = append
            task = asyncio.create_task(
                self._get("/call/s/x", **{"Idempotency-Key": "k2"})
            )
            await asyncio.sleep(0.2)
            await self.host.drain()
            self.assertEqual((await task)[0], 200)
            self.assertEqual(calls.pending_final_records, 0)
        record_kinds = [
            record.value["record"]
            for records in self.log.streams.values()
            for record in records
            if record.value.get("record") in ("intent", "outcome")
        ]
        self.assertEqual(sorted(record_kinds), ["intent"] * 2 + ["outcome"] * 2)

    async def test_drain_ends_within_its_limit_when_the_log_is_down(self) -> None:
        async with RawTarget(answer_after(0.5)) as target:
            await declare(self.host, target)
            task = asyncio.create_task(
                self._get("/call/s/x", **{"Idempotency-Key": "k"})
            )
            await asyncio.sleep(0.2)
            self.log.down = True
            start_time = asyncio.get_running_loop().time()
            await self.host.drain()
            self.assertEqual((await task)[0], 200)
            duration = asyncio.get_running_loop().time() - start_time
            self.assertLess(duration, TIMING["drain_limit"] + 3)
            self.assertTrue(self._has_event("drain_limit"))

    async def test_keyed_call_runs_to_its_end_when_the_caller_disconnects(self) -> None:
        async with RawTarget(answer_after(1.0)) as target:
            await declare(self.host, target)
            task = asyncio.create_task(
                self._get("/call/s/x", **{"Idempotency-Key": "k"})
            )
            await asyncio.sleep(0.3)
            task.cancel()
            await asyncio.sleep(0.1)
            self.assertEqual(self.host.kernel.get(Api).in_flight, 0)
            self.assertEqual(self.host.kernel.get(KeyedCalls).in_flight, 1)
            await self.host.drain()
            self.assertEqual(self.host.kernel.get(KeyedCalls).in_flight, 0)
        records = self.log.streams
        record_kinds = [r.value["record"] for rows in records.values() for r in rows]
        self.assertIn("outcome", record_kinds)

    async def test_drain_waits_for_the_start_when_the_host_is_starting(self) -> None:
        host_settings = settings(
            api_port=free_port(), peer_port=free_port(), timing=TIMING
        )
        host = Host(host_settings, MemoryLog())
        host.kernel.get(Membership).use_host_list(UnreadableHostList())
        stop = asyncio.create_task(host.drain())
        await asyncio.sleep(0.05)
        await host.start()
        await asyncio.wait_for(stop, 5)


class ProcessTests(unittest.IsolatedAsyncioTestCase):
    """Stops a host process by SIGTERM."""

    async def test_request_in_flight_is_answered_when_sigterm_comes_repeatedly(
        self,
    ) -> None:
        async with RawTarget(answer_after(2.0)) as target:
            log = await self._serve_log()
            port = free_port()
            data = {
                "id": "h1",
                "zone": "z1",
                "api_port": port,
                "peer_port": free_port(),
                "log": {"url": f"http://127.0.0.1:{log}"},
                "host_list_url": f"http://127.0.0.1:{log}",
                "timing": TIMING,
            }
            with tempfile.TemporaryDirectory() as folder:
                path = Path(folder) / "h1.json"
                path.write_text(json.dumps(data))
                process = await asyncio.create_subprocess_exec(
                    sys.executable,
                    "-m",
                    "cranberryrun.daemon",
                    str(path),
                    stderr=asyncio.subprocess.DEVNULL,
                )
                try:
                    await self._send_sigterm_during_a_request(
                        process, f"http://127.0.0.1:{port}", target
                    )
                finally:
                    if process.returncode is None:
                        process.kill()

    async def _send_sigterm_during_a_request(
        self, process: asyncio.subprocess.Process, url: str, target: RawTarget
    ) -> None:
        async with aiohttp.ClientSession() as session:
            await self._wait_ready(session, url)
            spec = {"targets": [target.target().model_dump()]}
            async with session.put(
                f"{url}/v1/services/s", json={"spec": spec}
            ) as response:
                self.assertEqual(response.status, 200, await response.text())

            async def get() -> bytes:
                async with session.get(f"{url}/call/s/x") as response:
                    return await response.read()

            first = asyncio.create_task(get())
            await asyncio.sleep(0.3)
            for _ in range(3):
                os.kill(process.pid, signal.SIGTERM)
                await asyncio.sleep(0.2)
            self.assertEqual(await first, b"late")
        self.assertEqual(await asyncio.wait_for(process.wait(), 10), 0)

    async def _wait_ready(self, session: aiohttp.ClientSession, url: str) -> None:
        for _ in range(int(READY_SECONDS / 0.1)):
            await asyncio.sleep(0.1)
            try:
                async with session.get(f"{url}/readyz") as response:
                    if response.status == 200:
                        return
            except aiohttp.ClientError:
                continue
        self.fail("the process did not become ready")

    async def _serve_log(self) -> int:
        runner = web.AppRunner(
            LogProgram(LogStandin()).application(), shutdown_timeout=0.1
        )
        await runner.setup()
        self.addAsyncCleanup(runner.cleanup)
        port = free_port()
        await web.TCPSite(runner, "127.0.0.1", port).start()
        return port
