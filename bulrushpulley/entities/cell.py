"""The cells that an agent watches, takes over and owns."""

from __future__ import annotations

import enum
from dataclasses import dataclass

from bulrushpulley.entities.link import CellSummary
from bulrushpulley.entities.rows import LeaseRow


class CellPhase(enum.Enum):
    """The state of an agent's ownership of a cell.

    While WATCHING, another agent may own the cell. It is TAKING while the takeover is
    in flight, LOADING until the task rows have been read under the new lease, and
    RELEASING while the release is in flight.
    """

    WATCHING = "watching"
    TAKING = "taking"
    LOADING = "loading"
    OWNED = "owned"
    RELEASING = "releasing"


HELD_PHASES = frozenset({CellPhase.LOADING, CellPhase.OWNED})


@dataclass(frozen=True, kw_only=True, slots=True)
class Cell:
    """One cell.

    `lease` is the lease row at version `lease_version`, which was first seen at
    `lease_seen_at`. While watching, `alive_version` is the version of the owner's
    liveness row, first seen at `alive_seen_at`. Task leases granted by all previous
    owners have expired by `leases_expired_at`. Rows are known up to revision
    `rows_since`. `place_due` is set when something relevant to placement has changed,
    `capacity_check_due` when the tasks on a worker may exceed its capacity. The waiting
    tasks are next checked for return to the backlog at `sweep_at`. `release_by` is when
    a leaving agent stops waiting for the release, or zero before it leaves.
    """

    name: str
    phase: CellPhase
    lease: LeaseRow | None = None
    lease_version: int = 0
    lease_seen_at: float = 0.0
    alive_version: int | None = None
    alive_seen_at: float = 0.0
    next_watch_at: float = 0.0
    taken_at: float = 0.0
    leases_expired_at: float = 0.0
    rows_since: int = 0
    refetch_at: float = 0.0
    place_due: bool = False
    capacity_check_due: bool = False
    sweep_at: float = 0.0
    summary_due: bool = True
    summary: CellSummary | None = None
    summarized_at: float = 0.0
    release_by: float = 0.0

    @property
    def epoch(self) -> int:
        """The epoch of the current lease, or 0 without a lease."""
        return self.lease.epoch if self.lease else 0


def lease_key(cell: str) -> str:
    """Return the key of a cell's lease row."""
    return f"lease/{cell}"


def alive_key(agent: str) -> str:
    """Return the key of an agent's liveness row."""
    return f"alive/{agent}"


def domain_key(failure_domain: str) -> str:
    """Return the key of a failure domain's record row."""
    return f"record/failure_domain/{failure_domain}"


def cell_record_key(cell: str) -> str:
    """Return the key of a cell's record row."""
    return f"record/cell/{cell}"
