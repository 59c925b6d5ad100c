"""Placement policies: choose a worker for a task, dispatching on the policy type."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from functools import singledispatch

from bulrushpulley.entities.resources import Resources
from bulrushpulley.entities.task import Task
from bulrushpulley.entities.worker import Worker


@dataclass(frozen=True, kw_only=True, slots=True)
class Candidate:
    """A worker that accepts tasks, its free resources, and the task's neighbours.

    `replicas` and `rack_replicas` count the tasks of the same service on the worker
    and in its rack. `expected_latency_ratio` is the expected latency, relative to its
    target, of the service that the task belongs to or would harm. `effect_pending` is
    set while a first task of the same job runs there and its effect on services is not
    measured yet.
    """

    worker: Worker
    free: Resources
    replicas: int = 0
    rack_replicas: int = 0
    expected_latency_ratio: float = 0.0
    effect_pending: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class Choice:
    """The chosen worker or the empty string, the reason, and workers not chosen.

    A task that was refused because of its neighbours is retried after `retry_delay_s`.
    """

    worker_id: str
    reason: str
    passed_over: tuple[str, ...] = ()
    retry_delay_s: float = 0.0


@dataclass(frozen=True, kw_only=True, slots=True)
class PlacementPolicy:
    """Base class for the placement policies."""


@dataclass(frozen=True, kw_only=True, slots=True)
class FirstFit(PlacementPolicy):
    """Chooses the first worker, by id, that has enough free resources."""


@singledispatch
def choose_worker(
    policy: PlacementPolicy,
    task: Task,
    candidates: Sequence[Candidate],
    avoid: frozenset[str],
    now: float,
) -> Choice:
    """Choose a worker for a task, one in `avoid` only if the task fits no other."""
    raise NotImplementedError(type(policy).__name__)


@choose_worker.register
def _(
    policy: FirstFit,
    task: Task,
    candidates: Sequence[Candidate],
    avoid: frozenset[str],
    now: float,
) -> Choice:
    size = task.row.spec.size
    fitting = [
        candidate.worker.worker_id
        for candidate in candidates
        if size.fits(candidate.free)
    ]
    full = tuple(
        candidate.worker.worker_id
        for candidate in candidates
        if not size.fits(candidate.free)
    )
    preferred = [worker_id for worker_id in fitting if worker_id not in avoid]
    if preferred:
        return Choice(worker_id=preferred[0], reason="first fit", passed_over=full)
    if fitting:
        reason = "first fit, although its job failed there"
        return Choice(worker_id=fitting[0], reason=reason, passed_over=full)
    reason = "no worker has room" if candidates else "no worker accepts tasks"
    return Choice(worker_id="", reason=reason, passed_over=full)
