"""Logs what lasts although it should not: unsettled runs, kept ends, no owner.

Each state is logged once it has lasted for 3 s, and again at doubling ages. Nothing is
decided here.
"""

from __future__ import annotations

from collections.abc import Iterable

from immutables import Map

from bulrushpulley.entities.changing import replace
from bulrushpulley.entities.jobs.job_agent_tables import (
    JobAgentStep,
    JobAgentTables,
    Run,
    RunPhase,
)
from bulrushpulley.entities.observe import Observe
from bulrushpulley.entities.step import Command, Step
from bulrushpulley.systems.job_agent import edits, starting
from bulrushpulley.systems.lasting_states import (
    MAX_OBSERVED_PER_REPORT,
    REPORT_INTERVAL_S,
    first_lines,
    is_report_due,
    left_out,
)

UNSETTLED_PHASES = (RunPhase.ORDERED, RunPhase.STARTING, RunPhase.BARRED)
NO_OWNER = "owner.none"
NO_SERVER = "server.none"
UNACKNOWLEDGED = "ends.unacknowledged"


def run(tables: JobAgentTables, now: float) -> JobAgentStep:
    """Record what is lacking, and report once the interval has passed."""
    tables = _with_lacks(tables, now)
    last_report_at = tables.unsettled_reported_at
    if now - last_report_at < REPORT_INTERVAL_S:
        return Step(tables=tables)
    tables = replace(tables, unsettled_reported_at=now)
    commands = (
        *_report_lacks(tables, last_report_at, now),
        *_report_runs(tables, last_report_at, now),
    )
    return Step(tables=tables, commands=commands)


def _with_lacks(tables: JobAgentTables, now: float) -> JobAgentTables:
    """Record since when there has been no owner or server, or the same first end."""
    known = tables.unsettled_since_by_kind
    oldest_end = min(tables.ends, default=0)
    if oldest_end != tables.oldest_end and UNACKNOWLEDGED in known:
        known = known.delete(UNACKNOWLEDGED)
    server = tables.server
    is_lacking_by_kind = {
        NO_OWNER: not tables.owner,
        NO_SERVER: server is None or not server.listed,
        UNACKNOWLEDGED: bool(oldest_end),
    }
    since_by_kind = Map(
        {
            kind: known.get(kind, now)
            for kind, is_lacking in is_lacking_by_kind.items()
            if is_lacking
        }
    )
    is_known = since_by_kind == tables.unsettled_since_by_kind
    if is_known and oldest_end == tables.oldest_end:
        return tables
    return replace(tables, unsettled_since_by_kind=since_by_kind, oldest_end=oldest_end)


def _report_lacks(
    tables: JobAgentTables, last_report_at: float, now: float
) -> Iterable[Command]:
    reason_by_kind = {
        NO_OWNER: _describe_permission(tables, now),
        NO_SERVER: f"{_describe_server(tables, now)},"
        f" {len(tables.unconfirmed)} announced and not confirmed",
        UNACKNOWLEDGED: f"{len(tables.ends)} ends, the first {tables.oldest_end},"
        f" the last sent to the owner {tables.last_end_sent},"
        f" linked {bool(tables.owner)}",
    }
    for kind, since in sorted(tables.unsettled_since_by_kind.items()):
        if is_report_due(since, last_report_at, now):
            reason = f"for {now - since:.1f} s; {reason_by_kind[kind]}"
            yield edits.log(tables, kind, tables.host, "", reason)


def _report_runs(
    tables: JobAgentTables, last_report_at: float, now: float
) -> Iterable[Command]:
    due = [
        run_
        for phase in UNSETTLED_PHASES
        for run_ in tables.runs.rows_where("phase", phase.value)
        if is_report_due(run_.since, last_report_at, now)
    ]
    due.sort(key=lambda run_: (run_.since, run_.key))
    logged = first_lines(due)
    for run_ in due[:MAX_OBSERVED_PER_REPORT]:
        yield Observe(
            name="run_unsettled_seconds",
            seconds=now - run_.since,
            label=run_.phase.value,
        )
    for run_ in logged:
        reason = _explain_run(tables, run_, now)
        reason += left_out(due) if run_ is logged[-1] else ""
        yield edits.log(tables, "run.unsettled", run_.key, "", reason)


def _explain_run(tables: JobAgentTables, run_: Run, now: float) -> str:
    need = run_.committed
    return (
        f"{run_.phase.value} for {now - run_.since:.1f} s;"
        f" wanted {run_.wanted}, in flight {run_.in_flight},"
        f" denied {run_.denied or 'no'}; {_describe_server(tables, now)};"
        f" {_describe_permission(tables, now)};"
        f" needs {need.processors_m}, {need.memory_mb}, {need.accelerators}"
    )


def _describe_server(tables: JobAgentTables, now: float) -> str:
    server, failing_since = tables.server, tables.poll.failing_since
    if server is None:
        return f"server {tables.server_state.value}, not known"
    failing_s = 0.0 if failing_since is None else now - failing_since
    free = starting.free_resources(tables, server)
    return (
        f"server {tables.server_state.value}, listed {server.listed},"
        f" polls failing for {failing_s:.1f} s,"
        f" free {free.processors_m}, {free.memory_mb}, {free.accelerators}"
    )


def _describe_permission(tables: JobAgentTables, now: float) -> str:
    """Return for how long the owner permits full leases and starts, as text."""
    left_s = tables.renewals_end_at - now
    if left_s > 0.0:
        return f"full leases permitted for {left_s:.1f} s"
    return f"full leases not permitted for {-left_s:.1f} s"
