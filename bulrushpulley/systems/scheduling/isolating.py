"""Finds the rows for which the store rejects a transaction, and withholds them.

A transaction holds the rows of many jobs and the renewal of the owner row. If the store
rejects it, it would reject it again, so what it held is written separately: each job,
and the rows that concern all jobs. What is rejected alone is tried again later, alone,
while everything else goes on.
"""

from __future__ import annotations

from dataclasses import dataclass

from bulrushpulley.entities.changing import replace
from bulrushpulley.entities.jobs.progress_commit import Commit
from bulrushpulley.entities.jobs.scheduler_tables import SchedulerTables
from bulrushpulley.entities.observe import Decision
from bulrushpulley.systems.scheduling import edits, progress

WITHHOLD_TIME_S = 10.0
NO_JOBS: frozenset[str] = frozenset()


@dataclass(frozen=True, kw_only=True, slots=True)
class Content:
    """What the next transaction holds beside the owner row."""

    job_ids: tuple[str, ...]
    others: bool


def next_content(tables: SchedulerTables, now: float) -> Content:
    """Return what the next transaction is to hold."""
    suspects = tables.suspects
    others_until = suspects.others_withheld_until
    if suspects.others or (others_until and now >= others_until):
        return Content(job_ids=(), others=True)
    withheld = suspects.withheld_until_by_job
    retried = {job_id for job_id, until in withheld.items() if now >= until}
    alone = (suspects.job_ids | retried).intersection(tables.effects_by_job)
    if alone:
        return Content(job_ids=(min(alone),), others=False)
    job_ids = progress.due_job_ids(tables, NO_JOBS, frozenset(withheld))
    return Content(job_ids=tuple(job_ids), others=not others_until)


def may_extend(tables: SchedulerTables) -> bool:
    """Return whether a transaction may be sent again with more jobs than before."""
    suspects = tables.suspects
    return not (suspects.job_ids or suspects.others or suspects.withheld_until_by_job)


def handle_accepted(
    tables: SchedulerTables, commit: Commit, now: float
) -> SchedulerTables:
    """Record that the store accepts what a transaction held."""
    suspects = tables.suspects
    if may_extend(tables) and not suspects.others_withheld_until:
        return tables
    # Without jobs, it held all other rows that were due.
    has_cleared_others = not commit.job_ids and now >= suspects.others_withheld_until
    withheld = suspects.withheld_until_by_job
    for job_id in commit.job_ids.intersection(withheld):
        withheld = withheld.delete(job_id)
    accepted = replace(
        suspects,
        # A job that has gone is never written again.
        job_ids=(suspects.job_ids - commit.job_ids).intersection(tables.jobs.by_key),
        others=suspects.others and not has_cleared_others,
        withheld_until_by_job=withheld,
        others_withheld_until=0.0
        if has_cleared_others
        else suspects.others_withheld_until,
    )
    return replace(tables, suspects=accepted)


def is_divisible(commit: Commit) -> bool:
    """Return whether a transaction holds more than the owner row."""
    return bool(commit.job_ids) or commit.has_others


def handle_rejected(
    tables: SchedulerTables, commit: Commit, reason: str, now: float
) -> tuple[SchedulerTables, Decision]:
    """Withhold what was alone in a rejected transaction, or suspect all it held."""
    suspects = tables.suspects
    retry_at = now + WITHHOLD_TIME_S
    subject = f"{len(commit.job_ids)} jobs"
    chosen = "separate"
    if not commit.job_ids:
        subject, chosen = "others", "withhold"
        suspects = replace(suspects, others=False, others_withheld_until=retry_at)
    elif len(commit.job_ids) == 1 and not commit.has_others:
        (subject,) = commit.job_ids
        chosen = "withhold"
        suspects = replace(
            suspects,
            job_ids=suspects.job_ids - commit.job_ids,
            withheld_until_by_job=suspects.withheld_until_by_job.set(subject, retry_at),
        )
    else:
        suspects = replace(
            suspects,
            job_ids=suspects.job_ids | commit.job_ids,
            others=suspects.others or commit.has_others,
        )
    tables = replace(tables, suspects=suspects)
    return tables, edits.log(tables, "commit.reject", subject, chosen, reason)
