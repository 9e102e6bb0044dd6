"""Sends reward calls to scoring services until each call has a score."""

from __future__ import annotations

import asyncio

from .. import clock
from ..events import Events
from ..exceptions import (
    CranberryrunError,
    RefusedError,
    TargetUnreachableError,
)
from ..fleet.absent_ids import drop_absent
from ..fleet.client import RunFailedError, TargetClient
from ..fleet.directory import Directory, Target
from ..fleet.failures import log_failure_of
from ..fleet.send_permits import SendPermits
from ..health import Health
from ..kernel import Service
from ..metrics import Metrics
from ..requests.forwarder import Forwarder
from .models import PendingCall, RewardFailedError
from .planning import Attempt, TargetLoad, plan_attempts, retry_delay

# Calls are planned again at least this often, for hedged attempts and for targets
# whose cooldown ended.
_TICK_SECONDS = 0.05
# An attempt that takes longer counts as lost.
_ATTEMPT_TIMEOUT_SECONDS = 4.0
# A refusal says only that the target is full, so it delays this call only briefly.
_REFUSAL_DELAY_SECONDS = 0.05
_INITIAL_MEAN_SECONDS = 0.1
_NEWEST_ANSWER_WEIGHT = 0.2
# The mean of a target loses half of its distance from the fastest mean in this time,
# because the slowness of a target may have ended since.
_MEAN_HALF_LIFE_SECONDS = 4.0


class _AnswerTime:
    """The mean time of one target's answers, in seconds."""

    def __init__(self) -> None:
        self._mean = 0.0
        self._recorded_at = 0.0

    def record(self, seconds: float) -> None:
        weight = _NEWEST_ANSWER_WEIGHT if self._mean else 1.0
        self._mean += weight * (seconds - self._mean)
        self._recorded_at = clock.now()

    @property
    def mean(self) -> float | None:
        return self._mean or None

    def expected(self, fastest: float) -> float:
        """Return the mean, which approaches ``fastest`` while nothing is recorded."""
        if not self._mean:
            return fastest
        weight = 0.5 ** ((clock.now() - self._recorded_at) / _MEAN_HALF_LIFE_SECONDS)
        return fastest + weight * (self._mean - fastest)


class RewardCaller(Service):
    """Gets a score for each reward call.

    Targets run a call at least once; a call is sent to another target when its target
    fails, refuses or is slow. The load and health of targets are those that
    :class:`~..requests.forwarder.Forwarder` keeps, since callers' requests go to the
    same targets.
    """

    name = "reward_caller"
    requires = (
        "events",
        "metrics",
        "directory",
        "forwarder",
        "send_permits",
        "target_client",
    )

    def __init__(self) -> None:
        super().__init__()
        self._pending_calls: list[PendingCall] = []
        self._answer_time_by_target: dict[str, _AnswerTime] = {}
        self._attempt_tasks_by_call: dict[PendingCall, set[asyncio.Task[None]]] = {}
        self._wake = asyncio.Event()

    async def start(self) -> None:
        """Start sending calls in the background."""
        self.kernel.get(Metrics).register_gauge(
            "reward_calls_pending", lambda: float(len(self._pending_calls))
        )
        self.supervise(self._run)

    async def score(self, pending: PendingCall) -> str:
        """Return the score of a call.

        Cancelling this method ends all attempts at the call.

        :raises RewardFailedError: the call failed as often as it may.
        """
        pending.score = asyncio.get_running_loop().create_future()
        pending.queued_at = clock.now()
        self._pending_calls.append(pending)
        self._attempt_tasks_by_call[pending] = set()
        self._wake.set()
        outcome = "cancelled"
        try:
            score = await pending.score
            outcome = "scored"
            return score
        except RewardFailedError:
            outcome = "failed"
            raise
        finally:
            self._pending_calls.remove(pending)
            for task in self._attempt_tasks_by_call.pop(pending):
                task.cancel()
            self._record_outcome(pending, outcome)

    def _record_outcome(self, pending: PendingCall, outcome: str) -> None:
        seconds = clock.now() - pending.queued_at
        self.kernel.get(Metrics).reward_call(outcome, seconds)
        self.kernel.get(Events).emit(
            "reward_call_ended",
            sample=pending.sample,
            step=pending.step,
            request=pending.call.id,
            outcome=outcome,
            seconds=round(seconds, 3),
            failed_runs=pending.runs_failed,
            errors=pending.errors,
        )

    async def _run(self) -> None:
        while True:
            await self._wake.wait()
            self._wake.clear()
            while self._pending_calls:
                self._start_attempts()
                try:
                    async with asyncio.timeout(_TICK_SECONDS):
                        await self._wake.wait()
                except TimeoutError:
                    continue
                self._wake.clear()

    def _start_attempts(self) -> None:
        load_by_id: dict[str, TargetLoad] = {}
        targets_by_call = {
            pending.call.id: [
                load_by_id.setdefault(target.id, self._load(target))
                for target in self._usable_targets(pending)
            ]
            for pending in self._pending_calls
        }
        self._apply_expected_times(list(load_by_id.values()))
        for attempt in plan_attempts(self._pending_calls, targets_by_call, clock.now()):
            self._start_attempt(attempt)

    def _usable_targets(self, pending: PendingCall) -> list[Target]:
        directory = self.kernel.get(Directory)
        route = directory.route_for(pending.call.host, pending.call.path)
        if route is None:
            # The call waits: a later manifest may have its route again.
            return []
        targets = [
            target
            for backend in route.backends
            for target in directory.targets_of(backend.service)
        ]
        usable = [target for target in targets if self._health(target).usable()]
        if not usable:
            # One of the targets in cooldown may answer; none of the others will.
            return targets
        return [target for target in usable if not self._is_being_probed(target)]

    def _health(self, target: Target) -> Health:
        return self.kernel.get(Forwarder).state_of(target.id).health

    def _is_being_probed(self, target: Target) -> bool:
        state = self.kernel.get(Forwarder).state_of(target.id)
        return state.health.probing() and state.in_flight > 0

    def _load(self, target: Target) -> TargetLoad:
        in_flight = self.kernel.get(Forwarder).state_of(target.id).in_flight
        permits = self.kernel.get(SendPermits).available(target.id)
        return TargetLoad(
            target.id, target.slots, in_flight, _INITIAL_MEAN_SECONDS, permits
        )

    def _apply_expected_times(self, loads: list[TargetLoad]) -> None:
        times = [self._answer_time(load.id) for load in loads]
        fastest = min(
            (time.mean for time in times if time.mean is not None),
            default=_INITIAL_MEAN_SECONDS,
        )
        for load, time in zip(loads, times):
            load.mean_seconds = time.expected(fastest)

    def _answer_time(self, target_id: str) -> _AnswerTime:
        if target_id not in self._answer_time_by_target:
            target_by_id = self.kernel.get(Directory).target_by_id
            drop_absent(self._answer_time_by_target, target_by_id)
            self._answer_time_by_target[target_id] = _AnswerTime()
        return self._answer_time_by_target[target_id]

    def _start_attempt(self, attempt: Attempt) -> None:
        pending = attempt.pending
        target = self.kernel.get(Directory).target_by_id[attempt.target_id]
        if not self.kernel.get(SendPermits).take(target.id):
            return
        pending.started_at_by_target[target.id] = clock.now()
        # Counted here, so that the next plan sees the attempt before its task runs.
        self.kernel.get(Forwarder).state_of(target.id).in_flight += 1
        task = self.spawn(self._attempt(pending, target))
        task.add_done_callback(lambda task: self._end_attempt(pending, target, task))
        self._attempt_tasks_by_call[pending].add(task)

    def _end_attempt(
        self, pending: PendingCall, target: Target, task: asyncio.Task[None]
    ) -> None:
        self.kernel.get(Forwarder).state_of(target.id).in_flight -= 1
        pending.started_at_by_target.pop(target.id, None)
        self._attempt_tasks_by_call.get(pending, set()).discard(task)
        if not task.cancelled() and task.exception() is not None:
            # An unexpected error, which the service logs; the call must not be sent
            # again at once and without end.
            pending.errors += 1
            pending.retry_at = clock.now() + retry_delay(pending.errors)
        self._wake.set()

    async def _attempt(self, pending: PendingCall, target: Target) -> None:
        health = self.kernel.get(Forwarder).state_of(target.id).health
        started_at = clock.now()
        try:
            async with asyncio.timeout(_ATTEMPT_TIMEOUT_SECONDS):
                score = await self.kernel.get(TargetClient).score(
                    target, pending.call, pending.deadline
                )
        except RunFailedError as error:
            self._record_failed_run(pending, target, error)
        except TargetUnreachableError as error:
            self._record_target_failure(health, pending, target, error)
        except RefusedError as error:
            health.record_refusal()
            pending.retry_at = clock.now() + _REFUSAL_DELAY_SECONDS
            self._record_error(pending, target, error)
        except TimeoutError as error:
            self._record_target_failure(health, pending, target, error)
        except Exception as error:
            failure = log_failure_of(self.kernel, error)
            self._record_target_failure(health, pending, target, failure)
        else:
            health.record_answer()
            self._answer_time(target.id).record(clock.now() - started_at)
            self._record_score(pending, score)

    def _record_target_failure(
        self,
        health: Health,
        pending: PendingCall,
        target: Target,
        error: CranberryrunError | TimeoutError,
    ) -> None:
        health.record_failure()
        pending.errors += 1
        pending.failed_target_ids.add(target.id)
        pending.retry_at = clock.now() + retry_delay(pending.errors)
        self._record_error(pending, target, error)

    def _record_failed_run(
        self, pending: PendingCall, target: Target, error: RunFailedError
    ) -> None:
        """Record a run that failed.

        Some calls fail at every target, so the failure does not count against the
        target unless another target answers the same call.
        """
        pending.runs_failed += 1
        pending.failed_target_ids.add(target.id)
        self._record_error(pending, target, error)
        route = self.kernel.get(Directory).route_for(
            pending.call.host, pending.call.path
        )
        limit = max(
            pending.failure_limit, route.max_attempts if route is not None else 1
        )
        if pending.runs_failed < limit:
            return
        if pending.score is not None and not pending.score.done():
            pending.score.set_exception(
                RewardFailedError(
                    f"{pending.runs_failed} runs of the reward call failed"
                )
            )

    def _record_score(self, pending: PendingCall, score: str) -> None:
        if pending.score is None or pending.score.done():
            return
        pending.score.set_result(score)
        if pending.runs_failed:
            for target_id in pending.failed_target_ids:
                self.kernel.get(Forwarder).state_of(target_id).health.record_failure()

    def _record_error(
        self,
        pending: PendingCall,
        target: Target,
        error: CranberryrunError | TimeoutError,
    ) -> None:
        is_typed = isinstance(error, CranberryrunError)
        self.kernel.get(Events).emit(
            "reward_call_failed",
            sample=pending.sample,
            step=pending.step,
            request=pending.call.id,
            target=target.id,
            code=error.code if is_typed else "timeout",
            reason=error.detail if is_typed else "the target did not answer in time",
        )
