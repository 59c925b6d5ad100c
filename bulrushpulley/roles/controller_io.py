"""Carries out the controller's own commands: the answers to operators' calls."""

from __future__ import annotations

from bulrushpulley.entities.operations import Reject, Reply
from bulrushpulley.roles.carry_out import Ports, carry_out


@carry_out.register(Reply)
@carry_out.register(Reject)
def _(command: Reply | Reject, ports: Ports) -> None:
    ports.answer(command)
