"""Fakes of the clients: trainers, publishers of weights, and callers."""

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

_PAUSE_SECONDS = 0.2
_MAX_TOKENS = 16_000
PickHost = Callable[[], Host | None]


@dataclass(slots=True)
class Publisher:
    """Announces a new weight version of a workload now and then."""

    size: WorkloadSize
    pick: PickHost
    version: int = 0
    accepted_by_version: dict[int, float] = field(default_factory=dict)

    async def run(self, first_after: float) -> None:
        """Announce for ever."""
        await self.announce(1)
        await asyncio.sleep(first_after)
        while True:
            await self.announce(self.version + 1)
            await asyncio.sleep(self.size.version_every)

    async def announce(self, version: int) -> None:
        """Announce ``version`` until a host accepts it."""
        while True:
            host = self.pick()
            try:
                if host is not None:
                    versions = host.kernel.get(Versions)
                    await versions.announce(self.size.name, version)
                    break
            except CranberryrunError:
                pass
            await asyncio.sleep(_PAUSE_SECONDS)
        self.version = version
        self.accepted_by_version[version] = clock.now()

    def accepted(self) -> int:
        """Return the newest version that a host has accepted."""
        return self.version


@dataclass(slots=True)
class StepMeasure:
    """One step as its trainer saw it; seconds and samples."""

    idle: float
    floor: float
    ages: list[int]
    over_bound: int


@dataclass(slots=True)
class FakeTrainer:
    """Asks for a step, waits for it whole, trains, and asks for the next."""

    name: str
    size: WorkloadSize
    publisher: Publisher
    pick: PickHost
    alone_tokens_per_second: float
    client_seconds: float
    calls_by_host: dict[str, set[asyncio.Task[None]]]
    seed: int
    measures: list[StepMeasure] = field(default_factory=list)
    handed: list[tuple[str, Sample]] = field(default_factory=list)
    doubled: int = 0
    _step: int = 0

    async def run(self, first_after: float) -> None:
        """Train for ever."""
        await asyncio.sleep(first_after)
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

    def _floor(self, groups: list[GroupRequest]) -> float:
        """Return seconds that the longest sample takes alone."""
        longest = max(
            sample_tokens(group.prompt, group.seed + index, group.max_tokens)
            for group in groups
            for index in range(group.samples)
        )
        return longest / self.alone_tokens_per_second

    async def _run_step(self) -> None:
        self._step += 1
        groups = self._groups()
        began = clock.now()
        call = StepCall(self, f"{self.name}-{self._step}", groups)
        await call.run()
        self.measures.append(
            StepMeasure(
                clock.now() - began, self._floor(groups), call.ages, call.over_bound
            )
        )

    @property
    def number(self) -> int:
        """The step's number, different for each trainer of the workload."""
        return self._step * 100 + int(self.name.rsplit("-", 1)[1])


class StepCall:
    """One step's calls, at one host after another until all is received."""

    def __init__(
        self, trainer: FakeTrainer, name: str, groups: list[GroupRequest]
    ) -> None:
        self._trainer = trainer
        self._name = name
        self._groups = groups
        self._received: set[tuple[str, int]] = set()
        self._checkpoint = None
        self._done = False
        self.ages: list[int] = []
        self.over_bound = 0

    async def run(self) -> None:
        """Call until the step is done."""
        while not self._done:
            host = self._trainer.pick()
            if host is not None:
                await self._call(host)
            if not self._done:
                await asyncio.sleep(_PAUSE_SECONDS)

    async def _call(self, host: Host) -> None:
        trainer = self._trainer
        request = StepRequest(
            version=trainer.publisher.version,
            groups=self._groups,
            received=sorted(self._received),
            checkpoint=self._checkpoint,
        )
        await asyncio.sleep(trainer.client_seconds)
        steps = host.kernel.get(Steps)
        try:
            workload = steps.resolve_workload(trainer.size.name)
        except CranberryrunError:
            return
        call = steps.run(workload, trainer.number, request, self._take)
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

    async def _take(self, event) -> None:
        trainer = self._trainer
        if isinstance(event, (CheckpointEvent, MovedEvent, FailedEvent)):
            self._checkpoint = event.placements
        if isinstance(event, DoneEvent):
            self._done = True
        if not isinstance(event, GroupEvent):
            return
        newest = trainer.publisher.accepted()
        for sample in event.samples:
            key = (sample.group, sample.index)
            trainer.doubled += key in self._received
            self._received.add(key)
            oldest = min(span.version for span in sample.versions)
            self.ages.append(newest - oldest)
            self.over_bound += newest - oldest > trainer.size.freshness_bound
            trainer.handed.append((f"{trainer.size.name}.{trainer.number}.", sample))


class Prompts:
    """Draws requests' prompts by a Zipf distribution whose ranks move."""

    def __init__(self, count: int, skew: float, shift_every: float | None) -> None:
        self._shift_every = shift_every
        self._numbers = range(count)
        self._weights = list(
            itertools.accumulate(1 / (rank + 1) ** skew for rank in range(count))
        )

    def draw(self, rng: random.Random) -> str:
        """Return a prompt."""
        rank = rng.choices(self._numbers, cum_weights=self._weights)[0]
        shifts = int(clock.now() // self._shift_every) if self._shift_every else 0
        return f"request {(rank + shifts * 37) % len(self._numbers)}"


@dataclass(slots=True)
class Callers:
    """Sends requests to a service, each at its own moment."""

    service: str
    rate: float
    timeout: float
    client_seconds: float
    pick: PickHost
    rng: random.Random
    prompts: Prompts
    surge: tuple[float, float, float] | None = None
    latencies: list[float] = field(default_factory=list)
    sent: int = 0
    unanswered: int = 0
    _open: set[asyncio.Task[None]] = field(default_factory=set)

    async def run(self) -> None:
        """Send for ever."""
        while True:
            await asyncio.sleep(self.rng.expovariate(self._rate_now()))
            task = asyncio.get_running_loop().create_task(self._send())
            self._open.add(task)
            task.add_done_callback(self._open.discard)

    async def stop(self) -> None:
        """Give up the requests that are open."""
        tasks = list(self._open)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _rate_now(self) -> float:
        if self.surge is None:
            return self.rate
        at, seconds, factor = self.surge
        surging = at <= clock.now() < at + seconds
        return self.rate * factor if surging else self.rate

    async def _send(self) -> None:
        self.sent += 1
        number = self.sent
        began = clock.now()
        await asyncio.sleep(self.client_seconds)
        host = self.pick()
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
            answer = await host.kernel.get(RequestRouter).send(call)
        except CranberryrunError:
            self.unanswered += 1
            return
        await asyncio.sleep(self.client_seconds)
        late = clock.now() - began > self.timeout + 2 * self.client_seconds
        if answer.status != 200 or late:
            self.unanswered += 1
            return
        self.latencies.append(clock.now() - began)
