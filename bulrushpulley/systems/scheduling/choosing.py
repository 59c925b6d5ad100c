"""Chooses a host for each task of a step.

All tasks of a step have the same requirements, so they share a ranking of the hosts.
"""

from __future__ import annotations

import heapq
from collections import Counter
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from immutables import Map

from bulrushpulley.entities.jobs.candidate import Candidate
from bulrushpulley.entities.jobs.exclusion import Exclusion
from bulrushpulley.entities.jobs.spec import StepSpec
from bulrushpulley.entities.jobs.task import Task
from bulrushpulley.systems.scheduling import advising, refusals
from bulrushpulley.systems.scheduling.ranking import (
    HarmFraction,
    TaskKind,
    cost,
    fits,
    must_leave_reserve,
    should_wait,
)

# Whether the host is being emptied, whether it is in quarantine, whether it is outside
# the preferred rack, and the cost; the lowest is chosen.
Rank = tuple[bool, bool, bool, float]
# Each host is ranked for each step, and looking up an enum's member takes longer than
# most of the conditions.
OTHER_SERVICE, NO_LABEL = Exclusion.OTHER_SERVICE, Exclusion.NO_LABEL
NO_TICKET, NO_ROOM, HARM = Exclusion.NO_TICKET, Exclusion.NO_ROOM, Exclusion.HARM
# Hosts excluded for these may not run a step, however long it waits.
UNSUITABLE = frozenset({OTHER_SERVICE, NO_LABEL, NO_TICKET})


@dataclass(frozen=True, kw_only=True, slots=True)
class PlacementRequest:
    """What a task of a step requires of a host.

    `tickets` are the tickets from advice by backend server, None if none are needed.
    `idle_s` is for how long its turn has come and none of its runs has been seen. Holds
    by choice apply only if it `may_hold_back`. Hosts in `quarantined` are ranked behind
    all others, and are suitable only if it `may_use_quarantined`. Those in
    `last_resorts` are being emptied for upkeep; they come last, once the task may not
    be held back any more.
    """

    step: StepSpec
    kind: TaskKind
    service: str
    tickets: Mapping[str, str] | None
    harm_fraction: HarmFraction
    idle_s: float
    may_hold_back: bool = True
    quarantined: frozenset[str] = frozenset()
    may_use_quarantined: bool = False
    last_resorts: frozenset[str] = frozenset()


@dataclass(frozen=True, kw_only=True, slots=True)
class Ranking:
    """The candidates that a task may be placed on, the best one first.

    `heap` holds the rank, the host's name and the candidate as it was ranked. A
    placement changes one candidate, which is ranked again once it is the first; this
    suffices because placements only make candidates worse. `excluded` are the reasons
    of the candidates that were never in it.
    """

    request: PlacementRequest
    heap: list[tuple[Rank, str, Candidate]]
    excluded: Sequence[Exclusion]


def rank_candidates(
    request: PlacementRequest, candidate_by_host: Mapping[str, Candidate]
) -> Ranking:
    """Rank the candidates for the tasks of a step that have waited equally long.

    Hosts in quarantine count if the task may not be held back any more, or if no other
    may run the step, whether it has room or not: their failures then do not tell them
    apart.
    """
    if request.last_resorts and request.may_hold_back:
        candidate_by_host = _without(candidate_by_host, request.last_resorts)
    candidates = tuple(candidate_by_host.values())
    leaves_reserve = must_leave_reserve(request.step, candidates)
    if request.may_use_quarantined and not request.may_hold_back:
        return _rank_all(request, candidate_by_host, leaves_reserve)
    open_by_host = _without(candidate_by_host, request.quarantined)
    ranking = _rank_all(request, open_by_host, leaves_reserve)
    if ranking.heap or not UNSUITABLE.issuperset(ranking.excluded):
        return ranking
    return _rank_all(request, candidate_by_host, leaves_reserve)


def _without(
    candidate_by_host: Mapping[str, Candidate], names: frozenset[str]
) -> Mapping[str, Candidate]:
    return {
        name: candidate
        for name, candidate in candidate_by_host.items()
        if name not in names
    }


def _rank_all(
    request: PlacementRequest,
    candidate_by_host: Mapping[str, Candidate],
    leaves_reserve: bool,
) -> Ranking:
    heap: list[tuple[Rank, str, Candidate]] = []
    excluded: list[Exclusion] = []
    for name, candidate in candidate_by_host.items():
        rank = _rank(request, candidate, leaves_reserve)
        if isinstance(rank, Exclusion):
            excluded.append(rank)
        else:
            heap.append((rank, name, candidate))
    heapq.heapify(heap)
    return Ranking(request=request, heap=heap, excluded=excluded)


def choose_candidate(
    ranking: Ranking,
    candidate_by_host: Map[str, Candidate],
    task: Task,
    sibling_count_by_host: Counter[str],
    now: float,
) -> Candidate | None:
    """Return the best candidate for a task.

    Hosts where it failed, or that refused it, are chosen only if no other fits.
    """
    step = ranking.request.step
    if not avoids_hosts(task) and not step.one_rack:
        return _first_candidate(ranking, candidate_by_host, sibling_count_by_host)
    fitting = _fitting_hosts(ranking, candidate_by_host, sibling_count_by_host)
    if avoids_hosts(task):
        refusing, delayed = refusals.refusing_hosts(task, candidate_by_host, now)
        fitting = [pair for pair in fitting if pair[1] not in delayed]
        avoided = refusing.union(task.avoided_hosts)
        fitting = [pair for pair in fitting if pair[1] not in avoided] or fitting
    if step.one_rack:
        fitting = _prefer_same_rack(fitting, candidate_by_host, sibling_count_by_host)
    return candidate_by_host[min(fitting)[1]] if fitting else None


def avoids_hosts(task: Task) -> bool:
    """Return whether some hosts may be worse for a task than for its siblings."""
    return bool(task.avoided_hosts or task.refusals)


def _first_candidate(
    ranking: Ranking,
    candidate_by_host: Map[str, Candidate],
    sibling_count_by_host: Counter[str],
) -> Candidate | None:
    request, heap = ranking.request, ranking.heap
    limit = request.step.per_host_limit
    while heap:
        _, name, ranked = heap[0]
        candidate = candidate_by_host[name]
        if candidate is not ranked:
            rank = _rank(request, candidate, False)
            if isinstance(rank, Exclusion):
                heapq.heappop(heap)
            else:
                heapq.heapreplace(heap, (rank, name, candidate))
        elif _is_at_limit(limit, name, sibling_count_by_host):
            heapq.heappop(heap)
        else:
            return candidate
    return None


def _fitting_hosts(
    ranking: Ranking,
    candidate_by_host: Map[str, Candidate],
    sibling_count_by_host: Counter[str],
) -> list[tuple[Rank, str]]:
    """Return the current ranks of the hosts that fit, with their names."""
    limit = ranking.request.step.per_host_limit
    fitting: list[tuple[Rank, str]] = []
    for ranked_rank, name, ranked in ranking.heap:
        candidate = candidate_by_host[name]
        rank: Rank | Exclusion = ranked_rank
        if candidate is not ranked:
            rank = _rank(ranking.request, candidate, False)
        if isinstance(rank, Exclusion):
            continue
        if not _is_at_limit(limit, name, sibling_count_by_host):
            fitting.append((rank, name))
    return fitting


def _is_at_limit(limit: int, name: str, sibling_count_by_host: Counter[str]) -> bool:
    """Return whether a host has as many tasks of a step as it may; 0 is no limit."""
    return bool(limit) and sibling_count_by_host[name] >= limit


def exclusion_of(
    request: PlacementRequest,
    candidate: Candidate,
    leaves_reserve: bool,
    sibling_count_by_host: Counter[str],
) -> Exclusion | None:
    """Return why an open host takes no task of a step; None if it takes one."""
    rank = _rank(request, candidate, leaves_reserve)
    if isinstance(rank, Exclusion):
        return rank
    limit, name = request.step.per_host_limit, candidate.host.name
    is_full = _is_at_limit(limit, name, sibling_count_by_host)
    return Exclusion.HOST_LIMIT if is_full else None


def _rank(
    request: PlacementRequest, candidate: Candidate, leaves_reserve: bool
) -> Rank | Exclusion:
    """Return the rank of a candidate, or why the task must not be placed on it."""
    step, host = request.step, candidate.host
    if host.service != request.service:
        return OTHER_SERVICE
    if step.needs_label and step.needs_label not in host.labels:
        return NO_LABEL
    if request.tickets is not None and advising.server_of(host) not in request.tickets:
        return NO_TICKET
    if not fits(step, candidate, leaves_reserve=leaves_reserve):
        return NO_ROOM
    if request.may_hold_back and should_wait(
        request.kind, step, candidate, request.harm_fraction, request.idle_s
    ):
        return HARM
    return (
        host.name in request.last_resorts,
        host.name in request.quarantined,
        step.near_rack != "" and host.rack != step.near_rack,
        cost(request.kind, step, candidate, request.harm_fraction),
    )


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
