"""Polls the list of runs on the backend server and renews its lease.

A full lease is requested only while the last confirmed contact with the owner of the
shard is recent, and later ones end when the last full one would. The end is computed
from the newest time on the server's clock that an answer carried, so neither a slow
call nor a pause of this process can extend it.
"""

from __future__ import annotations

from bulrushpulley.entities.changing import replace
from bulrushpulley.entities.jobs.bounds import MAX_CLOCK_DRIFT_FRACTION
from bulrushpulley.entities.jobs.executor_calls import (
    OtherIncarnation,
    PollEvent,
    PollFailed,
    PollRuns,
    RunsListed,
)
from bulrushpulley.entities.jobs.items import EndsNoted
from bulrushpulley.entities.jobs.job_agent_tables import (
    JobAgentStep,
    JobAgentTables,
    PollState,
    Run,
    RunPhase,
    Server,
)
from bulrushpulley.entities.jobs.runs import RunEnd, RunRef, RunStatus
from bulrushpulley.entities.step import Command, Step
from bulrushpulley.systems.job_agent import (
    edits,
    fencing,
    refusing,
    server_lifecycle,
    unanswered_starts,
)

# The call returns as soon as a run ends; otherwise the wait bounds the age of the
# measured latencies and the delay of a lease renewal.
POLL_WAIT_MS = 400
# Without recent contact the lease may be about to end, and is renewed as soon as there
# is contact again.
SHORT_POLL_WAIT_MS = 100
# The backend server is on the same host; a later answer is considered lost.
POLL_ANSWER_TIMEOUT_S = 0.3
POLL_RETRY_DELAY_S = 0.1
UNACKNOWLEDGED_ENDS_INTERVAL_S = 0.2
UNKNOWN_PACE = 0


def has_recent_contact(tables: JobAgentTables, now: float) -> bool:
    """Return whether the confirmed contacts still allow full leases and starts."""
    return now < tables.renewals_end_at


def leases_end_at(tables: JobAgentTables) -> float:
    """Return when the last lease that may be requested ends, by the agent's clock."""
    return tables.renewals_end_at + tables.bounds.longest_lease_s


def lease_until_ms(tables: JobAgentTables, server: Server) -> int:
    """Return the end of a lease requested now, on the server's clock.

    No lease ends after one that was requested at `renewals_end_at`.
    """
    left_s = leases_end_at(tables) - server.clock_read_at
    # The server's clock may be slow, so it has to show less when the time has come.
    left_s *= 1.0 - MAX_CLOCK_DRIFT_FRACTION
    return server.clock_ms + int(min(tables.bounds.lease_s, left_s) * 1_000)


def with_lease_sent(server: Server, until_ms: int, now: float) -> Server:
    """Record that a lease was requested, which never shortens an earlier one."""
    latest_ms = max(server.lease_until_ms, until_ms)
    return replace(server, lease_sent_at=now, lease_until_ms=latest_ms)


def run(tables: JobAgentTables, now: float) -> JobAgentStep:
    """Send the next call once the previous one has ended."""
    server, poll = tables.server, tables.poll
    if server is None or poll.in_flight or now < poll.retry_at:
        return Step(tables=tables)
    # The lease of a server that does not answer is not renewed, so that it certainly
    # expires.
    answers = poll.failing_since is None
    until_ms = lease_until_ms(tables, server)
    leases = until_ms > server.clock_ms and server.listed and answers
    ends_soon = leases and not has_recent_contact(tables, now)
    wait_ms = SHORT_POLL_WAIT_MS if ends_soon else POLL_WAIT_MS
    # The numbers of ends begin anew with each incarnation, so one that is not known yet
    # would discard ends that nobody has read.
    noted = server.noted if server.noted > server.discarded else 0
    call = PollRuns(
        server_id=server.server_id,
        address=server.address,
        timeout_s=wait_ms / 1_000 + POLL_ANSWER_TIMEOUT_S,
        fencing_token=tables.fencing_token,
        noted=noted,
        life=server.life,
        wait_ms=wait_ms if server.listed else 0,
        lease_until_ms=until_ms if leases else None,
    )
    if leases:
        server = with_lease_sent(server, until_ms, now)
    sent = replace(poll, in_flight=True, sent_at=now, noted=noted)
    return Step(tables=replace(tables, server=server, poll=sent), commands=(call,))


def called_server(event: PollEvent, tables: JobAgentTables) -> Server | None:
    """Return the server if the answer is to a call of its current incarnation.

    A backend server may be reborn with the same id. What its former incarnation has
    answered says nothing of the present one.
    """
    server = tables.server
    if server is None or server.server_id != event.server_id:
        return None
    return server if event.life in ("", server.life) else None


def handle_poll_failed(
    event: PollFailed, tables: JobAgentTables, now: float
) -> JobAgentStep:
    """Schedule a retry, and record since when the calls have failed."""
    poll = tables.poll
    server = called_server(event, tables)
    if server is None:
        return Step(tables=tables)
    first_failure = poll.failing_since is None
    failing = replace(
        poll,
        in_flight=False,
        retry_at=now + POLL_RETRY_DELAY_S,
        failing_since=now if poll.failing_since is None else poll.failing_since,
        connections_refused=poll.connections_refused + 1
        if event.connection_refused
        else 0,
    )
    tables = replace(tables, poll=failing)
    if event.fenced:
        tables = fencing.handle_fenced(tables)
    if not first_failure:
        return Step(tables=tables)
    line = edits.log(
        tables,
        "server.silent",
        server.life,
        "",
        event.reason,
    )
    return Step(tables=tables, commands=(line,))


def handle_other_incarnation(
    event: OtherIncarnation, tables: JobAgentTables, now: float
) -> JobAgentStep:
    """End the incarnation that was called; the new one will announce itself."""
    if called_server(event, tables) is None:
        return Step(tables=tables)
    return server_lifecycle.end_incarnation(
        tables, "another incarnation answers at its address", now
    )


def handle_runs_listed(
    event: RunsListed, tables: JobAgentTables, now: float
) -> JobAgentStep:
    """Update the table of runs to the list of the backend server."""
    server = called_server(event, tables)
    if server is None:
        return Step(tables=tables)
    if event.started_at_ms not in (0, server.started_at_ms):
        return server_lifecycle.end_incarnation(
            tables,
            "another incarnation answers at its address",
            now,
            next_may_run=_may_run_on_next(tables, event, now),
        )
    sent_at = tables.poll.sent_at
    discarded = max(server.discarded, tables.poll.noted)
    server = replace(server, listed=True, discarded=discarded)
    if event.clock_ms > server.clock_ms:
        server = replace(server, clock_ms=event.clock_ms, clock_read_at=now)
    tables = replace(tables, server=server, poll=PollState())
    tables = fencing.handle_accepted(tables)
    # What precedes the first end that the server keeps was acknowledged by an earlier
    # process of this agent.
    noted = _with_noted(tables, max(server.noted, event.first_end - 1))
    tables = noted.tables
    lines = (*noted.commands, *_start_lines(tables, event, now))
    for status in event.runs:
        tables = _update_run(tables, status, now)
    for end in event.ends:
        recorded = _record_end(tables, end, now)
        tables = recorded.tables
        lines = (*lines, *recorded.commands)
    if tables.ends:
        # The server answers immediately while ends are unacknowledged: delay the call.
        poll = replace(tables.poll, retry_at=now + UNACKNOWLEDGED_ENDS_INTERVAL_S)
        tables = replace(tables, poll=poll)
    if not event.ends_complete:
        # A run that is not listed may have ended.
        return Step(tables=tables, commands=lines)
    listed = frozenset(status.key for status in event.runs)
    step = _refuse_missing(tables, listed, sent_at, now)
    return replace(step, commands=(*lines, *step.commands))


def _may_run_on_next(tables: JobAgentTables, event: RunsListed, now: float) -> bool:
    """Return whether the next incarnation may have carried out starts for this one.

    The next one has the same id, or it would not have answered.
    """
    never_listed = any(
        run_.phase is RunPhase.STARTING
        or (run_.phase is RunPhase.RUNNING and run_.status is None)
        for run_ in tables.runs.rows()
    )
    is_any_pending = bool(unanswered_starts.pending(tables, now))
    return bool(event.runs or event.ends) or is_any_pending or never_listed


def _start_lines(
    tables: JobAgentTables, event: RunsListed, now: float
) -> tuple[Command, ...]:
    """Return the lines of the runs that a list shows before their starts are answered.

    Their answers, if they come, are not logged any more.
    """
    known = [tables.runs.get(status.key) for status in event.runs]
    return tuple(
        edits.log(
            tables,
            "run.start",
            run_.key,
            event.server_id,
            f"listed {now - run_.since:.3f} s after its order",
        )
        for run_ in known
        if run_ is not None and run_.phase is not RunPhase.RUNNING
    )


def _update_run(
    tables: JobAgentTables, status: RunStatus, now: float
) -> JobAgentTables:
    run_ = tables.runs.get(status.key)
    if run_ is None:
        run_ = Run(
            ref=RunRef(task_id=status.task_id, run=status.run),
            phase=RunPhase.RUNNING,
            wanted=not tables.orders_complete,
            since=now,
            # An earlier process of this agent may have slowed the run.
            pace_set=UNKNOWN_PACE,
        )
    just_started = run_.phase is not RunPhase.RUNNING
    updated = replace(
        run_,
        phase=RunPhase.RUNNING,
        status=status,
        started_at=now if just_started else run_.started_at,
    )
    return edits.put_run(tables, updated)


def _record_end(tables: JobAgentTables, end: RunEnd, now: float) -> JobAgentStep:
    server = tables.server
    if server is None or end.number <= server.noted or end.number in tables.ends:
        return Step(tables=tables)
    line = edits.log(tables, "run.end", end.key, end.how, f"end {end.number}")
    recorded = replace(
        tables,
        ends=tables.ends.set(end.number, end),
        end_listed_at=tables.end_listed_at.set(end.number, now),
        runs=tables.runs.drop(end.key),
    )
    return Step(tables=recorded, commands=(line,))


def _refuse_missing(
    tables: JobAgentTables, listed: frozenset[str], sent_at: float, now: float
) -> JobAgentStep:
    """Refuse the barred and the running runs that are not on the list.

    Only runs that were barred or started before the list was requested count.
    """
    commands: list[Command] = []
    barred = tables.runs.rows_where("phase", RunPhase.BARRED.value)
    running = tables.runs.rows_where("phase", RunPhase.RUNNING.value)
    missing = [run_ for run_ in barred if run_.barred_at < sent_at]
    missing += [run_ for run_ in running if run_.started_at < sent_at]
    for run_ in missing:
        if run_.key in listed:
            continue
        reason = "barred" if run_.phase is RunPhase.BARRED else "no longer listed"
        step = refusing.refuse(tables, run_, reason)
        tables = step.tables
        commands.extend(step.commands)
    return Step(tables=tables, commands=tuple(commands))


def handle_ends_noted(
    event: EndsNoted, tables: JobAgentTables, now: float
) -> JobAgentStep:
    """Record which ends are durable; the next poll acknowledges them.

    A poll acknowledges all ends up to a number, so those after the first end that is
    not durable have to wait.
    """
    server = tables.server
    stale = event.epoch != tables.epoch or server is None or event.life != server.life
    if stale or server is None:
        return Step(tables=tables)
    out_of_order = server.noted_out_of_order | frozenset(event.numbers)
    tables = replace(tables, server=replace(server, noted_out_of_order=out_of_order))
    step = _with_noted(tables, server.noted)
    tables = step.tables
    if not tables.ends:
        tables = replace(tables, poll=replace(tables.poll, retry_at=now))
    return replace(step, tables=tables)


def _with_noted(tables: JobAgentTables, noted: int) -> JobAgentStep:
    """Record that the ends up to `noted`, and those durable after it, are durable."""
    server = tables.server
    if server is None:
        return Step(tables=tables)
    while noted + 1 in server.noted_out_of_order:
        noted += 1
    if noted == server.noted:
        return Step(tables=tables)
    out_of_order = frozenset(
        number for number in server.noted_out_of_order if number > noted
    )
    ends, end_listed_at = tables.ends, tables.end_listed_at
    lines: list[Command] = []
    for number, end in sorted(tables.ends.items()):
        if number <= noted:
            ends = ends.delete(number)
            end_listed_at = end_listed_at.delete(number)
            reason = f"end {number} of {server.life} is durable"
            lines.append(edits.log(tables, "run.noted", end.key, end.how, reason))
    server = replace(server, noted=noted, noted_out_of_order=out_of_order)
    tables = replace(tables, server=server, ends=ends, end_listed_at=end_listed_at)
    return Step(tables=tables, commands=tuple(lines))
