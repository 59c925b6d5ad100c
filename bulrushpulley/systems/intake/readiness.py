"""Publishes whether the platform should route new callers to this entry.

It should once a configuration has been read, while that is known to be current, the
store answers and the process is not leaving.
"""

from __future__ import annotations

from bulrushpulley.entities.changing import replace
from bulrushpulley.entities.jobs.intake_tables import (
    IntakeStep,
    IntakeTables,
    PublishReady,
)
from bulrushpulley.entities.observe import Decision
from bulrushpulley.entities.step import Step
from bulrushpulley.systems import store_watch
from bulrushpulley.systems.intake import order_age


def run(tables: IntakeTables, now: float) -> IntakeStep:
    """Publish readiness when it changes."""
    store_answers = (
        now - tables.store_answered_at < store_watch.STORE_UNREACHABLE_TIMEOUT_S
    )
    are_current = order_age.are_current(tables, now)
    ready = (
        store_answers
        and are_current
        and not tables.leaving
        and tables.operator_settings.configuration is not None
    )
    if ready == tables.ready:
        return Step(tables=tables)
    reason = f"store answers: {store_answers}, orders current: {are_current}"
    if tables.leaving:
        reason = "leaving"
    line = Decision(
        kind="entry.ready",
        subject="entry",
        chosen=str(ready),
        reason=reason,
        revision=tables.operator_settings.revision,
    )
    published = PublishReady(ready=ready)
    return Step(tables=replace(tables, ready=ready), commands=(line, published))
