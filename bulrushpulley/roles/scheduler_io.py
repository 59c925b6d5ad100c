"""Carries out the commands of the scheduler."""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial

from bulrushpulley.entities.jobs.advice import AdviceFailed, RequestAdvice
from bulrushpulley.entities.jobs.explanation import Explanation
from bulrushpulley.entities.jobs.machines import (
    ListMachines,
    ListMachinesFailed,
)
from bulrushpulley.entities.jobs.scheduler_tables import (
    DialAgent,
    ReadWallClock,
    WallClock,
)
from bulrushpulley.entities.jobs.upkeep import (
    OrderUpkeep,
    UpkeepOrderFailed,
    UpkeepRefusal,
)
from bulrushpulley.platform.advice import AdviceClient
from bulrushpulley.platform.machines import MachinesClient
from bulrushpulley.roles.carry_out import carry_out
from bulrushpulley.roles.store_io import StorePorts


@dataclass(frozen=True, kw_only=True, slots=True)
class SchedulerPorts(StorePorts):
    """The ports of the scheduler; `dial` does not block.

    `advice` and `machines` are None if no such service is configured.
    """

    dial: Callable[[str], None]
    advice: AdviceClient | None = None
    machines: MachinesClient | None = None


@carry_out.register
def _(command: DialAgent, ports: SchedulerPorts) -> None:
    ports.dial(command.address)


@carry_out.register
def _(command: RequestAdvice, ports: SchedulerPorts) -> None:
    if ports.advice is None:
        reason = "no advice service is configured"
        failed = AdviceFailed(step_key=command.step_key, reason=reason)
        ports.tell(command.role, failed)
        return
    ports.run(role=command.role, work=partial(ports.advice.request_advice, command))


@carry_out.register
def _(command: Explanation, ports: SchedulerPorts) -> None:
    ports.answer(command)


@carry_out.register
def _(command: ReadWallClock, ports: SchedulerPorts) -> None:
    ports.tell(command.role, WallClock(wall_s=time.time()))


NO_MACHINES_SERVICE = "no machines service is configured"


@carry_out.register
def _(command: ListMachines, ports: SchedulerPorts) -> None:
    if ports.machines is None:
        failed = ListMachinesFailed(
            requested_at=command.requested_at, reason=NO_MACHINES_SERVICE
        )
        ports.tell(command.role, failed)
        return
    ports.run(role=command.role, work=partial(ports.machines.list_all, command))


@carry_out.register
def _(command: OrderUpkeep, ports: SchedulerPorts) -> None:
    if ports.machines is None:
        failed = UpkeepOrderFailed(
            wave=command.wave,
            machine_id=command.machine_id,
            refusal=UpkeepRefusal.OTHER,
            reason=NO_MACHINES_SERVICE,
        )
        ports.tell(command.role, failed)
        return
    ports.run(role=command.role, work=partial(ports.machines.order_upkeep, command))
