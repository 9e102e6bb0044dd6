"""Stand-in for the platform store: topics of records and newest values per key."""

from __future__ import annotations

import asyncio
import base64
import bisect
import json
import struct
import time

from aiohttp import web

_LENGTH = struct.Struct(">I")
_HEADER = struct.Struct(">QQ")


class PlatformStore:
    """Implements the platform's protocol as in ``docs/PLATFORM-DEPLOYMENT.md``.

    ``mode`` is ``up``, ``busy`` (503), ``limited`` (429) or ``silent`` (no response),
    and ``mode_by_topic`` that of single topics while ``mode`` is ``up``;
    ``lost_append_responses`` is the number of next appends that are executed and
    whose connection is then closed without a response. Records of topics whose names
    begin with ``expiring_prefix`` are deleted at the age of ``retention_seconds``.
    """

    def __init__(self) -> None:
        self.records_by_topic: dict[str, list[bytes]] = {}
        self.first_by_topic: dict[str, int] = {}
        self.mode = "up"
        self.mode_by_topic: dict[str, str] = {}
        self.lost_append_responses = 0
        self.expiring_prefix = "batch"
        self.retention_seconds = float("inf")
        self._times_by_topic: dict[str, list[float]] = {}
        self.address = ""
        self._records_appended = asyncio.Event()
        self._runner: web.AppRunner | None = None

    async def start(self) -> None:
        """Listen on a free loopback port."""
        app = web.Application(client_max_size=1 << 24)
        app.router.add_post("/v1/log-append", self._append)
        app.router.add_get("/v1/log-read", self._read)
        app.router.add_post("/v1/log-trim", self._trim)
        app.router.add_get("/v1/log-newest", self._newest)
        self._runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
        await self._runner.setup()
        site = web.TCPSite(self._runner, "127.0.0.1", 0)
        await site.start()
        host, port = self._runner.addresses[0][:2]
        self.address = f"{host}:{port}"

    async def stop(self) -> None:
        """Stop listening."""
        if self._runner is not None:
            await self._runner.cleanup()

    def put(self, topic: str, key: str, value: object) -> None:
        """Write the value of a key; ``None`` deletes the key."""
        key_bytes = key.encode()
        body = b"" if value is None else json.dumps(value).encode()
        self._append_records(topic, [bytes([len(key_bytes)]) + key_bytes + body])

    def put_raw(self, topic: str, record: bytes) -> None:
        """Append a record without checking its format."""
        self._append_records(topic, [record])

    def _append_records(self, topic: str, records: list[bytes]) -> int:
        stored_records = self.records_by_topic.setdefault(topic, [])
        stored_records += records
        if topic.startswith(self.expiring_prefix):
            times = self._times_by_topic.setdefault(topic, [])
            times += [time.monotonic()] * len(records)
        records_appended, self._records_appended = (
            self._records_appended,
            asyncio.Event(),
        )
        records_appended.set()
        return len(stored_records) - len(records)

    def _first_offset(self, topic: str) -> int:
        limit = time.monotonic() - self.retention_seconds
        expired = bisect.bisect_left(self._times_by_topic.get(topic, []), limit)
        return max(expired, self.first_by_topic.get(topic, 0))

    async def _injected_fault(self, topic: str) -> web.Response | None:
        mode = self.mode
        if mode == "up":
            mode = self.mode_by_topic.get(topic, "up")
        if mode == "silent":
            await asyncio.sleep(3600)
        if mode == "busy":
            return web.json_response(
                {"error": "store is overloaded; retry later"}, status=503
            )
        if mode == "limited":
            return web.json_response({"error": "rate limit exceeded"}, status=429)
        return None

    async def _append(self, request: web.Request) -> web.StreamResponse:
        fault_response = await self._injected_fault(request.query["topic"])
        if fault_response is not None:
            return fault_response
        topic = request.query["topic"]
        body = await request.read()
        end = len(self.records_by_topic.get(topic, []))
        if "at" in request.query and int(request.query["at"]) != end:
            return web.json_response({"end": end}, status=412)
        records = []
        position = 0
        while position < len(body):
            (length,) = _LENGTH.unpack_from(body, position)
            records.append(body[position + 4 : position + 4 + length])
            position += 4 + length
        offset = self._append_records(topic, records)
        if self.lost_append_responses:
            self.lost_append_responses -= 1
            assert request.transport is not None
            request.transport.abort()
        return web.json_response({"offset": offset, "end": offset + len(records)})

    async def _read(self, request: web.Request) -> web.StreamResponse:
        fault_response = await self._injected_fault(request.query["topic"])
        if fault_response is not None:
            return fault_response
        topic, start_offset = request.query["topic"], int(request.query["from"])
        first_offset = self._first_offset(topic)
        if start_offset < first_offset:
            return web.json_response({"first": first_offset}, status=410)
        deadline = asyncio.get_running_loop().time() + (
            int(request.query.get("wait-ms", 0)) / 1000
        )
        while len(self.records_by_topic.get(topic, [])) <= start_offset:
            try:
                async with asyncio.timeout_at(deadline):
                    await self._records_appended.wait()
            except TimeoutError:
                break
        records = self.records_by_topic.get(topic, [])
        body = b"".join(
            _LENGTH.pack(len(record)) + record for record in records[start_offset:]
        )
        return web.Response(body=_HEADER.pack(len(records), first_offset) + body)

    async def _trim(self, request: web.Request) -> web.StreamResponse:
        call = await request.json()
        topic, before = call["topic"], call["before"]
        fault_response = await self._injected_fault(topic)
        if fault_response is not None:
            return fault_response
        first_offset = self.first_by_topic.get(topic, 0)
        self.first_by_topic[topic] = max(first_offset, before)
        return web.json_response({})

    async def _newest(self, request: web.Request) -> web.StreamResponse:
        fault_response = await self._injected_fault(request.query["topic"])
        if fault_response is not None:
            return fault_response
        records = self.records_by_topic.get(request.query["topic"], [])
        value_by_key: dict[str, tuple[bytes, int]] = {}
        for offset, record in enumerate(records):
            end = 1 + record[0]
            key = record[1:end].decode()
            value_by_key.pop(key, None)
            if record[end:]:
                value_by_key[key] = (record[end:], offset)
        items = [
            {
                "key": key,
                "value": base64.b64encode(value).decode(),
                "offset": offset,
            }
            for key, (value, offset) in value_by_key.items()
        ]
        return web.json_response(
            {"items": items, "has-more": False, "end": len(records)}
        )
