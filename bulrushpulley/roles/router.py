"""The router: sends callers' requests to agents and gives back whole answers."""

from __future__ import annotations

from bulrushpulley.entities.router_tables import RouterTables
from bulrushpulley.roles.actor import Role
from bulrushpulley.systems import (
    route_answers,
    route_calls,
    route_dispatch,
    route_eject,
    route_leave,
    route_members,
    route_resubmit,
    route_settle,
    route_shed,
    route_sweep,
    route_timers,
)
from bulrushpulley.systems.route_events import apply

EVENT_MODULES = (
    route_answers,
    route_calls,
    route_members,
    route_resubmit,
    route_settle,
)
"""The modules that register events by being imported."""


def build(*, incarnation: str, region: str) -> Role[RouterTables]:
    """Return a router that has just started.

    `incarnation` must be unique to the process: attempts and submissions are
    numbered under it. Servers of `region` are preferred.
    """
    return Role(
        name="router",
        tables=RouterTables.empty(incarnation=incarnation, region=region),
        apply=apply,
        systems=(
            route_timers.run,
            route_eject.run,
            route_dispatch.run,
            route_shed.run,
            route_sweep.run,
            route_leave.run,
        ),
    )
