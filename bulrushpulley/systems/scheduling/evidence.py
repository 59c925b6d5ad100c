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
WINDOW_S = 4.0
FAILURES = 2
# About as long as a disturbance of a backend server lasts.
ASIDE_S = 4.0
REFUSED_ASIDE_S = 1.0


def note_ending(
    tables: SchedulerTables, task: Task, ending: Ending, now: float
) -> SchedulerTables:
    """Take an end into what is believed of its host."""
    host = tables.hosts.get(task.host)
    if host is None:
        return tables
    return edits.put_host(tables, judged(ending, host, task, now))


@singledispatch
def judged(ending: Ending, host: Host, task: Task, now: float) -> Host:
    """Return the host as it is believed to be after an end."""
    return host


@judged.register
def _(ending: Done, host: Host, task: Task, now: float) -> Host:
    return replace(host, failed_at=())


@judged.register
def _(ending: Failed, host: Host, task: Task, now: float) -> Host:
    if task.failures:
        # What failed before, elsewhere, says little about this host.
        return host
    recent = tuple(at for at in host.failed_at if now - at < WINDOW_S)
    failed = replace(host, failed_at=(*recent, now))
    if len(failed.failed_at) < FAILURES:
        return failed
    return replace(failed, aside_until=now + ASIDE_S, failed_at=())


def note_refusal(tables: SchedulerTables, name: str, now: float) -> SchedulerTables:
    """Set a host aside that said itself that it takes nothing."""
    host = tables.hosts.by_key[name]
    aside = replace(host, aside_until=max(host.aside_until, now + REFUSED_ASIDE_S))
    return edits.put_host(tables, aside)
