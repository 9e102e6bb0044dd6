"""Stand-ins of the platform's store and of engines, and the processes of hosts.

They follow the users' pages. Everything listens on loopback addresses at free ports.
"""

import asyncio
import base64
import json
import os
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time
from pathlib import Path

from aiohttp import web

ROOT = Path(__file__).resolve().parent.parent.parent
# The command of deploy/system.toml.
COMMAND = ("python3", "-m", "cranberryrun.platform.launcher")
ATTEMPT_ID = "X-Cranberryrun-Attempt-Id"
DEADLINE_MS = "X-Cranberryrun-Deadline-Ms"
SIGNATURE = "X-Cranberryrun-Server-Signature"
EXPECT_INSTANCE = "X-Cranberryrun-Expect-Instance"
EXPECT_VERSION = "X-Cranberryrun-Expect-Version"
NOT_EXECUTED = "X-Cranberryrun-Not-Executed"
WEIGHT_VERSIONS = "X-Cranberryrun-Weight-Versions"
LAST_EVENT_ID = "Last-Event-Id"
HOST_NAME = "review.example"
OPERATOR_TOPIC = "keyed.op"
SERVER_TOPIC = "keyed.servers"
HEARTBEAT_SECONDS = 1.2
RECORD_LENGTH = struct.Struct(">I")
PAGE_HEAD = struct.Struct(">QQ")


def free_port():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


class Record:
    """The file ``record.txt`` beside the script of a case."""

    def __init__(self, folder):
        self._file = (Path(folder) / "record.txt").open("w")
        self._started_at = time.monotonic()

    def now(self):
        return time.monotonic() - self._started_at

    def write(self, text):
        print(f"{self.now():8.3f}  {text}", file=self._file, flush=True)

    def close(self):
        self._file.close()


class Store:
    """The platform's store: topics of one partition, and the newest value of a key."""

    def __init__(self):
        self.records_by_topic = {}
        self.first_by_topic = {}
        self.address = ""
        self._grown = asyncio.Event()
        self._runner = None

    async def start(self):
        app = web.Application(client_max_size=1 << 26)
        app.router.add_post("/v1/log-append", self._append)
        app.router.add_get("/v1/log-read", self._read)
        app.router.add_get("/v1/log-newest", self._newest)
        app.router.add_post("/v1/log-trim", self._trim)
        self._runner, self.address = await _listen(app)

    async def stop(self):
        await self._runner.cleanup()

    def put(self, topic, key, value):
        """Write a value as the operator or an engine does; None drops the key."""
        text = b"" if value is None else json.dumps(value).encode()
        name = key.encode()
        self.append(topic, [bytes([len(name)]) + name + text])

    def append(self, topic, records):
        stored = self.records_by_topic.setdefault(topic, [])
        offset = len(stored)
        stored.extend(records)
        grown, self._grown = self._grown, asyncio.Event()
        grown.set()
        return offset

    async def before_call(self, call, topic):
        """Called with each call; a case may delay it or return a refusal."""
        return None

    async def _append(self, request):
        topic = request.query["topic"]
        body = await request.read()
        refusal = await self.before_call("append", topic)
        if refusal is not None:
            return refusal
        end = len(self.records_by_topic.get(topic, ()))
        if "at" in request.query and int(request.query["at"]) != end:
            return web.json_response({"end": end}, status=412)
        records = []
        position = 0
        while position < len(body):
            (length,) = RECORD_LENGTH.unpack_from(body, position)
            position += RECORD_LENGTH.size
            records.append(body[position : position + length])
            position += length
        offset = self.append(topic, records)
        await asyncio.sleep(0.004)
        return web.json_response({"offset": offset, "end": offset + len(records)})

    async def _read(self, request):
        topic, start = request.query["topic"], int(request.query["from"])
        refusal = await self.before_call("read", topic)
        if refusal is not None:
            return refusal
        first = self.first_by_topic.get(topic, 0)
        if start < first:
            return web.json_response({"first": first}, status=410)
        loop = asyncio.get_running_loop()
        until = loop.time() + int(request.query.get("wait-ms", "0")) / 1000
        while len(self.records_by_topic.get(topic, ())) <= start:
            try:
                async with asyncio.timeout_at(until):
                    await self._grown.wait()
            except TimeoutError:
                break
        records = self.records_by_topic.get(topic, [])
        limit = int(request.query.get("max-kb", "1024")) * 1024
        body = bytearray(PAGE_HEAD.pack(len(records), first))
        for record in records[start:]:
            if len(body) > PAGE_HEAD.size and len(body) + len(record) > limit:
                break
            body += RECORD_LENGTH.pack(len(record)) + record
        return web.Response(body=bytes(body))

    async def _newest(self, request):
        topic = request.query["topic"]
        refusal = await self.before_call("newest", topic)
        if refusal is not None:
            return refusal
        records = self.records_by_topic.get(topic, [])
        newest = {}
        for offset, record in enumerate(records):
            end = 1 + record[0]
            newest.pop(record[1:end], None)
            if record[end:]:
                newest[record[1:end]] = (record[end:], offset)
        items = [
            {
                "key": key.decode(),
                "value": base64.b64encode(value).decode(),
                "offset": offset,
            }
            for key, (value, offset) in newest.items()
        ]
        return web.json_response(
            {"items": items, "has-more": False, "end": len(records)}
        )

    async def _trim(self, request):
        call = json.loads(await request.read())
        first = self.first_by_topic.get(call["topic"], 0)
        self.first_by_topic[call["topic"]] = max(first, call["before"])
        return web.json_response({})


class Engine:
    """One engine; subclasses and cases say what it answers.

    ``runs`` has the attempt id of each request that began to run, with its time.
    """

    def __init__(self, record, store, engine_id, service, software="v1", zone="a"):
        self.record = record
        self.store = store
        self.id = engine_id
        self.service = service
        self.software = software
        self.zone = zone
        self.slots = 12
        self.models = []
        self.state = "ready"
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.address = ""
        self.advertised = None
        self.runs = []
        self.heartbeat = None
        self._runner = None

    async def start(self):
        app = web.Application(client_max_size=1 << 26)
        app.router.add_route("*", "/{path:.*}", self._serve)
        self._runner, self.address = await _listen(app)
        self.heartbeat = asyncio.create_task(self._register())

    async def stop(self):
        if self.heartbeat is not None:
            self.heartbeat.cancel()
        await self._runner.cleanup()

    def entry(self):
        return {
            "service": self.service,
            "address": self.advertised or self.address,
            "zone": self.zone,
            "version": self.software,
            "slots": self.slots,
            "state": self.state,
            "cold-remaining-ms": 0,
            "sequence": self.sequence,
            "born": self.born,
            "models": self.models,
        }

    async def _register(self):
        while True:
            self.sequence += 1
            self.store.put(SERVER_TOPIC, self.id, self.entry())
            await asyncio.sleep(HEARTBEAT_SECONDS)

    async def _serve(self, request):
        expected = request.headers.get(EXPECT_INSTANCE, self.id)
        attempt_id = request.headers.get(ATTEMPT_ID, "")
        if expected != self.id:
            headers = {ATTEMPT_ID: attempt_id, NOT_EXECUTED: "1"}
            return web.Response(status=421, headers=headers)
        return await self.answer(request, attempt_id)

    def began(self, attempt_id, text=""):
        self.runs.append((attempt_id, self.record.now()))
        self.record.write(f"{self.id} ({self.service}) runs {attempt_id} {text}")

    async def answer(self, request, attempt_id):
        body = await request.read()
        self.began(attempt_id, f"{request.method} {request.path}")
        headers = {ATTEMPT_ID: attempt_id, SIGNATURE: f"{self.id}.{len(self.runs)}"}
        return web.Response(body=b"answer to " + body, headers=headers)


async def _listen(app):
    runner = web.AppRunner(
        app, access_log=None, handler_cancellation=True, shutdown_timeout=0.1
    )
    await runner.setup()
    site = web.TCPSite(runner, "127.0.0.1", 0)
    await site.start()
    host, port = runner.addresses[0][:2]
    return runner, f"{host}:{port}"


def route(name, kind, service, **fields):
    """Return a route of a manifest, for the paths under ``/name/``."""
    return {
        "name": name,
        "host": HOST_NAME,
        "path-prefix": f"/{name}/",
        "kind": kind,
        "service": service,
        "timeout-ms": 10_000,
        "target-latency-ms": 400,
        "priority": 1,
        "max-attempts": 3,
        **fields,
    }


def manifest(version, routes, services):
    return {
        "version": version,
        "routes": routes,
        "services": [
            each if isinstance(each, dict) else {"name": each} for each in services
        ],
        "limits": {
            "max-header-bytes": 16_384,
            "max-body-bytes": 33_554_432,
            "header-timeout-ms": 3000,
            "idle-timeout-ms": 15_000,
        },
    }


class Host:
    """A process of the project, with settings as deploy/settings.json gives them."""

    def __init__(self, rig, name, store_address, **settings):
        self.name = name
        self._rig = rig
        self.front = f"127.0.0.1:{free_port()}"
        self.ready = f"127.0.0.1:{free_port()}"
        self.settings = {
            "host_id": name,
            "zone": "a",
            "ip": "127.0.0.1",
            "front_address": self.front,
            "ready_address": self.ready,
            "peer_address": f"127.0.0.1:{free_port()}",
            "link_mbps": 1000.0,
            "memory_mb": 190,
            "metrics_port": free_port(),
            "contracts": ["base", "drain", "config", "cost", "recover", "samples"]
            + ["stream", "engine", "batch", "platform"],
            "bounds": {
                "engine_lease_ms": 3000,
                "require_fence": True,
                "seed_lag_s": 3,
                "batch_keep_ms": 120_000,
                "cancel_ms": 3000,
                "grace_ms": 8000,
            },
            "store": {
                "retention_s": 300,
                "record_bytes": 262_144,
                "call_bytes": 2_097_152,
                "address": store_address,
            },
            **settings,
        }
        self.process = None

    async def launch(self):
        path = self._rig.folder / f"{self.name}.json"
        path.write_text(json.dumps(self.settings))
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["CRANBERRYRUN_SETTINGS"] = str(path)
        with (self._rig.folder / f"{self.name}.log").open("ab") as output:
            self.process = await asyncio.create_subprocess_exec(
                *COMMAND, cwd=ROOT, env=environment, stdout=output, stderr=output
            )
        self._rig.record.write(f"{self.name} started")

    async def wait_ready(self, seconds=20.0):
        async with asyncio.timeout(seconds):
            while True:
                try:
                    status, _, _ = await exchange(self.ready, "GET", "/v1/readyz")
                    if status == 200:
                        return
                except OSError:
                    pass
                await asyncio.sleep(0.05)

    def signal(self, number):
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)
            self._rig.record.write(f"{self.name} gets {signal.Signals(number).name}")

    async def kill(self):
        self.signal(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()


class Rig:
    """The store, engines and hosts of one case; ends all that it started."""

    def __init__(self, record):
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.store = Store()
        self.engines = []
        self.hosts = []

    async def add_engine(self, engine):
        self.engines.append(engine)
        await engine.start()
        return engine

    async def add_host(self, name, store_address=None, **settings):
        host = Host(self, name, store_address or self.store.address, **settings)
        self.hosts.append(host)
        await host.launch()
        return host

    async def stop(self):
        for host in self.hosts:
            if host.process is None or host.process.returncode is not None:
                continue
            host.process.send_signal(signal.SIGCONT)
            host.process.kill()
            await host.process.wait()
        for engine in self.engines:
            await engine.stop()
        await self.store.stop()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


class Connection:
    """A client's connection, over which it sends a request and reads the answer."""

    def __init__(self, reader, writer):
        self.reader = reader
        self.writer = writer

    @classmethod
    async def open(cls, address, receive_bytes=None):
        host, port = address.rsplit(":", 1)
        connection = socket.socket()
        if receive_bytes is not None:
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_bytes)
        connection.setblocking(False)
        loop = asyncio.get_running_loop()
        async with asyncio.timeout(1.0):
            await loop.sock_connect(connection, (host, int(port)))
        limit = receive_bytes or 65_536
        return cls(*await asyncio.open_connection(sock=connection, limit=limit))

    async def send(self, method, path, headers=None, body=b""):
        lines = [f"{method} {path} HTTP/1.1"]
        named = {"Host": HOST_NAME, **(headers or {})}
        if body or method != "GET":
            named["Content-Length"] = str(len(body))
        lines += [f"{name}: {value}" for name, value in named.items()]
        self.writer.write("\r\n".join([*lines, "", ""]).encode() + body)
        await self.writer.drain()

    async def read_head(self):
        head = (await self.reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        first, *lines = head.rstrip("\r\n").split("\r\n")
        fields = (line.split(":", 1) for line in lines)
        headers = {name.lower(): value.strip() for name, value in fields}
        return int(first.split()[1]), headers

    async def read_chunks(self, headers):
        """Yield the parts of the body; ends only with the end of the whole body."""
        if headers.get("transfer-encoding", "").lower() != "chunked":
            left = int(headers.get("content-length", "0"))
            if left:
                yield await self.reader.readexactly(left)
            return
        while True:
            size = int((await self.reader.readuntil(b"\r\n")).split(b";")[0], 16)
            part = await self.reader.readexactly(size + 2)
            if not size:
                return
            yield part[:-2]

    def close(self):
        self.writer.transport.abort()


async def exchange(address, method, path, headers=None, body=b"", seconds=15.0):
    """Send one request on a new connection; return status, headers and body."""
    async with asyncio.timeout(seconds):
        connection = await Connection.open(address)
        try:
            await connection.send(method, path, headers, body)
            status, fields = await connection.read_head()
            parts = [part async for part in connection.read_chunks(fields)]
            return status, fields, b"".join(parts)
        except asyncio.IncompleteReadError as error:
            raise ConnectionResetError("the answer is not complete") from error
        finally:
            connection.close()


def disrupted():
    """Return whether the case has its disruption; ``TROUBLE=0`` leaves it out."""
    return os.environ.get("TROUBLE", "1") != "0"


def run_case(folder, play):
    """Play a case; exit with 1 if the rule was broken, 0 if it held, 2 otherwise.

    :param play: a coroutine function that is given the rig, whose store has started,
        and returns what broke the rule, one text each.
    """
    record = Record(folder)

    async def play_and_stop():
        task = asyncio.current_task()
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        rig = Rig(record)
        await rig.store.start()
        try:
            return await play(rig)
        finally:
            await rig.stop()

    try:
        broken = asyncio.run(play_and_stop())
    except (Exception, asyncio.CancelledError) as error:
        record.write(f"the case could not run: {error!r}")
        print(f"the case could not run: {error!r}")
        sys.exit(2)
    for text in broken:
        record.write(f"BROKEN: {text}")
        print(text)
    record.write("the rule was broken" if broken else "the rule held")
    record.close()
    sys.exit(1 if broken else 0)
