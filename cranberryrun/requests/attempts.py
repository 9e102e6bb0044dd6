"""The attempts at one request, each of which sends it to another target."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from ..exceptions import (
    CranberryrunError,
    DeadlineError,
    RefusedError,
    TargetRefusedError,
    TargetTimeoutError,
    TargetUnreachableError,
)
from ..fleet.client import Answer, Request, WrongVersionError
from ..fleet.directory import Target
from ..fleet.failures import failure_of
from ..fleet.manifest import Route
from ..fleet.rate_limits import TargetLimitedError
from ..second_attempts.service import SecondAttempts
from ..usage_counts.counter import RequestUsage
from .hedge import Hedge

if TYPE_CHECKING:
    from .forwarder import Forwarder

RETRY_AFTER_SECONDS = 0.2
# Statuses from here on say that the target failed, not that the request is malformed.
SERVER_ERROR_STATUS = 500


class Attempts:
    """The attempts at one request, each of which sends it to another target.

    ``found_full`` tells whether a target refused it as full or for its limit.

    :param repeated: whether the targets refused the request a moment ago. Further
        refusals then say nothing about the health of the targets.
    """

    def __init__(
        self,
        forwarder: Forwarder,
        route: Route,
        service: str,
        request: Request,
        repeated: bool = False,
    ) -> None:
        self._forwarder = forwarder
        self._route = route
        self._service = service
        self._request = request
        self._usage = RequestUsage(forwarder.usage, request)
        self._tried: set[str] = set()
        self._unsent_count = 0
        self._repeated = repeated
        self.found_full = False
        self._running: set[asyncio.Task[Answer]] = set()
        self._error_to_raise: CranberryrunError | None = None
        self._error_answer: Answer | None = None
        self._second_attempts = forwarder.kernel.get(SecondAttempts)
        self._first: Target | None = None
        self._hedge: Hedge | None = None
        self._hedge_attempt: asyncio.Task[Answer] | None = None
        self._hedge_won = False

    async def answer(self) -> Answer:
        """Return the first complete answer; attempts that still run are cancelled.

        For a repeatable request an answer with a server error is returned only if no
        other target gives a better answer.
        """
        try:
            async with asyncio.timeout_at(self._request.deadline):
                return await self._first_answer()
        except TimeoutError:
            if self._error_answer is not None:
                return self._error_answer
            raise self._final_error(deadline_passed=True) from None
        finally:
            self._usage.close()
            for task in self._running:
                task.add_done_callback(_discard_outcome)
                # Closes the connection, at which the target stops.
                task.cancel()
            if self._hedge is not None:
                self._hedge.finish(self._hedge_won)

    async def _first_answer(self) -> Answer:
        self._start_attempt()
        self._plan_hedge()
        while self._running:
            waited: set[asyncio.Task] = set(self._running)
            if self._hedge is not None and self._hedge_attempt is None:
                waited.add(self._hedge.due)
            done, _ = await asyncio.wait(
                waited,
                timeout=self._fixed_hedge_delay(),
                return_when=asyncio.FIRST_COMPLETED,
            )
            ended = done & self._running
            self._running -= ended
            if not done:
                self._start_attempt()
                continue
            for task in ended:
                if task.exception() is None and not self._should_retry(task.result()):
                    self._hedge_won = task is self._hedge_attempt
                    return task.result()
            if ended and self._hedge_attempt is None:
                # From here on the request is retried, not hedged.
                self._drop_hedge()
            for task in ended:
                self._handle_failure(task)
            if self._hedge is not None and self._hedge.due in done:
                self._send_hedge(self._hedge)
        if self._error_answer is not None:
            return self._error_answer
        raise self._final_error(deadline_passed=False)

    def _may_hedge(self) -> bool:
        return (
            self._route.kind.repeatable
            and self._forwarder.may_hedge(self._request)
            and self._may_start_attempt()
        )

    def _fixed_hedge_delay(self) -> float | None:
        """Return after how long another attempt is sent; None if only with a permit."""
        if self._second_attempts.limited or not self._may_hedge():
            return None
        return self._forwarder.hedge_delay(self._service)

    def _plan_hedge(self) -> None:
        if not self._second_attempts.enabled or self._first is None:
            return
        if self._may_hedge():
            self._hedge = Hedge(
                self._forwarder.kernel,
                self._forwarder,
                self._route,
                self._service,
                self._request,
                self._first,
            )

    def _drop_hedge(self) -> None:
        if self._hedge is not None:
            self._hedge.abandon()
            self._hedge = None

    def _send_hedge(self, hedge: Hedge) -> None:
        # The plan is cancelled where the service stops before the request ends; an
        # unexpected error was logged by the service.
        failed = hedge.due.cancelled() or hedge.due.exception() is not None
        target = hedge.due.result() if not failed else None
        if target is None or not self._may_hedge():
            self._drop_hedge()
            return
        hedge.sent(target)
        self._hedge_attempt = self._send(target)

    def _should_retry(self, answer: Answer) -> bool:
        """Return whether another target may give a better answer than ``answer``."""
        return answer.status >= SERVER_ERROR_STATUS and self._route.kind.repeatable

    def _handle_failure(self, task: asyncio.Task[Answer]) -> None:
        exception = task.exception()
        if exception is None:
            self._error_answer = task.result()
        elif isinstance(exception, Exception):
            error = failure_of(exception)
            may_have_run = not isinstance(error, RefusedError)
            if self._error_to_raise is None or may_have_run:
                self._error_to_raise = error
            self.found_full = self.found_full or _says_full(error)
            if isinstance(error, (TargetLimitedError, TargetUnreachableError)):
                # Nothing was sent, so another target may still be tried instead.
                self._unsent_count += 1
            # Another attempt could run the request a second time.
            if may_have_run and not self._may_run_again():
                return
        else:
            raise exception
        if not self._running and self._may_start_attempt():
            self._start_attempt()

    def _may_run_again(self) -> bool:
        return self._route.kind.repeatable and self._forwarder.may_repeat(self._request)

    def _may_start_attempt(self) -> bool:
        sent_count = len(self._tried) - self._unsent_count
        if sent_count >= max(1, self._route.max_attempts):
            return False
        return self._forwarder.choose_target(self._service, self._tried) is not None

    def _start_attempt(self) -> None:
        target = self._forwarder.choose_target(self._service, self._tried)
        if target is None:
            return
        self._first = self._first or target
        self._send(target)

    def _send(self, target: Target) -> asyncio.Task[Answer]:
        self._tried.add(target.id)
        attempt = asyncio.get_running_loop().create_task(
            self._forwarder.send(target, self._request, self._usage, self._repeated)
        )
        self._running.add(attempt)
        return attempt

    def _final_error(self, deadline_passed: bool) -> CranberryrunError:
        if deadline_passed and self._tried:
            return TargetTimeoutError("no target answered before the deadline")
        if deadline_passed:
            return DeadlineError(
                "the deadline passed before the request was sent to a target",
                retry_after=0,
            )
        if self._error_to_raise is None or isinstance(
            self._error_to_raise, TargetLimitedError
        ):
            no_target = self._forwarder.no_target_error(self._service)
            self.found_full = self.found_full or _says_full(no_target)
            return no_target
        if isinstance(self._error_to_raise, RefusedError):
            self._error_to_raise.retry_after = RETRY_AFTER_SECONDS
        return self._error_to_raise


def _says_full(error: CranberryrunError) -> bool:
    """Return whether a target may take the request as soon as it has room."""
    if isinstance(error, WrongVersionError):
        return False
    return isinstance(error, (TargetRefusedError, TargetLimitedError))


def _discard_outcome(task: asyncio.Task[Answer]) -> None:
    """Retrieve the exception of an abandoned attempt.

    Otherwise asyncio would warn that the exception was never retrieved. The attempt
    has already logged its failure.
    """
    if not task.cancelled():
        task.exception()
