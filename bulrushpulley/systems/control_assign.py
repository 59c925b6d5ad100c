"""Assigns waiting tasks to cells, a bounded number of transactions at a time.

Urgent tasks come first, then latency-critical ones, then batch. Within a rank
the department with the smallest share is next, and within a department the lane
of highest priority and age. A row that cannot be placed is put off, so that it
does not hold up others.
"""

from __future__ import annotations

import heapq
from collections import Counter
from dataclasses import dataclass, field, replace

from bulrushpulley.entities.backlog import (
    Closing,
    Lane,
    Rank,
    Waiting,
    Why,
    backlog_key,
)
from bulrushpulley.entities.cell_view import Reservation, times, with_reservation
from bulrushpulley.entities.commit import Condition, Write
from bulrushpulley.entities.controller_tables import ControllerTables
from bulrushpulley.entities.observe import Decision
from bulrushpulley.entities.pending import AssignTasks, Placed
from bulrushpulley.entities.records import ServiceRecord
from bulrushpulley.entities.rows import (
    BacklogRow,
    TaskRow,
    TaskSpec,
    TaskState,
)
from bulrushpulley.entities.step import Step
from bulrushpulley.systems.control_backlog import (
    block,
    defer,
    head,
    take,
    with_queue,
)
from bulrushpulley.systems.control_cells import put_cell
from bulrushpulley.systems.control_events import Controlled, then
from bulrushpulley.systems.control_place import Choice, Memo, choose
from bulrushpulley.systems.control_records import find, record_key
from bulrushpulley.systems.control_said import say
from bulrushpulley.systems.control_share import is_responsible, share, urgency
from bulrushpulley.systems.control_submissions import numbered, submit_as

ASSIGNMENTS_IN_FLIGHT = 32
ROWS_A_TICK = 64
SETTLE_WITHIN_S = 5.0


@dataclass(frozen=True, kw_only=True, slots=True, order=True)
class Turn:
    """A lane's place in the order of a rank; `key` is that of its first row."""

    share: float
    minus_urgency: float
    key: str
    lane: Lane = field(compare=False)


def run(tables: ControllerTables, now: float) -> Controlled:
    """Assign what has room, in order, within the bounds of one tick."""
    if not tables.ready or tables.leaving:
        return Step(tables=tables)
    step = Step(tables=tables)
    by_rank: dict[Rank, list[Lane]] = {rank: [] for rank in Rank}
    for lane in tables.ready:
        by_rank[lane.rank].append(lane)
    memo = Memo()
    left = ROWS_A_TICK
    for lanes in by_rank.values():
        ranked, left = _assign_rank(step.tables, lanes, left, now, memo)
        step = then(step, ranked)
    return step


def _assign_rank(
    tables: ControllerTables, lanes: list[Lane], left: int, now: float, memo: Memo
) -> tuple[Controlled, int]:
    step = Step(tables=tables)
    turns: list[Turn] = []
    for lane in lanes:
        step = replace(step, tables=_queue_up(step.tables, lane, turns, now))
    while turns and left > 0 and _in_flight(step.tables) < ASSIGNMENTS_IN_FLIGHT:
        lane = heapq.heappop(turns).lane
        _, first = head(step.tables, lane)
        if first is None:
            continue
        step = then(step, _attempt(step.tables, first, now, memo))
        left -= 1
        if lane in step.tables.ready:
            heapq.heappush(turns, _turn(step.tables, lane, first, now))
    return step, left


def _in_flight(tables: ControllerTables) -> int:
    return tables.pending.count_where("purpose", AssignTasks.__name__)


def _queue_up(
    tables: ControllerTables, lane: Lane, turns: list[Turn], now: float
) -> ControllerTables:
    """Give a lane its turn, or set it aside if it is empty or another entry's."""
    queue, first = head(tables, lane)
    if first is None:
        return with_queue(tables, lane, queue)
    if not is_responsible(tables, lane.department):
        return block(tables, lane, Why.OTHER_ENTRY, now)
    heapq.heappush(turns, _turn(tables, lane, first, now))
    return tables


def _turn(tables: ControllerTables, lane: Lane, first: Waiting, now: float) -> Turn:
    return Turn(
        share=share(tables, lane.department),
        minus_urgency=-urgency(lane, first, now),
        key=first.key,
        lane=lane,
    )


def is_closing(closing: Closing | None, *indexes: int) -> bool:
    """Tell whether one of the indexes is being stopped for good."""
    return closing is not None and any(closing.covers(index) for index in indexes)


def current_spec(tables: ControllerTables, waiting: Waiting) -> TaskSpec | None:
    """Return what a waiting row's tasks run by the record now in force.

    None means that they are not to run: the record is being closed or is not
    known yet. A job's record never changes but by cancellation.
    """
    spec = waiting.row.spec
    closing = tables.closings.get(spec.job)
    last = spec.index + waiting.row.count - 1
    if is_closing(closing, spec.index, last):
        return None
    if spec.kind == "job":
        return replace(spec, record_version=spec.record_version or waiting.version)
    record = find(tables, "service", spec.job, ServiceRecord)
    held = tables.records.get(record_key("service", spec.job))
    if record is None or held is None or last >= record.replicas:
        return None
    return replace(
        spec,
        record_version=held.version,
        size=record.size,
        department=record.department,
        failure_domains=record.failure_domains,
    )


def _attempt(
    tables: ControllerTables, waiting: Waiting, now: float, memo: Memo
) -> Controlled:
    spec = current_spec(tables, waiting)
    if spec is None:
        return Step(tables=defer(take(tables, waiting), waiting, now))
    choice = choose(tables, waiting, spec, now, memo)
    if choice.cells:
        return _assigned(tables, waiting, spec, choice, now)
    decision = Decision(
        kind="place.wait",
        subject=spec.job,
        chosen="",
        reason=choice.why.value,
        revision=tables.revision,
    )
    return say(block(tables, waiting.lane, choice.why, now), decision, now)


def _assigned(
    tables: ControllerTables,
    waiting: Waiting,
    spec: TaskSpec,
    choice: Choice,
    now: float,
) -> Controlled:
    tables, submission_id = numbered(tables, "c")
    placed = tuple(
        _placed(waiting.row, replace(spec, index=spec.index + place), cell)
        for place, cell in enumerate(choice.cells)
    )
    tables = take(tables, waiting)
    tables = _reserved(tables, submission_id, spec, choice)
    said = say(tables, _decision(tables, spec, choice), now)
    submitted = submit_as(
        said.tables,
        now,
        submission_id=submission_id,
        purpose=AssignTasks(source=waiting.key, placed=placed),
        conditions=_conditions(waiting, spec, placed),
        writes=_writes(waiting, spec, placed),
        deadline=now + SETTLE_WITHIN_S,
    )
    commands = (*said.commands, *submitted.commands)
    return Step(tables=submitted.tables, commands=commands)


def _placed(row: BacklogRow, spec: TaskSpec, cell: str) -> Placed:
    task = TaskRow(
        spec=spec,
        state=TaskState.WAITING,
        generation=row.generation,
        checkpoint=row.checkpoint,
        attempts=row.attempts,
    )
    return Placed(cell=cell, key=f"task/{cell}/{spec.task_id}", row=task)


def remainder(waiting: Waiting, spec: TaskSpec, taken: int) -> Write | None:
    """Return the write of the tasks that are left in the backlog, if any."""
    if taken == waiting.row.count:
        return None
    first = spec.index + taken
    left = replace(
        waiting.row,
        spec=replace(spec, index=first),
        count=waiting.row.count - taken,
    )
    return Write(key=backlog_key(spec.job, first), row=left)


def _conditions(
    waiting: Waiting, spec: TaskSpec, placed: tuple[Placed, ...]
) -> tuple[Condition, ...]:
    left = remainder(waiting, spec, len(placed))
    absent = [one.key for one in placed] + ([left.key] if left else [])
    return (
        Condition(key=waiting.key, version=waiting.version),
        Condition(key=spec.record_key, version=spec.record_version),
        *(Condition(key=key, version=0) for key in absent),
    )


def _writes(
    waiting: Waiting, spec: TaskSpec, placed: tuple[Placed, ...]
) -> tuple[Write, ...]:
    left = remainder(waiting, spec, len(placed))
    return (
        Write(key=waiting.key, row=None),
        *(Write(key=one.key, row=one.row) for one in placed),
        *((left,) if left else ()),
    )


def _reserved(
    tables: ControllerTables, submission_id: str, spec: TaskSpec, choice: Choice
) -> ControllerTables:
    for cell, count in Counter(choice.cells).items():
        reservation = Reservation(
            submission_id=submission_id,
            department=spec.department,
            tasks=count,
            total=times(spec.size, count),
        )
        view = with_reservation(tables.cells.by_key[cell], reservation)
        tables = put_cell(tables, view)
    return tables


def _decision(tables: ControllerTables, spec: TaskSpec, choice: Choice) -> Decision:
    counts = Counter(choice.cells)
    chosen = ", ".join(f"{cell} x{count}" for cell, count in counts.items())
    reason = "most free" if spec.kind == "job" else "spread by index"
    if choice.displacing:
        reason = "no room; batch tasks may be evicted"
    return Decision(
        kind="place.assign",
        subject=spec.job,
        chosen=chosen,
        reason=reason,
        revision=tables.revision,
    )
