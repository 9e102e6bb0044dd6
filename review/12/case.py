"""A foreign entry among those of the engines, and an engine that crashes.

``TROUBLE=crash`` leaves out only the foreign entries.
"""

import asyncio
import os
from collections import Counter
from pathlib import Path

from aiohttp import web
from rig import (
    ATTEMPT_ID,
    DEADLINE_MS,
    OPERATOR_TOPIC,
    SERVER_TOPIC,
    Engine,
    disrupted,
    exchange,
    manifest,
    route,
    run_case,
)

ENGINES = 5
REQUESTS = 60
WORK_SECONDS = 1.0
CRASH_SECONDS = 0.5
DEADLINE_SECONDS = 8.0


class WorkingEngine(Engine):
    """Books what it is asked for, which takes a while."""

    async def answer(self, request, attempt_id):
        await request.read()
        self.began(attempt_id)
        await asyncio.sleep(WORK_SECONDS)
        response = web.Response(body=b"booked")
        response.headers[ATTEMPT_ID] = attempt_id
        response.headers["X-Cranberryrun-Server-Signature"] = f"{self.id}.1"
        return response

    async def crash(self):
        """End as a killed process does: its port and connections are reset."""
        self.heartbeat.cancel()
        for site in list(self._runner.sites):
            await site.stop()
        for connection in list(self._runner.server.connections):
            if connection.transport is not None:
                connection.transport.abort()
        self.record.write(f"{self.id} crashes")


async def send(rig, host, attempt_id):
    headers = {ATTEMPT_ID: attempt_id, DEADLINE_MS: str(int(DEADLINE_SECONDS * 1000))}
    try:
        status, fields, _ = await exchange(
            host.front, "POST", f"/register/{attempt_id}", headers, b"seat"
        )
    except (OSError, TimeoutError) as error:
        rig.record.write(f"{attempt_id} ends: {error!r}")
        return
    engine = fields.get("x-cranberryrun-server-signature", "no engine")
    rig.record.write(f"{attempt_id} is answered {status} by {engine}")


async def play(rig):
    for number in range(ENGINES):
        await rig.add_engine(
            WorkingEngine(rig.record, rig.store, f"enrol-{number}", "enrol-app")
        )
    if disrupted() and os.environ.get("TROUBLE") != "crash":
        for name in ("ledger", "mailer", "search"):
            # Another program registers itself, with a service of its own and no port.
            entry = {
                "service": name,
                "address": "127.0.0.1",
                "zone": "a",
                "version": "5",
                "slots": 1,
                "state": "ready",
                "sequence": 1,
                "born": 1,
            }
            rig.store.put(SERVER_TOPIC, f"{name}-1", entry)
            rig.record.write(f"another writer's entry: {entry}")
    register = route("register", "unsafe", "enrol-app")
    rig.store.put(OPERATOR_TOPIC, "config", manifest(1, [register], ["enrol-app"]))
    host = await rig.add_host("front-a-1")
    await host.wait_ready()
    await asyncio.sleep(1.0)
    requests = [
        asyncio.create_task(send(rig, host, f"r{number}")) for number in range(REQUESTS)
    ]
    await asyncio.sleep(CRASH_SECONDS)
    if disrupted():
        await rig.engines[0].crash()
    await asyncio.gather(*requests)
    runs = Counter(
        attempt_id for engine in rig.engines for attempt_id, _ in engine.runs
    )
    twice = sorted(attempt_id for attempt_id, count in runs.items() if count > 1)
    if not twice:
        return []
    return [f"TWICE: unsafe requests that ran more than once: {twice}"]


if __name__ == "__main__":
    run_case(Path(__file__).resolve().parent, play)
