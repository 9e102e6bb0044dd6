"""Stand-in for a target of the platform: a plain service or an engine."""

from __future__ import annotations

import asyncio
import socket
import weakref
from collections import Counter, deque
from dataclasses import dataclass

from aiohttp import web

_ATTEMPT_ID = "X-Cranberryrun-Attempt-Id"
_SERVER_SIGNATURE = "X-Cranberryrun-Server-Signature"
_WEIGHT_VERSIONS = "X-Cranberryrun-Weight-Versions"
_NOT_EXECUTED = "X-Cranberryrun-Not-Executed"
_EXPECT_INSTANCE = "X-Cranberryrun-Expect-Instance"
_EXPECT_VERSION = "X-Cranberryrun-Expect-Version"
_LEAVING = "Server-Leaving"
_LIMIT = "Server-Limit"
_CUT_DELAY_SECONDS = 0.05
_STALL_BYTE_SECONDS = 0.1
_UNSENT_BYTES = 16_384
# More than any caller of the tests sends.
_MAX_HEAD_BYTES = 1_048_576
_INTERIM_HEADS = b"HTTP/1.1 100 Continue\r\n\r\n" * 4000


@dataclass(slots=True)
class LimitSpan:
    """A time in which a target named the limit ``rate``, in loop seconds."""

    rate: float
    started_at: float
    ended_at: float = float("inf")


class PlatformTarget:
    """Responds to requests, streams the events of items and accepts load orders.

    ``script`` lists the behaviour for the next requests: ``full`` (503, not executed),
    ``error`` (500), ``foreign`` (attempt id of another request), ``foreign refusal``
    (the refusal of another request; the request itself is executed), ``unsigned`` (no
    server signature), ``short`` (fewer bytes than ``Content-Length``), ``reset``
    (connection reset), ``crash`` (connection reset, no new ones accepted; ``start``
    begins a new process), ``silent`` (no response), ``endless`` (interim heads without
    end), ``malformed`` (status 000), ``cut`` (the stream ends in the middle of an
    event), ``stall`` (the stream goes on with single bytes of no event, without end),
    ``copied`` and ``copied full`` (a second copy of the answer, or of the refusal,
    precedes the next answer on the connection), ``impossible`` (422) or an empty string
    (success, as with an empty script). ``event_seconds`` is the time between events,
    ``answer_seconds`` the time until a plain response. ``executed_requests`` lists the
    attempt ids of requests whose execution began, ``generated_events`` the events of
    items as ``(attempt id, event number, weight version)``. ``signatures_by_attempt``
    has the signatures of successful plain answers, ``failed_runs_by_attempt`` the
    number of answers with status 500; ``started_at_by_attempt`` and
    ``generated_at_by_event`` the time of the first run and of the first generation, in
    loop seconds. While ``leaving`` is set, every answer says that the target is
    leaving. ``answers_carry_id`` is an attempt id that every answer carries. While
    ``limit`` is set, every answer names it as the requests a second that the target
    takes, and ``limit_spans`` may list when; ``arrivals`` has the time of each request,
    in loop seconds. ``software`` is the version of the target's software in its entry.
    A plain answer repeats the body while ``echoes_bodies`` is set and has
    ``answer_padding`` more bytes and an event ``padding``; a stream of which nothing is
    read for ``unread_seconds`` is reset and counted in ``unread_cuts``.
    ``body_bytes_a_second`` is how fast bodies of requests are read; None is as fast as
    they come. Streams of items whose ids begin with ``long`` have ``long_events``
    events, and ``last_run_at_by_attempt`` is when their last run began, in loop
    seconds.
    """

    def __init__(self, target_id: str, service: str, model: str | None = None) -> None:
        self.id = target_id
        self.service = service
        self.model = model
        self.version = 1
        self.software = "v1"
        self.sequence = 0
        self.script: deque[str] = deque()
        self.requests: list[dict[str, str]] = []
        self.executed_requests: list[str] = []
        self.orders: list[dict[str, object]] = []
        self.generated_events: list[tuple[str, int, int]] = []
        self.signatures_by_attempt: dict[str, set[str]] = {}
        self.failed_runs_by_attempt: Counter[str] = Counter()
        self.started_at_by_attempt: dict[str, float] = {}
        self.generated_at_by_event: dict[tuple[str, int], float] = {}
        self.fence = -1
        self.last_run_at_by_attempt: dict[str, float] = {}
        self._owed_by_transport: weakref.WeakKeyDictionary[asyncio.Transport, bytes] = (
            weakref.WeakKeyDictionary()
        )
        self.events = 6
        self.long_events = 6
        self.event_seconds = 0.002
        self.answer_seconds = 0.0
        self.open_requests = 0
        self.unread_cuts = 0
        self.leaving = False
        self.limit: float | None = None
        self.limit_spans: list[LimitSpan] = []
        self.arrivals: list[float] = []
        self.answers_carry_id = ""
        self.padding = 0
        self.answer_padding = b""
        self.echoes_bodies = True
        self.unread_seconds: float | None = None
        self.body_bytes_a_second: int | None = None
        self.born = 1
        self.address = ""
        self._runner: web.AppRunner | None = None
        self._site: web.TCPSite | None = None

    def entry(self, state: str = "ready") -> dict[str, object]:
        """Return the entry with which the target registers in the store."""
        models = []
        if self.model is not None:
            models = [{"name": self.model, "version": self.version, "adapters": []}]
        return {
            "service": self.service,
            "address": self.address,
            "zone": "a",
            "version": self.software,
            "slots": 4,
            "state": state,
            "cold-remaining-ms": 0,
            "born": self.born,
            "sequence": self.sequence,
            "models": models,
        }

    async def start(self) -> None:
        """Listen on a free loopback port."""
        app = web.Application(client_max_size=1 << 26)
        app.router.add_get("/v1/report", self._report)
        app.router.add_post("/v1/order", self._order)
        app.router.add_route("*", "/{path:.*}", self._handle_request)
        app.on_response_prepare.append(self._add_headers)
        self._runner = web.AppRunner(
            app,
            access_log=None,
            handler_cancellation=True,
            shutdown_timeout=0.1,
            auto_decompress=False,
            max_line_size=_MAX_HEAD_BYTES,
            max_field_size=_MAX_HEAD_BYTES,
            max_headers=_MAX_HEAD_BYTES,
        )
        await self._runner.setup()
        self._site = web.TCPSite(self._runner, "127.0.0.1", 0)
        await self._site.start()
        host, port = self._runner.addresses[0][:2]
        self.address = f"{host}:{port}"

    def _crash(self) -> None:
        """Stop accepting connections; the running request's connection is reset."""
        assert self._site is not None and self._site._server is not None
        self._site._server.close()

    async def stop(self) -> None:
        """Stop listening."""
        if self._runner is not None:
            await self._runner.cleanup()

    async def _add_headers(
        self, request: web.Request, response: web.StreamResponse
    ) -> None:
        if self.leaving:
            response.headers[_LEAVING] = "1"
        if self.limit is not None:
            response.headers[_LIMIT] = str(self.limit)
        if self.answers_carry_id:
            response.headers[_ATTEMPT_ID] = self.answers_carry_id

    async def _report(self, request: web.Request) -> web.Response:
        entry = self.entry()
        return web.json_response(
            {"models": entry["models"], "busy": False, "sequence": self.sequence}
        )

    async def _order(self, request: web.Request) -> web.Response:
        order = await request.json()
        self.orders.append(order)
        if order["fencing-token"] < self.fence:
            return web.json_response({}, status=412)
        self.fence = order["fencing-token"]
        if order["precondition"] != self.sequence:
            return web.json_response({}, status=409)
        self.sequence += 1
        self.version = order["version"]
        return web.json_response({}, status=202)

    async def _handle_request(self, request: web.Request) -> web.StreamResponse:
        self.arrivals.append(asyncio.get_running_loop().time())
        body = await self._read_body(request)
        self.requests.append(
            {
                **request.headers,
                "method": request.method,
                "path": request.raw_path,
                "body": body.decode("latin-1"),
            }
        )
        self.open_requests += 1
        assert request.transport is not None
        owed = self._owed_by_transport.pop(request.transport, None)
        if owed is not None:
            request.transport.write(owed)
        try:
            return await self._respond(request, body)
        except ConnectionResetError:
            # The caller disconnected, so this response is discarded.
            return web.Response()
        finally:
            self.open_requests -= 1

    async def _read_body(self, request: web.Request) -> bytes:
        if self.body_bytes_a_second is None:
            return await request.read()
        body = b""
        while chunk := await request.content.read(self.body_bytes_a_second // 10):
            body += chunk
            await asyncio.sleep(0.1)
        return body

    async def _respond(self, request: web.Request, body: bytes) -> web.StreamResponse:
        expected = request.headers.get(_EXPECT_INSTANCE, self.id)
        version = request.headers.get(_EXPECT_VERSION, str(self.version))
        if expected != self.id or version != str(self.version):
            return web.Response(status=421, headers={_NOT_EXECUTED: "1"})
        behaviour = self.script.popleft() if self.script else ""
        headers = {
            _ATTEMPT_ID: request.headers.get(_ATTEMPT_ID, ""),
            _SERVER_SIGNATURE: f"{self.id}.{len(self.executed_requests)}",
            "X-Own": "kept",
        }
        if behaviour == "foreign refusal":
            # A late copy comes before the answer to the request, which is run.
            self.executed_requests.append(headers[_ATTEMPT_ID])
            headers[_ATTEMPT_ID] = "somebody-else"
            return web.Response(status=503, headers={**headers, _NOT_EXECUTED: "1"})
        if behaviour == "copied full":
            refusal = {_ATTEMPT_ID: headers[_ATTEMPT_ID], _NOT_EXECUTED: "1"}
            self._owe(request, "503 Service Unavailable", refusal, b"")
            return web.Response(status=503, headers=refusal)
        if behaviour == "full":
            return web.Response(status=503, headers={_NOT_EXECUTED: "1"})
        self.executed_requests.append(headers[_ATTEMPT_ID])
        loop = asyncio.get_running_loop()
        self.started_at_by_attempt.setdefault(headers[_ATTEMPT_ID], loop.time())
        self.last_run_at_by_attempt[headers[_ATTEMPT_ID]] = loop.time()
        if behaviour == "error":
            self.failed_runs_by_attempt[headers[_ATTEMPT_ID]] += 1
            return web.Response(status=500, headers=headers, body=b"broken")
        if behaviour == "impossible":
            return web.Response(status=422, headers=headers)
        if behaviour == "foreign":
            headers[_ATTEMPT_ID] = "somebody-else"
        if behaviour == "unsigned":
            del headers[_SERVER_SIGNATURE]
        if behaviour == "silent":
            await asyncio.sleep(3600)
        if behaviour == "endless":
            await self._send_interim_heads(request)
        if behaviour == "malformed":
            await self._send_malformed_answer(request, headers)
        if behaviour == "crash":
            self._crash()
        if behaviour in ("reset", "crash"):
            assert request.transport is not None
            request.transport.abort()
            return web.Response()
        if behaviour == "short":
            headers["Content-Length"] = "1000"
            response = web.StreamResponse(headers=headers)
            await response.prepare(request)
            await response.write(b"part")
            assert request.transport is not None
            request.transport.close()
            return response
        if self.model is not None:
            return await self._stream(request, headers, behaviour)
        await asyncio.sleep(self.answer_seconds)
        if _SERVER_SIGNATURE in headers:
            signatures = self.signatures_by_attempt.setdefault(
                headers[_ATTEMPT_ID], set()
            )
            signatures.add(headers[_SERVER_SIGNATURE])
        if behaviour == "copied":
            self._owe(request, "200 OK", headers, b"answer to " + body)
        echo = body if self.echoes_bodies else b""
        answer = b"answer to " + echo + self.answer_padding
        return web.Response(headers=headers, body=answer)

    def _owe(
        self, request: web.Request, status: str, headers: dict[str, str], body: bytes
    ) -> None:
        lines = [f"HTTP/1.1 {status}", f"Content-Length: {len(body)}"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        assert request.transport is not None
        copy = "\r\n".join([*lines, "", ""]).encode() + body
        self._owed_by_transport[request.transport] = copy

    async def _send_interim_heads(self, request: web.Request) -> None:
        """Send heads until the caller closes its connection, which cancels this."""
        while request.transport is not None:
            if request.transport.get_write_buffer_size() < len(_INTERIM_HEADS):
                request.transport.write(_INTERIM_HEADS)
            await asyncio.sleep(0)

    async def _send_malformed_answer(
        self, request: web.Request, headers: dict[str, str]
    ) -> None:
        """Send it; the caller closes its connection, which cancels this."""
        lines = [f"{name}: {value}" for name, value in headers.items()]
        lines += ["Content-Length: 9", "", "malformed"]
        assert request.transport is not None
        request.transport.write("\r\n".join(["HTTP/1.1 000 OK", *lines]).encode())
        await asyncio.sleep(3600)

    async def _stream(
        self, request: web.Request, headers: dict[str, str], behaviour: str
    ) -> web.StreamResponse:
        headers |= {
            _WEIGHT_VERSIONS: str(self.version),
            "Content-Type": "text/event-stream",
        }
        response = web.StreamResponse(headers=headers)
        await response.prepare(request)
        if self.unread_seconds is not None:
            # Otherwise the kernel would take some megabytes that nobody reads.
            assert request.transport is not None
            request.transport.get_extra_info("socket").setsockopt(
                socket.IPPROTO_TCP, socket.TCP_NOTSENT_LOWAT, _UNSENT_BYTES
            )
        last_event_number = int(request.headers.get("Last-Event-Id", 0))
        version = self.version
        item = request.headers[_ATTEMPT_ID]
        events = self.long_events if item.startswith("long") else self.events
        for number in range(last_event_number + 1, events + 1):
            await asyncio.sleep(self.event_seconds)
            event = f"id: {number}\ndata: {item}/{number}{'.' * self.padding}\n\n"
            if self.version != version:
                version = self.version
                event = f"x-cranberryrun-weight-versions: {version}\n{event}"
            self.generated_events.append((item, number, version))
            self.generated_at_by_event.setdefault(
                (item, number), asyncio.get_running_loop().time()
            )
            if behaviour == "stall" and number == last_event_number + 3:
                while True:
                    await response.write(b":")
                    await asyncio.sleep(_STALL_BYTE_SECONDS)
            if behaviour == "cut" and number == last_event_number + 3:
                await response.write(event[:7].encode())
                # Lets the host read the complete events before the connection closes.
                await asyncio.sleep(_CUT_DELAY_SECONDS)
                assert request.transport is not None
                request.transport.close()
                return response
            try:
                async with asyncio.timeout(self.unread_seconds):
                    await response.write(event.encode())
            except TimeoutError:
                self.unread_cuts += 1
                assert request.transport is not None
                request.transport.abort()
                return response
        return response
