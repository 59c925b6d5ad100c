"""Builds the scheduler, which places the tasks of jobs.

One entry's scheduler owns the shard; those of the other entries wait to take it over.
"""

from __future__ import annotations

from bulrushpulley.entities.jobs.bounds import Bounds
from bulrushpulley.entities.jobs.scheduler_tables import (
    SCHEDULER,
    Following,
    SchedulerTables,
)
from bulrushpulley.roles.actor import (
    CONTROL_TICK_INTERVAL_S,
    TICK_INTERVAL_S,
    Role,
    seconds_since_boot,
)
from bulrushpulley.systems.scheduling import (
    agents,
    backlog,
    capacity_use,
    committing,
    condensing,
    dialling,
    host_rows,
    idle_jobs,
    interference,
    lease_expiry,
    loading,
    machine_list,
    ownership,
    placing,
    probing,
    purging,
    readopting,
    rechecking,
    rederiving,
    rereading,
    setting_aside,
    unblocking,
    unserved,
    upkeep,
    wall_clock,
    watching,
    waves,
)
from bulrushpulley.systems.scheduling.events import apply, can_wait

# Lets the ends, orders and commits of many agents share a tick. A start passes three
# ticks, so it adds little to the hundreds of milliseconds that callers expect.
MIN_SCHEDULER_TICK_INTERVAL_S = 0.015

# In the order in which they run in each tick.
SYSTEMS = (
    wall_clock.run,
    ownership.run,
    loading.run,
    watching.run,
    rechecking.run,
    rereading.run,
    dialling.run,
    readopting.run,
    agents.adopt,
    host_rows.run,
    lease_expiry.run,
    unblocking.unblock_due,
    rederiving.run,
    waves.run,
    machine_list.run,
    upkeep.run,
    placing.run,
    interference.send_verdicts,
    backlog.run,
    condensing.run,
    purging.run,
    committing.run,
    probing.run,
    setting_aside.report_only("unserved", unserved.run),
    setting_aside.report_only("idle_jobs", idle_jobs.run),
    setting_aside.report_only("capacity_use", capacity_use.run),
)


def build(
    *,
    name: str,
    incarnation: str,
    takeover_stagger: float,
    bounds: Bounds,
    claim_stagger: float = 1.0,
    slowness: float = 1.0,
) -> Role[SchedulerTables]:
    """Return the scheduler of an entry; `SchedulerTables` explains the staggers.

    Among entries equally near the store, the one with the lowest stagger goes first.
    One that is slow for lack of processor time ticks less often while it is idle.
    """
    tables = SchedulerTables(
        name=name,
        incarnation=incarnation,
        takeover_stagger=takeover_stagger,
        claim_stagger=claim_stagger,
        slowness=slowness,
        bounds=bounds,
        leadership=Following(),
    )
    return Role(
        name=SCHEDULER,
        tables=tables,
        apply=apply,
        systems=SYSTEMS,
        tick_interval_s=min(CONTROL_TICK_INTERVAL_S, TICK_INTERVAL_S * slowness),
        min_tick_interval_s=MIN_SCHEDULER_TICK_INTERVAL_S,
        can_wait=can_wait,
        clock=seconds_since_boot,
    )
