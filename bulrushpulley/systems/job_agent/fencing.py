"""Keeps calls for an incarnation of the backend server from the next one.

A call without an answer may be carried out seconds later, and a server that has started
again under its id takes it for its own. It ignores calls with lower fencing tokens than
the highest that it has seen, so the token rises with each incarnation, and one whose
start is awaited is called with it until it answers.

The token is the time at which the incarnation started, so that the next process of this
agent finds it again, or one more than the last if the host's clock was set back.
"""

from __future__ import annotations

from bulrushpulley.entities.changing import replace
from bulrushpulley.entities.jobs.bounds import MAX_CALL_DELAY_S
from bulrushpulley.entities.jobs.executor_calls import (
    FenceAnswered,
    FenceUnanswered,
    RaiseFence,
)
from bulrushpulley.entities.jobs.job_agent_tables import (
    FormerServer,
    JobAgentStep,
    JobAgentTables,
    Server,
)
from bulrushpulley.entities.step import Step
from bulrushpulley.systems.job_agent import edits

# An announced start after the year 37,000 is false, and no token could follow it.
MAX_STARTED_AT_MS = 2**50
# Clocks are set back by seconds. Steps double while calls are refused, since the token
# of an earlier process of this agent may come from a false announcement.
FENCE_STEP = 60_000
MAX_FENCE_DOUBLINGS = 36
FENCE_TIMEOUT_S = 0.3
FENCE_RETRY_DELAY_S = 0.1


def raise_to(tables: JobAgentTables, started_at_ms: int) -> JobAgentTables:
    """Use a token for the incarnation that has started then."""
    if started_at_ms > MAX_STARTED_AT_MS or started_at_ms <= tables.fencing_token:
        return tables
    return replace(tables, fencing_token=started_at_ms)


def await_next(tables: JobAgentTables, server: Server, now: float) -> JobAgentTables:
    """Raise the token above that of an ended incarnation, and await the next one."""
    former = FormerServer(
        server_id=server.server_id, address=server.address, ended_at=now
    )
    return replace(tables, former=former, fencing_token=tables.fencing_token + 1)


def handle_fenced(tables: JobAgentTables) -> JobAgentTables:
    """Raise the token, as the server has seen a higher one."""
    step = FENCE_STEP * 2 ** min(tables.fenced_calls, MAX_FENCE_DOUBLINGS)
    return replace(
        tables,
        fencing_token=tables.fencing_token + step,
        fenced_calls=tables.fenced_calls + 1,
    )


def handle_accepted(tables: JobAgentTables) -> JobAgentTables:
    """Record that the server accepts the token."""
    return replace(tables, fenced_calls=0) if tables.fenced_calls else tables


def run(tables: JobAgentTables, now: float) -> JobAgentStep:
    """Call the next incarnation while it has not announced itself."""
    former = tables.former
    if former is None:
        return Step(tables=tables)
    if now - former.ended_at > MAX_CALL_DELAY_S:
        return Step(tables=replace(tables, former=None))
    is_done = tables.server is not None or former.answered
    if is_done or former.in_flight or now < former.retry_at:
        return Step(tables=tables)
    call = RaiseFence(
        server_id=former.server_id,
        address=former.address,
        timeout_s=FENCE_TIMEOUT_S,
        fencing_token=tables.fencing_token,
    )
    tables = replace(tables, former=replace(former, in_flight=True))
    return Step(tables=tables, commands=(call,))


def handle_answered(
    event: FenceAnswered, tables: JobAgentTables, now: float
) -> JobAgentStep:
    """Send no more calls: those for the former incarnation are refused from now on."""
    former = tables.former
    if former is None or former.server_id != event.server_id:
        return Step(tables=tables)
    line = edits.log(tables, "server.fence", event.server_id, former.address, "")
    answered = replace(former, answered=True, in_flight=False)
    return Step(tables=replace(tables, former=answered), commands=(line,))


def handle_unanswered(
    event: FenceUnanswered, tables: JobAgentTables, now: float
) -> JobAgentStep:
    """Schedule the next call."""
    former = tables.former
    if former is None or former.server_id != event.server_id:
        return Step(tables=tables)
    waiting = replace(former, in_flight=False, retry_at=now + FENCE_RETRY_DELAY_S)
    return Step(tables=replace(tables, former=waiting))
