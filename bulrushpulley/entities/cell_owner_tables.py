"""The tables of the cell owner and its `CellOwnerDone` command."""

from __future__ import annotations

from dataclasses import dataclass, field

from bulrushpulley.entities import cell as cells
from bulrushpulley.entities import in_flight, interference, task, worker
from bulrushpulley.entities.commit import VersionedRow
from bulrushpulley.entities.records import PolicyRecord
from bulrushpulley.entities.rows import AliveRow, RecordRow
from bulrushpulley.entities.step import Command
from bulrushpulley.entities.table import Table


@dataclass(frozen=True, kw_only=True, slots=True)
class CellOwnerDone(Command):
    """All cells have been released after `Leave`; the process may exit."""


@dataclass(frozen=True, kw_only=True, slots=True)
class LinkedEntry:
    """An entry that has an open stream to this agent."""

    peer: str
    region: str


@dataclass(frozen=True, kw_only=True, slots=True)
class Liveness:
    """The agent's own liveness row.

    `version` is None until the row has been read, and `found` is the row of an earlier
    process that was read then. `confirmed_sent_at` is the time at which the last
    renewal known to have committed was first sent. `pending` is the submission id of
    the renewal in flight.
    """

    version: int | None = None
    found: AliveRow | None = None
    renewals: int = 0
    pending: str = ""
    renew_at: float = 0.0
    confirmed_sent_at: float | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class RecordCancellation:
    """A record whose tasks are being cancelled, a limited number each tick."""

    record_key: str


def _tasks() -> Table[task.Task]:
    return Table.empty(
        indexes={
            "worker": task.by_worker,
            "phase": task.by_phase,
            "cell": task.by_cell,
            "record": task.by_record,
        }
    )


def _workers() -> Table[worker.Worker]:
    return Table.empty(indexes={"cell": worker.by_cell})


def _submissions() -> Table[in_flight.InFlightSubmission]:
    return Table.empty(
        indexes={
            "peer": in_flight.submissions_by_peer,
            "cell": in_flight.submissions_by_cell,
        }
    )


def _reads() -> Table[in_flight.InFlightRead]:
    return Table.empty(
        indexes={
            "peer": in_flight.reads_by_peer,
            "purpose": in_flight.reads_by_purpose,
            "cell": in_flight.reads_by_cell,
        }
    )


def _failures() -> Table[worker.Failure]:
    return Table.empty(
        indexes={
            "worker": worker.failures_by_worker,
            "record": worker.failures_by_record,
            "task": worker.failures_by_task,
        }
    )


def _latencies() -> Table[interference.ServiceLatency]:
    return Table.empty(indexes={"worker": interference.latencies_by_worker})


def _throttles() -> Table[interference.Throttle]:
    return Table.empty(indexes={"worker": interference.throttles_by_worker})


def policy_department(found: VersionedRow) -> tuple[str, ...]:
    """Index function: the department of a policy record; other rows have none."""
    record = found.row.record if isinstance(found.row, RecordRow) else None
    return (record.department,) if isinstance(record, PolicyRecord) else ()


@dataclass(frozen=True, kw_only=True, slots=True)
class CellOwnerTables:
    """The complete state of the cell owner.

    `agent`, `incarnation`, `region` and `autonomy_s` come from the settings and
    never change. `leaving` is set on `Leave`, `released` once `CellOwnerDone` has been
    sent. `last_number` is the number in the id of the last submission or read.
    `records` holds the configuration's record rows by key, complete up to `revision`.
    """

    agent: str
    incarnation: str
    region: str
    autonomy_s: float
    liveness: Liveness = field(default_factory=Liveness)
    leaving: bool = False
    released: bool = False
    last_number: int = 0
    revision: int = 0
    entries: Table[LinkedEntry] = field(default_factory=Table.empty)
    records: Table[VersionedRow] = field(
        default_factory=lambda: Table.empty(
            indexes={"policy_department": policy_department}
        )
    )
    cells: Table[cells.Cell] = field(default_factory=Table.empty)
    workers: Table[worker.Worker] = field(default_factory=_workers)
    tasks: Table[task.Task] = field(default_factory=_tasks)
    submissions: Table[in_flight.InFlightSubmission] = field(
        default_factory=_submissions
    )
    reads: Table[in_flight.InFlightRead] = field(default_factory=_reads)
    failures: Table[worker.Failure] = field(default_factory=_failures)
    cancellations: Table[RecordCancellation] = field(default_factory=Table.empty)
    harms: Table[interference.Harm] = field(default_factory=Table.empty)
    job_usages: Table[interference.JobUsage] = field(default_factory=Table.empty)
    job_starts: Table[interference.JobStart] = field(default_factory=Table.empty)
    latencies: Table[interference.ServiceLatency] = field(default_factory=_latencies)
    throttles: Table[interference.Throttle] = field(default_factory=_throttles)
    reliefs: Table[interference.Relief] = field(default_factory=Table.empty)
