"""Ranks the hosts that could take a task, by the kind of the task."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass, replace
from functools import singledispatch

from bulrushpulley.entities.jobs.host import Host
from bulrushpulley.entities.jobs.spec import StepSpec
from bulrushpulley.entities.resources import Resources


@dataclass(frozen=True, kw_only=True, slots=True)
class Candidate:
    """A host that takes tasks, with what has been placed on it in this pass."""

    host: Host
    free: Resources
    filling_m: int
    target_by_image: Mapping[str, float]
    units_by_image: Mapping[str, float]

    @property
    def load(self) -> float:
        """The processors that are committed or wanted, as a part of the capacity."""
        capacity = max(1, self.host.capacity.processors_m)
        return (capacity - self.free.processors_m + self.filling_m) / capacity

    @property
    def committed_fraction(self) -> float:
        """The processors that are committed, as a part of the capacity."""
        capacity = max(1, self.host.capacity.processors_m)
        return 1.0 - self.free.processors_m / capacity

    def with_task(self, step: StepSpec) -> Candidate:
        """Return the room after one more task of a step."""
        filling = step.size.processors_m if step.fills else 0
        targets, units = self.target_by_image, self.units_by_image
        if step.serves:
            targets = {**targets, step.image: step.latency_target_ms}
        elif step.image:
            more = units.get(step.image, 0.0) + self.units_of(step)
            units = {**units, step.image: more}
        return replace(
            self,
            free=self.free.minus(step.committed),
            filling_m=self.filling_m + filling,
            target_by_image=targets,
            units_by_image=units,
        )

    def units_of(self, step: StepSpec) -> float:
        """Return how much one task of a step is, in tenths of the processors."""
        return 10 * step.size.processors_m / max(1, self.host.capacity.processors_m)


@dataclass(frozen=True, kw_only=True, slots=True)
class TaskKind:
    """The base of the kinds of tasks that are placed differently."""


@dataclass(frozen=True, kw_only=True, slots=True)
class PlainTask(TaskKind):
    """Takes its own processors and is disturbed by nobody."""


@dataclass(frozen=True, kw_only=True, slots=True)
class ServingTask(TaskKind):
    """Has users of its own, whose latency suffers from what fills beside it."""


@dataclass(frozen=True, kw_only=True, slots=True)
class FillingTask(TaskKind):
    """Takes what is left over, and may slow those that serve beside it."""


def kind_of(step: StepSpec) -> TaskKind:
    """Return the kind of the tasks of a step."""
    if step.serves:
        return ServingTask()
    if step.image or step.fills:
        return FillingTask()
    return PlainTask()


# What an expected latency as high as the target weighs against the load of a host.
HARM_WEIGHT = 2.0
# How much emptier a host with tasks of the same serving image may be taken for.
SAME_IMAGE_BONUS = 0.15
# How much emptier a host without serving tasks may be taken for by filling ones.
SERVING_HOST_PENALTY = 0.3
# A filling task that would add this part of a target would be paced to a crawl there,
# and waits for another room, but no longer than a caller may see a job stand still.
MAX_HARM_FRACTION = 0.3
MAX_DEFERRAL_S = 2.5
# What lasting work leaves free of all processors; short urgent work takes a twentieth
# of them in the mean on both deployments.
RESERVED_FRACTION = 0.06

HarmFraction = Callable[[str, str, float], float]


@singledispatch
def cost(
    kind: TaskKind, step: StepSpec, candidate: Candidate, harm_fraction: HarmFraction
) -> float:
    """Return how dear a room is for a task; the least is taken.

    `harm_part` tells what one unit of an image adds to the latency of a serving
    image, as a part of a target.
    """
    return candidate.load


@cost.register
def _(
    kind: ServingTask, step: StepSpec, candidate: Candidate, harm_fraction: HarmFraction
) -> float:
    harm = sum(
        harm_fraction(step.image, image, step.latency_target_ms) * units
        for image, units in candidate.units_by_image.items()
    )
    same = SAME_IMAGE_BONUS if step.image in candidate.target_by_image else 0.0
    # Full hosts first: those that are left without serving tasks are free for work
    # that need not be paced.
    return HARM_WEIGHT * harm - same - candidate.committed_fraction


@cost.register
def _(
    kind: FillingTask, step: StepSpec, candidate: Candidate, harm_fraction: HarmFraction
) -> float:
    harm = expected_harm(step, candidate, harm_fraction)
    beside = SERVING_HOST_PENALTY if candidate.target_by_image else 0.0
    return candidate.load + candidate.units_of(step) / 10 + HARM_WEIGHT * harm + beside


def expected_harm(
    step: StepSpec, candidate: Candidate, harm_fraction: HarmFraction
) -> float:
    """Return what a task adds to the worst latency there, as a part of its target."""
    units = candidate.units_of(step)
    return max(
        (
            harm_fraction(serving, step.image, target_ms) * units
            for serving, target_ms in candidate.target_by_image.items()
        ),
        default=0.0,
    )


def fits(step: StepSpec, candidate: Candidate, free_fraction: float) -> bool:
    """Tell whether a task fits, and leaves room for short work if it stays long.

    `spare_part` is what all hosts together have free, as a part of their processors.
    A room with space for the task twice over is never refused.
    """
    need = step.committed
    if not need.fits(candidate.free):
        return False
    if not step.lasting or free_fraction >= RESERVED_FRACTION:
        return True
    return need.plus(need).fits(candidate.free)


@singledispatch
def should_wait(
    kind: TaskKind,
    step: StepSpec,
    candidate: Candidate,
    harm_fraction: HarmFraction,
    waited_s: float,
) -> bool:
    """Tell whether a task rather waits than takes a room; by default it never does."""
    return False


@should_wait.register
def _(
    kind: FillingTask,
    step: StepSpec,
    candidate: Candidate,
    harm_fraction: HarmFraction,
    waited_s: float,
) -> bool:
    if waited_s >= MAX_DEFERRAL_S:
        return False
    return expected_harm(step, candidate, harm_fraction) > MAX_HARM_FRACTION
