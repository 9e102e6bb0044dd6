"""Runs the items of all open batches while this host holds the lease."""

from __future__ import annotations

import asyncio

from .. import clock
from ..events import Events
from ..exceptions import CranberryrunError, LogReadError
from ..fleet.directory import Directory
from ..fleet.engine_pool import Engine, EnginePool
from ..fleet.lease import Lease
from ..fleet.send_permits import SendPermits
from ..kernel import Service
from .continuation import outputs_to_restart
from .dispatch import ScheduledItem
from .item_run import Outcome, cancel_run, run_item
from .keeper import Keeper
from .log import BatchLog
from .models import Result
from .mover import Mover
from .recovery import Recovery
from .results import ResultWriter
from .scheduled_items import ScheduledItems
from .scheduler import Scheduler
from .scoring import Scoring

_TICK_SECONDS = 0.1
_RETRY_DELAY_SECONDS = 0.1
# Several runs that end within this time are handled by one scheduling decision.
_MIN_CYCLE_PAUSE_SECONDS = 0.01
# The next holder resumes runs from progress that is at most this old.
_RECORD_INTERVAL_SECONDS = 0.4


class Runner(Service):
    """Starts items as :func:`~.dispatch.plan_starts` decides; collects their results.

    A former holder that does not know yet that it lost the lease does no harm: only
    the first result of an item counts, whichever host wrote it.

    :param engines_crash_when_full: whether an engine crashes when its runs exceed its
        memory.
    """

    name = "runner"
    requires = (
        "events",
        "lease",
        "directory",
        "engine_pool",
        "batch_log",
        "loads",
        "metrics",
        "result_writer",
        "reward_caller",
        "send_permits",
        "target_client",
    )

    def __init__(self, engines_crash_when_full: bool = False) -> None:
        super().__init__()
        self._engines_crash_when_full = engines_crash_when_full
        self._scheduler: Scheduler
        self._scheduled_items: ScheduledItems
        self._mover: Mover
        self._scoring: Scoring
        self._recovery: Recovery
        self._next_record_at = 0.0
        self._record_task: asyncio.Task[None] | None = None
        self._wake = asyncio.Event()
        self._stopping = False
        self._load_task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Run open batches whenever this host holds the lease."""
        self._scheduled_items = ScheduledItems(
            self.kernel, self.kernel.get(BatchLog), self._stop_run, self._finish
        )
        self._scheduler = Scheduler(self.kernel, self._engines_crash_when_full)
        self._mover = Mover(
            self.kernel, self._scheduler, self._scheduled_items, self._move_run
        )
        self._recovery = Recovery(self.kernel, self.spawn, self._mover.restore_speeds)
        self._scoring = Scoring(self.kernel, self.spawn, self._finish, self._wake.set)
        self.kernel.get(Lease).observers.append(self._on_lease_change)
        self.kernel.get(EnginePool).observers.append(self._wake.set)
        self.supervise(self._follow_lease)
        self.supervise(Keeper(self.kernel).run)

    def _on_lease_change(self) -> None:
        self.kernel.get(Directory).follow_closely = self.kernel.get(Lease).assigned
        self._wake.set()

    async def hand_over(self, deadline: float) -> None:
        """Record the progress of all runs, release the lease and stop the runs.

        While the store fails, the runs continue and the attempt is repeated.

        :param deadline: when to stop trying, in loop seconds.
        """
        lease = self.kernel.get(Lease)
        while lease.assigned and clock.now() < deadline:
            if await self._record_all() and await self._release(lease):
                break
            await asyncio.sleep(_RETRY_DELAY_SECONDS)
        # Releasing also keeps a host that does not hold the lease from acquiring it.
        await self._release(lease)
        self._stopping = True
        await self._stop_all()

    async def step_down(self) -> None:
        """Record the progress of all runs, then leave the lease to another host."""
        if not await self._record_all():
            return
        try:
            await self.kernel.get(Lease).step_down()
        except CranberryrunError as error:
            self.kernel.get(Events).emit("lease_kept", reason=error.detail)

    async def _record_all(self) -> bool:
        writer = self.kernel.get(ResultWriter)
        return await writer.record_progress(
            list(self._scheduled_items), min_new_pieces=1
        )

    async def _release(self, lease: Lease) -> bool:
        try:
            await lease.release()
        except CranberryrunError as error:
            self.kernel.get(Events).emit("lease_kept", reason=error.detail)
        return not lease.assigned

    async def _follow_lease(self) -> None:
        lease = self.kernel.get(Lease)
        log = self.kernel.get(BatchLog)
        while True:
            await self._pause(_TICK_SECONDS)
            if not lease.assigned or self._stopping:
                continue
            async with log.index.following():
                await self._run_as_holder(lease, log)
            if not self._stopping:
                # The next holder resumes these items from their recorded progress.
                await self._stop_all()
                self._scheduled_items.clear()
                self._scheduler.reset()
                self._mover.reset()

    async def _run_as_holder(self, lease: Lease, log: BatchLog) -> None:
        # Recovery may take seconds, in which batches are ended.
        tasks = [self.spawn(self._run_with_restarts(log.follow_spare_index))]
        try:
            await self._recovery.run(lambda: lease.assigned and not self._stopping)
            log.table.index_current = True
            tasks.append(self.spawn(self._wake_on_change(log)))
            tasks.append(self.spawn(self._mover.follow_slow_spans()))
            while lease.assigned and not self._stopping:
                self._load_opened(log)
                self._scheduled_items.update()
                self._stop_excess_runs()
                self._dispatch()
                self._scoring.start_calls(self._scheduled_items.in_open_batches())
                self._mover.check()
                self._record_progress()
                await asyncio.sleep(_MIN_CYCLE_PAUSE_SECONDS)
                await self._pause(_TICK_SECONDS)
        finally:
            log.table.index_current = False
            for task in tasks:
                task.cancel()

    def _load_opened(self, log: BatchLog) -> None:
        """Read the topics of open batches that the table does not have yet."""
        if self._load_task is not None and not self._load_task.done():
            return
        missing = log.table.unread_batches()
        if missing:
            self._load_task = self.spawn(self._load(log, missing))

    async def _load(self, log: BatchLog, batch_ids: list[str]) -> None:
        try:
            await log.load(batch_ids)
        except LogReadError:
            # The directory logs outages of the store.
            await asyncio.sleep(_RETRY_DELAY_SECONDS)
        self._wake.set()

    async def _wake_on_change(self, log: BatchLog) -> None:
        while True:
            if await log.index.wait_for_records(clock.now() + 1.0):
                self._wake.set()

    async def _pause(self, seconds: float) -> None:
        try:
            async with asyncio.timeout(seconds):
                await self._wake.wait()
        except TimeoutError:
            return
        self._wake.clear()

    def _dispatch(self) -> None:
        scheduled_items = self._scheduled_items.startable()
        pool = self.kernel.get(EnginePool)
        pool.waiting_items = waiting = sum(each.waiting for each in scheduled_items)
        if not waiting:
            self._scheduler.record_idle()
            return
        services = frozenset().union(*(each.services for each in scheduled_items))
        engines = pool.engines_of(services)
        self._restart_outputs(scheduled_items, engines)
        items = self._scheduled_items
        for start in self._scheduler.plan(items, scheduled_items, engines):
            self._start_run(start.scheduled, start.engine)
            pool.waiting_items -= 1

    def _stop_excess_runs(self) -> None:
        """Stop the runs without which no engine exceeds its memory."""
        for scheduled in self._scheduler.runs_to_stop(self._scheduled_items):
            self._stop_run(scheduled)

    def _restart_outputs(
        self, scheduled_items: list[ScheduledItem], engines: list[Engine]
    ) -> None:
        for scheduled in outputs_to_restart(scheduled_items, engines, clock.now()):
            assert scheduled.origin is not None
            self.kernel.get(Events).emit(
                "output_discarded",
                sample=scheduled.item.id,
                step=scheduled.state.batch.id,
                software=scheduled.origin.software,
                version=scheduled.kept_version,
                pieces=len(scheduled.pieces),
            )
            scheduled.discard_output()

    def _start_run(self, scheduled: ScheduledItem, engine: Engine) -> None:
        if not self.kernel.get(SendPermits).take(engine.id):
            return
        scheduled.engine = engine
        scheduled.run_version = engine.version(scheduled.state.batch.model) or 0
        scheduled.started_at = clock.now()
        scheduled.answered = False
        self._scheduler.record_start(scheduled)
        self._mover.record_start()
        engine.in_flight += 1
        scheduled.task = self.spawn(self._run(scheduled, engine))

    def _move_run(
        self,
        scheduled: ScheduledItem,
        engine: Engine,
        saved_seconds: float,
        reason: str,
    ) -> None:
        assert scheduled.engine is not None
        self._emit(
            "item_moved",
            scheduled,
            scheduled.engine,
            to=engine.id,
            saves=round(saved_seconds, 2),
            reason=reason,
        )
        self._stop_run(scheduled)
        self._start_run(scheduled, engine)

    def _record_progress(self) -> None:
        """Record the progress of all runs once per recording interval."""
        if clock.now() < self._next_record_at or self._record_task is not None:
            return
        self._next_record_at = clock.now() + _RECORD_INTERVAL_SECONDS
        writer = self.kernel.get(ResultWriter)
        self._record_task = self.spawn(
            writer.record_progress(list(self._scheduled_items))
        )
        self._record_task.add_done_callback(self._clear_record_task)

    def _clear_record_task(self, _: asyncio.Task[None]) -> None:
        self._record_task = None

    def _stop_run(self, scheduled: ScheduledItem) -> None:
        if scheduled.task is not None:
            self._scheduler.record_stop(scheduled)
            cancel_run(scheduled.task)
            scheduled.task = None

    async def _stop_all(self) -> None:
        tasks = [
            scheduled.task
            for scheduled in self._scheduled_items
            if scheduled.task is not None
        ]
        for scheduled in self._scheduled_items:
            self._stop_run(scheduled)
        if tasks:
            await asyncio.wait(tasks)

    async def _run(self, scheduled: ScheduledItem, engine: Engine) -> None:
        own_task = asyncio.current_task()
        started_at = clock.now()
        pieces_before = len(scheduled.pieces)
        outcome = Outcome("cancelled")
        engine.speed.record_start(started_at)
        try:
            if scheduled.task is own_task:
                outcome = await run_item(self.kernel, scheduled, engine)
            if outcome.result is not None:
                self._end_output(scheduled, outcome.result, outcome.reason)
        finally:
            engine.in_flight -= 1
            engine.speed.record_end()
            if scheduled.task is own_task:
                scheduled.task = None
            if scheduled.task is None:
                scheduled.engine = None
            self._emit(
                "item_run",
                scheduled,
                engine,
                had=pieces_before,
                pieces=len(scheduled.pieces),
                seconds=round(clock.now() - started_at, 3),
                outcome=outcome.reason,
            )
            self._wake.set()

    def _end_output(
        self, scheduled: ScheduledItem, result: Result, reason: str
    ) -> None:
        if result.succeeded and scheduled.item.reward is not None:
            scheduled.unscored = result
        else:
            self._finish(scheduled, result, reason)

    def _finish(self, scheduled: ScheduledItem, result: Result, reason: str) -> None:
        if scheduled.finished:
            return
        scheduled.result = result
        self.kernel.get(ResultWriter).add(scheduled.state.batch.id, result)
        self.kernel.get(Events).emit(
            "item_finished",
            sample=scheduled.item.id,
            step=scheduled.state.batch.id,
            succeeded=result.succeeded,
            versions=list(result.versions),
            reason=reason,
        )

    def _emit(
        self, name: str, scheduled: ScheduledItem, engine: Engine, **fields: object
    ) -> None:
        batch = scheduled.state.batch
        self.kernel.get(Events).emit(
            name,
            sample=scheduled.item.id,
            step=batch.id,
            engine=engine.id,
            software=engine.target.software,
            version=engine.version(batch.model),
            **fields,
        )
