"""An engine in trouble that sends bytes that are no answer, without end, in a stream."""

import asyncio
from itertools import count
from pathlib import Path

from aiohttp import web
from rig import (
    ATTEMPT_ID,
    DEADLINE_MS,
    LAST_EVENT_ID,
    OPERATOR_TOPIC,
    SIGNATURE,
    WEIGHT_VERSIONS,
    Connection,
    Engine,
    disrupted,
    exchange,
    manifest,
    route,
    run_case,
)

EVENTS = 20
EVENT_SECONDS = 0.05
# One of three engines is in trouble for a while, and spoils the first of each so many
# answers, less than 0.03 of them.
TROUBLE_SECONDS = 5.5
SPOILT_ONE_IN = 34
# What it then sends again and again: bytes of no event.
JUNK = b"?\n\n" * 10_000
STREAMS = 6
STREAM_SECONDS = 10.0
TIMEOUT_SECONDS = 1.5
LATE_SECONDS = 0.5
CLIENTS = 24
LATE_COUNT = 8
LATE_SHARE = 0.25
PLAY_SECONDS = 20.0


class StreamingEngine(Engine):
    """Streams a few events, or junk without end while it is ``in_trouble``."""

    in_trouble = False
    answers = 0

    async def answer(self, request, attempt_id):
        await request.read()
        after = int(request.headers.get(LAST_EVENT_ID, "0"))
        self.began(attempt_id, f"from event {after + 1} on")
        response = web.StreamResponse(
            headers={
                ATTEMPT_ID: attempt_id,
                SIGNATURE: f"{self.id}.{len(self.runs)}",
                WEIGHT_VERSIONS: "1",
                "Content-Type": "text/event-stream",
            }
        )
        await response.prepare(request)
        if self.in_trouble:
            self.answers += 1
            if self.answers % SPOILT_ONE_IN == 1:
                self.record.write(f"{self.id} sends junk in {attempt_id}")
                while True:
                    # Until the caller closes.
                    await response.write(JUNK)
        for number in range(after + 1, EVENTS + 1):
            await asyncio.sleep(EVENT_SECONDS)
            await response.write(f"id: {number}\ndata: {number}\n\n".encode())
        return response


class Clients:
    """The clients of both routes; ``seconds`` has the times of the safe requests."""

    def __init__(self, rig, host):
        self.record = rig.record
        self.host = host
        self.numbers = count()
        self.started_at = {}
        self.seconds = {}

    async def ask(self):
        while True:
            attempt_id = f"r{next(self.numbers)}"
            headers = {ATTEMPT_ID: attempt_id, DEADLINE_MS: "1500"}
            started_at = self.started_at[attempt_id] = self.record.now()
            try:
                status, _, _ = await exchange(
                    self.host.front, "POST", "/status/x", headers, b"x", 30.0
                )
            except (OSError, TimeoutError) as error:
                status = repr(error)
            self.seconds[attempt_id] = seconds = self.record.now() - started_at
            if seconds > TIMEOUT_SECONDS or status != 200:
                self.record.write(
                    f"{attempt_id}, sent at {started_at:.3f}, is answered {status} "
                    f"after {seconds:.3f} s"
                )
            await asyncio.sleep(0.25)

    async def stream(self):
        while True:
            attempt_id = f"s{next(self.numbers)}"
            deadline_ms = int(STREAM_SECONDS * 1000)
            headers = {ATTEMPT_ID: attempt_id, DEADLINE_MS: str(deadline_ms)}
            connection = await Connection.open(self.host.front)
            size = 0
            try:
                async with asyncio.timeout(STREAM_SECONDS):
                    await connection.send("POST", "/advice/x", headers)
                    status, fields = await connection.read_head()
                    async for part in connection.read_chunks(fields):
                        size += len(part)
                    self.record.write(f"{attempt_id} ends with {size} bytes, {status}")
            except (OSError, asyncio.IncompleteReadError, TimeoutError) as error:
                self.record.write(f"{attempt_id} breaks off, {size} bytes: {error!r}")
            finally:
                connection.close()
            await asyncio.sleep(0.25)


async def play(rig):
    for number in range(3):
        await rig.add_engine(
            StreamingEngine(rig.record, rig.store, f"lm-{number}", "advisor-lm")
        )
    for number in range(2):
        await rig.add_engine(
            Engine(rig.record, rig.store, f"enrol-{number}", "enrol-app")
        )
    routes = [
        route("status", "safe", "enrol-app", **{"timeout-ms": 1500}),
        route("advice", "streaming", "advisor-lm", resumable=True),
    ]
    services = ["enrol-app", "advisor-lm"]
    rig.store.put(OPERATOR_TOPIC, "config", manifest(1, routes, services))
    host = await rig.add_host("front-a-1")
    await host.wait_ready()
    await asyncio.sleep(1.0)
    clients = Clients(rig, host)
    tasks = [asyncio.create_task(clients.ask()) for _ in range(CLIENTS)]
    tasks += [asyncio.create_task(clients.stream()) for _ in range(STREAMS)]
    await asyncio.sleep(3.0)
    if disrupted():
        rig.engines[0].in_trouble = True
        rig.record.write(f"{rig.engines[0].id} is in trouble")
    await asyncio.sleep(TROUBLE_SECONDS)
    rig.engines[0].in_trouble = False
    await asyncio.sleep(PLAY_SECONDS - TROUBLE_SECONDS)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    for attempt_id, started_at in clients.started_at.items():
        # Some may still wait.
        clients.seconds.setdefault(attempt_id, rig.record.now() - started_at)
    longer = [each for each in clients.seconds.values() if each >= TIMEOUT_SECONDS]
    late = [each for each in longer if each > TIMEOUT_SECONDS + LATE_SECONDS]
    rig.record.write(f"{len(clients.seconds)} requests, {len(longer)} over the timeout")
    if len(late) < LATE_COUNT or len(late) <= LATE_SHARE * len(longer):
        return []
    return [
        f"CONFIG: {len(late)} of {len(longer)} requests that lasted longer than their "
        f"timeout had no answer {LATE_SECONDS} s after it; the longest took "
        f"{max(late):.1f} s"
    ]


if __name__ == "__main__":
    run_case(Path(__file__).resolve().parent, play)
