"""Keeps the runs that a backend server has begun after it has started again.

A server may start again under its id before its agent notices, which then has the next
incarnation start runs that were ordered on the former one. The number of a run is never
used again, so a run that the next incarnation lists is the one that was ordered, and
goes on.
"""

from __future__ import annotations

from bulrushpulley.entities.changing import replace
from bulrushpulley.entities.jobs.host import Host, server_of_incarnation
from bulrushpulley.entities.jobs.items import RunsReport
from bulrushpulley.entities.jobs.scheduler_tables import SchedulerStep, SchedulerTables
from bulrushpulley.entities.jobs.task import HOLDING_STATES, TaskState
from bulrushpulley.systems.scheduling import edits, endings

LIFE_OVER = "its backend server's life was over"


def incarnations_to_keep(
    tables: SchedulerTables, host: Host, life: str
) -> frozenset[str]:
    """Return the incarnations whose runs may go on if a host reports this one.

    Those of the same server end with the complete list of its runs at the latest.
    """
    if not life:
        return frozenset()
    server_id = server_of_incarnation(life)
    tasks = tables.tasks.rows_where("host", host.name)
    former = {
        task.life for task in tasks if server_of_incarnation(task.life) == server_id
    }
    return frozenset({life, *former})


def handle_complete_list(
    tables: SchedulerTables, host: Host, report: RunsReport, now: float
) -> SchedulerStep:
    """Move the runs that an incarnation lists to it, and end those of former ones."""
    server_id = server_of_incarnation(report.life)
    listed = {status.key for status in report.runs} | {end.key for end in report.ends}
    for task in tables.tasks.rows_where("host", host.name):
        is_former = (
            task.life != report.life
            and server_of_incarnation(task.life) == server_id
            and task.state in HOLDING_STATES
            and task.state is not TaskState.PLACED
        )
        if is_former and task.run_key in listed:
            tables = edits.put_task(tables, replace(task, life=report.life))
            tables = edits.mark_dirty(tables, task.job_id)
    return endings.end_runs_as_lost(
        tables,
        host.name,
        now,
        LIFE_OVER,
        keep_incarnations=frozenset({report.life}),
    )
