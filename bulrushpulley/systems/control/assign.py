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

from bulrushpulley.entities.backlog import Lane, Phase, Rank, Waiting, Why
from bulrushpulley.entities.cell_view import (
    CellView,
    Reservation,
    times,
    with_reservation,
)
from bulrushpulley.entities.controller_tables import ControllerTables
from bulrushpulley.entities.observe import Decision
from bulrushpulley.entities.pending import AssignTasks, Placed
from bulrushpulley.entities.queue import Queue
from bulrushpulley.entities.step import Step
from bulrushpulley.systems.control.backlog import block, defer, head, take, with_queue
from bulrushpulley.systems.control.cells import put_cells
from bulrushpulley.systems.control.events import Controlled, then
from bulrushpulley.systems.control.moves import (
    Part,
    conditions_of,
    current_spec,
    dealt_out,
    placed_of,
    writes_of,
)
from bulrushpulley.systems.control.place import (
    TASKS_A_TRANSACTION,
    Choice,
    Memo,
    choose,
)
from bulrushpulley.systems.control.said import say
from bulrushpulley.systems.control.share import is_responsible, share, urgency
from bulrushpulley.systems.control.submissions import numbered, submit_as

ROWS_A_MOVE = 32
TASKS_A_TURN = 16
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
    departments = {turn.lane.department for turn in turns}
    most = TASKS_A_TRANSACTION if len(departments) == 1 else TASKS_A_TURN
    while turns and left > 0 and _in_flight(step.tables) < ASSIGNMENTS_IN_FLIGHT:
        lane = heapq.heappop(turns).lane
        _, first = head(step.tables, lane)
        if first is None:
            continue
        step = then(step, _attempt(step.tables, first, most, now, memo))
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


def _attempt(
    tables: ControllerTables, first: Waiting, most: int, now: float, memo: Memo
) -> Controlled:
    spec = current_spec(tables, first)
    if spec is None:
        taken = take(tables, first.lane, (first,))
        return Step(tables=defer(taken, first, now))
    wanted = min(most, _likely_tasks(tables, first))
    choice = choose(tables, first, spec, wanted, now, memo)
    if choice.cells:
        return _assigned(tables, first.lane, choice, now)
    decision = Decision(
        kind="place.wait",
        subject=first.row.spec.job,
        chosen="",
        reason=choice.why.value,
        revision=tables.revision,
    )
    return say(block(tables, first.lane, choice.why, now), (decision,), now)


def _likely_tasks(tables: ControllerTables, first: Waiting) -> int:
    """Return about how many tasks the next move of a lane may take.

    Services move one row at a time, since replicas are spread by their index.
    """
    if first.lane.service:
        return first.row.count
    rows = min(ROWS_A_MOVE, len(tables.lanes[first.lane]))
    return max(first.row.count, rows)


def _front(tables: ControllerTables, lane: Lane, tasks: int) -> tuple[Part, ...]:
    """Return the first rows of a lane that hold so many tasks."""
    found: dict[str, Part] = {}
    queue = tables.lanes.get(lane) or Queue.empty()
    while queue and tasks > 0 and len(found) < ROWS_A_MOVE:
        waiting = tables.waiting.get(queue.first)
        queue = queue.rest()
        if waiting is None or waiting.phase is not Phase.QUEUED:
            continue
        spec = current_spec(tables, waiting)
        if spec is None or waiting.key in found:
            break
        found[waiting.key] = Part(waiting=waiting, spec=spec)
        tasks -= waiting.row.count
    return tuple(found.values())


def _assigned(
    tables: ControllerTables, lane: Lane, choice: Choice, now: float
) -> Controlled:
    tables, submission_id = numbered(tables, "c")
    parts = dealt_out(_front(tables, lane, len(choice.cells)), choice.cells)
    rows = tuple(part.waiting for part in parts)
    placed = tuple(one for part in parts for one in placed_of(part))
    writes = writes_of(parts, placed)
    tables = take(tables, lane, rows)
    tables = _reserved(tables, submission_id, placed)
    decisions = tuple(_decision(tables, part, choice) for part in parts)
    said = say(tables, decisions, now)
    submitted = submit_as(
        said.tables,
        now,
        submission_id=submission_id,
        purpose=AssignTasks(sources=tuple(row.key for row in rows), placed=placed),
        conditions=conditions_of(parts, writes),
        writes=writes,
        deadline=now + SETTLE_WITHIN_S,
    )
    return then(said, submitted)


def _reserved(
    tables: ControllerTables, submission_id: str, placed: tuple[Placed, ...]
) -> ControllerTables:
    spec = placed[0].row.spec
    views: list[CellView] = []
    for cell, count in Counter(one.cell for one in placed).items():
        reservation = Reservation(
            submission_id=submission_id,
            department=spec.department,
            tasks=count,
            total=times(spec.size, count),
        )
        views.append(with_reservation(tables.cells.by_key[cell], reservation))
    return put_cells(tables, views)


def _decision(tables: ControllerTables, part: Part, choice: Choice) -> Decision:
    counts = Counter(part.cells)
    chosen = ", ".join(f"{cell} x{count}" for cell, count in counts.items())
    reason = "spread by index" if part.waiting.lane.service else "most free"
    if choice.displacing:
        reason = "no room; batch tasks may be evicted"
    return Decision(
        kind="place.assign",
        subject=part.spec.job,
        chosen=chosen,
        reason=reason,
        revision=tables.revision,
    )
