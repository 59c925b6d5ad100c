"""Carries an outcome to whoever asked: a role of this process or a linked one."""

from __future__ import annotations

from bulrushpulley.entities.commit import ReportTo
from bulrushpulley.entities.link import Send
from bulrushpulley.roles.carry_out import Ports, carry_out
from bulrushpulley.roles.routing import ROLES


@carry_out.register
def _(command: ReportTo, ports: Ports) -> None:
    if command.origin in ROLES:
        ports.tell(command.origin, command.outcome)
    else:
        ports.send(Send(peer=command.origin, item=command.outcome))
