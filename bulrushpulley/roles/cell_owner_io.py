"""Carries out the commands of the cell owner."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from functools import partial

from bulrushpulley.entities.cell_owner_tables import CellOwnerDone
from bulrushpulley.entities.worker_calls import (
    RequestReport,
    StartTask,
    StopTask,
    ThrottleTask,
)
from bulrushpulley.platform.worker import WorkerClient
from bulrushpulley.roles.carry_out import Ports, carry_out

CELL_OWNER = "cell_owner"


@dataclass(frozen=True, kw_only=True, slots=True)
class CellOwnerPorts(Ports):
    """The ports of a cell owner; `done` is called once its cells are released."""

    workers: WorkerClient
    done: Callable[[], None]


@carry_out.register
def _(command: StartTask, ports: CellOwnerPorts) -> None:
    ports.run(role=CELL_OWNER, work=partial(ports.workers.start, command))


@carry_out.register
def _(command: StopTask, ports: CellOwnerPorts) -> None:
    ports.run(role=CELL_OWNER, work=partial(ports.workers.stop, command))


@carry_out.register
def _(command: ThrottleTask, ports: CellOwnerPorts) -> None:
    ports.run(role=CELL_OWNER, work=partial(ports.workers.throttle, command))


@carry_out.register
def _(command: RequestReport, ports: CellOwnerPorts) -> None:
    ports.run(role=CELL_OWNER, work=partial(ports.workers.report, command))


@carry_out.register
def _(command: CellOwnerDone, ports: CellOwnerPorts) -> None:
    ports.done()
