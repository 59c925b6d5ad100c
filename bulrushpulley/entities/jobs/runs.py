"""Runs of tasks on a backend server, shared by agents and the scheduler."""

from __future__ import annotations

from dataclasses import dataclass

from bulrushpulley.entities.resources import Resources


@dataclass(frozen=True, kw_only=True, slots=True)
class RunRef:
    """Identifies one run of a task."""

    task_id: str
    run: int

    @property
    def key(self) -> str:
        """The key of the run in tables."""
        return f"{self.task_id}#{self.run}"


@dataclass(frozen=True, kw_only=True, slots=True)
class RunOrder:
    """Asks an agent to start a run, or to keep it if it exists already.

    `committed` is the capacity reserved for the run. `target_ms`, the latency target,
    is above zero for serving tasks; `disturbs` marks a task that may slow serving
    tasks. `ticket` is the one that the advice service issued for the backend server.
    """

    task_id: str
    run: int
    payload: str
    committed: Resources
    checkpoint: str = ""
    target_ms: float = 0.0
    image: str = ""
    disturbs: bool = False
    ticket: str = ""

    @property
    def key(self) -> str:
        """The key of the run in tables."""
        return f"{self.task_id}#{self.run}"


@dataclass(frozen=True, kw_only=True, slots=True)
class RunStatus:
    """A run that the backend server lists.

    For a lasting task, `percent` reaches 100 when its startup is over. `measure` is the
    tail latency in milliseconds of a serving task, and the processors in use, in
    thousandths, of any other.
    """

    task_id: str
    run: int
    checkpoint: str = ""
    percent: int = 100
    measure: int = 0

    @property
    def key(self) -> str:
        """The key of the run in tables."""
        return f"{self.task_id}#{self.run}"


@dataclass(frozen=True, kw_only=True, slots=True)
class RunEnd:
    """How a run ended.

    `number` counts the ends of one incarnation of a backend server. `how` is the kind
    of ending; see `ending_of`. `age_s` is for how long the agent had known of the end
    when it sent it, on its own clock; earlier versions leave it at zero.
    """

    number: int
    task_id: str
    run: int
    how: str
    checkpoint: str = ""
    age_s: float = 0.0

    @property
    def key(self) -> str:
        """The key of the run in tables."""
        return f"{self.task_id}#{self.run}"


@dataclass(frozen=True, kw_only=True, slots=True)
class Ending:
    """Base class for the ways in which a run ends."""

    checkpoint: str = ""


@dataclass(frozen=True, kw_only=True, slots=True)
class Done(Ending):
    """The task completed its work."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Failed(Ending):
    """The run failed, whether the task or its backend server was at fault."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Stopped(Ending):
    """The run was stopped on request, or will never start."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Lost(Ending):
    """The run ended because its lease, its backend server or its gang was lost."""

    reason: str = ""


def ending_of(how: str, checkpoint: str) -> Ending:
    """Return the ending for the value of `RunEnd.how`; unknown values mean `Lost`."""
    kinds = {"done": Done, "failed": Failed, "stopped": Stopped}
    kind = kinds.get(how)
    if kind is None:
        return Lost(checkpoint=checkpoint, reason=how)
    return kind(checkpoint=checkpoint)
