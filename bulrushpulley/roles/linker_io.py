"""Carries out the commands of the linker."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from bulrushpulley.entities.linker_tables import DialEntry
from bulrushpulley.roles.carry_out import Ports, carry_out


@dataclass(frozen=True, kw_only=True, slots=True)
class LinkerPorts(Ports):
    """The ports of the linker; `dial` does not block."""

    dial: Callable[[str], None]


@carry_out.register
def _(command: DialEntry, ports: LinkerPorts) -> None:
    ports.dial(command.address)
