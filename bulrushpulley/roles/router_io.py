"""Carries out the commands of the router."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from bulrushpulley.entities.calls import AnswerCall, RefuseCall
from bulrushpulley.entities.router_tables import RouterDone
from bulrushpulley.roles.carry_out import Ports, carry_out


@dataclass(frozen=True, kw_only=True, slots=True)
class RouterPorts(Ports):
    """The ports of a router; `done` is called once after it has finished."""

    done: Callable[[], None]


@carry_out.register
def _(command: AnswerCall, ports: Ports) -> None:
    ports.answer(command)


@carry_out.register
def _(command: RefuseCall, ports: Ports) -> None:
    ports.answer(command)


@carry_out.register
def _(command: RouterDone, ports: RouterPorts) -> None:
    ports.done()
