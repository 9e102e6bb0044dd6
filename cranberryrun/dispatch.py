"""Gives a step's slots to engines and brings whole samples back."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from . import clock
from .budgets import BudgetPolicy, Demand, LentRate, granted_rate
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
from .pending import PendingSlots
from .routing import Candidate, Need, worthwhile
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
_REQUEST_SHARE = 0.125
_BEHIND_LOAD = 2.0
_LOADING_LOAD = 0.25


@dataclass(frozen=True, slots=True)
class StepPolicies:
    """The decisions of steps that can be exchanged."""

    stragglers: StragglerPolicy = field(default_factory=SecondAttempts)
    freshness: FreshnessPolicy = field(default_factory=AtHandOver)
    budget: BudgetPolicy = field(default_factory=LentRate)


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
        self.workload = workload
        self.name = f"{workload.name}/{step}"
        self._names = StreamNames(workload.name, step, began_ms)
        self._events = self._kernel.get(Events)
        self._versions = self._kernel.get(Versions)
        self._engines = self._kernel.get(Engines)
        self._lengths = steps.lengths(workload.name)
        self._slots: StepSlots
        self._pending = PendingSlots(self._lengths)
        self._attempts_by_key: dict[SlotKey, list[Attempt]] = {}
        self._durations: list[float] = []
        self._useful = 0.0
        self._held = 0
        self._wasted = 0.0
        self._newest = -1
        self._no_engine_since: float | None = None
        self._waiting = False
        self._wake = asyncio.Event()
        self.news = asyncio.Event()
        self.changed = True

    def begin(self, slots: StepSlots, placements: list[Placement]) -> None:
        """Take the slots in; those with a valid placement are resumed at once."""
        self._slots = slots
        self._newest = self._versions.newest(self.workload.name)
        placement_by_key = {(each.group, each.index): each for each in placements}
        for key, slot in slots.by_key.items():
            engine = self._engine_of(slot, placement_by_key.get(key))
            if engine is None:
                self._pending.add(slot)
                continue
            stream = placement_by_key[key].stream
            self._events.emit("sample_resumed", step=self.name, stream=stream)
            self._start(slot, engine, stream, resumed=True)

    def _engine_of(self, slot: Slot, placement: Placement | None) -> Engine | None:
        """Return where the checkpoint's stream runs, if it is a stream of ``slot``."""
        if placement is None:
            return None
        engine = self._engines.by_name.get(placement.engine)
        if engine is None or engine.spec.pool != self.workload.spec.pool:
            return None
        return engine if self._names.is_of(slot, placement.stream) else None

    async def run(self) -> None:
        """Give slots out until cancelled."""
        while True:
            self._judge()
            await self._fill()
            self._give_back()
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
        newest = self._versions.newest(self.workload.name)
        age = SampleAge(oldest, newest, newest_at_dispatch)
        bound = self.workload.spec.freshness_bound
        return self._steps.policies.freshness.too_old(age, bound)

    def _attempt_too_old(self, attempt: Attempt) -> bool:
        return self._too_old(attempt.oldest, attempt.newest_at_dispatch)

    def _judge(self) -> None:
        """After a new version, stop what can't be handed over any more."""
        newest = self._versions.newest(self.workload.name)
        if newest == self._newest:
            return
        self._newest = newest
        for key, whole in self._slots.waiting():
            if self.is_stale(whole):
                self.make_again(key)
        for rows in list(self._attempts_by_key.values()):
            for attempt in list(rows):
                if self._attempt_too_old(attempt):
                    self._emit("sample_stale", attempt, "a newer version is known")
                    self._abandon(attempt)
                    self._again(attempt.slot)

    # Engines and budget

    def _demand(self) -> Demand:
        spec = self.workload.spec
        pool = self._engines.in_pool(spec.pool)
        slots = sum(engine.spec.slots for engine in pool)
        engines = self._engines.usable_count(spec.pool)
        claims = self._steps.claims(self.workload)
        return Demand(
            rate=granted_rate(self.workload.name, claims, max(engines, 1.0)),
            trainers=max(spec.trainers, self._steps.running_of(self.workload.name)),
            slots=slots / max(len(pool), 1),
            pool_slots=slots,
            pool_busy=self._busy(pool),
            held=self._held,
            urgent=any(each.load and each.load.queued for each in pool),
        )

    def _allowed(self) -> int:
        return self._steps.policies.budget.streams(self._demand())

    def _busy(self, pool: list[Engine]) -> int:
        return sum(
            max(each.in_flight, each.load.running if each.load else 0) for each in pool
        )

    async def _fill(self) -> None:
        """Give slots out while the budget and the engines have room."""
        started = 0
        demand = self._demand()
        allowed = self._steps.policies.budget.streams(demand)
        own = self._steps.policies.budget.own_streams(demand)
        candidates = self._candidates()
        while self._held < allowed and len(self._pending):
            slot = self._pending.pop(clock.now())
            if slot is None:
                return
            if not self._slots.is_open(slot.key) or slot.key in self._attempts_by_key:
                continue
            engine = self._choose(slot, candidates)
            if engine is None:
                self._pending.add(slot)
                self._say_waiting()
                return
            self._start_new(slot, engine, lent=self._held >= own)
            started += 1
            if started % _STARTS_AT_A_TIME == 0:
                await asyncio.sleep(0)
                candidates = self._candidates()

    def _say_waiting(self) -> None:
        if self._held or self._waiting:
            return
        self._waiting = True
        self._events.emit("step_waiting", step=self.name, missing=len(self._pending))

    def _candidates(self) -> dict[str, Candidate]:
        """Return the engines with room whose version is fresh enough."""
        spec = self.workload.spec
        room = [
            engine
            for engine in self._engines.usable(spec.pool)
            if engine.in_flight < self._limit(engine)
        ]
        if self._running_at_least(room, self._newest):
            self._no_engine_since = None
        elif not self._waited_long():
            return {}
        oldest = self._newest - spec.freshness_bound
        return {
            engine.name: self._candidate(engine)
            for engine in self._running_at_least(room, oldest)
        }

    def _candidate(self, engine: Engine) -> Candidate:
        """Return the engine with what speaks against it: old weights, a load."""
        candidate = engine.candidate()
        spec = self.workload.spec
        loaded = engine.version_of(self.workload.name) or 0
        behind = max(0, self._newest - loaded)
        candidate.penalty = behind * (1 - spec.idle_weight) * _BEHIND_LOAD
        if engine.is_loading:
            candidate.penalty += _LOADING_LOAD
        return candidate

    def _running_at_least(self, engines: list[Engine], version: int) -> list[Engine]:
        chosen: list[Engine] = []
        for engine in engines:
            loaded = engine.version_of(self.workload.name)
            if loaded is not None and loaded >= version:
                chosen.append(engine)
        return chosen

    def _waited_long(self) -> bool:
        """Say whether to take what the bound allows for want of the newest."""
        now = clock.now()
        if self._no_engine_since is None:
            self._no_engine_since = now
        freshness = self._steps.policies.freshness
        patience = freshness.patience(self.workload.spec.idle_weight)
        return now - self._no_engine_since >= patience

    def _limit(self, engine: Engine) -> int:
        """Return how many streams of steps an engine may get from this host."""
        if not self._steps.has_requests(engine.spec.pool):
            return engine.spec.slots
        kept = max(1, int(engine.spec.slots * _REQUEST_SHARE))
        return max(1, engine.spec.slots - kept)

    def _choose(
        self, slot: Slot, by_name: dict[str, Candidate], but: str = ""
    ) -> Engine | None:
        candidates = [each for name, each in by_name.items() if name != but]
        chosen = self._steps.policy.choose(
            worthwhile(candidates), Need(self._steps.zone, slot.prefix)
        )
        if chosen is None:
            return None
        engine = self._engines.by_name.get(chosen.id)
        chosen.in_flight += 1
        if engine is None or chosen.in_flight >= self._limit(engine):
            by_name.pop(chosen.id, None)
            if not chosen.penalty and all(each.penalty for each in by_name.values()):
                # Whether the others will do depends on how long to wait for these.
                by_name.clear()
        return engine

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
    ) -> None:
        attempt = Attempt(
            slot,
            engine,
            stream,
            began_at=clock.now(),
            newest_at_dispatch=self._versions.newest(self.workload.name),
            resumed=resumed,
            lent=lent,
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
        spec = self.workload.spec
        oldest = attempt.newest_at_dispatch - spec.freshness_bound
        return StreamOrder(
            stream=attempt.stream,
            workload=self.workload.name,
            prompt=slot.prompt,
            max_tokens=min(slot.max_tokens, spec.max_tokens),
            seed=slot.seed,
            priority=spec.priority,
            min_version=oldest if oldest > 0 else None,
        )

    async def _attempt(self, attempt: Attempt) -> None:
        """Collect one sample; what goes wrong makes the slot wait again."""
        usage = self._engines.usage
        slots = attempt.engine.spec.slots
        try:
            with usage.stream(self.workload.name, slots) as attempt.meter:
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
        over = self._held - self._allowed()
        lent = [
            rows[0]
            for rows in self._attempts_by_key.values()
            if len(rows) == 1 and rows[0].lent
        ]
        lent.sort(key=lambda attempt: attempt.tokens)
        for attempt in lent[: max(0, over)]:
            self._emit("sample_given_back", attempt, "its share was lent")
            self._abandon(attempt)
            self._again(attempt.slot)

    def _help_stragglers(self) -> None:
        if len(self._pending) or not self._attempts_by_key:
            return
        candidates = self._candidates()
        progress = self._progress(candidates)
        for key in self._steps.policies.stragglers.second_attempts(progress):
            first = self._attempts_by_key[key][0]
            engine = self._choose(first.slot, candidates, but=first.engine.name)
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
            idle_slots=min(self._allowed() - self._held, self._room(candidates)),
            new_rate=self._new_rate(candidates),
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
            max_tokens=min(slot.max_tokens, self.workload.spec.max_tokens),
        )

    def _room(self, candidates: dict[str, Candidate]) -> int:
        engines = [self._engines.by_name[name] for name in candidates]
        return sum(self._limit(each) - each.in_flight for each in engines)

    def _new_rate(self, candidates: dict[str, Candidate]) -> float:
        rates: list[float] = []
        for name in candidates:
            engine = self._engines.by_name[name]
            rate = engine.spec.tokens_per_second
            running = engine.in_flight
            if engine.load is not None:
                rate = engine.load.tokens_per_second
                running = max(running, engine.load.running)
            rates.append(rate / (running + 1))
        return min(max(rates, default=0.0), self._lengths.best_rate)
