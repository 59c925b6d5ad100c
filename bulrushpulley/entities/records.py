"""The records that operators submit: services, jobs, failure domains, policies, cells.

These are the current forms, after conversion from any older schema version. A
`RecordRow` is what the table service keeps under ``record/KIND/NAME``; its
version there is the revision at which it came into force.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass, field

from bulrushpulley.entities.resources import Resources


class DomainState(enum.Enum):
    """Whether tasks may start in a failure domain."""

    IN_SERVICE = "in_service"
    DRAINED = "drained"


@dataclass(frozen=True, kw_only=True, slots=True)
class ServiceRecord:
    """A latency-critical service and the deadline and latency target of requests."""

    name: str
    department: str
    replicas: int
    size: Resources
    failure_domains: tuple[str, ...] = ()
    deadline_ms: int = 2_000
    latency_target_ms: int = 200


@dataclass(frozen=True, kw_only=True, slots=True)
class JobRecord:
    """A batch job of `tasks` equal tasks; `run_s` is the declared run time."""

    name: str
    department: str
    tasks: int
    size: Resources
    run_s: float
    priority: int = 0
    urgent: bool = False
    max_attempts: int = 3
    failure_domains: tuple[str, ...] = ()
    cancelled: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class FailureDomainRecord:
    """A failure domain of a region and whether it is in service."""

    name: str
    region: str
    state: DomainState = DomainState.IN_SERVICE


@dataclass(frozen=True, kw_only=True, slots=True)
class PolicyRecord:
    """The weights of a department's latency and of its evictions, and its quota.

    A quota of zero for a resource means no limit.
    """

    name: str
    department: str
    latency_weight: float = 1.0
    eviction_weight: float = 1.0
    quota: Resources = field(default_factory=Resources)


@dataclass(frozen=True, kw_only=True, slots=True)
class WorkerRecord:
    """One worker of a cell and the URL at which the platform serves it."""

    worker_id: str
    url: str
    rack: str
    capacity: Resources


@dataclass(frozen=True, kw_only=True, slots=True)
class CellRecord:
    """The unit of placement: some workers of one failure domain."""

    name: str
    failure_domain: str
    workers: tuple[WorkerRecord, ...]


Record = ServiceRecord | JobRecord | FailureDomainRecord | PolicyRecord | CellRecord
