"""Prints the fault matrix of tasks in cells: ``python -m scripts.cell_matrix``.

Exits 1 if a cell is red.
"""

from __future__ import annotations

import sys

from test import cell_matrix


def main() -> int:
    """Run every cell and print one line for each fault."""
    matrix = cell_matrix.load()
    verdicts = []
    for fault in matrix.outcomes_by_fault:
        row = [cell_matrix.run_cell(step, fault) for step in matrix.steps]
        verdicts.extend(row)
        marks = ["pass" if v.passed(matrix) else "RED" for v in row]
        print(f"{fault:22}", " ".join(f"{mark:5}" for mark in marks), flush=True)
    red = [verdict for verdict in verdicts if not verdict.passed(matrix)]
    for verdict in red:
        print(verdict)
    print("steps:", ", ".join(matrix.steps))
    print(
        f"{len(verdicts)} cells run, {len(verdicts) - len(red)} passed, {len(red)} red"
    )
    return 1 if red else 0


if __name__ == "__main__":
    sys.exit(main())
