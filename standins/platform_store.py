"""The users' platform store on loopback: topics of records and newest values."""

from __future__ import annotations

import asyncio
import base64
import json
import struct

from aiohttp import web

_LENGTH = struct.Struct(">I")
_HEADER = struct.Struct(">QQ")


class PlatformStore:
    """Speaks the platform's protocol as ``docs/PLATFORM-DEPLOYMENT.md`` has it.

    ``mode`` is ``up``, ``busy`` (503), ``limited`` (429) or ``silent``;
    ``lose_answers`` carries out so many appends and then closes the connection.
    """

    def __init__(self) -> None:
        self.records_by_topic: dict[str, list[bytes]] = {}
        self.first_by_topic: dict[str, int] = {}
        self.mode = "up"
        self.lose_answers = 0
        self.address = ""
        self._grown = asyncio.Event()
        self._runner: web.AppRunner | None = None

    async def start(self) -> None:
        """Listen on a free port of loopback."""
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
        """Write the value of a key as the operator or a target does."""
        name = key.encode()
        body = b"" if value is None else json.dumps(value).encode()
        self._add(topic, [bytes([len(name)]) + name + body])

    def put_raw(self, topic: str, record: bytes) -> None:
        """Append a record of any form."""
        self._add(topic, [record])

    def _add(self, topic: str, records: list[bytes]) -> int:
        held = self.records_by_topic.setdefault(topic, [])
        held += records
        grown, self._grown = self._grown, asyncio.Event()
        grown.set()
        return len(held) - len(records)

    async def _trouble(self) -> web.Response | None:
        if self.mode == "silent":
            await asyncio.sleep(3600)
        if self.mode == "busy":
            return web.json_response({"error": "try later"}, status=503)
        if self.mode == "limited":
            return web.json_response({"error": "over the rate"}, status=429)
        return None

    async def _append(self, request: web.Request) -> web.StreamResponse:
        trouble = await self._trouble()
        if trouble is not None:
            return trouble
        topic = request.query["topic"]
        body = await request.read()
        end = len(self.records_by_topic.get(topic, []))
        if "at" in request.query and int(request.query["at"]) != end:
            return web.json_response({"end": end}, status=412)
        records = []
        at = 0
        while at < len(body):
            (length,) = _LENGTH.unpack_from(body, at)
            records.append(body[at + 4 : at + 4 + length])
            at += 4 + length
        offset = self._add(topic, records)
        if self.lose_answers:
            self.lose_answers -= 1
            assert request.transport is not None
            request.transport.abort()
        return web.json_response({"offset": offset, "end": offset + len(records)})

    async def _read(self, request: web.Request) -> web.StreamResponse:
        trouble = await self._trouble()
        if trouble is not None:
            return trouble
        topic, start = request.query["topic"], int(request.query["from"])
        first = self.first_by_topic.get(topic, 0)
        if start < first:
            return web.json_response({"first": first}, status=410)
        until = asyncio.get_running_loop().time() + (
            int(request.query.get("wait-ms", 0)) / 1000
        )
        while len(self.records_by_topic.get(topic, [])) <= start:
            try:
                async with asyncio.timeout_at(until):
                    await self._grown.wait()
            except TimeoutError:
                break
        records = self.records_by_topic.get(topic, [])
        body = b"".join(_LENGTH.pack(len(each)) + each for each in records[start:])
        return web.Response(body=_HEADER.pack(len(records), first) + body)

    async def _trim(self, request: web.Request) -> web.StreamResponse:
        trouble = await self._trouble()
        if trouble is not None:
            return trouble
        call = await request.json()
        topic, before = call["topic"], call["before"]
        first = self.first_by_topic.get(topic, 0)
        self.first_by_topic[topic] = max(first, before)
        return web.json_response({})

    async def _newest(self, request: web.Request) -> web.StreamResponse:
        trouble = await self._trouble()
        if trouble is not None:
            return trouble
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
