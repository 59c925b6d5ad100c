"""Reads the platform's list of machines while a wave or a silent host needs it."""

from __future__ import annotations

from bulrushpulley.entities.changing import replace
from bulrushpulley.entities.jobs.machines import (
    ListMachines,
    ListMachinesFailed,
    Machine,
    MachineListAnswer,
    MachinesListed,
)
from bulrushpulley.entities.jobs.scheduler_tables import (
    SCHEDULER,
    SchedulerStep,
    SchedulerTables,
)
from bulrushpulley.entities.step import Step
from bulrushpulley.entities.table import Table
from bulrushpulley.systems.scheduling import edits, lost_servers, waves

# The service of machines accepts only a few list requests per second from all processes
# together, and an upkeep takes seconds, so the list need not be read more often.
MACHINE_LIST_INTERVAL_S = 1.0
# A second list confirms that a server is gone, whose tasks stand still until then.
CONFIRMING_LIST_INTERVAL_S = 0.6
# Short compared with the time after which a host counts as silent.
CHECK_INTERVAL_S = 0.2
MACHINE_LIST_TIMEOUT_S = 1.5


def run(tables: SchedulerTables, now: float) -> SchedulerStep:
    """Request the list while a wave is open or a host with tasks is silent."""
    machines = tables.machines
    # A second call while one hangs would take another of the threads for calls.
    if not edits.is_loaded(tables) or machines.listing:
        return Step(tables=tables)
    interval_s = MACHINE_LIST_INTERVAL_S
    if lost_servers.may_confirm_soon(tables):
        interval_s = CONFIRMING_LIST_INTERVAL_S
    if (
        now - machines.requested_at < interval_s
        or now - machines.checked_at < CHECK_INTERVAL_S
    ):
        return Step(tables=tables)
    silent = frozenset(lost_servers.host_by_silent_incarnation(tables, now))
    machines = replace(
        machines,
        asked_incarnations=silent,
        named_incarnations=machines.named_incarnations & silent,
        missing_incarnations=machines.missing_incarnations & silent,
        checked_at=now,
    )
    if not silent and not waves.is_any_open(tables):
        return Step(tables=replace(tables, machines=machines))
    requested = replace(machines, listing=True, requested_at=now)
    call = ListMachines(
        role=SCHEDULER, requested_at=now, timeout_s=MACHINE_LIST_TIMEOUT_S
    )
    return Step(tables=replace(tables, machines=requested), commands=(call,))


def handle_machines_listed(
    event: MachinesListed, tables: SchedulerTables, now: float
) -> SchedulerStep:
    """Replace the list of machines, and end the runs on servers that are not listed.

    An empty list is treated as a failed read. Machines that are missing from an
    incomplete list are kept.
    """
    known = tables.machines
    if not _is_awaited(event, tables):
        return Step(tables=tables)
    # A machine that is not listed counts as removed, so an empty list would finish all.
    if not event.machines:
        failed = ListMachinesFailed(
            requested_at=event.requested_at, reason="empty list of machines"
        )
        return handle_list_failed(failed, tables, now)
    machines: Table[Machine] = Table.empty() if event.complete else known.machines
    for machine in event.machines:
        machines = machines.put(machine.machine_id, machine)
    listed = replace(
        known,
        machines=machines,
        listed_at=known.requested_at,
        listing=False,
        failing=False,
    )
    tables = replace(tables, machines=listed)
    if event.running_server_ids is None:
        return Step(tables=tables)
    return lost_servers.end_unlisted(
        tables, event.running_server_ids, now, one_page=event.one_page
    )


def handle_list_failed(
    event: ListMachinesFailed, tables: SchedulerTables, now: float
) -> SchedulerStep:
    """Log the first failure; the list is requested again after the usual interval."""
    known = tables.machines
    if not _is_awaited(event, tables):
        return Step(tables=tables)
    tables = replace(tables, machines=replace(known, listing=False, failing=True))
    if known.failing:
        return Step(tables=tables)
    line = edits.log(tables, "machines.unlisted", "machines", "", event.reason)
    return Step(tables=tables, commands=(line,))


def _is_awaited(event: MachineListAnswer, tables: SchedulerTables) -> bool:
    """Return whether an answer is to the last request, and not to an earlier tenure's.

    What an older list leaves out may have started since.
    """
    machines = tables.machines
    return machines.listing and event.requested_at == machines.requested_at
