"""In-memory engines of the platform, on the clock of the test's event loop."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import AsyncIterator
from dataclasses import dataclass, field

from cranberryrun.batches.models import Item, Piece
from cranberryrun.exceptions import (
    StaleFenceError,
    TargetFailedError,
    TargetRefusedError,
    TargetUnreachableError,
    TruncatedAnswerError,
)
from cranberryrun.fleet.client import (
    Answer,
    ConnectionLostError,
    EngineReport,
    ItemImpossibleError,
    LoadOrder,
    MalformedStreamError,
    OrderRefusedError,
    Request,
    RunFailedError,
    StreamedEvents,
    TargetClient,
    WrongVersionError,
)
from cranberryrun.fleet.directory import Target
from cranberryrun.rewards.models import RewardCall

# How long a target runs a request that ends it.
_CRASH_DELAY_SECONDS = 0.03


@dataclass(slots=True)
class FakeEngine:
    """The state and faults of one engine.

    :ivar software: the version of the engine's software. If it is set, each event
        names it, because what two versions write does not fit together.
    :ivar gap: time between two events of a run, in seconds.
    :ivar cut_after: number of events after which the engine breaks off each run.
    :ivar malformed_after: number of events, all with wrong texts, after which the
        engine sends something in each run that is no event.
    :ivar unresponsive: whether the engine accepts connections but answers nothing.
    :ivar gone: whether the engine refuses connections and breaks off its runs.
    :ivar started: event that must be set before a run sends its first event.
    :ivar lose_orders: number of orders to come that take effect but whose answers
        are lost.
    :ivar memory_tokens: the engine crashes, and breaks off all its runs, when they
        hold more tokens. ``held_by_run`` has the item and the events of each run.
    """

    version: int = 1
    software: str = ""
    gap: float = 0.04
    load_seconds: float = 0.9
    slots: int = 12
    cut_after: int | None = None
    malformed_after: int | None = None
    unresponsive: bool = False
    gone: bool = False
    status: int = 200
    started: asyncio.Event | None = None
    loading: bool = False
    fence: int = 0
    sequence: int = 0
    running: int = 0
    most_running: int = 0
    runs: list[tuple[str, int]] = field(default_factory=list)
    orders: list[LoadOrder] = field(default_factory=list)
    lose_orders: int = 0
    memory_tokens: float = float("inf")
    tokens_per_event: float = 10.0
    held_by_run: dict[object, tuple[Item, int]] = field(default_factory=dict)
    crashes: int = 0

    def held_tokens(self) -> float:
        """Return the tokens that the runs hold; shared parts count once."""
        parts: dict[str, float] = {}
        tokens = 0.0
        for item, events in self.held_by_run.values():
            shared = dict(item.prompt_parts)
            parts |= shared
            tokens += item.prompt_tokens - sum(shared.values())
            tokens += events * self.tokens_per_event
        return tokens + sum(parts.values())

    def hold(self, run: object, item: Item, events: int, crashes: int) -> None:
        """Record what a run holds now; crash if that is too much.

        :param crashes: the number of crashes when the run started.
        :raises TruncatedAnswerError: the engine has crashed since then.
        """
        if crashes == self.crashes:
            self.held_by_run[run] = item, events
            if self.held_tokens() > self.memory_tokens:
                self.crashes += 1
                self.held_by_run.clear()
        if crashes != self.crashes:
            raise TruncatedAnswerError("the engine crashed because its memory is full")


@dataclass(frozen=True, slots=True)
class ScoreCall:
    """A reward call that reached a target at ``time``, in loop seconds."""

    target: str
    call: str
    time: float


class FakeTargets(TargetClient):
    """Answers in place of all targets.

    Requests get the scripted answers of ``answers_by_target``. Runs of items are
    answered by ``engine_by_id``; an item has as many events as ``events_by_item``
    says, by default 10. Reward calls get the steps of ``score_steps_by_target``, of
    which the last one applies to all further calls. A request to a path of
    ``crashing_paths`` ends its target, and all that it runs, after some milliseconds;
    ``crashes`` has target, path and time. ``workspaces_by_item`` has the workspaces
    that the runs of an item were sent with, and ``run_times`` each run that began, as
    the item's id and the time in loop seconds.
    """

    def __init__(self) -> None:
        super().__init__()
        self.engine_by_id: dict[str, FakeEngine] = {}
        self.events_by_item: dict[str, int] = {}
        self.workspaces_by_item: dict[str, list[str | None]] = {}
        self.run_times: list[tuple[str, float]] = []
        self.answers_by_target: dict[str, list[object]] = {}
        self.sent: list[tuple[str, str]] = []
        self.crashed_targets: set[str] = set()
        self.crashing_paths: set[str] = set()
        self.crashes: list[tuple[str, str, float]] = []
        self.score_steps_by_target: dict[str, list[object]] = {}
        self.score_calls: list[ScoreCall] = []
        self.scores_running_by_target: Counter[str] = Counter()

    async def send(self, target: Target, request: Request) -> Answer:
        """Return or raise the target's next scripted step.

        A step is an answer, an error or a delay in seconds; without a script, the
        delay is 0.03 s. The answer after a delay has the target's id as its body.
        """
        if target.id in self.crashed_targets:
            await asyncio.sleep(0.003)
            raise TargetUnreachableError("the target refused the connection")
        self.sent.append((target.id, request.id))
        if request.target in self.crashing_paths:
            # The target runs on if its caller leaves.
            asyncio.get_running_loop().call_later(
                _CRASH_DELAY_SECONDS, self._crash, target.id, request.target
            )
            await asyncio.sleep(2 * _CRASH_DELAY_SECONDS)
        script = self.answers_by_target.get(target.id, [])
        step = script.pop(0) if script else 0.03
        if isinstance(step, (int, float)):
            if target.id not in self.crashed_targets:
                await asyncio.sleep(step)
            if target.id in self.crashed_targets:
                raise ConnectionLostError("the target closed the connection")
            return Answer(200, (), target.id.encode())
        if isinstance(step, Exception):
            await asyncio.sleep(0.001)
            raise step
        assert isinstance(step, Answer)
        return step

    def _crash(self, target_id: str, path: str) -> None:
        now = asyncio.get_running_loop().time()
        if target_id not in self.crashed_targets:
            self.crashes.append((target_id, path, now))
            self.crashed_targets.add(target_id)

    async def stream(
        self, target: Target, request: Request, last_event: int | None
    ) -> AsyncIterator[Answer | StreamedEvents]:
        """Yield the next scripted answer, as :meth:`send` returns it."""
        yield await self.send(target, request)

    async def run(
        self,
        target: Target,
        host: str,
        item: Item,
        version: int,
        done: int,
        deadline: float,
        workspace: str | None = None,
    ) -> AsyncIterator[Piece]:
        """See :meth:`TargetClient.run`."""
        engine = self.engine_by_id[target.id]
        self.workspaces_by_item.setdefault(item.id, []).append(workspace)
        await asyncio.sleep(0.001)
        if engine.gone:
            raise TargetUnreachableError("the engine refused the connection")
        if engine.unresponsive:
            await asyncio.sleep(3600)
        if engine.status == 422:
            raise ItemImpossibleError("the engine rejected the item as impossible")
        if engine.status == 500:
            engine.runs.append((item.id, done))
            raise RunFailedError("the engine failed during the run")
        if version != engine.version:
            raise WrongVersionError("the engine has loaded another version")
        if engine.loading or engine.running >= engine.slots:
            raise TargetRefusedError(
                "the engine is loading a version or has no free slot"
            )
        engine.runs.append((item.id, done))
        self.run_times.append((item.id, asyncio.get_running_loop().time()))
        engine.running += 1
        engine.most_running = max(engine.most_running, engine.running)
        try:
            if engine.started is not None:
                await engine.started.wait()
            async for piece in self._events(engine, item, done):
                yield piece
        finally:
            engine.running -= 1

    async def _events(
        self, engine: FakeEngine, item: Item, done: int
    ) -> AsyncIterator[Piece]:
        run = object()
        crashes = engine.crashes
        try:
            engine.hold(run, item, done, crashes)
            async for piece in self._generate(engine, item, done, run, crashes):
                yield piece
        finally:
            engine.held_by_run.pop(run, None)

    async def _generate(
        self, engine: FakeEngine, item: Item, done: int, run: object, crashes: int
    ) -> AsyncIterator[Piece]:
        sent_events = 0
        while done < self.events_by_item.get(item.id, 10):
            await asyncio.sleep(engine.gap)
            if engine.gone or engine.cut_after == sent_events:
                raise TruncatedAnswerError(
                    "the engine closed the connection before the last event"
                )
            if engine.unresponsive:
                await asyncio.sleep(3600)
            if engine.malformed_after == sent_events:
                raise MalformedStreamError("the engine sent something that is no event")
            sent_events += 1
            done += 1
            engine.hold(run, item, done, crashes)
            text = f"{item.id}/{done}"
            if engine.software:
                text += f"@{engine.software}"
            if engine.malformed_after is not None:
                text = "wrong"
            yield Piece(text, engine.version)

    async def score(self, target: Target, call: RewardCall, deadline: float) -> str:
        """See :meth:`TargetClient.score`; the target's next step decides the answer.

        A step is an error or a delay in seconds; without one, the delay is 0.1 s.
        """
        loop = asyncio.get_running_loop()
        self.score_calls.append(ScoreCall(target.id, call.id, loop.time()))
        steps = self.score_steps_by_target.get(target.id, [])
        step = steps.pop(0) if len(steps) > 1 else (steps or [0.1])[0]
        self.scores_running_by_target[target.id] += 1
        try:
            if isinstance(step, Exception):
                await asyncio.sleep(0.03)
                raise step
            assert isinstance(step, (int, float))
            await asyncio.sleep(step)
            return f"{call.id} scored by {target.id}"
        finally:
            self.scores_running_by_target[target.id] -= 1

    async def refuses_connections(self, target: Target) -> bool:
        """See :meth:`TargetClient.refuses_connections`."""
        await asyncio.sleep(0.001)
        return target.id in self.crashed_targets

    async def report(self, target: Target) -> EngineReport:
        """See :meth:`TargetClient.report`."""
        engine = self.engine_by_id[target.id]
        await asyncio.sleep(0.001)
        if engine.gone or engine.unresponsive:
            raise TargetFailedError(
                "the engine did not answer the request for a report"
            )
        versions = {model: engine.version for model in target.version_by_model}
        return EngineReport(engine.loading, engine.sequence, versions)

    async def order(self, target: Target, order: LoadOrder) -> None:
        """See :meth:`TargetClient.order`."""
        engine = self.engine_by_id[target.id]
        engine.orders.append(order)
        await asyncio.sleep(0.001)
        if order.fence < engine.fence:
            raise StaleFenceError("the engine has seen a higher fencing token")
        engine.fence = order.fence
        if engine.loading or order.sequence != engine.sequence:
            raise OrderRefusedError("the engine is loading or expects another sequence")
        if engine.lose_orders:
            engine.lose_orders -= 1
            raise TargetFailedError("the answer to the order was lost")
        engine.sequence += 1
        engine.loading = True
        loop = asyncio.get_running_loop()
        loop.call_later(engine.load_seconds, self._loaded, engine, order.version)

    def _loaded(self, engine: FakeEngine, version: int) -> None:
        engine.loading = False
        engine.version = version
