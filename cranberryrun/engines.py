"""What this host knows of the model engines, and which of them it watches."""

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

_USED_SECONDS = 10.0
_HURRY_SECONDS = 5.0
_OWNER_CHECK_SECONDS = 1.0


@dataclass(slots=True)
class Engine:
    """One declared engine as this host knows it.

    It gets no new work before the loop time ``out_until``, and is polled often
    until ``hurry_until``. ``state_at`` is when it was asked for its state.
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
    out_until: float = 0.0
    hurry_until: float = 0.0
    wake: asyncio.Event = field(default_factory=asyncio.Event)
    _stamp_by_workload: dict[str, tuple[int, float]] = field(default_factory=dict)

    def version_of(self, workload: str) -> int | None:
        """Return the version the engine last said it runs for ``workload``."""
        version, stamped_at = self._stamp_by_workload.get(workload, (None, -1.0))
        if version is not None and (self.state is None or stamped_at > self.state_at):
            return version
        if self.state is None or workload not in self.state.by_workload:
            return None
        return self.state.by_workload[workload].version

    def stamped(self, workload: str, version: int | None) -> None:
        """Note the version that made a piece just now."""
        if version is not None:
            self._stamp_by_workload[workload] = (version, clock.now())

    def forget(self) -> None:
        """Forget what the engine said; it is another one now."""
        self.state = None
        self.load = None
        self._stamp_by_workload.clear()

    def candidate(self) -> Candidate:
        """Return the engine as a candidate of a routing policy."""
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
    """Follows the declared engines and polls those it uses or owns.

    A host uses a subset of each pool, chosen by rendezvous hashing; of a small
    pool it uses all. It owns the engines that it gives orders to.
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
        self._wanted_by_pool: dict[str, int] = defaultdict(int)
        self._subset_by_pool: dict[str, list[str]] = {}
        self._used_at_by_pool: dict[str, float] = {}
        self._polls_by_name: dict[str, asyncio.Task[Any]] = {}

    def client_for(self, spec: EngineSpec) -> EngineClient:
        """Return a client; tests put another one here."""
        return HttpEngineClient(
            spec.url, self.kernel.get(HttpClients), self._settings.timing.stream_idle
        )

    async def start(self) -> None:
        """Begin to follow the configuration and the hosts."""
        self.supervise(self._follow)
        self.supervise(self._follow_hosts)

    async def _follow(self) -> None:
        configuration = self.kernel.get(Configuration)
        while True:
            offset = configuration.state.offset
            self._declare()
            await configuration.wait_past(offset, 60)

    async def _follow_hosts(self) -> None:
        membership = self.kernel.get(Membership)
        known: list[str] = []
        while True:
            live = membership.live_ids()
            if live != known:
                known = live
                self._rewatch()
            await asyncio.sleep(_OWNER_CHECK_SECONDS)

    def _declare(self) -> None:
        configuration = self.kernel.get(Configuration)
        declared = {each.name: each for each in configuration.state.list("engines")}
        for name in list(self.by_name):
            if name not in declared:
                del self.by_name[name]
        for resource in declared.values():
            self._take(resource)
        names_by_pool: dict[str, list[str]] = defaultdict(list)
        for engine in self.by_name.values():
            names_by_pool[engine.spec.pool].append(engine.name)
        self._names_by_pool = dict(names_by_pool)
        self._rewatch()

    def _take(self, resource: Resource) -> None:
        """Take a declared engine in; streams in flight keep their count."""
        spec = resource.spec
        known = self.by_name.get(resource.name)
        if known is None:
            client = self.client_for(spec)
            self.by_name[resource.name] = Engine(
                resource.name, spec, resource.offset, client
            )
            return
        if known.offset == resource.offset:
            return
        if known.spec.url != spec.url:
            known.client = self.client_for(spec)
            known.forget()
            known.wake.set()
        known.spec = spec
        known.offset = resource.offset

    def _rewatch(self) -> None:
        """Choose anew which engines are polled."""
        membership = self.kernel.get(Membership)
        keys = [_owner_key(name) for name in self.by_name]
        self._ownership.update(membership.live_ids(), keys)
        self._subset_by_pool = {
            pool: self._subset(pool, names)
            for pool, names in self._names_by_pool.items()
        }
        watched = {name for names in self._subset_by_pool.values() for name in names}
        watched.update(self.owned())
        for name in list(self._polls_by_name):
            if name not in watched:
                self._polls_by_name.pop(name).cancel()
        for name in watched:
            if name not in self._polls_by_name:
                self._polls_by_name[name] = self.spawn(self._poll(name))

    def _subset(self, pool: str, names: list[str]) -> list[str]:
        size = max(self._settings.limits.engines_watched, self._wanted_by_pool[pool])
        if len(names) <= size:
            return list(names)
        return ranked(names, self._settings.id)[:size]

    @contextmanager
    def reserve(self, pool: str, engines: float) -> Iterator[None]:
        """Watch this many more engines of ``pool`` for the time of the block."""
        count = math.ceil(engines)
        self._wanted_by_pool[pool] += count
        self._rewatch()
        try:
            yield
        finally:
            self._wanted_by_pool[pool] -= count
            self._rewatch()

    def owns(self, name: str) -> bool:
        """Say whether this host gives the engine its orders."""
        owner = self._ownership.owner(_owner_key(name))
        return owner is not None and owner == self.kernel.get(Membership).id

    def owned(self) -> list[str]:
        """Return the names of the engines that this host gives orders to."""
        return [name for name in self.by_name if self.owns(name)]

    def in_pool(self, pool: str) -> list[Engine]:
        """Return every declared engine of ``pool``, also those not watched."""
        return [self.by_name[name] for name in self._names_by_pool.get(pool, ())]

    async def _poll(self, name: str) -> None:
        while name in self.by_name:
            engine = self.by_name[name]
            engine.wake.clear()
            await self.refresh(engine)
            try:
                async with asyncio.timeout(self._interval(engine)):
                    await engine.wake.wait()
            except TimeoutError:
                continue

    def _interval(self, engine: Engine) -> float:
        timing = self._settings.timing
        rate = self._settings.limits.engine_polls_per_second
        spread = len(self._polls_by_name) / rate
        if self._is_urgent(engine):
            return max(timing.engine_poll, spread)
        return max(timing.engine_poll_idle, timing.engine_poll, spread)

    def _is_urgent(self, engine: Engine) -> bool:
        now = clock.now()
        if now < engine.hurry_until or engine.state is None or engine.health.failures:
            return True
        used_at = self._used_at_by_pool.get(engine.spec.pool)
        return used_at is not None and now - used_at < _USED_SECONDS

    def hurry(self, engine: Engine) -> None:
        """Poll ``engine`` often for a while; its state is about to change."""
        engine.hurry_until = clock.now() + _HURRY_SECONDS
        engine.wake.set()

    async def refresh(self, engine: Engine) -> None:
        """Ask ``engine`` for its state, and for its load if it is used here."""
        asked_at = clock.now()
        try:
            engine.state = await engine.client.state()
            engine.state_at = asked_at
            if engine.name in self._subset_by_pool.get(engine.spec.pool, ()):
                engine.load = await engine.client.load()
                engine.load_at = clock.now()
        except CranberryrunError as error:
            self.failed(engine, error)
            return
        self.answered(engine)

    def failed(self, engine: Engine, error: CranberryrunError) -> None:
        """Note a failure of ``engine``; it gets nothing for a while."""
        if engine.health.failed():
            self.kernel.get(Events).emit(
                "target_failed", engine=engine.name, error=error.detail
            )

    def answered(self, engine: Engine) -> None:
        """Note that ``engine`` answers."""
        if engine.health.answered():
            self.kernel.get(Events).emit("target_back", engine=engine.name)

    def take_out(
        self, engine: Engine, seconds: float, error: CranberryrunError
    ) -> None:
        """Give ``engine`` no new work from this host for a while."""
        now = clock.now()
        if now >= engine.out_until:
            self.kernel.get(Events).emit(
                "engine_out",
                engine=engine.name,
                error=error.code,
                detail=error.detail,
                seconds=seconds,
            )
        engine.out_until = now + seconds

    def declare(self, engine: Engine, mark: EngineMark) -> bool:
        """Tell all hosts what this one, its owner, says of ``engine``.

        :returns: whether that is new.
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
        """Return what the engine's owner said of its present incarnation."""
        views = self.kernel.get(Membership).views
        fact = views.get(FactKind.ENGINE, engine.name)
        if fact is None:
            return EngineMark.HEALTHY
        if engine.state is not None and fact.incarnation < engine.state.incarnation:
            return EngineMark.HEALTHY
        return EngineMark(fact.value % len(EngineMark))

    def is_out(self, engine: Engine) -> bool:
        """Say whether the engine's owner took it out of use."""
        return self.mark_of(engine) is EngineMark.OUT_OF_SERVICE

    def usable_count(self, pool: str) -> float:
        """Return about how many engines of ``pool`` can be used.

        That is known of the watched ones, and taken to hold for the others.
        """
        watched = len(self._subset_by_pool.get(pool, ()))
        declared = len(self._names_by_pool.get(pool, ()))
        return len(self.usable(pool)) / watched * declared if watched else 0.0

    def usable(self, pool: str) -> list[Engine]:
        """Return the engines of ``pool`` that may get new work from here now."""
        now = clock.now()
        used_at = self._used_at_by_pool.get(pool)
        self._used_at_by_pool[pool] = now
        names = self._subset_by_pool.get(pool, ())
        if used_at is None or now - used_at >= _USED_SECONDS:
            for name in names:
                self.by_name[name].wake.set()
        membership = self.kernel.get(Membership)
        engines = [self.by_name[name] for name in names]
        return [
            engine
            for engine in engines
            if now >= engine.out_until
            and engine.health.usable()
            and not membership.target_leaving(engine.name)
            and not self.is_out(engine)
        ]


def _owner_key(name: str) -> str:
    return f"engine/{name}"
