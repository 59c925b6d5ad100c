"""Bounds the decision lines: one for each subject and reason in `SAY_EVERY_S`."""

from __future__ import annotations

from dataclasses import replace

from pyrsistent import pmap

from bulrushpulley.entities.controller_tables import ControllerTables
from bulrushpulley.entities.observe import Decision
from bulrushpulley.entities.step import Step
from bulrushpulley.systems.control_events import Controlled

SAY_EVERY_S = 1.0
REMEMBERED = 4_096


def say(tables: ControllerTables, decision: Decision, now: float) -> Controlled:
    """Return the decision as a command unless the like was said a moment ago."""
    key = f"{decision.kind}|{decision.subject}|{decision.reason}"
    if now - tables.said_at.get(key, now - SAY_EVERY_S) < SAY_EVERY_S:
        return Step(tables=tables)
    kept = tables.said_at if len(tables.said_at) < REMEMBERED else pmap()
    tables = replace(tables, said_at=kept.set(key, now))
    return Step(tables=tables, commands=(decision,))
