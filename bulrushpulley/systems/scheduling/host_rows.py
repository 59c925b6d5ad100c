"""Handles what the rows of hosts that no owner reaches tell of their runs."""

from __future__ import annotations

from bulrushpulley.entities.changing import replace
from bulrushpulley.entities.jobs.host import Host
from bulrushpulley.entities.jobs.rows import HostRow
from bulrushpulley.entities.jobs.runs import Lost, ending_of
from bulrushpulley.entities.jobs.scheduler_tables import (
    Owning,
    SchedulerStep,
    SchedulerTables,
)
from bulrushpulley.entities.jobs.task import HOLDING_STATES, TaskState
from bulrushpulley.entities.step import Command, Step
from bulrushpulley.systems.scheduling import agents, edits, endings

# An agent that can be reached reports its ends to a new owner within this time. Nothing
# is placed sooner, unless all agents have reported.
REPORT_TIMEOUT_S = 0.2
# No order has been sent for a task that is only placed.
ORDER_SENT_STATES = HOLDING_STATES - {TaskState.PLACED}


def run(tables: SchedulerTables, now: float) -> SchedulerStep:
    """End the runs that have ended, or never began, by the rows of their hosts.

    Agents write them while they have no owner. A row is no contact with its agent, so
    it permits neither leases nor tasks there. The ends are not acknowledged: the agent
    reports them again once it is linked.
    """
    if not tables.unhandled_row_by_host or not edits.is_loaded(tables):
        return Step(tables=tables)
    commands: list[Command] = []
    unhandled = tables.unhandled_row_by_host
    for name, row in sorted(unhandled.items()):
        if _may_report(tables, name, now):
            continue
        unhandled = unhandled.delete(name)
        host = tables.hosts.get(name) or Host(name=name)
        current = 0
        for end in row.ends:
            task = agents.current_task(tables, host, row.life, end.task_id, end.run)
            if task is None:
                continue
            current += 1
            ending = ending_of(end.how, end.checkpoint)
            # It ended that long before the row was written, or earlier.
            ended_at = endings.reported_end_at(end, now)
            step = endings.end_run(tables, task, ending, now, ended_at=ended_at)
            tables = step.tables
            commands.extend(step.commands)
        if current:
            reason = f"its row names {len(row.ends)} ends, {current} of current runs"
            commands.append(edits.log(tables, "host.ends", name, row.life, reason))
        step = _end_unreceived(tables, host, row, now)
        tables = step.tables
        commands.extend(step.commands)
    tables = replace(tables, unhandled_row_by_host=unhandled)
    return Step(tables=tables, commands=tuple(commands))


def _may_report(tables: SchedulerTables, name: str, now: float) -> bool:
    """Return whether a new owner may soon have a report in place of a row.

    The report says how long ago the runs ended, which the row told when it was written.
    """
    owning, host = tables.leadership, tables.hosts.get(name)
    if not isinstance(owning, Owning) or host is None or host.synced:
        return False
    return now - owning.loaded_at < REPORT_TIMEOUT_S


def tells_of_ends(tables: SchedulerTables, row: HostRow) -> bool:
    """Return whether handling the row of a host would end current runs."""
    host = tables.hosts.get(row.host) or Host(name=row.host)
    return any(
        agents.current_task(tables, host, row.life, end.task_id, end.run) is not None
        for end in row.ends
    ) or bool(_unreceived(tables, host, row))


def _unreceived(tables: SchedulerTables, host: Host, row: HostRow) -> list[str]:
    """Return the tasks whose runs an agent lacks and takes no order for any more.

    Its row tells that for the orders of one adoption, which are sent once the agent is
    synced in it; a later adoption may not have reached the agent. A row of an earlier
    adoption may be stored late and says nothing about runs that were ordered since.
    """
    if (row.epoch, row.adoption) != (tables.epoch, host.synced_adoption):
        return []
    present = {ref.key for ref in row.runs}
    return [
        task.task_id
        for task in tables.tasks.rows_where("host", row.host)
        if task.life == row.life
        and task.state in ORDER_SENT_STATES
        and task.run_key not in present
    ]


def _end_unreceived(
    tables: SchedulerTables, host: Host, row: HostRow, now: float
) -> SchedulerStep:
    """End the runs that an agent does not have and takes no order for any more."""
    commands: list[Command] = []
    for task_id in sorted(_unreceived(tables, host, row)):
        # The end of another task may have ended the job, and with it this task.
        task = tables.tasks.get(task_id)
        if task is None or task.state not in ORDER_SENT_STATES:
            continue
        step = endings.end_run(
            tables, task, Lost(reason="its host has no such run"), now
        )
        tables = step.tables
        commands.extend(step.commands)
    return Step(tables=tables, commands=tuple(commands))
