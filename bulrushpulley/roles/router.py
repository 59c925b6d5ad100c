"""Builds the router, which sends requests to agents and returns complete answers."""

from __future__ import annotations

from bulrushpulley.entities.router_tables import RouterTables
from bulrushpulley.roles.actor import Role
from bulrushpulley.systems.route import agents as route_agents
from bulrushpulley.systems.route import answers as route_answers
from bulrushpulley.systems.route import calls as route_calls
from bulrushpulley.systems.route import claim_outcomes as route_claim_outcomes
from bulrushpulley.systems.route import dispatch as route_dispatch
from bulrushpulley.systems.route import eject as route_eject
from bulrushpulley.systems.route import leave as route_leave
from bulrushpulley.systems.route import resubmit as route_resubmit
from bulrushpulley.systems.route import shed as route_shed
from bulrushpulley.systems.route import sweep as route_sweep
from bulrushpulley.systems.route import timers as route_timers
from bulrushpulley.systems.route.events import apply

EVENT_MODULES = (
    route_answers,
    route_calls,
    route_agents,
    route_resubmit,
    route_claim_outcomes,
)
"""Imported only because they register event handlers."""


def build(*, incarnation: str, region: str) -> Role[RouterTables]:
    """Return the router of an entry that has just started.

    `incarnation` must be unique to the process, since attempts and submissions are
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
