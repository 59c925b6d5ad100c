"""Spans for which nothing of a job has run although a turn has come."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from bulrushpulley.entities.jobs.task import TaskState
from bulrushpulley.entities.table import Table


@dataclass(frozen=True, kw_only=True, slots=True)
class IdleSpan:
    """A span for which nothing has run of a job, or of one of its lasting tasks.

    `subject` is the id of the job or of the lasting task, and `task_id` a task whose
    turn has come. `open_count` is the number of the job's tasks that are not complete.
    There has been room for the task twice since `room_since`, None if there is none
    now; `longest_room_s` is the longest such time before. Whether there is room was
    last examined at `room_examined_at`, or never if that is zero.
    `is_logged` is set once it has had a line. The most advanced of the tasks has been
    in `state` since `state_since`, and before for `seconds_by_state` in each state.
    `held_back` says what excluded the hosts with room when that was last examined, at
    `explained_at`.
    """

    subject: str
    job_id: str
    task_id: str
    since: float
    open_count: int
    state: TaskState
    state_since: float
    room_examined_at: float = 0.0
    room_since: float | None = None
    longest_room_s: float = 0.0
    is_logged: bool = False
    seconds_by_state: Mapping[TaskState, float] = field(default_factory=dict)
    held_back: str = ""
    explained_at: float = 0.0

    def room_s(self, at: float) -> float:
        """Return the longest time, up to `at`, with room for the task twice."""
        lasting_s = at - self.room_since if self.room_since is not None else 0.0
        return max(self.longest_room_s, lasting_s)

    def state_s(self, at: float) -> Mapping[TaskState, float]:
        """Return for how long, up to `at`, the tasks have been in each state."""
        lasting_s = max(0.0, at - self.state_since)
        before_s = self.seconds_by_state.get(self.state, 0.0)
        return {**self.seconds_by_state, self.state: before_s + lasting_s}


@dataclass(frozen=True, kw_only=True, slots=True)
class EndedSpan:
    """A span that has ended and is to be logged."""

    span: IdleSpan
    ended_at: float

    @property
    def idle_s(self) -> float:
        """The length of the span."""
        return self.ended_at - self.span.since

    @property
    def room_s(self) -> float:
        """The longest time within the span with room for the task twice."""
        return self.span.room_s(self.ended_at)


@dataclass(frozen=True, kw_only=True, slots=True)
class IdleJobTables:
    """The spans that last, by subject, and those that ended since the last report.

    The jobs were last examined at `examined_at`, and are again at `next_due_at`.
    """

    spans: Table[IdleSpan] = field(default_factory=Table.empty)
    ended: tuple[EndedSpan, ...] = ()
    examined_at: float = 0.0
    next_due_at: float = 0.0
    reported_at: float = 0.0
