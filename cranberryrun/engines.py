"""The model engines: their reported state, polling, cooldowns and ownership."""

from __future__ import annotations

import asyncio
import math
from collections import defaultdict
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from typing import Any

from . import clock
from .configuration import Configuration
from .engine_client import (
    NOT_RUN_HEADER,
    WORKSPACE_HEADER,
    EngineClient,
    EngineState,
    HttpEngineClient,
    LoadedVersion,
    LoadReport,
    NamedOrder,
    Piece,
    StreamOrder,
    VersionOrder,
)
from .events import Events
from .exceptions import CranberryrunError
from .health import Health
from .http import HttpClients
from .kernel import Service
from .membership import Membership
from .meters import UsageCounter
from .models import EngineSpec
from .ownership import Ownership
from .rendezvous import ranked
from .routing import Candidate
from .settings import Settings
from .state import Resource
from .views import EngineMark, Fact, FactKind

__all__ = [
    "NOT_RUN_HEADER",
    "WORKSPACE_HEADER",
    "Engine",
    "EngineClient",
    "EngineState",
    "Engines",
    "LoadReport",
    "LoadedVersion",
    "NamedOrder",
    "Piece",
    "StreamOrder",
    "VersionOrder",
]

_POOL_ACTIVE_SECONDS = 10.0
_FREQUENT_POLL_DURATION_SECONDS = 5.0
_MEMBERSHIP_CHECK_SECONDS = 1.0


@dataclass(slots=True)
class Engine:
    """A declared engine with its last reports and its state on this host.

    All times are event loop times in seconds. This host sends no new work before
    ``cooldown_until`` and polls at the short interval until ``urgent_until``.
    ``state_at`` is when the last state was requested, ``load_at`` when the load
    report was received.
    """

    name: str
    spec: EngineSpec
    offset: int
    client: EngineClient
    health: Health = field(default_factory=Health)
    in_flight: int = 0
    load: LoadReport | None = None
    load_at: float = 0.0
    state: EngineState | None = None
    state_at: float = 0.0
    cooldown_until: float = 0.0
    urgent_until: float = 0.0
    poll_now: asyncio.Event = field(default_factory=asyncio.Event)
    _streamed_by_workload: dict[str, tuple[int, float]] = field(default_factory=dict)

    def version_of(self, workload: str) -> int | None:
        """Return the version last reported, by a stream or a poll, for ``workload``."""
        version, received_at = self._streamed_by_workload.get(workload, (None, -1.0))
        if version is not None and (self.state is None or received_at > self.state_at):
            return version
        if self.state is None or workload not in self.state.by_workload:
            return None
        return self.state.by_workload[workload].version

    def record_version(self, workload: str, version: int | None) -> None:
        """Record the version, if stated, that generated a piece received now."""
        if version is not None:
            self._streamed_by_workload[workload] = (version, clock.now())

    def clear_reports(self) -> None:
        """Drop all reports after the URL changed; they came from another engine."""
        self.state = None
        self.load = None
        self._streamed_by_workload.clear()

    def candidate(self) -> Candidate:
        """Return the engine as a candidate for a routing policy."""
        reported = self.load.running + self.load.queued if self.load else 0
        return Candidate(
            id=self.name,
            zone=self.spec.zone,
            slots=self.spec.slots,
            in_flight=self.in_flight,
            reported=reported,
            report_age=clock.now() - self.load_at if self.load else float("inf"),
        )


class Engines(Service):
    """Tracks the declared engines and polls those that this host uses or owns.

    A host uses a subset of each pool, chosen by rendezvous hashing; in a pool of
    at most ``limits.engines_watched`` engines it uses all. Each engine is owned by
    one live host, also chosen by rendezvous hashing, which sends its orders.
    """

    name = "engines"
    requires = ("configuration", "membership", "http", "events")

    def __init__(self, settings: Settings) -> None:
        super().__init__()
        self._settings = settings
        self.by_name: dict[str, Engine] = {}
        self.usage = UsageCounter()
        self._ownership = Ownership()
        self._names_by_pool: dict[str, list[str]] = {}
        self._requested_by_pool: dict[str, int] = defaultdict(int)
        self._subset_by_pool: dict[str, list[str]] = {}
        self._used_at_by_pool: dict[str, float] = {}
        self._polls_by_name: dict[str, asyncio.Task[Any]] = {}

    def client_for(self, spec: EngineSpec) -> EngineClient:
        """Return a client for the engine; tests override this method."""
        return HttpEngineClient(
            spec.url, self.kernel.get(HttpClients), self._settings.timing.stream_idle
        )

    async def start(self) -> None:
        """Start to follow the configuration and the list of live hosts."""
        self.supervise(self._follow_configuration)
        self.supervise(self._follow_membership)

    async def _follow_configuration(self) -> None:
        configuration = self.kernel.get(Configuration)
        while True:
            offset = configuration.state.offset
            self._update_engines()
            await configuration.wait_past(offset, 60)

    async def _follow_membership(self) -> None:
        membership = self.kernel.get(Membership)
        last_live_ids: list[str] = []
        while True:
            live = membership.live_ids()
            if live != last_live_ids:
                last_live_ids = live
                self._update_polls()
            await asyncio.sleep(_MEMBERSHIP_CHECK_SECONDS)

    def _update_engines(self) -> None:
        configuration = self.kernel.get(Configuration)
        declared = {
            resource.name: resource for resource in configuration.state.list("engines")
        }
        for name in list(self.by_name):
            if name not in declared:
                del self.by_name[name]
        for resource in declared.values():
            self._update_engine(resource)
        names_by_pool: dict[str, list[str]] = defaultdict(list)
        for engine in self.by_name.values():
            names_by_pool[engine.spec.pool].append(engine.name)
        self._names_by_pool = dict(names_by_pool)
        self._update_polls()

    def _update_engine(self, resource: Resource) -> None:
        """Add or update an engine; the count of streams in flight is kept."""
        spec = resource.spec
        engine = self.by_name.get(resource.name)
        if engine is None:
            client = self.client_for(spec)
            self.by_name[resource.name] = Engine(
                resource.name, spec, resource.offset, client
            )
            return
        if engine.offset == resource.offset:
            return
        if engine.spec.url != spec.url:
            engine.client = self.client_for(spec)
            engine.clear_reports()
            engine.poll_now.set()
        engine.spec = spec
        engine.offset = resource.offset

    def _update_polls(self) -> None:
        """Recompute ownership and subsets, and start and stop polls to match."""
        membership = self.kernel.get(Membership)
        keys = [_owner_key(name) for name in self.by_name]
        self._ownership.update(membership.live_ids(), keys)
        self._subset_by_pool = {
            pool: self._choose_subset(pool, names)
            for pool, names in self._names_by_pool.items()
        }
        polled = {name for names in self._subset_by_pool.values() for name in names}
        polled.update(self.owned())
        for name in list(self._polls_by_name):
            if name not in polled:
                self._polls_by_name.pop(name).cancel()
        for name in polled:
            if name not in self._polls_by_name:
                self._polls_by_name[name] = self.spawn(self._poll(name))

    def _choose_subset(self, pool: str, names: list[str]) -> list[str]:
        size = max(self._settings.limits.engines_watched, self._requested_by_pool[pool])
        if len(names) <= size:
            return list(names)
        return ranked(names, self._settings.id)[:size]

    @contextmanager
    def widen_subset(self, pool: str, engines: float) -> Iterator[None]:
        """Poll a subset of at least ``engines`` engines while the block runs.

        The numbers of concurrent blocks add up.
        """
        count = math.ceil(engines)
        self._requested_by_pool[pool] += count
        self._update_polls()
        try:
            yield
        finally:
            self._requested_by_pool[pool] -= count
            self._update_polls()

    def owns(self, name: str) -> bool:
        """Return whether this host owns the engine, i.e. sends its orders."""
        owner = self._ownership.owner(_owner_key(name))
        return owner is not None and owner == self.kernel.get(Membership).id

    def owned(self) -> list[str]:
        """Return the names of the engines that this host owns."""
        return [name for name in self.by_name if self.owns(name)]

    def in_pool(self, pool: str) -> list[Engine]:
        """Return every declared engine of ``pool``, including those not polled."""
        return [self.by_name[name] for name in self._names_by_pool.get(pool, ())]

    async def _poll(self, name: str) -> None:
        while name in self.by_name:
            engine = self.by_name[name]
            engine.poll_now.clear()
            await self.refresh(engine)
            try:
                async with asyncio.timeout(self._poll_interval(engine)):
                    await engine.poll_now.wait()
            except TimeoutError:
                continue

    def _poll_interval(self, engine: Engine) -> float:
        timing = self._settings.timing
        rate = self._settings.limits.engine_polls_per_second
        min_interval = len(self._polls_by_name) / rate
        if self._is_urgent(engine):
            return max(timing.engine_poll, min_interval)
        return max(timing.engine_poll_idle, timing.engine_poll, min_interval)

    def _is_urgent(self, engine: Engine) -> bool:
        now = clock.now()
        if now < engine.urgent_until or engine.state is None or engine.health.failures:
            return True
        used_at = self._used_at_by_pool.get(engine.spec.pool)
        return used_at is not None and now - used_at < _POOL_ACTIVE_SECONDS

    def poll_frequently(self, engine: Engine) -> None:
        """Poll ``engine`` at the short interval; its state is about to change."""
        engine.urgent_until = clock.now() + _FREQUENT_POLL_DURATION_SECONDS
        engine.poll_now.set()

    async def refresh(self, engine: Engine) -> None:
        """Fetch the state of ``engine``, and its load if it is in the subset."""
        requested_at = clock.now()
        try:
            engine.state = await engine.client.state()
            engine.state_at = requested_at
            if engine.name in self._subset_by_pool.get(engine.spec.pool, ()):
                engine.load = await engine.client.load()
                engine.load_at = clock.now()
        except CranberryrunError as error:
            self.record_failure(engine, error)
            return
        self.record_answer(engine)

    def record_failure(self, engine: Engine, error: CranberryrunError) -> None:
        """Record a failure of ``engine``, which starts a cooldown."""
        if engine.health.record_failure():
            self.kernel.get(Events).emit(
                "target_failed", engine=engine.name, error=error.detail
            )

    def record_answer(self, engine: Engine) -> None:
        """Record a response from ``engine`` and end the cooldown after failures."""
        if engine.health.record_answer():
            self.kernel.get(Events).emit("target_back", engine=engine.name)

    def start_cooldown(
        self, engine: Engine, seconds: float, error: CranberryrunError
    ) -> None:
        """Send no new work from this host to ``engine`` for ``seconds``.

        Unlike the cooldown after failures, a successful poll does not end it.
        """
        now = clock.now()
        if now >= engine.cooldown_until:
            self.kernel.get(Events).emit(
                "engine_out",
                engine=engine.name,
                error=error.code,
                detail=error.detail,
                seconds=seconds,
            )
        engine.cooldown_until = now + seconds

    def publish_mark(self, engine: Engine, mark: EngineMark) -> bool:
        """Publish ``mark`` for ``engine`` to all hosts; called on its owner.

        The mark is the fact's value modulo the number of marks; the value only
        grows, because hosts keep the greatest one.

        :returns: whether the mark differs from the published one.
        """
        if self.mark_of(engine) is mark:
            return False
        membership = self.kernel.get(Membership)
        incarnation = engine.state.incarnation if engine.state else 0
        fact = membership.views.get(FactKind.ENGINE, engine.name)
        value = -1
        if fact is not None and fact.incarnation >= incarnation:
            incarnation, value = fact.incarnation, fact.value
        value += 1
        value += (mark - value) % len(EngineMark)
        membership.learn([Fact(FactKind.ENGINE, engine.name, incarnation, value)])
        return True

    def mark_of(self, engine: Engine) -> EngineMark:
        """Return the mark that the owner published for the current incarnation."""
        views = self.kernel.get(Membership).views
        fact = views.get(FactKind.ENGINE, engine.name)
        if fact is None:
            return EngineMark.HEALTHY
        if engine.state is not None and fact.incarnation < engine.state.incarnation:
            return EngineMark.HEALTHY
        return EngineMark(fact.value % len(EngineMark))

    def is_out_of_service(self, engine: Engine) -> bool:
        """Return whether the engine's owner took it out of service."""
        return self.mark_of(engine) is EngineMark.OUT_OF_SERVICE

    def usable_count(self, pool: str) -> float:
        """Return an estimate of the number of usable engines in ``pool``.

        The usable share of the polled subset is extrapolated to the whole pool.
        """
        polled = len(self._subset_by_pool.get(pool, ()))
        declared = len(self._names_by_pool.get(pool, ()))
        return len(self.usable(pool)) / polled * declared if polled else 0.0

    def usable(self, pool: str) -> list[Engine]:
        """Return the engines of ``pool`` that this host may send new work to.

        Marks the pool as active; active pools are polled at the short interval.
        """
        now = clock.now()
        used_at = self._used_at_by_pool.get(pool)
        self._used_at_by_pool[pool] = now
        names = self._subset_by_pool.get(pool, ())
        if used_at is None or now - used_at >= _POOL_ACTIVE_SECONDS:
            for name in names:
                self.by_name[name].poll_now.set()
        membership = self.kernel.get(Membership)
        engines = [self.by_name[name] for name in names]
        return [
            engine
            for engine in engines
            if now >= engine.cooldown_until
            and engine.health.usable()
            and not membership.target_leaving(engine.name)
            and not self.is_out_of_service(engine)
        ]


def _owner_key(name: str) -> str:
    return f"engine/{name}"
