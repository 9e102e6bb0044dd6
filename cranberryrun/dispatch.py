"""Gives a step's slots to engines and brings whole samples back."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from . import clock
from .assignment import Assignment
from .budgets import BudgetPolicy, DeclaredRate
from .engines import Engine, Engines, StreamOrder
from .events import Events
from .exceptions import (
    CranberryrunError,
    RefusedError,
    SampleTooOldError,
    StreamLostError,
    UnstampedStreamError,
)
from .freshness import AtHandOver, FreshnessPolicy, SampleAge
from .models import Placement, Sample
from .pause_detector import PauseDetector
from .pending import PendingSlots
from .routing import Candidate
from .samples import Attempt, collect
from .slots import Slot, SlotKey, StepSlots, WholeSample
from .state import Resource
from .stragglers import SecondAttempts, SlotProgress, StepProgress, StragglerPolicy
from .streams import StreamNames
from .versions import Versions

if TYPE_CHECKING:
    from .steps import Steps

_TICK_SECONDS = 0.25
_AGAIN_PAUSE_SECONDS = 0.2
_MAX_AGAIN_PAUSE_SECONDS = 2.0
_UNSTAMPED_OUT_SECONDS = 30.0
_STARTS_AT_A_TIME = 16
_HELP_SECONDS = 1.0


@dataclass(frozen=True, slots=True)
class StepPolicies:
    """The decisions of steps that can be exchanged."""

    stragglers: StragglerPolicy = field(default_factory=SecondAttempts)
    freshness: FreshnessPolicy = field(default_factory=AtHandOver)
    budget: BudgetPolicy = field(default_factory=DeclaredRate)


class Dispatcher:
    """Makes the samples of one call of a step.

    Nothing waits in a task for an engine: a slot is given out when the budget
    and an engine have room, so a second attempt never waits behind others.

    :param began_ms: when the run began; a part of its streams' ids.
    """

    def __init__(
        self, steps: Steps, workload: Resource, step: int, began_ms: int
    ) -> None:
        self._steps = steps
        self._kernel = steps.kernel
        self._workload = workload
        self.name = f"{workload.name}/{step}"
        self._names = StreamNames(workload.name, step, began_ms)
        self._events = self._kernel.get(Events)
        self._versions = self._kernel.get(Versions)
        self._engines = self._kernel.get(Engines)
        self._assignment = Assignment(steps, workload)
        self._lengths = steps.lengths(workload.name)
        self._slots: StepSlots
        self._pending = PendingSlots(self._lengths)
        self._attempts_by_key: dict[SlotKey, list[Attempt]] = {}
        self._durations: list[float] = []
        self._useful = 0.0
        self._held = 0
        self._wasted = 0.0
        self._helped_at = 0.0
        self._waiting = False
        self._wake = asyncio.Event()
        self.news = asyncio.Event()
        self.changed = True

    def begin(self, slots: StepSlots, placements: list[Placement]) -> None:
        """Take the slots in; those with a valid placement are resumed at once."""
        self._slots = slots
        placement_by_key = {(each.group, each.index): each for each in placements}
        for key, slot in slots.by_key.items():
            engine = self._engine_of(slot, placement_by_key.get(key))
            if engine is None:
                self._pending.add(slot)
                continue
            placement = placement_by_key[key]
            stream = placement.stream
            self._events.emit("sample_resumed", step=self.name, stream=stream)
            self._start(slot, engine, stream, resumed=True, seen=placement.pieces)

    def _engine_of(self, slot: Slot, placement: Placement | None) -> Engine | None:
        """Return where the checkpoint's stream runs, if it is a stream of ``slot``."""
        if placement is None:
            return None
        engine = self._engines.by_name.get(placement.engine)
        if engine is None or engine.spec.pool != self._workload.spec.pool:
            return None
        return engine if self._names.is_of(slot, placement.stream) else None

    def change(self, workload: Resource) -> None:
        """Go on under a changed declaration of the workload."""
        self._workload = self._assignment.workload = workload

    async def run(self) -> None:
        """Give slots out until cancelled."""
        while True:
            self._judge()
            pauses = self._kernel.get(PauseDetector)
            await pauses.refresh_if_stale()
            is_isolated = pauses.is_isolated()
            if not is_isolated:
                await self._fill()
            self._give_back()
            if not is_isolated:
                self._help_stragglers()
            self._wake.clear()
            try:
                async with asyncio.timeout(_TICK_SECONDS):
                    await self._wake.wait()
            except TimeoutError:
                continue

    def stop(self) -> list[Attempt]:
        """Stop reading every stream and return what was being read."""
        attempts = [each for rows in self._attempts_by_key.values() for each in rows]
        self._attempts_by_key.clear()
        for attempt in attempts:
            if attempt.task is not None:
                attempt.task.cancel()
        return attempts

    def placements(self) -> list[Placement]:
        """Return where each sample that was not handed over is made or kept."""
        rows = [rows[0].placement() for rows in self._attempts_by_key.values()]
        return rows + [whole.placement for _, whole in self._slots.waiting()]

    def last_placements(self) -> list[Placement]:
        """Return :meth:`placements`; the next host counts all pieces after them."""
        rows = self.placements()
        for attempts in self._attempts_by_key.values():
            attempts[0].meter = None
        return rows

    # Freshness

    def is_stale(self, whole: WholeSample) -> bool:
        """Say whether a whole sample may not be handed over now."""
        return self._too_old(whole.oldest, whole.newest_at_dispatch)

    def make_again(self, key: SlotKey) -> None:
        """Drop a whole sample that is too old and make the slot anew."""
        self._events.emit("sample_stale", step=self.name, slot=key)
        self._pending.add(self._slots.drop(key))
        self.changed = True
        self._wake.set()

    def _too_old(self, oldest: int | None, newest_at_dispatch: int) -> bool:
        newest = self._versions.newest(self._workload.name)
        age = SampleAge(oldest, newest, newest_at_dispatch)
        bound = self._workload.spec.freshness_bound
        return self._steps.policies.freshness.too_old(age, bound)

    def _attempt_too_old(self, attempt: Attempt) -> bool:
        return self._too_old(attempt.oldest, attempt.newest_at_dispatch)

    def _judge(self) -> None:
        """After a new version, stop what can't be handed over any more."""
        newest = self._versions.newest(self._workload.name)
        if newest == self._assignment.newest:
            return
        self._assignment.newest = newest
        for key, whole in self._slots.waiting():
            if self.is_stale(whole):
                self.make_again(key)
        for rows in list(self._attempts_by_key.values()):
            for attempt in list(rows):
                if self._attempt_too_old(attempt):
                    self._emit("sample_stale", attempt, "a newer version is known")
                    self._abandon(attempt)
                    self._again(attempt.slot)

    # Giving out

    async def _fill(self) -> None:
        """Give slots out while the budget and the engines have room."""
        started = 0
        if not len(self._pending):
            return
        allowed = self._assignment.allowed(self._held)
        if self._held >= allowed:
            return
        own = self._assignment.own(self._held)
        candidates = self._assignment.candidates()
        while self._held < allowed and len(self._pending):
            slot = self._pending.pop(clock.now())
            if slot is None:
                return
            if not self._slots.is_open(slot.key) or slot.key in self._attempts_by_key:
                continue
            engine = self._assignment.choose(slot, candidates)
            if engine is None:
                self._pending.add(slot)
                self._say_waiting()
                return
            self._start_new(slot, engine, lent=self._held >= own)
            started += 1
            if started % _STARTS_AT_A_TIME == 0:
                await asyncio.sleep(0)
                candidates = self._assignment.candidates()

    def _say_waiting(self) -> None:
        if self._held or self._waiting:
            return
        self._waiting = True
        self._events.emit("step_waiting", step=self.name, missing=len(self._pending))

    # Attempts

    def _start_new(self, slot: Slot, engine: Engine, lent: bool = False) -> None:
        self._waiting = False
        slot.attempts += 1
        stream = self._names.name(slot)
        self._events.emit(
            "sample_dispatched",
            step=self.name,
            slot=slot.key,
            engine=engine.name,
            stream=stream,
        )
        self._start(slot, engine, stream, lent=lent)

    def _start(
        self,
        slot: Slot,
        engine: Engine,
        stream: str,
        resumed: bool = False,
        lent: bool = False,
        seen: int = 0,
    ) -> None:
        attempt = Attempt(
            slot,
            engine,
            stream,
            began_at=clock.now(),
            newest_at_dispatch=self._versions.newest(self._workload.name),
            resumed=resumed,
            lent=lent,
            seen=seen,
        )
        slot.attempts = max(slot.attempts, 1)
        self._attempts_by_key.setdefault(slot.key, []).append(attempt)
        self._held += 1
        engine.in_flight += 1
        self.changed = True
        loop = asyncio.get_running_loop()
        attempt.task = loop.create_task(self._attempt(attempt))
        attempt.task.add_done_callback(lambda task: self._ended(attempt, task))

    def _order(self, attempt: Attempt) -> StreamOrder:
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
        )

    async def _attempt(self, attempt: Attempt) -> None:
        """Collect one sample; what goes wrong makes the slot wait again."""
        usage = self._engines.usage
        slots = attempt.engine.spec.slots
        try:
            with usage.stream(self._workload.name, slots) as attempt.meter:
                sample = await collect(
                    attempt, self._order(attempt), self._engines, self._attempt_too_old
                )
        except UnstampedStreamError as error:
            self._engines.take_out(attempt.engine, _UNSTAMPED_OUT_SECONDS, error)
            self._lost("sample_unstamped", attempt, error)
        except SampleTooOldError as error:
            self._lost("sample_stale", attempt, error)
        except (StreamLostError, RefusedError) as error:
            self._lost("sample_lost", attempt, error)
        else:
            self._take(attempt, sample)

    def _emit(self, name: str, attempt: Attempt, detail: str) -> None:
        self._events.emit(
            name,
            step=self.name,
            slot=attempt.slot.key,
            stream=attempt.stream,
            engine=attempt.engine.name,
            error=detail,
        )

    def _lost(self, name: str, attempt: Attempt, error: CranberryrunError) -> None:
        if not self._remove(attempt):
            return
        self._emit(name, attempt, error.detail)
        self._waste(attempt)
        if not isinstance(error, RefusedError):
            self._steps.cancel_now([attempt])
        self._again(attempt.slot)

    def _again(self, slot: Slot) -> None:
        """Let the slot wait for another engine, unless it is being made."""
        if slot.key in self._attempts_by_key or not self._slots.is_open(slot.key):
            return
        pause = _AGAIN_PAUSE_SECONDS * 2 ** min(slot.attempts - 1, 8)
        slot.not_before = clock.now() + min(pause, _MAX_AGAIN_PAUSE_SECONDS)
        self._pending.add(slot)

    def _remove(self, attempt: Attempt) -> bool:
        """Strike the attempt off, and no other; say whether it was there."""
        key = attempt.slot.key
        rows = self._attempts_by_key.get(key, [])
        if attempt not in rows:
            return False
        rows.remove(attempt)
        if not rows:
            del self._attempts_by_key[key]
        self.changed = True
        return True

    def _waste(self, attempt: Attempt) -> None:
        self._wasted += clock.now() - attempt.began_at

    def _abandon(self, attempt: Attempt) -> None:
        """Stop an attempt whose sample is not needed, here and at its engine."""
        if not self._remove(attempt):
            return
        self._waste(attempt)
        if attempt.task is not None:
            attempt.task.cancel()
        self._steps.cancel_now([attempt])

    def _take(self, attempt: Attempt, sample: Sample) -> None:
        """Keep the first whole sample of a slot and stop its other attempts."""
        slot = attempt.slot
        if not self._remove(attempt):
            return
        for rival in list(self._attempts_by_key.get(slot.key, ())):
            self._abandon(rival)
        whole = WholeSample(sample, attempt.newest_at_dispatch, attempt.placement())
        if not self._slots.put(slot.key, whole):
            return
        duration = clock.now() - attempt.began_at
        self._durations.append(duration)
        if not attempt.resumed:
            self._lengths.learn(slot.prefix, sample.tokens, duration)
        self._useful += duration
        self._events.emit(
            "sample_whole",
            step=self.name,
            slot=slot.key,
            stream=attempt.stream,
            engine=attempt.engine.name,
        )
        self.news.set()

    def _ended(self, attempt: Attempt, task: asyncio.Task[Any]) -> None:
        """Give the place of an attempt back, however it ended."""
        self._held -= 1
        attempt.engine.in_flight -= 1
        self._wake.set()
        if task.cancelled() or task.exception() is None:
            return
        # A fault of this code: the slot is made again, and the fault is seen.
        if self._remove(attempt):
            self._again(attempt.slot)
        self._steps.report(task.exception())

    # Lent share and stragglers

    def _give_back(self) -> None:
        """Stop the youngest streams beyond the budget; only lent ones can be."""
        over = self._held - self._assignment.allowed(self._held)
        if over <= 0:
            return
        lent = [
            rows[0]
            for rows in self._attempts_by_key.values()
            if len(rows) == 1 and rows[0].lent
        ]
        lent.sort(key=lambda attempt: attempt.tokens)
        for attempt in lent[:over]:
            self._emit("sample_given_back", attempt, "its share was lent")
            self._abandon(attempt)
            self._again(attempt.slot)

    def _help_stragglers(self) -> None:
        now = clock.now()
        if len(self._pending) or now - self._helped_at < _HELP_SECONDS:
            return
        self._helped_at = now
        candidates = self._assignment.candidates()
        progress = self._progress(candidates)
        for key in self._steps.policies.stragglers.second_attempts(progress):
            first = self._attempts_by_key[key][0]
            engine = self._assignment.choose(
                first.slot, candidates, but=first.engine.name
            )
            if engine is None:
                return
            self._emit("second_attempt", first, "")
            self._start_new(first.slot, engine)

    def _progress(self, candidates: dict[str, Candidate]) -> StepProgress:
        now = clock.now()
        running = [
            self._slot_progress(key, rows, now)
            for key, rows in self._attempts_by_key.items()
        ]
        return StepProgress(
            total=self._slots.total,
            whole=self._slots.total - self._slots.unmade,
            waiting=self._slots.unmade - len(running),
            running=running,
            idle_slots=min(
                self._assignment.allowed(self._held) - self._held,
                self._assignment.room(candidates),
            ),
            new_rate=self._assignment.new_rate(candidates),
            durations=self._durations,
            spent=self._useful + self._wasted + sum(each.elapsed for each in running),
            wasted=self._wasted,
        )

    def _slot_progress(
        self, key: SlotKey, rows: list[Attempt], now: float
    ) -> SlotProgress:
        first = rows[0]
        slot = first.slot
        return SlotProgress(
            key=key,
            attempts=len(rows),
            elapsed=now - first.began_at,
            tokens=first.tokens,
            rate=first.rate(now),
            expected_tokens=self._lengths.expected(slot.prefix, slot.max_tokens),
            max_tokens=min(slot.max_tokens, self._workload.spec.max_tokens),
        )
