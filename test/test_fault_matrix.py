"""The fault matrix: every fault at every step, and pairs of faults.

`test-data/fault_matrix.txt` lists the steps and faults. Each cell is one run of the
scenario of `matrix` in virtual time, with a fixed seed; the cells are shared out
over the processors, which changes no verdict. The table of cells is printed.
"""

from __future__ import annotations

import multiprocessing
import os
import pathlib
from collections import Counter
from dataclasses import dataclass

import testtools

from test.matrix import Cell, Verdict, run_cell
from test.matrix_faults import FAULT_BY_NAME
from test.matrix_steps import STEP_BY_NAME
from test.virtual_world import Dice

DATA = pathlib.Path(__file__).parent.parent / "test-data" / "fault_matrix.txt"
PAIRS = 80
PAIR_SEED = 20_261
LATER = 60
LATER_SEED = 20_262
MOST_OCCURRENCES = 7
OFTEN = frozenset(
    {
        "request accepted",
        "request routed",
        "request dispatched",
        "request running",
        "request answered",
        "task leased",
        "task start sent",
        "task running",
        "task finished",
        "cell renewed",
    }
)


@dataclass(frozen=True, kw_only=True, slots=True)
class Lists:
    """The steps and the faults of the matrix, as the data file names them."""

    steps: tuple[str, ...]
    faults: tuple[str, ...]


def read_lists() -> Lists:
    """Read the data file: a heading in brackets, then a name on each line."""
    found: dict[str, list[str]] = {"steps": [], "faults": []}
    heading = ""
    for line in DATA.read_text().splitlines():
        if line.startswith("["):
            heading = line.strip("[]")
        elif line and not line.startswith("#"):
            found[heading].append(line.split("|")[0].strip())
    return Lists(steps=tuple(found["steps"]), faults=tuple(found["faults"]))


def single_cells(lists: Lists) -> list[Cell]:
    """Return a cell for each fault at each step."""
    return [Cell(step=s, faults=(f,)) for s in lists.steps for f in lists.faults]


def pair_cells(lists: Lists) -> list[Cell]:
    """Return cells of two faults at once, drawn with a fixed seed."""
    dice = Dice(state=PAIR_SEED)
    cells: list[Cell] = []
    for number in range(PAIRS):
        step, dice = dice.roll(len(lists.steps))
        one, dice = dice.roll(len(lists.faults))
        other, dice = dice.roll(len(lists.faults) - 1)
        other += other >= one
        faults = (lists.faults[one], lists.faults[other])
        cells.append(Cell(step=lists.steps[step], faults=faults, seed=number + 2))
    return cells


def later_cells(lists: Lists) -> list[Cell]:
    """Return cells at later times of steps that occur often."""
    steps = [step for step in lists.steps if step in OFTEN]
    dice = Dice(state=LATER_SEED)
    cells: list[Cell] = []
    for number in range(LATER):
        step, dice = dice.roll(len(steps))
        fault, dice = dice.roll(len(lists.faults))
        occurrence, dice = dice.roll(MOST_OCCURRENCES)
        cell = Cell(
            step=steps[step],
            faults=(lists.faults[fault],),
            seed=number + 2,
            occurrence=occurrence + 2,
        )
        cells.append(cell)
    return cells


def run_cells(cells: list[Cell]) -> list[Verdict]:
    """Run the cells, a few at a time, and return their verdicts in order."""
    context = multiprocessing.get_context("spawn")
    with context.Pool(os.cpu_count()) as pool:
        return pool.map(run_cell, cells, chunksize=1)


def report(name: str, verdicts: list[Verdict]) -> list[str]:
    """Print a line for each step, and return what went wrong."""
    by_step: dict[str, Counter[str]] = {}
    wrong: list[str] = []
    for verdict in verdicts:
        counts = by_step.setdefault(verdict.cell.step, Counter())
        counts["run" if verdict.reached else "not reached"] += 1
        counts["red" if verdict.violations else "passed"] += 1
        wrong += [f"{verdict.cell.name}: {one}" for one in verdict.violations]
        if not verdict.reached:
            wrong.append(f"{verdict.cell.name}: the step was not reached")
    print(f"\n{name}: {len(verdicts)} cells")
    for step, counts in by_step.items():
        print(
            f"  {step:26} run {counts['run']:3}  passed {counts['passed']:3}"
            f"  red {counts['red']:3}"
        )
    return wrong


class FaultMatrixTest(testtools.TestCase):
    def test_the_data_file_names_every_step_and_fault(self) -> None:
        lists = read_lists()
        self.assertEqual(tuple(STEP_BY_NAME), lists.steps)
        self.assertEqual(tuple(FAULT_BY_NAME), lists.faults)

    def test_every_fault_at_every_step(self) -> None:
        verdicts = run_cells(single_cells(read_lists()))
        self.assertEqual([], report("every fault at every step", verdicts))

    def test_pairs_of_faults(self) -> None:
        verdicts = run_cells(pair_cells(read_lists()))
        self.assertEqual([], report("pairs of faults", verdicts))

    def test_faults_at_later_times_of_a_step(self) -> None:
        verdicts = run_cells(later_cells(read_lists()))
        self.assertEqual([], report("later times of a step", verdicts))
