"""Faults that a seed draws: in series, overlapping, from outside the processes."""

from __future__ import annotations

import asyncio
import random
import signal
from abc import ABC, abstractmethod
from typing import ClassVar

from standins.platform_target import PlatformTarget

from .proxy import LinkState, Proxy
from .world import Host, World

_LINK_STATES = [state for state in LinkState if state is not LinkState.PASS]
_SECONDS = (0.2, 4.0)
_RESTART_SECONDS = (0.0, 2.0)
_DELAYS = (0.05, 0.5)


class Fault(ABC):
    """One kind of fault. :meth:`happen` begins it, waits, and ends it."""

    name: ClassVar[str]

    def __init__(self, world: World, rng: random.Random) -> None:
        self.world = world
        self.rng = rng
        self.seconds = rng.uniform(*_SECONDS)

    @abstractmethod
    async def happen(self) -> str:
        """Bring the fault about; return what it was about."""

    def host(self) -> Host:
        """Draw a host."""
        return self.rng.choice(self.world.hosts)

    def target(self) -> PlatformTarget:
        """Draw a target."""
        return self.rng.choice(self.world.targets)

    async def bend(self, link: Proxy) -> str:
        """Bend a link for the time of the fault."""
        state = self.rng.choice(_LINK_STATES)
        link.turn(state, self.rng.uniform(*_DELAYS))
        await asyncio.sleep(self.seconds)
        link.turn(LinkState.PASS)
        return state.value


class KillHost(Fault):
    """A process is killed and started again."""

    name = "kill"

    async def happen(self) -> str:
        """See :meth:`Fault.happen`."""
        host = self.host()
        await self.world.kill(host)
        await asyncio.sleep(self.rng.uniform(*_RESTART_SECONDS))
        await self.world.launch(host)
        return host.name


class KillAll(Fault):
    """All hosts lose power."""

    name = "kill_all"

    async def happen(self) -> str:
        """See :meth:`Fault.happen`."""
        await asyncio.gather(*(self.world.kill(host) for host in self.world.hosts))
        await asyncio.sleep(self.rng.uniform(*_RESTART_SECONDS))
        for host in self.world.hosts:
            await self.world.launch(host)
        return "all hosts"


class StopHost(Fault):
    """A process is stopped as planned and started again, its clock stepped."""

    name = "stop"

    async def happen(self) -> str:
        """See :meth:`Fault.happen`."""
        host = self.host()
        await self.world.terminate(host)
        host.clock_step = self.rng.uniform(-0.5, 0.5)
        await self.world.launch(host)
        return host.name


class PauseHost(Fault):
    """A process does not run for a while."""

    name = "pause"

    async def happen(self) -> str:
        """See :meth:`Fault.happen`."""
        host = self.host()
        self.world.signal(host, signal.SIGSTOP)
        await asyncio.sleep(self.seconds)
        self.world.signal(host, signal.SIGCONT)
        return host.name


class ReloadHost(Fault):
    """A process is told that its settings changed."""

    name = "reload"

    async def happen(self) -> str:
        """See :meth:`Fault.happen`."""
        host = self.host()
        self.world.signal(host, signal.SIGHUP)
        return host.name


class BendStoreLink(Fault):
    """One host's connections to the store are delayed, cut, silenced or reset."""

    name = "store_link"

    async def happen(self) -> str:
        """See :meth:`Fault.happen`."""
        host = self.host()
        return f"{host.name} {await self.bend(host.store_link)}"


class BendTargetLink(Fault):
    """One target's connections are delayed, cut, silenced or reset."""

    name = "target_link"

    async def happen(self) -> str:
        """See :meth:`Fault.happen`."""
        target = self.target()
        link = self.world.link_by_target[target.id]
        return f"{target.id} {await self.bend(link)}"


class StoreDown(Fault):
    """The store refuses, limits or answers nobody."""

    name = "store_down"

    async def happen(self) -> str:
        """See :meth:`Fault.happen`."""
        mode = self.rng.choice(["busy", "limited", "silent"])
        self.world.store.mode = mode
        await asyncio.sleep(self.seconds)
        self.world.store.mode = "up"
        return mode


class LoseAnswers(Fault):
    """The store carries out some appends and answers none of them."""

    name = "lost_answers"

    async def happen(self) -> str:
        """See :meth:`Fault.happen`."""
        self.world.store.lose_answers = self.rng.randint(1, 5)
        return str(self.world.store.lose_answers)


class LapseEntry(Fault):
    """A target's entry is removed for a while though it serves."""

    name = "lapse"

    async def happen(self) -> str:
        """See :meth:`Fault.happen`."""
        target = self.target()
        self.world.lapsed.add(target.id)
        await asyncio.sleep(self.seconds)
        self.world.lapsed.discard(target.id)
        return target.id


class SickTarget(Fault):
    """A target gives some bad answers."""

    name = "sick_target"

    async def happen(self) -> str:
        """See :meth:`Fault.happen`."""
        target = self.target()
        kinds = ["full", "error", "foreign", "unsigned", "short", "reset"]
        if target.model is not None:
            # An item that fails three times is lost, rightly.
            kinds = ["full", "foreign", "unsigned", "reset", "cut"]
        kind = self.rng.choice(kinds)
        target.script.extend([kind] * self.rng.randint(1, 4))
        return f"{target.id} {kind}"


class ChangeManifest(Fault):
    """The operator adds or removes a route."""

    name = "manifest"

    async def happen(self) -> str:
        """See :meth:`Fault.happen`."""
        self.world.routes = self.rng.randint(0, 5)
        self.world.apply_manifest(self.world.version + self.rng.randint(1, 3))
        return str(self.world.version)


KINDS: tuple[type[Fault], ...] = (
    KillHost,
    KillAll,
    StopHost,
    PauseHost,
    ReloadHost,
    BendStoreLink,
    BendTargetLink,
    StoreDown,
    LoseAnswers,
    LapseEntry,
    SickTarget,
    ChangeManifest,
)
