"""Tests that the decisions of every role are counted by kind in the metrics."""

from __future__ import annotations

from typing import Any

import testtools

from bulrushpulley.entities.observe import Decision
from bulrushpulley.metrics import Metrics
from bulrushpulley.roles.carry_out import Ports, carry_out


class DecisionsTest(testtools.TestCase):
    def test_a_decision_is_logged_and_counted(self) -> None:
        metrics, decisions = Metrics(), []  # type: ignore[var-annotated]
        ignore: Any = lambda *_, **__: None  # noqa: E731
        ports = Ports(
            send=ignore,
            tell=ignore,
            answer=ignore,
            decide=decisions.append,
            count=metrics.count,
            observe=ignore,
            run=ignore,
        )
        decision = Decision(kind="task.place", subject="t", chosen="h", reason="r")
        carry_out(decision, ports)
        self.assertEqual([decision], decisions)
        self.assertEqual(1, metrics.counter_value("decisions", "task.place"))
