"""An engine in trouble that sends bytes that are no answer in the streams of items."""

import asyncio
import base64
import json
import random
from pathlib import Path

from aiohttp import web
from rig import (
    ATTEMPT_ID,
    DEADLINE_MS,
    EXPECT_VERSION,
    LAST_EVENT_ID,
    NOT_EXECUTED,
    OPERATOR_TOPIC,
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
EVENTS = 40
EVENT_SECONDS = 0.05
# Three of five engines are in trouble for a while. One of their answers has so many
# events and then junk; it is less than 0.03 of their answers in that time.
ENGINES = 5
IN_TROUBLE = 3
SPOILT_ANSWER = 10
SOUND_EVENTS = 5
TROUBLE_SECONDS = 5.5
STEP_SECONDS = 12.0
STEPS = 4
# Bytes of any value, which are sent again until the caller closes.
JUNK = random.Random(1).randbytes(1_000_000)


def text_of(item_id, number):
    return f"{item_id}/{number}"


class Trouble:
    """The engines in trouble, and how many items they have run meanwhile."""

    def __init__(self):
        self.engines = ()
        self.answers = 0

    def spoils(self, engine):
        """Return whether an answer that begins now is the one with junk."""
        if engine not in self.engines:
            return False
        self.answers += 1
        return self.answers == SPOILT_ANSWER


TROUBLE = Trouble()


class ModelEngine(Engine):
    """Runs items; one answer of the engines in trouble turns into junk."""

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.models = [{"name": MODEL, "version": 1, "adapters": []}]

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
        spoilt = TROUBLE.spoils(self)
        self.began(attempt_id, f"from event {after + 1} on")
        headers |= {
            SIGNATURE: f"{self.id}.{len(self.runs)}",
            WEIGHT_VERSIONS: "1",
            "Content-Type": "text/event-stream",
        }
        response = web.StreamResponse(headers=headers)
        await response.prepare(request)
        for number in range(after + 1, EVENTS + 1):
            if spoilt and number == after + 1 + SOUND_EVENTS:
                self.record.write(
                    f"{self.id} sends junk after {attempt_id}/{number - 1}"
                )
                while True:
                    # Until the caller closes.
                    await response.write(JUNK)
            await asyncio.sleep(EVENT_SECONDS)
            event = f"id: {number}\ndata: {text_of(attempt_id, number)}\n\n"
            await response.write(event.encode())
        return response


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


async def ask_step(rig, host, step):
    """Ask for a step; return which of its results are not whole."""
    body = submission(step)
    batch_id = f"batch-{step}"
    headers = {
        ATTEMPT_ID: batch_id,
        DEADLINE_MS: "4000",
        "Content-Type": "application/json",
    }
    status, _, _ = await exchange(
        host.front, "POST", "/rollout/x", headers, json.dumps(body).encode()
    )
    asked_at = rig.record.now()
    rig.record.write(f"step {step} is answered {status}")
    results = []
    while len(results) < len(body["items"]):
        if rig.record.now() >= asked_at + STEP_SECONDS:
            break
        status, _, answer = await exchange(
            host.front,
            "GET",
            f"/v1/lots/{batch_id}?after={len(results)}",
            {"X-Cranberryrun-Wait-Ms": "500"},
        )
        if status == 200:
            results += json.loads(answer)["results"]
    await exchange(host.front, "DELETE", f"/v1/lots/{batch_id}", {DEADLINE_MS: "4000"})
    rig.record.write(f"step {step} is ended, {len(results)} results are read")
    broken = []
    for result in results:
        whole = "\n".join(text_of(result["id"], n + 1) for n in range(EVENTS))
        if result["state"] == "succeeded" and result["text"] != whole:
            lines = result["text"].split("\n")
            missing = set(whole.split("\n")) - set(lines)
            rig.record.write(
                f"{result['id']} succeeded with {len(lines)} lines: {lines}"
            )
            broken.append(f"{result['id']} lacks {len(missing)} of {EVENTS} events")
    return broken


def end_trouble(rig):
    rig.record.write(f"trouble ends after {TROUBLE.answers} answers of these engines")
    TROUBLE.engines = ()


async def play(rig):
    for number in range(ENGINES):
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
    if disrupted():
        TROUBLE.engines = rig.engines[:IN_TROUBLE]
        asyncio.get_running_loop().call_later(TROUBLE_SECONDS, end_trouble, rig)
    broken = []
    for step in range(STEPS):
        broken += await ask_step(rig, host, step)
    if not broken:
        return []
    return [
        f"MIXED: {len(broken)} of {STEPS * GROUPS * GROUP_ITEMS} results succeeded with "
        f"texts that are not the whole outputs: {', '.join(broken[:4])}"
    ]


if __name__ == "__main__":
    run_case(Path(__file__).resolve().parent, play)
