"""An engine that starts again under its id and leaves once more, while the store is down."""

import asyncio
from itertools import count
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

DRAIN_SECONDS = 2.0
# The platform's store is down for so long in the days of the site file.
DOWN_SECONDS = 6.6
CLIENTS = 16
PAUSE_SECONDS = 0.02
LEAVING = "Server-Leaving"
# Beside the bound, for the time that a request takes on its way.
SLACK_SECONDS = 0.1


class LeavingEngine(Engine):
    """Says in all its answers when it is leaving."""

    async def answer(self, request, attempt_id):
        await asyncio.sleep(0.02)
        response = await super().answer(request, attempt_id)
        if self.state == "draining":
            response.headers[LEAVING] = "1"
        return response

    async def leave(self):
        """Report ``draining``, and serve for the time that the pages give."""
        self.state = "draining"
        self.record.write(f"{self.id} is leaving")
        while not await self._report():
            await asyncio.sleep(0.1)
        self.record.write(f"the store has accepted that {self.id} is draining")
        await asyncio.sleep(DRAIN_SECONDS + 0.5)
        self.heartbeat.cancel()
        self.store.put(SERVER_TOPIC, self.id, None)
        self.record.write(f"{self.id} ends")
        await self._runner.cleanup()

    async def _report(self):
        if self.store.down:
            return False
        self.sequence += 1
        self.store.put(SERVER_TOPIC, self.id, self.entry())
        return True

    async def _register(self):
        while True:
            await self._report()
            await asyncio.sleep(1.2)


class Clients:
    """Clients that send a request after the other, and what they saw."""

    def __init__(self, rig, host):
        self.record = rig.record
        self.host = host
        self.sent_at = {}
        self.told_at = {}
        self.numbers = count()

    async def play(self):
        while True:
            attempt_id = f"r{next(self.numbers)}"
            headers = {ATTEMPT_ID: attempt_id, DEADLINE_MS: "1500"}
            self.sent_at[attempt_id] = self.record.now()
            try:
                status, fields, _ = await exchange(
                    self.host.front, "POST", "/status/x", headers, b"frame", 2.0
                )
            except (OSError, TimeoutError) as error:
                self.record.write(f"{attempt_id} ends: {error!r}")
            else:
                signature = fields.get("x-cranberryrun-server-signature", "")
                if LEAVING.lower() in fields:
                    engine = signature.partition(".")[0]
                    self.told_at.setdefault(engine, self.record.now())
                    self.record.write(f"{attempt_id} passed on: {engine} is leaving")
                if status != 200:
                    self.record.write(f"{attempt_id} is answered {status}")
            await asyncio.sleep(PAUSE_SECONDS)


async def play(rig):
    rig.store.down = False

    async def before_call(call, topic):
        return web.Response(status=503) if rig.store.down else None

    rig.store.before_call = before_call
    for number in (1, 2):
        engine = LeavingEngine(rig.record, rig.store, f"portal-{number}", "portal")
        await rig.add_engine(engine)
    status = route("status", "safe", "portal", **{"timeout-ms": 1500})
    rig.store.put(OPERATOR_TOPIC, "config", manifest(1, [status], ["portal"]))
    host = await rig.add_host("front-a-1")
    await host.wait_ready()
    clients = Clients(rig, host)
    tasks = [asyncio.create_task(clients.play()) for _ in range(CLIENTS)]
    try:
        await asyncio.sleep(2.0)
        await rig.engines[0].leave()
        await asyncio.sleep(1.0)
        again = LeavingEngine(rig.record, rig.store, "portal-1", "portal")
        rig.engines[0] = again
        await again.start()
        rig.record.write("portal-1 has started again under its id")
        await asyncio.sleep(4.0)
        clients.told_at.clear()
        if disrupted():
            rig.store.down = True
            rig.record.write("the store is down")
        await asyncio.sleep(0.3)
        leaving = asyncio.create_task(again.leave())
        await asyncio.sleep(DOWN_SECONDS - 0.3)
        rig.store.down = False
        rig.record.write("the store is up")
        await leaving
    finally:
        for task in tasks:
            task.cancel()
    return late_requests(clients, again)


def late_requests(clients, engine):
    """Return what reached the engine although the host knew that it was leaving."""
    told_at = clients.told_at.get(engine.id)
    if told_at is None:
        return []
    late = [
        attempt_id
        for attempt_id, _ in engine.runs
        if clients.sent_at[attempt_id] > told_at + DRAIN_SECONDS + SLACK_SECONDS
    ]
    if not late:
        return []
    return [
        f"DRAIN: {len(late)} requests that were sent more than {DRAIN_SECONDS} s after "
        f"the host had passed on that {engine.id} is leaving reached it: {late[:5]}"
    ]


if __name__ == "__main__":
    run_case(Path(__file__).resolve().parent, play)
