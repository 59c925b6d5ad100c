"""What the ends of runs say of the hosts that they ran on.

A host that fails what it is given is set aside for a while, unless what failed there
fails elsewhere too. The evidence ages: after the pause the host is tried again.
"""

from __future__ import annotations

from dataclasses import replace
from functools import singledispatch

from bulrushpulley.entities.jobs.host import Host
from bulrushpulley.entities.jobs.runs import Done, Ending, Failed
from bulrushpulley.entities.jobs.scheduler_tables import SchedulerTables
from bulrushpulley.entities.jobs.task import Task
from bulrushpulley.systems.scheduling import edits

# Failures by chance are a few in a hundred runs; two in this time, on a host that
# completed nothing in between, are a sign of the host.
FAILURE_WINDOW_S = 4.0
MIN_FAILURES_TO_QUARANTINE = 2
# About as long as a disturbance of a backend server lasts.
QUARANTINE_DURATION_S = 4.0
REFUSAL_QUARANTINE_S = 1.0


def record_ending(
    tables: SchedulerTables, task: Task, ending: Ending, now: float
) -> SchedulerTables:
    """Take an end into what is believed of its host."""
    host = tables.hosts.get(task.host)
    if host is None:
        return tables
    return edits.put_host(tables, host_after_ending(ending, host, task, now))


@singledispatch
def host_after_ending(ending: Ending, host: Host, task: Task, now: float) -> Host:
    """Return the host as it is believed to be after an end."""
    return host


@host_after_ending.register
def _(ending: Done, host: Host, task: Task, now: float) -> Host:
    return replace(host, failed_at=())


@host_after_ending.register
def _(ending: Failed, host: Host, task: Task, now: float) -> Host:
    if task.failures:
        # What failed before, elsewhere, says little about this host.
        return host
    recent = tuple(at for at in host.failed_at if now - at < FAILURE_WINDOW_S)
    failed = replace(host, failed_at=(*recent, now))
    if len(failed.failed_at) < MIN_FAILURES_TO_QUARANTINE:
        return failed
    return replace(failed, quarantined_until=now + QUARANTINE_DURATION_S, failed_at=())


def record_refusal(tables: SchedulerTables, name: str, now: float) -> SchedulerTables:
    """Set a host aside that said itself that it takes nothing."""
    host = tables.hosts.by_key[name]
    quarantined = replace(
        host, quarantined_until=max(host.quarantined_until, now + REFUSAL_QUARANTINE_S)
    )
    return edits.put_host(tables, quarantined)
