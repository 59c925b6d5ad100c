"""The calls of callers as the front end hands them to the router, and answers.

They are free of encoding: HTTP today, any other front end tomorrow.
"""

from __future__ import annotations

from dataclasses import dataclass

from bulrushpulley.entities.step import Command, Event
from bulrushpulley.errors import Problem, Ran


@dataclass(frozen=True, kw_only=True, slots=True)
class CallReceived(Event):
    """A caller's request.

    `call_id` is the front end's own and unique in the process. `request_id` is
    the caller's idempotency key and must be given for an unrepeatable request.
    `within_s` is the time the caller will wait, from `received_at` on the clock of
    the process; without it, from the tick that takes the call in.
    """

    call_id: str
    service: str
    request_id: str
    repeatable: bool
    within_s: float
    body: bytes
    received_at: float | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class CallAbandoned(Event):
    """The caller has gone; nobody waits for the answer."""

    call_id: str


@dataclass(frozen=True, kw_only=True, slots=True)
class AnswerCall(Command):
    """The whole answer of the backend server to a call."""

    call_id: str
    status: int
    body: bytes


@dataclass(frozen=True, kw_only=True, slots=True)
class RefuseCall(Command):
    """The refusal of a call and whether its request may have run."""

    call_id: str
    ran: Ran
    problem: Problem
