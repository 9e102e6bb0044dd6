"""Runs trainers' steps: every sample made, whole groups handed over, each once."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any

from . import clock
from .budgets import BudgetPolicy, DeclaredRate, Demand
from .configuration import Configuration
from .engines import Engine, Engines, StreamOrder
from .events import Events
from .exceptions import (
    CranberryrunError,
    DeadlineError,
    NotFoundError,
    NotReadyError,
    RefusedError,
    StreamLostError,
    UnstampedStreamError,
)
from .freshness import AtHandOver, FreshnessPolicy, SampleAge
from .kernel import Service
from .membership import Membership
from .models import (
    CheckpointEvent,
    DoneEvent,
    FailedEvent,
    GroupEvent,
    MovedEvent,
    Placement,
    Sample,
    StepRequest,
)
from .routing import Need, RoutingPolicy
from .samples import Attempt, Slot, TooOldError, collect
from .settings import Settings
from .state import Resource
from .stragglers import (
    SecondAttempts,
    SlotProgress,
    StepProgress,
    StragglerPolicy,
)
from .versions import Versions
from .views import Fact, FactKind

Send = Callable[[Any], Awaitable[None]]
_TICK_SECONDS = 0.25
_NO_ENGINE_PAUSE_SECONDS = 0.2
_MOVED_RETRY_SECONDS = 0.2


@dataclass(frozen=True, slots=True)
class StepPolicies:
    """The decisions of steps that can be exchanged."""

    stragglers: StragglerPolicy = field(default_factory=SecondAttempts)
    freshness: FreshnessPolicy = field(default_factory=AtHandOver)
    budget: BudgetPolicy = field(default_factory=DeclaredRate)


class StepRun:
    """One step at this host, for one call of its trainer."""

    def __init__(
        self,
        steps: Steps,
        workload: Resource,
        step: int,
        request: StepRequest,
        send: Send,
    ) -> None:
        self._steps = steps
        self._kernel = steps.kernel
        self._workload = workload
        self._name = f"{workload.name}/{step}"
        self._request = request
        self._send = send
        self._events = self._kernel.get(Events)
        self._versions = self._kernel.get(Versions)
        self._engines = self._kernel.get(Engines)
        self._began_ms = self._begin_ms()
        self._deadline = clock.now() + request.deadline_seconds
        self._slots_by_key = _missing(request)
        self._total = len(self._slots_by_key)
        self._whole_by_key: dict[tuple[str, int], Sample] = {}
        self._attempts_by_key: dict[tuple[str, int], list[Attempt]] = {}
        self._makers_by_key: dict[tuple[str, int], set[asyncio.Task[Any]]] = {}
        self._dispatched_by_key: dict[tuple[str, int], int] = {}
        self._durations: list[float] = []
        self._news = asyncio.Event()
        self._moving = asyncio.Event()
        self._budget = asyncio.Semaphore(self._streams_allowed())
        self._failure: CranberryrunError | None = None

    def _begin_ms(self) -> int:
        """Return a start time, in ms, above that of any run known of this step."""
        views = self._kernel.get(Membership).views
        fact = views.get(FactKind.STEP, self._name)
        earliest = fact.incarnation + 1 if fact else 0
        return max(int(clock.wall() * 1000), earliest)

    def _streams_allowed(self) -> int:
        """Return how many streams the step may have, from the declared rate."""
        spec = self._workload.spec
        slots = [
            engine.spec.slots
            for engine in self._engines.by_name.values()
            if engine.spec.pool == spec.pool
        ]
        demand = Demand(
            rate=spec.rate,
            trainers=spec.trainers,
            slots=sum(slots) / len(slots) if slots else 1,
            pool_slots=sum(slots),
        )
        return self._steps.policies.budget.streams(demand)

    def move(self) -> None:
        """Tell the trainer to call another host."""
        self._moving.set()
        self._news.set()

    async def run(self) -> None:
        """Run until the step is done, moved or failed."""
        self._events.emit(
            "step_started", step=self._name, missing=len(self._slots_by_key)
        )
        self._versions.learn(self._workload.name, self._request.version)
        self._kernel.get(Membership).learn(
            [Fact(FactKind.STEP, self._name, self._began_ms, 0)]
        )
        try:
            self._start_makers()
            await self._hand_over_all()
        except (ConnectionError, asyncio.CancelledError):
            self._events.emit("step_cut", step=self._name)
            raise
        finally:
            self._end_makers()

    def _start_makers(self) -> None:
        placement_by_key = {
            (placement.group, placement.index): placement
            for placement in self._request.checkpoint or []
        }
        longest_first = sorted(
            self._slots_by_key.values(), key=lambda slot: -slot.max_tokens
        )
        for slot in longest_first:
            self._start_maker(slot, placement_by_key.get(slot.key))

    def _start_maker(self, slot: Slot, placement: Placement | None = None) -> None:
        task = asyncio.get_running_loop().create_task(self._make(slot, placement))
        tasks = self._makers_by_key.setdefault(slot.key, set())
        tasks.add(task)
        task.add_done_callback(tasks.discard)

    def _end_makers(self) -> None:
        for tasks in self._makers_by_key.values():
            for task in list(tasks):
                task.cancel()
        attempts = [each for row in self._attempts_by_key.values() for each in row]
        if attempts:
            self._steps.cancel_later(self._name, self._began_ms, attempts)

    async def _hand_over_all(self) -> None:
        next_checkpoint = clock.now() + self._steps.checkpoint_seconds
        while self._slots_by_key:
            if self._moving.is_set():
                await self._send_moved()
                return
            if self._superseded():
                self._events.emit("step_superseded", step=self._name)
                raise ConnectionResetError("another host runs this step")
            if self._failure is not None or clock.now() > self._deadline:
                await self._send_failed()
                return
            if clock.now() >= next_checkpoint:
                await self._send(CheckpointEvent(placements=self._placements()))
                next_checkpoint = clock.now() + self._steps.checkpoint_seconds
            await self._hand_over_whole_groups()
            self._help_stragglers()
            await self._wait()
        await self._send(DoneEvent())
        self._events.emit("step_done", step=self._name)

    async def _wait(self) -> None:
        if not self._slots_by_key:
            return
        self._news.clear()
        try:
            async with asyncio.timeout(_TICK_SECONDS):
                await self._news.wait()
        except TimeoutError:
            return

    def _superseded(self) -> bool:
        views = self._kernel.get(Membership).views
        fact = views.get(FactKind.STEP, self._name)
        return fact is not None and fact.incarnation > self._began_ms

    def _placements(self) -> list[Placement]:
        return [row[0].placement() for row in self._attempts_by_key.values() if row]

    async def _send_moved(self) -> None:
        self._events.emit("step_moved", step=self._name)
        await self._send(
            MovedEvent(placements=self._placements(), retry_after=_MOVED_RETRY_SECONDS)
        )

    async def _send_failed(self) -> None:
        error = self._failure or DeadlineError("the step's deadline passed")
        self._events.emit("step_failed", step=self._name, error=error.detail)
        problem = error.problem()
        await self._send(FailedEvent(problem=problem, placements=self._placements()))

    async def _hand_over_whole_groups(self) -> None:
        keys_by_group: dict[str, list[tuple[str, int]]] = {}
        for key in self._slots_by_key:
            keys_by_group.setdefault(key[0], []).append(key)
        for group, keys in keys_by_group.items():
            if not all(key in self._whole_by_key for key in keys):
                continue
            await self._hand_over(group, keys)

    async def _hand_over(self, group: str, keys: list[tuple[str, int]]) -> None:
        if self._versions.view_age() > self._steps.view_limit:
            self._events.emit("hand_over_held", step=self._name, group=group)
            return
        stale = [
            key
            for key in keys
            if self._is_stale(self._whole_by_key[key], self._dispatched_by_key[key])
        ]
        for key in stale:
            self._events.emit("sample_stale", step=self._name, slot=key)
            del self._whole_by_key[key]
            self._start_maker(self._slots_by_key[key])
        if stale:
            return
        samples = [self._whole_by_key.pop(key) for key in keys]
        for key in keys:
            del self._slots_by_key[key]
        newest = self._versions.newest(self._workload.name)
        await self._send(
            GroupEvent(group=group, newest_version=newest, samples=samples)
        )
        self._events.emit(
            "group_handed", step=self._name, group=group, samples=len(samples)
        )

    def _oldest_allowed(self) -> int:
        newest = self._versions.newest(self._workload.name)
        return newest - self._workload.spec.freshness_bound

    def _is_stale(self, sample: Sample, newest_at_dispatch: int) -> bool:
        oldest = min(span.version for span in sample.versions)
        return self._too_old(oldest, newest_at_dispatch)

    def _too_old(self, oldest: int | None, newest_at_dispatch: int) -> bool:
        newest = self._versions.newest(self._workload.name)
        age = SampleAge(oldest, newest, newest_at_dispatch)
        bound = self._workload.spec.freshness_bound
        return self._steps.policies.freshness.too_old(age, bound)

    async def _make(self, slot: Slot, placement: Placement | None) -> None:
        """Make the slot's sample, again and again until it is whole."""
        while slot.key in self._slots_by_key and slot.key not in self._whole_by_key:
            try:
                async with self._budget:
                    await self._try_once(slot, placement)
                return
            except UnstampedStreamError as error:
                self._emit_lost("sample_unstamped", slot, error)
            except TooOldError as error:
                self._emit_lost("sample_stale", slot, error)
            except (StreamLostError, RefusedError) as error:
                self._emit_lost("sample_lost", slot, error)
            placement = None
            await asyncio.sleep(_NO_ENGINE_PAUSE_SECONDS)

    def _emit_lost(self, name: str, slot: Slot, error: CranberryrunError) -> None:
        self._events.emit(name, step=self._name, slot=slot.key, error=error.detail)

    async def _try_once(self, slot: Slot, placement: Placement | None) -> None:
        attempt = self._resumed(slot, placement)
        resume = attempt is not None
        if attempt is None:
            attempt = await self._new_attempt(slot)
        attempts = self._attempts_by_key.setdefault(slot.key, [])
        attempts.append(attempt)
        whole = False
        try:
            sample = await collect(
                attempt,
                self._order(attempt),
                self._engines,
                self._too_old,
                resume,
            )
            whole = True
            self._take(slot, attempt, sample)
        except asyncio.CancelledError:
            whole = True
            raise
        finally:
            if not whole:
                await attempt.engine.client.cancel(attempt.stream)
                attempts.remove(attempt)

    def _take(self, slot: Slot, attempt: Attempt, sample: Sample) -> None:
        """Keep the first whole sample of a slot and stop its other attempts."""
        if slot.key in self._whole_by_key or slot.key not in self._slots_by_key:
            return
        self._whole_by_key[slot.key] = sample
        self._dispatched_by_key[slot.key] = attempt.newest_at_dispatch
        self._durations.append(clock.now() - attempt.began_at)
        self._events.emit(
            "sample_whole", step=self._name, slot=slot.key, stream=attempt.stream
        )
        self._news.set()
        rivals = self._attempts_by_key.pop(slot.key, [])
        for task in list(self._makers_by_key.get(slot.key, ())):
            if task is not asyncio.current_task():
                task.cancel()
        losers = [rival for rival in rivals if rival is not attempt]
        if losers:
            self._steps.cancel_now(losers)

    def _resumed(self, slot: Slot, placement: Placement | None) -> Attempt | None:
        """Return an attempt that goes on with the checkpoint's stream, if it can."""
        if placement is None:
            return None
        engine = self._engines.by_name.get(placement.engine)
        if engine is None or engine.spec.pool != self._workload.spec.pool:
            return None
        if not placement.stream.startswith(self._stream_prefix(slot)):
            return None
        self._events.emit("sample_resumed", step=self._name, stream=placement.stream)
        return self._attempt(slot, engine, placement.stream)

    async def _new_attempt(self, slot: Slot) -> Attempt:
        engine = await self._engine_for(slot)
        slot.attempts += 1
        stream = f"{self._stream_prefix(slot)}{self._began_ms}.{slot.attempts}"
        self._events.emit(
            "sample_dispatched",
            step=self._name,
            slot=slot.key,
            engine=engine.name,
            stream=stream,
        )
        return self._attempt(slot, engine, stream)

    def _attempt(self, slot: Slot, engine: Engine, stream: str) -> Attempt:
        newest = self._versions.newest(self._workload.name)
        return Attempt(
            slot, engine, stream, began_at=clock.now(), newest_at_dispatch=newest
        )

    def _stream_prefix(self, slot: Slot) -> str:
        step = self._name.replace("/", ".")
        return f"{step}.{slot.group}.{slot.index}."

    async def _engine_for(self, slot: Slot) -> Engine:
        busy = {each.engine.name for each in self._attempts_by_key.get(slot.key, ())}
        while True:
            candidates = [
                engine.candidate()
                for engine in self._engines.usable(self._workload.spec.pool)
                if engine.name not in busy and self._fresh_enough(engine)
            ]
            chosen = self._steps.policy.choose(
                candidates, Need(self._steps.zone, slot.prompt)
            )
            if chosen is not None:
                return self._engines.by_name[chosen.id]
            await asyncio.sleep(_NO_ENGINE_PAUSE_SECONDS)

    def _fresh_enough(self, engine: Engine) -> bool:
        loaded = engine.version_of(self._workload.name)
        return loaded is not None and loaded >= self._oldest_allowed()

    def _order(self, attempt: Attempt) -> StreamOrder:
        slot = attempt.slot
        return StreamOrder(
            stream=attempt.stream,
            workload=self._workload.name,
            prompt=slot.prompt,
            max_tokens=min(slot.max_tokens, self._workload.spec.max_tokens),
            seed=slot.seed,
            priority=self._workload.spec.priority,
        )

    def _help_stragglers(self) -> None:
        progress = self._progress()
        for key in self._steps.policies.stragglers.second_attempts(progress):
            self._events.emit("second_attempt", step=self._name, slot=key)
            self._start_maker(self._slots_by_key[key])

    def _progress(self) -> StepProgress:
        running = [
            SlotProgress(
                key=key,
                attempts=max(len(rows), len(self._makers_by_key[key])),
                elapsed=clock.now() - rows[0].began_at,
            )
            for key, rows in self._attempts_by_key.items()
            if rows and key not in self._whole_by_key
        ]
        missing = len(self._slots_by_key) - len(self._whole_by_key)
        return StepProgress(
            total=self._total,
            whole=self._total - missing,
            waiting=missing - len(running),
            running=running,
            idle_slots=self._idle_slots(),
            durations=self._durations,
            spent=sum(self._durations) + sum(each.elapsed for each in running),
        )

    def _idle_slots(self) -> int:
        engines = self._engines.usable(self._workload.spec.pool)
        return sum(max(0, each.spec.slots - each.in_flight) for each in engines)


def _missing(request: StepRequest) -> dict[tuple[str, int], Slot]:
    """Return the slots that the trainer does not hold, by key."""
    received = {(group, index) for group, index in request.received}
    slots: dict[tuple[str, int], Slot] = {}
    for group in request.groups:
        for index in range(group.samples):
            if (group.group, index) in received:
                continue
            slots[group.group, index] = Slot(
                group.group, index, group.prompt, group.max_tokens, group.seed + index
            )
    return slots


class Steps(Service):
    """Holds the steps that run at this host."""

    name = "steps"
    requires = ("engines", "versions", "configuration")

    def __init__(
        self,
        settings: Settings,
        policy: RoutingPolicy,
        rng: random.Random,
        policies: StepPolicies | None = None,
    ) -> None:
        super().__init__()
        self.policy = policy
        self.policies = policies or StepPolicies()
        self.zone = settings.zone
        self.checkpoint_seconds = settings.timing.checkpoint
        self.view_limit = settings.timing.view_limit
        self._linger = settings.timing.stream_linger
        self._rng = rng
        self._runs: set[StepRun] = set()
        self._draining = False

    @property
    def in_flight(self) -> int:
        """How many steps run here."""
        return len(self._runs)

    def move_all(self) -> None:
        """Move every step to other hosts and take no new ones."""
        self._draining = True
        for run in self._runs:
            run.move()

    def check(self, workload: str) -> Resource:
        """Return the workload; :raises NotFoundError, NotReadyError:."""
        if self._draining:
            raise NotReadyError("the host is stopping", retry_after=0.2)
        configuration = self.kernel.get(Configuration)
        if not configuration.ready.is_set():
            raise NotReadyError("the host has no configuration yet", retry_after=1)
        resource = configuration.state.get("workloads", workload)
        if resource is None:
            raise NotFoundError(f"there is no workloads/{workload}")
        return resource

    async def run(
        self, workload: Resource, step: int, request: StepRequest, send: Send
    ) -> None:
        """Run one call for a step; its events go to ``send``."""
        run = StepRun(self, workload, step, request, send)
        self._runs.add(run)
        try:
            await run.run()
        finally:
            self._runs.discard(run)

    def cancel_now(self, attempts: list[Attempt]) -> None:
        """Stop streams that nobody needs."""
        for attempt in attempts:
            self.spawn(attempt.engine.client.cancel(attempt.stream))

    def cancel_later(self, step: str, began_ms: int, attempts: list[Attempt]) -> None:
        """Stop streams after a while, unless the step goes on elsewhere."""
        self.spawn(self._cancel_unless_taken(step, began_ms, attempts))

    async def _cancel_unless_taken(
        self, step: str, began_ms: int, attempts: list[Attempt]
    ) -> None:
        await asyncio.sleep(self._linger)
        fact = self.kernel.get(Membership).views.get(FactKind.STEP, step)
        if fact is not None and fact.incarnation > began_ms:
            return
        self.cancel_now(attempts)
