"""Explains where a task is, or why it waits."""

from __future__ import annotations

from bulrushpulley.entities import operations as ops
from bulrushpulley.entities.backlog import Phase, WaitingRow, WaitReason
from bulrushpulley.entities.commit import VersionedRow
from bulrushpulley.entities.controller_tables import ControllerTables
from bulrushpulley.entities.outcome import indexes_of
from bulrushpulley.entities.pending import Enquiry
from bulrushpulley.entities.rows import TaskRow
from bulrushpulley.entities.status import Explanation
from bulrushpulley.errors import Code, Problem
from bulrushpulley.systems.control.moves import current_spec
from bulrushpulley.systems.control.place import PlacementCache, choose_cells
from bulrushpulley.systems.control.share import is_responsible


def explain_waiting(
    tables: ControllerTables, call: ops.AskExplain, now: float
) -> Explanation | None:
    """Explain a task that waits in the backlog; return None if it does not."""
    job, index = call.task_id.split("/")
    for waiting in tables.waiting.rows_where("job", job):
        first = waiting.row.spec.index
        if first <= int(index) < first + waiting.row.count:
            return Explanation(
                call_id=call.call_id,
                task_id=call.task_id,
                state="waiting",
                detail=waiting_reason(tables, waiting, now),
                generation=waiting.row.generation,
                attempts=waiting.row.attempts,
            )
    return None


def waiting_reason(tables: ControllerTables, waiting: WaitingRow, now: float) -> str:
    """Return why a row waits, by a trial placement unless it is being assigned."""
    if waiting.phase is Phase.ASSIGNING:
        return WaitReason.ASSIGNING.value
    spec = current_spec(tables, waiting)
    if spec is None:
        return WaitReason.CLOSED.value
    choice = choose_cells(
        tables, waiting, spec, waiting.row.count, now, PlacementCache()
    )
    if not choice.cells:
        return choice.wait_reason.value
    if not is_responsible(tables, spec.department):
        return WaitReason.OTHER_ENTRY.value
    return f"{WaitReason.QUEUED.value}; cell {choice.cells[0]} has room"


def explain_from_rows(
    call: ops.AskExplain, enquiry: Enquiry
) -> Explanation | ops.Reject:
    """Explain a task from the rows that were read for it."""
    index = int(call.task_id.split("/")[1])
    for row in enquiry.rows:
        if row.key.startswith("task/") and row.key.endswith(f"/{call.task_id}"):
            return _explain_held(call, row)
    for row in enquiry.rows:
        if row.key.startswith("done/") and index in indexes_of(row.row):
            return _explain_done(call, row)
    if enquiry.failed:
        return Explanation(
            call_id=call.call_id,
            task_id=call.task_id,
            state="unknown",
            detail=enquiry.failed,
        )
    problem = Problem(
        code=Code.NOT_FOUND,
        step="controller.explain",
        peer="self",
        detail=f"no task {call.task_id} waits, is held by a cell or has ended",
    )
    return ops.Reject(call_id=call.call_id, problem=problem)


def _explain_held(call: ops.AskExplain, row: VersionedRow) -> Explanation:
    return _explanation(call, row, state="held", cell=row.key.split("/")[1])


def _explain_done(call: ops.AskExplain, row: VersionedRow) -> Explanation:
    return _explanation(call, row, state="done", cell="")


def _explanation(
    call: ops.AskExplain, row: VersionedRow, *, state: str, cell: str
) -> Explanation:
    task = row.row
    if not isinstance(task, TaskRow):
        return Explanation(
            call_id=call.call_id,
            task_id=call.task_id,
            state=state,
            detail="cancelled before any cell held it",
        )
    detail = f"{task.state.value}: {task.reason}" if task.reason else task.state.value
    return Explanation(
        call_id=call.call_id,
        task_id=call.task_id,
        state=state,
        detail=detail,
        cell=cell,
        worker_id=task.worker_id,
        generation=task.generation,
        attempts=task.attempts,
    )
