"""Table changes and log lines that several systems of the job agent share."""

from __future__ import annotations

from bulrushpulley.entities.changing import replace
from bulrushpulley.entities.jobs.job_agent_tables import JobAgentTables, Run
from bulrushpulley.entities.jobs.runs import RunEnd
from bulrushpulley.entities.observe import Decision


def put_run(tables: JobAgentTables, run: Run) -> JobAgentTables:
    """Store a run."""
    return replace(tables, runs=tables.runs.put(run.key, run))


def with_age(tables: JobAgentTables, end: RunEnd, now: float) -> RunEnd:
    """Return an end as it is sent now, with the time since it was listed."""
    listed_at = tables.end_listed_at.get(end.number, now)
    return replace(end, age_s=round(now - listed_at, 3))


def log(
    tables: JobAgentTables, kind: str, subject: str, chosen: str, reason: str
) -> Decision:
    """Return the log line of a decision, with the epoch that it was based on."""
    return Decision(
        kind=kind, subject=subject, chosen=chosen, reason=reason, epoch=tables.epoch
    )
