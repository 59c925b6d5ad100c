"""Handles the outcome of each submitted claim.

If a claim is committed after its call has ended, nothing was dispatched under it, so
the claim is deleted. Nothing runs under a claim of unknown outcome either: only the
router that submitted it can dispatch under it, and it does so only once it knows that
the claim was committed. Hence the call can be refused as "not run" if its deadline
passes while the outcome is unknown.
"""

from __future__ import annotations

from functools import singledispatch
from typing import cast

from bulrushpulley.entities.changing import replace
from bulrushpulley.entities.commit import (
    CommitOutcome,
    Committed,
    Conflicted,
    Unsettled,
    VersionedRow,
    Withdrawn,
)
from bulrushpulley.entities.request import Claiming, Request, Stage
from bulrushpulley.entities.router_tables import (
    ClaimDeletion,
    ClaimSubmission,
    RouterTables,
)
from bulrushpulley.entities.rows import ClaimRow
from bulrushpulley.entities.step import Step
from bulrushpulley.errors import Code, Problem, Ran
from bulrushpulley.systems.route.choice import LEAVING, unusable_reason
from bulrushpulley.systems.route.events import apply
from bulrushpulley.systems.route.finish import (
    claim_key,
    enqueue,
    leave_stage,
    put_request,
    put_service,
    refuse,
    retry,
)
from bulrushpulley.systems.route.recall import recall
from bulrushpulley.systems.route.send import dispatch

CLAIM_TTL_S = 3600.0
MAX_CLAIM_DELETIONS = 100_000
CLAIM_RESUBMIT_DELAY_S = 0.2
CLAIM_LATENCY_WEIGHT = 0.1
COMMITTER = "committer"


@singledispatch
def claim_submission(stage: Stage) -> str:
    """Return the id of the submission whose outcome a stage waits for."""
    return ""


@claim_submission.register
def _(stage: Claiming) -> str:
    return stage.submission_id


@apply.register
def _(event: CommitOutcome, tables: RouterTables, now: float) -> Step[RouterTables]:
    pending = tables.submissions.get(event.submission_id)
    if pending is None:
        return Step(tables=tables)
    tables = replace(tables, submissions=tables.submissions.drop(event.submission_id))
    request = tables.requests.get(pending.call_id)
    if request is None or claim_submission(request.stage) != event.submission_id:
        return Step(tables=delete_unused_claim(event, pending, tables, now))
    stage = cast(Claiming, request.stage)
    tables = record_claim_latency(tables, request.service, now - pending.submitted_at)
    return handle_claim_outcome(event, request, stage, tables, now)


def record_claim_latency(
    tables: RouterTables, name: str, took_s: float
) -> RouterTables:
    """Add the time that a claim took to the average of its service."""
    service = tables.service(name)
    weight = CLAIM_LATENCY_WEIGHT if service.claim_latency_s else 1.0
    average_s = service.claim_latency_s + weight * (took_s - service.claim_latency_s)
    return put_service(tables, replace(service, claim_latency_s=average_s))


@singledispatch
def handle_claim_outcome(
    outcome: CommitOutcome,
    request: Request,
    stage: Claiming,
    tables: RouterTables,
    now: float,
) -> Step[RouterTables]:
    """Continue the request of a claim according to the outcome of its submission."""
    return Step(tables=tables)


@handle_claim_outcome.register
def _(
    outcome: Committed,
    request: Request,
    stage: Claiming,
    tables: RouterTables,
    now: float,
) -> Step[RouterTables]:
    return dispatch_claimed(tables, request, stage, outcome.revision, now)


@handle_claim_outcome.register
def _(
    outcome: Conflicted,
    request: Request,
    stage: Claiming,
    tables: RouterTables,
    now: float,
) -> Step[RouterTables]:
    found = conflicting_claim(outcome, claim_key(request.service, request.request_id))
    if found.token == stage.submission_id:
        return dispatch_claimed(tables, request, stage, found.version, now)
    tables = leave_stage(stage, request, tables)
    request = replace(request, claim_version=found.version)
    if found.row is None:
        service = tables.service(request.service)
        return Step(tables=enqueue(tables, request, service, at_front=True))
    agent = cast(ClaimRow, found.row).incarnation
    return recall(tables, replace(request, stage=Stage()), agent, now)


@handle_claim_outcome.register
def _(
    outcome: Withdrawn,
    request: Request,
    stage: Claiming,
    tables: RouterTables,
    now: float,
) -> Step[RouterTables]:
    problem = Problem(
        code=Code.UNAVAILABLE,
        step="route.claim",
        peer=COMMITTER,
        detail=outcome.reason,
    )
    return refuse(tables, request, ran=Ran.NO, problem=problem, now=now)


@handle_claim_outcome.register
def _(
    outcome: Unsettled,
    request: Request,
    stage: Claiming,
    tables: RouterTables,
    now: float,
) -> Step[RouterTables]:
    due_at = min(request.deadline, now + CLAIM_RESUBMIT_DELAY_S)
    updated = replace(request, stage=replace(stage, resubmit=True), due_at=due_at)
    return Step(tables=put_request(tables, updated))


def dispatch_claimed(
    tables: RouterTables,
    request: Request,
    stage: Claiming,
    version: int,
    now: float,
) -> Step[RouterTables]:
    """Dispatch under a committed claim, unless its agent cannot receive requests now.

    Without a dispatch the request certainly did not run, so this claim may be
    replaced by one for another agent.
    """
    tables = leave_stage(stage, request, tables)
    key = claim_key(request.service, request.request_id)
    tables = schedule_claim_deletion(tables, key, version, now + CLAIM_TTL_S)
    request = replace(request, claim_version=version)
    tables_after = put_request(tables, request)
    server = tables.servers.get(stage.agent)
    reason = unusable_reason(server, now) if server is not None else "not linked"
    if now >= request.deadline:
        reason = "the deadline passed"
    if not reason:
        return dispatch(tables_after, request, stage.agent, now, reason="claimed")
    code = Code.LEAVING if reason == LEAVING else Code.UNAVAILABLE
    problem = Problem(code=code, step="route.claim", peer=stage.agent, detail=reason)
    request = replace(
        request, stage=Stage(), tried_agents=(*request.tried_agents, stage.agent)
    )
    return retry(tables_after, request, ran=Ran.NO, problem=problem, now=now)


def conflicting_claim(outcome: Conflicted, key: str) -> VersionedRow:
    """Return the claim that caused the conflict; an absent row if there is none."""
    found = [row for row in outcome.rows if row.key == key]
    return found[0] if found else VersionedRow(key=key, version=0, row=None)


def schedule_claim_deletion(
    tables: RouterTables, key: str, version: int, delete_at: float
) -> RouterTables:
    """Schedule the deletion of a claim row.

    A row beyond `MAX_CLAIM_DELETIONS` is found and deleted later by the sweep.
    """
    if (
        len(tables.claim_deletions) >= MAX_CLAIM_DELETIONS
        and key not in tables.claim_deletions
    ):
        return tables
    claim = ClaimDeletion(key=key, version=version, delete_at=delete_at)
    return replace(tables, claim_deletions=tables.claim_deletions.put(key, claim))


@singledispatch
def unused_claim_version(outcome: CommitOutcome, pending: ClaimSubmission) -> int:
    """Return the version of the claim row that a submission wrote; 0 if none."""
    return 0


@unused_claim_version.register
def _(outcome: Committed, pending: ClaimSubmission) -> int:
    return outcome.revision


@unused_claim_version.register
def _(outcome: Conflicted, pending: ClaimSubmission) -> int:
    found = conflicting_claim(outcome, pending.key)
    return found.version if found.token == pending.submission_id else 0


def delete_unused_claim(
    outcome: CommitOutcome, pending: ClaimSubmission, tables: RouterTables, now: float
) -> RouterTables:
    """Schedule the deletion of a claim committed for a call that has ended."""
    version = unused_claim_version(outcome, pending)
    if not version:
        return tables
    return schedule_claim_deletion(tables, pending.key, version, now)
