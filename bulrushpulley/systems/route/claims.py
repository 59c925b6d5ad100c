"""Claims unrepeatable requests before they are dispatched.

A claim row gives one agent incarnation the right to run a request id. Only the router
whose claim was committed dispatches under it, and only once. A router that finds a
claim by another one asks the agent named in it for the outcome. A claim that its
agent has refused permanently is replaced or deleted by a write conditional on its
version.
"""

from __future__ import annotations

from bulrushpulley.entities.changing import replace
from bulrushpulley.entities.commit import Condition, Submission, Submitted, Write
from bulrushpulley.entities.observe import Decision
from bulrushpulley.entities.request import Claiming, Request
from bulrushpulley.entities.router_tables import ClaimSubmission, RouterTables
from bulrushpulley.entities.rows import ClaimRow
from bulrushpulley.entities.step import Step, Tell
from bulrushpulley.systems.route.finish import claim_key, put_request


def claim(
    tables: RouterTables, request: Request, agent: str, now: float
) -> Step[RouterTables]:
    """Submit a claim of the request for `agent`, replacing a refused one if any."""
    tables, submission_id = tables.with_new_id()
    server = tables.servers.by_key[agent]
    stage = Claiming(agent=agent, agent_name=server.agent, submission_id=submission_id)
    updated_server = replace(server, pending_claims=server.pending_claims + 1)
    tables = replace(tables, servers=tables.servers.put(agent, updated_server))
    step = submit(tables, request, stage, now)
    decision = Decision(
        kind="route.claim",
        subject=request.request_id,
        chosen=server.agent,
        reason="least expected wait",
        revision=tables.revision,
    )
    return Step(tables=step.tables, commands=(*step.commands, decision))


def submit(
    tables: RouterTables, request: Request, stage: Claiming, now: float
) -> Step[RouterTables]:
    """Submit a claim to the committer; a claim may be submitted more than once."""
    pending = ClaimSubmission(
        submission_id=stage.submission_id,
        call_id=request.call_id,
        key=claim_key(request.service, request.request_id),
        submitted_at=now,
    )
    tables = replace(
        tables,
        submissions=tables.submissions.put(stage.submission_id, pending),
    )
    updated = replace(request, stage=stage, due_at=request.deadline)
    event = Submitted(origin="router", submission=submission(request, stage, now))
    command = Tell(role="committer", event=event)
    return Step(tables=put_request(tables, updated), commands=(command,))


def submission(request: Request, stage: Claiming, now: float) -> Submission:
    """Return the submission of a claim; on a resubmission only the timeout differs."""
    key = claim_key(request.service, request.request_id)
    row = ClaimRow(
        service=request.service,
        request_id=request.request_id,
        agent=stage.agent_name,
        incarnation=stage.agent,
        claimed_at=request.received_at,
    )
    return Submission(
        submission_id=stage.submission_id,
        conditions=(Condition(key=key, version=request.claim_version),),
        writes=(Write(key=key, row=row),),
        give_up_after_s=max(0.0, request.deadline - now),
    )
