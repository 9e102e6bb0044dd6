"""Stand-in for the platform's append-only log."""

import asyncio
import math
from collections import deque
from dataclasses import dataclass, field
from typing import Any

import click
from aiohttp import web
from pydantic import BaseModel, Field, NonNegativeFloat, NonNegativeInt

from ._program import (
    ConnectionBroken,
    FaultSettings,
    Program,
    Standin,
    StandinError,
    listen_options,
    loop_time,
    parse_body,
    run_program,
    wall_time,
)

BURST_SECONDS = 0.2
MAX_WAIT_SECONDS = 60.0
DEFAULT_LIMIT_RECORDS = 1000
MAX_RECORDED_APPENDS = 100_000


class LogUnavailable(StandinError):
    """Nothing was appended or read because of an outage or an injected refusal."""


class RateExceeded(StandinError):
    """Nothing was appended because the rate limit is exceeded.

    :param retry_after: seconds until the rate allows another append.
    """

    def __init__(self, retry_after: float) -> None:
        super().__init__(retry_after)
        self.retry_after = retry_after


class AckLost(ConnectionBroken):
    """The records were appended, but the response is lost."""


class LogFaults(FaultSettings):
    """Fault settings of the log; ``slow`` is a delay in seconds."""

    down: bool = False
    slow: NonNegativeFloat = 0.0
    lose_acks: NonNegativeInt = 0
    refuse: NonNegativeInt = 0


class AppendBody(BaseModel):
    """Body of an append."""

    records: list[Any] = Field(min_length=1)


@dataclass
class LogRecord:
    """One record; ``time`` is wall-clock time, ``stored_at`` loop time."""

    offset: int
    time: float
    stored_at: float
    value: Any


@dataclass
class LogPage:
    """Result of one read."""

    records: list[LogRecord]
    first: int
    next: int


@dataclass
class LogStream:
    """One named stream with its own offsets."""

    records: deque[LogRecord] = field(default_factory=deque)
    first: int = 0
    next: int = 0
    changed: asyncio.Event = field(default_factory=asyncio.Event)

    def append(self, values: list[Any]) -> int:
        """Append the values at consecutive offsets and return the first."""
        offset = self.next
        for value in values:
            record = LogRecord(self.next, wall_time(), loop_time(), value)
            self.records.append(record)
            self.next += 1
        self.notify()
        return offset

    def expire(self, before: float) -> None:
        """Drop the records that were stored before the loop time ``before``."""
        while self.records and self.records[0].stored_at < before:
            self.records.popleft()
        self.first = self.records[0].offset if self.records else self.next

    def page(self, start: int, limit: int) -> LogPage:
        """Return at most ``limit`` records, beginning at the offset ``start``."""
        first_position = max(start - self.first, 0)
        records = []
        for position in range(
            first_position, min(first_position + limit, len(self.records))
        ):
            records.append(self.records[position])
        next_offset = records[-1].offset + 1 if records else self.next
        return LogPage(records, self.first, next_offset)

    def notify(self) -> None:
        """Wake waiting readers."""
        self.changed.set()
        self.changed = asyncio.Event()


class LogStandin(Standin):
    """Append-only streams with a rate limit, a retention time and faults.

    :param appends_per_second: sustained rate of all streams together.
    :param retention: seconds for which records are retained.
    """

    def __init__(
        self, appends_per_second: float = 300.0, retention: float = 3600.0
    ) -> None:
        self.faults: LogFaults = LogFaults()
        self.appends_per_second = appends_per_second
        self.retention = retention
        self.by_stream: dict[str, LogStream] = {}
        self._appends: deque[dict[str, Any]] = deque(maxlen=MAX_RECORDED_APPENDS)
        self._refused = 0
        self._over_rate = 0
        self._next_append_time = float("-inf")

    async def append(self, stream: str, values: list[Any]) -> int:
        """Append the values and return the offset of the first.

        :raises LogUnavailable: outage or injected refusal; nothing was appended.
        :raises RateExceeded: rate limit exceeded; nothing was appended.
        :raises AckLost: the values were appended, but the response is lost.
        """
        await self._apply_delay()
        self._raise_if_down()
        if self.faults.refuse:
            self.faults.refuse -= 1
            self._refused += 1
            raise LogUnavailable
        self._consume_rate()
        offset = self._stream(stream).append(values)
        lost = self.faults.lose_acks > 0
        self._record_append(stream, offset, len(values), lost)
        if lost:
            self.faults.lose_acks -= 1
            raise AckLost
        return offset

    async def read(
        self,
        stream: str,
        start: int = 0,
        limit: int = DEFAULT_LIMIT_RECORDS,
        wait: float = 0.0,
    ) -> LogPage:
        """Read from the offset ``start``; wait up to ``wait`` seconds for a record.

        :raises LogUnavailable: the log is down.
        """
        await self._apply_delay()
        deadline = loop_time() + min(wait, MAX_WAIT_SECONDS)
        while True:
            self._raise_if_down()
            page = self._stream(stream).page(start, limit)
            remaining = deadline - loop_time()
            if page.records or remaining <= 0:
                return page
            await self._wait_for_change(stream, remaining)

    def on_faults_changed(self, names: set[str]) -> None:
        """Wake waiting readers so that an outage fails their reads too."""
        if "down" not in names:
            return
        for log_stream in self.by_stream.values():
            log_stream.notify()

    def record(self) -> dict[str, Any]:
        """Return the executed appends and the numbers of refused ones."""
        return {
            "appends": list(self._appends),
            "refused": self._refused,
            "over_rate": self._over_rate,
            "next_by_stream": {
                name: stream.next for name, stream in self.by_stream.items()
            },
        }

    def _stream(self, name: str) -> LogStream:
        stream = self.by_stream.setdefault(name, LogStream())
        stream.expire(loop_time() - self.retention)
        return stream

    async def _apply_delay(self) -> None:
        if self.faults.slow:
            await asyncio.sleep(self.faults.slow)

    def _raise_if_down(self) -> None:
        if not self.faults.down:
            return
        self._refused += 1
        raise LogUnavailable

    def _consume_rate(self) -> None:
        now = loop_time()
        self._next_append_time = max(self._next_append_time, now - BURST_SECONDS)
        if self._next_append_time > now:
            self._over_rate += 1
            raise RateExceeded(self._next_append_time - now)
        self._next_append_time += 1 / self.appends_per_second

    async def _wait_for_change(self, stream: str, seconds: float) -> None:
        changed = self._stream(stream).changed
        try:
            await asyncio.wait_for(changed.wait(), seconds)
        except TimeoutError:
            return

    def _record_append(self, stream: str, offset: int, count: int, lost: bool) -> None:
        self._appends.append(
            {
                "stream": stream,
                "offset": offset,
                "count": count,
                "time": wall_time(),
                "ack_lost": lost,
            }
        )


class LogProgram(Program):
    """HTTP server of the log."""

    name = "log"
    standin: LogStandin

    def routes(self) -> list[web.RouteDef]:
        """Return the routes of the log."""
        return [
            web.post("/streams/{stream}/records", self._append),
            web.get("/streams/{stream}/records", self._read),
        ]

    async def _append(self, request: web.Request) -> web.Response:
        body = await parse_body(request, AppendBody)
        try:
            offset = await self.standin.append(
                request.match_info["stream"], body.records
            )
        except LogUnavailable:
            return web.json_response({"appended": False}, status=503)
        except RateExceeded as error:
            headers = {"Retry-After": str(math.ceil(error.retry_after))}
            return web.json_response({"appended": False}, status=429, headers=headers)
        return web.json_response({"offset": offset, "count": len(body.records)})

    async def _read(self, request: web.Request) -> web.Response:
        query = request.query
        try:
            page = await self.standin.read(
                request.match_info["stream"],
                int(query.get("from", 0)),
                int(query.get("limit", DEFAULT_LIMIT_RECORDS)),
                float(query.get("wait", 0)),
            )
        except LogUnavailable:
            return web.json_response({"read": False}, status=503)
        records = []
        for record in page.records:
            records.append(
                {"offset": record.offset, "time": record.time, "value": record.value}
            )
        return web.json_response(
            {"records": records, "first": page.first, "next": page.next}
        )


@click.command()
@listen_options
@click.option("--appends-per-second", type=float, default=300.0)
@click.option("--retention", type=float, default=3600.0, help="Retention, seconds.")
def main(ip: str, port: int, appends_per_second: float, retention: float) -> None:
    """Serve the stand-in of the platform's log."""
    run_program(LogProgram(LogStandin(appends_per_second, retention)), ip, port)


if __name__ == "__main__":
    main()
