"""Stand-in for the callers and the platform's load balancer in front of the hosts."""

import asyncio
import json
import random
import secrets
from dataclasses import asdict, dataclass
from enum import Enum
from pathlib import Path
from typing import Any

import aiohttp
import click

from ._clients import (
    print_summary,
    retry_delay,
    run_client,
    split_entries,
    write_record,
)
from ._program import loop_time, wall_time

READY_POLL_INTERVAL_SECONDS = 0.5
READY_TIMEOUT_SECONDS = 1.0
CONNECT_TIMEOUT_SECONDS = 2.0
RETRY_DELAY_SECONDS = 0.1
MAX_RETRIES = 5
FINISH_TIMEOUT_SECONDS = 60.0


class Outcome(Enum):
    """Result of a request as known to its caller."""

    OK = "ok"
    REFUSED = "refused"
    UNKNOWN = "unknown"


@dataclass
class CallerOptions:
    """Options of the callers; times in seconds."""

    entries: list[str]
    service: str
    rate: float = 10.0
    seconds: float = 10.0
    keyed_share: float = 0.0
    timeout: float = 10.0
    seed: int = 1


@dataclass
class CallRecord:
    """One request with all its attempts; ``latency`` is in seconds."""

    id: str
    method: str
    path: str
    key: str | None
    sent: float
    status: int | None = None
    ok: bool = False
    truncated: bool = False
    mismatched: bool = False
    attempts: int = 0
    latency: float = 0.0
    outcome: Outcome = Outcome.UNKNOWN
    cause: str | None = None

    def as_json(self) -> dict[str, Any]:
        """Return the record as a JSON object."""
        return {**asdict(self), "outcome": self.outcome.value}


@dataclass
class Attempt:
    """Result of one attempt."""

    status: int | None = None
    body: Any = None
    retry_after: str | None = None
    truncated: bool = False
    timed_out: bool = False
    cause: str | None = None

    @property
    def is_complete(self) -> bool:
        """Whether the response was received completely."""
        return self.status is not None and self.cause is None

    @property
    def is_not_run(self) -> bool:
        """Whether the response states that the request was not run."""
        if self.status not in (429, 503) or not isinstance(self.body, dict):
            return False
        return self.body.get("not_run") is True

    @property
    def should_retry(self) -> bool:
        """Whether the caller retries.

        It does after a response which states that the request was not run and after
        a connection that failed before a response, but not after a timeout.
        """
        return self.is_not_run or (self.status is None and not self.timed_out)


class ReadyEntries:
    """Entry hosts that are ready, as the load balancer sees them.

    :param entries: base URLs.
    :param session: HTTP session of the polls.
    """

    def __init__(self, entries: list[str], session: aiohttp.ClientSession) -> None:
        self.entries = entries
        self.ready: set[str] = set()
        self._session = session

    async def poll_once(self) -> None:
        """Poll all entries once."""
        await asyncio.gather(*(self._check_entry(entry) for entry in self.entries))

    async def poll(self) -> None:
        """Poll all entries periodically."""
        while True:
            await asyncio.sleep(READY_POLL_INTERVAL_SECONDS)
            await self.poll_once()

    def choose(self, rng: random.Random, tried: set[str]) -> str | None:
        """Return a random ready entry, preferably one not in ``tried``."""
        ready = [entry for entry in self.entries if entry in self.ready]
        untried = [entry for entry in ready if entry not in tried]
        candidates = untried or ready
        return rng.choice(candidates) if candidates else None

    async def _check_entry(self, entry: str) -> None:
        timeout = aiohttp.ClientTimeout(total=READY_TIMEOUT_SECONDS)
        try:
            async with self._session.get(
                f"{entry}/readyz", timeout=timeout
            ) as response:
                is_ready = response.status == 200
        except (aiohttp.ClientError, TimeoutError):
            is_ready = False
        if is_ready:
            self.ready.add(entry)
        else:
            self.ready.discard(entry)


class CallerClients:
    """Callers that send at a fixed rate without waiting for responses.

    :param session: HTTP session of all requests.
    """

    def __init__(self, options: CallerOptions, session: aiohttp.ClientSession) -> None:
        self.options = options
        self.calls: list[CallRecord] = []
        self.entries = ReadyEntries(options.entries, session)
        self._session = session
        self._rng = random.Random(options.seed)
        # Keeps the idempotency keys distinct from earlier runs with the same seed.
        self._run_id = secrets.token_hex(4)

    async def run(self) -> None:
        """Send all requests and wait for their outcomes."""
        await self.entries.poll_once()
        polling = asyncio.create_task(self.entries.poll())
        tasks = []
        started = loop_time()
        for number in range(int(self.options.rate * self.options.seconds)):
            due = started + number / self.options.rate
            await asyncio.sleep(max(due - loop_time(), 0))
            tasks.append(asyncio.create_task(self._run_call(self._create_call(number))))
        if tasks:
            await asyncio.wait(tasks, timeout=FINISH_TIMEOUT_SECONDS)
        for task in (polling, *tasks):
            task.cancel()

    def summary(self) -> dict[str, Any]:
        """Return the totals; latencies are in seconds and of successful calls only."""
        answered_calls = [call for call in self.calls if call.ok]
        latencies = sorted(call.latency for call in answered_calls)
        return {
            "requests_sent": len(self.calls),
            "requests_answered": len(answered_calls),
            "requests_truncated": sum(call.truncated for call in self.calls),
            "requests_mismatched": sum(call.mismatched for call in self.calls),
            "latency_p50_seconds": _quantile(latencies, 0.5),
            "latency_p99_seconds": _quantile(latencies, 0.99),
            "refused": self._count(Outcome.REFUSED),
            "unknown": self._count(Outcome.UNKNOWN),
            "keyed_sent": sum(call.key is not None for call in self.calls),
        }

    def _count(self, outcome: Outcome) -> int:
        return sum(call.outcome is outcome for call in self.calls)

    def _create_call(self, number: int) -> CallRecord:
        request_id = f"{self._run_id}-{number}"
        if self._rng.random() < self.options.keyed_share:
            key = f"key-{request_id}"
            call = CallRecord(request_id, "POST", f"/holds/{number}", key, wall_time())
        else:
            call = CallRecord(request_id, "GET", f"/status/{number}", None, wall_time())
        self.calls.append(call)
        return call

    async def _run_call(self, call: CallRecord) -> None:
        started = loop_time()
        tried: set[str] = set()
        attempt = Attempt()
        for _ in range(1 + MAX_RETRIES):
            entry = self.entries.choose(self._rng, tried)
            if entry is None:
                attempt = Attempt(cause="no entry host is ready")
                await asyncio.sleep(READY_POLL_INTERVAL_SECONDS)
                continue
            tried.add(entry)
            call.attempts += 1
            attempt = await self._send(entry, call)
            if not attempt.should_retry:
                break
            delay = retry_delay(attempt.retry_after, RETRY_DELAY_SECONDS, self._rng)
            await asyncio.sleep(delay)
        call.latency = loop_time() - started
        _record_outcome(call, attempt)

    async def _send(self, entry: str, call: CallRecord) -> Attempt:
        headers = {"X-Request-Id": call.id}
        body = None
        if call.key is not None:
            headers["Idempotency-Key"] = call.key
            body = {"request": call.id}
        timeout = aiohttp.ClientTimeout(
            total=self.options.timeout, sock_connect=CONNECT_TIMEOUT_SECONDS
        )
        url = f"{entry}/call/{self.options.service}{call.path}"
        request = self._session.request(
            call.method, url, headers=headers, json=body, timeout=timeout
        )
        return await _await_response(request)


async def _await_response(request: Any) -> Attempt:
    attempt = Attempt()
    try:
        async with request as response:
            attempt.status = response.status
            attempt.retry_after = response.headers.get("Retry-After")
            attempt.body = _decode(await response.read())
    except aiohttp.ConnectionTimeoutError as error:
        attempt.cause = repr(error)
    except TimeoutError as error:
        attempt.cause = repr(error)
        attempt.timed_out = True
    except aiohttp.ClientError as error:
        attempt.cause = repr(error)
        attempt.truncated = attempt.status is not None
    return attempt


def _record_outcome(call: CallRecord, attempt: Attempt) -> None:
    call.status = attempt.status
    call.truncated = attempt.truncated
    call.cause = attempt.cause
    if attempt.is_not_run:
        call.outcome = Outcome.REFUSED
        return
    if not attempt.is_complete or not 200 <= attempt.status < 300:
        return
    call.ok = True
    call.outcome = Outcome.OK
    call.mismatched = not _is_matching_response(call, attempt.body)


def _is_matching_response(call: CallRecord, body: Any) -> bool:
    if not isinstance(body, dict):
        return False
    echo = None if call.key is None else {"request": call.id}
    return body.get("path") == call.path and body.get("echo") == echo


def _decode(body: bytes) -> Any:
    try:
        return json.loads(body)
    except ValueError:
        return None


def _quantile(sorted_values: list[float], fraction: float) -> float | None:
    if not sorted_values:
        return None
    return sorted_values[
        min(int(fraction * len(sorted_values)), len(sorted_values) - 1)
    ]


async def run_callers(options: CallerOptions, record_file: Path | None) -> None:
    """Run the callers until done, write their record and print the summary."""
    # One connection per request, because aiohttp retries requests on reused ones.
    connector = aiohttp.TCPConnector(limit=0, force_close=True)
    async with aiohttp.ClientSession(connector=connector) as session:
        callers = CallerClients(options, session)
        await callers.run()
    calls = [call.as_json() for call in callers.calls]
    write_record(record_file, {"summary": callers.summary(), "calls": calls})
    print_summary(callers.summary())


@click.command()
@click.option("--entries", required=True, help="Base URLs, comma-separated.")
@click.option("--service", required=True, help="Name of the plain service.")
@click.option("--rate", type=float, default=10.0, help="Requests per second.")
@click.option("--seconds", type=float, default=10.0, help="Duration of sending.")
@click.option("--keyed-share", type=click.FloatRange(0, 1), default=0.0)
@click.option(
    "--timeout", type=float, default=10.0, help="Timeout of an attempt, seconds."
)
@click.option("--seed", type=int, default=1)
@click.option("--record", "record_file", type=click.Path(path_type=Path))
def main(entries: str, record_file: Path | None, **options: Any) -> None:
    """Run the stand-in of the callers."""
    caller_options = CallerOptions(entries=split_entries(entries), **options)
    run_client(run_callers(caller_options, record_file))


if __name__ == "__main__":
    main()
