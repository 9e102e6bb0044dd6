"""Sends a request of a workspace that may wait while all targets are full."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from .. import clock
from ..events import Events
from ..exceptions import DeadlineError, RefusedError
from ..fleet.client import Answer, Request
from ..fleet.manifest import Route
from ..metrics import Metrics
from .attempts import Attempts
from .waiting import WaitingRequest

if TYPE_CHECKING:
    from .forwarder import Forwarder

# A refusal that comes later than this share of the route's latency goal costs the
# caller more than the wait can bring.
_MAX_WAIT_SHARE = 0.25
# How often the first request in the queue is sent while it waits. Other hosts free most
# of the slots, unseen by this one; each turn costs the targets a refusal.
_TURNS = 5
_MIN_INTERVAL_SECONDS = 0.02
# A timer may fire a little before its time by the clock.
_TIMER_SLACK_SECONDS = 0.001


class QueuedAttempts:
    """The rounds of attempts at one request; it waits between them.

    A round is what a request has without workspaces. Another one follows only if all
    targets of the last one refused the request as full, or name limits that are used
    up, so it has certainly not run.
    """

    def __init__(
        self, forwarder: Forwarder, route: Route, service: str, request: Request
    ) -> None:
        self._forwarder = forwarder
        self._waiting = forwarder.waiting
        self._route = route
        self._service = service
        self._request = request
        self._workspace = request.workspace or ""
        self._error: RefusedError | None = None
        self._round_seconds = 0.0
        self._outcome = "gone"
        self._waited_until = 0.0

    async def answer(self) -> Answer:
        """Return the answer of a target.

        :raises RefusedError: the targets stayed full, the queue has no room or the host
            stops; the request did not run.
        """
        now = clock.now()
        limit = _MAX_WAIT_SHARE * self._route.latency_goal
        give_up_at = min(now + limit, self._request.deadline)
        waiting = WaitingRequest(
            service=self._service,
            workspace=self._workspace,
            priority=self._route.priority,
            number=self._waiting.next_number(),
            give_up_at=give_up_at,
            interval=max(_MIN_INTERVAL_SECONDS, limit / _TURNS),
        )
        queued = self._waiting.any_waits(self._service) and self._waiting.add(
            waiting, now
        )
        if queued:
            # The first of all takes the turn that this request would have had.
            self._waiting.open_turn(self._service)
        else:
            answer = await self._send()
            if answer is not None:
                return answer
            # The time of the last round is left for it.
            waiting.give_up_at = give_up_at - self._round_seconds
            if not self._waiting.add(waiting, clock.now()):
                raise self._refusal()
        return await self._answer_in_turn(waiting, give_up_at)

    async def _answer_in_turn(
        self, waiting: WaitingRequest, give_up_at: float
    ) -> Answer:
        waited_from = clock.now()
        try:
            while await self._wait_for_turn(waiting):
                self._outcome = "sent"
                self._waited_until = clock.now()
                answer = await self._send()
                if answer is not None:
                    return answer
                self._outcome = "refused"
                waiting.give_up_at = give_up_at - self._round_seconds
                if not self._waiting.add(waiting, clock.now()):
                    break
            raise self._refusal()
        finally:
            self._waiting.remove(waiting)
            self._record(waited_from)

    async def _wait_for_turn(self, waiting: WaitingRequest) -> bool:
        """Return once the request may be sent; False if it is to be refused."""
        self._outcome = "gone"
        while True:
            now = clock.now() + _TIMER_SLACK_SECONDS
            if waiting.dropped or now >= waiting.give_up_at:
                self._outcome = "dropped" if waiting.dropped else "refused"
                return False
            turn_at = self._waiting.next_turn(waiting)
            if turn_at is not None and turn_at <= now:
                self._waiting.take_turn(waiting, now)
                return True
            wake_at = waiting.give_up_at
            if turn_at is not None:
                wake_at = min(wake_at, turn_at)
            waiting.changed.clear()
            try:
                async with asyncio.timeout_at(wake_at):
                    await waiting.changed.wait()
            except TimeoutError:
                continue

    async def _send(self) -> Answer | None:
        """Make one round of attempts; return None if all targets are full."""
        attempts = Attempts(
            self._forwarder,
            self._route,
            self._service,
            self._request,
            repeated=self._error is not None,
        )
        started_at = clock.now()
        self._waiting.begin(self._workspace)
        # A target refuses within a round trip. If none has, one had a free slot, and
        # others may have some, too.
        accepted = asyncio.get_running_loop().call_later(
            max(_MIN_INTERVAL_SECONDS, self._round_seconds),
            self._waiting.open_turn,
            self._service,
        )
        try:
            return await attempts.answer()
        except RefusedError as error:
            self._waiting.undo(self._workspace)
            if not attempts.found_full or isinstance(error, DeadlineError):
                raise
            self._error = error
            self._round_seconds = clock.now() - started_at
            return None
        finally:
            accepted.cancel()

    def _refusal(self) -> RefusedError:
        return self._error or self._forwarder.no_target_error(self._service)

    def _record(self, waited_from: float) -> None:
        until = self._waited_until if self._outcome == "sent" else clock.now()
        kernel = self._forwarder.kernel
        kernel.get(Metrics).wait(self._service, self._outcome)
        kernel.get(Events).emit(
            "request_waited",
            request=self._request.id,
            service=self._service,
            workspace=self._request.workspace,
            priority=self._route.priority,
            outcome=self._outcome,
            seconds=round(until - waited_from, 4),
        )
