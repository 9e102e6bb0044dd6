"""Stand-in for a plain service (not a model engine)."""

import asyncio
import json
from dataclasses import asdict, dataclass
from enum import Enum
from typing import Any

import click
from aiohttp import web
from pydantic import NonNegativeFloat, NonNegativeInt

from ._program import (
    ConnectionBroken,
    FaultSettings,
    Program,
    Standin,
    close_connection,
    listen_options,
    run_program,
    wall_time,
)

HANG_SECONDS = 3600.0
TRUNCATED_BYTES = 64


class Answer(Enum):
    """How the service responds to a request."""

    COMPLETE = "whole"
    NOT_RUN = "not_run"
    REFUSED_AFTER_RUN = "refused_after_run"
    TRUNCATED = "truncated"
    DROPPED = "dropped"
    HUNG = "hung"


class ServiceFaults(FaultSettings):
    """Fault settings of a service.

    ``slow`` adds seconds to each run; the others are numbers of affected requests.
    """

    refuse: NonNegativeInt = 0
    refuse_after_run: NonNegativeInt = 0
    truncate: NonNegativeInt = 0
    slow: NonNegativeFloat = 0.0
    hang: NonNegativeInt = 0
    drop_after_run: NonNegativeInt = 0


FAULTS_AFTER_RUN = (
    ("refuse_after_run", Answer.REFUSED_AFTER_RUN),
    ("drop_after_run", Answer.DROPPED),
    ("hang", Answer.HUNG),
    ("truncate", Answer.TRUNCATED),
)


@dataclass
class Run:
    """One executed request; ``ran`` is its number, times are wall-clock times."""

    ran: int
    method: str
    path: str
    request_id: str | None
    key: str | None
    body: Any
    started: float
    ended: float | None = None
    answer: Answer = Answer.COMPLETE


class ServiceStandin(Standin):
    """Service that executes each request for a fixed time and records every run.

    :param name: name of the target in the record.
    :param work: seconds per run.
    """

    def __init__(self, name: str = "service", work: float = 0.01) -> None:
        self.name = name
        self.faults: ServiceFaults = ServiceFaults()
        self.work = work
        self.runs: list[Run] = []
        self._refused = 0

    async def call(
        self,
        method: str,
        path: str,
        body: Any = None,
        request_id: str | None = None,
        key: str | None = None,
    ) -> Run | None:
        """Execute one request; return ``None`` if it was refused without a run."""
        if self._consume_fault("refuse"):
            self._refused += 1
            return None
        run = Run(len(self.runs) + 1, method, path, request_id, key, body, wall_time())
        self.runs.append(run)
        run.answer = self._choose_answer()
        await asyncio.sleep(self.work + self.faults.slow)
        run.ended = wall_time()
        return run

    def record(self) -> dict[str, Any]:
        """Return every run and the number of requests refused without a run."""
        runs = []
        for run in self.runs:
            runs.append({**asdict(run), "answer": run.answer.value})
        return {"name": self.name, "runs": runs, "refused": self._refused}

    def _choose_answer(self) -> Answer:
        for name, answer in FAULTS_AFTER_RUN:
            if self._consume_fault(name):
                return answer
        return Answer.COMPLETE

    def _consume_fault(self, name: str) -> bool:
        remaining = getattr(self.faults, name)
        if not remaining:
            return False
        setattr(self.faults, name, remaining - 1)
        return True


class ServiceProgram(Program):
    """HTTP server of a service."""

    name = "service"
    standin: ServiceStandin

    def routes(self) -> list[web.RouteDef]:
        """Return one route for every path."""
        return [web.route("*", "/{path:.*}", self._call)]

    async def _call(self, request: web.Request) -> web.StreamResponse:
        run = await self.standin.call(
            request.method,
            request.path,
            _decode(await request.read()),
            request.headers.get("X-Request-Id"),
            request.headers.get("Idempotency-Key"),
        )
        if run is None:
            headers = {"X-Not-Run": "1"}
            return web.json_response({"code": "refused"}, status=503, headers=headers)
        if run.answer is Answer.REFUSED_AFTER_RUN:
            return web.json_response({"code": "unavailable"}, status=503)
        if run.answer is Answer.DROPPED:
            raise ConnectionBroken
        if run.answer is Answer.HUNG:
            await asyncio.sleep(HANG_SECONDS)
            raise ConnectionBroken
        answer = {"ran": run.ran, "path": run.path, "echo": run.body}
        if run.answer is Answer.TRUNCATED:
            return await _truncate(request, answer)
        return web.json_response(answer)


def _decode(body: bytes) -> Any:
    if not body:
        return None
    try:
        return json.loads(body)
    except ValueError:
        return body.decode(errors="replace")


async def _truncate(request: web.Request, answer: Any) -> web.StreamResponse:
    body = json.dumps(answer).encode()
    response = web.StreamResponse(headers={"Content-Type": "application/json"})
    response.content_length = len(body) + TRUNCATED_BYTES
    await response.prepare(request)
    await response.write(body)
    close_connection(request)
    return response


@click.command()
@listen_options
@click.option("--name", default="service", help="Name of the target.")
@click.option("--work", type=float, default=0.01, help="Seconds per run.")
def main(ip: str, port: int, name: str, work: float) -> None:
    """Serve the stand-in of a plain service."""
    run_program(ServiceProgram(ServiceStandin(name, work)), ip, port)


if __name__ == "__main__":
    main()
