"""Counts the hosts that take no task of a step, by the reason."""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass

from immutables import Map

from bulrushpulley.entities.jobs.candidate import Candidate
from bulrushpulley.entities.jobs.exclusion import Exclusion, describe_counts
from bulrushpulley.entities.jobs.host import Host
from bulrushpulley.entities.jobs.job import Job
from bulrushpulley.entities.jobs.scheduler_tables import SchedulerTables
from bulrushpulley.entities.jobs.task import Task
from bulrushpulley.systems.scheduling import (
    choosing,
    emptying,
    host_candidates,
    placing,
    refusals,
)
from bulrushpulley.systems.scheduling.ranking import must_leave_reserve


@dataclass(frozen=True, kw_only=True, slots=True)
class OpenHosts:
    """The hosts that are open as candidates, and the others by their exclusion."""

    candidate_by_host: Map[str, Candidate]
    count_by_exclusion: Mapping[Exclusion, int]


@dataclass(frozen=True, kw_only=True, slots=True)
class HostCounts:
    """How many hosts would take a waiting task, and how many would not, by reason."""

    taking_by_host: Mapping[str, Candidate]
    count_by_exclusion: Mapping[Exclusion, int]

    @property
    def taking(self) -> int:
        """The count of hosts that would take the task."""
        return len(self.taking_by_host)

    @property
    def total(self) -> int:
        """The count of all hosts."""
        return self.taking + sum(self.count_by_exclusion.values())

    def count_passing(self, last: Exclusion) -> int:
        """Count the hosts that no reason up to `last` excludes."""
        reasons = list(Exclusion)
        later = reasons[reasons.index(last) + 1 :]
        return self.taking + sum(
            self.count_by_exclusion.get(reason, 0) for reason in later
        )

    def describe(self) -> str:
        """Return the counts as text, in the order in which reasons are examined."""
        return describe_counts(self.count_by_exclusion)


def open_hosts(tables: SchedulerTables, now: float) -> OpenHosts:
    """Return the hosts that are open for some task, and count the others."""
    closed = emptying.closed_hosts(tables)
    count_by_exclusion: Counter[Exclusion] = Counter()
    candidate_by_host: dict[str, Candidate] = {}
    for name, host in tables.hosts.by_key.items():
        reason = placing.exclusion_of(tables, host, closed, now)
        if reason is None:
            candidate_by_host[name] = _candidate_of(tables, host)
        else:
            count_by_exclusion[reason] += 1
    return OpenHosts(
        candidate_by_host=Map(candidate_by_host), count_by_exclusion=count_by_exclusion
    )


def _candidate_of(tables: SchedulerTables, host: Host) -> Candidate:
    known = tables.candidate_by_host.get(host.name)
    is_valid = known is not None and known.host is host
    return (
        known if known is not None and is_valid else host_candidates.candidate_of(host)
    )


def count_hosts(
    tables: SchedulerTables, hosts: OpenHosts, job: Job, task: Task, now: float
) -> HostCounts:
    """Count the hosts by what excludes them for a waiting task."""
    candidates = hosts.candidate_by_host
    step = job.step(task.step)
    request = placing.placement_request(tables, job, step, task, now)
    leaves_reserve = must_leave_reserve(step, tuple(candidates.values()))
    siblings = placing.count_siblings_by_host(
        tables, job.job_id, task.occurrence, task.step
    )
    count_by_exclusion = Counter(hosts.count_by_exclusion)
    taking_by_host: dict[str, Candidate] = {}
    for name, candidate in candidates.items():
        reason = choosing.exclusion_of(request, candidate, leaves_reserve, siblings)
        if reason is None:
            taking_by_host[name] = candidate
        else:
            count_by_exclusion[reason] += 1
    return HostCounts(
        taking_by_host=taking_by_host, count_by_exclusion=count_by_exclusion
    )


def describe_refusals(counts: HostCounts, task: Task, now: float) -> str:
    """Return how many of the hosts that would take a task refused it, as text."""
    refusing, _ = refusals.refusing_hosts(task, counts.taking_by_host, now)
    return f", {len(refusing)} of them refused it recently" if refusing else ""
