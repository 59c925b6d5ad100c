"""Runs a sample of the fault matrix of tasks in cells.

`scripts/cell_matrix.py` runs all of it.
"""

from __future__ import annotations

from typing import Any
from unittest import mock

import testtools

from bulrushpulley.systems.cell import reports as cell_reports
from bulrushpulley.systems.cell import stop as cell_stop
from test import cell_matrix

SAMPLE_STRIDE = 19


class MatrixTest(testtools.TestCase):
    def test_a_case_fails_without_its_guard(self) -> None:
        def always(*_: Any) -> bool:
            return True

        matrix = cell_matrix.load()
        for step, fault, module, guard in (
            ("start_sent", "start_delayed", cell_reports, "absence_is_conclusive"),
            ("running", "first_worker_cut_off", cell_stop, "lease_has_expired"),
        ):
            with mock.patch.object(module, guard, always):
                verdict = cell_matrix.run_case(step, fault)
            self.assertFalse(verdict.passed(matrix), str(verdict))

    def test_a_sample_of_the_matrix_passes(self) -> None:
        matrix = cell_matrix.load()
        self.assertEqual(set(cell_matrix.MATCHER_BY_STEP), set(matrix.steps))
        for row, step in enumerate(matrix.steps):
            for column, fault in enumerate(matrix.outcomes_by_fault):
                if (3 * row + column) % SAMPLE_STRIDE == 0:
                    verdict = cell_matrix.run_case(step, fault)
                    self.assertTrue(verdict.passed(matrix), str(verdict))
