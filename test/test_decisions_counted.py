"""Decisions show in the metrics by their kind, whoever made them."""

from __future__ import annotations

from typing import Any

import testtools

from bulrushpulley.entities.observe import Decision
from bulrushpulley.metrics import Metrics
from bulrushpulley.roles.carry_out import Ports, carry_out


class DecisionsTest(testtools.TestCase):
    def test_a_decision_is_logged_and_counted(self) -> None:
        metrics, lines = Metrics(), []  # type: ignore[var-annotated]
        nothing: Any = lambda *_, **__: None  # noqa: E731
        ports = Ports(
            send=nothing,
            tell=nothing,
            answer=nothing,
            decide=lines.append,
            count=metrics.count,
            observe=nothing,
            run=nothing,
        )
        line = Decision(kind="task.place", subject="t", chosen="h", reason="r")
        carry_out(line, ports)
        self.assertEqual([line], lines)
        self.assertEqual(1, metrics.counted("decisions", "task.place"))
