"""The configuration as the controller knows it, read from the table service.

The revision row is read often, the records only when the revision has increased.
Revisions and versions only increase, so older rows are ignored. Jobs are not part of
the configuration.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import TypeVar

from pyrsistent import pmap

from bulrushpulley.entities.changing import replace
from bulrushpulley.entities.commit import VersionedRow
from bulrushpulley.entities.controller_tables import ControllerTables
from bulrushpulley.entities.fleet import fleet_of
from bulrushpulley.entities.link import Fetched
from bulrushpulley.entities.pending import Poll, ReadRecords, ReadRevision
from bulrushpulley.entities.records import (
    CellRecord,
    DomainState,
    FailureDomainRecord,
    PolicyRecord,
)
from bulrushpulley.entities.rows import RecordRow, RevisionRow
from bulrushpulley.entities.step import Step
from bulrushpulley.systems.control.events import ControllerStep, handle_rows

R = TypeVar("R")

REVISION_KEY = "revision"
CONFIG_POLL_INTERVAL_S = 0.75
CONFIG_KINDS = ("service", "failure_domain", "policy", "cell")


def record_key(kind: str, name: str) -> str:
    """Return the key of a record row."""
    return f"record/{kind}/{name}"


def polls() -> dict[str, Poll]:
    """Return the polls that keep the configuration up to date, by prefix."""
    kinds = {
        f"record/{kind}/": Poll(
            target=ReadRecords(kind=kind),
            prefix=f"record/{kind}/",
            interval_s=CONFIG_POLL_INTERVAL_S,
            next_at=None,
        )
        for kind in CONFIG_KINDS
    }
    revision = Poll(
        target=ReadRevision(), prefix="revision", interval_s=CONFIG_POLL_INTERVAL_S
    )
    return {"revision": revision, **kinds}


def update_records(
    tables: ControllerTables, rows: Iterable[VersionedRow]
) -> ControllerTables:
    """Store record rows that are newer than the known ones; jobs are left out."""
    changed: set[str] = set()
    for row in rows:
        known = tables.records.get(row.key)
        if not row.key.startswith("record/") or row.key.startswith("record/job/"):
            continue
        if row.row is None or not is_newer(row, known):
            continue
        tables = replace(tables, records=tables.records.put(row.key, row))
        changed.add(row.key.split("/")[1])
    if "cell" in changed:
        tables = replace(
            tables, fleet=fleet_of(records_of_kind(tables, "cell", CellRecord))
        )
    if "policy" in changed:
        policies = records_of_kind(tables, "policy", PolicyRecord)
        quotas = pmap({policy.department: policy.quota for policy in policies})
        tables = replace(tables, quotas=quotas)
    return tables


def is_newer(row: VersionedRow, known: VersionedRow | None) -> bool:
    """Tell whether a row is newer than the known one."""
    return known is None or row.version > known.version


def record_row(row: VersionedRow | None) -> RecordRow | None:
    """Return the record row that a versioned row holds, or None."""
    stored = row.row if row is not None else None
    return stored if isinstance(stored, RecordRow) else None


def find_record(
    tables: ControllerTables, kind: str, name: str, cls: type[R]
) -> R | None:
    """Return a record of the configuration by kind and name, or None."""
    row = record_row(tables.records.get(record_key(kind, name)))
    return row.record if row is not None and isinstance(row.record, cls) else None


def records_of_kind(tables: ControllerTables, kind: str, cls: type[R]) -> list[R]:
    """Return every record of a kind, ordered by name."""
    rows = [record_row(row) for row in tables.records.rows_where("kind", kind)]
    records = [row.record for row in rows if row is not None]
    return [record for record in records if isinstance(record, cls)]


def in_service(tables: ControllerTables, failure_domain: str) -> bool:
    """Tell whether the configuration lets tasks start in a failure domain."""
    record = find_record(tables, "failure_domain", failure_domain, FailureDomainRecord)
    return record is not None and record.state is DomainState.IN_SERVICE


def update_revision(
    tables: ControllerTables, rows: Iterable[VersionedRow], now: float
) -> ControllerTables:
    """Store a newer revision row and have the records read up to it."""
    for row in rows:
        newer = row.version > tables.revision_row.version
        if row.key == REVISION_KEY and newer and isinstance(row.row, RevisionRow):
            tables = replace(tables, revision_row=row)
    if tables.last_revision > tables.revision:
        for kind in CONFIG_KINDS:
            tables = _read_kind_now(tables, kind, now)
    return tables


def _read_kind_now(tables: ControllerTables, kind: str, now: float) -> ControllerTables:
    name = f"record/{kind}/"
    poll = tables.polls.get(name)
    if poll is None or poll.since >= tables.revision_row.version:
        return tables
    return replace(tables, polls=tables.polls.put(name, replace(poll, next_at=now)))


def apply_own_change(
    tables: ControllerTables, rows: tuple[VersionedRow, ...], now: float
) -> ControllerTables:
    """Store the rows that a change by this process has just committed.

    The new revision takes effect immediately if the one before it was in effect.
    """
    previous_revision = tables.revision
    tables = update_records(tables, rows)
    revision_rows = [row for row in rows if row.key == REVISION_KEY]
    for row in revision_rows:
        is_next = (
            isinstance(row.row, RevisionRow)
            and row.row.revision == previous_revision + 1
        )
        if is_next and row.version > tables.revision_row.version:
            tables = replace(tables, revision=previous_revision + 1, revision_row=row)
    return update_revision(tables, revision_rows, now)


@handle_rows.register
def _(
    target: ReadRevision,
    rows: tuple[VersionedRow, ...],
    event: Fetched,
    tables: ControllerTables,
    now: float,
) -> ControllerStep:
    return Step(tables=update_revision(tables, rows, now))


@handle_rows.register
def _(
    target: ReadRecords,
    rows: tuple[VersionedRow, ...],
    event: Fetched,
    tables: ControllerTables,
    now: float,
) -> ControllerStep:
    tables = update_records(tables, rows)
    name = f"record/{target.kind}/"
    poll = tables.polls.by_key[name]
    if poll.since >= tables.revision_row.version:
        idle = replace(poll, next_at=None)
        tables = replace(tables, polls=tables.polls.put(name, idle))
    read_to = min(tables.polls.by_key[f"record/{kind}/"].since for kind in CONFIG_KINDS)
    if read_to >= tables.revision_row.version:
        revision = max(tables.revision, tables.last_revision)
        tables = replace(tables, revision=revision)
    return Step(tables=tables)
