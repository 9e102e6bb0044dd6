"""A fixed part of the fault matrix: every fault and every fault point."""

import unittest

from .__main__ import known_red
from .matrix import (
    FAULT_POINTS,
    HELD,
    NOT_POSSIBLE,
    Cell,
    impossible_reason,
    pair_cells,
    parse_cell,
    single_cells,
)
from .matrix_faults import FAULT_BY_NAME

SEED = 1
PAIR_COUNT = 6
TIMELINE_LINES = 100


def one_cell_per_fault() -> list[Cell]:
    """Return a cell for each fault, at the fault points in turn."""
    cells = []
    for n, fault in enumerate(FAULT_BY_NAME):
        fault_points = [
            fault_point
            for fault_point in FAULT_POINTS
            if impossible_reason(fault, fault_point) is None
        ]
        cells.append(Cell((fault,), fault_points[n % len(fault_points)], SEED))
    return cells


class MatrixTest(unittest.TestCase):
    """Runs cells, each on a virtual clock of its own."""

    def _run_all(self, cells: list[Cell]) -> None:
        listed = known_red()
        for cell in cells:
            if f"matrix:{cell.name}" in listed:
                continue
            with self.subTest(cell=cell.name, seed=cell.seed):
                cell.run()
                violations = "\n".join(
                    f"{v.guarantee}: {v.detail}" for v in cell.violations
                )
                lines = "\n".join(cell.timeline[-TIMELINE_LINES:])
                self.assertEqual(cell.outcome, HELD, f"{violations}\n{lines}")

    def test_every_fault_at_one_fault_point(self):
        self._run_all(one_cell_per_fault())

    def test_host_crash_at_every_fault_point(self):
        self._run_all(
            [Cell(("kill_host",), fault_point, SEED) for fault_point in FAULT_POINTS]
        )

    def test_some_pairs_of_faults(self):
        cells = pair_cells(SEED)
        self._run_all(cells[:: len(cells) // PAIR_COUNT][:PAIR_COUNT])

    def test_answer_left_unread_during_a_pause_is_no_fresh_contact(self):
        self._run_all([parse_cell("pause_host+retention_passed/admit", 4)])

    def test_impossible_cell_has_a_reason(self):
        cell = parse_cell("ack_lost/stream", SEED)
        cell.run()
        self.assertEqual(cell.outcome, NOT_POSSIBLE)
        self.assertTrue(impossible_reason("ack_lost", "stream"))

    def test_same_seed_gives_the_same_timeline(self):
        timelines = []
        for _ in range(2):
            cell = Cell(("pause_host", "log_down"), "dispatch", SEED)
            cell.keep_timeline = True
            cell.run()
            timelines.append(cell.timeline)
        self.assertTrue(timelines[0])
        self.assertEqual(timelines[0], timelines[1])

    def test_matrix_has_every_fault_at_every_fault_point(self):
        names = {cell.name for cell in single_cells(SEED)}
        self.assertEqual(len(names), len(FAULT_BY_NAME) * len(FAULT_POINTS))
