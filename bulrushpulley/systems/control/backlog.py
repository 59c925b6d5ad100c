"""Maintains the backlog: its rows by key, their lanes and the deferred rows.

All changes of waiting rows go through these functions, so that a row is in its
lane exactly while its phase is `QUEUED`. A marker row under ``closing`` starts the
closing of its record instead.
"""

from __future__ import annotations

from collections.abc import Iterable

from bulrushpulley.entities.backlog import (
    CLOSING_MARKER,
    Closing,
    Deferral,
    Lane,
    Phase,
    Rank,
    WaitingRow,
    WaitReason,
    Wake,
    lane_of,
)
from bulrushpulley.entities.changing import replace
from bulrushpulley.entities.commit import VersionedRow
from bulrushpulley.entities.controller_tables import MAX_RECENT_JOBS, ControllerTables
from bulrushpulley.entities.link import Fetched
from bulrushpulley.entities.pending import Poll, ReadBacklog
from bulrushpulley.entities.queue import Queue
from bulrushpulley.entities.rows import BacklogRow, TaskSpec
from bulrushpulley.entities.step import Step
from bulrushpulley.systems.control.events import ControllerStep, handle_rows

BACKLOG_PREFIX = "backlog/"
BACKLOG_READ_INTERVAL_S = 0.75
LANE_RETRY_DELAY_S = {Rank.URGENT: 0.5, Rank.LATENCY_CRITICAL: 1.0, Rank.BATCH: 3.0}
MAX_EARLY_WAKES_PER_TICK = 16
ROW_RETRY_DELAY_S = 1.0
MAX_WAKES_PER_TICK = 64


def poll() -> Poll:
    """Return the poll of the backlog."""
    return Poll(
        target=ReadBacklog(), prefix=BACKLOG_PREFIX, interval_s=BACKLOG_READ_INTERVAL_S
    )


@handle_rows.register
def _(
    target: ReadBacklog,
    rows: tuple[VersionedRow, ...],
    event: Fetched,
    tables: ControllerTables,
    now: float,
) -> ControllerStep:
    return Step(tables=handle_backlog_rows(tables, rows, now))


def handle_backlog_rows(
    tables: ControllerTables,
    rows: Iterable[VersionedRow],
    now: float,
    *,
    at_front: bool = False,
) -> ControllerTables:
    """Apply backlog rows of the table service; `at_front` puts new ones in front."""
    for row in rows:
        if row.key.startswith(BACKLOG_PREFIX):
            tables = _handle_row(tables, row, now, at_front)
    return tables


def _handle_row(
    tables: ControllerTables, row: VersionedRow, now: float, at_front: bool
) -> ControllerTables:
    if row.key.endswith(f"/{CLOSING_MARKER}"):
        return _handle_marker(tables, row, now)
    if not isinstance(row.row, BacklogRow):
        return replace(tables, waiting=tables.waiting.drop(row.key))
    known = tables.waiting.get(row.key)
    if known is not None and known.version >= row.version:
        return tables
    lane = lane_of(row.row.spec)
    if known is not None:
        newer = replace(known, row=row.row, version=row.version)
        return replace(tables, waiting=tables.waiting.put(row.key, newer))
    waiting = WaitingRow(
        key=row.key, row=row.row, version=row.version, lane=lane, first_seen_at=now
    )
    tables = replace(
        tables,
        waiting=tables.waiting.put(row.key, waiting),
        recent_jobs=_with_recent(tables, row.row.spec),
    )
    return enqueue(tables, row.key, at_front=at_front)


def _with_recent(tables: ControllerTables, spec: TaskSpec) -> tuple[str, ...]:
    if spec.kind != "job" or spec.job in tables.recent_jobs:
        return tables.recent_jobs
    return (*tables.recent_jobs, spec.job)[-MAX_RECENT_JOBS:]


def _handle_marker(
    tables: ControllerTables, row: VersionedRow, now: float
) -> ControllerTables:
    job = row.key.split("/")[1]
    if not isinstance(row.row, BacklogRow):
        return drop_closing(tables, job)
    known = tables.closings.get(job)
    if known is not None and known.version >= row.version:
        return tables
    closing = Closing(marker=row.row, version=row.version, next_at=now)
    return replace(tables, closings=tables.closings.put(job, closing))


def drop_closing(tables: ControllerTables, job: str) -> ControllerTables:
    """Drop the state of the closing of a record."""
    return replace(
        tables,
        closings=tables.closings.drop(job),
        closing_outcomes=tables.closing_outcomes.discard(job),
        polls=tables.polls.drop(f"done/{job}/"),
    )


def enqueue(
    tables: ControllerTables, key: str, *, at_front: bool = False
) -> ControllerTables:
    """Put a row into its lane, at the end or, if `at_front`, at the front."""
    waiting = tables.waiting.get(key)
    if waiting is None:
        return tables
    lane = waiting.lane
    queue = tables.lanes.get(lane) or Queue.empty()
    queue = queue.prepend(key) if at_front else queue.append(key)
    if waiting.phase is not Phase.QUEUED:
        queued = replace(waiting, phase=Phase.QUEUED)
        tables = replace(tables, waiting=tables.waiting.put(key, queued))
    ready = tables.ready if lane in tables.blocked else tables.ready.add(lane)
    return replace(tables, lanes=tables.lanes.set(lane, queue), ready=ready)


def head(tables: ControllerTables, lane: Lane) -> tuple[Queue[str], WaitingRow | None]:
    """Return the queue of a lane without stale keys in front, and its first row."""
    queue = tables.lanes.get(lane) or Queue.empty()
    while queue:
        waiting = tables.waiting.get(queue.first)
        if waiting is not None and waiting.phase is Phase.QUEUED:
            return queue, waiting
        queue = queue.rest()
    return queue, None


def with_queue(
    tables: ControllerTables, lane: Lane, queue: Queue[str]
) -> ControllerTables:
    """Set the queue of a lane; a lane with an empty queue is dropped."""
    if queue:
        return replace(tables, lanes=tables.lanes.set(lane, queue))
    return replace(
        tables,
        lanes=tables.lanes.discard(lane),
        ready=tables.ready.discard(lane),
        blocked=tables.blocked.discard(lane),
    )


def block(
    tables: ControllerTables, lane: Lane, wait_reason: WaitReason, now: float
) -> ControllerTables:
    """Exclude a lane from assignment for the `LANE_RETRY_DELAY_S` of its rank."""
    wake = Wake(lane=lane, at=now + LANE_RETRY_DELAY_S[lane.rank])
    queue = tables.wakes.get(lane.rank) or Queue.empty()
    return replace(
        tables,
        ready=tables.ready.discard(lane),
        blocked=tables.blocked.set(lane, wait_reason),
        wakes=tables.wakes.set(lane.rank, queue.append(wake)),
    )


def mark_assigning(
    tables: ControllerTables, lane: Lane, rows: tuple[WaitingRow, ...]
) -> ControllerTables:
    """Mark the first rows of a lane as being assigned and remove them from it."""
    table = tables.waiting
    for waiting in rows:
        table = table.put(waiting.key, replace(waiting, phase=Phase.ASSIGNING))
    tables = replace(tables, waiting=table)
    queue, _ = head(tables, lane)
    return with_queue(tables, lane, queue)


def defer(
    tables: ControllerTables, waiting: WaitingRow, now: float
) -> ControllerTables:
    """Defer a row that is in no lane, for `ROW_RETRY_DELAY_S`."""
    deferred = replace(waiting, phase=Phase.DEFERRED)
    return replace(
        tables,
        waiting=tables.waiting.put(waiting.key, deferred),
        deferred=tables.deferred.append(
            Deferral(key=waiting.key, until=now + ROW_RETRY_DELAY_S)
        ),
    )


def run(tables: ControllerTables, now: float) -> ControllerStep:
    """Make lanes and rows ready whose delay is over, a bounded number per tick.

    When a cell has more free capacity than before, some lanes are unblocked early.
    """
    for rank in Rank:
        tables = _wake_due(tables, rank, now)
    if tables.capacity_freed:
        tables = _wake_early(replace(tables, capacity_freed=False))
    for _ in range(MAX_WAKES_PER_TICK):
        if not tables.deferred or tables.deferred.first.until > now:
            break
        key = tables.deferred.first.key
        tables = replace(tables, deferred=tables.deferred.rest())
        waiting = tables.waiting.get(key)
        if waiting is not None and waiting.phase is Phase.DEFERRED:
            tables = enqueue(tables, key)
    return Step(tables=tables)


def _wake_due(tables: ControllerTables, rank: Rank, now: float) -> ControllerTables:
    queue = tables.wakes.get(rank)
    lanes: list[Lane] = []
    while queue and len(lanes) < MAX_WAKES_PER_TICK and queue.first.at <= now:
        lanes.append(queue.first.lane)
        queue = queue.rest()
    return _unblock(tables, rank, queue, lanes) if queue is not None else tables


def _wake_early(tables: ControllerTables) -> ControllerTables:
    for rank in Rank:
        queue = tables.wakes.get(rank)
        lanes: list[Lane] = []
        while queue and len(lanes) < MAX_EARLY_WAKES_PER_TICK:
            lanes.append(queue.first.lane)
            queue = queue.rest()
        if queue is not None:
            tables = _unblock(tables, rank, queue, lanes)
    return tables


def _unblock(
    tables: ControllerTables, rank: Rank, queue: Queue[Wake], lanes: list[Lane]
) -> ControllerTables:
    if not lanes:
        return tables
    ready, blocked = tables.ready, tables.blocked
    for lane in lanes:
        blocked = blocked.discard(lane)
        ready = ready.add(lane) if lane in tables.lanes else ready
    return replace(
        tables,
        wakes=tables.wakes.set(rank, queue),
        blocked=blocked,
        ready=ready,
    )
