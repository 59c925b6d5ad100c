"""Builds the intake, the role of an entry that handles callers' calls about jobs."""

from __future__ import annotations

from bulrushpulley.entities.jobs.intake_tables import INTAKE, IntakeTables
from bulrushpulley.roles.actor import CONTROL_TICK_INTERVAL_S, Role, seconds_since_boot
from bulrushpulley.systems.intake import (
    checking,
    inquiring,
    operator_orders,
    readiness,
    rechecking,
    submitting,
)
from bulrushpulley.systems.intake.events import apply


def build() -> Role[IntakeTables]:
    """Return the intake of an entry."""
    return Role(
        name=INTAKE,
        tables=IntakeTables(),
        apply=apply,
        systems=(
            operator_orders.run,
            rechecking.run,
            checking.run,
            submitting.run,
            inquiring.run,
            readiness.run,
        ),
        tick_interval_s=CONTROL_TICK_INTERVAL_S,
        clock=seconds_since_boot,
    )
