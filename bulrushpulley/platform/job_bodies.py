"""Decodes the bodies of submitted jobs into job specs."""

from __future__ import annotations

from bulrushpulley.entities.jobs.spec import JobSpec, StepSpec, spec_defect
from bulrushpulley.entities.resources import Resources
from bulrushpulley.platform.fields import (
    Fields,
    decode_object,
    field_error,
    flag,
    integer,
    items,
    number,
    objects,
    text,
)

STEP = "job.decode"


def decode_job(body: bytes) -> JobSpec:
    """Decode a job; raises `BulrushpulleyError` if it is invalid."""
    raw = decode_object(body, STEP)
    steps = tuple(
        _step(item, position)
        for position, item in enumerate(objects(raw, "Steps", STEP))
    )
    spec = JobSpec(
        payload=text(raw, "Spec", STEP),
        steps=steps,
        # How many times the steps run; 0 means once, immediately.
        occurrences=integer(raw, "RepeatCount", STEP),
        first_due_s=number(raw, "StartAtMs", STEP) / 1_000,
        interval_s=number(raw, "IntervalMs", STEP) / 1_000,
    )
    defect = spec_defect(spec)
    if defect:
        raise field_error(STEP, "Steps", defect)
    return spec


def _step(raw: Fields, position: int) -> StepSpec:
    count = integer(raw, "Count", STEP)
    if count < 1:
        raise field_error(STEP, "Count", "must be 1 or more")
    return StepSpec(
        count=count,
        size=decode_resources(raw, STEP),
        estimate_s=number(raw, "EstimateMs", STEP) / 1_000,
        after=_earlier_steps(raw, position),
        gang=flag(raw, "Gang", STEP),
        one_rack=flag(raw, "RackLocal", STEP),
        # A single label that the host must have, despite the plural.
        needs_label=text(raw, "Constraints", STEP),
        # The rack that holds the data.
        near_rack=text(raw, "Affinity", STEP),
        # The maximum number of tasks of the step on one host; 0 means no limit.
        per_host_limit=integer(raw, "AntiAffinity", STEP),
        checkpoints=flag(raw, "Checkpointing", STEP),
        speculative=flag(raw, "Speculative", STEP),
        lasting=flag(raw, "LongRunning", STEP),
        image=text(raw, "Image", STEP),
        latency_target_ms=number(raw, "TargetMs", STEP),
        # Despite its name: the step runs on processors that others leave idle.
        fills=flag(raw, "Utilization", STEP),
        disruption_budget=integer(raw, "MaxUnavailable", STEP),
    )


def _earlier_steps(raw: Fields, position: int) -> tuple[int, ...]:
    step_indexes = items(raw, "After", STEP)
    for step_index in step_indexes:
        if type(step_index) is not int or not 0 <= step_index < position:
            raise field_error(STEP, "After", "must name earlier steps by their number")
    return tuple(step_indexes)


def decode_resources(raw: Fields, step: str) -> Resources:
    """Decode an amount of resources."""
    return Resources(
        processors_m=integer(raw, "Cpu", step),
        memory_mb=integer(raw, "MemMb", step),
        accelerators=integer(raw, "Gpu", step),
    )
