"""One call of a trainer's step: whole groups handed over, each sample once."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING, Any

from . import clock
from .configuration import Configuration
from .dispatch import Dispatcher
from .engines import Engines
from .events import Events
from .exceptions import (
    CranberryrunError,
    StepDeadlineError,
    StepSupersededError,
    WorkloadGoneError,
)
from .membership import Membership
from .models import (
    CheckpointEvent,
    DoneEvent,
    FailedEvent,
    GroupEvent,
    MovedEvent,
    StepRequest,
)
from .slots import StepSlots
from .state import Resource
from .streams import latest_run
from .versions import Versions
from .views import Fact, FactKind

if TYPE_CHECKING:
    from .steps import Steps

Send = Callable[[Any], Awaitable[None]]
_TICK_SECONDS = 0.25
_MOVED_RETRY_SECONDS = 0.2
_CHECKPOINT_ROWS_PER_SECOND = 128
_HEARTBEAT_SECONDS = 5.0
_LAST_WORD_SECONDS = 2.0
_RESERVE_FACTOR = 1.5


class StepRun:
    """One step at this host, for one call of its trainer.

    A dispatcher makes the samples in a task of its own, so a trainer that reads
    slowly holds up nothing but the writing.
    """

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
        self.workload = workload
        self._name = f"{workload.name}/{step}"
        self._request = request
        self._write = send
        self._events = self._kernel.get(Events)
        self._versions = self._kernel.get(Versions)
        self._began_ms = self._begin_ms()
        self._deadline = clock.now() + request.deadline_seconds
        self._slots = StepSlots(request)
        self._dispatcher = Dispatcher(steps, workload, step, self._began_ms)
        self._moving = False
        self._held_groups: set[str] = set()
        self._told_streams: set[str] = set()
        self._checkpoint_due = 0.0
        self._heartbeat_due = clock.now() + _HEARTBEAT_SECONDS

    def _begin_ms(self) -> int:
        """Return a start time, in ms, above that of any run known of this step."""
        now_ms = int(clock.wall() * 1000)
        latest = latest_run(self._request.checkpoint or [], now_ms)
        fact = self._kernel.get(Membership).views.get(FactKind.STEP, self._name)
        if fact is not None:
            latest = max(latest, fact.incarnation)
        return max(now_ms, latest + 1)

    def move(self) -> None:
        """Tell the trainer to call another host."""
        self._moving = True
        self._dispatcher.news.set()

    async def run(self) -> None:
        """Run until the step is done, moved or failed."""
        self._events.emit("step_started", step=self._name, missing=self._slots.total)
        self._versions.learn(self.workload.name, self._request.version)
        self._kernel.get(Membership).learn(
            [Fact(FactKind.STEP, self._name, self._began_ms, 0)]
        )
        spec = self.workload.spec
        wanted = spec.rate / spec.trainers * _RESERVE_FACTOR
        with self._kernel.get(Engines).widen_subset(spec.pool, wanted):
            self._dispatcher.begin(self._slots, self._request.checkpoint or [])
            task = asyncio.get_running_loop().create_task(self._dispatcher.run())
            try:
                await self._hand_over_all(task)
            except (ConnectionError, asyncio.CancelledError):
                self._events.emit("step_cut", step=self._name)
                raise
            finally:
                task.cancel()
                self._end()

    def _end(self) -> None:
        """Leave the streams that the trainer knows of for the next call."""
        told, untold = [], []
        state = self._kernel.get(Configuration).state
        declared = state.get("workloads", self.workload.name) is not None
        for attempt in self._dispatcher.stop():
            known = declared and attempt.stream in self._told_streams
            (told if known else untold).append(attempt)
        self._steps.cancel_now(untold)
        if told:
            self._steps.cancel_later(self._name, self._began_ms, told)

    async def _hand_over_all(self, dispatch: asyncio.Task[None]) -> None:
        while self._slots:
            if dispatch.done():
                dispatch.result()
            if self._moving or self._steps.out_of_touch():
                await self._send_moved()
                return
            error = self._failure()
            if error is not None:
                await self._send_failed(error)
                return
            await self._send_checkpoint()
            await self._hand_over_groups()
            await self._wait()
        await self._send(DoneEvent())
        self._events.emit("step_done", step=self._name)

    async def _wait(self) -> None:
        if not self._slots:
            return
        news = self._dispatcher.news
        try:
            async with asyncio.timeout(_TICK_SECONDS):
                await news.wait()
        except TimeoutError:
            return
        finally:
            news.clear()

    def _failure(self) -> CranberryrunError | None:
        """Return why the step can't go on, if so; take a changed workload in."""
        if clock.now() > self._deadline:
            return StepDeadlineError("the step's deadline passed")
        fact = self._kernel.get(Membership).views.get(FactKind.STEP, self._name)
        if fact is not None and fact.incarnation > self._began_ms:
            self._events.emit("step_superseded", step=self._name)
            return StepSupersededError("another host runs this step for a later call")
        state = self._kernel.get(Configuration).state
        workload = state.get("workloads", self.workload.name)
        if workload is None:
            return WorkloadGoneError(f"workloads/{self.workload.name} was deleted")
        if workload is not self.workload:
            self.workload = workload
            self._dispatcher.change(workload)
        return None

    async def _send(self, event: Any) -> None:
        """Write an event; a trainer that takes none by the deadline is gone."""
        limit = max(self._deadline, clock.now() + _LAST_WORD_SECONDS)
        try:
            async with asyncio.timeout_at(limit):
                await self._write(event)
        except TimeoutError:
            raise ConnectionResetError("the trainer does not read") from None

    async def _send_checkpoint(self) -> None:
        """Say where the samples are made, if that is news, at a bounded rate."""
        now = clock.now()
        beat = now >= self._heartbeat_due
        if now < self._checkpoint_due or not (self._dispatcher.changed or beat):
            return
        self._dispatcher.changed = False
        placements = self._dispatcher.placements()
        await self._send(CheckpointEvent(placements=placements))
        self._told_streams = {each.stream for each in placements}
        pause = len(placements) / _CHECKPOINT_ROWS_PER_SECOND
        self._checkpoint_due = now + max(self._steps.checkpoint_seconds, pause)
        self._heartbeat_due = now + max(_HEARTBEAT_SECONDS, pause)

    async def _send_moved(self) -> None:
        self._events.emit("step_moved", step=self._name)
        placements = self._dispatcher.last_placements()
        await self._send(
            MovedEvent(placements=placements, retry_after=_MOVED_RETRY_SECONDS)
        )
        self._told_streams = {each.stream for each in placements}

    async def _send_failed(self, error: CranberryrunError) -> None:
        self._events.emit(
            "step_failed", step=self._name, error=error.code, detail=error.detail
        )
        placements = self._dispatcher.last_placements()
        self._told_streams = {each.stream for each in placements}
        await self._send(FailedEvent(problem=error.problem(), placements=placements))

    async def _hand_over_groups(self) -> None:
        for group in self._slots.ready():
            if self._moving or clock.now() > self._deadline:
                return
            await self._hand_over(group)

    async def _hand_over(self, group: str) -> None:
        """Hand a whole group over; its age is judged right before the writing."""
        if self._versions.view_age() > self._steps.view_limit:
            # Another host may hear what this one does not; see out_of_touch.
            if group not in self._held_groups:
                self._held_groups.add(group)
                self._events.emit("hand_over_held", step=self._name, group=group)
            return
        if not self._drop_stale(group):
            return
        samples = self._slots.take(group)
        self._dispatcher.changed = True
        newest = self._versions.newest(self.workload.name)
        await self._send(
            GroupEvent(group=group, newest_version=newest, samples=samples)
        )
        self._events.emit(
            "group_handed",
            step=self._name,
            group=group,
            samples=len(samples),
            newest=newest,
            oldest=min(span.version for each in samples for span in each.versions),
        )

    def _drop_stale(self, group: str) -> bool:
        """Drop samples that are too old; say whether the group is still whole."""
        whole = True
        for key, each in self._slots.of_group(group):
            if self._dispatcher.is_stale(each):
                self._dispatcher.make_again(key)
                whole = False
        return whole
