"""Turns the outcome of an execution into items for the entries that wait for it."""

from __future__ import annotations

from collections.abc import Iterable

from bulrushpulley.entities.execution import Outcome, Waiter
from bulrushpulley.entities.link import Answered, LinkEvent, Refused, Send
from bulrushpulley.entities.step import Command
from bulrushpulley.errors import Code, Problem, Ran


def problem(code: Code, step: str, detail: str, peer: str = "self") -> Problem:
    """Describe why there is no complete answer."""
    return Problem(code=code, step=step, peer=peer, detail=detail)


def not_run(code: Code, step: str, detail: str) -> Outcome:
    """Return the outcome of a request that was not sent to the backend server."""
    return Outcome(ran=Ran.NO, problem=problem(code, step, detail))


def reply_item(outcome: Outcome, attempt_id: str) -> LinkEvent:
    """Return the link item that reports the outcome of an attempt."""
    if outcome.problem is None:
        return Answered(
            attempt_id=attempt_id,
            status=outcome.status,
            body=outcome.body,
            took_s=outcome.took_s,
        )
    return Refused(attempt_id=attempt_id, ran=outcome.ran, problem=outcome.problem)


def replies(outcome: Outcome, waiters: Iterable[Waiter]) -> tuple[Command, ...]:
    """Return the commands that send the outcome to every waiter."""
    return tuple(
        Send(peer=waiter.peer, item=reply_item(outcome, waiter.attempt_id))
        for waiter in waiters
    )
