"""Reports which processes have not applied a revision of the configuration."""

from __future__ import annotations

from bulrushpulley.entities.changing import replace
from bulrushpulley.entities.controller_tables import ControllerTables
from bulrushpulley.entities.operations import AskInForce, InForce
from bulrushpulley.entities.pending import InForceWait
from bulrushpulley.entities.step import Command, Step
from bulrushpulley.systems.control.events import ControllerStep, apply
from bulrushpulley.systems.control.members import live_entries


@apply.register
def _(event: AskInForce, tables: ControllerTables, now: float) -> ControllerStep:
    wait = InForceWait(call=event, deadline=now + event.wait_s)
    waits = tables.in_force_waits.put(event.call_id, wait)
    return Step(tables=replace(tables, in_force_waits=waits))


def run(tables: ControllerTables, now: float) -> ControllerStep:
    """Answer the calls that are satisfied or whose deadline has passed."""
    commands: list[Command] = []
    for wait in tables.in_force_waits.rows():
        missing = processes_without_revision(tables, wait.call.revision)
        if missing and now < wait.deadline:
            continue
        commands.append(_reply(wait.call, missing))
        waits = tables.in_force_waits.drop(wait.call.call_id)
        tables = replace(tables, in_force_waits=waits)
    return Step(tables=tables, commands=tuple(commands))


def processes_without_revision(
    tables: ControllerTables, revision: int
) -> tuple[str, ...]:
    """Return the linked agents and live entries that have not applied a revision."""
    agents = [
        link.announced.agent if link.announced else link.peer
        for link in tables.links.rows()
        if link.applied_revision < revision
    ]
    entries = [
        name for name in live_entries(tables) if _applied_by(tables, name) < revision
    ]
    return (*agents, *entries)


def _applied_by(tables: ControllerTables, entry: str) -> int:
    if entry == tables.identity.name:
        return tables.distributed_revision
    member = tables.members.get(entry)
    return member.row.applied_revision if member is not None else 0


def _reply(call: AskInForce, missing: tuple[str, ...]) -> InForce:
    return InForce(
        call_id=call.call_id,
        revision=call.revision,
        everywhere=not missing,
        missing=missing,
    )
