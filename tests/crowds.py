"""Crowds of callers at a real host process, whose memory and descriptors are bounded.

A crowd test checks only what holds on a machine of any speed: the process lives, its
peak memory and its descriptors stay within those of its machine, and an ordinary call
is answered while the crowd is still connected.
"""

from __future__ import annotations

import asyncio
import contextlib
import fcntl
import json
import os
import resource
import sys
import tempfile
import unittest
from collections.abc import Iterator
from itertools import count
from pathlib import Path
from typing import Any

import aiohttp

from standins.caller_crowd import Act, CallerCrowd
from standins.platform_store import PlatformStore
from standins.platform_target import PlatformTarget
from standins.ports import free_port

from .test_platform_host import (
    ATTEMPT_ID,
    DEADLINE_MS,
    HOST_NAME,
    OPERATOR_TOPIC,
    TARGET_TOPIC,
    manifest,
    route,
)

# The smallest machine of the deployments.
MEMORY_MB = 128
ROUTE_TIMEOUT_MS = 30_000
# How long a crowd acts at the most before the ordinary call.
_ACT_SECONDS = 10.0
# How long the ordinary call is tried; a call that waits this long failed.
_CALL_SECONDS = 60.0
_RETRY_SECONDS = 0.2
_READY_SECONDS = 30.0
_LOCK_PATH = Path(tempfile.gettempdir()) / "cranberryrun-crowd-tests.lock"


@contextlib.contextmanager
def _exclusive() -> Iterator[None]:
    """Let one crowd test run at a time, also where several suites run."""
    with _LOCK_PATH.open("w") as lock:
        fcntl.flock(lock, fcntl.LOCK_EX)
        yield


def peak_mb(pid: int) -> float:
    """Return the peak of the resident memory of a process so far, in MB."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmHWM:"):
            return int(line.split()[1]) * 1024 / 1_000_000
    raise LookupError(f"process {pid} has no peak of resident memory")


def request_head(path: str, *lines: str, attempt_id: str = "crowd") -> bytes:
    """Return the head of a POST request without its last, empty line."""
    fields = (
        f"Host: {HOST_NAME}",
        f"{ATTEMPT_ID}: {attempt_id}",
        f"{DEADLINE_MS}: {ROUTE_TIMEOUT_MS}",
        *lines,
    )
    return "\r\n".join([f"POST {path} HTTP/1.1", *fields, ""]).encode()


class CrowdTestCase(unittest.IsolatedAsyncioTestCase):
    """Starts one host as a process, beside a store and targets in the test's own.

    Subclasses may set the memory and descriptors of the machine, and manifest limits.
    """

    memory_mb = MEMORY_MB
    max_descriptors: int | None = None
    limits: dict[str, int] = {}

    async def asyncSetUp(self) -> None:
        self.enterContext(_exclusive())
        self.numbers = count()
        self.folder = Path(self.enterContext(tempfile.TemporaryDirectory()))
        self.store = PlatformStore()
        await self.store.start()
        self.addAsyncCleanup(self.store.stop)
        # Serves the crowd; ordinary calls go to another one.
        self.target = PlatformTarget("t0", "backend")
        self.portal = PlatformTarget("p0", "portal")
        self.engine = PlatformTarget("e0", "lm", "m")
        for target in (self.target, self.portal, self.engine):
            await target.start()
            self.addAsyncCleanup(target.stop)
            self.store.put(TARGET_TOPIC, target.id, target.entry())
        self.store.put(OPERATOR_TOPIC, "config", self.manifest())
        self.session = aiohttp.ClientSession()
        self.addAsyncCleanup(self.session.close)
        await self.start_host()

    def manifest(self) -> dict[str, Any]:
        """Return a manifest whose routes have long time limits."""
        value = manifest()
        value["routes"] += [
            route("patient", "safe", "backend", **{"timeout-ms": ROUTE_TIMEOUT_MS}),
            route("once", "unsafe", "backend", **{"timeout-ms": ROUTE_TIMEOUT_MS}),
        ]
        value["services"].append({"name": "backend"})
        value["limits"] = {"max-body-bytes": 33_554_432} | self.limits
        return value

    async def start_host(self) -> None:
        """Start the host and wait until it serves."""
        names = ("front", "ready", "peer")
        self.address_by_name = {name: f"127.0.0.1:{free_port()}" for name in names}
        metrics_port = free_port()
        settings = {
            "host_id": "host-1",
            "zone": "a",
            "ip": "127.0.0.1",
            "memory_mb": self.memory_mb,
            "metrics_port": metrics_port,
            "store": {"address": self.store.address},
        } | {f"{name}_address": value for name, value in self.address_by_name.items()}
        self.address_by_name["metrics"] = f"127.0.0.1:{metrics_port}"
        self.front = self.address_by_name["front"]
        settings_path = self.folder / "host-1.json"
        settings_path.write_text(json.dumps(settings))
        self.log_path = self.folder / "host-1.log"
        await self.launch(
            "cranberryrun.platform",
            environment={"CRANBERRYRUN_SETTINGS": str(settings_path)},
        )
        async with asyncio.timeout(_READY_SECONDS):
            while not await self.try_ordinary_call():
                await asyncio.sleep(_RETRY_SECONDS)

    async def launch(
        self, *arguments: str, environment: dict[str, str] | None = None
    ) -> None:
        """Start a program of the package; it is killed at the end of the test."""
        with self.log_path.open("ab") as output:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                *arguments,
                stdout=output,
                stderr=output,
                env=os.environ | (environment or {}),
            )
        self.addAsyncCleanup(self.end_process)
        if self.max_descriptors is not None:
            limit = (self.max_descriptors, self.max_descriptors)
            resource.prlimit(self.process.pid, resource.RLIMIT_NOFILE, limit)

    async def end_process(self) -> None:
        """Kill the host's process."""
        if self.process.returncode is None:
            self.process.kill()
        await self.process.wait()

    async def try_ordinary_call(self) -> bool:
        """Send a small call on a new connection; return whether it is served."""
        headers = {
            "Host": HOST_NAME,
            ATTEMPT_ID: f"ordinary-{next(self.numbers)}",
            DEADLINE_MS: "5000",
            "Connection": "close",
        }
        try:
            async with self.session.post(
                f"http://{self.front}/status/x", headers=headers, data=b"x" * 1000
            ) as response:
                await response.read()
                return response.status == 200
        except (aiohttp.ClientError, asyncio.TimeoutError):
            return False

    async def crowd(self, count: int, act: Act, address: str | None = None) -> None:
        """Let callers act on the host; an ordinary call is served beside them."""
        async with CallerCrowd(address or self.front, count, act) as crowd:
            await crowd.act_for(_ACT_SECONDS)
            await self.assert_ordinary_call_is_served()
            self.assert_within_machine()
        self.closed_count = crowd.closed_count

    async def assert_ordinary_call_is_served(self) -> None:
        """Send an ordinary call as callers do, again after a refusal."""
        with self.subTest("ordinary call"):
            async with asyncio.timeout(_CALL_SECONDS):
                while not await self.try_ordinary_call():
                    self.assert_alive()
                    await asyncio.sleep(_RETRY_SECONDS)

    def assert_alive(self) -> None:
        """Assert that the host's process runs."""
        log = self.log_path.read_text(errors="replace")
        self.assertIsNone(self.process.returncode, log[-2000:])

    def assert_within_machine(self) -> None:
        """Assert that the host lives and never took more than its machine has."""
        self.assert_alive()
        self.assertLess(peak_mb(self.process.pid), self.memory_mb)
        if self.max_descriptors is not None:
            descriptors = os.listdir(f"/proc/{self.process.pid}/fd")
            self.assertLess(len(descriptors), self.max_descriptors)
