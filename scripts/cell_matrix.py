"""Prints the fault matrix of tasks in cells: ``python -m scripts.cell_matrix``.

Exits with 1 if any combination of step and fault fails.
"""

from __future__ import annotations

import sys

from test import cell_matrix


def main() -> int:
    """Run every step with every fault and print one line for each fault."""
    matrix = cell_matrix.load()
    verdicts = []
    for fault in matrix.outcomes_by_fault:
        row = [cell_matrix.run_case(step, fault) for step in matrix.steps]
        verdicts.extend(row)
        marks = ["pass" if v.passed(matrix) else "FAIL" for v in row]
        print(f"{fault:22}", " ".join(f"{mark:5}" for mark in marks), flush=True)
    failed = [verdict for verdict in verdicts if not verdict.passed(matrix)]
    for verdict in failed:
        print(verdict)
    print("steps:", ", ".join(matrix.steps))
    print(
        f"{len(verdicts)} cases run, {len(verdicts) - len(failed)} passed,"
        f" {len(failed)} failed"
    )
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
