"""Builds the controller of records, members, offers of cells and the backlog."""

from __future__ import annotations

from bulrushpulley.entities.controller_tables import ControllerTables, EntryIdentity
from bulrushpulley.entities.pending import Poll
from bulrushpulley.entities.table import Table
from bulrushpulley.roles import controller_io as controller_io
from bulrushpulley.roles.actor import CONTROL_TICK_INTERVAL_S, Role
from bulrushpulley.systems.control import assign as control_assign
from bulrushpulley.systems.control import (
    assignment_outcomes as control_assignment_outcomes,
)
from bulrushpulley.systems.control import backlog as control_backlog
from bulrushpulley.systems.control import cells as control_cells
from bulrushpulley.systems.control import changes as control_changes
from bulrushpulley.systems.control import closing as control_closing
from bulrushpulley.systems.control import distribution as control_distribution
from bulrushpulley.systems.control import enquiries as control_enquiries
from bulrushpulley.systems.control import events as control_events
from bulrushpulley.systems.control import in_force as control_in_force
from bulrushpulley.systems.control import members as control_members
from bulrushpulley.systems.control import offers as control_offers
from bulrushpulley.systems.control import polls as control_polls
from bulrushpulley.systems.control import records as control_records
from bulrushpulley.systems.control import submissions as control_submissions

CONTROLLER = "controller"
# Imported only because they register event handlers.
EVENT_MODULES = (control_assignment_outcomes, control_cells)


def build(
    *, entry: str, incarnation: str, host: str, port: int, region: str
) -> Role[ControllerTables]:
    """Return the controller of an entry that accepts links at `host` and `port`.

    `entry` is the entry's name in its settings; `incarnation` must be unique to the
    process.
    """
    identity = EntryIdentity(
        name=entry, incarnation=incarnation, host=host, port=port, region=region
    )
    polls = {
        **control_records.polls(),
        control_members.MEMBER_PREFIX: control_members.poll(),
        control_backlog.BACKLOG_PREFIX: control_backlog.poll(),
    }
    table: Table[Poll] = Table.empty()
    for name, poll in polls.items():
        table = table.put(name, poll)
    return Role(
        name=CONTROLLER,
        tables=ControllerTables(identity=identity, polls=table),
        apply=control_events.apply,
        tick_interval_s=CONTROL_TICK_INTERVAL_S,
        can_wait=control_events.can_wait,
        systems=(
            control_submissions.run,
            control_changes.run,
            control_members.run,
            control_polls.run,
            control_distribution.run,
            control_offers.run,
            control_backlog.run,
            control_closing.run,
            control_assign.run,
            control_enquiries.run,
            control_in_force.run,
        ),
    )
