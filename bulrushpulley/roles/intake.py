"""Builds the intake, the role of an entry that handles callers' calls about jobs."""

from __future__ import annotations

from bulrushpulley.entities.jobs.intake_tables import (
    DEFAULT_ORDERS_WITHIN_S,
    INTAKE,
    IntakeTables,
)
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


def build(*, orders_within_s: float = DEFAULT_ORDERS_WITHIN_S) -> Role[IntakeTables]:
    """Return the intake of an entry.

    Orders of operators have to be in force `orders_within_s` after they were stored.
    """
    return Role(
        name=INTAKE,
        tables=IntakeTables(orders_within_s=orders_within_s),
        apply=apply,
        systems=(
            rechecking.run,
            operator_orders.run,
            checking.run,
            submitting.run,
            inquiring.run,
            readiness.run,
        ),
        tick_interval_s=CONTROL_TICK_INTERVAL_S,
        clock=seconds_since_boot,
    )
