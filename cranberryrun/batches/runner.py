"""Runs the items of all open batches while this host holds the lease."""

from __future__ import annotations

import asyncio

from .. import clock
from ..events import Events
from ..exceptions import CranberryrunError, LogReadError
from ..fleet.directory import Directory
from ..fleet.engine_pool import Engine, EnginePool
from ..fleet.lease import Lease
from ..fleet.loads import Loads
from ..fleet.manifest import Route
from ..kernel import Service
from .dispatch import (
    Work,
    better_engine,
    fastest_gap,
    plan,
    usable_pieces,
)
from .item_run import Outcome, run_item
from .log import BatchLog
from .models import BatchState, Item, Result
from .results import ResultWriter

_TICK_SECONDS = 0.1
_RETRY_SECONDS = 0.1
# Runs of an ended batch go on this long, as their groups may come again.
_CARRY_SECONDS = 2.5
# The next holder resumes runs from what was recorded at most this long ago.
_RECORD_SECONDS = 0.4
# A run stays where it began for this long, so that its engine shows its speed.
_SETTLE_SECONDS = 1.0
# Moving a run pays if it saves more than this, in seconds.
_WORTH_MOVING_SECONDS = 0.4


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
        self._work_by_item: dict[str, Work] = {}
        self._task_by_item: dict[str, asyncio.Task[None]] = {}
        self._ended_at_by_batch: dict[str, float] = {}
        self._record_at = 0.0
        self._recording: asyncio.Task[None] | None = None
        self._wake = asyncio.Event()
        self._stopping = False

    async def start(self) -> None:
        """Begin to run batches whenever the lease is held."""
        self.kernel.get(Lease).observers.append(self._wake.set)
        self.kernel.get(EnginePool).observers.append(self._wake.set)
        self.supervise(self._serve)

    @property
    def running(self) -> int:
        """How many items run now."""
        return len(self._task_by_item)

    async def hand_over(self, deadline: float) -> None:
        """Record how far the runs came and give the lease up, for the next holder.

        While the store can't take that, the runs go on, until ``deadline`` at most.
        """
        lease = self.kernel.get(Lease)
        writer = self.kernel.get(ResultWriter)
        while lease.assigned and clock.now() < deadline:
            works = list(self._work_by_item.values())
            if await writer.record(works, least=1) and await self._release(lease):
                break
            await asyncio.sleep(_RETRY_SECONDS)
        # A host that does not hold the lease must not take it any more either.
        await self._release(lease)
        self._stopping = True
        await self._cancel(list(self._task_by_item))

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
            async with log.following():
                await self._hold(lease, log)
            if not self._stopping:
                await self._drop_all()

    async def _drop_all(self) -> None:
        """Leave the items to the next holder; it has what was recorded."""
        await self._cancel(list(self._task_by_item))
        self._work_by_item.clear()

    async def _hold(self, lease: Lease, log: BatchLog) -> None:
        while lease.assigned:
            try:
                await log.catch_up()
                break
            except LogReadError:
                await asyncio.sleep(_RETRY_SECONDS)
        follow = self.spawn(self._wake_on_change(log))
        try:
            while lease.assigned and not self._stopping:
                self._follow_table(log)
                self._dispatch()
                self._move_from_slow()
                self._record_progress()
                await self._pause(_TICK_SECONDS)
        finally:
            follow.cancel()

    async def _wake_on_change(self, log: BatchLog) -> None:
        while True:
            if await log.changed(clock.now() + 1.0):
                self._wake.set()

    async def _pause(self, seconds: float) -> None:
        try:
            async with asyncio.timeout(seconds):
                await self._wake.wait()
        except TimeoutError:
            return
        self._wake.clear()

    def _follow_table(self, log: BatchLog) -> None:
        """Take up the items of open batches; drop what nobody waits for."""
        directory = self.kernel.get(Directory)
        needed: dict[str, int] = {}
        for state in log.table.open_states():
            batch = state.batch
            route = directory.route_for(batch.host, batch.items[0].path)
            if route is None:
                continue
            needed[batch.model] = max(needed.get(batch.model, 0), batch.min_version)
            for item in batch.items:
                if item.id not in state.result_by_item:
                    self._take_up(log, state, item, route)
        self.kernel.get(Loads).needed_version_by_model = needed
        for item_id, work in list(self._work_by_item.items()):
            self._drop_if_done(item_id, work)

    def _take_up(
        self, log: BatchLog, state: BatchState, item: Item, route: Route
    ) -> None:
        batch = state.batch
        work = self._work_by_item.get(item.id)
        if work is None:
            work = Work(item, state, frozenset(), 0.0, 0.0)
            work.pieces = list(log.table.pieces_by_item.get(item.id, ()))
            work.recorded = len(work.pieces)
            self._work_by_item[item.id] = work
        elif work.state is not state:
            work.state = state
            work.finished = False
            work.recorded = 0
        elif work.services:
            self._give_up_if_old(work, route)
            return
        manifest = self.kernel.get(Directory).manifest
        assert manifest is not None
        work.services = frozenset(backend.service for backend in route.backends)
        work.due = batch.submitted_at + route.run_limit
        tokens = max(
            manifest.tokens_per_event_by_service.get(name, 1.0)
            for name in work.services
        )
        work.expected_events = item.expected_tokens / tokens
        work.carried = log.table.carried(batch, item)
        too_old = work.engine is not None and work.run_version < batch.min_version
        if too_old or not usable_pieces(work.pieces, batch.min_version):
            work.pieces = []
            work.recorded = 0
            self._stop_run(item.id)
        earlier = log.table.earlier_result(item)
        if earlier is not None and min(earlier.versions) >= batch.min_version:
            self._stop_run(item.id)
            self._finish(work, earlier, "its earlier text fits")

    def _give_up_if_old(self, work: Work, route: Route) -> None:
        age = clock.wall() - work.state.batch.submitted_at
        if route.keep_limit and age > route.keep_limit and not work.finished:
            self._stop_run(work.item.id)
            self._finish(work, Result(work.item.id, False), "it is too old")

    def _drop_if_done(self, item_id: str, work: Work) -> None:
        batch_id = work.state.batch.id
        if item_id in work.state.result_by_item:
            self._stop_run(item_id)
            del self._work_by_item[item_id]
            return
        if not work.state.ended:
            return
        ended_at = self._ended_at_by_batch.setdefault(batch_id, clock.now())
        running = work.engine is not None
        if running and clock.now() < ended_at + _CARRY_SECONDS:
            return
        if not running and clock.now() < ended_at + 2 * _CARRY_SECONDS:
            return
        self._stop_run(item_id)
        del self._work_by_item[item_id]

    def _dispatch(self) -> None:
        works = [work for work in self._work_by_item.values() if work.state.open]
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
        self._task_by_item[work.item.id] = self.spawn(self._run(work, engine))

    def _move_from_slow(self) -> None:
        """Let runs go on at an engine that ends them much sooner."""
        pool = self.kernel.get(EnginePool)
        fastest = fastest_gap(pool.engine_by_id.values())
        works = [
            work
            for work in self._work_by_item.values()
            if work.engine is not None and work.state.open and not work.finished
        ]
        works.sort(key=Work.remaining_events, reverse=True)
        for work in works:
            if clock.now() < work.settled_at:
                continue
            found = better_engine(work, pool.usable(work.services), fastest)
            if found is None or found[1] < _WORTH_MOVING_SECONDS:
                continue
            self._move(work, *found)

    def _move(self, work: Work, engine: Engine, saved: float) -> None:
        assert work.engine is not None
        self._emit("item_moved", work, work.engine, to=engine.id, saves=round(saved, 2))
        self._task_by_item.pop(work.item.id).cancel()
        self._begin(work, engine)

    def _record_progress(self) -> None:
        """Record from time to time how far the runs came."""
        if clock.now() < self._record_at or self._recording is not None:
            return
        self._record_at = clock.now() + _RECORD_SECONDS
        running = [work for work in self._work_by_item.values() if work.state.open]
        writer = self.kernel.get(ResultWriter)
        self._recording = self.spawn(writer.record(running))
        self._recording.add_done_callback(self._recorded)

    def _recorded(self, task: asyncio.Task[None]) -> None:
        self._recording = None

    def _stop_run(self, item_id: str) -> None:
        task = self._task_by_item.pop(item_id, None)
        if task is not None:
            task.cancel()

    async def _cancel(self, item_ids: list[str]) -> None:
        tasks = [self._task_by_item[item_id] for item_id in item_ids]
        for item_id in item_ids:
            self._stop_run(item_id)
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
            if self._task_by_item.get(work.item.id) is me:
                del self._task_by_item[work.item.id]
            if work.item.id not in self._task_by_item:
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
        work.finished = True
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
