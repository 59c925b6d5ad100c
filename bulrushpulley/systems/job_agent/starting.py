"""Starts each ordered run once, even if the call is repeated."""

from __future__ import annotations

from bulrushpulley.entities.changing import replace
from bulrushpulley.entities.jobs.executor_calls import (
    RunStarted,
    StartDenied,
    StartRun,
    StartUnanswered,
    StartUnhealthy,
)
from bulrushpulley.entities.jobs.host import ServerState
from bulrushpulley.entities.jobs.job_agent_tables import (
    JobAgentStep,
    JobAgentTables,
    Run,
    RunPhase,
    Server,
)
from bulrushpulley.entities.observe import Decision, Observe
from bulrushpulley.entities.resources import NO_RESOURCES, Resources
from bulrushpulley.entities.step import Command, Step
from bulrushpulley.systems.job_agent import (
    edits,
    pacing,
    polling,
    refusing,
    unanswered_starts,
)

# A backend server on the same host answers within a few milliseconds.
RUN_START_TIMEOUT_S = 0.5
RUN_START_RETRY_DELAY_S = 0.05
# A run whose start cannot be sent within this time is returned to the owner, so that it
# never starts long after the decision that allowed it.
START_ORDER_TIMEOUT_S = 1.5
# A run that is still not listed this long after its order, although its start was sent,
# is returned to the owner. A start that is carried out earlier takes hold.
START_SETTLE_TIMEOUT_S = 2.5
UNSETTLED_REASON = "unsettled"
MAX_STARTS_IN_FLIGHT = 6


def run(tables: JobAgentTables, now: float) -> JobAgentStep:
    """Send the starts that may be sent now."""
    tables = _mark_unstarted_unwanted(tables, now)
    server = tables.server
    if (
        server is None
        or not server.listed
        or not polling.has_recent_contact(tables, now)
    ):
        return Step(tables=tables)
    if tables.poll.failing_since is not None:
        return Step(tables=tables)
    marked = _mark_unsettled_unwanted(tables, now)
    tables = marked.tables
    unconfirmed = tables.runs.rows_where("phase", RunPhase.STARTING.value)
    ordered = tables.runs.rows_where("phase", RunPhase.ORDERED.value)
    if not unconfirmed and not ordered:
        return marked
    in_flight = sum(1 for run_ in unconfirmed if run_.in_flight)
    free = free_resources(tables, server)
    chosen: list[Run] = []
    for run_ in unconfirmed:
        if run_.wanted and not run_.in_flight and now >= run_.retry_at:
            chosen.append(run_)
    if tables.server_state is ServerState.READY:
        for run_ in sorted(ordered, key=lambda row: row.since):
            if run_.wanted and run_.committed.fits(free):
                free = free.minus(run_.committed)
                chosen.append(run_)
    commands: list[Command] = []
    until_ms = polling.lease_until_ms(tables, server)
    # Stops of runs without a definite answer count as calls in flight too.
    for run_ in chosen[: max(0, MAX_STARTS_IN_FLIGHT - in_flight)]:
        assert run_.order is not None
        call = StartRun(
            server_id=server.server_id,
            address=server.address,
            timeout_s=RUN_START_TIMEOUT_S,
            fencing_token=tables.fencing_token,
            order=run_.order,
            lease_until_ms=until_ms,
        )
        sent = replace(run_, phase=RunPhase.STARTING, in_flight=True)
        tables = edits.put_run(tables, sent)
        commands.append(call)
    if commands:
        tables = replace(tables, server=polling.with_lease_sent(server, until_ms, now))
    return Step(tables=tables, commands=(*marked.commands, *commands))


def free_resources(tables: JobAgentTables, server: Server) -> Resources:
    """Return the capacity of the server that no run takes or may take."""
    return server.capacity.minus(_used_resources(tables))


def _used_resources(tables: JobAgentTables) -> Resources:
    """Return the resources of all runs that exist, may exist or are being stopped."""
    used = NO_RESOURCES
    for run_ in tables.runs.rows():
        if run_.phase in (RunPhase.STARTING, RunPhase.RUNNING):
            used = used.plus(run_.committed)
    return used


def _mark_unsettled_unwanted(tables: JobAgentTables, now: float) -> JobAgentStep:
    """Mark as unwanted the runs whose starts have had no effect for too long.

    A stop keeps them from starting later, and only then are they refused. While the
    backend server does not list its runs, it is not known whether they have started.
    """
    lines: list[Command] = []
    for run_ in tables.runs.rows_where("phase", RunPhase.STARTING.value):
        settles = now - run_.since <= START_SETTLE_TIMEOUT_S
        if settles or run_.in_flight or not run_.wanted:
            continue
        unwanted = replace(run_, wanted=False, denied=run_.denied or UNSETTLED_REASON)
        tables = edits.put_run(tables, unwanted)
        lines.append(_line(tables, run_, UNSETTLED_REASON))
    return Step(tables=tables, commands=tuple(lines))


def _mark_unstarted_unwanted(tables: JobAgentTables, now: float) -> JobAgentTables:
    """Mark as unwanted the ordered runs that are overdue or whose server drains."""
    for run_ in tables.runs.rows_where("phase", RunPhase.ORDERED.value):
        late = now - run_.since > START_ORDER_TIMEOUT_S
        draining = tables.server_state is ServerState.DRAINING
        if run_.wanted and (late or draining):
            unwanted = replace(run_, wanted=False)
            tables = edits.put_run(tables, unwanted)
    return tables


def handle_run_started(
    event: RunStarted, tables: JobAgentTables, now: float
) -> JobAgentStep:
    """Record that a run has started, which a list may have shown already."""
    run_ = tables.runs.get(event.run.key)
    if run_ is None:
        return Step(tables=tables)
    if run_.phase is not RunPhase.STARTING:
        return Step(tables=_with_call_ended(tables, run_))
    started = replace(
        run_,
        phase=RunPhase.RUNNING,
        in_flight=False,
        started_at=now,
        pace=pacing.initial_pace(tables, run_),
    )
    tables = edits.put_run(tables, started)
    line = edits.log(
        tables,
        "run.start",
        run_.key,
        event.server_id,
        f"{now - run_.since:.3f} s after its order",
    )
    waited = Observe(name="run_start_seconds", seconds=now - run_.since)
    return Step(tables=tables, commands=(line, waited))


def _with_call_ended(tables: JobAgentTables, run_: Run) -> JobAgentTables:
    """Record that no call about a run is in flight any more."""
    answered = replace(run_, in_flight=False)
    return edits.put_run(tables, answered)


def handle_start_denied(
    event: StartDenied, tables: JobAgentTables, now: float
) -> JobAgentStep:
    """Retry with a newer lease, or return the run to the owner.

    The run has to be barred first only if it is not certain that the call has done
    nothing, or if an earlier call had no answer, which may still be carried out.
    """
    run_ = tables.runs.get(event.run.key)
    if run_ is None:
        return Step(tables=tables)
    if run_.phase is not RunPhase.STARTING:
        return Step(tables=_with_call_ended(tables, run_))
    line = _line(tables, run_, event.reason)
    if event.final:
        denied = replace(run_, phase=RunPhase.BARRED, barred_at=now, in_flight=False)
    elif event.reason == "late":
        denied = replace(run_, in_flight=False, retry_at=now + RUN_START_RETRY_DELAY_S)
    elif run_.unconfirmed or not event.certainly_denied:
        denied = replace(run_, in_flight=False, wanted=False, denied=event.reason)
    else:
        step = refusing.refuse(tables, run_, event.reason)
        return Step(tables=step.tables, commands=(line, *step.commands))
    return Step(tables=edits.put_run(tables, denied), commands=(line,))


def handle_start_unhealthy(
    event: StartUnhealthy, tables: JobAgentTables, now: float
) -> JobAgentStep:
    """Return a run to the owner if the backend server certainly did not start it."""
    run_ = tables.runs.get(event.run.key)
    if run_ is None:
        return Step(tables=tables)
    if run_.phase is not RunPhase.STARTING:
        return Step(tables=_with_call_ended(tables, run_))
    unhealthy = replace(run_, in_flight=False, unhealthy=True)
    if run_.unconfirmed:
        barring = replace(unhealthy, wanted=False)
        tables = edits.put_run(tables, barring)
        return Step(tables=tables, commands=(_line(tables, run_, event.reason),))
    return refusing.refuse(tables, unhealthy, event.reason)


def handle_start_unanswered(
    event: StartUnanswered, tables: JobAgentTables, now: float
) -> JobAgentStep:
    """Schedule a retry of the start, which is idempotent for the same run."""
    tables = unanswered_starts.record(tables, event.run, now)
    run_ = tables.runs.get(event.run.key)
    if run_ is None:
        return Step(tables=tables)
    unconfirmed = replace(
        run_, in_flight=False, unconfirmed=True, retry_at=now + RUN_START_RETRY_DELAY_S
    )
    tables = edits.put_run(tables, unconfirmed)
    return Step(tables=tables, commands=(_line(tables, run_, event.reason),))


def _line(tables: JobAgentTables, run_: Run, reason: str) -> Decision:
    return edits.log(tables, "run.deny", run_.key, "", reason)
