"""The operations on batches: submit, read results, fetch an item's body, end."""

from __future__ import annotations

import asyncio

from .. import clock
from ..events import Events
from ..exceptions import (
    CranberryrunError,
    LogReadError,
    LogUnavailableError,
    NotFoundError,
    NotReadyError,
)
from ..fleet.directory import Directory
from ..fleet.engine_pool import EnginePool
from ..kernel import Service
from ..metrics import Metrics
from ..workspaces.access import Caller, KeyState
from .admission import Admission, Rejection
from .log import BatchLog
from .models import Batch, BatchState, Result
from .remote_results import RemoteResults
from .result_source import ResultPage

# The maximum size of the result text in one page.
_MAX_PAGE_BYTES = 1_000_000
# A failing append is repeated for this long before the call is refused.
_APPEND_TIMEOUT_SECONDS = 0.5
# Readers repeat their call within a short time anyway, and another host may already
# have read the batch.
_RETRY_AFTER_SECONDS = 0.1
# The append was also relayed through neighbouring hosts, so the store is down for all
# hosts. Such an outage takes seconds; an earlier retry would waste a caller's attempts.
_OUTAGE_RETRY_SECONDS = 2.0
# A submission waits this long to learn whether its id is in use. A batch topic of some
# megabytes takes longer over the slowest links; a trainer that is told of a failure
# would submit again, although the store has the batch.
_OWNER_CHECK_SECONDS = 0.5
# The same check before a rejection. One that comes later than a quarter of the route's
# latency goal costs the trainer more than a batch that can't be served.
_MAX_REJECTION_SHARE = 0.25
# Much longer than the few milliseconds that the store needs for a read.
_REFRESH_TIMEOUT_SECONDS = 0.1


class Batches(Service):
    """Serves operations on batches; any host can, since the store holds their state.

    An operation raises what :meth:`Caller.check_batch` raises if its caller may not use
    the batch. Calls without a caller, which this package makes itself, may use all. To
    callers of other workspaces an operation behaves as for a batch that does not exist,
    also while the store fails.

    :param admission: rejects batches that can't be served; None rejects none.
    """

    name = "batches"
    requires = (
        "events",
        "metrics",
        "directory",
        "engine_pool",
        "batch_log",
        "remote_results",
    )

    def __init__(self, admission: Admission | None = None) -> None:
        super().__init__()
        self._admission = admission

    async def start(self) -> None:
        """Start following the targets if batches may be rejected."""
        if self._admission is not None:
            self.kernel.get(Directory).observers.append(self._record_targets)

    async def submit(
        self, batch: Batch, deadline: float, caller: Caller | None = None
    ) -> None:
        """Accept ``batch``; return once the store has confirmed it.

        :param deadline: until when the caller waits, in loop seconds.
        :raises LogUnavailableError: the batch was certainly not accepted.
        :raises AppendUnknownError: the batch may have been accepted.
        :raises OtherWorkspaceError: a batch of another workspace has the same id.
        :raises RefusedError: the batch can't be served; none of it was stored.
        """
        if caller is not None:
            await self._check_known_owner(batch, caller)
        if self._admission is not None:
            await self._check_admission(self._admission, batch, deadline)
            self._admission.record_submission(batch.id)
        append_deadline = min(deadline, clock.now() + _APPEND_TIMEOUT_SECONDS)
        try:
            await self.kernel.get(BatchLog).accept(batch, append_deadline)
        except LogUnavailableError as error:
            self._emit("batch_refused", batch, error.detail)
            raise LogUnavailableError(
                error.detail, retry_after=_OUTAGE_RETRY_SECONDS
            ) from None
        except CranberryrunError as error:
            self._emit("batch_unknown", batch, error.detail)
            raise
        reason = "the store confirmed the batch"
        if caller is not None and caller.key is not KeyState.UNUSED:
            if not await self._check_owner(batch, caller, deadline):
                reason += "; whether its id was in use is not known"
        self._emit("batch_accepted", batch, reason)

    async def _check_admission(
        self, admission: Admission, batch: Batch, deadline: float
    ) -> None:
        """Raise if the batch can't be served and the store does not have it."""
        if self._rejection(admission, batch) is None:
            return
        if await self._may_be_stored(admission, batch, deadline):
            return
        # An engine may have registered since.
        rejection = self._rejection(admission, batch)
        if rejection is None:
            return
        self.kernel.get(Metrics).rejected_batch(rejection.cause)
        self._emit(
            "batch_rejected",
            batch,
            rejection.reason,
            cause=rejection.cause,
            retry_after=round(rejection.retry_after, 1),
        )
        raise rejection.error()

    def _rejection(self, admission: Admission, batch: Batch) -> Rejection | None:
        manifest = self.kernel.get(Directory).manifest
        if manifest is None:
            return None
        self._record_targets()
        pool = self.kernel.get(EnginePool)
        admission.record_intervals(
            engine.event_interval for engine in pool.engine_by_id.values()
        )
        table = self.kernel.get(BatchLog).table
        return admission.rejection(
            batch, manifest, clock.now(), lambda item: table.known(batch, item)
        )

    def _record_targets(self) -> None:
        directory = self.kernel.get(Directory)
        if self._admission is not None and directory.targets_loaded:
            now = clock.now()
            self._admission.record_targets(
                directory.target_by_id.values(),
                now - max(directory.seconds_since_read()),
                now,
            )

    async def _may_be_stored(
        self, admission: Admission, batch: Batch, deadline: float
    ) -> bool:
        """Return whether an earlier submission may have stored the batch."""
        log = self.kernel.get(BatchLog)
        if admission.submitted(batch.id) or log.table.opened(batch.id):
            return True
        manifest = self.kernel.get(Directory).manifest
        route = manifest and manifest.route_for(batch.host, batch.items[0].path)
        if not route:
            return True
        try:
            async with asyncio.timeout_at(
                min(deadline, clock.now() + _MAX_REJECTION_SHARE * route.latency_goal)
            ):
                await log.load([batch.id])
        except (LogReadError, TimeoutError):
            return True
        # A repetition that arrived during the read may be about to be stored.
        return admission.submitted(batch.id) or batch.id in log.table.state_by_id

    async def _check_known_owner(self, batch: Batch, caller: Caller) -> None:
        """Raise if this host knows a batch of the same id that others own."""
        state = self.kernel.get(BatchLog).table.state_by_id.get(batch.id)
        if state is None or caller.may_use(state.batch.workspace):
            return
        # Without the store a submission fails, whether or not the id is in use.
        state = await self._read_state(batch.id)
        if state is not None:
            caller.check_submission(batch.id, state.batch.workspace)

    async def _check_owner(self, batch: Batch, caller: Caller, deadline: float) -> bool:
        """Raise if a batch of another workspace has the same id.

        The first record of an id counts, so this is certain only once the topic is read
        up to the record of this batch. The lease holder runs the items meanwhile. The
        record of a batch whose id is in use has no effect, whatever its caller is told.

        :return: False if the store could not be read in time.
        """
        log = self.kernel.get(BatchLog)
        if batch.id not in log.table.state_by_id:
            deadline = min(deadline, clock.now() + _OWNER_CHECK_SECONDS)
            try:
                async with asyncio.timeout_at(deadline):
                    await log.load([batch.id])
            except (LogReadError, TimeoutError):
                return False
        state = log.table.state_by_id.get(batch.id)
        if state is not None:
            caller.check_submission(batch.id, state.batch.workspace)
        return state is not None

    def _emit(self, name: str, batch: Batch, reason: str, **fields: object) -> None:
        self.kernel.get(Events).emit(
            name,
            step=batch.id,
            workload=batch.model,
            number_of_step=batch.step,
            min_version=batch.min_version,
            samples=len(batch.items),
            groups=len({item.group for item in batch.items}),
            wanted_groups=batch.wanted_groups,
            workspace=batch.workspace,
            reason=reason,
            **fields,
        )

    async def results(
        self, batch_id: str, after: int, wait: float, caller: Caller | None = None
    ) -> ResultPage:
        """Return the results from position ``after`` on.

        :param wait: how long to wait for the first of them, in seconds.
        :raises NotFoundError: the batch does not exist.
        :raises NotReadyError: the store can't be read.
        """
        log = self.kernel.get(BatchLog)
        started_at = clock.now()
        deadline = started_at + wait
        state = log.table.state_by_id.get(batch_id)
        if state is None or len(state.results) <= after or not _may_use(caller, state):
            page = await self.kernel.get(RemoteResults).read(batch_id, after, wait)
            if page is not None:
                if caller is not None:
                    caller.check_batch(batch_id, True, page.workspace)
                self._emit_read(batch_id, after, page, page.next, started_at)
                return page
            state = await self._load_state(batch_id, caller)
        elif not state.complete:
            await self._refresh(batch_id)
            # Where records were missed, the batch was read anew.
            state = log.table.state_by_id.get(batch_id, state)
        if len(state.results) <= after and wait > 0 and not state.complete:
            reader = log.reader_of(batch_id)
            async with reader.following():
                while len(state.results) <= after:
                    if not await reader.wait_for_records(deadline):
                        break
                    state = log.table.state_by_id.get(batch_id, state)
        page = _build_page(state, after)
        self._emit_read(batch_id, after, page, len(state.results), started_at)
        return page

    async def results_in_memory(
        self, batch_id: str, after: int | None, wait: float
    ) -> ResultPage | None:
        """Return results for another host; None if this one does not have the batch.

        Raises the same errors as :meth:`results`.

        :param after: None asks for no results, and does not read the store.
        """
        table = self.kernel.get(BatchLog).table
        if after is None:
            state = table.state_by_id.get(batch_id)
            return None if state is None else _build_page(state, len(state.results))
        if batch_id not in table.state_by_id and not table.opened(batch_id):
            return None
        return await self.results(batch_id, after, wait)

    def _emit_read(
        self,
        batch_id: str,
        after: int,
        page: ResultPage,
        known: int,
        started_at: float,
    ) -> None:
        self.kernel.get(Events).emit(
            "results_read",
            step=batch_id,
            after=after,
            next=page.next,
            known=known,
            total=page.total,
            seconds=round(clock.now() - started_at, 3),
        )

    async def body(
        self, batch_id: str, item_id: str, caller: Caller | None = None
    ) -> bytes:
        """Return the body of an item.

        :raises NotFoundError: the batch or the item does not exist.
        :raises NotReadyError: the store can't be read.
        """
        state = await self._state(batch_id, caller)
        item = state.item(item_id)
        if item is None:
            raise NotFoundError(f"batch {batch_id} has no item {item_id}")
        return item.body

    async def end(
        self, batch_id: str, deadline: float, caller: Caller | None = None
    ) -> None:
        """End a batch; return once the store has confirmed it.

        :raises NotFoundError: the batch does not exist.
        :raises NotReadyError: the store can't be read.
        :raises LogUnavailableError: the batch was certainly not ended.
        :raises AppendUnknownError: the batch may have been ended.
        """
        log = self.kernel.get(BatchLog)
        await self._check_exists(batch_id, caller)
        if log.table.ended(batch_id):
            return
        await log.end(batch_id, min(deadline, clock.now() + _APPEND_TIMEOUT_SECONDS))
        self.kernel.get(Events).emit("batch_ended", step=batch_id)

    async def _check_exists(self, batch_id: str, caller: Caller | None) -> None:
        """Return if the caller may use the batch.

        A host that does not have the batch asks the holder of the lease before it reads
        a whole topic over a slow link, and if the topic can't be read.
        """
        remote = self.kernel.get(RemoteResults)
        page = None
        if batch_id not in self.kernel.get(BatchLog).table.state_by_id:
            page = await remote.find(batch_id, store_failed=False)
        if page is None:
            try:
                await self._state(batch_id, caller)
                return
            except NotReadyError:
                page = await remote.find(batch_id, store_failed=True)
                if page is None:
                    raise
        if caller is not None:
            caller.check_batch(batch_id, True, page.workspace)

    async def _refresh(self, batch_id: str) -> None:
        """Read newer results; return without them if the store is slow or fails."""
        try:
            async with asyncio.timeout(_REFRESH_TIMEOUT_SECONDS):
                await self.kernel.get(BatchLog).load([batch_id])
        except (LogReadError, TimeoutError):
            # The directory logs outages of the store.
            return

    async def _state(self, batch_id: str, caller: Caller | None) -> BatchState:
        """Return a batch that the caller may use, from memory if it is there."""
        state = self.kernel.get(BatchLog).table.state_by_id.get(batch_id)
        if state is None or not _may_use(caller, state):
            state = await self._load_state(batch_id, caller)
        return state

    async def _load_state(self, batch_id: str, caller: Caller | None) -> BatchState:
        """Return a batch that the caller may use, read from the store."""
        state = await self._read_state(batch_id)
        if caller is not None:
            owner = state.batch.workspace if state is not None else None
            caller.check_batch(batch_id, state is not None, owner)
        if state is None:
            raise NotFoundError(f"batch {batch_id} does not exist")
        return state

    async def _read_state(self, batch_id: str) -> BatchState | None:
        log = self.kernel.get(BatchLog)
        try:
            await log.load([batch_id])
        except LogReadError as error:
            raise NotReadyError(
                f"batch {batch_id} can't be read from the store: {error}",
                retry_after=_RETRY_AFTER_SECONDS,
            ) from None
        return log.table.state_by_id.get(batch_id)


def _may_use(caller: Caller | None, state: BatchState) -> bool:
    return caller is None or caller.may_use(state.batch.workspace)


def _build_page(state: BatchState, after: int) -> ResultPage:
    results: list[Result] = []
    size = 0
    for result in state.results[after:]:
        size += len(result.text)
        if results and size > _MAX_PAGE_BYTES:
            break
        results.append(result)
    return ResultPage(
        len(state.batch.items), after + len(results), results, state.batch.workspace
    )
