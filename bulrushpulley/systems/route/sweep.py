"""Deletes expired claims, at a bounded rate.

A router deletes each claim that it wrote `CLAIM_TTL_S` after it was committed, and
permanently refused ones immediately. Claims of routers that have died are found by
reading all claims page by page: a row with the same version as in a read `CLAIM_TTL_S`
ago is at least that old, judged by this process's clock only. Every deletion is
conditional on the version, so a claim that was replaced in the meantime is kept.
"""

from __future__ import annotations

import string

from bulrushpulley.entities.changing import replace
from bulrushpulley.entities.commit import (
    Condition,
    ReadRequested,
    Submission,
    Submitted,
    Write,
)
from bulrushpulley.entities.link import Fetched
from bulrushpulley.entities.observe import Count
from bulrushpulley.entities.router_tables import (
    CLAIM_DELETION_BUCKET_S,
    ClaimDeletion,
    ClaimPage,
    RouterTables,
)
from bulrushpulley.entities.step import Command, Step, Tell
from bulrushpulley.systems.route.claim_outcomes import (
    CLAIM_TTL_S,
    schedule_claim_deletion,
)
from bulrushpulley.systems.route.events import apply

CLAIM_SWEEP_INTERVAL_S = 1.0
MAX_DELETIONS_PER_SWEEP = 50
CLAIM_PAGE_READ_INTERVAL_S = 5.0
PAGE_CHARS = string.ascii_letters + string.digits + string.punctuation.replace("/", "")


def run(tables: RouterTables, now: float) -> Step[RouterTables]:
    """Delete some of the due claims, and read the next page of claims periodically."""
    commands: list[Command] = []
    if now >= tables.sweep_at:
        step = delete_due(replace(tables, sweep_at=now + CLAIM_SWEEP_INTERVAL_S), now)
        tables = step.tables
        commands.extend(step.commands)
    if now >= tables.next_page_read_at:
        step = read_page(
            replace(tables, next_page_read_at=now + CLAIM_PAGE_READ_INTERVAL_S)
        )
        tables = step.tables
        commands.extend(step.commands)
    return Step(tables=tables, commands=tuple(commands))


def delete_due(tables: RouterTables, now: float) -> Step[RouterTables]:
    """Submit the deletion of up to `MAX_DELETIONS_PER_SWEEP` due claims."""
    due = due_claims(tables, now)
    commands: list[Command] = []
    for claim in due:
        tables, submission_id = tables.with_new_id()
        tables = replace(tables, claim_deletions=tables.claim_deletions.drop(claim.key))
        commands.append(deletion_command(claim, submission_id))
    if due:
        commands.append(Count(name="route.claims_deleted", by=len(due)))
    return Step(tables=tables, commands=tuple(commands))


def due_claims(tables: RouterTables, now: float) -> list[ClaimDeletion]:
    """Return some of the due claims, those of the oldest buckets first."""
    last = int(now / CLAIM_DELETION_BUCKET_S)
    buckets = (int(key) for key in tables.claim_deletions.by_index["deletion"])
    found: list[ClaimDeletion] = []
    for bucket in sorted(number for number in buckets if number <= last):
        rows = tables.claim_deletions.rows_where("deletion", str(bucket))
        found.extend(row for row in rows if row.delete_at <= now)
        if len(found) >= MAX_DELETIONS_PER_SWEEP:
            break
    return found[:MAX_DELETIONS_PER_SWEEP]


def deletion_command(claim: ClaimDeletion, submission_id: str) -> Tell:
    """Return the command that deletes a claim if it still has its version."""
    content = Submission(
        submission_id=submission_id,
        conditions=(Condition(key=claim.key, version=claim.version),),
        writes=(Write(key=claim.key, row=None),),
    )
    return Tell(role="committer", event=Submitted(origin="router", submission=content))


def page_prefix(tables: RouterTables) -> str:
    """Return the prefix of the page to read next; empty if there is no service.

    A page holds the claims of one service for one first character of the request id.
    """
    names = sorted(tables.services)
    if not names:
        return ""
    service_index, char = divmod(tables.page_number, len(PAGE_CHARS))
    return f"claim/{names[service_index % len(names)]}/{PAGE_CHARS[char]}"


def read_page(tables: RouterTables) -> Step[RouterTables]:
    """Ask for the claims of the next page."""
    prefix = page_prefix(tables)
    if not prefix:
        return Step(tables=tables)
    tables, fetch_id = replace(tables, page_number=tables.page_number + 1).with_new_id()
    read_request = ReadRequested(origin="router", fetch_id=fetch_id, prefix=prefix)
    return Step(tables=tables, commands=(Tell(role="committer", event=read_request),))


@apply.register
def _(event: Fetched, tables: RouterTables, now: float) -> Step[RouterTables]:
    if event.failed:
        return Step(tables=tables)
    before = tables.claim_pages.get(event.prefix)
    if before is not None and now - before.read_at < CLAIM_TTL_S:
        return Step(tables=tables)
    for row in event.rows:
        unchanged = before is not None and 0 < row.version <= before.revision
        if unchanged and row.row is not None:
            tables = schedule_claim_deletion(tables, row.key, row.version, now)
    page = ClaimPage(prefix=event.prefix, revision=event.revision, read_at=now)
    return Step(
        tables=replace(tables, claim_pages=tables.claim_pages.put(event.prefix, page))
    )
