"""Stand-in for one engine, as a process: a plain service or a model engine.

It appends one JSON line to a file for each thing that it does, before it does it.
A request has run from its line "run" on. It registers itself in the platform's store.

SIGUSR1 begins a span of trouble. In it, the engine sends a second copy of a share of
its answers (``--copies``), late, where the next answer on the connection is expected,
or answers a share of its requests with bytes without end that are no answer
(``--floods``).
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import random
import signal
import struct
import time
from contextlib import suppress

from wire import Answer, ChannelClosed, call, read_body, read_head

SIGNATURE = "X-Cranberryrun-Server-Signature"
ATTEMPT = "x-cranberryrun-attempt-id"
LOAD_SECONDS = 0.9
# An interim response is no answer.
FLOOD = b"HTTP/1.1 100 Continue\r\n\r\n" * 4000


def parse_arguments() -> argparse.Namespace:
    """Return the arguments of the command line."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--id", required=True)
    parser.add_argument("--service", required=True)
    parser.add_argument("--zone", default="a")
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--store", required=True)
    parser.add_argument("--record", required=True)
    parser.add_argument("--slots", type=int, default=6)
    parser.add_argument("--queue", type=int, default=2, help="requests that may wait")
    parser.add_argument("--work", type=float, default=0.04, help="seconds a request")
    parser.add_argument("--model", default="", help="a model engine serves it")
    parser.add_argument("--version", type=int, default=1)
    parser.add_argument("--software", default="v1")
    parser.add_argument("--event", type=float, default=0.05, help="seconds an event")
    parser.add_argument("--beat", type=float, default=1.2)
    parser.add_argument("--copies", type=float, default=0.0, help="share of answers")
    parser.add_argument("--floods", type=float, default=0.0, help="share of answers")
    parser.add_argument("--trouble", type=float, default=5.0, help="seconds of a span")
    return parser.parse_args()


class Engine:
    """Serves ``slots`` requests at once and queues a few; it refuses the rest.

    ``running`` counts those in the queue, too.
    """

    def __init__(self, options: argparse.Namespace) -> None:
        self.options = options
        self.born = int(time.time() * 1000)
        self.version = options.version
        self.sequence = 0
        self.beats = 0
        self.fence = -1
        self.loading = False
        self.running = 0
        self.slots = asyncio.Semaphore(options.slots)
        self.trouble_until = 0.0
        self.idle = asyncio.Event()
        self.idle.set()
        self.record_file = os.open(
            options.record, os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o644
        )

    def record(self, what: str, **fields: object) -> None:
        """Append a line to the record; it outlives a kill."""
        line = {"at": round(time.time(), 4), "engine": self.options.id, "what": what}
        os.write(self.record_file, json.dumps(line | fields).encode() + b"\n")

    async def run(self) -> None:
        """Serve until the process is killed."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGUSR1, self.begin_trouble)
        server = await asyncio.start_server(
            self.serve, "127.0.0.1", self.options.port, backlog=512
        )
        asyncio.create_task(self.beat())
        async with server:
            await server.serve_forever()

    def begin_trouble(self) -> None:
        """Begin a span of trouble."""
        self.record("trouble", seconds=self.options.trouble)
        self.trouble_until = time.monotonic() + self.options.trouble

    def strikes(self, share: float) -> bool:
        """Return whether trouble of a share of the answers strikes one now."""
        return time.monotonic() < self.trouble_until and random.random() < share

    def entry(self) -> dict[str, object]:
        """Return what the engine registers."""
        self.beats += 1
        entry: dict[str, object] = {
            "service": self.options.service,
            "address": f"127.0.0.1:{self.options.port}",
            "zone": self.options.zone,
            "version": self.options.software,
            "slots": self.options.slots,
            "state": "ready",
            "cold-remaining-ms": 0,
            "sequence": self.beats,
            "born": self.born,
        }
        if self.options.model:
            entry["stage"] = "both"
            entry["models"] = self.models()
        return entry

    def models(self) -> list[dict[str, object]]:
        """Return the model and its version."""
        model = {"name": self.options.model, "version": self.version, "adapters": []}
        return [model]

    async def beat(self) -> None:
        """Write the entry of this engine regularly."""
        while True:
            with suppress(ChannelClosed):
                await self.register()
            await asyncio.sleep(self.options.beat)

    async def register(self) -> None:
        """Write the entry of this engine to the store."""
        key = self.options.id.encode()
        record = bytes([len(key)]) + key + json.dumps(self.entry()).encode()
        await call(
            self.options.store,
            "POST",
            "/v1/log-append?topic=keyed.servers&part=0",
            {"Host": "store"},
            struct.pack(">I", len(record)) + record,
        )

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one connection, one request at a time."""
        copy = b""
        with suppress(OSError, EOFError):
            while True:
                first, headers = await read_head(reader)
                if copy:
                    self.record(
                        "copy",
                        id=headers.get(ATTEMPT),
                        sent=copy.split(b"\r\n")[0].decode(),
                    )
                    writer.write(copy)
                    copy = b""
                body = await read_body(reader, headers)
                method, path, _ = first.split(" ")
                work = asyncio.create_task(
                    self.answer(method, path, headers, body, writer)
                )
                while not work.done():
                    await asyncio.wait([work], timeout=0.02)
                    if reader.at_eof() or reader.exception() is not None:
                        # An engine drops a request when its connection closes.
                        work.cancel()
                        await asyncio.wait([work])
                        self.record("dropped", id=headers.get(ATTEMPT))
                        raise EOFError
                answer = work.result()
                if answer and self.strikes(self.options.copies):
                    copy = answer
        writer.close()

    async def answer(
        self,
        method: str,
        path: str,
        headers: dict[str, str],
        body: bytes,
        writer: asyncio.StreamWriter,
    ) -> bytes:
        """Answer one request; return the bytes of a plain answer."""
        expected = headers.get("x-cranberryrun-expect-instance")
        if expected not in (None, self.options.id):
            instance = {"X-Cranberryrun-Instance-Id": self.options.id}
            return await self.write(writer, headers, Answer(421, instance))
        if path == "/v1/report":
            report = {"models": self.models(), "busy": self.loading}
            report |= {"sequence": self.sequence, "running-count": self.running}
            encoded = json.dumps(report).encode()
            return await self.write(writer, headers, Answer(200, {}, encoded))
        if path == "/v1/order":
            status = self.take_order(json.loads(body))
            return await self.write(writer, headers, Answer(status, {}, b"{}"))
        if self.strikes(self.options.floods):
            self.record("flood", id=headers.get(ATTEMPT))
            while True:
                writer.write(FLOOD)
                await writer.drain()
        wanted = headers.get("x-cranberryrun-expect-version")
        if wanted is not None and int(wanted) != self.version:
            return await self.write(writer, headers, Answer(421, {}))
        room = self.options.slots + self.options.queue
        if self.loading or self.running >= room:
            refused = {"X-Cranberryrun-Not-Executed": "1"}
            return await self.write(writer, headers, Answer(503, refused))
        self.running += 1
        self.idle.clear()
        try:
            async with self.slots:
                if self.options.model:
                    await self.stream(headers, writer)
                    return b""
                return await self.work(method, path, headers, body, writer)
        finally:
            self.running -= 1
            if not self.running:
                self.idle.set()

    async def work(
        self,
        method: str,
        path: str,
        headers: dict[str, str],
        body: bytes,
        writer: asyncio.StreamWriter,
    ) -> bytes:
        """Run a plain request; return the bytes of the answer."""
        attempt = headers.get(ATTEMPT, "")
        self.record("run", id=attempt, method=method, path=path, size=len(body))
        await asyncio.sleep(self.options.work)
        signed = {SIGNATURE: f"{self.options.id}.{attempt}"}
        answer = Answer(200, signed, b"done " + body)
        sent = await self.write(writer, headers, answer)
        self.record("answered", id=attempt)
        return sent

    async def stream(
        self, headers: dict[str, str], writer: asyncio.StreamWriter
    ) -> None:
        """Run an item: write its events as they are made."""
        attempt = headers.get(ATTEMPT, "")
        last = int(headers.get("last-event-id", "0"))
        # "prompt tokens,output tokens"; an event has one token.
        count = int(headers["x-cranberryrun-token-usage"].split(",")[1])
        self.record("run", id=attempt, after=last, version=self.version)
        head = [
            "HTTP/1.1 200 OK",
            "Content-Type: text/event-stream",
            "Transfer-Encoding: chunked",
            f"X-Cranberryrun-Attempt-Id: {attempt}",
            f"{SIGNATURE}: {self.options.id}.{attempt}",
            f"X-Cranberryrun-Weight-Versions: {self.version}",
        ]
        writer.write("\r\n".join(head).encode() + b"\r\n\r\n")
        for number in range(last + 1, count + 1):
            await asyncio.sleep(self.options.event)
            event = f"id: {number}\ndata: {attempt}/{number}/v{self.version}\n\n"
            writer.write(f"{len(event):x}\r\n{event}\r\n".encode())
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        self.record("answered", id=attempt)

    def take_order(self, order: dict) -> int:
        """Accept an order for other weights, whose runs finish first (``wait``)."""
        if "holder" not in order or "fencing-token" not in order:
            return 400
        if order["fencing-token"] < self.fence:
            return 412
        self.fence = order["fencing-token"]
        if order["version"] == self.version:
            return 200
        if self.loading or order.get("precondition", self.sequence) != self.sequence:
            return 409
        self.sequence += 1
        self.loading = True
        self.record(
            "order",
            holder=order["holder"],
            fence=order["fencing-token"],
            version=order["version"],
            mode=order["switch-mode"],
        )
        asyncio.create_task(self.load(order["version"], order["switch-mode"]))
        return 202

    async def load(self, version: int, mode: str) -> None:
        """Load other weights, in mode ``wait`` once the runs have finished."""
        if mode == "wait":
            await self.idle.wait()
        await asyncio.sleep(LOAD_SECONDS)
        self.version = version
        self.loading = False
        self.record("loaded", version=version)
        with suppress(ChannelClosed):
            await self.register()

    async def write(
        self, writer: asyncio.StreamWriter, headers: dict[str, str], answer: Answer
    ) -> bytes:
        """Write an answer that has a length; return its bytes."""
        lines = [f"HTTP/1.1 {answer.status} Answer"]
        lines += [f"{name}: {value}" for name, value in answer.headers.items()]
        if ATTEMPT in headers:
            lines.append(f"X-Cranberryrun-Attempt-Id: {headers[ATTEMPT]}")
        lines.append(f"Content-Length: {len(answer.body)}")
        sent = "\r\n".join(lines).encode() + b"\r\n\r\n" + answer.body
        writer.write(sent)
        await writer.drain()
        return sent


if __name__ == "__main__":
    asyncio.run(Engine(parse_arguments()).run())
