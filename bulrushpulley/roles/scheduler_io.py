"""Carries out the commands of the scheduler."""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import dataclass

from bulrushpulley.entities.jobs.scheduler_tables import (
    DialAgent,
    ReadWallClock,
    WallClock,
)
from bulrushpulley.roles.carry_out import carry_out
from bulrushpulley.roles.store_io import StorePorts


@dataclass(frozen=True, kw_only=True, slots=True)
class SchedulerPorts(StorePorts):
    """The ports of the scheduler; `dial` returns at once."""

    dial: Callable[[str], None]


@carry_out.register
def _(command: DialAgent, ports: SchedulerPorts) -> None:
    ports.dial(command.address)


@carry_out.register
def _(command: ReadWallClock, ports: SchedulerPorts) -> None:
    ports.tell(command.role, WallClock(wall_s=time.time()))
