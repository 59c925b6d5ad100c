"""Limits how often decisions of the same kind, subject and reason are logged."""

from __future__ import annotations

from pyrsistent import pmap

from bulrushpulley.entities.changing import replace
from bulrushpulley.entities.controller_tables import ControllerTables
from bulrushpulley.entities.observe import Decision
from bulrushpulley.entities.step import Step
from bulrushpulley.systems.control.events import ControllerStep

MIN_DECISION_INTERVAL_S = 1.0
MAX_REMEMBERED_DECISIONS = 4_096


def limit_decisions(
    tables: ControllerTables, decisions: tuple[Decision, ...], now: float
) -> ControllerStep:
    """Return as commands the decisions that were not logged within the interval."""
    last_logged_at = (
        tables.last_logged_at
        if len(tables.last_logged_at) < MAX_REMEMBERED_DECISIONS
        else pmap()
    )
    fresh: list[Decision] = []
    for decision in decisions:
        key = f"{decision.kind}|{decision.subject}|{decision.reason}"
        if (
            now - last_logged_at.get(key, now - MIN_DECISION_INTERVAL_S)
            >= MIN_DECISION_INTERVAL_S
        ):
            last_logged_at = last_logged_at.set(key, now)
            fresh.append(decision)
    if not fresh:
        return Step(tables=tables)
    return Step(
        tables=replace(tables, last_logged_at=last_logged_at), commands=tuple(fresh)
    )
