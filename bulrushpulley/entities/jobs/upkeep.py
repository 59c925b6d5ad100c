"""Machines, the platform's calls about them, and how far their upkeep is.

A machine goes through the upkeep of a wave once: the platform takes it down with all
that runs there, and brings it back with a new life of its backend server.
"""

from __future__ import annotations

import enum
from collections.abc import Mapping
from dataclasses import dataclass, field

from bulrushpulley.entities.jobs.configuration import WaveOrder
from bulrushpulley.entities.jobs.rows import WaveRow, WaveState
from bulrushpulley.entities.step import Command, Event
from bulrushpulley.entities.table import Table


class MachineState(enum.Enum):
    """What the platform says of a machine."""

    UP = "up"
    MOVING = "moving"
    UPKEEP = "upkeep"
    DOWN = "down"


@dataclass(frozen=True, kw_only=True, slots=True)
class Machine:
    """A machine as the platform lists it; `server_id` is its backend server's."""

    machine_id: str
    pool: str
    state: MachineState
    server_id: str = ""


class UpkeepPhase(enum.Enum):
    """How far a machine of a wave is.

    From EMPTYING on it counts as one that is down. EMPTYING takes nothing new, ORDERED
    may have begun once that is durable, and TAKEN was accepted by the platform.
    """

    WAITING = "waiting"
    EMPTYING = "emptying"
    ORDERED = "ordered"
    TAKEN = "taken"
    FINISHED = "finished"


DOWN_PHASES = frozenset({UpkeepPhase.EMPTYING, UpkeepPhase.ORDERED, UpkeepPhase.TAKEN})


@dataclass(frozen=True, kw_only=True, slots=True)
class Upkeep:
    """The upkeep of one machine in one wave; `since` is when its phase began."""

    wave: int
    machine_id: str
    phase: UpkeepPhase
    since: float
    in_flight: bool = False
    retry_at: float = 0.0

    @property
    def key(self) -> str:
        """Its key in the table of upkeeps."""
        return f"{self.wave}/{self.machine_id}"


DOWN_INDEX = "away"


def wave_index(number: int) -> str:
    """Return the index value of the upkeeps of a wave."""
    return f"wave {number}"


def by_wave(upkeep: Upkeep) -> tuple[str, ...]:
    """Index upkeeps by wave, and those of machines that count as down together."""
    if upkeep.phase in DOWN_PHASES:
        return (wave_index(upkeep.wave), DOWN_INDEX)
    return (wave_index(upkeep.wave),)


@dataclass(frozen=True, kw_only=True, slots=True)
class Wave:
    """One wave in this tenure.

    `writing` is what the last commit with it holds, `durable` what has been written
    for sure. `told` is the state that operators were told, `telling` says that a
    write of it is in flight.
    """

    order: WaveOrder
    submitted_row: WaveRow
    durable_row: WaveRow
    reported_state: WaveState | None = None
    reporting: bool = False
    retry_at: float = 0.0


@dataclass(frozen=True, kw_only=True, slots=True)
class UpkeepTables:
    """What the owner of the shard knows of waves and machines.

    `written_by_wave` is None until the rows of former owners were read. `listed_at`
    is when the list of `machines` was asked for.
    """

    waves: Table[Wave] = field(default_factory=Table.empty)
    upkeeps: Table[Upkeep] = field(
        default_factory=lambda: Table.empty(indexes={"wave": by_wave})
    )
    machines: Table[Machine] = field(default_factory=Table.empty)
    written_by_wave: Mapping[int, WaveRow] | None = None
    reading: bool = False
    listing: bool = False
    list_requested_at: float = -60.0
    machines_as_of: float = -60.0


@dataclass(frozen=True, kw_only=True, slots=True)
class ListMachines(Command):
    """Asks the platform for all machines."""

    role: str
    timeout_s: float


@dataclass(frozen=True, kw_only=True, slots=True)
class OrderUpkeep(Command):
    """Has the platform take a machine down for its upkeep in a wave.

    `holder` and `token` say who orders: the token rises with each owner.
    """

    role: str
    machine_id: str
    wave: int
    holder: str
    token: int
    timeout_s: float


@dataclass(frozen=True, kw_only=True, slots=True)
class MachinesListed(Event):
    """All machines there are."""

    machines: tuple[Machine, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class ListMachinesFailed(Event):
    """No list of machines came."""

    reason: str


@dataclass(frozen=True, kw_only=True, slots=True)
class UpkeepEvent(Event):
    """The base of the answers about one machine of a wave."""

    wave: int
    machine_id: str


@dataclass(frozen=True, kw_only=True, slots=True)
class UpkeepOrderAccepted(UpkeepEvent):
    """The machine is down for its upkeep, or has been."""


@dataclass(frozen=True, kw_only=True, slots=True)
class UpkeepOrderFailed(UpkeepEvent):
    """The platform did not take the order, or gave no answer.

    `unknown_machine` says that there is no such machine any more.
    """

    reason: str
    unknown_machine: bool = False
