"""Dials every known entry that is not linked, once its retry delay has passed."""

from __future__ import annotations

from bulrushpulley.entities.changing import replace
from bulrushpulley.entities.linker_tables import (
    Dial,
    DialEntry,
    DialState,
    LinkerTables,
)
from bulrushpulley.entities.step import Command, Step


def run(tables: LinkerTables, now: float) -> Step[LinkerTables]:
    """Start the attempts that are due and drop addresses that are no longer used."""
    if tables.leaving:
        return Step(tables=tables)
    dials = tables.dials
    commands: list[Command] = []
    for dial in tables.dials.rows_where("state", DialState.WAITING.value):
        if _is_unused(dial):
            dials = dials.drop(dial.address)
        elif dial.retry_at <= now:
            dials = dials.put(dial.address, replace(dial, state=DialState.DIALLING))
            commands.append(DialEntry(address=dial.address))
    return Step(tables=replace(tables, dials=dials), commands=tuple(commands))


def _is_unused(dial: Dial) -> bool:
    return not dial.seed and not dial.listed
