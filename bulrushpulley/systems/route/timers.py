"""Handles the requests whose timer fires: refuses late ones, hedges slow ones.

Requests are indexed by the time bucket of `due_at`, so a tick processes only the
buckets that have passed since the previous tick.
"""

from __future__ import annotations

from collections.abc import Iterable
from functools import singledispatch

from bulrushpulley.entities.changing import replace
from bulrushpulley.entities.request import (
    InFlight,
    Recalling,
    Request,
    Stage,
    timer_bucket,
)
from bulrushpulley.entities.router_tables import RouterTables
from bulrushpulley.entities.step import Command, Step
from bulrushpulley.errors import Code, Problem, Ran
from bulrushpulley.systems.route.finish import deadline_problem, refuse
from bulrushpulley.systems.route.hedge import hedge
from bulrushpulley.systems.route.recall import unlinked_problem


def run(tables: RouterTables, now: float) -> Step[RouterTables]:
    """Handle every request that has become due."""
    last = timer_bucket(now) - 1
    if last == tables.last_timer_bucket:
        return Step(tables=tables)
    commands: list[Command] = []
    for bucket in due_buckets(tables, last):
        for request in tables.requests.rows_where("due", bucket):
            step = handle_due(request.stage, request, tables, now)
            tables = step.tables
            commands.extend(step.commands)
    return Step(
        tables=replace(tables, last_timer_bucket=last), commands=tuple(commands)
    )


def due_buckets(tables: RouterTables, last: int) -> Iterable[str]:
    """Return the buckets up to `last` that may hold requests, oldest first."""
    first = tables.last_timer_bucket + 1
    filled = tables.requests.by_index["due"]
    if last - first < len(filled):
        return [str(number) for number in range(first, last + 1)]
    return sorted((key for key in filled if int(key) <= last), key=int)


@singledispatch
def handle_due(
    stage: Stage, request: Request, tables: RouterTables, now: float
) -> Step[RouterTables]:
    """Handle a due request in `stage`: refuse it if it has nothing in flight."""
    return refuse_late(request, tables, now)


def refuse_late(
    request: Request, tables: RouterTables, now: float
) -> Step[RouterTables]:
    """Refuse a request with nothing in flight that cannot be answered in time."""
    return refuse(tables, request, ran=Ran.NO, problem=deadline_problem(), now=now)


@handle_due.register
def _(
    stage: InFlight, request: Request, tables: RouterTables, now: float
) -> Step[RouterTables]:
    if now < request.deadline:
        return hedge(tables, request, now)
    problem = Problem(
        code=Code.OUTCOME_UNKNOWN,
        step="route.answer",
        peer=request.tried_agents[-1] if request.tried_agents else "agent",
        detail="no answer came before the deadline",
    )
    return refuse(tables, request, ran=Ran.UNKNOWN, problem=problem, now=now)


@handle_due.register
def _(
    stage: Recalling, request: Request, tables: RouterTables, now: float
) -> Step[RouterTables]:
    problem = unlinked_problem(stage.agent)
    return refuse(tables, request, ran=Ran.UNKNOWN, problem=problem, now=now)
