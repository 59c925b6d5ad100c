"""Machines, and the list of them that the platform keeps."""

from __future__ import annotations

import enum
from dataclasses import dataclass, field

from bulrushpulley.entities.step import Command, Event
from bulrushpulley.entities.table import Table


class MachineState(enum.Enum):
    """The state of a machine as listed by the platform; UNKNOWN if it is malformed."""

    UP = "up"
    MOVING = "moving"
    UPKEEP = "upkeep"
    DOWN = "down"
    UNKNOWN = ""


@dataclass(frozen=True, kw_only=True, slots=True)
class Machine:
    """A machine as listed by the platform; `server_id` names its backend server."""

    machine_id: str
    pool: str
    state: MachineState
    server_id: str = ""


@dataclass(frozen=True, kw_only=True, slots=True)
class MachineTables:
    """The last list of machines in the tables of the shard's owner.

    `listed_at` is the time at which the list in `machines` was requested. `listing` is
    set while a request, last sent at `requested_at`, is in flight, and `failing` once
    the last one has failed. The need of a list was last checked at `checked_at`.

    `asked_incarnations` are the incarnations of backend servers that held tasks on
    silent hosts when the last request was sent. Of these, the last list named
    `named_incarnations` as running and did not name `missing_incarnations`.
    """

    machines: Table[Machine] = field(default_factory=Table.empty)
    asked_incarnations: frozenset[str] = frozenset()
    named_incarnations: frozenset[str] = frozenset()
    missing_incarnations: frozenset[str] = frozenset()
    checked_at: float = -60.0
    listed_at: float = -60.0
    listing: bool = False
    requested_at: float = -60.0
    failing: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class ListMachines(Command):
    """Asks the platform for all machines; the answer repeats `requested_at`."""

    role: str
    requested_at: float
    timeout_s: float


@dataclass(frozen=True, kw_only=True, slots=True)
class MachineListAnswer(Event):
    """Base class for the answers to the request that was sent at `requested_at`."""

    requested_at: float


@dataclass(frozen=True, kw_only=True, slots=True)
class MachinesListed(MachineListAnswer):
    """The list of machines; not `complete` if malformed entries were left out.

    `running_server_ids` are the backend servers on all machines that may be up, those
    of malformed entries included. It is None if an entry does not show which it has.
    A list that is in `one_page` cannot have changed while it was read.
    """

    machines: tuple[Machine, ...]
    running_server_ids: frozenset[str] | None
    complete: bool = True
    one_page: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class ListMachinesFailed(MachineListAnswer):
    """The platform returned no list of machines."""

    reason: str
