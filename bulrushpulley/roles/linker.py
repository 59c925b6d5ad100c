"""Builds the linker, the role that keeps an agent linked to every entry.

It starts with the seed addresses of the settings, then follows the list of entries
that the entries send.
"""

from __future__ import annotations

from bulrushpulley.entities.linker_tables import Dial, LinkerTables, by_state
from bulrushpulley.entities.table import Table
from bulrushpulley.roles.actor import CONTROL_TICK_INTERVAL_S, Role
from bulrushpulley.systems import dialling
from bulrushpulley.systems.linker_events import apply


def build(*, incarnation: str, seeds: tuple[str, ...]) -> Role[LinkerTables]:
    """Return the linker of an agent; `seeds` are ``HOST:PORT`` of entries."""
    dials: Table[Dial] = Table.empty(indexes={"state": by_state})
    for address in seeds:
        dials = dials.put(address, Dial(address=address, seed=True))
    return Role(
        name="linker",
        tables=LinkerTables(incarnation=incarnation, dials=dials),
        apply=apply,
        systems=(dialling.run,),
        tick_interval_s=CONTROL_TICK_INTERVAL_S,
    )
