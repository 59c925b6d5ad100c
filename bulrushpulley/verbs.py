"""The operators' verbs of the command line.

`run` takes the arguments from the verb on and returns the exit code; `VERBS`
names the verbs that it knows.
"""

from __future__ import annotations

VERBS = ("check", "submit", "amend", "cancel", "status", "explain", "drain", "restore")


def run(argv: list[str]) -> int:
    """Carry out the verb ``argv[0]`` with its arguments and return the exit code."""
    raise NotImplementedError(argv[0])
