"""The platform's API for duties, in memory, with faults; and a duty to test with."""

from __future__ import annotations

import asyncio
from collections import deque
from dataclasses import dataclass, field

from cranberryrun import clock
from cranberryrun.duties.client import (
    DutyClient,
    DutyFencedError,
    DutyUnknownError,
    EngineOrder,
    UsageReport,
)
from cranberryrun.duties.duty import Duty, DutyCall


@dataclass(frozen=True, slots=True)
class ApiCall:
    """A call that reached the API at ``time``, in loop seconds."""

    time: float
    holder: str
    fence: int
    subject: str
    content: UsageReport | EngineOrder


@dataclass(slots=True)
class FakeApi:
    """What the API saw, and its faults; the clients of all hosts share it.

    :ivar errors: the errors of the next calls, which are not carried out.
    :ivar lost_answers: number of calls to come that are carried out without an answer.
    :ivar delay: seconds until an answer.
    :ivar down: whether nothing answers.
    :ivar carried_out: the calls that were carried out, in order.
    """

    require_fence: bool = True
    errors: deque[Exception] = field(default_factory=deque)
    lost_answers: int = 0
    delay: float = 0.005
    down: bool = False
    calls: list[ApiCall] = field(default_factory=list)
    carried_out: list[ApiCall] = field(default_factory=list)
    fence_by_subject: dict[str, int] = field(default_factory=dict)

    async def call(
        self, subject: str, content: UsageReport | EngineOrder, holder: str, fence: int
    ) -> None:
        """Carry a call out, or fail it."""
        if self.down:
            await asyncio.sleep(3600.0)
        call = ApiCall(clock.now(), holder, fence, subject, content)
        self.calls.append(call)
        if self.errors:
            raise self.errors.popleft()
        if self.require_fence and fence < self.fence_by_subject.get(subject, -1):
            raise DutyFencedError("a higher fencing token was seen")
        self.fence_by_subject[subject] = fence
        self.carried_out.append(call)
        await asyncio.sleep(self.delay)
        if self.lost_answers:
            self.lost_answers -= 1
            raise DutyUnknownError("the connection ended before the answer")

    def violations(self, handover_seconds: float) -> list[str]:
        """Return how the calls broke the rule of one holder at a time."""
        found = []
        holder_by_fence: dict[tuple[str, int], str] = {}
        fence_by_subject: dict[str, int] = {}
        content_by_window: dict[int, UsageReport] = {}
        last: ApiCall | None = None
        for call in self.calls:
            key = (call.subject, call.fence)
            if holder_by_fence.setdefault(key, call.holder) != call.holder:
                found.append(f"two holders with the same token: {call}")
            if call.fence < fence_by_subject.get(call.subject, -1):
                found.append(f"lower token: {call}")
            fence_by_subject[call.subject] = call.fence
            if last is not None and last.holder != call.holder:
                if call.time - last.time < handover_seconds:
                    found.append(f"holder changed too soon: {last} {call}")
            last = call
        for call in self.carried_out:
            if isinstance(call.content, UsageReport):
                window = call.content.window
                if content_by_window.setdefault(window, call.content) != call.content:
                    found.append(f"two reports of one window: {call}")
        return found


class FakeDutyClient(DutyClient):
    """One host's client of a :class:`FakeApi`."""

    def __init__(self, api: FakeApi) -> None:
        super().__init__()
        self._api = api

    async def report_usage(self, report: UsageReport, holder: str, fence: int) -> None:
        """See :meth:`DutyClient.report_usage`."""
        await self._api.call("usage", report, holder, fence)

    async def order_engines(self, order: EngineOrder, holder: str, fence: int) -> None:
        """See :meth:`DutyClient.order_engines`."""
        subject = f"{order.service}/{order.zone}"
        await self._api.call(subject, order, holder, fence)


class CountingDuty(Duty):
    """Orders one engine more at each call that the test allows.

    :ivar wanted: the number of the last call to make.
    """

    name = "scale"

    def __init__(self, zone: str = "a", wanted: int = 0) -> None:
        self.wanted = wanted
        self.recorded: list[DutyCall] = []
        self.answers: list[tuple[int, bool]] = []
        self.failing = False
        self._zone = zone

    def apply_record(self, call: DutyCall) -> None:
        """See :meth:`Duty.apply_record`."""
        self.recorded.append(call)

    def apply_answer(self, call: DutyCall, accepted: bool) -> None:
        """See :meth:`Duty.apply_answer`."""
        self.answers.append((call.number, accepted))

    def next_call(self, now: float) -> DutyCall | None:
        """See :meth:`Duty.next_call`."""
        if self.failing:
            raise ValueError("a fault of this duty")
        last = self.recorded[-1].number if self.recorded else 0
        if last >= self.wanted:
            return None
        return DutyCall(self.name, self._zone, last + 1, {"count": last + 1})

    async def send(
        self, client: DutyClient, call: DutyCall, holder: str, fence: int
    ) -> None:
        """See :meth:`Duty.send`."""
        order = EngineOrder("m", call.subject, call.content["count"])
        await client.order_engines(order, holder, fence)
