"""Builds the guard of a backend server.

The guard makes the last check on requests and runs them on the server.
"""

from __future__ import annotations

from bulrushpulley.entities.guard_tables import GuardSettings, GuardTables
from bulrushpulley.roles.actor import Role
from bulrushpulley.systems.guard import announce as guard_announce
from bulrushpulley.systems.guard import health as guard_health
from bulrushpulley.systems.guard import leave as guard_leave
from bulrushpulley.systems.guard import outcomes as guard_outcomes
from bulrushpulley.systems.guard import queue as guard_queue
from bulrushpulley.systems.guard import requests as guard_requests
from bulrushpulley.systems.guard import results as guard_results
from bulrushpulley.systems.guard.events import apply

EVENT_MODULES = (guard_requests, guard_results)
"""Imported only because they register event handlers."""

DEFAULT_SLOTS = 8
DEFAULT_QUEUE_LIMIT = 8


def build(
    *,
    agent: str,
    incarnation: str,
    service: str,
    region: str,
    failure_domain: str,
    slots: int = DEFAULT_SLOTS,
    queue_limit: int = DEFAULT_QUEUE_LIMIT,
) -> Role[GuardTables]:
    """Return the guard of an agent that has just started.

    `agent` is the agent's name in its settings; `incarnation` must be unique to the
    process. The backend server runs `service` with up to `slots` concurrent requests;
    up to `queue_limit` more are queued by the guard.
    """
    settings = GuardSettings(
        agent=agent,
        incarnation=incarnation,
        service=service,
        region=region,
        failure_domain=failure_domain,
        slots=slots,
        queue_limit=queue_limit,
    )
    return Role(
        name="guard",
        tables=GuardTables.empty(settings=settings),
        apply=apply,
        systems=(
            guard_outcomes.run,
            guard_queue.run,
            guard_health.run,
            guard_announce.run,
            guard_leave.run,
        ),
    )
