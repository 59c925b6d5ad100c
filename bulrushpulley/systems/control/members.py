"""Keeps the entry's member row fresh and tells the agents which entries live.

An entry whose row successful readings have found unchanged for long enough is
left out. Time without a successful reading does not count, so the last list
stays during an outage of the table service.
"""

from __future__ import annotations

from dataclasses import replace

from bulrushpulley.entities.commit import (
    Committed,
    Condition,
    Conflicted,
    VersionedRow,
    Write,
)
from bulrushpulley.entities.controller_tables import ControllerTables
from bulrushpulley.entities.lifecycle import Leave
from bulrushpulley.entities.link import Entries, EntryAddress, Fetched, LinkUp, Send
from bulrushpulley.entities.member import Member, address_of, member_key
from bulrushpulley.entities.pending import (
    LeaveMembers,
    Pending,
    Poll,
    ReadMembers,
    RenewMember,
)
from bulrushpulley.entities.rows import MemberRow
from bulrushpulley.entities.step import Step
from bulrushpulley.systems.control.events import (
    Controlled,
    apply,
    on_commit,
    on_conflict,
    on_loss,
    on_rows,
)
from bulrushpulley.systems.control.submissions import submit

PREFIX = "member/"
RENEW_S = 5.0
RENEW_AFTER_CHANGE_S = 1.0
RETRY_S = 1.0
READ_EVERY_S = 1.0
GAP_COUNTED_S = 2 * READ_EVERY_S


def poll() -> Poll:
    """Return the reading of the member rows."""
    return Poll(target=ReadMembers(), prefix=PREFIX, interval_s=READ_EVERY_S)


def live_entries(tables: ControllerTables) -> tuple[str, ...]:
    """Return the names of the live entries, this one included, in order."""
    live = {member.row.name for member in tables.members.rows() if member.live}
    return tuple(sorted(live | {tables.identity.name}))


def own_row(tables: ControllerTables) -> MemberRow:
    """Return the member row that this entry writes next."""
    identity = tables.identity
    return MemberRow(
        name=identity.name,
        incarnation=identity.incarnation,
        host=identity.host,
        port=identity.port,
        region=identity.region,
        renewals=tables.renewals + 1,
        applied_revision=tables.revision,
    )


def run(tables: ControllerTables, now: float) -> Controlled:
    """Renew the own row when due and send the list of entries when it changes."""
    step = _renewed(tables, now)
    tables = step.tables
    addresses = _addresses(tables)
    if addresses == tables.entries_sent:
        return step
    tables = replace(tables, entries_sent=addresses)
    item = Entries(entries=addresses)
    sends = tuple(Send(peer=peer, item=item) for peer in tables.links)
    return Step(tables=tables, commands=(*step.commands, *sends))


def greet(event: LinkUp, tables: ControllerTables) -> Send:
    """Return the list of entries for a new link."""
    return Send(peer=event.peer, item=Entries(entries=_addresses(tables)))


def _addresses(tables: ControllerTables) -> tuple[EntryAddress, ...]:
    others = [
        address_of(member.row)
        for member in tables.members.rows()
        if member.live and member.row.name != tables.identity.name
    ]
    own = () if tables.leaving else (address_of(own_row(tables)),)
    return tuple(sorted((*own, *others), key=lambda address: address.name))


def _renewed(tables: ControllerTables, now: float) -> Controlled:
    changed = tables.revision != tables.renewed_revision
    due_at = tables.member_renew_at
    if changed:
        due_at -= RENEW_S - RENEW_AFTER_CHANGE_S
    waits = tables.leaving or tables.renewal_key or tables.members_read_at is None
    if waits or now < due_at:
        return Step(tables=tables)
    row = own_row(tables)
    known = tables.members.get(row.name)
    key = member_key(row.name)
    tables = replace(
        tables,
        renewals=row.renewals,
        renewal_key=key,
        renewed_revision=row.applied_revision,
        member_renew_at=now + RENEW_S,
    )
    return submit(
        tables,
        now,
        purpose=RenewMember(),
        conditions=(Condition(key=key, version=known.version if known else 0),),
        writes=(Write(key=key, row=row),),
        deadline=now + RENEW_S,
    )


@apply.register
def _(event: Leave, tables: ControllerTables, now: float) -> Controlled:
    """Stop renewing, and delete the own row once no renewal is in flight."""
    tables = replace(tables, leaving=True)
    return Step(tables=tables) if tables.renewal_key else _deleted(tables, now)


def _deleted(tables: ControllerTables, now: float) -> Controlled:
    """Delete the own row, so that the others take over without waiting."""
    key = member_key(tables.identity.name)
    known = tables.members.get(tables.identity.name)
    if known is None:
        return Step(tables=tables)
    return submit(
        tables,
        now,
        purpose=LeaveMembers(),
        conditions=(Condition(key=key, version=known.version),),
        writes=(Write(key=key, row=None),),
        deadline=now + RENEW_S,
    )


@on_commit.register
def _(
    purpose: RenewMember,
    pending: Pending,
    outcome: Committed,
    tables: ControllerTables,
    now: float,
) -> Controlled:
    write = pending.submission.writes[0]
    row = VersionedRow(key=write.key, version=outcome.revision, row=write.row)
    tables = _noted(replace(tables, renewal_key=""), row)
    return _deleted(tables, now) if tables.leaving else Step(tables=tables)


@on_conflict.register
def _(
    purpose: RenewMember,
    pending: Pending,
    outcome: Conflicted,
    tables: ControllerTables,
    now: float,
) -> Controlled:
    tables = replace(tables, renewal_key="", member_renew_at=now + RETRY_S)
    for row in outcome.rows:
        tables = _noted(tables, row)
    return Step(tables=tables)


@on_loss.register
def _(
    purpose: RenewMember,
    pending: Pending,
    reason: str,
    tables: ControllerTables,
    now: float,
) -> Controlled:
    return Step(tables=replace(tables, renewal_key="", member_renew_at=now + RETRY_S))


@on_rows.register
def _(
    target: ReadMembers,
    rows: tuple[VersionedRow, ...],
    event: Fetched,
    tables: ControllerTables,
    now: float,
) -> Controlled:
    last = tables.members_read_at
    passed = 0.0 if last is None else min(now - last, GAP_COUNTED_S)
    tables = replace(tables, members_read_at=now)
    for name in tables.members:
        member = tables.members.by_key[name]
        quieter = replace(member, quiet_s=member.quiet_s + passed)
        tables = replace(tables, members=tables.members.put(name, quieter))
    for row in rows:
        tables = _noted(tables, row)
    return Step(tables=tables)


def _noted(tables: ControllerTables, row: VersionedRow) -> ControllerTables:
    name = row.key.removeprefix(PREFIX)
    if not isinstance(row.row, MemberRow):
        return replace(tables, members=tables.members.drop(name))
    known = tables.members.get(name)
    if known is not None and known.version >= row.version:
        return tables
    member = Member(row=row.row, version=row.version)
    return replace(tables, members=tables.members.put(name, member))
