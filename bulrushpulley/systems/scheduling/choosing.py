"""Chooses a host for each task of a step.

All tasks of a step have the same requirements, so the rank of a candidate is reused
for the next task unless the candidate has changed.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass

from bulrushpulley.entities.jobs.spec import StepSpec
from bulrushpulley.entities.jobs.task import Task
from bulrushpulley.systems.scheduling import advising
from bulrushpulley.systems.scheduling.ranking import (
    Candidate,
    HarmFraction,
    TaskKind,
    cost,
    fits,
    should_wait,
)

# Whether the host is outside the preferred rack, and the cost; the lowest is chosen.
Rank = tuple[bool, float]


@dataclass(frozen=True, kw_only=True, slots=True)
class PlacementRequest:
    """What a task of a step requires of a host.

    `tickets` are the tickets from advice by backend server, None if none are needed.
    `waited_s` is how long the task has waited.
    """

    step: StepSpec
    kind: TaskKind
    service: str
    tickets: Mapping[str, str] | None
    harm_fraction: HarmFraction
    waited_s: float


@dataclass(frozen=True, kw_only=True, slots=True)
class RankedCandidate:
    """A candidate and its rank, which is None if the task must not be placed on it."""

    candidate: Candidate
    rank: Rank | None


def choose_candidate(
    request: PlacementRequest,
    candidate_by_host: Mapping[str, Candidate],
    task: Task,
    sibling_count_by_host: Counter[str],
    ranked_by_host: dict[str, RankedCandidate],
) -> Candidate | None:
    """Return the best candidate for a task, and cache ranks in `ranked_by_host`."""
    limit = request.step.per_host_limit
    fitting: list[tuple[Rank, str]] = []
    for name, candidate in candidate_by_host.items():
        known = ranked_by_host.get(name)
        if known is None or known.candidate is not candidate:
            known = RankedCandidate(
                candidate=candidate, rank=_rank(request, candidate, candidate_by_host)
            )
            ranked_by_host[name] = known
        if known.rank is not None and not (
            limit and sibling_count_by_host[name] >= limit
        ):
            fitting.append((known.rank, name))
    if task.avoided_hosts:
        fitting = [
            pair for pair in fitting if pair[1] not in task.avoided_hosts
        ] or fitting
    if request.step.one_rack:
        fitting = _prefer_same_rack(fitting, candidate_by_host, sibling_count_by_host)
    return candidate_by_host[min(fitting)[1]] if fitting else None


def _rank(
    request: PlacementRequest,
    candidate: Candidate,
    candidate_by_host: Mapping[str, Candidate],
) -> Rank | None:
    step, host = request.step, candidate.host
    if host.service != request.service:
        return None
    if step.needs_label and step.needs_label not in host.labels:
        return None
    if request.tickets is not None and advising.server_of(host) not in request.tickets:
        return None
    free_fraction = _free_fraction(candidate_by_host) if step.lasting else 1.0
    if not fits(step, candidate, free_fraction):
        return None
    if should_wait(
        request.kind, step, candidate, request.harm_fraction, request.waited_s
    ):
        return None
    outside_rack = bool(step.near_rack) and host.rack != step.near_rack
    return outside_rack, cost(request.kind, step, candidate, request.harm_fraction)


def _free_fraction(candidate_by_host: Mapping[str, Candidate]) -> float:
    """Return the free fraction of the processors of all open hosts."""
    capacity = sum(
        candidate.host.capacity.processors_m for candidate in candidate_by_host.values()
    )
    free = sum(candidate.free.processors_m for candidate in candidate_by_host.values())
    return free / max(1, capacity)


def _prefer_same_rack(
    fitting: list[tuple[Rank, str]],
    candidate_by_host: Mapping[str, Candidate],
    sibling_count_by_host: Counter[str],
) -> list[tuple[Rank, str]]:
    """Return the candidates in the racks of sibling tasks, or all if there are none."""
    racks = {
        candidate_by_host[name].host.rack
        for name in sibling_count_by_host
        if name in candidate_by_host
    }
    same_rack = [
        pair for pair in fitting if candidate_by_host[pair[1]].host.rack in racks
    ]
    return same_rack or fitting
