"""Advice on which backend servers may run a step, for queues that require it.

Only a service of the platform knows the placement policy of such queues. It names the
servers that may run a step and issues a ticket for each. Every start of a task of the
step carries the ticket of its server.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from bulrushpulley.entities.step import Command, Event


@dataclass(frozen=True, kw_only=True, slots=True)
class AdviceTerms:
    """How long advice takes, per step and per server, and how long it is valid."""

    decide_s: float
    per_server_s: float
    valid_s: float


@dataclass(frozen=True, kw_only=True, slots=True)
class Advice:
    """The advice on one occurrence of a step; it has no tickets until it arrives.

    `valid_until_by_server` holds all backend servers that were asked about, also those
    that may not run the step, with the time from which they may be asked about again.
    `asked_server_ids` are those of the last request, which was sent at `asked_at`. The
    next request is sent at `retry_at` or later. `exhausted_at` is when there was last
    no server to ask about, and `failed_at` when the last of `failures` requests in a
    row failed; they are 0 after an answer.
    """

    step_key: str
    ticket_by_server: Mapping[str, str]
    valid_until_by_server: Mapping[str, float] = field(default_factory=dict)
    asked_server_ids: tuple[str, ...] = ()
    asked_at: float = 0.0
    retry_at: float = 0.0
    in_flight: bool = False
    exhausted_at: float = 0.0
    failed_at: float = 0.0
    failures: int = 0


@dataclass(frozen=True, kw_only=True, slots=True)
class RequestAdvice(Command):
    """Asks which of some backend servers may run a step."""

    role: str
    step_key: str
    server_ids: tuple[str, ...]
    timeout_s: float


@dataclass(frozen=True, kw_only=True, slots=True)
class AdviceReceived(Event):
    """The backend servers that may run a step, with their tickets."""

    step_key: str
    ticket_by_server: Mapping[str, str]


@dataclass(frozen=True, kw_only=True, slots=True)
class AdviceFailed(Event):
    """The service gave no advice."""

    step_key: str
    reason: str
