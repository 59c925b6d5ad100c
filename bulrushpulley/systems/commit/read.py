"""Reads prefixes; all requests made before a read was sent share it.

A read in flight may be older than a new request, so that request does not share it.
For each query at most one read is in flight and one waits behind it.
"""

from __future__ import annotations

from bulrushpulley.entities.changing import replace
from bulrushpulley.entities.commit import ReadRequested, ReportTo, VersionedRow
from bulrushpulley.entities.committer_tables import (
    CommitterTables,
    PrefixRead,
    ReadRequester,
)
from bulrushpulley.entities.link import Fetched
from bulrushpulley.entities.observe import Count
from bulrushpulley.entities.step import Command, Step
from bulrushpulley.entities.transactions import ReadFailed, ReadRows, RowsRead

MAX_READS_IN_FLIGHT = 8
MAX_READS_WAITING = 1_024
PREFIX_READ_TIMEOUT_S = 5.0


def request_read(
    event: ReadRequested, tables: CommitterTables, now: float
) -> Step[CommitterTables]:
    """Join a read of the same query that is not sent yet, or add one."""
    requester = ReadRequester(origin=event.origin, fetch_id=event.fetch_id)
    number = tables.last_read_number + 1
    read = PrefixRead(
        read_id=f"{number:012d}",
        prefix=event.prefix,
        since=event.since,
        requesters=(requester,),
    )
    for other in tables.reads.rows_where("query", read.query):
        if not other.sent:
            joined = replace(other, requesters=(*other.requesters, requester))
            reads = tables.reads.put(other.read_id, joined)
            return Step(tables=replace(tables, reads=reads))
    if tables.reads.count_where("state", "waiting") >= MAX_READS_WAITING:
        reason = "too many reads wait for the store"
        return Step(tables=tables, commands=_fetched(read, 0, (), reason))
    reads = tables.reads.put(read.read_id, read)
    return Step(tables=replace(tables, reads=reads, last_read_number=number))


def handle_rows_read(event: RowsRead, tables: CommitterTables) -> Step[CommitterTables]:
    """Report the rows to everyone who requested them."""
    read = tables.reads.get(event.read_id)
    if read is None:
        return Step(tables=tables)
    after = replace(tables, reads=tables.reads.drop(read.read_id))
    counted = Count(name="commit.rows_read", by=len(event.rows))
    fetched = _fetched(read, event.revision, event.rows, "")
    return Step(tables=after, commands=(counted, *fetched))


def handle_read_failed(
    event: ReadFailed, tables: CommitterTables
) -> Step[CommitterTables]:
    """Report the failure to everyone who requested the read."""
    read = tables.reads.get(event.read_id)
    if read is None:
        return Step(tables=tables)
    after = replace(tables, reads=tables.reads.drop(read.read_id))
    counted = Count(name="commit.reads_failed")
    return Step(tables=after, commands=(counted, *_fetched(read, 0, (), event.reason)))


def run(tables: CommitterTables, now: float) -> Step[CommitterTables]:
    """Send waiting reads, at most one in flight for each query."""
    commands: list[Command] = []
    reads = tables.reads
    free_slots = MAX_READS_IN_FLIGHT - reads.count_where("state", "sent")
    for read in tables.reads.rows_where("state", "waiting") if free_slots else ():
        same_query = reads.rows_where("query", read.query)
        if free_slots == 0 or any(other.sent for other in same_query):
            continue
        free_slots -= 1
        reads = reads.put(read.read_id, replace(read, sent=True))
        commands.append(_command(read))
    return Step(tables=replace(tables, reads=reads), commands=tuple(commands))


def _command(read: PrefixRead) -> ReadRows:
    return ReadRows(
        read_id=read.read_id,
        prefix=read.prefix,
        since=read.since,
        timeout_s=PREFIX_READ_TIMEOUT_S,
    )


def _fetched(
    read: PrefixRead, revision: int, rows: tuple[VersionedRow, ...], failed: str
) -> tuple[Command, ...]:
    return tuple(
        ReportTo(
            origin=requester.origin,
            outcome=Fetched(
                fetch_id=requester.fetch_id,
                prefix=read.prefix,
                revision=revision,
                rows=rows,
                failed=failed,
            ),
        )
        for requester in read.requesters
    )
