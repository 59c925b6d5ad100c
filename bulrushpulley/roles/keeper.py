"""The role of an agent that runs tasks on the backend server beside it."""

from __future__ import annotations

from bulrushpulley.entities.jobs.keeper_tables import KEEPER, KeeperTables
from bulrushpulley.roles.actor import CONTROL_TICK_S, Role, since_boot
from bulrushpulley.systems.keeping import (
    holding,
    pacing,
    registering,
    reporting,
    server_life,
    starting,
    stopping,
)
from bulrushpulley.systems.keeping.events import apply


def build(tables: KeeperTables) -> Role[KeeperTables]:
    """Return the keeper of an agent."""
    return Role(
        name=KEEPER,
        tables=tables,
        apply=apply,
        systems=(
            registering.run,
            server_life.judge,
            starting.run,
            stopping.run,
            pacing.decide,
            pacing.run,
            holding.run,
            reporting.run,
        ),
        tick_s=CONTROL_TICK_S,
        clock=since_boot,
    )
