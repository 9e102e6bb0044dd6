"""Simulated clients: trainers, publishers of weight versions, and callers."""

from __future__ import annotations

import asyncio
import itertools
import json
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from cranberryrun import clock
from cranberryrun.exceptions import CranberryrunError
from cranberryrun.host import Host
from cranberryrun.models import (
    CheckpointEvent,
    DoneEvent,
    FailedEvent,
    GroupEvent,
    GroupRequest,
    MovedEvent,
    Sample,
    StepRequest,
)
from cranberryrun.request_router import RequestRouter
from cranberryrun.services import Call
from cranberryrun.steps import Steps
from cranberryrun.versions import Versions

from .deployments import WorkloadSize
from .engine import sample_tokens

_RETRY_DELAY_SECONDS = 0.2
_MAX_TOKENS = 16_000
PickHost = Callable[[], Host | None]


@dataclass(slots=True)
class Publisher:
    """Announces new weight versions of a workload at a fixed interval."""

    size: WorkloadSize
    pick_host: PickHost
    version: int = 0
    accepted_at_by_version: dict[int, float] = field(default_factory=dict)

    async def run(self, initial_delay: float) -> None:
        """Announce versions until cancelled.

        The second version follows ``initial_delay`` seconds after the first.
        """
        await self.announce(1)
        await asyncio.sleep(initial_delay)
        while True:
            await self.announce(self.version + 1)
            await asyncio.sleep(self.size.version_interval)

    async def announce(self, version: int) -> None:
        """Announce ``version``, and retry until a host accepts it."""
        while True:
            host = self.pick_host()
            try:
                if host is not None:
                    versions = host.kernel.get(Versions)
                    await versions.announce(self.size.name, version)
                    break
            except CranberryrunError:
                pass
            await asyncio.sleep(_RETRY_DELAY_SECONDS)
        self.version = version
        self.accepted_at_by_version[version] = clock.now()

    def newest_version(self) -> int:
        """Return the newest version that a host has accepted."""
        return self.version


@dataclass(slots=True)
class StepMeasure:
    """What a trainer measured of one step.

    ``idle`` is how long it waited and ``idle_floor`` the least possible wait, in
    seconds; ``staleness`` holds the versions that each sample was behind.
    """

    idle: float
    idle_floor: float
    staleness: list[int]
    over_bound: int


@dataclass(slots=True)
class FakeTrainer:
    """Requests a step, waits for all its samples, trains, and requests the next."""

    name: str
    size: WorkloadSize
    publisher: Publisher
    pick_host: PickHost
    stream_tokens_per_second: float
    client_latency_seconds: float
    calls_by_host: dict[str, set[asyncio.Task[None]]]
    seed: int
    measures: list[StepMeasure] = field(default_factory=list)
    received_samples: list[tuple[str, Sample]] = field(default_factory=list)
    duplicates: int = 0
    _step: int = 0

    async def run(self, initial_delay: float) -> None:
        """Run steps until cancelled."""
        await asyncio.sleep(initial_delay)
        while True:
            await self._run_step()
            await asyncio.sleep(self.size.train_seconds)

    def _groups(self) -> list[GroupRequest]:
        return [
            GroupRequest(
                group=f"g{number}",
                prompt=f"{self.seed}/{self.name}/{self._step}/{number}",
                samples=self.size.samples,
                max_tokens=_MAX_TOKENS,
                seed=number * 1000,
            )
            for number in range(self.size.groups)
        ]

    def _idle_floor(self, groups: list[GroupRequest]) -> float:
        """Return the seconds of the longest sample at the rate of one stream."""
        longest = max(
            sample_tokens(group.prompt, group.seed + index, group.max_tokens)
            for group in groups
            for index in range(group.samples)
        )
        return longest / self.stream_tokens_per_second

    async def _run_step(self) -> None:
        self._step += 1
        groups = self._groups()
        started_at = clock.now()
        call = StepCall(self, f"{self.name}-{self._step}", groups)
        await call.run()
        self.measures.append(
            StepMeasure(
                clock.now() - started_at,
                self._idle_floor(groups),
                call.staleness,
                call.over_bound,
            )
        )

    @property
    def number(self) -> int:
        """The number of the step, which no other trainer of the workload uses."""
        return self._step * 100 + int(self.name.rsplit("-", 1)[1])


class StepCall:
    """Requests one step, from one host after another until it is done."""

    def __init__(
        self, trainer: FakeTrainer, name: str, groups: list[GroupRequest]
    ) -> None:
        self._trainer = trainer
        self._name = name
        self._groups = groups
        self._received: set[tuple[str, int]] = set()
        self._checkpoint = None
        self._done = False
        self.staleness: list[int] = []
        self.over_bound = 0

    async def run(self) -> None:
        """Call hosts until the step is done."""
        while not self._done:
            host = self._trainer.pick_host()
            if host is not None:
                await self._call(host)
            if not self._done:
                await asyncio.sleep(_RETRY_DELAY_SECONDS)

    async def _call(self, host: Host) -> None:
        trainer = self._trainer
        request = StepRequest(
            version=trainer.publisher.version,
            groups=self._groups,
            received=sorted(self._received),
            checkpoint=self._checkpoint,
        )
        await asyncio.sleep(trainer.client_latency_seconds)
        steps = host.kernel.get(Steps)
        try:
            workload = steps.resolve_workload(trainer.size.name)
        except CranberryrunError:
            return
        call = steps.run(workload, trainer.number, request, self._handle_event)
        task = asyncio.get_running_loop().create_task(call)
        calls = trainer.calls_by_host.setdefault(host.settings.id, set())
        calls.add(task)
        try:
            await asyncio.wait({task})
        finally:
            calls.discard(task)
            task.cancel()
        if not task.cancelled() and task.exception() is not None:
            if not isinstance(task.exception(), ConnectionError):
                raise task.exception()

    async def _handle_event(self, event) -> None:
        trainer = self._trainer
        if isinstance(event, (CheckpointEvent, MovedEvent, FailedEvent)):
            self._checkpoint = event.placements
        if isinstance(event, DoneEvent):
            self._done = True
        if not isinstance(event, GroupEvent):
            return
        newest = trainer.publisher.newest_version()
        for sample in event.samples:
            key = (sample.group, sample.index)
            trainer.duplicates += key in self._received
            self._received.add(key)
            oldest = min(span.version for span in sample.versions)
            self.staleness.append(newest - oldest)
            self.over_bound += newest - oldest > trainer.size.freshness_bound
            trainer.received_samples.append(
                (f"{trainer.size.name}.{trainer.number}.", sample)
            )


class Prompts:
    """Draws the prompts of requests from a Zipf distribution whose ranks shift."""

    def __init__(self, count: int, skew: float, shift_interval: float | None) -> None:
        self._shift_interval = shift_interval
        self._numbers = range(count)
        self._weights = list(
            itertools.accumulate(1 / (rank + 1) ** skew for rank in range(count))
        )

    def draw(self, rng: random.Random) -> str:
        """Return the prompt of the next request."""
        rank = rng.choices(self._numbers, cum_weights=self._weights)[0]
        shifts = int(clock.now() // self._shift_interval) if self._shift_interval else 0
        return f"request {(rank + shifts * 37) % len(self._numbers)}"


@dataclass(slots=True)
class Callers:
    """Sends requests to a service, with exponentially distributed intervals.

    A request without a response of status 200 in time counts as ``unanswered``.
    """

    service: str
    rate: float
    timeout: float
    client_latency_seconds: float
    pick_host: PickHost
    rng: random.Random
    prompts: Prompts
    surge: tuple[float, float, float] | None = None
    latencies: list[float] = field(default_factory=list)
    sent: int = 0
    unanswered: int = 0
    _in_flight: set[asyncio.Task[None]] = field(default_factory=set)

    async def run(self) -> None:
        """Send requests until cancelled."""
        while True:
            await asyncio.sleep(self.rng.expovariate(self._current_rate()))
            task = asyncio.get_running_loop().create_task(self._send())
            self._in_flight.add(task)
            task.add_done_callback(self._in_flight.discard)

    async def stop(self) -> None:
        """Cancel the requests in flight."""
        tasks = list(self._in_flight)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _current_rate(self) -> float:
        if self.surge is None:
            return self.rate
        start, seconds, factor = self.surge
        is_surge = start <= clock.now() < start + seconds
        return self.rate * factor if is_surge else self.rate

    async def _send(self) -> None:
        self.sent += 1
        number = self.sent
        started_at = clock.now()
        await asyncio.sleep(self.client_latency_seconds)
        host = self.pick_host()
        body = GroupRequest(
            group="call", prompt=self.prompts.draw(self.rng), samples=1, max_tokens=256
        )
        call = Call(
            service=self.service,
            method="POST",
            path="",
            request=f"{self.service}-{number}",
            caller="client",
            deadline=clock.now() + self.timeout,
            body=json.dumps(body.model_dump()).encode(),
        )
        try:
            if host is None:
                self.unanswered += 1
                return
            response = await host.kernel.get(RequestRouter).send(call)
        except CranberryrunError:
            self.unanswered += 1
            return
        await asyncio.sleep(self.client_latency_seconds)
        is_late = (
            clock.now() - started_at > self.timeout + 2 * self.client_latency_seconds
        )
        if response.status != 200 or is_late:
            self.unanswered += 1
            return
        self.latencies.append(clock.now() - started_at)
