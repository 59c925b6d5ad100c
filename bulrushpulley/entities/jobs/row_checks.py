"""Checks of durable rows that another writer may have written.

Decoding ensures the types of the values. These checks ensure that a row can be used:
its numbers are in range, its address can be dialled and its job can be expanded into
tasks.
"""

from __future__ import annotations

from functools import singledispatch

from bulrushpulley.entities.address import address_defect
from bulrushpulley.entities.jobs.rows import (
    BacklogRow,
    EndedJobRow,
    HarmsRow,
    HostRow,
    JobRow,
    OwnerRow,
    ProgressRow,
    Row,
    WaveRow,
)
from bulrushpulley.entities.jobs.spec import (
    MAX_TASKS,
    SPEC_WITHOUT_STEPS,
    spec_defect,
)
from bulrushpulley.entities.numbers import are_amounts

# A task that does not fit into the first page leaves it empty.
MAX_PAGES = MAX_TASKS + 1


@singledispatch
def row_defect(row: Row) -> str:
    """Describe why a row cannot be used; empty if it can."""
    return ""


@row_defect.register
def _(row: OwnerRow) -> str:
    ends_in_s = (host.runs_end_in_s for host in row.unlinked_hosts)
    spans_s = (row.renewals_for_s or 0.0, row.renews_within_s or 0.0, *ends_in_s)
    return _numbers_defect(row.epoch, row.sequence, *spans_s)


@row_defect.register
def _(row: JobRow) -> str:
    return _settings_defect(row) or spec_defect(row.spec)


@row_defect.register
def _(row: EndedJobRow) -> str:
    has_steps = row.spec != SPEC_WITHOUT_STEPS
    return _settings_defect(row) or ("must have no steps" if has_steps else "")


def _settings_defect(row: JobRow) -> str:
    return _numbers_defect(
        row.priority,
        row.max_attempts,
        row.latency_factor,
        row.target_latency_s,
        row.accepted_at_s,
    )


@row_defect.register
def _(row: ProgressRow) -> str:
    task_numbers = (
        number
        for task in row.tasks
        for number in (task.occurrence, task.step, task.index, task.run, task.failures)
    )
    defect = _numbers_defect(
        row.ended_at_s, row.page, row.pages, row.done_occurrences, *task_numbers
    )
    # An owner goes through all pages of a job.
    is_page = row.page < row.pages <= MAX_PAGES
    return defect or ("" if is_page else "is no page of a job's progress")


@row_defect.register
def _(row: HostRow) -> str:
    end_numbers = (
        number for end in row.ends for number in (end.number, end.run, end.age_s)
    )
    runs = (ref.run for ref in row.runs)
    defect = _numbers_defect(row.epoch, row.adoption, *end_numbers, *runs)
    return address_defect(row.address) or defect


@row_defect.register
def _(row: BacklogRow) -> str:
    return _numbers_defect(*(count for _, count in row.waiting))


@row_defect.register
def _(row: HarmsRow) -> str:
    estimates = (
        number
        for estimate in row.estimates
        # An image may lower the latency of another.
        for number in (abs(estimate.estimate_ms), estimate.variance)
    )
    targets_ms = (target_ms for _, target_ms in row.target_by_image)
    return _numbers_defect(*estimates, *targets_ms)


@row_defect.register
def _(row: WaveRow) -> str:
    return _numbers_defect(row.number)


def _numbers_defect(*values: float) -> str:
    return "" if are_amounts(*values) else "a number is out of range"
