"""One call of a trainer's step: each sample is handed over once, with its group."""

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
from .stream_names import latest_start_ms
from .versions import Versions
from .views import Fact, FactKind

if TYPE_CHECKING:
    from .steps import Steps

SendEvent = Callable[[Any], Awaitable[None]]
_MAX_WAIT_SECONDS = 0.25
_MOVED_RETRY_AFTER_SECONDS = 0.2
_CHECKPOINT_PLACEMENTS_PER_SECOND = 128
_HEARTBEAT_SECONDS = 5.0
_FINAL_EVENT_TIMEOUT_SECONDS = 2.0
_SUBSET_SIZE_FACTOR = 1.5


class StepRun:
    """One call of a step at this host.

    A dispatcher generates the samples in a task of its own, so that a trainer that
    reads slowly delays only the writing of events.
    """

    def __init__(
        self,
        steps: Steps,
        workload: Resource,
        step: int,
        request: StepRequest,
        send: SendEvent,
        workspace: str | None = None,
    ) -> None:
        self._steps = steps
        self._kernel = steps.kernel
        self.workload = workload
        self._name = f"{workload.name}/{step}"
        self._request = request
        self._send_event = send
        self._events = self._kernel.get(Events)
        self._versions = self._kernel.get(Versions)
        self._started_ms = self._new_start_ms()
        self._deadline = clock.now() + request.deadline_seconds
        self._slots = StepSlots(request)
        self._dispatcher = Dispatcher(
            steps, workload, step, self._started_ms, workspace
        )
        self._move_requested = False
        self._withheld_groups: set[str] = set()
        self._checkpointed_streams: set[str] = set()
        self._checkpoint_due = 0.0
        self._heartbeat_due = clock.now() + _HEARTBEAT_SECONDS

    def _new_start_ms(self) -> int:
        """Return the start time of this run, in ms since 1970.

        It is later than that of every known run of the step, also where the clock
        is behind, because the latest run supersedes the others.
        """
        now_ms = int(clock.wall() * 1000)
        latest = latest_start_ms(self._request.checkpoint or [], now_ms)
        fact = self._kernel.get(Membership).views.get(FactKind.STEP, self._name)
        if fact is not None:
            latest = max(latest, fact.incarnation)
        return max(now_ms, latest + 1)

    def move(self) -> None:
        """Request that the trainer is told to call another host."""
        self._move_requested = True
        self._dispatcher.wake_run.set()

    async def run(self) -> None:
        """Run until the step is done, moved or failed.

        :raises ConnectionError: the trainer closed the connection or did not read.
        """
        self._events.emit("step_started", step=self._name, missing=self._slots.total)
        self._versions.learn(self.workload.name, self._request.version)
        self._kernel.get(Membership).learn(
            [Fact(FactKind.STEP, self._name, self._started_ms, 0)]
        )
        spec = self.workload.spec
        wanted_engines = spec.rate / spec.trainers * _SUBSET_SIZE_FACTOR
        with self._kernel.get(Engines).widen_subset(spec.pool, wanted_engines):
            self._dispatcher.add_slots(self._slots, self._request.checkpoint or [])
            task = asyncio.get_running_loop().create_task(self._dispatcher.run())
            try:
                await self._hand_over_until_done(task)
            except (ConnectionError, asyncio.CancelledError):
                self._events.emit("step_cut", step=self._name)
                raise
            finally:
                task.cancel()
                self._release_streams()

    def _release_streams(self) -> None:
        """Cancel the streams that were in flight.

        Streams of the trainer's last checkpoint are cancelled only after the linger
        time, because its next call may resume them. A deleted workload has no next
        call.
        """
        checkpointed, not_checkpointed = [], []
        state = self._kernel.get(Configuration).state
        declared = state.get("workloads", self.workload.name) is not None
        for attempt in self._dispatcher.stop():
            resumable = declared and attempt.stream in self._checkpointed_streams
            (checkpointed if resumable else not_checkpointed).append(attempt)
        self._steps.cancel_streams(not_checkpointed)
        if checkpointed:
            self._steps.cancel_after_linger(self._name, self._started_ms, checkpointed)

    async def _hand_over_until_done(self, dispatch: asyncio.Task[None]) -> None:
        while self._slots:
            if dispatch.done():
                dispatch.result()
            if self._move_requested or self._steps.should_move_steps(
                self.workload.spec.pool
            ):
                await self._send_moved()
                return
            error = self._check_failure()
            if error is not None:
                await self._send_failed(error)
                return
            await self._send_checkpoint()
            await self._hand_over_groups()
            await self._wait_for_progress()
        await self._send(DoneEvent())
        self._events.emit("step_done", step=self._name)

    async def _wait_for_progress(self) -> None:
        if not self._slots:
            return
        wake_run = self._dispatcher.wake_run
        try:
            async with asyncio.timeout(_MAX_WAIT_SECONDS):
                await wake_run.wait()
        except TimeoutError:
            return
        finally:
            wake_run.clear()

    def _check_failure(self) -> CranberryrunError | None:
        """Return why the step can't continue, or None; apply a changed workload."""
        if clock.now() > self._deadline:
            return StepDeadlineError("the deadline of the step passed")
        fact = self._kernel.get(Membership).views.get(FactKind.STEP, self._name)
        if fact is not None and fact.incarnation > self._started_ms:
            self._events.emit("step_superseded", step=self._name)
            return StepSupersededError("a later call of this step superseded this one")
        state = self._kernel.get(Configuration).state
        workload = state.get("workloads", self.workload.name)
        if workload is None:
            return WorkloadGoneError(f"workloads/{self.workload.name} was deleted")
        if workload is not self.workload:
            self.workload = workload
            self._dispatcher.update_workload(workload)
        return None

    async def _send(self, event: Any) -> None:
        """Write an event.

        :raises ConnectionResetError: the trainer did not read it by the deadline
            of the step, or within 2 s if that is later.
        """
        limit = max(self._deadline, clock.now() + _FINAL_EVENT_TIMEOUT_SECONDS)
        try:
            async with asyncio.timeout_at(limit):
                await self._send_event(event)
        except TimeoutError:
            raise ConnectionResetError(
                "the trainer did not read the event in time"
            ) from None

    async def _send_checkpoint(self) -> None:
        """Send the placements if they changed, or as a heartbeat.

        The interval grows with the number of placements, which bounds the rate at
        which they are sent.
        """
        now = clock.now()
        heartbeat = now >= self._heartbeat_due
        if now < self._checkpoint_due or not (
            self._dispatcher.placements_changed or heartbeat
        ):
            return
        self._dispatcher.placements_changed = False
        placements = self._dispatcher.placements()
        await self._send(CheckpointEvent(placements=placements))
        self._checkpointed_streams = {placement.stream for placement in placements}
        interval = len(placements) / _CHECKPOINT_PLACEMENTS_PER_SECOND
        self._checkpoint_due = now + max(self._steps.checkpoint_seconds, interval)
        self._heartbeat_due = now + max(_HEARTBEAT_SECONDS, interval)

    async def _send_moved(self) -> None:
        self._events.emit("step_moved", step=self._name)
        placements = self._dispatcher.final_placements()
        await self._send(
            MovedEvent(placements=placements, retry_after=_MOVED_RETRY_AFTER_SECONDS)
        )
        self._checkpointed_streams = {placement.stream for placement in placements}

    async def _send_failed(self, error: CranberryrunError) -> None:
        self._events.emit(
            "step_failed", step=self._name, error=error.code, detail=error.detail
        )
        placements = self._dispatcher.final_placements()
        self._checkpointed_streams = {placement.stream for placement in placements}
        await self._send(FailedEvent(problem=error.problem(), placements=placements))

    async def _hand_over_groups(self) -> None:
        for group in self._slots.complete_groups():
            if self._move_requested or clock.now() > self._deadline:
                return
            await self._hand_over(group)

    async def _hand_over(self, group: str) -> None:
        """Hand over a complete group, checking its freshness right before the write."""
        if self._versions.view_age() > self._steps.view_limit:
            # This host may not know of a newer version, so it can't tell whether the
            # samples are fresh. The step moves if this lasts; see should_move_steps.
            if group not in self._withheld_groups:
                self._withheld_groups.add(group)
                self._events.emit("hand_over_held", step=self._name, group=group)
            return
        if not self._discard_stale(group):
            return
        samples = self._slots.take_group(group)
        self._dispatcher.placements_changed = True
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
            oldest=min(span.version for sample in samples for span in sample.versions),
        )

    def _discard_stale(self, group: str) -> bool:
        """Discard the stale samples of a group; return whether there were none."""
        complete = True
        for key, sample in self._slots.group_samples(group):
            if self._dispatcher.is_stale(sample):
                self._dispatcher.regenerate(key)
                complete = False
        return complete
