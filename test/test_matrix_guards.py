"""Cases of the fault matrix fail when a safeguard of the product is removed.

This shows that the checks of the matrix can fail. Each mutation patches out one
safeguard, runs a case that passes with the safeguard, and expects violations.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any
from unittest import mock

import testtools

from bulrushpulley.systems.cell import start as cell_start
from bulrushpulley.systems.guard import requests as guard_requests
from test.matrix import FaultCase, run_case


@dataclass(frozen=True, kw_only=True, slots=True)
class Mutation:
    """A patched safeguard, the case to run, and a part of the expected violation."""

    name: str
    patches: tuple[tuple[Any, str, Any], ...]
    case: FaultCase
    violation: str


def never_join_known(tables: Any, request_id: str, waiter: Any) -> None:
    """Stand in for `join_known` as if no request id had run before."""


MUTATIONS = (
    Mutation(
        name="an agent that does not remember ids runs a repeated request twice",
        patches=((guard_requests, "join_known", never_join_known),),
        case=FaultCase(step="request dispatched", faults=("message repeated",)),
        violation="ran twice",
    ),
    Mutation(
        name="a start that may be sent late arrives after the next owner's run",
        patches=((cell_start, "START_WINDOW_S", 1_000.0),),
        case=FaultCase(step="task start sent", faults=("process paused",)),
        violation="started again",
    ),
)


class MatrixSafeguardTest(testtools.TestCase):
    def test_a_case_fails_without_its_safeguard(self) -> None:
        for mutation in MUTATIONS:
            with self.subTest(mutation.name):
                self.assertEqual((), run_case(mutation.case).violations)
                violations = violations_without(mutation)
                self.assertTrue(
                    any(mutation.violation in one for one in violations), violations
                )


def violations_without(mutation: Mutation) -> tuple[str, ...]:
    """Run the case of a mutation without its safeguard."""
    patches = [mock.patch.object(*patch) for patch in mutation.patches]
    for patch in patches:
        patch.start()
    try:
        return run_case(mutation.case).violations
    finally:
        mock.patch.stopall()
