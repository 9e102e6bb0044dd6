"""Stand-in for the platform's rate-limited weight store."""

import asyncio
from collections import deque
from collections.abc import AsyncIterator
from contextlib import aclosing
from typing import Any

import click
from aiohttp import web
from pydantic import Field

from ._program import (
    ConnectionBroken,
    FaultSettings,
    Program,
    Standin,
    StandinError,
    close_connection,
    listen_options,
    loop_time,
    run_program,
    wall_time,
)

CHUNK_BYTES = 64 * 1024
RETRY_AFTER_SECONDS = 1
MAX_RECORDED_READS = 10_000


class StoreUnavailable(StandinError):
    """The store is down."""


class TooManyReads(StandinError):
    """The limit of concurrent reads is reached."""


class WeightFaults(FaultSettings):
    """Fault settings of the store; ``slow`` is the factor that divides its rate."""

    down: bool = False
    slow: float = Field(default=1.0, ge=1.0)


class WeightStandin(Standin):
    """Weight store that limits the rate and the number of concurrent reads.

    :param bytes_per_second: rate of all reads together.
    :param concurrent: maximum number of concurrent reads.
    :param size: bytes of each version.
    """

    def __init__(
        self,
        bytes_per_second: float = 50_000_000.0,
        concurrent: int = 4,
        size: int = 10_000_000,
    ) -> None:
        self.faults: WeightFaults = WeightFaults()
        self.bytes_per_second = bytes_per_second
        self.concurrent = concurrent
        self.size = size
        self._active = 0
        self._next_free_time = 0.0
        self._reads: deque[dict[str, Any]] = deque(maxlen=MAX_RECORDED_READS)
        self._refused = 0

    async def read(self, workload: str, version: int) -> AsyncIterator[bytes]:
        """Yield the bytes of one version at the limited rate.

        :raises StoreUnavailable: the store is down.
        :raises TooManyReads: the limit of concurrent reads is reached.
        :raises ConnectionBroken: the store went down during the read.
        """
        self._check_admission()
        read = {"workload": workload, "version": version, "started": wall_time()}
        read["bytes"] = 0
        self._reads.append(read)
        self._active += 1
        try:
            while read["bytes"] < self.size:
                count = min(CHUNK_BYTES, self.size - read["bytes"])
                await self._throttle(count)
                if self.faults.down:
                    raise ConnectionBroken
                read["bytes"] += count
                yield bytes(count)
            read["ended"] = wall_time()
        finally:
            self._active -= 1

    def record(self) -> dict[str, Any]:
        """Return every read; a read without ``ended`` is incomplete."""
        return {"reads": list(self._reads), "refused": self._refused}

    def _check_admission(self) -> None:
        if self.faults.down:
            self._refused += 1
            raise StoreUnavailable
        if self._active >= self.concurrent:
            self._refused += 1
            raise TooManyReads

    async def _throttle(self, count: int) -> None:
        now = loop_time()
        seconds = count * self.faults.slow / self.bytes_per_second
        self._next_free_time = max(self._next_free_time, now) + seconds
        await asyncio.sleep(self._next_free_time - now)


class WeightProgram(Program):
    """HTTP server of the store."""

    name = "weights"
    standin: WeightStandin

    def routes(self) -> list[web.RouteDef]:
        """Return the routes of the store."""
        return [web.get(r"/weights/{workload}/{version:\d+}", self._read)]

    async def _read(self, request: web.Request) -> web.StreamResponse:
        workload = request.match_info["workload"]
        version = int(request.match_info["version"])
        async with aclosing(self.standin.read(workload, version)) as chunks:
            try:
                first = await anext(chunks, b"")
            except StoreUnavailable:
                return web.json_response({"code": "unavailable"}, status=503)
            except TooManyReads:
                headers = {"Retry-After": str(RETRY_AFTER_SECONDS)}
                return web.json_response(
                    {"code": "too_many_reads"}, status=429, headers=headers
                )
            return await self._send(request, first, chunks)

    async def _send(
        self, request: web.Request, first: bytes, chunks: AsyncIterator[bytes]
    ) -> web.StreamResponse:
        response = web.StreamResponse()
        response.content_length = self.standin.size
        await response.prepare(request)
        try:
            await response.write(first)
            async for chunk in chunks:
                await response.write(chunk)
        except ConnectionBroken:
            close_connection(request)
        return response


@click.command()
@listen_options
@click.option("--bytes-per-second", type=float, default=50_000_000.0)
@click.option("--concurrent", type=int, default=4, help="Maximum concurrent reads.")
@click.option("--size", type=int, default=10_000_000, help="Bytes per version.")
def main(
    ip: str, port: int, bytes_per_second: float, concurrent: int, size: int
) -> None:
    """Serve the stand-in of the platform's weight store."""
    standin = WeightStandin(bytes_per_second, concurrent, size)
    run_program(WeightProgram(standin), ip, port)


if __name__ == "__main__":
    main()
