"""Dispatches a step's slots to engines and collects the complete samples."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

from . import clock
from .engine_selection import EngineSelector
from .engines import Engine, Engines, StreamOrder
from .events import Events
from .exceptions import (
    CranberryrunError,
    RefusedError,
    SampleTooOldError,
    StreamLostError,
    UnstampedStreamError,
)
from .freshness import SampleAge
from .models import Placement, Sample
from .pause_detector import PauseDetector
from .pending_slots import PendingSlots
from .routing import Candidate
from .samples import Attempt, collect_sample
from .slots import CompleteSample, Slot, SlotKey, StepSlots
from .state import Resource
from .stragglers import SlotProgress, StepProgress
from .stream_names import StreamNames
from .versions import Versions

if TYPE_CHECKING:
    from .steps import Steps

_DISPATCH_INTERVAL_SECONDS = 0.25
_RETRY_DELAY_SECONDS = 0.2
_MAX_RETRY_DELAY_SECONDS = 2.0
_UNSTAMPED_COOLDOWN_SECONDS = 30.0
_STARTS_PER_YIELD = 16
_STRAGGLER_CHECK_SECONDS = 1.0


class Dispatcher:
    """Generates the samples of one call of a step.

    A slot gets a task only once the budget and an engine have room for its
    stream, so a second attempt never queues behind slots that wait for an engine.

    :param started_ms: start time of the run, in ms since 1970; it is a part of
        the stream names.
    :param workspace: the workspace that engines are told, if any is declared.
    :ivar wake_run: wakes the :class:`~.step_run.StepRun` that hands samples over.
    :ivar placements_changed: whether the placements differ from those of the last
        checkpoint.
    """

    def __init__(
        self,
        steps: Steps,
        workload: Resource,
        step: int,
        started_ms: int,
        workspace: str | None = None,
    ) -> None:
        self._steps = steps
        self._workspace = workspace
        self._kernel = steps.kernel
        self._workload = workload
        self.name = f"{workload.name}/{step}"
        self._stream_names = StreamNames(workload.name, step, started_ms)
        self._events = self._kernel.get(Events)
        self._versions = self._kernel.get(Versions)
        self._engines = self._kernel.get(Engines)
        self._selector = EngineSelector(steps, workload)
        self._statistics = steps.statistics(workload.name)
        self._slots: StepSlots
        self._pending = PendingSlots(self._statistics)
        self._attempts_by_key: dict[SlotKey, list[Attempt]] = {}
        self._durations: list[float] = []
        self._useful_seconds = 0.0
        self._in_flight = 0
        self._wasted_seconds = 0.0
        self._stragglers_checked_at = 0.0
        self._waiting_reported = False
        self._wake = asyncio.Event()
        self.wake_run = asyncio.Event()
        self.placements_changed = True

    def add_slots(self, slots: StepSlots, placements: list[Placement]) -> None:
        """Add the slots; resume the streams of those with a valid placement."""
        self._slots = slots
        placement_by_key = {
            (placement.group, placement.index): placement for placement in placements
        }
        for key, slot in slots.by_key.items():
            engine = self._engine_for_placement(slot, placement_by_key.get(key))
            if engine is None:
                self._pending.add(slot)
                continue
            placement = placement_by_key[key]
            stream = placement.stream
            self._events.emit("sample_resumed", step=self.name, stream=stream)
            self._start_attempt(
                slot, engine, stream, resumed=True, metered_pieces=placement.pieces
            )

    def _engine_for_placement(
        self, slot: Slot, placement: Placement | None
    ) -> Engine | None:
        """Return the engine of a checkpointed stream.

        :return: None if there is no placement, if the engine is not declared in the
            workload's pool, or if the stream is not one of ``slot``.
        """
        if placement is None:
            return None
        engine = self._engines.by_name.get(placement.engine)
        if engine is None or engine.spec.pool != self._workload.spec.pool:
            return None
        return (
            engine if self._stream_names.matches_slot(slot, placement.stream) else None
        )

    def update_workload(self, workload: Resource) -> None:
        """Apply a changed declaration of the workload to the running step."""
        self._workload = self._selector.workload = workload

    async def run(self) -> None:
        """Dispatch slots until cancelled."""
        while True:
            self._discard_stale()
            pauses = self._kernel.get(PauseDetector)
            await pauses.refresh_if_stale()
            is_isolated = pauses.is_isolated()
            if not is_isolated:
                await self._dispatch_pending()
            self._reclaim_lent_streams()
            if not is_isolated:
                self._start_second_attempts()
            self._wake.clear()
            try:
                async with asyncio.timeout(_DISPATCH_INTERVAL_SECONDS):
                    await self._wake.wait()
            except TimeoutError:
                continue

    def stop(self) -> list[Attempt]:
        """Stop reading all streams and return the attempts that were in flight."""
        attempts = [
            attempt
            for slot_attempts in self._attempts_by_key.values()
            for attempt in slot_attempts
        ]
        self._attempts_by_key.clear()
        for attempt in attempts:
            if attempt.task is not None:
                attempt.task.cancel()
        return attempts

    def placements(self) -> list[Placement]:
        """Return the engine and stream of each sample that was not handed over."""
        in_flight = [
            attempts[0].placement() for attempts in self._attempts_by_key.values()
        ]
        return in_flight + [
            complete.placement for _, complete in self._slots.complete_samples()
        ]

    def final_placements(self) -> list[Placement]:
        """Return :meth:`placements` and stop counting the usage of the streams.

        The host that resumes the streams counts all pieces after these placements;
        counting them here too would count them twice.
        """
        placements = self.placements()
        for attempts in self._attempts_by_key.values():
            attempts[0].meter = None
        return placements

    # Freshness

    def is_stale(self, complete: CompleteSample) -> bool:
        """Return whether a complete sample exceeds the freshness bound now."""
        return self._exceeds_freshness_bound(
            complete.oldest, complete.newest_at_dispatch
        )

    def regenerate(self, key: SlotKey) -> None:
        """Discard a stale sample and queue its slot for a new attempt."""
        self._events.emit("sample_stale", step=self.name, slot=key)
        self._pending.add(self._slots.discard(key))
        self.placements_changed = True
        self._wake.set()

    def _exceeds_freshness_bound(
        self, oldest: int | None, newest_at_dispatch: int
    ) -> bool:
        newest = self._versions.newest(self._workload.name)
        age = SampleAge(oldest, newest, newest_at_dispatch)
        bound = self._workload.spec.freshness_bound
        return self._steps.policies.freshness.is_stale(age, bound)

    def _is_attempt_stale(self, attempt: Attempt) -> bool:
        return self._exceeds_freshness_bound(attempt.oldest, attempt.newest_at_dispatch)

    def _discard_stale(self) -> None:
        """Discard samples and cancel attempts that a new version made stale."""
        newest = self._versions.newest(self._workload.name)
        if newest == self._selector.newest:
            return
        self._selector.newest = newest
        for key, complete in self._slots.complete_samples():
            if self.is_stale(complete):
                self.regenerate(key)
        for attempts in list(self._attempts_by_key.values()):
            for attempt in list(attempts):
                if self._is_attempt_stale(attempt):
                    self._emit_attempt_event(
                        "sample_stale",
                        attempt,
                        "a newer version made the attempt stale",
                    )
                    self._cancel_attempt(attempt)
                    self._requeue(attempt.slot)

    # Dispatching

    async def _dispatch_pending(self) -> None:
        """Start attempts while the budget and the engines have room."""
        started_count = 0
        if not len(self._pending):
            return
        stream_limit = self._selector.stream_limit(self._in_flight)
        if self._in_flight >= stream_limit:
            return
        guaranteed = self._selector.guaranteed_streams(self._in_flight)
        candidates = self._selector.candidates()
        while self._in_flight < stream_limit and len(self._pending):
            slot = self._pending.pop(clock.now())
            if slot is None:
                return
            if not self._slots.is_open(slot.key) or slot.key in self._attempts_by_key:
                continue
            engine = self._selector.choose(slot, candidates)
            if engine is None:
                self._pending.add(slot)
                self._report_waiting()
                return
            self._start_new_attempt(slot, engine, lent=self._in_flight >= guaranteed)
            started_count += 1
            if started_count % _STARTS_PER_YIELD == 0:
                await asyncio.sleep(0)
                candidates = self._selector.candidates()

    def _report_waiting(self) -> None:
        if self._in_flight or self._waiting_reported:
            return
        self._waiting_reported = True
        self._events.emit("step_waiting", step=self.name, missing=len(self._pending))

    # Attempts

    def _start_new_attempt(
        self, slot: Slot, engine: Engine, lent: bool = False
    ) -> None:
        self._waiting_reported = False
        slot.attempts += 1
        stream = self._stream_names.name(slot)
        self._events.emit(
            "sample_dispatched",
            step=self.name,
            slot=slot.key,
            engine=engine.name,
            stream=stream,
        )
        self._start_attempt(slot, engine, stream, lent=lent)

    def _start_attempt(
        self,
        slot: Slot,
        engine: Engine,
        stream: str,
        resumed: bool = False,
        lent: bool = False,
        metered_pieces: int = 0,
    ) -> None:
        attempt = Attempt(
            slot,
            engine,
            stream,
            started_at=clock.now(),
            newest_at_dispatch=self._versions.newest(self._workload.name),
            resumed=resumed,
            lent=lent,
            metered_pieces=metered_pieces,
        )
        slot.attempts = max(slot.attempts, 1)
        self._attempts_by_key.setdefault(slot.key, []).append(attempt)
        self._in_flight += 1
        engine.in_flight += 1
        self.placements_changed = True
        loop = asyncio.get_running_loop()
        attempt.task = loop.create_task(self._run_attempt(attempt))
        attempt.task.add_done_callback(
            lambda task: self._on_attempt_done(attempt, task)
        )

    def _stream_order(self, attempt: Attempt) -> StreamOrder:
        slot = attempt.slot
        spec = self._workload.spec
        newest = attempt.newest_at_dispatch
        oldest = max(newest - spec.freshness_bound, min(newest, 1))
        return StreamOrder(
            stream=attempt.stream,
            workload=self._workload.name,
            prompt=slot.prompt,
            max_tokens=min(slot.max_tokens, spec.max_tokens),
            seed=slot.seed,
            priority=spec.priority,
            min_version=oldest if oldest > 0 else None,
            piece_tokens=self._steps.piece_tokens,
            workspace=self._workspace,
        )

    async def _run_attempt(self, attempt: Attempt) -> None:
        """Collect one sample; on a failure, requeue its slot."""
        usage = self._engines.usage
        slots = attempt.engine.spec.slots
        try:
            with usage.stream(self._workload.name, slots) as attempt.meter:
                sample = await collect_sample(
                    attempt,
                    self._stream_order(attempt),
                    self._engines,
                    self._is_attempt_stale,
                )
        except UnstampedStreamError as error:
            self._engines.start_cooldown(
                attempt.engine, _UNSTAMPED_COOLDOWN_SECONDS, error
            )
            self._fail_attempt("sample_unstamped", attempt, error)
        except SampleTooOldError as error:
            self._fail_attempt("sample_stale", attempt, error)
        except (StreamLostError, RefusedError) as error:
            self._fail_attempt("sample_lost", attempt, error)
        else:
            self._accept_sample(attempt, sample)

    def _emit_attempt_event(self, name: str, attempt: Attempt, detail: str) -> None:
        self._events.emit(
            name,
            step=self.name,
            slot=attempt.slot.key,
            stream=attempt.stream,
            engine=attempt.engine.name,
            error=detail,
        )

    def _fail_attempt(
        self, name: str, attempt: Attempt, error: CranberryrunError
    ) -> None:
        if not self._remove_attempt(attempt):
            return
        self._emit_attempt_event(name, attempt, error.detail)
        self._count_wasted(attempt)
        if not isinstance(error, RefusedError):
            self._steps.cancel_streams([attempt])
        self._requeue(attempt.slot)

    def _requeue(self, slot: Slot) -> None:
        """Queue the slot for a later attempt, unless it has an attempt or a sample."""
        if slot.key in self._attempts_by_key or not self._slots.is_open(slot.key):
            return
        delay = _RETRY_DELAY_SECONDS * 2 ** min(slot.attempts - 1, 8)
        slot.not_before = clock.now() + min(delay, _MAX_RETRY_DELAY_SECONDS)
        self._pending.add(slot)

    def _remove_attempt(self, attempt: Attempt) -> bool:
        """Remove this attempt only; return False if it was removed before."""
        key = attempt.slot.key
        attempts = self._attempts_by_key.get(key, [])
        if attempt not in attempts:
            return False
        attempts.remove(attempt)
        if not attempts:
            del self._attempts_by_key[key]
        self.placements_changed = True
        return True

    def _count_wasted(self, attempt: Attempt) -> None:
        self._wasted_seconds += clock.now() - attempt.started_at

    def _cancel_attempt(self, attempt: Attempt) -> None:
        """Cancel the attempt's task and its stream at the engine."""
        if not self._remove_attempt(attempt):
            return
        self._count_wasted(attempt)
        if attempt.task is not None:
            attempt.task.cancel()
        self._steps.cancel_streams([attempt])

    def _accept_sample(self, attempt: Attempt, sample: Sample) -> None:
        """Keep the first complete sample of a slot and cancel its other attempts."""
        slot = attempt.slot
        if not self._remove_attempt(attempt):
            return
        for duplicate in list(self._attempts_by_key.get(slot.key, ())):
            self._cancel_attempt(duplicate)
        complete = CompleteSample(
            sample, attempt.newest_at_dispatch, attempt.placement()
        )
        if not self._slots.add_complete(slot.key, complete):
            return
        duration = clock.now() - attempt.started_at
        self._durations.append(duration)
        if not attempt.resumed:
            self._statistics.record(slot.prompt_digest, sample.tokens, duration)
        self._useful_seconds += duration
        self._events.emit(
            "sample_whole",
            step=self.name,
            slot=slot.key,
            stream=attempt.stream,
            engine=attempt.engine.name,
        )
        self.wake_run.set()

    def _on_attempt_done(self, attempt: Attempt, task: asyncio.Task[Any]) -> None:
        """Release the capacity of an attempt that ended in any way."""
        self._in_flight -= 1
        attempt.engine.in_flight -= 1
        self._wake.set()
        if task.cancelled() or task.exception() is None:
            return
        # An exception that gets here is a bug: errors of engines are handled in
        # _run_attempt. The slot is requeued so that the step can still finish.
        if self._remove_attempt(attempt):
            self._requeue(attempt.slot)
        self._steps.log_task_failure(task.exception())

    # Lent streams and stragglers

    def _reclaim_lent_streams(self) -> None:
        """Cancel lent streams beyond the budget, those with the fewest tokens first.

        Streams within the guaranteed share and slots with two attempts are kept.
        """
        excess = self._in_flight - self._selector.stream_limit(self._in_flight)
        if excess <= 0:
            return
        lent = [
            attempts[0]
            for attempts in self._attempts_by_key.values()
            if len(attempts) == 1 and attempts[0].lent
        ]
        lent.sort(key=lambda attempt: attempt.tokens)
        for attempt in lent[:excess]:
            self._emit_attempt_event(
                "sample_given_back", attempt, "the pool needs the lent stream"
            )
            self._cancel_attempt(attempt)
            self._requeue(attempt.slot)

    def _start_second_attempts(self) -> None:
        now = clock.now()
        if (
            len(self._pending)
            or now - self._stragglers_checked_at < _STRAGGLER_CHECK_SECONDS
        ):
            return
        self._stragglers_checked_at = now
        candidates = self._selector.candidates()
        progress = self._step_progress(candidates)
        for key in self._steps.policies.stragglers.second_attempts(progress):
            first = self._attempts_by_key[key][0]
            engine = self._selector.choose(
                first.slot, candidates, excluded=first.engine.name
            )
            if engine is None:
                return
            self._emit_attempt_event("second_attempt", first, "")
            self._start_new_attempt(first.slot, engine)

    def _step_progress(self, candidates: dict[str, Candidate]) -> StepProgress:
        now = clock.now()
        running = [
            self._slot_progress(key, attempts, now)
            for key, attempts in self._attempts_by_key.items()
        ]
        return StepProgress(
            total=self._slots.total,
            complete=self._slots.total - self._slots.incomplete_count,
            pending=self._slots.incomplete_count - len(running),
            running=running,
            idle_slots=min(
                self._selector.stream_limit(self._in_flight) - self._in_flight,
                self._selector.free_slots(candidates),
            ),
            new_stream_rate=self._selector.new_stream_rate(candidates),
            durations=self._durations,
            spent_seconds=self._useful_seconds
            + self._wasted_seconds
            + sum(slot.elapsed for slot in running),
            wasted_seconds=self._wasted_seconds,
        )

    def _slot_progress(
        self, key: SlotKey, attempts: list[Attempt], now: float
    ) -> SlotProgress:
        first = attempts[0]
        slot = first.slot
        return SlotProgress(
            key=key,
            attempts=len(attempts),
            elapsed=now - first.started_at,
            tokens=first.tokens,
            rate=first.rate(now),
            expected_tokens=self._statistics.expected_tokens(
                slot.prompt_digest, slot.max_tokens
            ),
            max_tokens=min(slot.max_tokens, self._workload.spec.max_tokens),
        )
