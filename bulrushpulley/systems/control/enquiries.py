"""Answers the questions of operators: status and explain.

What an entry does not hold itself is read for the call; an answer that waits
too long is given with what there is and says so.
"""

from __future__ import annotations

from dataclasses import replace

from bulrushpulley.entities import operations as ops
from bulrushpulley.entities.commit import (
    Committed,
    Condition,
    Conflicted,
    VersionedRow,
)
from bulrushpulley.entities.controller_tables import ControllerTables
from bulrushpulley.entities.link import Fetched
from bulrushpulley.entities.pending import (
    Enquiry,
    Pending,
    ProbeForCall,
    ReadForCall,
)
from bulrushpulley.entities.step import Command, Step
from bulrushpulley.systems.control.events import (
    Controlled,
    apply,
    on_commit,
    on_conflict,
    on_loss,
    on_rows,
)
from bulrushpulley.systems.control.explain import find_waiting, held_or_done
from bulrushpulley.systems.control.polls import read_once
from bulrushpulley.systems.control.records import record_key
from bulrushpulley.systems.control.status import status_of
from bulrushpulley.systems.control.submissions import submit

ANSWER_WITHIN_S = 3.0
STATUS_JOBS = 20
EXPLAIN_CELLS = 256


@apply.register
def _(event: ops.AskStatus, tables: ControllerTables, now: float) -> Controlled:
    recent = list(tables.recent_jobs[-STATUS_JOBS:])
    jobs = [event.job] if event.job else recent
    return _asked(tables, event, now, jobs=jobs, prefixes=_done_prefixes(jobs))


def _done_prefixes(jobs: list[str]) -> list[str]:
    return [f"done/{job}/" for job in jobs]


@apply.register
def _(event: ops.AskExplain, tables: ControllerTables, now: float) -> Controlled:
    waiting = find_waiting(tables, event, now)
    if waiting is not None:
        return Step(tables=tables, commands=(waiting,))
    job = event.task_id.split("/")[0]
    cells = sorted(set(tables.cells) | set(tables.fleet.capacities_by_cell))
    prefixes = [f"task/{cell}/{event.task_id}" for cell in cells[:EXPLAIN_CELLS]]
    return _asked(
        tables, event, now, jobs=[], prefixes=[*_done_prefixes([job]), *prefixes]
    )


def _asked(
    tables: ControllerTables,
    call: ops.OperatorCall,
    now: float,
    *,
    jobs: list[str],
    prefixes: list[str],
) -> Controlled:
    commands: list[Command] = []
    waits: set[str] = set()
    for prefix in prefixes:
        target = ReadForCall(call_id=call.call_id)
        step, fetch_id = read_once(tables, now, target=target, prefix=prefix)
        tables = step.tables
        commands.extend(step.commands)
        waits.add(fetch_id)
    for job in jobs:
        step = submit(
            tables,
            now,
            purpose=ProbeForCall(call_id=call.call_id),
            conditions=(Condition(key=record_key("job", job), version=0),),
            writes=(),
            deadline=now + ANSWER_WITHIN_S,
        )
        tables = step.tables
        commands.extend(step.commands)
        waits.add(f"{tables.identity.incarnation}/c{tables.last_number}")
    enquiry = Enquiry(
        call=call, deadline=now + ANSWER_WITHIN_S, waiting_for=frozenset(waits)
    )
    tables = replace(tables, enquiries=tables.enquiries.put(call.call_id, enquiry))
    return Step(tables=tables, commands=tuple(commands))


@on_rows.register
def _(
    target: ReadForCall,
    rows: tuple[VersionedRow, ...],
    event: Fetched,
    tables: ControllerTables,
    now: float,
) -> Controlled:
    return _came(tables, target.call_id, event.fetch_id, rows, event.failed)


@on_commit.register
def _(
    purpose: ProbeForCall,
    pending: Pending,
    outcome: Committed,
    tables: ControllerTables,
    now: float,
) -> Controlled:
    return _came(tables, purpose.call_id, outcome.submission_id, (), "")


@on_conflict.register
def _(
    purpose: ProbeForCall,
    pending: Pending,
    outcome: Conflicted,
    tables: ControllerTables,
    now: float,
) -> Controlled:
    return _came(tables, purpose.call_id, outcome.submission_id, outcome.rows, "")


@on_loss.register
def _(
    purpose: ProbeForCall,
    pending: Pending,
    reason: str,
    tables: ControllerTables,
    now: float,
) -> Controlled:
    submission_id = pending.submission.submission_id
    return _came(tables, purpose.call_id, submission_id, (), reason)


def _came(
    tables: ControllerTables,
    call_id: str,
    awaited: str,
    rows: tuple[VersionedRow, ...],
    failed: str,
) -> Controlled:
    enquiry = tables.enquiries.get(call_id)
    if enquiry is None:
        return Step(tables=tables)
    nearer = replace(
        enquiry,
        waiting_for=enquiry.waiting_for - {awaited},
        rows=(*enquiry.rows, *rows),
        failed=failed or enquiry.failed,
    )
    return Step(tables=replace(tables, enquiries=tables.enquiries.put(call_id, nearer)))


def run(tables: ControllerTables, now: float) -> Controlled:
    """Answer the questions whose readings are in, or whose time is up."""
    commands: list[Command] = []
    for enquiry in tables.enquiries.rows():
        late = now >= enquiry.deadline
        if enquiry.waiting_for and not late:
            continue
        failed = enquiry.failed or ("not everything was read in time" if late else "")
        asked = replace(enquiry, failed=failed)
        commands.append(_answer(asked, tables, now))
        for awaited in enquiry.waiting_for:
            tables = replace(tables, polls=tables.polls.drop(awaited))
        call_id = enquiry.call.call_id
        tables = replace(tables, enquiries=tables.enquiries.drop(call_id))
    return Step(tables=tables, commands=tuple(commands))


def _answer(
    enquiry: Enquiry, tables: ControllerTables, now: float
) -> ops.Reply | ops.Reject:
    call = enquiry.call
    if isinstance(call, ops.AskExplain):
        return held_or_done(call, enquiry)
    return status_of(enquiry, tables, now)
