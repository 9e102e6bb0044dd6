"""Runs the items of all open batches while this host holds the lease."""

from __future__ import annotations

import asyncio

from .. import clock
from ..events import Events
from ..exceptions import CranberryrunError, LogReadError
from ..fleet.engine_pool import Engine, EnginePool
from ..fleet.lease import Lease
from ..kernel import Service
from .dispatch import Work, better_engine, fastest_gap, plan
from .item_run import Outcome, run_item
from .log import BatchLog
from .models import Result
from .results import ResultWriter
from .works import Works

_TICK_SECONDS = 0.1
_RETRY_SECONDS = 0.1
# Runs that end within this time of each other are followed by one decision.
_LEAST_PAUSE_SECONDS = 0.01
# Batches that were submitted this long ago may be open, or be carried over from.
_RECALL_SECONDS = 60.0
# The next holder resumes runs from what was recorded at most this long ago.
_RECORD_SECONDS = 0.4
# A run stays where it began for this long, so that its engine shows its speed.
_SETTLE_SECONDS = 1.0
# Moving a run pays if it saves more than this, in seconds.
_WORTH_MOVING_SECONDS = 0.4
# Engines' speeds are means over events of some tenths of a second.
_MOVE_SECONDS = 0.2


class Runner(Service):
    """Starts items where :func:`~.dispatch.plan` says and collects their results.

    A holder that was replaced without knowing does harm to nobody: the first result
    of an item counts, whoever wrote it.
    """

    name = "runner"
    requires = (
        "events",
        "lease",
        "directory",
        "engine_pool",
        "batch_log",
        "loads",
        "result_writer",
        "target_client",
    )

    def __init__(self) -> None:
        super().__init__()
        self._works: Works
        self._record_at = 0.0
        self._move_at = 0.0
        self._recording: asyncio.Task[None] | None = None
        self._wake = asyncio.Event()
        self._stopping = False
        self._loading: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Begin to run batches whenever the lease is held."""
        table = self.kernel.get(BatchLog).table
        self._works = Works(self.kernel, table, self._stop_run, self._finish)
        self.kernel.get(Lease).observers.append(self._wake.set)
        self.kernel.get(EnginePool).observers.append(self._wake.set)
        self.supervise(self._serve)

    async def hand_over(self, deadline: float) -> None:
        """Record how far the runs came and give the lease up, for the next holder.

        While the store can't take that, the runs go on, until ``deadline`` at most.
        """
        lease = self.kernel.get(Lease)
        writer = self.kernel.get(ResultWriter)
        while lease.assigned and clock.now() < deadline:
            if await writer.record(list(self._works), least=1) and await self._release(
                lease
            ):
                break
            await asyncio.sleep(_RETRY_SECONDS)
        # A host that does not hold the lease must not take it any more either.
        await self._release(lease)
        self._stopping = True
        await self._stop_all()

    async def _release(self, lease: Lease) -> bool:
        try:
            await lease.release()
        except CranberryrunError as error:
            self.kernel.get(Events).emit("lease_kept", reason=error.detail)
        return not lease.assigned

    async def _serve(self) -> None:
        lease = self.kernel.get(Lease)
        log = self.kernel.get(BatchLog)
        while True:
            await self._pause(_TICK_SECONDS)
            if not lease.assigned or self._stopping:
                continue
            async with log.index.following():
                await self._hold(lease, log)
            if not self._stopping:
                # The next holder has what was recorded.
                await self._stop_all()
                self._works.clear()

    async def _hold(self, lease: Lease, log: BatchLog) -> None:
        await self._recall(lease, log)
        follow = self.spawn(self._wake_on_change(log))
        try:
            while lease.assigned and not self._stopping:
                self._load_opened(log)
                self._works.follow()
                self._dispatch()
                self._move_from_slow()
                self._record_progress()
                await asyncio.sleep(_LEAST_PAUSE_SECONDS)
                await self._pause(_TICK_SECONDS)
        finally:
            follow.cancel()

    async def _recall(self, lease: Lease, log: BatchLog) -> None:
        """Read what the holder before had to do and how far it came."""
        began = clock.now()
        while lease.assigned and not self._stopping:
            try:
                await log.index.catch_up()
                recent = log.table.opened_since(clock.wall() - _RECALL_SECONDS)
                wanted = [each for each in recent if not log.table.ended(each)]
                await log.progress.catch_up()
                await log.load(wanted)
            except LogReadError:
                # What was read stays read; the directory logs outages of the store.
                await asyncio.sleep(_RETRY_SECONDS)
                continue
            self.kernel.get(Events).emit(
                "batches_recalled",
                batches=len(recent),
                open=len(wanted),
                seconds=round(clock.now() - began, 3),
            )
            self.spawn(self._recall_ended(log, recent))
            return

    async def _recall_ended(self, log: BatchLog, batch_ids: list[str]) -> None:
        """Read ended batches too, as their groups may come again; newest first."""
        for batch_id in reversed(batch_ids):
            try:
                await log.load([batch_id])
            except LogReadError:
                # Without them, carried groups are made anew.
                return

    def _load_opened(self, log: BatchLog) -> None:
        """Read batches that the index names and that are not known yet."""
        if self._loading is not None and not self._loading.done():
            return
        missing = log.table.unknown()
        if missing:
            self._loading = self.spawn(self._load(log, missing))

    async def _load(self, log: BatchLog, batch_ids: list[str]) -> None:
        try:
            await log.load(batch_ids)
        except LogReadError:
            # The directory notices and logs outages of the store.
            await asyncio.sleep(_RETRY_SECONDS)
        self._wake.set()

    async def _wake_on_change(self, log: BatchLog) -> None:
        while True:
            if await log.index.changed(clock.now() + 1.0):
                self._wake.set()

    async def _pause(self, seconds: float) -> None:
        try:
            async with asyncio.timeout(seconds):
                await self._wake.wait()
        except TimeoutError:
            return
        self._wake.clear()

    def _dispatch(self) -> None:
        works = self._works.open()
        if not any(work.waiting for work in works):
            return
        services = frozenset().union(*(work.services for work in works))
        engines = self.kernel.get(EnginePool).usable(services)
        for start in plan(works, engines, clock.wall()):
            self._begin(start.work, start.engine)

    def _begin(self, work: Work, engine: Engine) -> None:
        work.engine = engine
        work.run_version = engine.version(work.state.batch.model) or 0
        work.settled_at = clock.now() + _SETTLE_SECONDS
        engine.in_flight += 1
        work.task = self.spawn(self._run(work, engine))

    def _move_from_slow(self) -> None:
        """Let runs go on at an engine that ends them much sooner."""
        if clock.now() < self._move_at:
            return
        self._move_at = clock.now() + _MOVE_SECONDS
        engines = list(self.kernel.get(EnginePool).engine_by_id.values())
        fastest = fastest_gap(engines)
        roomy = [engine for engine in engines if engine.free_slots() > 0]
        works = [
            work
            for work in self._works.open()
            if work.engine is not None and not work.finished
        ]
        works.sort(key=Work.remaining_events, reverse=True)
        for work in works:
            if clock.now() < work.settled_at:
                continue
            found = better_engine(work, roomy, fastest)
            if found is None or found[1] < _WORTH_MOVING_SECONDS:
                continue
            self._move(work, *found)

    def _move(self, work: Work, engine: Engine, saved: float) -> None:
        assert work.engine is not None
        self._emit("item_moved", work, work.engine, to=engine.id, saves=round(saved, 2))
        self._stop_run(work)
        self._begin(work, engine)

    def _record_progress(self) -> None:
        """Record from time to time how far the runs came."""
        if clock.now() < self._record_at or self._recording is not None:
            return
        self._record_at = clock.now() + _RECORD_SECONDS
        writer = self.kernel.get(ResultWriter)
        self._recording = self.spawn(writer.record(list(self._works)))
        self._recording.add_done_callback(self._recorded)

    def _recorded(self, task: asyncio.Task[None]) -> None:
        self._recording = None

    def _stop_run(self, work: Work) -> None:
        if work.task is not None:
            work.task.cancel()
            work.task = None

    async def _stop_all(self) -> None:
        tasks = [work.task for work in self._works if work.task is not None]
        for work in self._works:
            self._stop_run(work)
        if tasks:
            await asyncio.wait(tasks)

    async def _run(self, work: Work, engine: Engine) -> None:
        me = asyncio.current_task()
        began = clock.now()
        had = len(work.pieces)
        outcome = Outcome("cancelled")
        try:
            outcome = await run_item(self.kernel, work, engine)
            if outcome.result is not None:
                self._finish(work, outcome.result, outcome.reason)
        finally:
            engine.in_flight -= 1
            if work.task is me:
                work.task = None
            if work.task is None:
                work.engine = None
            self._emit(
                "item_run",
                work,
                engine,
                had=had,
                pieces=len(work.pieces),
                seconds=round(clock.now() - began, 3),
                outcome=outcome.reason,
            )
            self._wake.set()

    def _finish(self, work: Work, result: Result, reason: str) -> None:
        if work.finished:
            return
        work.result = result
        self.kernel.get(ResultWriter).add(work.state.batch.id, result)
        self.kernel.get(Events).emit(
            "item_finished",
            sample=work.item.id,
            step=work.state.batch.id,
            succeeded=result.succeeded,
            versions=list(result.versions),
            reason=reason,
        )

    def _emit(self, name: str, work: Work, engine: Engine, **fields: object) -> None:
        batch = work.state.batch
        self.kernel.get(Events).emit(
            name,
            sample=work.item.id,
            step=batch.id,
            engine=engine.id,
            version=engine.version(batch.model),
            **fields,
        )
