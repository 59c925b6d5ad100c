"""Decodes the lists in which a backend server names its runs and their ends."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Any

from bulrushpulley.entities.jobs.executor_calls import PollRuns, RunsListed
from bulrushpulley.entities.jobs.runs import RunEnd, RunStatus
from bulrushpulley.errors import BulrushpulleyError, Problem
from bulrushpulley.platform.fields import (
    Fields,
    field_error,
    integer,
    integer_value,
    items,
    number_value,
    sound_values,
    text_value,
)

STEP = "executor.decode"
MAX_PERCENT = 100
# A backend server lists this many ends at a time.
MAX_LISTED_ENDS = 500


def decode_runs(
    command: PollRuns, raw: Fields, report: Callable[[Problem], None]
) -> RunsListed:
    """Decode the lists of a backend server; malformed entries are left out."""
    ends = items(raw, "Finished", STEP)
    return RunsListed(
        server_id=command.server_id,
        life=command.life,
        started_at_ms=integer(raw, "born", STEP),
        clock_ms=integer(raw, "ClockMs", STEP),
        runs=sound_values(items(raw, "Running", STEP), _decode_status, report),
        ends=sound_values(ends, _decode_end, report),
        first_end=_first_end(ends),
        ends_complete=len(ends) < MAX_LISTED_ENDS,
    )


def _first_end(rows: Sequence[Any]) -> int:
    """Return the number of the first end listed; zero without a readable one."""
    first = rows[0] if rows else None
    if not isinstance(first, list) or not first:
        return 0
    try:
        return integer_value(first[0], "Finished", STEP)
    except BulrushpulleyError:
        return 0


def _decode_status(row: Any) -> RunStatus:
    # A row is [task, run, checkpoint, percent, measure]; the measure may be missing.
    field = "Running"
    if not isinstance(row, list) or len(row) < 4:
        raise field_error(STEP, field, "must be a list of rows of 4 or 5 values")
    return RunStatus(
        task_id=_task_id(row[0], field),
        run=integer_value(row[1], field, STEP),
        checkpoint=text_value(row[2], field, STEP),
        percent=min(MAX_PERCENT, int(number_value(row[3], field, STEP))),
        measure=int(number_value(row[4], field, STEP)) if len(row) > 4 else 0,
    )


def _decode_end(row: Any) -> RunEnd:
    # A row is [number, task, run, how, checkpoint]; the checkpoint may be missing.
    field = "Finished"
    if not isinstance(row, list) or len(row) < 4:
        raise field_error(STEP, field, "must be a list of rows of 4 or 5 values")
    return RunEnd(
        number=integer_value(row[0], field, STEP),
        task_id=_task_id(row[1], field),
        run=integer_value(row[2], field, STEP),
        how=text_value(row[3], field, STEP),
        checkpoint=text_value(row[4], field, STEP) if len(row) > 4 else "",
    )


def _task_id(value: Any, field: str) -> str:
    if not isinstance(value, str) or not value:
        raise field_error(STEP, field, "must name a task in each row")
    return value
