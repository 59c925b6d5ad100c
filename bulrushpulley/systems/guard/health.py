"""Checks the backend server periodically and updates its health."""

from __future__ import annotations

from bulrushpulley.entities.changing import replace
from bulrushpulley.entities.execution import CheckBackend, HealthChecked
from bulrushpulley.entities.guard_tables import GuardTables
from bulrushpulley.entities.observe import Decision
from bulrushpulley.entities.step import Step
from bulrushpulley.systems.guard.events import apply

HEALTH_CHECK_INTERVAL_S = 1.0


def run(tables: GuardTables, now: float) -> Step[GuardTables]:
    """Check the backend server's health every `HEALTH_CHECK_INTERVAL_S`."""
    if now < tables.check_at:
        return Step(tables=tables)
    tables = replace(tables, check_at=now + HEALTH_CHECK_INTERVAL_S)
    return Step(tables=tables, commands=(CheckBackend(),))


@apply.register
def _(event: HealthChecked, tables: GuardTables, now: float) -> Step[GuardTables]:
    if event.healthy == tables.healthy:
        return Step(tables=tables)
    decision = Decision(
        kind="guard.health",
        subject=tables.settings.agent,
        chosen="healthy" if event.healthy else "unhealthy",
        reason=event.detail or "health check",
    )
    failures = 0 if event.healthy else tables.failures
    tables = replace(tables, healthy=event.healthy, failures=failures)
    return Step(tables=tables, commands=(decision,))
