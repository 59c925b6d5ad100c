"""Ranks the hosts that could take a task, by the kind of the task."""

from __future__ import annotations

from dataclasses import dataclass, replace
from functools import singledispatch

from bulrushpulley.entities.jobs.host import Host
from bulrushpulley.entities.jobs.spec import StepSpec
from bulrushpulley.entities.resources import Resources


@dataclass(frozen=True, kw_only=True, slots=True)
class Room:
    """A host that takes tasks, with what has been placed on it in this pass."""

    host: Host
    free: Resources
    filling_m: int
    serving: int

    @property
    def load(self) -> float:
        """The processors that are committed or wanted, as a part of the capacity."""
        capacity = max(1, self.host.capacity.processors_m)
        return (capacity - self.free.processors_m + self.filling_m) / capacity

    def with_task(self, step: StepSpec) -> Room:
        """Return the room after one more task of a step."""
        filling = step.size.processors_m if step.fills else 0
        return replace(
            self,
            free=self.free.minus(step.committed),
            filling_m=self.filling_m + filling,
            serving=self.serving + int(step.serves),
        )


@dataclass(frozen=True, kw_only=True, slots=True)
class Kind:
    """The base of the kinds of tasks that are placed differently."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Plain(Kind):
    """Takes its own processors and is disturbed by nobody."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Serving(Kind):
    """Has users of its own, whose latency suffers from what fills beside it."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Filling(Kind):
    """Takes what is left over, and may slow those that serve beside it."""


# How much emptier, as a part of the capacity, a host without serving tasks may be
# taken for: a filling task there is never paced.
QUIET_BONUS = 0.25


def kind_of(step: StepSpec) -> Kind:
    """Return the kind of the tasks of a step."""
    if step.serves:
        return Serving()
    if step.image or step.fills:
        return Filling()
    return Plain()


@singledispatch
def cost(kind: Kind, step: StepSpec, room: Room) -> float:
    """Return how dear a room is for a task; the least is taken."""
    return room.load


@cost.register
def _(kind: Serving, step: StepSpec, room: Room) -> float:
    return room.filling_m / max(1, room.host.capacity.processors_m) + room.load / 4


@cost.register
def _(kind: Filling, step: StepSpec, room: Room) -> float:
    after = step.size.processors_m / max(1, room.host.capacity.processors_m)
    return room.load + after + (QUIET_BONUS if room.serving else 0.0)
