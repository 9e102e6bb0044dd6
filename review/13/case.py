"""An entry of another writer beside those of the engines, whose address is none."""

import asyncio
import base64
import json
from pathlib import Path

from aiohttp import web
from rig import (
    ATTEMPT_ID,
    DEADLINE_MS,
    EXPECT_VERSION,
    HOST_NAME,
    LAST_EVENT_ID,
    NOT_EXECUTED,
    OPERATOR_TOPIC,
    SERVER_TOPIC,
    SIGNATURE,
    WEIGHT_VERSIONS,
    Engine,
    disrupted,
    exchange,
    manifest,
    route,
    run_case,
)

MODEL = "m0"
GROUPS = 6
GROUP_ITEMS = 4
EVENTS = 20
EVENT_SECONDS = 0.05
# The trainer gives a step up after so long.
STEP_SECONDS = 12.0
# An item may be at no engine for so long.
IDLE_SECONDS = 5.0
STEPS = 2


class ModelEngine(Engine):
    """Runs items; ``spans`` has the times of each run of an item."""

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.models = [{"name": MODEL, "version": 1, "adapters": []}]
        self.spans = []

    async def answer(self, request, attempt_id):
        if request.path == "/v1/report":
            return web.json_response(
                {"models": self.models, "busy": False, "sequence": 0, "born": self.born}
            )
        await request.read()
        headers = {ATTEMPT_ID: attempt_id}
        if request.headers.get(EXPECT_VERSION, "1") != "1":
            return web.Response(status=421, headers={**headers, NOT_EXECUTED: "1"})
        after = int(request.headers.get(LAST_EVENT_ID, "0"))
        self.began(attempt_id, f"from event {after + 1} on")
        span = [attempt_id, self.record.now(), None]
        self.spans.append(span)
        headers |= {
            SIGNATURE: f"{self.id}.{len(self.runs)}",
            WEIGHT_VERSIONS: "1",
            "Content-Type": "text/event-stream",
        }
        try:
            response = web.StreamResponse(headers=headers)
            await response.prepare(request)
            for number in range(after + 1, EVENTS + 1):
                await asyncio.sleep(EVENT_SECONDS)
                event = f"id: {number}\ndata: {attempt_id}/{number}\n\n"
                await response.write(event.encode())
            return response
        finally:
            span[2] = self.record.now()


def submission(step):
    items = [
        {
            "id": f"s{step}-g{group}-{number}",
            "path": "/rollout/x",
            "headers": {
                "X-Cranberryrun-Model": MODEL,
                "X-Cranberryrun-Token-Usage": "1016,400",
                "X-Cranberryrun-Prefix-Hash": f"a{group}:1000,b{group}{number}:16",
                "X-Cranberryrun-Length-Hint": str(EVENTS),
            },
            "body": base64.b64encode(b"prompt").decode(),
            "tokens": 1416,
            "group-id": f"s{step}-g{group}",
        }
        for group in range(GROUPS)
        for number in range(GROUP_ITEMS)
    ]
    return {
        "step": step,
        "model": MODEL,
        "min-version": 1,
        "group-count": GROUPS,
        "items": items,
    }


class Trainer:
    """Asks for steps; ``unlisted`` has the items that a step ran out of time for."""

    def __init__(self, rig, host):
        self.rig = rig
        self.record = rig.record
        self.host = host
        self.broken = []

    async def play(self):
        for step in range(STEPS):
            await self._ask(step)

    async def _ask(self, step):
        body = submission(step)
        batch_id = f"batch-{step}"
        headers = {ATTEMPT_ID: batch_id, DEADLINE_MS: "4000"}
        status, _, _ = await exchange(
            self.host.front,
            "POST",
            "/rollout/x",
            {**headers, "Content-Type": "application/json"},
            json.dumps(body).encode(),
        )
        asked_at = self.record.now()
        self.record.write(f"step {step} is answered {status}")
        if status != 202:
            return
        listed = set()
        while len(listed) < len(body["items"]):
            if self.record.now() >= asked_at + STEP_SECONDS:
                self._judge(step, {item["id"] for item in body["items"]} - listed)
                break
            status, _, answer = await exchange(
                self.host.front,
                "GET",
                f"/v1/lots/{batch_id}?after={len(listed)}",
                {"X-Cranberryrun-Wait-Ms": "500"},
            )
            if status == 200:
                results = json.loads(answer)["results"]
                listed.update(result["id"] for result in results)
                if results:
                    self.record.write(f"step {step}: {len(listed)} results are read")
        status, _, _ = await exchange(
            self.host.front, "DELETE", f"/v1/lots/{batch_id}", {DEADLINE_MS: "4000"}
        )
        self.record.write(f"the end of step {step} is answered {status}")

    def _judge(self, step, unlisted):
        now = self.record.now()
        spans = [span for engine in self.rig.engines for span in engine.spans]
        idle = []
        for item in sorted(unlisted):
            ends = [end or now for attempt_id, _, end in spans if attempt_id == item]
            if max(ends, default=0.0) <= now - IDLE_SECONDS:
                idle.append(item)
        running = sum(span[2] is None for span in spans)
        self.record.write(
            f"step {step} runs out of time; not listed: {sorted(unlisted)}; "
            f"at no engine for {IDLE_SECONDS} s: {idle}; {running} runs are going on"
        )
        if idle and any(span[0].startswith(f"s{step}-") for span in spans):
            self.broken.append(
                f"LOST: step {step} runs out of time, and {len(idle)} of its items have "
                f"been at no engine for {IDLE_SECONDS} s: {idle}"
            )


async def play(rig):
    if disrupted():
        # Another writer's entry: the address has the name of a port in place of one.
        entry = {
            "service": "advisor-lm",
            "address": "127.0.0.1:http",
            "zone": "a",
            "version": "v1",
            "slots": 12,
            "state": "ready",
            "sequence": 1,
            "born": 1,
            "models": [{"name": MODEL, "version": 1, "adapters": []}],
        }
        rig.store.put(SERVER_TOPIC, "lm-7", entry)
        rig.record.write(f"another writer's entry: {entry}")
    for number in range(3):
        await rig.add_engine(
            ModelEngine(rig.record, rig.store, f"lm-{number}", "advisor-lm")
        )
    rollout = route(
        "rollout",
        "rollout",
        "advisor-lm",
        **{"run-deadline-ms": 7500, "queue-ttl-s": 40, "resumable": True},
    )
    service = {
        "name": "advisor-lm",
        "engine": {"slots": 12, "stride": 1, "models": [{"name": MODEL}]},
    }
    rig.store.put(OPERATOR_TOPIC, "config", manifest(1, [rollout], [service]))
    host = await rig.add_host("front-a-1")
    await host.wait_ready()
    await asyncio.sleep(2.0)
    trainer = Trainer(rig, host)
    await trainer.play()
    return trainer.broken


if __name__ == "__main__":
    run_case(Path(__file__).resolve().parent, play)
