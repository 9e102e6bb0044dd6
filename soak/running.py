"""One soak: a world, callers, faults of a seed, and the checks at its end."""

from __future__ import annotations

import asyncio
import random
import tempfile
from dataclasses import dataclass, field
from pathlib import Path

from .callers import Callers
from .faults import KINDS
from .history import History
from .world import World

# Faults begin this far apart on average, so that some overlap.
_FAULT_EVERY_SECONDS = 1.0
# The platform's bound for requests to be served again after a final fault.
_RECOVERY_SECONDS = 12.0


@dataclass(slots=True)
class Report:
    """What one seed came to."""

    seed: int
    faults: list[str] = field(default_factory=list)
    violations: list[str] = field(default_factory=list)
    statuses: dict[str, int] = field(default_factory=dict)
    steps_whole: int = 0
    steps_short: int = 0


class Soak:
    """Runs one seed.

    :param seconds: how long faults are brought about.
    """

    def __init__(self, seed: int, seconds: float, folder: Path) -> None:
        self._rng = random.Random(seed)
        self._seconds = seconds
        self._report = Report(seed)
        hosts = self._rng.choice([2, 3, 4])
        engines = self._rng.choice([2, 3])
        self._world = World(folder, hosts=hosts, portals=2, engines=engines)
        self._history = History()
        caller_rng = random.Random(self._rng.random())
        self._callers = Callers(self._world, self._history, caller_rng)

    async def run(self) -> Report:
        """Run it and return what it came to."""
        try:
            await self._world.start()
            calling = asyncio.create_task(self._callers.run(pollers=6))
            await self._bring_faults()
            await self._recover()
            self._callers.stop()
            await calling
            self._history.check_world(self._world)
        finally:
            await self._world.stop()
        report = self._report
        report.violations = self._history.violations
        report.statuses = dict(self._history.statuses)
        report.steps_whole = self._history.steps_whole
        report.steps_short = self._history.steps_short
        return report

    async def _bring_faults(self) -> None:
        loop = asyncio.get_running_loop()
        until = loop.time() + self._seconds
        chosen = self._rng.sample(KINDS, self._rng.randint(2, 5))
        running = set()
        while loop.time() < until:
            await asyncio.sleep(self._rng.expovariate(1 / _FAULT_EVERY_SECONDS))
            fault = self._rng.choice(chosen)(self._world, self._rng)
            running.add(asyncio.create_task(self._bring(fault, loop.time() - until)))
        await asyncio.gather(*running)

    async def _bring(self, fault, at: float) -> None:
        about = await fault.happen()
        self._report.faults.append(f"{at + self._seconds:.1f} {fault.name} {about}")

    async def _recover(self) -> None:
        """See that everything is served again within the bound."""
        loop = asyncio.get_running_loop()
        until = loop.time() + _RECOVERY_SECONDS
        for host in self._world.hosts:
            await self._world.launch(host)
            try:
                await self._world.until_served(host, until - loop.time())
            except TimeoutError:
                self._history.broken(f"{host.name} serves nothing after the faults")
        if not await self._callers.step("after-faults"):
            self._history.broken("a step was not made after the faults")
        await self._callers.read_everywhere(loop.time() + _RECOVERY_SECONDS)


async def soak(seed: int, seconds: float, keep: Path | None = None) -> Report:
    """Run one seed; the hosts' logs go to ``keep``, or are not kept."""
    if keep is not None:
        folder = keep / f"seed-{seed}"
        folder.mkdir(parents=True, exist_ok=True)
        return await Soak(seed, seconds, folder).run()
    with tempfile.TemporaryDirectory() as folder:
        return await Soak(seed, seconds, Path(folder)).run()
