"""The forms in which operators write records, by kind and schema version.

A form fixes the keys, types and limits of one schema version and never changes
once it is released. `to_record` converts each to the current record.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from functools import singledispatch
from typing import Annotated

from bulrushpulley.entities.records import (
    CellRecord,
    DomainState,
    FailureDomainRecord,
    JobRecord,
    PolicyRecord,
    Record,
    ServiceRecord,
    WorkerRecord,
)
from bulrushpulley.entities.resources import Resources
from bulrushpulley.wire.validation import Length, Range, Text

MB_PER_GB = 1_024
MILLI_PER_UNIT = 1_000

Name = Annotated[str, Text(pattern="[a-z0-9]([a-z0-9.-]*[a-z0-9])?", max_characters=63)]
Names = Annotated[tuple[Name, ...], Length(max_items=64)]
Processors = Annotated[float, Range(low=0.001, high=1_024)]
Gigabytes = Annotated[float, Range(low=0.001, high=16_384)]
Seconds = Annotated[float, Range(low=0.001, high=30 * 86_400)]
Tasks = Annotated[int, Range(low=1, high=100_000)]
Priority = Annotated[int, Range(low=0, high=9)]
Attempts = Annotated[int, Range(low=1, high=100)]
Milliseconds = Annotated[int, Range(low=1, high=86_400_000)]
Accelerators = Annotated[int, Range(low=0, high=64)]


@dataclass(frozen=True, kw_only=True, slots=True)
class SizeForm:
    """The resources of one task or replica; processor and memory are never zero."""

    processors_m: Annotated[int, Range(low=1, high=1_024_000)]
    memory_mb: Annotated[int, Range(low=1, high=16_777_216)]
    accelerators: Accelerators = 0


@dataclass(frozen=True, kw_only=True, slots=True)
class AmountForm:
    """An amount of resources where zero means none, or no limit in a quota."""

    processors_m: Annotated[int, Range(low=0, high=10_000_000_000)] = 0
    memory_mb: Annotated[int, Range(low=0, high=100_000_000_000)] = 0
    accelerators: Annotated[int, Range(low=0, high=1_000_000)] = 0


@dataclass(frozen=True, kw_only=True, slots=True)
class ServiceV1:
    """A service with its size in processors and gigabytes."""

    name: Name
    department: Name
    executors: Annotated[int, Range(low=0, high=100_000)]
    processors: Processors
    memory_gb: Gigabytes
    failure_domains: Names = ()
    deadline_s: Annotated[float, Range(low=0.001, high=86_400)] = 2.0


@dataclass(frozen=True, kw_only=True, slots=True)
class ServiceV2:
    """A service with size in milliprocessors and megabytes, and a latency target."""

    name: Name
    department: Name
    replicas: Annotated[int, Range(low=0, high=100_000)]
    size: SizeForm
    failure_domains: Names = ()
    deadline_ms: Milliseconds = 2_000
    latency_target_ms: Milliseconds = 200


@dataclass(frozen=True, kw_only=True, slots=True)
class JobV1:
    """A job with its size in processors and gigabytes."""

    name: Name
    department: Name
    tasks: Tasks
    processors: Processors
    memory_gb: Gigabytes
    run_s: Seconds
    failure_domains: Names = ()
    priority: Priority = 0


@dataclass(frozen=True, kw_only=True, slots=True)
class JobV2:
    """A job with its size in milliprocessors and megabytes, urgency and attempts."""

    name: Name
    department: Name
    tasks: Tasks
    size: SizeForm
    run_s: Seconds
    failure_domains: Names = ()
    priority: Priority = 0
    urgent: bool = False
    max_attempts: Attempts = 3


@dataclass(frozen=True, kw_only=True, slots=True)
class FailureDomainV1:
    """A failure domain of a region."""

    name: Name
    region: Name
    state: DomainState = DomainState.IN_SERVICE


@dataclass(frozen=True, kw_only=True, slots=True)
class PolicyV1:
    """The weights and the quota of a department."""

    name: Name
    department: Name
    latency_weight: Annotated[float, Range(low=0, high=1_000)] = 1.0
    eviction_weight: Annotated[float, Range(low=0, high=1_000)] = 1.0
    quota: AmountForm = field(default_factory=AmountForm)


@dataclass(frozen=True, kw_only=True, slots=True)
class WorkerForm:
    """One worker of a cell."""

    worker_id: Name
    url: Annotated[str, Text(pattern="https?://[^\\s]+", max_characters=300)]
    rack: Name
    capacity: SizeForm


@dataclass(frozen=True, kw_only=True, slots=True)
class CellV1:
    """A cell and its workers."""

    name: Name
    failure_domain: Name
    workers: Annotated[tuple[WorkerForm, ...], Length(max_items=64)]


def _resources_from_form(form: SizeForm | AmountForm) -> Resources:
    return Resources(
        processors_m=form.processors_m,
        memory_mb=form.memory_mb,
        accelerators=form.accelerators,
    )


def _resources_from_units(processors: float, memory_gb: float) -> Resources:
    return Resources(
        processors_m=max(1, round(processors * MILLI_PER_UNIT)),
        memory_mb=max(1, round(memory_gb * MB_PER_GB)),
    )


@singledispatch
def to_record(form: object) -> Record:
    """Convert a form of any schema version to the current record."""
    raise NotImplementedError(f"no conversion for {type(form).__name__}")


@to_record.register
def _(form: ServiceV1) -> Record:
    return ServiceRecord(
        name=form.name,
        department=form.department,
        replicas=form.executors,
        size=_resources_from_units(form.processors, form.memory_gb),
        failure_domains=form.failure_domains,
        deadline_ms=max(1, round(form.deadline_s * MILLI_PER_UNIT)),
    )


@to_record.register
def _(form: ServiceV2) -> Record:
    return ServiceRecord(
        name=form.name,
        department=form.department,
        replicas=form.replicas,
        size=_resources_from_form(form.size),
        failure_domains=form.failure_domains,
        deadline_ms=form.deadline_ms,
        latency_target_ms=form.latency_target_ms,
    )


@to_record.register
def _(form: JobV1) -> Record:
    return JobRecord(
        name=form.name,
        department=form.department,
        tasks=form.tasks,
        size=_resources_from_units(form.processors, form.memory_gb),
        run_s=form.run_s,
        priority=form.priority,
        failure_domains=form.failure_domains,
    )


@to_record.register
def _(form: JobV2) -> Record:
    return JobRecord(
        name=form.name,
        department=form.department,
        tasks=form.tasks,
        size=_resources_from_form(form.size),
        run_s=form.run_s,
        priority=form.priority,
        urgent=form.urgent,
        max_attempts=form.max_attempts,
        failure_domains=form.failure_domains,
    )


@to_record.register
def _(form: FailureDomainV1) -> Record:
    return FailureDomainRecord(name=form.name, region=form.region, state=form.state)


@to_record.register
def _(form: PolicyV1) -> Record:
    return PolicyRecord(
        name=form.name,
        department=form.department,
        latency_weight=form.latency_weight,
        eviction_weight=form.eviction_weight,
        quota=_resources_from_form(form.quota),
    )


@to_record.register
def _(form: CellV1) -> Record:
    workers = tuple(
        WorkerRecord(
            worker_id=worker.worker_id,
            url=worker.url,
            rack=worker.rack,
            capacity=_resources_from_form(worker.capacity),
        )
        for worker in form.workers
    )
    return CellRecord(
        name=form.name, failure_domain=form.failure_domain, workers=workers
    )
