"""What an owner has measured of tasks that share a worker, and its throttles.

None of it is durable: a new owner learns again and first gives every batch task
its whole speed back.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True, slots=True)
class Harm:
    """How much one task of `job` at full speed raises the latency of `service`.

    With an empty `job` it is the latency of the service alone. Both names are
    record keys for jobs and plain names for services. `variance` says how unsure
    the estimate is, against one at first; `at` is the last update.
    """

    service: str
    job: str
    estimate_ms: float
    variance: float
    at: float


@dataclass(frozen=True, kw_only=True, slots=True)
class JobUsage:
    """What one task of a job uses, as an exponentially weighted mean."""

    job: str
    processors_m: float
    memory_mb: float
    at: float


@dataclass(frozen=True, kw_only=True, slots=True)
class JobStart:
    """When the first task of a job was started beside a service."""

    job: str
    at: float


@dataclass(frozen=True, kw_only=True, slots=True)
class ServiceLatency:
    """The latency of one latency-critical task against its service's target.

    `above` and `below` count the samples in a row beyond the upper and the lower
    bound. `suffering` last changed at `changed_at`.
    """

    task_key: str
    worker_id: str
    service: str
    generation: int
    target_ms: float
    smoothed_ms: float
    changed_at: float
    above: int = 0
    below: int = 0
    degraded: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class Throttle:
    """The share of its speed that a batch task may use, since `changed_at`.

    Before that it was `share_before`. The worker has `confirmed` the share; until
    then it is sent again from `send_at` on.
    """

    task_key: str
    worker_id: str
    generation: int
    share: float
    changed_at: float
    share_before: float = 1.0
    send_at: float = 0.0
    confirmed: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class Relief:
    """What was last done for the services of a worker.

    Nothing more is taken before measurements can show the effect of `acted_at`.
    A share is given back `hold_s` after the last action at the earliest.
    """

    worker_id: str
    acted_at: float
    hold_s: float
    raised_share: bool = False


def harm_key(*, service: str, job: str) -> str:
    """Return the key of the harm of a job to a service."""
    return f"{service}|{job}"


def latencies_by_worker(latency: ServiceLatency) -> tuple[str, ...]:
    """Index latencies by worker."""
    return (latency.worker_id,)


def throttles_by_worker(throttle: Throttle) -> tuple[str, ...]:
    """Index throttles by worker."""
    return (throttle.worker_id,)
