"""Sends submissions and reads to an entry, and retries submissions without an outcome.

A submission is retried unchanged, through another entry if there is one: its
conditions and its id ensure that it takes effect at most once. A read without an
answer is dropped, and queued again by the system that needs it.
"""

from __future__ import annotations

import zlib

from bulrushpulley.entities.cell_owner_tables import CellOwnerTables, LinkedEntry
from bulrushpulley.entities.changing import replace
from bulrushpulley.entities.commit import Condition, Submission, Write
from bulrushpulley.entities.in_flight import (
    InFlightRead,
    InFlightSubmission,
    Purpose,
    ReadPurpose,
    read_index,
)
from bulrushpulley.entities.link import Fetch, Send, Submit
from bulrushpulley.entities.owner_times import (
    FETCH_TIMEOUT_S,
    RESUBMIT_DELAY_S,
    SUBMISSION_TIMEOUT_S,
)
from bulrushpulley.entities.step import Command, Step

DEFAULT_COMMIT_TIMEOUT_S = 10.0


def submit(
    tables: CellOwnerTables,
    *,
    purpose: Purpose,
    cell: str,
    conditions: tuple[Condition, ...],
    writes: tuple[Write, ...],
    now: float,
    give_up_after_s: float = DEFAULT_COMMIT_TIMEOUT_S,
) -> tuple[CellOwnerTables, str]:
    """Queue a submission and return its id."""
    number = tables.last_number + 1
    submission = Submission(
        submission_id=f"{tables.incarnation}/{number}",
        conditions=conditions,
        writes=writes,
        give_up_after_s=give_up_after_s,
    )
    in_flight = InFlightSubmission(
        submission=submission, purpose=purpose, cell=cell, send_at=now
    )
    submissions = tables.submissions.put(submission.submission_id, in_flight)
    tables = replace(tables, last_number=number, submissions=submissions)
    return tables, submission.submission_id


def read(
    tables: CellOwnerTables,
    *,
    purpose: ReadPurpose,
    prefix: str,
    now: float,
    since: int = 0,
) -> CellOwnerTables:
    """Queue a read, unless one for the same purpose is already queued or in flight."""
    if tables.reads.count_where("purpose", read_index(purpose)):
        return tables
    number = tables.last_number + 1
    in_flight_read = InFlightRead(
        fetch_id=f"{tables.incarnation}/{number}",
        prefix=prefix,
        since=since,
        purpose=purpose,
        created_at=now,
    )
    reads = tables.reads.put(in_flight_read.fetch_id, in_flight_read)
    return replace(tables, last_number=number, reads=reads)


def drop_reads(tables: CellOwnerTables, cell: str) -> CellOwnerTables:
    """Drop the reads for a cell, as they were made under another lease."""
    reads = tables.reads
    for key in list(reads.keys_where("cell", cell)):
        reads = reads.drop(key)
    return replace(tables, reads=reads)


def requeue_for_peer(tables: CellOwnerTables, peer: str, now: float) -> CellOwnerTables:
    """Queue again what was in flight to an entry whose link was lost."""
    for in_flight in tables.submissions.rows_where("peer", peer):
        tables = resubmit(tables, in_flight, now)
    reads = tables.reads
    for in_flight_read in reads.rows_where("peer", peer):
        reads = reads.put(in_flight_read.fetch_id, replace(in_flight_read, peer=""))
    return replace(tables, reads=reads)


def resubmit(
    tables: CellOwnerTables, in_flight: InFlightSubmission, now: float
) -> CellOwnerTables:
    """Queue a submission again whose outcome is unknown."""
    requeued = replace(
        in_flight,
        peer="",
        avoid=in_flight.peer or in_flight.avoid,
        send_at=now + RESUBMIT_DELAY_S,
        may_take_effect=True,
    )
    key = in_flight.submission.submission_id
    return replace(tables, submissions=tables.submissions.put(key, requeued))


def choose_entry(tables: CellOwnerTables, *, avoid: str) -> LinkedEntry | None:
    """Choose an entry of the agent's region, or another one if there is none.

    Agents are spread over the entries by a hash of their names and keep their choice,
    so that the submissions of one agent join one group commit. The entry `avoid` is
    chosen only if it is the only one.
    """
    entries = tables.entries.rows()
    same_region = [entry for entry in entries if entry.region == tables.region]
    for candidates in (same_region, entries):
        others = [entry for entry in candidates if entry.peer != avoid]
        if others:
            return others[zlib.crc32(tables.agent.encode()) % len(others)]
    return entries[0] if entries else None


def send(tables: CellOwnerTables, now: float) -> Step[CellOwnerTables]:
    """Send queued submissions and reads, after handling those that timed out."""
    tables = _handle_timeouts(tables, now)
    commands: list[Command] = []
    for in_flight in tables.submissions.rows_where("peer", ""):
        entry = choose_entry(tables, avoid=in_flight.avoid)
        if entry is None or in_flight.send_at > now:
            continue
        tables = _mark_sent(tables, in_flight, entry.peer, now)
        item = Submit(submission=in_flight.submission)
        commands.append(Send(peer=entry.peer, item=item))
    for in_flight_read in tables.reads.rows_where("peer", ""):
        entry = choose_entry(tables, avoid="")
        if entry is None:
            break
        reads = tables.reads.put(
            in_flight_read.fetch_id, replace(in_flight_read, peer=entry.peer)
        )
        tables = replace(tables, reads=reads)
        fetch = Fetch(
            fetch_id=in_flight_read.fetch_id,
            prefix=in_flight_read.prefix,
            since=in_flight_read.since,
        )
        commands.append(Send(peer=entry.peer, item=fetch))
    return Step(tables=tables, commands=tuple(commands))


def _mark_sent(
    tables: CellOwnerTables, in_flight: InFlightSubmission, peer: str, now: float
) -> CellOwnerTables:
    first = now if in_flight.first_sent_at is None else in_flight.first_sent_at
    sent = replace(in_flight, peer=peer, first_sent_at=first, sent_at=now)
    submissions = tables.submissions.put(in_flight.submission.submission_id, sent)
    return replace(tables, submissions=submissions)


def _handle_timeouts(tables: CellOwnerTables, now: float) -> CellOwnerTables:
    for in_flight in tables.submissions.rows():
        if in_flight.peer and now - in_flight.sent_at >= SUBMISSION_TIMEOUT_S:
            tables = resubmit(tables, in_flight, now)
    for in_flight_read in tables.reads.rows():
        if now - in_flight_read.created_at >= FETCH_TIMEOUT_S:
            reads = tables.reads.drop(in_flight_read.fetch_id)
            tables = replace(tables, reads=reads)
    return tables
