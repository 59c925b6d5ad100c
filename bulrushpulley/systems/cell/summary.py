"""Sends the entries a summary of each owned cell: free resources, tasks and usage."""

from __future__ import annotations

from bulrushpulley.entities.cell import Cell, CellPhase
from bulrushpulley.entities.cell_owner_tables import CellOwnerTables
from bulrushpulley.entities.changing import replace
from bulrushpulley.entities.link import CellSummary, DepartmentUse, Send
from bulrushpulley.entities.owner_times import (
    SUMMARY_INTERVAL_S,
    SUMMARY_KEEPALIVE_INTERVAL_S,
)
from bulrushpulley.entities.resources import NO_RESOURCES, Resources
from bulrushpulley.entities.step import Command, Step
from bulrushpulley.entities.task import HOLDING_PHASES, Phase
from bulrushpulley.systems.cell import domains as cell_domains
from bulrushpulley.systems.cell import rows as cell_rows
from bulrushpulley.systems.cell.candidates import candidates_of
from bulrushpulley.systems.cell.owner_events import CellStep
from bulrushpulley.systems.cell.placement_policy import Candidate

NOT_STARTED = frozenset({Phase.WAITING, Phase.COMMITTING})


def summarize(tables: CellOwnerTables, now: float) -> CellStep:
    """Send a cell's summary when it has changed, and periodically as a keepalive."""
    commands: list[Command] = []
    for cell in tables.cells.rows():
        age_s = now - cell.summarized_at
        due = (cell.summary_due and age_s >= SUMMARY_INTERVAL_S) or not cell.summary
        keepalive_due = age_s >= SUMMARY_KEEPALIVE_INTERVAL_S
        if cell.phase is not CellPhase.OWNED or not (due or keepalive_due):
            continue
        summary = summary_of(tables, cell, now)
        if summary != cell.summary or keepalive_due:
            commands.extend(
                Send(peer=entry.peer, item=summary) for entry in tables.entries.rows()
            )
            cell = replace(cell, summary=summary, summarized_at=now)
        tables = cell_rows.put_cell(tables, replace(cell, summary_due=False))
    return Step(tables=tables, commands=tuple(commands))


def summary_of(tables: CellOwnerTables, cell: Cell, now: float) -> CellSummary:
    """Return a cell's summary, with no free resources if it must not start tasks."""
    accepts = cell_domains.in_service(tables, cell) and not tables.leaving
    candidates = candidates_of(tables, cell.name, now) if accepts else ()
    tasks = tables.tasks.rows_where("cell", cell.name)
    return CellSummary(
        cell=cell.name,
        owner=tables.agent,
        epoch=cell.epoch,
        failure_domain=cell_rows.failure_domain_of(tables, cell.name),
        region=tables.region,
        free=_total_free(candidates),
        largest=_largest_free(candidates),
        waiting=sum(1 for task in tasks if task.phase in NOT_STARTED),
        running=sum(1 for task in tasks if task.phase in HOLDING_PHASES - NOT_STARTED),
        uses=_uses(tables, cell),
    )


def _nonnegative_free(candidate: Candidate) -> Resources:
    return Resources(
        processors_m=max(0, candidate.free.processors_m),
        memory_mb=max(0, candidate.free.memory_mb),
        accelerators=max(0, candidate.free.accelerators),
    )


def _total_free(candidates: tuple[Candidate, ...]) -> Resources:
    total = NO_RESOURCES
    for candidate in candidates:
        total = total.plus(_nonnegative_free(candidate))
    return total


def _largest_free(candidates: tuple[Candidate, ...]) -> Resources:
    """Return the free resources of the worker with the most free processors.

    Of several such workers, it is the one with the most free memory.
    """
    usable = [_nonnegative_free(candidate) for candidate in candidates]
    return max(
        usable, key=lambda r: (r.processors_m, r.memory_mb), default=NO_RESOURCES
    )


def _uses(tables: CellOwnerTables, cell: Cell) -> tuple[DepartmentUse, ...]:
    by_department: dict[str, Resources] = {}
    for task in tables.tasks.rows_where("cell", cell.name):
        if task.phase in HOLDING_PHASES:
            spec = task.row.spec
            used = by_department.get(spec.department, NO_RESOURCES)
            by_department[spec.department] = used.plus(spec.size)
    return tuple(
        DepartmentUse(department=department, committed=by_department[department])
        for department in sorted(by_department)
    )
