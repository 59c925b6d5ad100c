"""Builds the cell owner, the role that runs tasks on the workers of its cells."""

from __future__ import annotations

from bulrushpulley.entities.cell_owner_tables import CellOwnerTables
from bulrushpulley.entities.owner_times import AUTONOMY_S
from bulrushpulley.roles.actor import CONTROL_TICK_S, Role
from bulrushpulley.systems import (
    cell_evict,
    cell_interfere,
    cell_liveness,
    cell_load,
    cell_owner_events,
    cell_place,
    cell_release,
    cell_reports,
    cell_rows,
    cell_send,
    cell_sick,
    cell_stop,
    cell_summary,
    cell_throttle,
    cell_watch,
)
from bulrushpulley.systems.cell_endings import write_endings

NAME = "cell_owner"


def build(
    *, agent: str, incarnation: str, region: str, autonomy_s: float = AUTONOMY_S
) -> Role[CellOwnerTables]:
    """Return the role of an agent that owns no cell yet.

    `agent` is the agent's name in its settings, `incarnation` unique to the
    process. For `autonomy_s` after its last confirmed renewal it goes on renewing
    the leases of running tasks.
    """
    tables = CellOwnerTables(
        agent=agent, incarnation=incarnation, region=region, autonomy_s=autonomy_s
    )
    return Role(
        name=NAME,
        tables=tables,
        apply=cell_owner_events.apply,
        tick_s=CONTROL_TICK_S,
        systems=(
            cell_liveness.renew,
            cell_watch.watch,
            cell_load.refetch,
            cell_rows.retire,
            cell_sick.probe,
            cell_evict.drain,
            cell_evict.cancel,
            cell_stop.lapse,
            cell_evict.shrink,
            cell_interfere.interfere,
            cell_place.place,
            cell_evict.give_back,
            write_endings,
            cell_stop.stop,
            cell_throttle.send,
            cell_reports.ask,
            cell_summary.summarize,
            cell_release.release,
            cell_send.send,
        ),
    )
