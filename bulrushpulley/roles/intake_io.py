"""Carries out the commands of the intake."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from bulrushpulley.entities.jobs.calls import CallAnswer
from bulrushpulley.entities.jobs.intake_tables import PublishReady
from bulrushpulley.roles.carry_out import carry_out
from bulrushpulley.roles.store_io import StorePorts


@dataclass(frozen=True, kw_only=True, slots=True)
class IntakePorts(StorePorts):
    """The ports of the intake."""

    set_ready: Callable[[bool], None]


@carry_out.register
def _(command: CallAnswer, ports: IntakePorts) -> None:
    ports.answer(command)


@carry_out.register
def _(command: PublishReady, ports: IntakePorts) -> None:
    ports.set_ready(command.ready)
