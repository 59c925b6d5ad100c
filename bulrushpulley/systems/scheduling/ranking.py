"""Computes the cost of placing a task on a host, by the kind of the task."""

from __future__ import annotations

from collections.abc import Callable, Collection
from dataclasses import dataclass
from functools import singledispatch

from bulrushpulley.entities.jobs.candidate import Candidate
from bulrushpulley.entities.jobs.spec import StepSpec


@dataclass(frozen=True, kw_only=True, slots=True)
class TaskKind:
    """Base class for the kinds of tasks; each kind has its own placement rules."""


@dataclass(frozen=True, kw_only=True, slots=True)
class PlainTask(TaskKind):
    """Has processors of its own and is not affected by other tasks."""


@dataclass(frozen=True, kw_only=True, slots=True)
class ServingTask(TaskKind):
    """Serves requests, whose latency rises with filling tasks on the same host."""


@dataclass(frozen=True, kw_only=True, slots=True)
class FillingTask(TaskKind):
    """Uses spare processors, and may slow serving tasks on the same host."""


def kind_of(step: StepSpec) -> TaskKind:
    """Return the kind of the tasks of a step."""
    if step.serves:
        return ServingTask()
    if step.image or step.fills:
        return FillingTask()
    return PlainTask()


# The cost, in units of host load, of adding as much latency as the target.
HARM_WEIGHT = 2.0
# Subtracted from the cost of a host that already runs the same serving image.
SAME_IMAGE_BONUS = 0.15
# Added to the cost of a host with serving tasks, for filling tasks.
SERVING_HOST_PENALTY = 0.3
# A filling task that would add more than this fraction of a latency target would be
# slowed to almost nothing. It waits for another host, but no longer than
# MAX_FILLING_DEFERRAL_S: the platform counts a job as lost that does nothing for 3 s,
# and the next placement pass, the transaction and the start take time as well.
MAX_HARM_FRACTION = 0.3
MAX_FILLING_DEFERRAL_S = 1.5
# Fraction of all processors that lasting tasks leave free, unless there is room for
# another one twice. Short urgent tasks use a twentieth on average.
RESERVED_FRACTION = 0.06

MIN_FITTING_HOSTS = 2

HarmFraction = Callable[[str, str, float], float]


@singledispatch
def cost(
    kind: TaskKind, step: StepSpec, candidate: Candidate, harm_fraction: HarmFraction
) -> float:
    """Return the cost of placing a task on a candidate; the lowest cost wins.

    `harm_fraction` returns how much latency one unit of an image adds to a serving
    image, as a fraction of the latency target.
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
    bonus = SAME_IMAGE_BONUS if step.image in candidate.target_by_image else 0.0
    # Prefer full hosts, so that other hosts stay without serving tasks and can run
    # filling tasks unthrottled.
    return HARM_WEIGHT * harm - bonus - candidate.committed_fraction


@cost.register
def _(
    kind: FillingTask, step: StepSpec, candidate: Candidate, harm_fraction: HarmFraction
) -> float:
    harm = expected_harm(step, candidate, harm_fraction)
    penalty = SERVING_HOST_PENALTY if candidate.target_by_image else 0.0
    return candidate.load + candidate.units_of(step) / 10 + HARM_WEIGHT * harm + penalty


def expected_harm(
    step: StepSpec, candidate: Candidate, harm_fraction: HarmFraction
) -> float:
    """Return the largest latency that a task adds, as a fraction of a target."""
    units = candidate.units_of(step)
    return max(
        (
            harm_fraction(serving, step.image, target_ms) * units
            for serving, target_ms in candidate.target_by_image.items()
        ),
        default=0.0,
    )


def fits(step: StepSpec, candidate: Candidate, *, leaves_reserve: bool) -> bool:
    """Return whether a task fits, twice if it has to leave a reserve."""
    need = step.committed
    if leaves_reserve:
        need = need.plus(need)
    return need.fits(candidate.free)


def must_leave_reserve(step: StepSpec, candidates: Collection[Candidate]) -> bool:
    """Return whether a task fits only where it leaves as much room as it takes.

    That holds for a lasting task if lasting tasks hold all processors but the reserve
    for short ones, and no two hosts have room for it: the platform wants a lasting task
    to run if there is room for it twice.
    """
    if not step.lasting:
        return False
    capacity_m = sum(each.host.capacity.processors_m for each in candidates)
    held_m = sum(each.lasting_m for each in candidates)
    if held_m <= (1.0 - RESERVED_FRACTION) * capacity_m:
        return False
    fitting = sum(step.committed.fits(each.free) for each in candidates)
    return fitting < MIN_FITTING_HOSTS


@singledispatch
def should_wait(
    kind: TaskKind,
    step: StepSpec,
    candidate: Candidate,
    harm_fraction: HarmFraction,
    idle_s: float,
) -> bool:
    """Return whether a task should wait for another host; by default it never does."""
    return False


@should_wait.register
def _(
    kind: FillingTask,
    step: StepSpec,
    candidate: Candidate,
    harm_fraction: HarmFraction,
    idle_s: float,
) -> bool:
    if idle_s >= MAX_FILLING_DEFERRAL_S:
        return False
    return expected_harm(step, candidate, harm_fraction) > MAX_HARM_FRACTION
