"""Makes the calls that only the holder of the lease may make to the platform's API."""

from __future__ import annotations

import asyncio

from .. import clock
from ..batches.reader import TopicReader
from ..events import Events
from ..exceptions import AppendConflictError, CranberryrunError
from ..fleet.lease import Lease
from ..kernel import Service
from ..metrics import Metrics
from ..store import Store
from .client import (
    DutyClient,
    DutyConflictError,
    DutyFencedError,
    DutyThrottledError,
    DutyUnknownError,
    DutyUnsentError,
)
from .duty import Duty, DutyCall
from .records import TOPIC, AnswerRecord, CallRecord, DutyLedger, encode

_TICK_SECONDS = 0.1
# A call to the API takes some milliseconds. Without an answer it is made again, which
# leaves time for several attempts before a report is late.
_CALL_TIMEOUT_SECONDS = 1.0
_CALL_RETRY_SECONDS = 0.3
# An API that throttles states its limit for a second; a report has only six.
_MAX_CALL_RETRY_SECONDS = 2.0
_STORE_RETRY_SECONDS = 0.3
# Delay before a duty whose code failed is asked again.
_FAILED_DUTY_SECONDS = 5.0
_TRIM_INTERVAL_SECONDS = 60.0
# Each trim costs a call to the store, and a new holder reads this many records at once.
_MIN_TRIM_RECORDS = 200
# Usage reports add about 24 records a minute, while the last call of another subject
# may be hours old and keeps all records after it. A new holder has six seconds to read
# them, on the slowest link too.
_MAX_KEPT_RECORDS = 1000


class Duties(Service):
    """Records the calls of all duties and makes them, one at a time.

    A call is made only while this host may order, after the store has confirmed its
    record, and after this host has read all records since it took the lease. Calls are
    decided on and recorded beside the calls to the API, so that an API that is slow or
    down delays no record, and a store that is down delays no call already recorded.

    :param host_id: the name of this host, which the API sees as the holder.
    :param duties: the duties in the order in which they are asked for calls.
    :param calls_per_second: the most calls that the API takes from all hosts.
    """

    name = "duties"
    requires = ("events", "metrics", "store", "lease", "duty_client")

    def __init__(
        self, host_id: str, duties: tuple[Duty, ...], calls_per_second: float
    ) -> None:
        super().__init__()
        self._host_id = host_id
        self._duty_by_name = {duty.name: duty for duty in duties}
        self._min_call_interval = 1.0 / calls_per_second
        self._ledger = DutyLedger(duties)
        self._reader: TopicReader
        self._unwritten_answers: list[AnswerRecord] = []
        # The fencing token since whose start this host has read all records.
        self._read_fence = -1
        self._rejected_fence = -1
        self._ask_again_at_by_duty: dict[str, float] = {}
        self._logged_skips_by_duty: dict[str, int] = {}
        self._next_trim_at = 0.0
        self._trimmed_before = 0
        self._record_added = asyncio.Event()
        self._answer_added = asyncio.Event()

    async def start(self) -> None:
        """Start to record and make calls whenever this host holds the lease."""
        self._reader = TopicReader(
            self.kernel, self.spawn, TOPIC, self._apply, skips_are_normal=True
        )
        self.supervise(self._keep_records)
        self.supervise(self._make_calls)

    def _apply(self, offset: int, raw: bytes) -> None:
        try:
            self._ledger.apply(offset, raw)
        except Exception as error:
            # Another build may have written it. A record that can't be applied must not
            # keep this host from reading on.
            self.kernel.get(Events).emit(
                "record_invalid", topic=TOPIC, offset=offset, reason=repr(error)
            )
        self._record_added.set()

    async def _keep_records(self) -> None:
        while True:
            await _wait_for(self._answer_added)
            try:
                await self._write_answers()
                await self._record_as_holder()
            except CranberryrunError:
                # The directory logs outages of the store.
                await asyncio.sleep(_STORE_RETRY_SECONDS)

    async def _record_as_holder(self) -> None:
        lease = self.kernel.get(Lease)
        if not lease.held:
            return
        fence = lease.fence
        if self._read_fence != fence:
            await self._reader.catch_up()
            self._read_fence = fence
        if fence <= self._rejected_fence:
            return
        for duty in self._duty_by_name.values():
            if self._next_call(duty) is not None:
                await self._record_next_call(duty, fence)
        await self._trim()

    async def _record_next_call(self, duty: Duty, fence: int) -> None:
        """Record the next call of a duty unless the topic has grown in the meantime."""
        lease = self.kernel.get(Lease)
        # Answers were appended since the last read, by this host or by an earlier
        # holder that was paused.
        await self._reader.catch_up()
        call = self._next_call(duty)
        if call is None or not lease.held or lease.fence != fence:
            return
        record = CallRecord(
            call.duty, call.subject, call.number, call.content, self._host_id, fence
        )
        store = self.kernel.get(Store)
        try:
            await store.append(TOPIC, [encode(record)], at=self._reader.next_offset)
        except AppendConflictError:
            # The duty is asked again after the new records were read.
            return
        self.kernel.get(Events).emit(
            "duty_recorded",
            duty=call.duty,
            subject=call.subject,
            call=call.number,
            fence=fence,
            content=call.content,
        )
        await self._reader.catch_up()

    def _next_call(self, duty: Duty) -> DutyCall | None:
        if clock.now() < self._ask_again_at_by_duty.get(duty.name, 0.0):
            return None
        try:
            call = duty.next_call(clock.wall())
        except Exception as error:
            # A fault of one duty must not stop the others.
            self._ask_again_at_by_duty[duty.name] = clock.now() + _FAILED_DUTY_SECONDS
            self.kernel.get(Events).emit(
                "duty_failed", duty=duty.name, reason=repr(error)
            )
            return None
        skipped = duty.skipped_count - self._logged_skips_by_duty.get(duty.name, 0)
        if skipped > 0:
            self._logged_skips_by_duty[duty.name] = duty.skipped_count
            self.kernel.get(Metrics).duty_call(duty.name, "skipped", skipped)
            self.kernel.get(Events).emit(
                "duty_skipped", duty=duty.name, calls=skipped, reason="too old"
            )
        return call

    async def _write_answers(self) -> None:
        answers = list(self._unwritten_answers)
        if not answers:
            return
        await self.kernel.get(Store).append(TOPIC, [encode(each) for each in answers])
        del self._unwritten_answers[: len(answers)]

    async def _trim(self) -> None:
        if clock.now() < self._next_trim_at:
            return
        self._next_trim_at = clock.now() + _TRIM_INTERVAL_SECONDS
        before = self._ledger.trimmable_before()
        if self._reader.next_offset - before > _MAX_KEPT_RECORDS:
            await self._copy_old_records()
            before = self._ledger.trimmable_before()
        if before - self._trimmed_before < _MIN_TRIM_RECORDS:
            return
        await self.kernel.get(Store).trim(TOPIC, before)
        self._trimmed_before = before

    async def _copy_old_records(self) -> None:
        """Append the old records that are needed anew, unless the topic has grown."""
        await self._reader.catch_up()
        end = self._reader.next_offset
        copies = self._ledger.copies(end - _MIN_TRIM_RECORDS)
        if copies:
            records = [encode(record) for record in copies]
            await self.kernel.get(Store).append(TOPIC, records, at=end)
            await self._reader.catch_up()

    async def _make_calls(self) -> None:
        while True:
            call = self._call_to_make()
            if call is None:
                await _wait_for(self._record_added)
                continue
            await self._make_call(self._duty_by_name[call.duty], call)
            await asyncio.sleep(self._min_call_interval)

    def _call_to_make(self) -> DutyCall | None:
        lease = self.kernel.get(Lease)
        if not lease.may_order or lease.fence != self._read_fence:
            return None
        if lease.fence <= self._rejected_fence:
            return None
        return self._ledger.next_to_send(clock.now())

    async def _make_call(self, duty: Duty, call: DutyCall) -> None:
        """Make a recorded call once, directly after the lease was checked."""
        if duty.expired(call, clock.wall()):
            self._end(call, False, "skipped", "duty_skipped", calls=1, reason="expired")
            return
        lease = self.kernel.get(Lease)
        fence = lease.fence
        # An unexpected error must not make the same call again before all others.
        self._ledger.retry(call, clock.now() + _CALL_RETRY_SECONDS)
        started_at = clock.now()
        lease.record_order()
        try:
            async with asyncio.timeout(_CALL_TIMEOUT_SECONDS):
                await duty.send(self.kernel.get(DutyClient), call, self._host_id, fence)
        except DutyFencedError as error:
            self._rejected_fence = fence
            self._log(call, "fenced", "duty_fenced", fence=fence, reason=error.detail)
            return
        except DutyConflictError as error:
            self._end(
                call, False, "refused", "duty_refused", fence=fence, reason=error.detail
            )
            return
        except DutyThrottledError as error:
            self._retry(call, "throttled", error, error.retry_after or 0.0)
            return
        except DutyUnsentError as error:
            self._retry(call, "unsent", error)
            return
        except (DutyUnknownError, TimeoutError) as error:
            self._retry(call, "unanswered", error)
            return
        seconds = round(clock.now() - started_at, 3)
        self._end(call, True, "accepted", "duty_accepted", fence=fence, seconds=seconds)
        due_at = duty.due_at(call)
        if due_at is not None and clock.wall() > due_at:
            late_by = round(clock.wall() - due_at, 3)
            self._log(call, "late", "duty_late", late_by=late_by)

    def _retry(
        self, call: DutyCall, outcome: str, error: Exception, delay: float = 0.0
    ) -> None:
        delay = min(max(delay, _CALL_RETRY_SECONDS), _MAX_CALL_RETRY_SECONDS)
        self._ledger.retry(call, clock.now() + delay)
        self._log(call, outcome, "duty_unanswered", reason=repr(error))

    def _end(
        self, call: DutyCall, accepted: bool, outcome: str, event: str, **fields: object
    ) -> None:
        answer = self._ledger.record_answer(call, accepted)
        self._unwritten_answers.append(answer)
        self._answer_added.set()
        self._log(call, outcome, event, **fields)

    def _log(self, call: DutyCall, outcome: str, event: str, **fields: object) -> None:
        self.kernel.get(Metrics).duty_call(call.duty, outcome)
        self.kernel.get(Events).emit(
            event, duty=call.duty, subject=call.subject, call=call.number, **fields
        )


async def _wait_for(event: asyncio.Event) -> None:
    """Wait for the event, at most for a tick, and clear it."""
    try:
        async with asyncio.timeout(_TICK_SECONDS):
            await event.wait()
    except TimeoutError:
        return
    event.clear()
