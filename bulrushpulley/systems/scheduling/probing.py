"""Finds out soon that the store answers again while a transaction waits for it.

Timeouts of transactions grow, so that copies do not fill the queue of a slow store. A
small read can be repeated often; once one is answered after others were not, the
transaction is sent again at once.
"""

from __future__ import annotations

from bulrushpulley.entities.changing import replace
from bulrushpulley.entities.jobs.progress_commit import Commit
from bulrushpulley.entities.jobs.rows import OWNED_PART, OWNERS
from bulrushpulley.entities.jobs.scheduler_tables import (
    SCHEDULER,
    Owning,
    ProbeStore,
    SchedulerStep,
    SchedulerTables,
)
from bulrushpulley.entities.jobs.store import ProbeState, ReadRange
from bulrushpulley.entities.step import Step
from bulrushpulley.systems import store_timeouts
from bulrushpulley.systems.scheduling import committing

# Bounds how long the return of the store goes unnoticed. A store in the other region
# answers within 40 ms.
PROBE_TIMEOUT_S = 0.2
# Between reads that are refused at once.
PROBE_INTERVAL_S = 0.15
NO_PROBE = ProbeState()


def run(tables: SchedulerTables, now: float) -> SchedulerStep:
    """Read the owner row again if the transaction has waited for long."""
    commit, probe = tables.commit, tables.probe
    if not isinstance(tables.leadership, Owning) or commit is None:
        if probe == NO_PROBE:
            return Step(tables=tables)
        return Step(tables=replace(tables, probe=NO_PROBE))
    is_due = not probe.in_flight and now - probe.sent_at >= PROBE_INTERVAL_S
    if not is_due or not _is_waiting(tables, commit, now):
        return Step(tables=tables)
    read = ReadRange(
        role=SCHEDULER,
        purpose=ProbeStore(epoch=tables.epoch, sent_at=now),
        timeout_s=PROBE_TIMEOUT_S,
        table=OWNERS,
        part=OWNED_PART,
    )
    sent = replace(probe, sent_at=now, in_flight=True)
    return Step(tables=replace(tables, probe=sent), commands=(read,))


def _is_waiting(tables: SchedulerTables, commit: Commit, now: float) -> bool:
    """Return whether an attempt was refused or has not been answered in time."""
    if not commit.in_flight:
        return True
    usual_s = store_timeouts.timeout_s(tables.store_latency_s)
    return now - commit.batches[0].first_sent_at >= usual_s


def handle_answered(
    purpose: ProbeStore, tables: SchedulerTables, now: float
) -> SchedulerStep:
    """Send the transaction again if earlier reads were not answered."""
    probe = tables.probe
    if purpose.sent_at != probe.sent_at:
        return Step(tables=tables)
    answered = replace(probe, in_flight=False, failed=False)
    tables = replace(tables, probe=answered)
    if probe.failed:
        return committing.handle_store_back(tables, probe.sent_at, now)
    return Step(tables=replace(tables, probe=replace(answered, answered_at=now)))


def handle_failed(purpose: ProbeStore, tables: SchedulerTables) -> SchedulerStep:
    """Record that the store does not answer."""
    if purpose.sent_at != tables.probe.sent_at:
        return Step(tables=tables)
    probe = replace(tables.probe, in_flight=False, failed=True)
    return Step(tables=replace(tables, probe=probe))
