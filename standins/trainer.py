"""Stand-in for a trainer: a client that requests the samples of its steps."""

import asyncio
import json
import random
from collections.abc import AsyncIterator
from dataclasses import dataclass, field
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
from ._generation import WORDS
from ._program import StandinError, loop_time, wall_time
from ._training import StepRecord, TrainingRecord

RETRY_DELAY_SECONDS = 0.2
CONNECT_TIMEOUT_SECONDS = 2.0
ANNOUNCE_TIMEOUT_SECONDS = 30.0
MAX_EVENT_BYTES = 16 * 1024 * 1024


class StepInterrupted(StandinError):
    """A call ended before its ``done`` event.

    :param cause: why the call ended.
    :param retry_after: the ``Retry-After`` header of the response, if any.
    """

    def __init__(self, cause: str, retry_after: str | None = None) -> None:
        super().__init__(cause)
        self.cause = cause
        self.retry_after = retry_after


@dataclass
class TrainerOptions:
    """Options of a trainer; times in seconds."""

    workload: str
    entries: list[str]
    steps: int = 5
    groups: int = 4
    samples: int = 4
    max_tokens: int = 256
    prompt_words: int = 60
    version_every: int = 1
    first_version: int = 1
    freshness_bound: int = 2
    train_seconds: float = 0.0
    deadline_seconds: float = 60.0
    give_up_seconds: float = 180.0
    seed: int = 1


@dataclass
class StepCall:
    """Request and progress of one step."""

    record: StepRecord
    groups: list[dict[str, Any]]
    checkpoint: list[Any] | None = None
    deadline: float = field(default_factory=loop_time)


class TrainerClient:
    """Trainer that retries each step at the next entry host until the step is done.

    :param session: HTTP session of all calls.
    """

    def __init__(self, options: TrainerOptions, session: aiohttp.ClientSession) -> None:
        self.options = options
        self.record = TrainingRecord(options.freshness_bound)
        self.version = options.first_version
        self._session = session
        self._rng = random.Random(options.seed)
        self._entry_index = self._rng.randrange(len(options.entries))

    async def run(self) -> None:
        """Run all steps and announce new weight versions between them."""
        await self._announce_version()
        for number in range(self.options.steps):
            if number and number % self.options.version_every == 0:
                self.version += 1
                await self._announce_version()
            await self._run_step(number)
            await asyncio.sleep(self.options.train_seconds)

    async def _announce_version(self) -> None:
        started = wall_time()
        deadline = loop_time() + ANNOUNCE_TIMEOUT_SECONDS
        status = None
        while status not in (200, 202) and loop_time() < deadline:
            status, retry_after = await self._post_version()
            if status in (200, 202):
                break
            self._select_next_entry()
            await self._wait_before_retry(retry_after)
        self.record.announcements.append(
            {
                "version": self.version,
                "status": status,
                "started": started,
                "ended": wall_time(),
            }
        )

    async def _post_version(self) -> tuple[int | None, str | None]:
        url = f"{self._workload_url()}/versions"
        try:
            async with self._session.post(
                url, json={"version": self.version}
            ) as response:
                await response.read()
                return response.status, response.headers.get("Retry-After")
        except (aiohttp.ClientError, TimeoutError):
            return None, None

    async def _run_step(self, number: int) -> None:
        expected = self.options.groups * self.options.samples
        record = self.record.add_step(number, self.version, expected)
        call = StepCall(record, self._make_groups(number))
        started = loop_time()
        call.deadline = started + self.options.give_up_seconds
        while not record.done and loop_time() < call.deadline:
            record.calls += 1
            try:
                await self._call_step(call)
            except StepInterrupted as error:
                entry = self.options.entries[self._entry_index]
                self.record.add_failure(number, entry, error.cause)
                self._select_next_entry()
                await self._wait_before_retry(error.retry_after)
        record.seconds = loop_time() - started

    async def _call_step(self, call: StepCall) -> None:
        url = f"{self._workload_url()}/steps/{call.record.step}/samples"
        remaining = max(call.deadline - loop_time(), 0.1)
        timeout = aiohttp.ClientTimeout(
            total=remaining, sock_connect=CONNECT_TIMEOUT_SECONDS
        )
        try:
            async with self._session.post(
                url, json=self._request_body(call), timeout=timeout
            ) as response:
                await self._check_status(response)
                await self._process_events(call, response)
        except (aiohttp.ClientError, TimeoutError) as error:
            raise StepInterrupted(type(error).__name__) from error

    async def _check_status(self, response: aiohttp.ClientResponse) -> None:
        if response.status == 200:
            return
        text = (await response.text())[:200]
        retry_after = response.headers.get("Retry-After")
        raise StepInterrupted(
            f"entry host returned status {response.status}: {text}", retry_after
        )

    async def _process_events(
        self, call: StepCall, response: aiohttp.ClientResponse
    ) -> None:
        async for event in _read_events(response):
            kind = event.get("event")
            if kind == "group":
                for sample in event.get("samples", []):
                    self.record.add_sample(call.record, sample)
            elif kind == "checkpoint":
                call.checkpoint = event.get("placements")
            elif kind == "done":
                call.record.done = True
                return
            elif kind in ("moved", "failed"):
                raise StepInterrupted(json.dumps(event)[:200])
        raise StepInterrupted("response ended before the done event")

    def _request_body(self, call: StepCall) -> dict[str, Any]:
        return {
            "version": self.version,
            "deadline_seconds": self.options.deadline_seconds,
            "groups": call.groups,
            "received": [list(slot) for slot in sorted(call.record.received)],
            "checkpoint": call.checkpoint,
        }

    def _make_groups(self, number: int) -> list[dict[str, Any]]:
        groups = []
        for position in range(self.options.groups):
            words = self._rng.choices(WORDS, k=self.options.prompt_words)
            groups.append(
                {
                    "group": f"g{position}",
                    "prompt": f"step {number} group {position}: " + " ".join(words),
                    "samples": self.options.samples,
                    "max_tokens": self.options.max_tokens,
                    "seed": self._rng.randrange(2**31),
                }
            )
        return groups

    def _workload_url(self) -> str:
        entry = self.options.entries[self._entry_index]
        return f"{entry}/v1/workloads/{self.options.workload}"

    def _select_next_entry(self) -> None:
        self._entry_index = (self._entry_index + 1) % len(self.options.entries)

    async def _wait_before_retry(self, retry_after: str | None) -> None:
        await asyncio.sleep(retry_delay(retry_after, RETRY_DELAY_SECONDS, self._rng))


async def _read_events(
    response: aiohttp.ClientResponse,
) -> AsyncIterator[dict[str, Any]]:
    """Yield the events; a last line without a newline is incomplete and skipped."""
    buffer = bytearray()
    async for chunk in response.content.iter_any():
        buffer += chunk
        *lines, incomplete_line = buffer.split(b"\n")
        buffer = bytearray(incomplete_line)
        for line in lines:
            if not line.strip():
                continue
            yield json.loads(line)
        if len(buffer) > MAX_EVENT_BYTES:
            raise StepInterrupted("event exceeds the size limit")


async def run_trainer(options: TrainerOptions, record_file: Path | None) -> None:
    """Run a trainer until it is done, write its record and print its summary."""
    timeout = aiohttp.ClientTimeout(total=10.0, sock_connect=CONNECT_TIMEOUT_SECONDS)
    async with aiohttp.ClientSession(timeout=timeout) as session:
        trainer = TrainerClient(options, session)
        await trainer.run()
    write_record(record_file, trainer.record.as_json())
    print_summary(trainer.record.summary())


@click.command()
@click.option("--workload", required=True)
@click.option("--entries", required=True, help="Base URLs, comma-separated.")
@click.option("--steps", type=int, default=5)
@click.option("--groups", type=int, default=4, help="Groups per step.")
@click.option("--samples", type=int, default=4, help="Samples per group.")
@click.option("--max-tokens", type=int, default=256)
@click.option("--prompt-words", type=int, default=60)
@click.option(
    "--version-every", type=click.IntRange(min=1), default=1, help="Steps per version."
)
@click.option("--first-version", type=int, default=1)
@click.option(
    "--freshness-bound", type=int, default=2, help="Maximum staleness, versions."
)
@click.option("--train-seconds", type=float, default=0.0, help="Pause after each step.")
@click.option("--deadline-seconds", type=float, default=60.0)
@click.option(
    "--give-up-seconds", type=float, default=180.0, help="Time limit per step."
)
@click.option("--seed", type=int, default=1)
@click.option("--record", "record_file", type=click.Path(path_type=Path))
def main(entries: str, record_file: Path | None, **options: Any) -> None:
    """Run the stand-in of a trainer."""
    trainer_options = TrainerOptions(entries=split_entries(entries), **options)
    run_client(run_trainer(trainer_options, record_file))


if __name__ == "__main__":
    main()
