"""Keeps the backlog: its rows by key, their lanes and the rows put off.

All changes of waiting rows go through these functions, so that a row stands in
its lane exactly when its phase says so. A marker row under ``closing`` opens the
closing of its record instead.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import replace

from pyrsistent import PDeque, pdeque

from bulrushpulley.entities.backlog import (
    CLOSING,
    Closing,
    Deferral,
    Lane,
    Phase,
    Waiting,
    Why,
    lane_of,
)
from bulrushpulley.entities.commit import VersionedRow
from bulrushpulley.entities.controller_tables import ControllerTables, Lanes
from bulrushpulley.entities.link import Fetched
from bulrushpulley.entities.pending import Poll, ReadBacklog
from bulrushpulley.entities.rows import BacklogRow, TaskSpec
from bulrushpulley.entities.step import Step
from bulrushpulley.systems.control_events import Controlled, on_rows

PREFIX = "backlog/"
READ_EVERY_S = 0.5
DEFER_S = 1.0
WAKES_PER_TICK = 64


def poll() -> Poll:
    """Return the reading of the backlog."""
    return Poll(target=ReadBacklog(), prefix=PREFIX, every_s=READ_EVERY_S)


@on_rows.register
def _(
    target: ReadBacklog,
    rows: tuple[VersionedRow, ...],
    event: Fetched,
    tables: ControllerTables,
    now: float,
) -> Controlled:
    return Step(tables=note_rows(tables, rows, now))


def note_rows(
    tables: ControllerTables,
    rows: Iterable[VersionedRow],
    now: float,
    *,
    first: bool = False,
) -> ControllerTables:
    """Take backlog rows as the table service holds them; `first` heads the lane."""
    for row in rows:
        if row.key.startswith(PREFIX):
            tables = _noted(tables, row, now, first)
    return tables


def _noted(
    tables: ControllerTables, row: VersionedRow, now: float, first: bool
) -> ControllerTables:
    if row.key.endswith(f"/{CLOSING}"):
        return _noted_marker(tables, row, now)
    if not isinstance(row.row, BacklogRow):
        return replace(tables, waiting=tables.waiting.drop(row.key))
    known = tables.waiting.get(row.key)
    if known is not None and known.version >= row.version:
        return tables
    lane = lane_of(row.row.spec)
    if known is not None:
        newer = replace(known, row=row.row, version=row.version)
        return replace(tables, waiting=tables.waiting.put(row.key, newer))
    waiting = Waiting(
        key=row.key, row=row.row, version=row.version, lane=lane, seen_at=now
    )
    tables = replace(
        tables,
        waiting=tables.waiting.put(row.key, waiting),
        recent_jobs=_with_recent(tables, row.row.spec),
    )
    return enqueue(tables, row.key, first=first)


def _with_recent(tables: ControllerTables, spec: TaskSpec) -> PDeque[str]:
    if spec.kind != "job" or spec.job in tables.recent_jobs:
        return tables.recent_jobs
    return tables.recent_jobs.append(spec.job)


def _noted_marker(
    tables: ControllerTables, row: VersionedRow, now: float
) -> ControllerTables:
    job = row.key.split("/")[1]
    if not isinstance(row.row, BacklogRow):
        return forget_closing(tables, job)
    known = tables.closings.get(job)
    if known is not None and known.version >= row.version:
        return tables
    closing = Closing(marker=row.row, version=row.version, next_at=now)
    return replace(tables, closings=tables.closings.put(job, closing))


def forget_closing(tables: ControllerTables, job: str) -> ControllerTables:
    """Drop what is kept for the closing of a record."""
    return replace(
        tables,
        closings=tables.closings.drop(job),
        closed_keys=tables.closed_keys.discard(job),
        polls=tables.polls.drop(f"done/{job}/"),
    )


def enqueue(
    tables: ControllerTables, key: str, *, first: bool = False
) -> ControllerTables:
    """Put a row into its lane, at the end or as the first."""
    waiting = tables.waiting.get(key)
    if waiting is None:
        return tables
    queue = tables.lanes.get(waiting.lane, pdeque())
    queue = queue.appendleft(key) if first else queue.append(key)
    queued = replace(waiting, phase=Phase.QUEUED)
    return replace(
        tables,
        lanes=tables.lanes.set(waiting.lane, queue),
        waiting=tables.waiting.put(key, queued),
    )


def head(
    tables: ControllerTables, lane: Lane
) -> tuple[ControllerTables, Waiting | None]:
    """Return the first row of a lane, after dropping keys that wait no more."""
    queue = tables.lanes.get(lane, pdeque())
    while queue:
        waiting = tables.waiting.get(queue.left)
        if waiting is not None and waiting.phase is Phase.QUEUED:
            return replace(tables, lanes=tables.lanes.set(lane, queue)), waiting
        queue = queue.popleft()
    return replace(tables, lanes=tables.lanes.discard(lane)), None


def take(tables: ControllerTables, waiting: Waiting) -> ControllerTables:
    """Take the first row of its lane out for assignment."""
    taken = replace(waiting, phase=Phase.ASSIGNING, why=Why.ASSIGNING)
    return replace(
        tables,
        lanes=_shortened(tables, waiting.lane),
        waiting=tables.waiting.put(waiting.key, taken),
    )


def defer(
    tables: ControllerTables, waiting: Waiting, why: Why, now: float
) -> ControllerTables:
    """Put the first row of its lane off for `DEFER_S`."""
    tables = replace(tables, lanes=_shortened(tables, waiting.lane))
    return defer_taken(tables, waiting, why, now)


def defer_taken(
    tables: ControllerTables, waiting: Waiting, why: Why, now: float
) -> ControllerTables:
    """Put a row off that stands in no lane."""
    deferred = replace(waiting, phase=Phase.DEFERRED, why=why)
    return replace(
        tables,
        waiting=tables.waiting.put(waiting.key, deferred),
        deferred=tables.deferred.append(Deferral(key=waiting.key, until=now + DEFER_S)),
    )


def _shortened(tables: ControllerTables, lane: Lane) -> Lanes:
    queue = tables.lanes.get(lane, pdeque()).popleft()
    return tables.lanes.set(lane, queue) if queue else tables.lanes.discard(lane)


def run(tables: ControllerTables, now: float) -> Controlled:
    """Return rows that were put off to their lanes, a bounded number a tick."""
    for _ in range(WAKES_PER_TICK):
        if not tables.deferred or tables.deferred.left.until > now:
            break
        key = tables.deferred.left.key
        tables = replace(tables, deferred=tables.deferred.popleft())
        waiting = tables.waiting.get(key)
        if waiting is not None and waiting.phase is Phase.DEFERRED:
            tables = enqueue(tables, key)
    return Step(tables=tables)
