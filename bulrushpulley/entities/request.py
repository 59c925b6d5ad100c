"""A caller's request in the router, the stage it is in, and its attempts.

The stages vary what an event means for a request; systems vary over them by
`singledispatch`. A repeatable request goes from `Waiting` to `InFlight` and back
with each retry. An unrepeatable one passes through `Claiming` first, so that its
dispatch rests on a committed claim row, and is `Recalling` while it asks the agent
named by a claim for the outcome.
"""

from __future__ import annotations

from dataclasses import dataclass
from functools import singledispatch

TIMER_BUCKET_S = 0.01


@dataclass(frozen=True, kw_only=True, slots=True)
class Stage:
    """The base of the stages."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Waiting(Stage):
    """Queued for a free slot; nothing is in flight."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Claiming(Stage):
    """A claim naming `agent` is with the table service; nothing was dispatched.

    `resubmit` is set while its outcome is unsettled and it waits to be sent again.
    """

    agent: str
    agent_name: str
    submission_id: str
    resubmit: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class InFlight(Stage):
    """At least one attempt is at an agent."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Recalling(Stage):
    """Asks the claimed `agent` for the outcome, now or when it is linked again.

    `unlinked_until` is when to stop waiting for the link; 0 while it is up.
    """

    agent: str
    link_deadline: float = 0.0


@dataclass(frozen=True, kw_only=True, slots=True)
class Request:
    """One call, keyed by the front end's `call_id`.

    `due_at` is when the router must next look at it without an event. `claim_version`
    is the version of a claim row for the id that the agent named in it has
    refused; 0 if there is none. `may_have_run` is set once an attempt ended
    without a sure outcome. `tried` names the agents that refused or failed it.
    """

    call_id: str
    service: str
    request_id: str
    repeatable: bool
    received_at: float
    deadline: float
    due_at: float
    body: bytes
    stage: Stage
    claim_version: int = 0
    may_have_run: bool = False
    tried_agents: tuple[str, ...] = ()
    attempts: tuple[str, ...] = ()
    hedged: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class Attempt:
    """One dispatch or recall, keyed by its `attempt_id`, which matches its answer."""

    attempt_id: str
    call_id: str
    agent: str
    sent_at: float
    recall: bool = False


def timer_bucket(at: float) -> int:
    """Return the number of the timer bucket that holds the moment `at`."""
    return int(at / TIMER_BUCKET_S)


def by_due(request: Request) -> tuple[str, ...]:
    """Index key function: the timer bucket of `due_at`."""
    return (str(timer_bucket(request.due_at)),)


def by_agent(attempt: Attempt) -> tuple[str, ...]:
    """Index key function: the agent that has the attempt."""
    return (attempt.agent,)


@singledispatch
def awaited_link(stage: Stage) -> tuple[str, ...]:
    """Return the agent whose link a stage waits for, if it waits for one."""
    return ()


@awaited_link.register
def _(stage: Recalling) -> tuple[str, ...]:
    return (stage.agent,) if stage.link_deadline else ()


def by_awaited_link(request: Request) -> tuple[str, ...]:
    """Index key function: the agent that is to be asked once it is linked."""
    return awaited_link(request.stage)
