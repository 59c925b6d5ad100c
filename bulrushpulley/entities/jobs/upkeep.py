"""The upkeep of machines: its progress, and the platform's calls that order it.

A machine undergoes upkeep once per wave: the platform takes it down, which ends all
runs on it, and brings it back with a new incarnation of its backend server.
"""

from __future__ import annotations

import enum
from collections.abc import Mapping
from dataclasses import dataclass, field

from bulrushpulley.entities.jobs.configuration import WaveOrder
from bulrushpulley.entities.jobs.rows import WaveRow, WaveState
from bulrushpulley.entities.step import Command, Event
from bulrushpulley.entities.table import Table


class UpkeepPhase(enum.Enum):
    """The progress of a machine in a wave.

    The machine counts as down from EMPTYING until FINISHED. In EMPTYING its host
    accepts no new tasks. In ORDERED its upkeep may have begun once this phase is
    durable. TAKEN means that the platform has accepted the order. A machine whose order
    was refused is WAITING again, and its host is open.
    """

    WAITING = "waiting"
    EMPTYING = "emptying"
    ORDERED = "ordered"
    TAKEN = "taken"
    FINISHED = "finished"


DOWN_PHASES = frozenset({UpkeepPhase.EMPTYING, UpkeepPhase.ORDERED, UpkeepPhase.TAKEN})


class UpkeepRefusal(enum.Enum):
    """Why an order of upkeep failed.

    After NO_ANSWER it may still be carried out; after the others it was not.
    NEWER_TOKEN means that an owner with a newer token has ordered the upkeep.
    """

    CANNOT_GO_DOWN = "cannot go down now"
    NOT_IN_WAVE = "not part of the wave"
    NEWER_TOKEN = "newer token"
    NO_SUCH_MACHINE = "no such machine"
    TOO_MANY_CALLS = "too many calls"
    UNAVAILABLE = "unavailable"
    OTHER = "another reason"
    NO_ANSWER = "no answer"


class UpkeepHold(enum.Enum):
    """Why a waiting machine is not emptied yet, in the order of examination."""

    NOT_UP = "not listed as up"
    OTHER_WAVE = "down for another wave"
    DEFERRED = "deferred"
    NO_SLOT = "as many are down as the wave allows"
    LAST_HOST = "last open host"
    NO_ROOM = "no room elsewhere"


@dataclass(frozen=True, kw_only=True, slots=True)
class Upkeep:
    """The upkeep of one machine in one wave; `since` is when its phase began.

    `may_have_begun` is set from the first order until it is certain that none was
    carried out. `unanswered_at` is when an order last ended without a certain outcome,
    `attempts` how many orders have failed in this phase, and `refusal` why the last one
    did. Once `exhausted`, no order is sent at `retry_at` but the upkeep is deferred;
    `deferrals` is how often it was.
    """

    wave: int
    machine_id: str
    phase: UpkeepPhase
    since: float
    in_flight: bool = False
    retry_at: float = 0.0
    may_have_begun: bool = False
    unanswered_at: float = -60.0
    attempts: int = 0
    refusal: UpkeepRefusal | None = None
    exhausted: bool = False
    deferrals: int = 0

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

    `submitted_row` is its row in the last commit that contains one, `durable_row` the
    row that is known to be written. `reported_state` is the state written for
    operators; `reporting` means that a write of it is in flight. `accepted` is set once
    the platform has accepted an order of the wave in this tenure. `since` is when the
    wave was added to this tenure, and `stall_checked_at` when it was last checked
    whether it stands still.
    """

    order: WaveOrder
    submitted_row: WaveRow
    durable_row: WaveRow
    since: float
    reported_state: WaveState | None = None
    reporting: bool = False
    retry_at: float = 0.0
    accepted: bool = False
    stall_checked_at: float = 0.0


@dataclass(frozen=True, kw_only=True, slots=True)
class UpkeepTables:
    """The waves in the tables of the shard's owner.

    `written_by_wave` is None until the rows of former owners have been read. `reading`
    is set while a read of those rows is in flight.
    """

    waves: Table[Wave] = field(default_factory=Table.empty)
    upkeeps: Table[Upkeep] = field(
        default_factory=lambda: Table.empty(indexes={"wave": by_wave})
    )
    written_by_wave: Mapping[int, WaveRow] | None = None
    reading: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class OrderUpkeep(Command):
    """Orders the platform to take a machine down for its upkeep in a wave.

    `holder` and `token` identify the owner; the token increases with each owner.
    """

    role: str
    machine_id: str
    wave: int
    holder: str
    token: int
    timeout_s: float


@dataclass(frozen=True, kw_only=True, slots=True)
class UpkeepEvent(Event):
    """Base class for the answers about one machine of a wave."""

    wave: int
    machine_id: str


@dataclass(frozen=True, kw_only=True, slots=True)
class UpkeepOrderAccepted(UpkeepEvent):
    """The machine is down for its upkeep, or has already been through it."""


@dataclass(frozen=True, kw_only=True, slots=True)
class UpkeepOrderFailed(UpkeepEvent):
    """The platform rejected the order, or gave no answer; `reason` is for the log."""

    refusal: UpkeepRefusal
    reason: str
