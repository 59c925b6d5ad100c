"""A caller's request in the router, its stage and its attempts.

How an event affects a request depends on its stage; systems dispatch on the stage by
`singledispatch`. A repeatable request goes from `Waiting` to `InFlight` and back
with each retry. An unrepeatable one passes through `Claiming` first, so that it is
dispatched only under a committed claim row, and is `Recalling` while the agent named
by a claim is asked for the outcome.
"""

from __future__ import annotations

from dataclasses import dataclass
from functools import singledispatch

TIMER_BUCKET_S = 0.01


@dataclass(frozen=True, kw_only=True, slots=True)
class Stage:
    """Base class for the stages.

    An instance of the base class itself stands for a request that has left one stage
    and not yet entered the next.
    """


@dataclass(frozen=True, kw_only=True, slots=True)
class Waiting(Stage):
    """Queued for a free slot; nothing is in flight."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Claiming(Stage):
    """A claim naming `agent`, an incarnation, is submitted; nothing was dispatched.

    `resubmit` is set while the outcome of the claim is unsettled and the claim waits
    to be submitted again.
    """

    agent: str
    agent_name: str
    submission_id: str
    resubmit: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class InFlight(Stage):
    """At least one attempt was sent to an agent and has not ended."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Recalling(Stage):
    """The claimed `agent` is asked for the outcome, or will be once it is linked.

    `link_deadline` is when to stop waiting for the link; it is 0 while the link is up.
    """

    agent: str
    link_deadline: float = 0.0


@dataclass(frozen=True, kw_only=True, slots=True)
class Request:
    """One call, keyed by the front end's `call_id`.

    `due_at` is when the request's timer fires. `claim_version` is the version of the
    claim row for the request id, 0 if there is none. Once the agent named in the row
    has refused the request, the row is replaced or deleted by a write conditional on
    that version. `may_have_run` is set once an attempt ended without a known outcome.
    `tried_agents` holds the incarnations of the agents that refused or failed it, and
    `attempts` the ids of its attempts in flight.
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
    """One dispatch or recall to `agent`, an incarnation.

    It is keyed by `attempt_id`, which its answer carries too.
    """

    attempt_id: str
    call_id: str
    agent: str
    sent_at: float
    recall: bool = False


def timer_bucket(at: float) -> int:
    """Return the number of the timer bucket that contains the time `at`."""
    return int(at / TIMER_BUCKET_S)


def by_due(request: Request) -> tuple[str, ...]:
    """Index function: the timer bucket of `due_at`."""
    return (str(timer_bucket(request.due_at)),)


def by_agent(attempt: Attempt) -> tuple[str, ...]:
    """Index function: the agent that the attempt was sent to."""
    return (attempt.agent,)


@singledispatch
def awaited_link(stage: Stage) -> tuple[str, ...]:
    """Return the agent whose link a stage waits for, or nothing."""
    return ()


@awaited_link.register
def _(stage: Recalling) -> tuple[str, ...]:
    return (stage.agent,) if stage.link_deadline else ()


def by_awaited_link(request: Request) -> tuple[str, ...]:
    """Index function: the agent to be asked for the outcome once it is linked."""
    return awaited_link(request.stage)
