"""Looks up whether the failure domain of a cell is in service."""

from __future__ import annotations

from bulrushpulley.entities.cell import Cell, domain_key
from bulrushpulley.entities.cell_owner_tables import CellOwnerTables
from bulrushpulley.entities.records import DomainState, FailureDomainRecord
from bulrushpulley.entities.rows import RecordRow
from bulrushpulley.systems.cell import rows as cell_rows


def domain_state(tables: CellOwnerTables, cell: Cell) -> DomainState | None:
    """Return the state of a cell's failure domain, or None if it is unknown."""
    domain = cell_rows.failure_domain_of(tables, cell.name)
    found = tables.records.get(domain_key(domain))
    if found is None or not isinstance(found.row, RecordRow):
        return None
    record = found.row.record
    return record.state if isinstance(record, FailureDomainRecord) else None


def in_service(tables: CellOwnerTables, cell: Cell) -> bool:
    """Tell whether a cell's failure domain is known to be in service."""
    return domain_state(tables, cell) is DomainState.IN_SERVICE


def is_drained(tables: CellOwnerTables, cell: Cell) -> bool:
    """Tell whether a cell's failure domain has been drained."""
    return domain_state(tables, cell) is DomainState.DRAINED
