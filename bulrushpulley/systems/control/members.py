"""Renews the entry's member row and sends the agents the list of live entries.

An entry is left out once successful reads have found its row unchanged for
`MEMBER_EXPIRY_S`. Time without a successful read does not count, so the last list
is kept during an outage of the table service.
"""

from __future__ import annotations

from bulrushpulley.entities.changing import replace
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
    ControllerStep,
    apply,
    handle_committed,
    handle_conflicted,
    handle_given_up,
    handle_rows,
)
from bulrushpulley.systems.control.submissions import submit

MEMBER_PREFIX = "member/"
MEMBER_RENEW_INTERVAL_S = 5.0
MEMBER_RENEW_DELAY_AFTER_CHANGE_S = 1.0
MEMBER_RENEW_RETRY_DELAY_S = 1.0
MEMBER_READ_INTERVAL_S = 1.0
MAX_COUNTED_GAP_S = 2 * MEMBER_READ_INTERVAL_S


def poll() -> Poll:
    """Return the poll that reads the member rows."""
    return Poll(
        target=ReadMembers(), prefix=MEMBER_PREFIX, interval_s=MEMBER_READ_INTERVAL_S
    )


def live_entries(tables: ControllerTables) -> tuple[str, ...]:
    """Return the sorted names of the live entries, including this one."""
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


def run(tables: ControllerTables, now: float) -> ControllerStep:
    """Renew this entry's row when due, and send the list of entries if it changed."""
    step = _renew_if_due(tables, now)
    tables = step.tables
    addresses = _addresses(tables)
    if addresses == tables.entries_sent:
        return step
    tables = replace(tables, entries_sent=addresses)
    item = Entries(entries=addresses)
    sends = tuple(Send(peer=peer, item=item) for peer in tables.links)
    return Step(tables=tables, commands=(*step.commands, *sends))


def entries_for_link(event: LinkUp, tables: ControllerTables) -> Send:
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


def _renew_if_due(tables: ControllerTables, now: float) -> ControllerStep:
    """Renew this entry's row when due, sooner if its applied revision has changed."""
    changed = tables.revision != tables.renewed_revision
    due_at = tables.member_renew_at
    if changed:
        due_at -= MEMBER_RENEW_INTERVAL_S - MEMBER_RENEW_DELAY_AFTER_CHANGE_S
    must_wait = tables.leaving or tables.renewal_key or tables.members_read_at is None
    if must_wait or now < due_at:
        return Step(tables=tables)
    row = own_row(tables)
    known = tables.members.get(row.name)
    key = member_key(row.name)
    tables = replace(
        tables,
        renewals=row.renewals,
        renewal_key=key,
        renewed_revision=row.applied_revision,
        member_renew_at=now + MEMBER_RENEW_INTERVAL_S,
    )
    return submit(
        tables,
        now,
        purpose=RenewMember(),
        conditions=(Condition(key=key, version=known.version if known else 0),),
        writes=(Write(key=key, row=row),),
        deadline=now + MEMBER_RENEW_INTERVAL_S,
    )


@apply.register
def _(event: Leave, tables: ControllerTables, now: float) -> ControllerStep:
    """Stop renewing, and delete this entry's row once no renewal is in flight."""
    tables = replace(tables, leaving=True)
    return Step(tables=tables) if tables.renewal_key else _delete_own_row(tables, now)


def _delete_own_row(tables: ControllerTables, now: float) -> ControllerStep:
    """Delete this entry's row, so that the others take over without waiting."""
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
        deadline=now + MEMBER_RENEW_INTERVAL_S,
    )


@handle_committed.register
def _(
    purpose: RenewMember,
    pending: Pending,
    outcome: Committed,
    tables: ControllerTables,
    now: float,
) -> ControllerStep:
    write = pending.submission.writes[0]
    row = VersionedRow(key=write.key, version=outcome.revision, row=write.row)
    tables = _update_member(replace(tables, renewal_key=""), row)
    return _delete_own_row(tables, now) if tables.leaving else Step(tables=tables)


@handle_conflicted.register
def _(
    purpose: RenewMember,
    pending: Pending,
    outcome: Conflicted,
    tables: ControllerTables,
    now: float,
) -> ControllerStep:
    tables = replace(
        tables, renewal_key="", member_renew_at=now + MEMBER_RENEW_RETRY_DELAY_S
    )
    for row in outcome.rows:
        tables = _update_member(tables, row)
    return Step(tables=tables)


@handle_given_up.register
def _(
    purpose: RenewMember,
    pending: Pending,
    reason: str,
    tables: ControllerTables,
    now: float,
) -> ControllerStep:
    return Step(
        tables=replace(
            tables, renewal_key="", member_renew_at=now + MEMBER_RENEW_RETRY_DELAY_S
        )
    )


@handle_rows.register
def _(
    target: ReadMembers,
    rows: tuple[VersionedRow, ...],
    event: Fetched,
    tables: ControllerTables,
    now: float,
) -> ControllerStep:
    last_read_at = tables.members_read_at
    elapsed_s = (
        0.0 if last_read_at is None else min(now - last_read_at, MAX_COUNTED_GAP_S)
    )
    tables = replace(tables, members_read_at=now)
    for name in tables.members:
        member = tables.members.by_key[name]
        updated = replace(member, unchanged_s=member.unchanged_s + elapsed_s)
        tables = replace(tables, members=tables.members.put(name, updated))
    for row in rows:
        tables = _update_member(tables, row)
    return Step(tables=tables)


def _update_member(tables: ControllerTables, row: VersionedRow) -> ControllerTables:
    name = row.key.removeprefix(MEMBER_PREFIX)
    if not isinstance(row.row, MemberRow):
        return replace(tables, members=tables.members.drop(name))
    known = tables.members.get(name)
    if known is not None and known.version >= row.version:
        return tables
    member = Member(row=row.row, version=row.version)
    return replace(tables, members=tables.members.put(name, member))
