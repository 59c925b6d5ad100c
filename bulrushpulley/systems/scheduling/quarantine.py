"""Quarantines hosts on which runs fail.

A host gets no new tasks for a while after repeated failures, unless the same tasks
fail elsewhere too. Old failures are ignored, and the host is used again after the
quarantine. If runs fail on most hosts, the failures do not tell them apart, so at most
half of a service's hosts are in quarantine at a time.
"""

from __future__ import annotations

from functools import singledispatch

from bulrushpulley.entities.changing import replace
from bulrushpulley.entities.jobs.host import Host, ServerState
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
    after = host_after_ending(ending, host, task, now)
    if now < after.quarantined_until and not _may_close(tables, host, now):
        after = replace(after, quarantined_until=host.quarantined_until)
    return edits.put_host(tables, after)


def _may_close(tables: SchedulerTables, host: Host, now: float) -> bool:
    """Return whether at least half of the ready hosts of a service would stay open."""
    ready = [
        other
        for other in tables.hosts.rows()
        if other.service == host.service and other.state is ServerState.READY
    ]
    closed = {other.name for other in ready if now < other.quarantined_until}
    return 2 * len(closed | {host.name}) <= len(ready)


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
