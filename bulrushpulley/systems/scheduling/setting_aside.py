"""Sets jobs aside that a system fails to handle, so that the others are served.

A job is stored, so an exception that it causes would end each owner of the shard in
turn. Instead it gets no placement for a while, or is not added to the tables. Its runs
go on, and what agents report of them and the cancelling of the job are still handled.
Each failure is counted, as it is a fault of this program, and logged with its place.
"""

from __future__ import annotations

from collections.abc import Callable

from bulrushpulley.entities.changing import replace
from bulrushpulley.entities.jobs.scheduler_tables import SchedulerStep, SchedulerTables
from bulrushpulley.entities.jobs.set_aside import FailedReport, SetAsideJob
from bulrushpulley.entities.observe import Count
from bulrushpulley.entities.step import Step, System
from bulrushpulley.errors import describe_error
from bulrushpulley.systems.exponential_backoff import exponential_delay_s
from bulrushpulley.systems.scheduling import edits

MIN_SET_ASIDE_S = 10.0
MAX_SET_ASIDE_S = 160.0
# A job that has been handled again for this long counts as never set aside.
FAILURE_MEMORY_S = 2 * MAX_SET_ASIDE_S
REPORT_RETRY_DELAY_S = 10.0
FAILURE = Count(name="job_failures")
JOB_SET_ASIDE = "job.set_aside"
REPORT_FAILED = "report.failed"
FAILURE_KINDS = frozenset({JOB_SET_ASIDE, REPORT_FAILED})

Work = Callable[[SchedulerTables], SchedulerStep]


def is_set_aside(tables: SchedulerTables, job_id: str, now: float) -> bool:
    """Return whether a job is to be left out."""
    known = tables.set_aside.get(job_id)
    return known is not None and now < known.until


def advance_job(
    tables: SchedulerTables, job_id: str, now: float, work: Work
) -> SchedulerStep:
    """Handle a job unless it is set aside."""
    if is_set_aside(tables, job_id, now):
        return Step(tables=tables)
    return handle_job(tables, job_id, now, work)


def handle_job(
    tables: SchedulerTables, job_id: str, now: float, work: Work
) -> SchedulerStep:
    """Return what `work` makes of the tables, or set the job aside if it raises."""
    try:
        return work(tables)
    except Exception as error:
        return set_aside(tables, job_id, error, now)


def set_aside(
    tables: SchedulerTables, job_id: str, error: Exception, now: float
) -> SchedulerStep:
    """Leave a job out for a while, longer after each failure in a row.

    Failures until then are only counted.
    """
    if is_set_aside(tables, job_id, now):
        return Step(tables=tables, commands=(FAILURE,))
    tables = _without_handled(tables, now)
    known = tables.set_aside.get(job_id)
    failures = known.failures if known is not None else 0
    delay_s = exponential_delay_s(
        min_delay_s=MIN_SET_ASIDE_S, max_delay_s=MAX_SET_ASIDE_S, doublings=failures
    )
    row = SetAsideJob(job_id=job_id, until=now + delay_s, failures=failures + 1)
    tables = replace(tables, set_aside=tables.set_aside.put(job_id, row))
    reason = describe_error(error)
    line = edits.log(tables, JOB_SET_ASIDE, job_id, f"for {delay_s:g} s", reason)
    return Step(tables=tables, commands=(line, FAILURE))


def _without_handled(tables: SchedulerTables, now: float) -> SchedulerTables:
    """Drop the jobs that have been handled for long enough."""
    rows = tables.set_aside
    for row in rows.rows():
        if now - row.until >= FAILURE_MEMORY_S:
            rows = rows.drop(row.job_id)
    return replace(tables, set_aside=rows)


def report_only(name: str, system: System[SchedulerTables]) -> System[SchedulerTables]:
    """Return a system that only reports, whose failure leaves the tables as they are.

    It is left out for a while after a failure.
    """

    def run(tables: SchedulerTables, now: float) -> SchedulerStep:
        known = tables.failed_reports.get(name)
        if known is not None and now < known.until:
            return Step(tables=tables)
        try:
            return system(tables, now)
        except Exception as error:
            return _leave_out_report(tables, name, error, now)

    return run


def _leave_out_report(
    tables: SchedulerTables, name: str, error: Exception, now: float
) -> SchedulerStep:
    row = FailedReport(name=name, until=now + REPORT_RETRY_DELAY_S)
    tables = replace(tables, failed_reports=tables.failed_reports.put(name, row))
    chosen = f"left out for {REPORT_RETRY_DELAY_S:g} s"
    line = edits.log(tables, REPORT_FAILED, name, chosen, describe_error(error))
    failure = Count(name="report_failures", label=name)
    return Step(tables=tables, commands=(line, failure))
