"""Carries out the commands of the guard."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from functools import partial

from bulrushpulley.entities.execution import CheckBackend, RunOnBackend
from bulrushpulley.entities.guard_tables import GuardDone
from bulrushpulley.platform.backend_server import BackendServerClient
from bulrushpulley.roles.carry_out import Ports, carry_out


@dataclass(frozen=True, kw_only=True, slots=True)
class GuardPorts(Ports):
    """The ports of a guard; `done` is called once after it has finished."""

    backend_server: BackendServerClient
    done: Callable[[], None]


@carry_out.register
def _(command: RunOnBackend, ports: GuardPorts) -> None:
    ports.run(role="guard", work=partial(ports.backend_server.run, command))


@carry_out.register
def _(command: CheckBackend, ports: GuardPorts) -> None:
    ports.run(role="guard", work=ports.backend_server.check)


@carry_out.register
def _(command: GuardDone, ports: GuardPorts) -> None:
    ports.done()
