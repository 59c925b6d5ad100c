"""Submits the controller's writes and passes on their outcomes.

A submission whose outcome is unsettled is submitted again unchanged, since only
that settles it. After its deadline it is given up.
"""

from __future__ import annotations

from bulrushpulley.entities.changing import replace
from bulrushpulley.entities.commit import (
    Committed,
    Condition,
    Conflicted,
    Submission,
    Submitted,
    Unsettled,
    Withdrawn,
    Write,
)
from bulrushpulley.entities.controller_tables import ControllerTables
from bulrushpulley.entities.pending import Pending, Purpose
from bulrushpulley.entities.step import Command, Step, Tell
from bulrushpulley.systems.control.events import (
    ControllerStep,
    apply,
    handle_committed,
    handle_conflicted,
    handle_given_up,
)

CONTROLLER = "controller"
COMMITTER = "committer"
UNSETTLED_RESUBMIT_DELAY_S = 0.5
GIVE_UP_MARGIN_S = 0.5


def with_new_id(
    tables: ControllerTables, kind_letter: str
) -> tuple[ControllerTables, str]:
    """Return the tables and a new id, unique over all processes and time.

    `kind_letter` is "c" for submissions and "f" for reads.
    """
    number = tables.last_number + 1
    new_id = f"{tables.identity.incarnation}/{kind_letter}{number}"
    return replace(tables, last_number=number), new_id


def submit(
    tables: ControllerTables,
    now: float,
    *,
    purpose: Purpose,
    conditions: tuple[Condition, ...],
    writes: tuple[Write, ...],
    deadline: float,
) -> ControllerStep:
    """Submit conditional writes and await their outcome."""
    tables, submission_id = with_new_id(tables, "c")
    return submit_as(
        tables,
        now,
        submission_id=submission_id,
        purpose=purpose,
        conditions=conditions,
        writes=writes,
        deadline=deadline,
    )


def submit_as(
    tables: ControllerTables,
    now: float,
    *,
    submission_id: str,
    purpose: Purpose,
    conditions: tuple[Condition, ...],
    writes: tuple[Write, ...],
    deadline: float,
) -> ControllerStep:
    """Submit conditional writes under an id from `with_new_id`."""
    submission = Submission(
        submission_id=submission_id,
        conditions=conditions,
        writes=writes,
        give_up_after_s=max(GIVE_UP_MARGIN_S, deadline - now - GIVE_UP_MARGIN_S),
    )
    pending = Pending(submission=submission, purpose=purpose, deadline=deadline)
    tables = replace(tables, pending=tables.pending.put(submission_id, pending))
    return Step(tables=tables, commands=(_submit_command(submission),))


def _submit_command(submission: Submission) -> Command:
    return Tell(
        role=COMMITTER, event=Submitted(origin=CONTROLLER, submission=submission)
    )


def _pop_pending(
    tables: ControllerTables, submission_id: str
) -> tuple[ControllerTables, Pending | None]:
    pending = tables.pending.get(submission_id)
    return replace(tables, pending=tables.pending.drop(submission_id)), pending


@apply.register
def _(event: Committed, tables: ControllerTables, now: float) -> ControllerStep:
    tables, pending = _pop_pending(tables, event.submission_id)
    if pending is None:
        return Step(tables=tables)
    return handle_committed(pending.purpose, pending, event, tables, now)


@apply.register
def _(event: Conflicted, tables: ControllerTables, now: float) -> ControllerStep:
    tables, pending = _pop_pending(tables, event.submission_id)
    if pending is None:
        return Step(tables=tables)
    return handle_conflicted(pending.purpose, pending, event, tables, now)


@apply.register
def _(event: Withdrawn, tables: ControllerTables, now: float) -> ControllerStep:
    tables, pending = _pop_pending(tables, event.submission_id)
    if pending is None:
        return Step(tables=tables)
    return handle_given_up(pending.purpose, pending, event.reason, tables, now)


@apply.register
def _(event: Unsettled, tables: ControllerTables, now: float) -> ControllerStep:
    pending = tables.pending.get(event.submission_id)
    if pending is None:
        return Step(tables=tables)
    updated = replace(
        pending, unsettled=True, resubmit_at=now + UNSETTLED_RESUBMIT_DELAY_S
    )
    return Step(
        tables=replace(tables, pending=tables.pending.put(event.submission_id, updated))
    )


def run(tables: ControllerTables, now: float) -> ControllerStep:
    """Submit unsettled submissions again, or give them up after their deadline."""
    step = Step(tables=tables)
    for submission_id in sorted(tables.pending.keys_where("resubmit", "due")):
        step = _resubmit_or_give_up(submission_id, step, now)
    return step


def _resubmit_or_give_up(
    submission_id: str, step: ControllerStep, now: float
) -> ControllerStep:
    tables = step.tables
    pending = tables.pending.by_key[submission_id]
    if now >= pending.deadline:
        tables, _ = _pop_pending(tables, submission_id)
        given_up = handle_given_up(
            pending.purpose, pending, "no answer in time", tables, now
        )
        return Step(
            tables=given_up.tables, commands=(*step.commands, *given_up.commands)
        )
    if pending.resubmit_at is None or now < pending.resubmit_at:
        return step
    sent = replace(pending, resubmit_at=None)
    tables = replace(tables, pending=tables.pending.put(submission_id, sent))
    command = _submit_command(pending.submission)
    return Step(tables=tables, commands=(*step.commands, command))
