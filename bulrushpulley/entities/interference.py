"""Measured interference between tasks that share a worker, and throttles.

None of it is durable: a new owner starts learning from nothing and first resets
every batch task to full speed.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True, slots=True)
class Harm:
    """How much one task of `job` at full speed raises the latency of `service`.

    With an empty `job` it is the latency of the service alone. `job` is a record
    key, `service` a plain name. `variance` is the uncertainty of the estimate,
    initially 1; `at` is the time of the last update.
    """

    service: str
    job: str
    estimate_ms: float
    variance: float
    at: float


@dataclass(frozen=True, kw_only=True, slots=True)
class JobUsage:
    """What one task of a job uses, as an exponentially weighted mean.

    `processors_m` is the usage at full speed. `at` is the time of the last update.
    """

    job: str
    processors_m: float
    memory_mb: float
    at: float


@dataclass(frozen=True, kw_only=True, slots=True)
class JobStart:
    """When the first task of a job was started on a worker that runs a service."""

    job: str
    at: float


@dataclass(frozen=True, kw_only=True, slots=True)
class ServiceLatency:
    """The latency of one latency-critical task, and its service's target.

    `above` and `below` count the consecutive samples above the upper and below the
    lower bound. `degraded` last changed at `changed_at`.
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
    """The share of its full speed that a batch task may use since `changed_at`.

    Before that it was `share_before`. Until the worker has `confirmed` the share,
    it is sent again, at `send_at` at the earliest.
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
    """The last action taken for the services of a worker, at `acted_at`.

    No further action is taken before measurements can show the effect of the last.
    A share is raised `raise_delay_s` after the last action at the earliest;
    `raised_share` is set if the last action raised one.
    """

    worker_id: str
    acted_at: float
    raise_delay_s: float
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
