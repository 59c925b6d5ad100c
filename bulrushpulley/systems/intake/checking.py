"""Checks whether a batch without an answer was stored nonetheless.

A write without an answer is slow or lost. Reads do not wait for a part's writes, so
they show which. Jobs whose rows are found are accepted immediately. If a row is missing
and the reads were fast, or the last of them failed, the batch is sent again. If the
reads were slow too, the write is left to complete, since a second copy would only add
load to a slow store.
"""

from __future__ import annotations

from functools import singledispatch

from bulrushpulley.entities.changing import replace
from bulrushpulley.entities.jobs.intake_tables import (
    INTAKE,
    Batch,
    CheckStored,
    IntakeStep,
    IntakeTables,
)
from bulrushpulley.entities.jobs.rows import INTAKE_PART, JOBS, JobRow, job_key
from bulrushpulley.entities.jobs.store import RangeRead, ReadRange, StoreEvent
from bulrushpulley.entities.step import Command, Step
from bulrushpulley.systems import store_timeouts
from bulrushpulley.systems.intake import submitting

CHECK_READ_TIMEOUT_S = 1.0
# A store at its usual speed answers a read from the other region in 40 ms.
MAX_FAST_READ_S = 0.2


def run(tables: IntakeTables, now: float) -> IntakeStep:
    """Read the rows of a batch whose answer is overdue."""
    batch = tables.batch
    if batch is None or batch.checking or now < batch.check_at:
        return Step(tables=tables)
    left = [job_id for job_id in batch.job_ids if job_id in tables.submissions]
    reads: tuple[Command, ...] = tuple(_read(batch, job_id) for job_id in left)
    being_checked = replace(
        batch, checking=frozenset(left), reads_sent_at=now, row_missing=False
    )
    return Step(tables=replace(tables, batch=being_checked), commands=reads)


def _read(batch: Batch, job_id: str) -> ReadRange:
    key = job_key(job_id).key
    return ReadRange(
        role=INTAKE,
        purpose=CheckStored(number=batch.number, job_id=job_id),
        timeout_s=CHECK_READ_TIMEOUT_S,
        table=JOBS,
        part=INTAKE_PART,
        first=key,
        # The smallest key greater than `key`.
        end=key + "\0",
    )


def handle_check_read(
    purpose: CheckStored, event: StoreEvent, tables: IntakeTables, now: float
) -> IntakeStep:
    """Record whether the row of one job was found."""
    batch = tables.batch
    if batch is None or batch.number != purpose.number:
        return Step(tables=tables)
    found = _job_row_found(event)
    checking = batch.checking - {purpose.job_id}
    row_missing = batch.row_missing or not found
    read_succeeded = found is not None
    tables = replace(
        tables, batch=replace(batch, checking=checking, row_missing=row_missing)
    )
    step: IntakeStep = Step(tables=tables)
    if found:
        step = submitting.accept_jobs(tables, (purpose.job_id,), now)
    if checking:
        return step
    is_fast = now - batch.reads_sent_at < MAX_FAST_READ_S
    resends = row_missing and (is_fast or not read_succeeded)
    return Step(tables=_finish_check(step.tables, resends, now), commands=step.commands)


@singledispatch
def _job_row_found(event: StoreEvent) -> bool | None:
    """Return whether a job's row was found, or None if the read failed."""
    return None


@_job_row_found.register
def _(event: RangeRead) -> bool | None:
    return any(isinstance(stored.row, JobRow) for stored in event.rows)


def _finish_check(tables: IntakeTables, resends: bool, now: float) -> IntakeTables:
    """Decide what to do with the batch after the reads of all its rows."""
    batch = tables.batch
    if batch is None:
        return tables
    if not batch.row_missing:
        return replace(tables, batch=None)
    if resends:
        return submitting.requeue_batch(tables, outcome_unknown=True)
    again_at = now + store_timeouts.MIN_STORE_TIMEOUT_S
    return replace(tables, batch=replace(batch, check_at=again_at))
