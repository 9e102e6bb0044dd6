"""The second attempt at one request: when it is due, and where it goes."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from .. import clock
from ..events import Events
from ..fleet.client import Request
from ..fleet.directory import Target
from ..fleet.manifest import Route
from ..kernel import Kernel
from ..metrics import Metrics
from ..second_attempts.client import PermitAsk
from ..second_attempts.policy import delay_at
from ..second_attempts.service import SecondAttempts

if TYPE_CHECKING:
    from .forwarder import Forwarder


class Hedge:
    """Waits until a second attempt is due and obtains the permit for it.

    ``due`` ends with the target of the second attempt, or with None if there is to be
    none. The owner calls :meth:`sent` or :meth:`abandon` after that.
    """

    def __init__(
        self,
        kernel: Kernel,
        forwarder: Forwarder,
        route: Route,
        service: str,
        request: Request,
        first: Target,
    ) -> None:
        self._kernel = kernel
        self._forwarder = forwarder
        self._route = route
        self._service = service
        self._request = request
        self._first = first
        self._started_at = clock.now()
        self._has_permit = False
        self._was_sent = False
        self.due = asyncio.get_running_loop().create_task(self._wait_until_due())

    def sent(self, target: Target) -> None:
        """Record that the second attempt is sent to ``target``."""
        self._has_permit = False
        self._was_sent = True
        self._emit(
            "hedge_sent",
            to=target.id,
            seconds=round(clock.now() - self._started_at, 4),
        )

    def abandon(self) -> None:
        """Send no second attempt; return its permit."""
        self.due.cancel()
        if self._has_permit:
            self._has_permit = False
            self._kernel.get(SecondAttempts).give_back()

    def finish(self, won: bool) -> None:
        """Record that the request ended.

        :param won: whether its response is that of the second attempt.
        """
        self.abandon()
        if not self._was_sent:
            return
        outcome = "won" if won else "lost"
        self._kernel.get(Metrics).second_attempt(self._service, outcome)
        self._emit(
            "hedge_ended",
            outcome=outcome,
            seconds=round(clock.now() - self._started_at, 4),
        )

    async def _wait_until_due(self) -> Target | None:
        second_attempts = self._kernel.get(SecondAttempts)
        expectation = await second_attempts.expectation(self._service)
        if expectation is None or expectation.delay is None:
            return None
        ahead = second_attempts.ask_ahead_seconds
        await self._sleep_until(expectation.delay - ahead)
        second = self._choose()
        if second is None:
            return self._refuse("full")
        delay = delay_at(
            expectation,
            self._forwarder.second_target(second),
            self._route.latency_goal,
        )
        if delay is None:
            return None
        await self._sleep_until(delay - ahead)
        if clock.now() + ahead + expectation.mean > self._request.deadline:
            # The second attempt would not end before the deadline either.
            return None
        second = self._choose()
        if second is None:
            return self._refuse("full")
        ask = PermitAsk(
            service=self._service, slow_target=self._first.id, target=second.id
        )
        refusal = await second_attempts.acquire(ask)
        if refusal is not None:
            return self._refuse(refusal)
        self._has_permit = True
        await self._sleep_until(delay)
        return second

    def _choose(self) -> Target | None:
        return self._forwarder.choose_second_target(self._service, self._first)

    async def _sleep_until(self, seconds: float) -> None:
        """Sleep until so many seconds after the first attempt."""
        await asyncio.sleep(max(0.0, self._started_at + seconds - clock.now()))

    def _refuse(self, reason: str) -> None:
        self._kernel.get(Metrics).second_attempt(self._service, reason)
        self._emit("hedge_refused", reason=reason)

    def _emit(self, name: str, **fields: object) -> None:
        self._kernel.get(Events).emit(
            name,
            request=self._request.id,
            service=self._service,
            target=self._first.id,
            **fields,
        )
