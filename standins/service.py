"""Stand-in for a plain service beside the model engines."""

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
MISSING_BYTES = 64


class Answer(Enum):
    """How the service answers a request."""

    WHOLE = "whole"
    NOT_RUN = "not_run"
    REFUSED_AFTER_RUN = "refused_after_run"
    TRUNCATED = "truncated"
    DROPPED = "dropped"
    HUNG = "hung"


class ServiceFaults(FaultSettings):
    """Fault settings of a service; all but ``slow`` (s) count requests."""

    refuse: NonNegativeInt = 0
    refuse_after_run: NonNegativeInt = 0
    truncate: NonNegativeInt = 0
    slow: NonNegativeFloat = 0.0
    hang: NonNegativeInt = 0
    drop_after_run: NonNegativeInt = 0


AFTER_RUN = (
    ("refuse_after_run", Answer.REFUSED_AFTER_RUN),
    ("drop_after_run", Answer.DROPPED),
    ("hang", Answer.HUNG),
    ("truncate", Answer.TRUNCATED),
)


@dataclass
class Run:
    """One request that was run; times are wall times."""

    ran: int
    method: str
    path: str
    request_id: str | None
    key: str | None
    body: Any
    started: float
    ended: float | None = None
    answer: Answer = Answer.WHOLE


class ServiceStandin(Standin):
    """Service that runs each request for a while and keeps every run.

    :param name: the target's name, shown in the record.
    :param work: seconds a run takes.
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
        """Run one request; ``None`` means it was refused and not run."""
        if self._take("refuse"):
            self._refused += 1
            return None
        run = Run(len(self.runs) + 1, method, path, request_id, key, body, wall_time())
        self.runs.append(run)
        run.answer = self._choose_answer()
        await asyncio.sleep(self.work + self.faults.slow)
        run.ended = wall_time()
        return run

    def record(self) -> dict[str, Any]:
        """Return every run and the count of true refusals."""
        runs = []
        for run in self.runs:
            runs.append({**asdict(run), "answer": run.answer.value})
        return {"name": self.name, "runs": runs, "refused": self._refused}

    def _choose_answer(self) -> Answer:
        for name, answer in AFTER_RUN:
            if self._take(name):
                return answer
        return Answer.WHOLE

    def _take(self, name: str) -> bool:
        left = getattr(self.faults, name)
        if not left:
            return False
        setattr(self.faults, name, left - 1)
        return True


class ServiceProgram(Program):
    """HTTP side of a service."""

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
    response.content_length = len(body) + MISSING_BYTES
    await response.prepare(request)
    await response.write(body)
    close_connection(request)
    return response


@click.command()
@listen_options
@click.option("--name", default="service", help="Name of the target.")
@click.option("--work", type=float, default=0.01, help="Seconds of a run.")
def main(ip: str, port: int, name: str, work: float) -> None:
    """Serve the stand-in of a plain service."""
    run_program(ServiceProgram(ServiceStandin(name, work)), ip, port)


if __name__ == "__main__":
    main()
