"""The fault matrix of jobs in virtual time, and its guards taken out one by one."""

from __future__ import annotations

import random
from unittest import mock

import testtools

from bulrushpulley.entities.jobs import bounds
from standins.executor_core import FakeExecutor
from test.jobs_matrix import FAULTS, STEPS, Cell, play
from test.jobs_store import JobsStore

PAIRS = 60
SEED = 20261204


class JobsMatrixTest(testtools.TestCase):
    def _play_all(self, cells: list[Cell]) -> None:
        wrong = {cell.name: found for cell in cells if (found := play(cell))}
        self.assertEqual({}, wrong)

    def test_every_fault_at_the_first_of_every_step(self) -> None:
        cells = [Cell(strikes=((at, fault, 1),)) for at in STEPS for fault in FAULTS]
        self._play_all(cells)

    def test_every_fault_at_a_later_time_of_busy_steps(self) -> None:
        busy = ("progress committed", "order sent", "start called", "end reported")
        cells = [Cell(strikes=((at, fault, 3),)) for at in busy for fault in FAULTS]
        self._play_all(cells)

    def test_pairs_that_once_failed(self) -> None:
        """Each was found by drawn pairs; the comment gives its cause."""
        cells = [
            # A server that was gone before its agent started again was waited for
            # without end: nobody said that its leases had lapsed.
            Cell(
                strikes=(
                    ("lease renewed", "server gone", 1),
                    ("start called", "all killed", 3),
                )
            ),
            # The word that a server's life was over got lost with the link.
            Cell(
                strikes=(
                    ("progress committed", "owner cut off", 1),
                    ("order sent", "server gone", 1),
                )
            ),
        ]
        self._play_all(cells)

    def test_pairs_of_faults(self) -> None:
        draw = random.Random(SEED)
        steps, faults = list(STEPS), list(FAULTS)
        cells = []
        for _ in range(PAIRS):
            first = (draw.choice(steps), draw.choice(faults), draw.randint(1, 4))
            second = (draw.choice(steps), draw.choice(faults), draw.randint(1, 6))
            cells.append(Cell(strikes=(first, second)))
        self._play_all(cells)


class GuardTest(testtools.TestCase):
    """Each guard is taken out once, and a cell that it keeps green turns red."""

    def test_without_the_wait_for_leases_a_task_runs_twice(self) -> None:
        cell = Cell(strikes=(("start called", "host cut off", 3),))
        self.assertEqual([], play(cell, payload="4.0"))
        soon = property(lambda self: 1.5)
        with mock.patch.object(bounds.Bounds, "silent_agent_s", soon):
            self.assertNotEqual([], play(cell, payload="4.0"))

    def test_without_the_condition_on_the_owner_row_two_owners_do_harm(self) -> None:
        cell = Cell(strikes=(("end reported", "owner without store", 1),))
        self.assertEqual([], play(cell))
        with mock.patch.object(JobsStore, "bars", lambda self, call: False):
            self.assertNotEqual([], play(cell))

    def test_without_the_barring_of_late_starts_a_task_runs_twice(self) -> None:
        cell = Cell(strikes=(("stop called", "orders late", 1),))
        self.assertEqual([], play(cell))
        with mock.patch.object(FakeExecutor, "_bar", lambda self, ref: None):
            self.assertNotEqual([], play(cell))
