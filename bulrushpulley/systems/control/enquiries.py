"""Answers operators' status and explain calls.

Rows that the entry does not hold are read for the call. If they do not arrive in
time, the reply contains what is known and says that it is incomplete.
"""

from __future__ import annotations

from bulrushpulley.entities import operations as ops
from bulrushpulley.entities.changing import replace
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
    ControllerStep,
    apply,
    handle_committed,
    handle_conflicted,
    handle_given_up,
    handle_rows,
)
from bulrushpulley.systems.control.explain import explain_from_rows, explain_waiting
from bulrushpulley.systems.control.polls import read_once
from bulrushpulley.systems.control.records import record_key
from bulrushpulley.systems.control.status import status_of
from bulrushpulley.systems.control.submissions import submit

ENQUIRY_TIMEOUT_S = 3.0
MAX_STATUS_JOBS = 20
MAX_EXPLAIN_CELLS = 256


@apply.register
def _(event: ops.AskStatus, tables: ControllerTables, now: float) -> ControllerStep:
    recent = list(tables.recent_jobs[-MAX_STATUS_JOBS:])
    jobs = [event.job] if event.job else recent
    return _start_enquiry(tables, event, now, jobs=jobs, prefixes=_done_prefixes(jobs))


def _done_prefixes(jobs: list[str]) -> list[str]:
    return [f"done/{job}/" for job in jobs]


@apply.register
def _(event: ops.AskExplain, tables: ControllerTables, now: float) -> ControllerStep:
    waiting = explain_waiting(tables, event, now)
    if waiting is not None:
        return Step(tables=tables, commands=(waiting,))
    job = event.task_id.split("/")[0]
    cells = sorted(set(tables.cells) | set(tables.fleet.capacities_by_cell))
    prefixes = [f"task/{cell}/{event.task_id}" for cell in cells[:MAX_EXPLAIN_CELLS]]
    return _start_enquiry(
        tables, event, now, jobs=[], prefixes=[*_done_prefixes([job]), *prefixes]
    )


def _start_enquiry(
    tables: ControllerTables,
    call: ops.OperatorCall,
    now: float,
    *,
    jobs: list[str],
    prefixes: list[str],
) -> ControllerStep:
    commands: list[Command] = []
    awaited_ids: set[str] = set()
    for prefix in prefixes:
        target = ReadForCall(call_id=call.call_id)
        step, fetch_id = read_once(tables, now, target=target, prefix=prefix)
        tables = step.tables
        commands.extend(step.commands)
        awaited_ids.add(fetch_id)
    for job in jobs:
        step = submit(
            tables,
            now,
            purpose=ProbeForCall(call_id=call.call_id),
            conditions=(Condition(key=record_key("job", job), version=0),),
            writes=(),
            deadline=now + ENQUIRY_TIMEOUT_S,
        )
        tables = step.tables
        commands.extend(step.commands)
        # The id that `submit` has just made.
        awaited_ids.add(f"{tables.identity.incarnation}/c{tables.last_number}")
    enquiry = Enquiry(
        call=call, deadline=now + ENQUIRY_TIMEOUT_S, waiting_for=frozenset(awaited_ids)
    )
    tables = replace(tables, enquiries=tables.enquiries.put(call.call_id, enquiry))
    return Step(tables=tables, commands=tuple(commands))


@handle_rows.register
def _(
    target: ReadForCall,
    rows: tuple[VersionedRow, ...],
    event: Fetched,
    tables: ControllerTables,
    now: float,
) -> ControllerStep:
    return _record_result(tables, target.call_id, event.fetch_id, rows, event.failed)


@handle_committed.register
def _(
    purpose: ProbeForCall,
    pending: Pending,
    outcome: Committed,
    tables: ControllerTables,
    now: float,
) -> ControllerStep:
    return _record_result(tables, purpose.call_id, outcome.submission_id, (), "")


@handle_conflicted.register
def _(
    purpose: ProbeForCall,
    pending: Pending,
    outcome: Conflicted,
    tables: ControllerTables,
    now: float,
) -> ControllerStep:
    return _record_result(
        tables, purpose.call_id, outcome.submission_id, outcome.rows, ""
    )


@handle_given_up.register
def _(
    purpose: ProbeForCall,
    pending: Pending,
    reason: str,
    tables: ControllerTables,
    now: float,
) -> ControllerStep:
    submission_id = pending.submission.submission_id
    return _record_result(tables, purpose.call_id, submission_id, (), reason)


def _record_result(
    tables: ControllerTables,
    call_id: str,
    awaited_id: str,
    rows: tuple[VersionedRow, ...],
    failed: str,
) -> ControllerStep:
    enquiry = tables.enquiries.get(call_id)
    if enquiry is None:
        return Step(tables=tables)
    updated = replace(
        enquiry,
        waiting_for=enquiry.waiting_for - {awaited_id},
        rows=(*enquiry.rows, *rows),
        failed=failed or enquiry.failed,
    )
    return Step(
        tables=replace(tables, enquiries=tables.enquiries.put(call_id, updated))
    )


def run(tables: ControllerTables, now: float) -> ControllerStep:
    """Answer the calls whose reads have ended or whose deadline has passed."""
    commands: list[Command] = []
    for enquiry in tables.enquiries.rows():
        deadline_passed = now >= enquiry.deadline
        if enquiry.waiting_for and not deadline_passed:
            continue
        failed = enquiry.failed or (
            "not everything was read in time" if deadline_passed else ""
        )
        finished = replace(enquiry, failed=failed)
        commands.append(_answer(finished, tables, now))
        for awaited_id in enquiry.waiting_for:
            tables = replace(tables, polls=tables.polls.drop(awaited_id))
        call_id = enquiry.call.call_id
        tables = replace(tables, enquiries=tables.enquiries.drop(call_id))
    return Step(tables=tables, commands=tuple(commands))


def _answer(
    enquiry: Enquiry, tables: ControllerTables, now: float
) -> ops.Reply | ops.Reject:
    call = enquiry.call
    if isinstance(call, ops.AskExplain):
        return explain_from_rows(call, enquiry)
    return status_of(enquiry, tables, now)
