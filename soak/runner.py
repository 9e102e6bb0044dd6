"""One soak run: starts a testbed, injects the faults of a seed, checks guarantees."""

from __future__ import annotations

import asyncio
import random
import tempfile
import time
from collections.abc import Sequence
from dataclasses import dataclass, field
from pathlib import Path

from standins.platform_api import PlatformApi

from .callers import Callers
from .clients import ClientCrowd
from .faults import (
    CALM_KINDS,
    FAULT_KINDS,
    KINDS_BESIDE_LIMITS,
    STANDING_KINDS,
    CopyAnswers,
    Fault,
    NameLimit,
    feature_kinds,
)
from .history import History
from .testbed import PROBE_ID, USAGE_WINDOW_SECONDS, Testbed
from .workspaces import Workspaces

# Mean time between the starts of faults, short enough that some overlap.
_MEAN_FAULT_INTERVAL_SECONDS = 1.0
# Machines are replaced less often than they fail.
_STANDING_INTERVAL_SECONDS = 3.0
_CALM_INTERVAL_SECONDS = 1.5
_POLL_INTERVAL_SECONDS = 0.1
# The platform requires requests to be served again within this time after a fault.
_RECOVERY_LIMIT_SECONDS = 12.0


@dataclass(slots=True)
class Report:
    """Result of one seed."""

    seed: int
    faults: list[str] = field(default_factory=list)
    violations: list[str] = field(default_factory=list)
    statuses: dict[str, int] = field(default_factory=dict)
    steps_whole: int = 0
    steps_short: int = 0
    accepted_reports: int = 0


class SoakRun:
    """Run of one seed.

    Three of four seeds have workspaces, and two of these three have usage duties. Every
    second seed asks for a single weight version. These, copied answers, crowds of
    clients and the standing kinds of faults draw from generators of their own, so that
    a seed keeps its other faults.

    :param seconds: how long faults are injected.
    :param folder: where settings and logs of the hosts go.
    :param limits: whether targets name limits beside the other faults.
    :param long_steps: whether steps outlast what is kept of them, beside faults that
        leave all hosts but one, the store and the links undisturbed.
    :param other_build: the checkout of another build that runs beside this one. There
        are no workspaces and duties then, which that build may not know.
    """

    def __init__(
        self,
        seed: int,
        seconds: float,
        folder: Path,
        limits: bool = False,
        other_build: Path | None = None,
        long_steps: bool = False,
    ) -> None:
        self._long_steps = long_steps
        self._rng = random.Random(seed)
        self._fault_seconds = seconds
        self._limits = limits
        self._report = Report(seed)
        hosts = self._rng.choice([2, 3, 4])
        engines = self._rng.choice([2, 3])
        self._feature_rng = random.Random(f"features of {seed}")
        self._standing_rng = random.Random(f"standing faults of {seed}")
        workspaces = api = None
        if seed % 4 and other_build is None:
            workspaces = Workspaces(random.Random(self._feature_rng.random()))
        if seed % 4 >= 2 and other_build is None:
            api = PlatformApi(require_fence=self._feature_rng.random() < 0.5)
        self._copies_rng = random.Random(f"copies of {seed}")
        self._clients_rng = random.Random(f"clients of {seed}")
        single_version = self._copies_rng.random() < 0.5 and not long_steps
        self._testbed = Testbed(
            folder,
            max(hosts, 3) if long_steps else hosts,
            2,
            engines,
            workspaces,
            api,
            other_build,
            single_version,
            long_steps,
        )
        self._history = History()
        if workspaces is not None:
            self._history.key_by_attempt[PROBE_ID] = workspaces.permanent_key()
        caller_rng = random.Random(self._rng.random())
        self._callers = Callers(self._testbed, self._history, caller_rng)

    async def run(self) -> Report:
        """Run the seed and return its report."""
        try:
            await self._testbed.start()
            callers_task = asyncio.create_task(self._callers.run(request_loops=6))
            memory_task = asyncio.create_task(
                self._testbed.watch_memory(self._history.add_violation)
            )
            if self._long_steps:
                await self._inject_calm_faults()
            else:
                await self._inject_faults()
            await self._check_recovery()
            self._callers.stop()
            await callers_task
            memory_task.cancel()
            self._history.check_targets(self._testbed)
            if self._long_steps:
                self._history.check_starts(self._testbed)
        finally:
            await self._testbed.stop()
        self._history.check_features(self._testbed)
        report = self._report
        if self._testbed.api is not None:
            report.accepted_reports = len(self._testbed.api.carried_out)
        report.violations = self._history.violations
        report.statuses = dict(self._history.statuses)
        report.steps_whole = self._history.steps_whole
        report.steps_short = self._history.steps_short
        return report

    async def _inject_calm_faults(self) -> None:
        loop = asyncio.get_running_loop()
        long_step = loop.create_task(self._callers.run_long_step())
        await self._inject_kinds(
            CALM_KINDS,
            self._rng,
            loop.time() + self._fault_seconds,
            _CALM_INTERVAL_SECONDS,
        )
        await long_step

    async def _inject_faults(self) -> None:
        deadline = asyncio.get_running_loop().time() + self._fault_seconds
        tasks = set()
        if self._limits:
            kinds = self._rng.sample(KINDS_BESIDE_LIMITS, self._rng.randint(2, 5))
            for _ in range(3):
                limit = NameLimit(self._testbed, self._rng)
                tasks.add(
                    asyncio.create_task(self._inject(limit, -self._fault_seconds))
                )
        else:
            kinds = self._rng.sample(FAULT_KINDS, self._rng.randint(2, 5))
        more_kinds = feature_kinds(self._testbed)
        await asyncio.gather(
            self._inject_kinds(kinds, self._rng, deadline),
            self._inject_kinds(more_kinds, self._feature_rng, deadline),
            self._inject_kinds(
                STANDING_KINDS,
                self._standing_rng,
                deadline,
                _STANDING_INTERVAL_SECONDS,
            ),
            self._inject_kinds([CopyAnswers], self._copies_rng, deadline),
            self._inject_kinds(
                [ClientCrowd],
                self._clients_rng,
                deadline,
                _STANDING_INTERVAL_SECONDS,
            ),
            *tasks,
        )

    async def _inject_kinds(
        self,
        kinds: Sequence[type[Fault]],
        rng: random.Random,
        deadline: float,
        interval: float = _MEAN_FAULT_INTERVAL_SECONDS,
    ) -> None:
        loop = asyncio.get_running_loop()
        tasks = set()
        while kinds and loop.time() < deadline:
            pause = rng.expovariate(1 / interval)
            await asyncio.sleep(min(pause, deadline - loop.time()))
            fault = rng.choice(kinds)(self._testbed, rng)
            tasks.add(asyncio.create_task(self._inject(fault, loop.time() - deadline)))
        await asyncio.gather(*tasks)

    async def _inject(self, fault: Fault, offset_from_end: float) -> None:
        description = await fault.inject()
        self._report.faults.append(
            f"{offset_from_end + self._fault_seconds:.1f} {fault.name} {description}"
        )

    async def _check_recovery(self) -> None:
        """Restart stopped hosts; check that requests and steps are served in time."""
        loop = asyncio.get_running_loop()
        deadline = loop.time() + _RECOVERY_LIMIT_SECONDS
        next_window = int(time.time() / USAGE_WINDOW_SECONDS) + 1
        for host in self._testbed.hosts:
            await self._testbed.launch(host)
            try:
                await self._testbed.wait_until_serving(host, deadline - loop.time())
            except TimeoutError:
                self._history.add_violation(
                    f"{host.name} did not recover within"
                    f" {_RECOVERY_LIMIT_SECONDS} s after the faults"
                )
        if not await self._callers.run_step("after-faults"):
            self._history.add_violation(
                "a step submitted after the faults did not complete"
            )
        if self._testbed.api is not None:
            await self._wait_for_report(self._testbed.api, next_window, deadline)
        if not self._long_steps:
            # Else ended batches are forgotten within seconds.
            await self._callers.read_all_batches(loop.time() + _RECOVERY_LIMIT_SECONDS)

    async def _wait_for_report(
        self, api: PlatformApi, window: int, deadline: float
    ) -> None:
        """Check that usage of ``window`` or a later one is reported in time."""
        while not any(call.body["window"] >= window for call in api.carried_out):
            if asyncio.get_running_loop().time() > deadline:
                self._history.add_violation("no usage reported after the faults")
                return
            await asyncio.sleep(_POLL_INTERVAL_SECONDS)


async def run_soak(
    seed: int,
    seconds: float,
    log_folder: Path | None = None,
    limits: bool = False,
    other_build: Path | None = None,
    long_steps: bool = False,
) -> Report:
    """Run one seed; keep the logs of the hosts if ``log_folder`` is given."""
    with tempfile.TemporaryDirectory() as temporary_folder:
        folder = Path(temporary_folder)
        if log_folder is not None:
            folder = log_folder / f"seed-{seed}"
            folder.mkdir(parents=True, exist_ok=True)
        run = SoakRun(seed, seconds, folder, limits, other_build, long_steps)
        return await run.run()
