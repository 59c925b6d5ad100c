"""Runs of tasks on a backend server, as agents and the scheduler speak of them."""

from __future__ import annotations

from dataclasses import dataclass

from bulrushpulley.entities.resources import Resources


@dataclass(frozen=True, kw_only=True, slots=True)
class RunRef:
    """Names one run of a task."""

    task_id: str
    run: int

    @property
    def key(self) -> str:
        """The key of the run in tables."""
        return f"{self.task_id}#{self.run}"


@dataclass(frozen=True, kw_only=True, slots=True)
class RunOrder:
    """Asks an agent to have a run started, or to keep it if it is there.

    `committed` is the room that the run takes. `target_ms` is above zero for a task
    that serves, `disturbs` marks one that may slow those that serve. `ticket` is what
    advice gave for its backend server.
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

    `measure` is the tail latency in milliseconds of a task that serves, and the
    processors in use, in thousandths, of any other.
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
    """How a run ended; `number` counts the ends of one life of a backend server.

    `how` is the kind of `Ending`, by its value.
    """

    number: int
    task_id: str
    run: int
    how: str
    checkpoint: str = ""

    @property
    def key(self) -> str:
        """The key of the run in tables."""
        return f"{self.task_id}#{self.run}"


@dataclass(frozen=True, kw_only=True, slots=True)
class Ending:
    """The base of the ways in which a run ends."""

    checkpoint: str = ""


@dataclass(frozen=True, kw_only=True, slots=True)
class Done(Ending):
    """The task completed its work."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Failed(Ending):
    """The run failed, by its own fault or its backend server's."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Stopped(Ending):
    """The run was stopped by order, or will never start."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Lost(Ending):
    """The run ended for want of a lease, of its backend server or of its gang."""

    reason: str = ""


def ending_of(how: str, checkpoint: str) -> Ending:
    """Return the ending that a backend server's word for it stands for."""
    kinds = {"done": Done, "failed": Failed, "stopped": Stopped}
    kind = kinds.get(how)
    if kind is None:
        return Lost(checkpoint=checkpoint, reason=how)
    return kind(checkpoint=checkpoint)
