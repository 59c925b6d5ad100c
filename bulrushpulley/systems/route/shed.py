"""Limits the queue of each service to what its backend servers can serve in time."""

from __future__ import annotations

from bulrushpulley.entities.request import Request
from bulrushpulley.entities.router_tables import RouterTables, Service
from bulrushpulley.entities.step import Command, Step
from bulrushpulley.errors import Code, Problem, Ran
from bulrushpulley.systems.route.finish import SELF, refuse
from bulrushpulley.systems.route.queue import oldest_waiting

MAX_QUEUE_WAIT_FRACTION = 0.5
MIN_QUEUE_LIMIT = 16
MAX_QUEUE_LIMIT = 5_000


def run(tables: RouterTables, now: float) -> Step[RouterTables]:
    """Refuse the oldest calls of each queue that is too long."""
    commands: list[Command] = []
    for name in sorted(tables.busy_services):
        step = shed(tables, name, now)
        tables = step.tables
        commands.extend(step.commands)
    return Step(tables=tables, commands=tuple(commands))


def shed(tables: RouterTables, name: str, now: float) -> Step[RouterTables]:
    """Refuse the oldest calls of one service while too many wait."""
    slots = sum(row.slots for row in tables.servers.rows_where("service", name))
    commands: list[Command] = []
    while True:
        tables, oldest = oldest_waiting(tables, name)
        if oldest is None:
            break
        service = tables.service(name)
        if service.waiting <= queue_limit(service, slots, oldest):
            break
        step = refuse(
            tables, oldest, ran=Ran.NO, problem=overload_problem(service), now=now
        )
        tables = step.tables
        commands.extend(step.commands)
    return Step(tables=tables, commands=tuple(commands))


def queue_limit(service: Service, slots: int, oldest: Request) -> int:
    """Return how many calls can be served within a fraction of their time."""
    if not service.service_s:
        return MAX_QUEUE_LIMIT
    total_s = oldest.deadline - oldest.received_at
    servable = MAX_QUEUE_WAIT_FRACTION * total_s * slots / service.service_s
    return min(MAX_QUEUE_LIMIT, max(MIN_QUEUE_LIMIT, int(servable)))


def overload_problem(service: Service) -> Problem:
    """Describe a call that was refused to keep the queue short."""
    return Problem(
        code=Code.OVERLOADED,
        step="route.wait",
        peer=SELF,
        detail=f"{service.waiting} calls wait for {service.name}",
    )
