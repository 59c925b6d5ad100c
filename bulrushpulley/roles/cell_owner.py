"""Builds the cell owner, the role that runs tasks on the workers of its cells."""

from __future__ import annotations

from bulrushpulley.entities.cell_owner_tables import CellOwnerTables
from bulrushpulley.entities.owner_times import DEFAULT_AUTONOMY_S
from bulrushpulley.roles.actor import CONTROL_TICK_INTERVAL_S, Role
from bulrushpulley.systems.cell import evict as cell_evict
from bulrushpulley.systems.cell import interference as cell_interference
from bulrushpulley.systems.cell import liveness as cell_liveness
from bulrushpulley.systems.cell import load as cell_load
from bulrushpulley.systems.cell import owner_events as cell_owner_events
from bulrushpulley.systems.cell import place as cell_place
from bulrushpulley.systems.cell import quarantine as cell_quarantine
from bulrushpulley.systems.cell import release as cell_release
from bulrushpulley.systems.cell import reports as cell_reports
from bulrushpulley.systems.cell import rows as cell_rows
from bulrushpulley.systems.cell import send as cell_send
from bulrushpulley.systems.cell import stop as cell_stop
from bulrushpulley.systems.cell import summary as cell_summary
from bulrushpulley.systems.cell import throttle as cell_throttle
from bulrushpulley.systems.cell import watch as cell_watch
from bulrushpulley.systems.cell.endings import write_endings

CELL_OWNER = "cell_owner"


def build(
    *, agent: str, incarnation: str, region: str, autonomy_s: float = DEFAULT_AUTONOMY_S
) -> Role[CellOwnerTables]:
    """Return the cell owner of an agent, initially without cells.

    `agent` is the agent's name in its settings; `incarnation` must be unique to the
    process. The cell owner keeps renewing the leases of running tasks for
    `autonomy_s` after its own last confirmed renewal.
    """
    tables = CellOwnerTables(
        agent=agent, incarnation=incarnation, region=region, autonomy_s=autonomy_s
    )
    return Role(
        name=CELL_OWNER,
        tables=tables,
        apply=cell_owner_events.apply,
        tick_interval_s=CONTROL_TICK_INTERVAL_S,
        systems=(
            cell_liveness.renew,
            cell_watch.watch,
            cell_load.refetch,
            cell_rows.remove_absent_workers,
            cell_quarantine.probe_quarantined,
            cell_evict.drain,
            cell_evict.cancel,
            cell_stop.end_tasks_with_expired_leases,
            cell_evict.evict_over_capacity,
            cell_interference.limit_interference,
            cell_place.place,
            cell_evict.return_waiting_tasks,
            write_endings,
            cell_stop.send_stops,
            cell_throttle.send,
            cell_reports.request_reports,
            cell_summary.summarize,
            cell_release.release,
            cell_send.send,
        ),
    )
