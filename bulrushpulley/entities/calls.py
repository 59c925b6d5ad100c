"""Calls as the front end passes them to the router, and the replies to them.

They are independent of the encoding, so that front ends other than HTTP can use them.
"""

from __future__ import annotations

from dataclasses import dataclass

from bulrushpulley.entities.step import Command, Event
from bulrushpulley.errors import Problem, Ran


@dataclass(frozen=True, kw_only=True, slots=True)
class CallReceived(Event):
    """A caller's request.

    `call_id` is assigned by the front end and unique in the process. `request_id`
    is the caller's idempotency key and is required for an unrepeatable request.
    `within_s` is the caller's timeout, counted from `received_at` on the clock of
    the process, or from the tick that receives the call if that is None.
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
    """The front end no longer waits for the answer to a call."""

    call_id: str


@dataclass(frozen=True, kw_only=True, slots=True)
class AnswerCall(Command):
    """Returns the backend server's complete answer to the caller."""

    call_id: str
    status: int
    body: bytes


@dataclass(frozen=True, kw_only=True, slots=True)
class RefuseCall(Command):
    """Refuses a call; `ran` says whether its request may have run."""

    call_id: str
    ran: Ran
    problem: Problem
