"""Decides which entry assigns a department's tasks, and in which order.

A rendezvous hash over the live entries gives each department to one entry; the
conditions of the transactions keep two entries from assigning the same task
while their lists of live entries differ.
"""

from __future__ import annotations

from functools import lru_cache
from zlib import crc32

from bulrushpulley.entities.backlog import Lane, WaitingRow
from bulrushpulley.entities.controller_tables import ControllerTables
from bulrushpulley.entities.resources import NO_RESOURCES
from bulrushpulley.systems.control.cells import used_by
from bulrushpulley.systems.control.members import live_entries

AGING_S_PER_PRIORITY = 60.0


@lru_cache(maxsize=4_096)
def entry_for(department: str, entries: tuple[str, ...]) -> str:
    """Return the entry that is responsible for a department."""
    return max(entries, key=lambda name: crc32(f"{department}|{name}".encode()))


def is_responsible(tables: ControllerTables, department: str) -> bool:
    """Tell whether this entry assigns a department's tasks."""
    return entry_for(department, live_entries(tables)) == tables.identity.name


def department_share(tables: ControllerTables, department: str) -> float:
    """Return a department's usage as a fraction of its quota or of all workers."""
    limit = tables.quotas.get(department, NO_RESOURCES)
    if limit == NO_RESOURCES:
        limit = tables.fleet.capacity
    used = used_by(tables, department)
    pairs = (
        (used.processors_m, limit.processors_m),
        (used.memory_mb, limit.memory_mb),
        (used.accelerators, limit.accelerators),
    )
    return max((amount / total for amount, total in pairs if total > 0), default=0.0)


def aged_priority(lane: Lane, first: WaitingRow, now: float) -> float:
    """Return a lane's priority, which grows with the age of its first row."""
    return lane.priority + (now - first.first_seen_at) / AGING_S_PER_PRIORITY
