"""The fault matrix: every fault at every step, and pairs of faults.

`test-data/fault_matrix.txt` lists the steps and faults. Each case is one run of the
scenario of `matrix` in virtual time, with a fixed seed. The cases run in parallel,
which does not affect their verdicts. A table of the results is printed.
"""

from __future__ import annotations

import multiprocessing
import os
import pathlib
from collections import Counter
from dataclasses import dataclass

import testtools

from test.matrix import FaultCase, Verdict, run_case
from test.matrix_faults import FAULT_BY_NAME
from test.matrix_steps import STEP_BY_NAME
from test.virtual_world import RandomGenerator

DATA = pathlib.Path(__file__).parent.parent / "test-data" / "fault_matrix.txt"
PAIR_CASE_COUNT = 80
PAIR_SEED = 20_261
LATER_OCCURRENCE_CASE_COUNT = 60
LATER_OCCURRENCE_SEED = 20_262
OCCURRENCE_CHOICES = 7
FREQUENT_STEPS = frozenset(
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
class MatrixNames:
    """The names of steps and faults in the data file."""

    steps: tuple[str, ...]
    faults: tuple[str, ...]


def read_names() -> MatrixNames:
    """Read the data file: headings in brackets, each followed by a name per line.

    The text after a bar describes the name.
    """
    names_by_heading: dict[str, list[str]] = {"steps": [], "faults": []}
    heading = ""
    for line in DATA.read_text().splitlines():
        if line.startswith("["):
            heading = line.strip("[]")
        elif line and not line.startswith("#"):
            names_by_heading[heading].append(line.split("|")[0].strip())
    return MatrixNames(
        steps=tuple(names_by_heading["steps"]), faults=tuple(names_by_heading["faults"])
    )


def single_fault_cases(names: MatrixNames) -> list[FaultCase]:
    """Return a case for each fault at each step."""
    return [FaultCase(step=s, faults=(f,)) for s in names.steps for f in names.faults]


def fault_pair_cases(names: MatrixNames) -> list[FaultCase]:
    """Return cases of two faults each, drawn with a fixed seed."""
    rng = RandomGenerator(state=PAIR_SEED)
    cases: list[FaultCase] = []
    for number in range(PAIR_CASE_COUNT):
        step, rng = rng.draw(len(names.steps))
        first, rng = rng.draw(len(names.faults))
        second, rng = rng.draw(len(names.faults) - 1)
        second += second >= first
        faults = (names.faults[first], names.faults[second])
        cases.append(FaultCase(step=names.steps[step], faults=faults, seed=number + 2))
    return cases


def later_occurrence_cases(names: MatrixNames) -> list[FaultCase]:
    """Return cases at the second to eighth occurrence of frequent steps."""
    steps = [step for step in names.steps if step in FREQUENT_STEPS]
    rng = RandomGenerator(state=LATER_OCCURRENCE_SEED)
    cases: list[FaultCase] = []
    for number in range(LATER_OCCURRENCE_CASE_COUNT):
        step, rng = rng.draw(len(steps))
        fault, rng = rng.draw(len(names.faults))
        occurrence, rng = rng.draw(OCCURRENCE_CHOICES)
        case = FaultCase(
            step=steps[step],
            faults=(names.faults[fault],),
            seed=number + 2,
            occurrence=occurrence + 2,
        )
        cases.append(case)
    return cases


def run_cases(cases: list[FaultCase]) -> list[Verdict]:
    """Run the cases in parallel and return their verdicts in order."""
    context = multiprocessing.get_context("spawn")
    with context.Pool(os.cpu_count()) as pool:
        return pool.map(run_case, cases, chunksize=1)


def report(name: str, verdicts: list[Verdict]) -> list[str]:
    """Print a line for each step, and return the problems."""
    by_step: dict[str, Counter[str]] = {}
    problems: list[str] = []
    for verdict in verdicts:
        counts = by_step.setdefault(verdict.case.step, Counter())
        counts["run" if verdict.reached else "not reached"] += 1
        counts["failed" if verdict.violations else "passed"] += 1
        problems += [
            f"{verdict.case.name}: {violation}" for violation in verdict.violations
        ]
        if not verdict.reached:
            problems.append(f"{verdict.case.name}: the step was not reached")
    print(f"\n{name}: {len(verdicts)} cases")
    for step, counts in by_step.items():
        print(
            f"  {step:26} run {counts['run']:3}  passed {counts['passed']:3}"
            f"  failed {counts['failed']:3}"
        )
    return problems


class FaultMatrixTest(testtools.TestCase):
    def test_the_data_file_names_every_step_and_fault(self) -> None:
        names = read_names()
        self.assertEqual(tuple(STEP_BY_NAME), names.steps)
        self.assertEqual(tuple(FAULT_BY_NAME), names.faults)

    def test_every_fault_at_every_step(self) -> None:
        verdicts = run_cases(single_fault_cases(read_names()))
        self.assertEqual([], report("every fault at every step", verdicts))

    def test_pairs_of_faults(self) -> None:
        verdicts = run_cases(fault_pair_cases(read_names()))
        self.assertEqual([], report("pairs of faults", verdicts))

    def test_faults_at_later_occurrences_of_a_step(self) -> None:
        verdicts = run_cases(later_occurrence_cases(read_names()))
        self.assertEqual([], report("later occurrences of a step", verdicts))
