"""Carries out the committer's commands through the client of the table service."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from functools import partial

from bulrushpulley.entities.commit import ReportTo, VersionedRow
from bulrushpulley.entities.step import Event
from bulrushpulley.entities.transactions import (
    ReadFailed,
    ReadRows,
    RowsRead,
    Transact,
    TransactionLost,
    TransactionRefused,
    TransactionRejected,
)
from bulrushpulley.errors import BulrushpulleyError
from bulrushpulley.platform.errors import (
    AnswerLostError,
    RefusedError,
    RejectedError,
)
from bulrushpulley.platform.table_service import TableServiceClient
from bulrushpulley.roles.carry_out import Ports, carry_out
from bulrushpulley.roles.committer import COMMITTER


@dataclass(frozen=True, kw_only=True, slots=True)
class CommitterPorts(Ports):
    """The ports of the committer; `report_to` sends an outcome to a role or a peer."""

    table: TableServiceClient
    report_to: Callable[[ReportTo], None]


@carry_out.register
def _(command: Transact, ports: CommitterPorts) -> None:
    ports.run(role=COMMITTER, work=partial(transact, command, ports.table))


@carry_out.register
def _(command: ReadRows, ports: CommitterPorts) -> None:
    ports.run(role=COMMITTER, work=partial(read_rows, command, ports.table))


@carry_out.register
def _(command: ReportTo, ports: CommitterPorts) -> None:
    ports.report_to(command)


def transact(command: Transact, table: TableServiceClient) -> Event:
    """Send a transaction and return its outcome; blocks up to its timeout."""
    try:
        return table.transact(command)
    except RefusedError as error:
        return TransactionRefused(
            lane=command.lane,
            transaction_id=command.transaction_id,
            reason=str(error.problem),
        )
    except RejectedError as error:
        return TransactionRejected(
            lane=command.lane,
            transaction_id=command.transaction_id,
            reason=str(error.problem),
        )
    except AnswerLostError as error:
        return TransactionLost(
            lane=command.lane,
            transaction_id=command.transaction_id,
            reason=str(error.problem),
        )


def read_rows(command: ReadRows, table: TableServiceClient) -> Event:
    """Read all rows of a prefix by pages; blocks up to the timeout for each page."""
    try:
        return _read_all_pages(command, table)
    except BulrushpulleyError as error:
        return ReadFailed(read_id=command.read_id, reason=str(error.problem))


def _read_all_pages(command: ReadRows, table: TableServiceClient) -> RowsRead:
    """Read every page and keep the latest version of each row.

    A row that changes during the read is listed again on a later page. A read from
    revision 0 returns no tombstones, since its reader has no rows to delete.
    """
    row_by_key: dict[str, VersionedRow] = {}
    since, more = command.since, True
    while more:
        page = table.read_page(command.prefix, since, timeout_s=command.timeout_s)
        row_by_key.update({row.key: row for row in page.rows})
        more = page.more and bool(page.rows)
        since = page.rows[-1].version if page.rows else since
    rows = row_by_key.values()
    kept = tuple(row for row in rows if command.since or row.row is not None)
    return RowsRead(read_id=command.read_id, revision=page.revision, rows=kept)
