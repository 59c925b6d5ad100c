"""The transaction with which an owner writes progress, and what follows it."""

from __future__ import annotations

from dataclasses import dataclass, field

from immutables import Map

from bulrushpulley.entities.jobs.rows import OwnerRow
from bulrushpulley.entities.jobs.store import Transact


@dataclass(frozen=True, kw_only=True, slots=True)
class Effect:
    """Base class for effects that are deferred until a job's progress is durable."""


@dataclass(frozen=True, kw_only=True, slots=True)
class SendStart(Effect):
    """Send the order to start an assigned run."""

    task_id: str
    run: int


@dataclass(frozen=True, kw_only=True, slots=True)
class AcknowledgeEnd(Effect):
    """Tell a backend server that it may discard the end of a run."""

    host: str
    life: str
    number: int


@dataclass(frozen=True, kw_only=True, slots=True)
class Batch:
    """What an owner row makes durable beyond the batches before it.

    `effects_by_job` holds the jobs whose progress was new, with the effects deferred
    until then. The transaction was first sent at `first_sent_at`, when `row` was made.
    """

    row: OwnerRow
    effects_by_job: Map[str, tuple[Effect, ...]]
    first_sent_at: float


@dataclass(frozen=True, kw_only=True, slots=True)
class Suspects:
    """What was in transactions that the store has rejected.

    The jobs in `job_ids` are written one at a time, and so are the `others`, the rows
    that concern all jobs, until the store has accepted them. What it has rejected alone
    is withheld until a time.
    """

    job_ids: frozenset[str] = frozenset()
    others: bool = False
    withheld_until_by_job: Map[str, float] = field(default_factory=Map)
    others_withheld_until: float = 0.0


@dataclass(frozen=True, kw_only=True, slots=True)
class Commit:
    """The one transaction in flight, and the effects to apply once it is durable.

    An attempt may hold more than those before it. Each batch has an owner row of its
    own, and all require the same version of that row, so at most one of them is ever
    applied, whenever that is. The last of the `batches` was sent last; `job_ids` are
    the jobs of all of them. `waves` are in each attempt. It `has_others` if it holds
    rows beside those of the owner and of jobs.
    """

    transact: Transact
    batches: tuple[Batch, ...]
    job_ids: frozenset[str]
    waves: tuple[int, ...]
    sent_at: float
    has_others: bool = False
    in_flight: bool = True
    retry_at: float = 0.0
    attempts: int = 1

    @property
    def row(self) -> OwnerRow:
        """The owner row of the last attempt."""
        return self.batches[-1].row
