"""Quarantines hosts on which runs fail.

A host gets no new tasks for a while after repeated failures, unless the same tasks
fail elsewhere too. Old failures are ignored, and the host is used again after the
quarantine.
"""

from __future__ import annotations

from functools import singledispatch

from bulrushpulley.entities.changing import replace
from bulrushpulley.entities.jobs.host import Host
from bulrushpulley.entities.jobs.runs import Done, Ending, Failed
from bulrushpulley.entities.jobs.scheduler_tables import SchedulerTables
from bulrushpulley.entities.jobs.task import Task
from bulrushpulley.systems.scheduling import edits

# A few in a hundred runs fail by chance. Two failures within this time, with no
# completed run on the host in between, point to a faulty host.
FAILURE_WINDOW_S = 4.0
MIN_FAILURES_TO_QUARANTINE = 2
# About as long as a typical fault of a backend server lasts.
QUARANTINE_DURATION_S = 4.0
REFUSAL_QUARANTINE_S = 1.0


def record_ending(
    tables: SchedulerTables, task: Task, ending: Ending, now: float
) -> SchedulerTables:
    """Update the failure record of the host on which a run ended."""
    host = tables.hosts.get(task.host)
    if host is None:
        return tables
    return edits.put_host(tables, host_after_ending(ending, host, task, now))


@singledispatch
def host_after_ending(ending: Ending, host: Host, task: Task, now: float) -> Host:
    """Return the host with its failure record updated; other ends change nothing."""
    return host


@host_after_ending.register
def _(ending: Done, host: Host, task: Task, now: float) -> Host:
    return replace(host, failed_at=())


@host_after_ending.register
def _(ending: Failed, host: Host, task: Task, now: float) -> Host:
    if task.failures:
        # A task that has failed before, on another host, is weak evidence against this
        # one.
        return host
    recent = tuple(at for at in host.failed_at if now - at < FAILURE_WINDOW_S)
    failed = replace(host, failed_at=(*recent, now))
    if len(failed.failed_at) < MIN_FAILURES_TO_QUARANTINE:
        return failed
    return replace(failed, quarantined_until=now + QUARANTINE_DURATION_S, failed_at=())


def record_refusal(tables: SchedulerTables, name: str, now: float) -> SchedulerTables:
    """Quarantine a host whose backend server would refuse other tasks too."""
    host = tables.hosts.by_key[name]
    quarantined = replace(
        host, quarantined_until=max(host.quarantined_until, now + REFUSAL_QUARANTINE_S)
    )
    return edits.put_host(tables, quarantined)
