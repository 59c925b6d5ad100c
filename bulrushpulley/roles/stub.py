"""A role without tables' rows or systems, which ignores every event."""

from __future__ import annotations

from dataclasses import dataclass

from bulrushpulley.entities.step import Event, Step
from bulrushpulley.roles.actor import Role


@dataclass(frozen=True, kw_only=True, slots=True)
class NoTables:
    """The tables of a role that keeps nothing."""


def _ignore(event: Event, tables: NoTables, now: float) -> Step[NoTables]:
    return Step(tables=tables)


def build(*, name: str) -> Role[NoTables]:
    """Return an empty role."""
    return Role(name=name, tables=NoTables(), apply=_ignore, systems=())
