"""The fault matrix: every fault at every fault point, and pairs of faults.

``python -m tests.matrix --seed N`` runs all cells and prints the table;
``--cell FAULT/POINT`` runs a single cell, ``--cell FAULT+FAULT/POINT`` a cell of a
pair. Every cell simulates the same scenario of a deployment and injects the fault
when a host reaches the fault point. The history must pass every checker.
"""

import asyncio
import itertools
import random
import sys
from dataclasses import dataclass, field

import click
from absl import logging

from fakes.clients import (
    WORKLOAD,
    Caller,
    Operator,
    Trainer,
    declare_all,
    workload_spec,
)
from fakes.history import Violation, check_all
from fakes.loop import HostLoop, start_task
from fakes.simulation import Simulation

from .__main__ import known_red
from .matrix_faults import FAULT_BY_NAME, inject_later, revert_later

FAULT_POINTS = (
    "declare append read_back apply admit dispatch stream finish hand_over "
    "acknowledge announce order load confirm join leave drain intent send answer"
).split()
RARE_FAULT_POINTS = ("join", "leave", "drain")
APPENDING_FAULT_POINTS = ("declare", "append", "announce", "intent", "answer", "send")
SCENARIO_TIMEOUT_SECONDS = 200.0
SETTLE_SECONDS = 12.0
STEP_DEADLINE_SECONDS = 60.0
TIMELINE_LINES = 400
HELD = "held"
FAILED = "failed"
NOT_POSSIBLE = "not possible"


def impossible_reason(fault: str, fault_point: str) -> str | None:
    """Return why a fault cannot occur at a fault point, or None if it can."""
    if fault == "ack_lost" and fault_point not in APPENDING_FAULT_POINTS:
        return "no acknowledgement of an append can be lost at the fault point"
    return None


@dataclass
class Cell:
    """One cell of the matrix, its outcome and the violations found."""

    faults: tuple[str, ...]
    fault_point: str
    seed: int
    outcome: str = NOT_POSSIBLE
    violations: list[Violation] = field(default_factory=list)
    timeline: list[str] = field(default_factory=list)
    keep_timeline: bool = False

    @property
    def name(self) -> str:
        """The cell's name, as ``--cell`` takes it."""
        return f"{'+'.join(self.faults)}/{self.fault_point}"

    def run(self) -> None:
        """Simulate the cell on an event loop and virtual clock of its own."""
        if any(impossible_reason(fault, self.fault_point) for fault in self.faults):
            return
        with asyncio.Runner(loop_factory=HostLoop) as runner:
            runner.run(self._run())
        self.outcome = FAILED if self.violations else HELD

    async def _run(self) -> None:
        faults = [FAULT_BY_NAME[name] for name in self.faults]
        options = {
            "retention": min(fault.retention for fault in faults),
            "fencing": all(fault.fencing for fault in faults),
        }
        async with Simulation(f"{self.seed}/{self.name}", **options) as simulation:
            scenario = Scenario(simulation)
            await scenario.begin()
            fault_tasks = self._arm(simulation)
            await scenario.run()
            for task in fault_tasks:
                await task
            await asyncio.sleep(SETTLE_SECONDS)
            if not fault_tasks:
                self.violations.append(
                    Violation("matrix", "fault point not reached", 0.0)
                )
            simulation.record_ground_truth()
            self.violations += check_all(simulation.history)
            if self.violations or self.keep_timeline:
                self.timeline = simulation.timeline()

    def _arm(self, simulation: Simulation) -> list[asyncio.Task[None]]:
        """Arm the fault point; return a list that receives the tasks of the faults."""
        tasks: list[asyncio.Task[None]] = []

        def inject_faults(host_name: str) -> None:
            first, *others = (FAULT_BY_NAME[name] for name in self.faults)
            first.inject(simulation, host_name)
            tasks.append(start_task("", revert_later(simulation, first, host_name)))
            for fault in others:
                tasks.append(start_task("", inject_later(simulation, fault, host_name)))

        skipped = (
            0 if self.fault_point in RARE_FAULT_POINTS else simulation.rng.randrange(3)
        )
        simulation.arm(self.fault_point, inject_faults, skipped)
        return tasks


class Scenario:
    """The load of every cell.

    It consists of steps, announcements, changes, calls, a host that joins, targets
    that leave and a host that drains.
    """

    def __init__(self, simulation: Simulation) -> None:
        self.simulation = simulation
        self.operator = Operator(simulation, "operator")
        self.trainer = Trainer(simulation)
        self.announcer = Trainer(simulation, "announcer")
        self.caller = Caller(simulation, "caller")

    async def begin(self) -> None:
        """Start four hosts, declare all resources and announce version 1."""
        names = [f"host-{n}" for n in range(1, 5)]
        for name in names:
            await self.simulation.start_host(name)
        await self.simulation.wait_until_ready(*names)
        await declare_all(self.simulation, self.operator)
        await self.trainer.announce(1)
        await asyncio.sleep(3)

    async def run(self) -> None:
        """Run all parts of the load until they end or the timeout has passed."""
        parts = [
            self._train(),
            self._announce(),
            self._change(),
            self.caller.run(10),
            self._join(),
            self._leave(),
            self._stop(),
        ]
        tasks = [start_task("", part) for part in parts]
        await asyncio.wait(tasks, timeout=SCENARIO_TIMEOUT_SECONDS)
        for task in tasks:
            if task.done():
                task.result()

    async def _train(self) -> None:
        for number in range(1, 5):
            await self.trainer.run_step(
                self.trainer.make_step(number), STEP_DEADLINE_SECONDS
            )
            await asyncio.sleep(1)
            version = max(self.trainer.version, self.announcer.version) + 1
            await self.trainer.announce(version)

    async def _announce(self) -> None:
        for _ in range(3):
            await asyncio.sleep(2.2)
            version = max(self.trainer.version, self.announcer.version) + 1
            await self.announcer.announce(version)

    async def _change(self) -> None:
        for priority in range(1, 6):
            await asyncio.sleep(1.5)
            spec = workload_spec(priority)
            await self.operator.put("workloads", WORKLOAD, spec)

    async def _join(self) -> None:
        await asyncio.sleep(2)
        await self.simulation.start_host("host-5")

    async def _leave(self) -> None:
        await asyncio.sleep(4)
        self.simulation.set_leaving("portal-3")
        self.simulation.set_leaving("engine-3")

    async def _stop(self) -> None:
        await asyncio.sleep(6)
        await self.simulation.drain_host("host-2")


def single_cells(seed: int) -> list[Cell]:
    """Return a cell for every fault at every fault point."""
    return [
        Cell((fault,), fault_point, seed)
        for fault in FAULT_BY_NAME
        for fault_point in FAULT_POINTS
    ]


def pair_cells(seed: int) -> list[Cell]:
    """Return a cell for every pair of faults, at a fault point drawn by the seed."""
    rng = random.Random(f"pairs/{seed}")
    cells = []
    for pair in itertools.combinations(FAULT_BY_NAME, 2):
        possible = [
            fault_point
            for fault_point in FAULT_POINTS
            if not any(impossible_reason(name, fault_point) for name in pair)
        ]
        cells.append(Cell(pair, rng.choice(possible), seed))
    return cells


def parse_cell(text: str, seed: int) -> Cell:
    """Return the cell that a name describes.

    :raises click.BadParameter: no such fault or fault point exists.
    """
    faults, _, fault_point = text.partition("/")
    names = tuple(faults.split("+"))
    if fault_point not in FAULT_POINTS or not set(names) <= set(FAULT_BY_NAME):
        raise click.BadParameter(f"{text} names no known fault and fault point")
    return Cell(names, fault_point, seed)


def report(cells: list[Cell]) -> int:
    """Print the failed cells; return how many are not listed in KNOWN-RED.txt."""
    listed = known_red()
    unlisted = 0
    for cell in cells:
        if cell.outcome != FAILED:
            continue
        known = f"matrix:{cell.name}" in listed
        unlisted += not known
        print(f"\n{'known red' if known else 'failed'}: {cell.name} seed {cell.seed}")
        for violation in cell.violations[:10]:
            print(f"  {violation.guarantee} at {violation.at:.2f}: {violation.detail}")
        if not known:
            print("\n".join(cell.timeline[-TIMELINE_LINES:]))
    return unlisted


def print_table(cells: list[Cell]) -> None:
    """Print one line of outcomes for each fault or pair of faults."""
    for faults, row in itertools.groupby(cells, key=lambda cell: cell.faults):
        by_outcome: dict[str, list[str]] = {HELD: [], FAILED: [], NOT_POSSIBLE: []}
        for cell in row:
            by_outcome[cell.outcome].append(cell.fault_point)
        parts = [f"{len(by_outcome[HELD])} held"]
        for outcome in (FAILED, NOT_POSSIBLE):
            if by_outcome[outcome]:
                parts.append(f"{outcome}: {' '.join(by_outcome[outcome])}")
        print(f"{' + '.join(faults):45} {'; '.join(parts)}")


@click.command()
@click.option("--seed", type=int, default=1)
@click.option("--cell", "cell_name", help="FAULT/POINT or FAULT+FAULT/POINT.")
@click.option("--pairs/--no-pairs", default=True, help="Also run pairs of faults.")
def main(seed: int, cell_name: str | None, pairs: bool) -> None:
    """Run the fault matrix."""
    logging.set_verbosity(logging.FATAL)
    cells = single_cells(seed) + (pair_cells(seed) if pairs else [])
    if cell_name is not None:
        cells = [parse_cell(cell_name, seed)]
    for cell in cells:
        cell.run()
    print_table(cells)
    reasons = {
        impossible_reason(fault, fault_point)
        for fault in FAULT_BY_NAME
        for fault_point in FAULT_POINTS
    }
    for reason in sorted(reason for reason in reasons if reason):
        print(f"{NOT_POSSIBLE}: {reason}")
    unlisted = report(cells)
    counts = {each: sum(c.outcome == each for c in cells) for each in (HELD, FAILED)}
    print(f"seed {seed}: {counts[HELD]} held, {counts[FAILED]} failed")
    sys.exit(1 if unlisted else 0)


if __name__ == "__main__":
    main()
