"""Cells of the fault matrix go red when a guard is taken out.

This shows that the checks of the matrix can fail: each case patches one guard of
the product, runs one cell that passes with the guard, and expects violations.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any
from unittest import mock

import testtools

from bulrushpulley.systems.cell import start as cell_start
from bulrushpulley.systems.guard import requests as guard_requests
from test.matrix import Cell, run_cell


@dataclass(frozen=True, kw_only=True, slots=True)
class GuardOut:
    """A guard, what stands in its place, the cell and a word of the violation."""

    name: str
    patches: tuple[tuple[Any, str, Any], ...]
    cell: Cell
    violation: str


def never_known(tables: Any, request_id: str, waiter: Any) -> None:
    """Forget every id that ran."""


CASES = (
    GuardOut(
        name="an agent that forgets ids runs a repeated request twice",
        patches=((guard_requests, "join_known", never_known),),
        cell=Cell(step="request dispatched", faults=("message repeated",)),
        violation="ran twice",
    ),
    GuardOut(
        name="a start that may leave late comes after the next owner's run",
        patches=((cell_start, "START_WINDOW_S", 1_000.0),),
        cell=Cell(step="task start sent", faults=("process paused",)),
        violation="started again",
    ),
)


class MatrixGuardTest(testtools.TestCase):
    def test_a_cell_goes_red_without_its_guard(self) -> None:
        for case in CASES:
            with self.subTest(case.name):
                self.assertEqual((), run_cell(case.cell).violations)
                found = violations_without(case)
                self.assertTrue(any(case.violation in one for one in found), found)


def violations_without(case: GuardOut) -> tuple[str, ...]:
    """Run the case's cell with its guard taken out."""
    patches = [mock.patch.object(*patch) for patch in case.patches]
    for patch in patches:
        patch.start()
    try:
        return run_cell(case.cell).violations
    finally:
        mock.patch.stopall()
