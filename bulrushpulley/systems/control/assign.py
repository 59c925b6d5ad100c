"""Assigns waiting tasks to cells, a bounded number of transactions at a time.

Urgent tasks come first, then latency-critical ones, then batch. Within a rank
the department with the smallest share is next, and within a department the lane
of the highest priority, which grows with age. A lane whose first row cannot be
placed is blocked for a while, so that it does not delay others.
"""

from __future__ import annotations

import heapq
from collections import Counter
from dataclasses import dataclass, field

from bulrushpulley.entities.backlog import Lane, Phase, Rank, WaitingRow, WaitReason
from bulrushpulley.entities.cell_view import (
    CellView,
    Reservation,
    multiply_resources,
    with_reservation,
)
from bulrushpulley.entities.changing import replace
from bulrushpulley.entities.controller_tables import ControllerTables
from bulrushpulley.entities.observe import Decision
from bulrushpulley.entities.pending import AssignTasks, PlacedTask
from bulrushpulley.entities.queue import Queue
from bulrushpulley.entities.step import Step
from bulrushpulley.systems.control.backlog import (
    block,
    defer,
    head,
    mark_assigning,
    with_queue,
)
from bulrushpulley.systems.control.cells import put_cells
from bulrushpulley.systems.control.decision_limit import limit_decisions
from bulrushpulley.systems.control.events import ControllerStep, join_steps
from bulrushpulley.systems.control.moves import (
    RowMove,
    conditions_of,
    current_spec,
    distribute_cells,
    placed_tasks,
    writes_of,
)
from bulrushpulley.systems.control.place import (
    MAX_TASKS_PER_TRANSACTION,
    Choice,
    PlacementCache,
    choose_cells,
)
from bulrushpulley.systems.control.share import (
    aged_priority,
    department_share,
    is_responsible,
)
from bulrushpulley.systems.control.submissions import submit_as, with_new_id

MAX_ROWS_PER_MOVE = 32
# Moves are smaller while several departments compete, so that they take turns.
MAX_TASKS_PER_TURN = 16
MAX_ASSIGNMENTS_IN_FLIGHT = 32
MAX_ATTEMPTS_PER_TICK = 64
ASSIGNMENT_TIMEOUT_S = 5.0


@dataclass(frozen=True, kw_only=True, slots=True, order=True)
class LaneTurn:
    """A lane's position in the order of its rank; `key` is its first row's key."""

    department_share: float
    negated_priority: float
    key: str
    lane: Lane = field(compare=False)


def run(tables: ControllerTables, now: float) -> ControllerStep:
    """Assign the tasks that fit, in order, within the limits of one tick."""
    if not tables.ready or tables.leaving:
        return Step(tables=tables)
    step = Step(tables=tables)
    by_rank: dict[Rank, list[Lane]] = {rank: [] for rank in Rank}
    for lane in tables.ready:
        by_rank[lane.rank].append(lane)
    cache = PlacementCache()
    attempts_left = MAX_ATTEMPTS_PER_TICK
    for lanes in by_rank.values():
        rank_step, attempts_left = _assign_rank(
            step.tables, lanes, attempts_left, now, cache
        )
        step = join_steps(step, rank_step)
    return step


def _assign_rank(
    tables: ControllerTables,
    lanes: list[Lane],
    attempts_left: int,
    now: float,
    cache: PlacementCache,
) -> tuple[ControllerStep, int]:
    step = Step(tables=tables)
    turns: list[LaneTurn] = []
    for lane in lanes:
        step = replace(step, tables=_add_turn(step.tables, lane, turns, now))
    departments = {turn.lane.department for turn in turns}
    max_tasks = (
        MAX_TASKS_PER_TRANSACTION if len(departments) == 1 else MAX_TASKS_PER_TURN
    )
    while (
        turns
        and attempts_left > 0
        and _in_flight(step.tables) < MAX_ASSIGNMENTS_IN_FLIGHT
    ):
        lane = heapq.heappop(turns).lane
        _, first = head(step.tables, lane)
        if first is None:
            continue
        step = join_steps(
            step, _attempt_assignment(step.tables, first, max_tasks, now, cache)
        )
        attempts_left -= 1
        if lane in step.tables.ready:
            heapq.heappush(turns, _turn(step.tables, lane, first, now))
    return step, attempts_left


def _in_flight(tables: ControllerTables) -> int:
    return tables.pending.count_where("purpose", AssignTasks.__name__)


def _add_turn(
    tables: ControllerTables, lane: Lane, turns: list[LaneTurn], now: float
) -> ControllerTables:
    """Add a lane's turn; drop an empty lane, block one that another entry assigns."""
    queue, first = head(tables, lane)
    if first is None:
        return with_queue(tables, lane, queue)
    if not is_responsible(tables, lane.department):
        return block(tables, lane, WaitReason.OTHER_ENTRY, now)
    heapq.heappush(turns, _turn(tables, lane, first, now))
    return tables


def _turn(
    tables: ControllerTables, lane: Lane, first: WaitingRow, now: float
) -> LaneTurn:
    return LaneTurn(
        department_share=department_share(tables, lane.department),
        negated_priority=-aged_priority(lane, first, now),
        key=first.key,
        lane=lane,
    )


def _attempt_assignment(
    tables: ControllerTables,
    first: WaitingRow,
    max_tasks: int,
    now: float,
    cache: PlacementCache,
) -> ControllerStep:
    spec = current_spec(tables, first)
    if spec is None:
        # Marking the row takes it out of its lane, where it would delay the others.
        assigning = mark_assigning(tables, first.lane, (first,))
        return Step(tables=defer(assigning, first, now))
    task_count = min(max_tasks, _likely_tasks(tables, first))
    choice = choose_cells(tables, first, spec, task_count, now, cache)
    if choice.cells:
        return _submit_assignment(tables, first.lane, choice, now)
    decision = Decision(
        kind="place.wait",
        subject=first.row.spec.job,
        chosen="",
        reason=choice.wait_reason.value,
        revision=tables.revision,
    )
    return limit_decisions(
        block(tables, first.lane, choice.wait_reason, now), (decision,), now
    )


def _likely_tasks(tables: ControllerTables, first: WaitingRow) -> int:
    """Estimate how many tasks the next move of a lane may take.

    Services move one row at a time, since replicas are spread by their index.
    """
    if first.lane.service:
        return first.row.count
    rows = min(MAX_ROWS_PER_MOVE, len(tables.lanes[first.lane]))
    return max(first.row.count, rows)


def _first_row_moves(
    tables: ControllerTables, lane: Lane, task_count: int
) -> tuple[RowMove, ...]:
    """Return the first rows of a lane that hold `task_count` tasks, without cells."""
    move_by_key: dict[str, RowMove] = {}
    queue = tables.lanes.get(lane) or Queue.empty()
    while queue and task_count > 0 and len(move_by_key) < MAX_ROWS_PER_MOVE:
        waiting = tables.waiting.get(queue.first)
        queue = queue.rest()
        if waiting is None or waiting.phase is not Phase.QUEUED:
            continue
        spec = current_spec(tables, waiting)
        if spec is None or waiting.key in move_by_key:
            break
        move_by_key[waiting.key] = RowMove(waiting=waiting, spec=spec)
        task_count -= waiting.row.count
    return tuple(move_by_key.values())


def _submit_assignment(
    tables: ControllerTables, lane: Lane, choice: Choice, now: float
) -> ControllerStep:
    tables, submission_id = with_new_id(tables, "c")
    row_moves = distribute_cells(
        _first_row_moves(tables, lane, len(choice.cells)), choice.cells
    )
    rows = tuple(row_move.waiting for row_move in row_moves)
    placed = tuple(task for row_move in row_moves for task in placed_tasks(row_move))
    writes = writes_of(row_moves, placed)
    tables = mark_assigning(tables, lane, rows)
    tables = _reserve(tables, submission_id, placed)
    decisions = tuple(_decision(tables, row_move, choice) for row_move in row_moves)
    logged = limit_decisions(tables, decisions, now)
    submitted = submit_as(
        logged.tables,
        now,
        submission_id=submission_id,
        purpose=AssignTasks(sources=tuple(row.key for row in rows), placed=placed),
        conditions=conditions_of(row_moves, writes),
        writes=writes,
        deadline=now + ASSIGNMENT_TIMEOUT_S,
    )
    return join_steps(logged, submitted)


def _reserve(
    tables: ControllerTables, submission_id: str, placed: tuple[PlacedTask, ...]
) -> ControllerTables:
    spec = placed[0].row.spec
    views: list[CellView] = []
    for cell, count in Counter(task.cell for task in placed).items():
        reservation = Reservation(
            submission_id=submission_id,
            department=spec.department,
            tasks=count,
            total=multiply_resources(spec.size, count),
        )
        views.append(with_reservation(tables.cells.by_key[cell], reservation))
    return put_cells(tables, views)


def _decision(tables: ControllerTables, row_move: RowMove, choice: Choice) -> Decision:
    counts = Counter(row_move.cells)
    chosen = ", ".join(f"{cell} x{count}" for cell, count in counts.items())
    reason = (
        "spread by index" if row_move.waiting.lane.service else "most free capacity"
    )
    if choice.displacing:
        reason = "no room; batch tasks may be evicted"
    return Decision(
        kind="place.assign",
        subject=row_move.spec.job,
        chosen=chosen,
        reason=reason,
        revision=tables.revision,
    )
