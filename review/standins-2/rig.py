"""Stand-ins for the scripts of the second review: a store, engines and hosts.

They follow the users' pages. The store and the engines run in the process of the
script. Each host is a process of its own, started with the command of the deploy file.
"""

from __future__ import annotations

import asyncio
import base64
import json
import os
import random
import signal
import socket
import struct
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import aiohttp
from aiohttp import web

ROOT = Path(__file__).resolve().parents[2]
ROUTE_HOST = "review.example"
ID = "X-Cranberryrun-Attempt-Id"
SIGNATURE = "X-Cranberryrun-Server-Signature"
VERSIONS = "X-Cranberryrun-Weight-Versions"
NOT_EXECUTED = "X-Cranberryrun-Not-Executed"
EXPECT_INSTANCE = "X-Cranberryrun-Expect-Instance"
EXPECT_VERSION = "X-Cranberryrun-Expect-Version"
DEADLINE_MS = "X-Cranberryrun-Deadline-Ms"

HELD, BROKEN, NOT_RUN = 0, 1, 2
_LENGTH = struct.Struct(">I")
_HEADER = struct.Struct(">QQ")
_HEARTBEAT_SECONDS = 1.2
_LOAD_SECONDS = 0.9
_MAX_SECONDS = 112.0


class CannotRun(Exception):
    """The case could not be brought about, so nothing can be said."""


class Record:
    """The file ``record.txt`` beside the script: what was sent, answered and run."""

    def __init__(self, folder: Path) -> None:
        self._file = open(folder / "record.txt", "w", buffering=1)
        self._started_at = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the script began."""
        return time.monotonic() - self._started_at

    def write(self, text: str) -> None:
        """Add a line with the time."""
        self._file.write(f"{self.now():8.3f}  {text}\n")


# Each script has a loopback address of its own, so that scripts that run at the same
# time never meet at a port.
def _own_loopback() -> str:
    address = f"127.{random.randint(1, 250)}.{random.randint(1, 250)}.1"
    with socket.socket() as probe:
        try:
            probe.bind((address, 0))
        except OSError:
            return "127.0.0.1"
    return address


LOOPBACK = _own_loopback()
_used_ports: set[int] = set()


def free_address() -> str:
    """Return a loopback address with a free port."""
    while True:
        with socket.socket() as probe:
            probe.bind((LOOPBACK, 0))
            port = probe.getsockname()[1]
        if port not in _used_ports:
            _used_ports.add(port)
            return f"{LOOPBACK}:{port}"


class _Server:
    """A listener whose connections can be reset, as when its process is killed."""

    def __init__(self, handler: Callable[[web.BaseRequest], Awaitable[Any]]) -> None:
        self._server = web.Server(handler, handler_cancellation=True, access_log=None)
        self._listener: asyncio.Server | None = None

    async def start(self, address: str) -> None:
        host, port = address.split(":")
        self._listener = await asyncio.get_running_loop().create_server(
            self._server, host, int(port), reuse_address=True
        )

    def kill(self) -> None:
        """Stop listening and reset all connections."""
        if self._listener is not None:
            self._listener.close()
            self._listener = None
        for connection in list(self._server.connections):
            if connection.transport is not None:
                connection.transport.abort()


class _Topic:
    def __init__(self) -> None:
        self.first = 0
        self.records: list[tuple[float, bytes]] = []

    @property
    def end(self) -> int:
        return self.first + len(self.records)


class Store:
    """The platform's store: linearizable, and it loses nothing before its time.

    :param queue_ttl: seconds after which the oldest records of a topic expire, but for
        the newest record of each key of a keyed topic.
    """

    def __init__(self, queue_ttl: float = 300.0) -> None:
        self.address = free_address()
        self._queue_ttl = queue_ttl
        self._topic_by_name: dict[str, _Topic] = {}
        self._appended = asyncio.Event()
        self._server = _Server(self._serve)
        # The topics whose partition is down: all calls of them get 503.
        self.down_topics: set[str] = set()

    async def start(self) -> None:
        await self._server.start(self.address)

    def stop(self) -> None:
        self._server.kill()

    def put(self, topic: str, key: str, value: object) -> None:
        """Write a keyed record; None removes the key."""
        encoded = key.encode()
        body = b"" if value is None else json.dumps(value).encode()
        self._append(topic, [bytes([len(encoded)]) + encoded + body])

    def _topic(self, name: str) -> _Topic:
        topic = self._topic_by_name.setdefault(name, _Topic())
        if not name.startswith("keyed."):
            limit = time.monotonic() - self._queue_ttl
            while topic.records and topic.records[0][0] < limit:
                topic.records.pop(0)
                topic.first += 1
        return topic

    def _append(self, name: str, records: list[bytes]) -> int:
        topic = self._topic(name)
        offset = topic.end
        topic.records += [(time.monotonic(), record) for record in records]
        appended, self._appended = self._appended, asyncio.Event()
        appended.set()
        return offset

    async def _serve(self, request: web.BaseRequest) -> web.StreamResponse:
        if request.query.get("topic") in self.down_topics:
            return web.json_response({}, status=503)
        if request.path == "/v1/log-append":
            return await self._serve_append(request)
        if request.path == "/v1/log-read":
            return await self._serve_read(request)
        if request.path == "/v1/log-newest":
            return self._serve_newest(request)
        if request.path == "/v1/log-trim":
            call = json.loads(await request.read())
            topic = self._topic(call["topic"])
            count = min(max(0, call["before"] - topic.first), len(topic.records))
            del topic.records[:count]
            topic.first += count
            return web.json_response({})
        return web.json_response({}, status=404)

    async def _serve_append(self, request: web.BaseRequest) -> web.StreamResponse:
        # Unlike read(), this has no limit of its own.
        body = await request.content.read()
        await asyncio.sleep(0.004)
        records, position = [], 0
        while position < len(body):
            (length,) = _LENGTH.unpack_from(body, position)
            records.append(body[position + 4 : position + 4 + length])
            position += 4 + length
        name = request.query["topic"]
        topic = self._topic(name)
        if "at" in request.query and int(request.query["at"]) != topic.end:
            return web.json_response({"end": topic.end}, status=412)
        offset = self._append(name, records)
        return web.json_response({"offset": offset, "end": offset + len(records)})

    async def _serve_read(self, request: web.BaseRequest) -> web.StreamResponse:
        await asyncio.sleep(0.004)
        name, start = request.query["topic"], int(request.query["from"])
        deadline = time.monotonic() + int(request.query.get("wait-ms", 0)) / 1000
        limit = int(request.query.get("max-kb", 1024)) * 1024
        while True:
            topic = self._topic(name)
            if start < topic.first:
                return web.json_response({"first": topic.first}, status=410)
            seconds = deadline - time.monotonic()
            if topic.end > start or seconds <= 0:
                break
            appended = self._appended
            try:
                async with asyncio.timeout(seconds):
                    await appended.wait()
            except TimeoutError:
                continue
        parts, size = [_HEADER.pack(topic.end, topic.first)], 0
        for _, record in topic.records[start - topic.first :]:
            if size and size + len(record) > limit:
                break
            size += len(record)
            parts.append(_LENGTH.pack(len(record)) + record)
        return web.Response(body=b"".join(parts))

    def _serve_newest(self, request: web.BaseRequest) -> web.StreamResponse:
        topic = self._topic(request.query["topic"])
        newest: dict[str, tuple[int, bytes]] = {}
        for offset, (_, record) in enumerate(topic.records, topic.first):
            end = 1 + record[0]
            key = record[1:end].decode()
            newest.pop(key, None)
            if record[end:]:
                newest[key] = offset, record[end:]
        items = [
            {
                "key": key,
                "value": base64.b64encode(value).decode(),
                "offset": offset,
            }
            for key, (offset, value) in newest.items()
        ]
        return web.json_response({"items": items, "has-more": False, "end": topic.end})


class Engine:
    """A model engine: it registers, takes orders and streams events.

    ``orders`` has each accepted or refused order as (time, holder, epoch number, model,
    version, status); ``runs`` each request that began to run as (time, attempt id,
    Last-Event-Id, version).

    :param software: the version of its software, on which its texts depend.
    """

    def __init__(
        self,
        store: Store,
        record: Record,
        name: str,
        service: str,
        models: tuple[str, ...],
        software: str = "v1",
        slots: int = 12,
        event_seconds: float = 0.05,
        require_fence: bool = False,
    ) -> None:
        self._store = store
        self._record = record
        self.name = name
        self.id = ""
        self.service = service
        self.software = software
        self.address = free_address()
        self.version_by_model = dict.fromkeys(models, 1)
        self.slots = slots
        self.event_seconds = event_seconds
        self._require_fence = require_fence
        self.events_of: Callable[[str], int] = lambda attempt_id: 20
        # Bytes that each event has beside its text.
        self.padding = 0
        self.orders: list[tuple[float, str, int, str, int, int]] = []
        self.runs: list[tuple[float, str, int, int]] = []
        self.running_by_model: dict[str, int] = dict.fromkeys(models, 0)
        self.running_ids: set[str] = set()
        self._loading: str | None = None
        self._sequence = 0
        self._fence = -1
        self._starts = 0
        self._beats = 0
        self._born = 0
        self._server = _Server(self._serve)
        self._beat_task: asyncio.Task[None] | None = None
        self._load_task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start a new process of the engine, with a new id."""
        self._starts += 1
        self.id = f"i-{self.name}-{self._starts}"
        self._born = int(time.time() * 1000)
        self._sequence = self._beats = 0
        self._fence = -1
        self._loading = None
        self.running_by_model = dict.fromkeys(self.version_by_model, 0)
        self._server = _Server(self._serve)
        await self._server.start(self.address)
        self._beat_task = asyncio.create_task(self._beat())
        self._record.write(f"engine {self.id} starts, software {self.software}")

    def kill(self) -> None:
        """End the process: it answers nothing more, and its entry expires."""
        for task in (self._beat_task, self._load_task):
            if task is not None:
                task.cancel()
        self._server.kill()
        asyncio.get_running_loop().call_later(
            3 * _HEARTBEAT_SECONDS, self._store.put, "keyed.servers", self.id, None
        )
        self._record.write(f"engine {self.id} is killed")

    def stop(self) -> None:
        """End the stand-in."""
        for task in (self._beat_task, self._load_task):
            if task is not None:
                task.cancel()
        self._server.kill()

    def _models(self) -> list[dict[str, Any]]:
        return [
            {"name": name, "version": version, "adapters": []}
            for name, version in self.version_by_model.items()
        ]

    def register(self) -> None:
        """Write the entry to the store."""
        self._beats += 1
        self._store.put(
            "keyed.servers",
            self.id,
            {
                "service": self.service,
                "address": self.address,
                "zone": "a",
                "version": self.software,
                "slots": self.slots,
                "state": "ready",
                "cold-remaining-ms": 0,
                "stage": "both",
                "born": self._born,
                "sequence": self._beats,
                "models": self._models(),
            },
        )

    async def _beat(self) -> None:
        while True:
            self.register()
            await asyncio.sleep(_HEARTBEAT_SECONDS)

    async def _serve(self, request: web.BaseRequest) -> web.StreamResponse:
        if request.path == "/v1/report":
            return web.json_response(
                {
                    "stage": "both",
                    "born": self._born,
                    "models": self._models(),
                    "busy": self._loading is not None,
                    "sequence": self._sequence,
                    "queue-depth": 0,
                    "running-count": sum(self.running_by_model.values()),
                }
            )
        if request.headers.get(EXPECT_INSTANCE, self.id) != self.id:
            return web.Response(status=421, headers={NOT_EXECUTED: "1"})
        if request.path == "/v1/order":
            return await self._serve_order(request)
        return await self._serve_request(request)

    async def _serve_order(self, request: web.BaseRequest) -> web.StreamResponse:
        order = json.loads(await request.read())
        status = self._accept(order)
        self.orders.append(
            (
                self._record.now(),
                order["holder"],
                order["fencing-token"],
                order["model"],
                order["version"],
                status,
            )
        )
        self._record.write(
            f"order at {self.id}: holder {order['holder']}, epoch number "
            f"{order['fencing-token']}, {order['model']} version {order['version']}: "
            f"{status}"
        )
        return web.Response(status=status)

    def _accept(self, order: dict[str, Any]) -> int:
        if self._require_fence and order["fencing-token"] < self._fence:
            return 412
        self._fence = max(self._fence, order["fencing-token"])
        model, version = order["model"], order["version"]
        if self.version_by_model.get(model) == version:
            return 200
        if self._loading is not None:
            return 409
        if order.get("precondition", self._sequence) != self._sequence:
            return 409
        self._sequence += 1
        self._loading = model
        self._load_task = asyncio.create_task(
            self._load(model, version, order["switch-mode"])
        )
        return 202

    async def _load(self, model: str, version: int, mode: str) -> None:
        while mode == "wait" and self.running_by_model[model]:
            await asyncio.sleep(0.01)
        await asyncio.sleep(_LOAD_SECONDS)
        self.version_by_model[model] = version
        self._loading = None
        self.register()

    async def _serve_request(self, request: web.BaseRequest) -> web.StreamResponse:
        body = await request.read()
        attempt_id = request.headers.get(ID, "")
        model = request.headers.get("X-Cranberryrun-Model", "")
        version = self.version_by_model.get(model, 0)
        refusal = {NOT_EXECUTED: "1", ID: attempt_id}
        if not attempt_id or model not in self.version_by_model:
            return web.Response(status=400, headers=refusal)
        if request.headers.get(EXPECT_VERSION, str(version)) != str(version):
            return web.Response(status=421, headers=refusal)
        if self._loading == model or sum(self.running_by_model.values()) >= self.slots:
            return web.Response(status=503, headers=refusal)
        last = int(request.headers.get("Last-Event-Id", 0))
        self.runs.append((self._record.now(), attempt_id, last, version))
        self._record.write(
            f"run at {self.id}: {attempt_id} after event {last}, version {version}"
        )
        self.running_by_model[model] += 1
        self.running_ids.add(attempt_id)
        try:
            return await self._stream(request, attempt_id, model, last, body)
        except ConnectionError:
            # The caller has closed the channel, so the run ends.
            return web.Response()
        finally:
            self.running_by_model[model] -= 1
            self.running_ids.discard(attempt_id)

    async def _stream(
        self,
        request: web.BaseRequest,
        attempt_id: str,
        model: str,
        last: int,
        body: bytes,
    ) -> web.StreamResponse:
        version = self.version_by_model[model]
        response = web.StreamResponse(
            headers={
                ID: attempt_id,
                SIGNATURE: f"{self.id}.{attempt_id}.{last}",
                VERSIONS: str(version),
                "Content-Type": "text/event-stream",
            }
        )
        await response.prepare(request)
        for number in range(last + 1, self.events_of(attempt_id) + 1):
            await asyncio.sleep(self.event_seconds)
            now = self.version_by_model[model]
            line = ""
            if now != version:
                version = now
                line = f"x-cranberryrun-weight-versions: {version}\n"
            text = f"{self.service}/{self.software}/{body.decode()}/{number}"
            text += "." * self.padding
            await response.write(f"{line}id: {number}\ndata: {text}\n\n".encode())
        await response.write_eof()
        return response


class Host:
    """A host of the system, run as its own process."""

    def __init__(
        self,
        folder: Path,
        record: Record,
        store: Store,
        name: str,
        bounds: dict[str, Any],
        memory_mb: int = 190,
        link_mbps: float = 1000.0,
    ) -> None:
        self._record = record
        self._folder = folder
        self.name = name
        self.front = free_address()
        self.ready = free_address()
        self.process: asyncio.subprocess.Process | None = None
        self._settings_path = folder / f"{name}.json"
        # The fields of deploy/settings.json.
        settings = {
            "host_id": name,
            "zone": "a",
            "ip": LOOPBACK,
            "front_address": self.front,
            "ready_address": self.ready,
            "peer_address": free_address(),
            "link_mbps": link_mbps,
            "memory_mb": memory_mb,
            "contracts": [
                *("base", "drain", "config", "cost", "recover", "samples", "stream"),
                *("engine", "batch", "platform"),
            ],
            "bounds": {
                "engine_lease_ms": 3000,
                "seed_lag_s": 3,
                "batch_keep_ms": 120000,
                "grace_ms": 8000,
                **bounds,
            },
            "store": {
                "record_bytes": 262144,
                "call_bytes": 2097152,
                "address": store.address,
            },
        }
        self._settings_path.write_text(json.dumps(settings))

    async def start(self) -> None:
        """Start the process with the command of the deploy file."""
        environment = {
            "CRANBERRYRUN_SETTINGS": str(self._settings_path),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "PATH": os.environ.get("PATH", "/usr/bin:/bin"),
            "HOME": os.environ.get("HOME", str(self._folder)),
            "LANG": "C.UTF-8",
        }
        with open(self._folder / f"{self.name}.log", "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *("python3", "-m", "cranberryrun.platform.launcher"),
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )
        self._record.write(f"host {self.name} starts")

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        assert self.process is not None
        self._record.write(f"host {self.name} gets {number.name}")
        self.process.send_signal(number)

    async def end(self) -> None:
        """Kill the process if it still runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()

    def log(self) -> list[dict[str, Any]]:
        """Return the lines of the log that are JSON."""
        lines = []
        for line in (self._folder / f"{self.name}.log").read_text().splitlines():
            try:
                lines.append(json.loads(line))
            except ValueError:
                continue
        return lines

    async def wait_until_ready(self, seconds: float = 30.0) -> None:
        """Return when the readiness check has been answered with 200."""
        deadline = time.monotonic() + seconds
        async with aiohttp.ClientSession() as session:
            while time.monotonic() < deadline:
                try:
                    url = f"http://{self.ready}/v1/readyz"
                    async with session.get(url) as response:
                        if response.status == 200:
                            return
                except aiohttp.ClientError:
                    pass
                await asyncio.sleep(0.1)
        raise CannotRun(f"host {self.name} did not become ready")


class Rig:
    """One run of a script: its stand-ins, hosts and record."""

    def __init__(self, folder: Path, queue_ttl: float = 300.0) -> None:
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.record = Record(folder)
        self.store = Store(queue_ttl)
        self.engines: list[Engine] = []
        self.hosts: list[Host] = []
        self._temporary = tempfile.TemporaryDirectory(prefix="review-")
        self.folder = Path(self._temporary.name)
        self.record.write(f"TROUBLE={int(self.trouble)}")

    def engine(self, name: str, service: str, **options: Any) -> Engine:
        """Add an engine."""
        engine = Engine(self.store, self.record, name, service, **options)
        self.engines.append(engine)
        return engine

    def host(
        self, name: str, memory_mb: int = 190, link_mbps: float = 1000.0, **bounds: Any
    ) -> Host:
        """Add a host."""
        host = Host(
            *(self.folder, self.record, self.store, name, bounds, memory_mb, link_mbps)
        )
        self.hosts.append(host)
        return host

    def put_manifest(self, manifest: dict[str, Any]) -> None:
        """Write the manifest, as the operator does."""
        self.record.write(f"manifest version {manifest['version']}")
        self.store.put("keyed.op", "config", manifest)

    def name_version(self, model: str, version: int) -> None:
        """Name a version of a model, as its trainer does."""
        self.record.write(f"{model} version {version} is named")
        self.store.put(
            "keyed.op", f"version/{model}", {"model": model, "version": version}
        )

    async def start(self) -> None:
        """Start everything and wait until all hosts are ready."""
        await self.store.start()
        for engine in self.engines:
            await engine.start()
        for host in self.hosts:
            await host.start()
        for host in self.hosts:
            await host.wait_until_ready()

    async def end(self) -> None:
        """End all processes and stand-ins."""
        for host in self.hosts:
            await host.end()
        for engine in self.engines:
            engine.stop()
        self.store.stop()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            Path(keep).mkdir(parents=True, exist_ok=True)
            for path in self.folder.iterdir():
                (Path(keep) / path.name).write_bytes(path.read_bytes())
        self._temporary.cleanup()


def run(rig_of: Callable[[], Rig], case: Callable[[Rig], Awaitable[int]]) -> None:
    """Run a case and exit with its outcome."""

    async def main() -> int:
        rig = rig_of()
        task = asyncio.current_task()
        assert task is not None
        stopped: list[bool] = []

        def stop() -> None:
            # Whoever stops the script stops its hosts as well; a second signal must
            # not keep it from that.
            if not stopped:
                stopped.append(True)
                task.cancel()

        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stop)
        try:
            async with asyncio.timeout(_MAX_SECONDS):
                outcome = await case(rig)
        except (Exception, asyncio.CancelledError) as error:
            # Whatever it was, it says nothing of the rule.
            rig.record.write(f"the case could not run: {error!r}")
            outcome = NOT_RUN
        finally:
            await rig.end()
        verdict = {HELD: "held", BROKEN: "broken", NOT_RUN: "could not run"}[outcome]
        rig.record.write(f"outcome: {verdict}")
        print(verdict)
        return outcome

    sys.exit(asyncio.run(main()))
