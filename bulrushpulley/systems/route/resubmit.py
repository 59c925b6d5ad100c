"""Submits claims again whose outcome is unsettled."""

from __future__ import annotations

from bulrushpulley.entities.changing import replace
from bulrushpulley.entities.request import Claiming, Request
from bulrushpulley.entities.router_tables import RouterTables
from bulrushpulley.entities.step import Step
from bulrushpulley.systems.route.claims import submit
from bulrushpulley.systems.route.timers import handle_due, refuse_late


@handle_due.register
def _(
    stage: Claiming, request: Request, tables: RouterTables, now: float
) -> Step[RouterTables]:
    if now >= request.deadline or not stage.resubmit:
        return refuse_late(request, tables, now)
    return submit(tables, request, replace(stage, resubmit=False), now)
