"""Finds out whether the hosts have room for a task twice, as the platform counts it.

A host counts if its backend server is ready, also if the scheduler has closed it by
choice, such as for a quarantine; not if its failure domain is evacuated.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass

from immutables import Map

from bulrushpulley.entities.jobs.host import Host, ServerState
from bulrushpulley.entities.jobs.job import Job
from bulrushpulley.entities.jobs.scheduler_tables import SchedulerTables
from bulrushpulley.entities.jobs.task import HOLDING_STATES, Task
from bulrushpulley.entities.resources import Resources
from bulrushpulley.systems.scheduling import edits, placing

TIMES = 2
# Bounds the time of a search for many tasks while no host has room.
MAX_EXAMINED_HOSTS = 2_000


@dataclass(frozen=True, kw_only=True, slots=True)
class Need:
    """What a task requires of a host; room has to be for `places` of them.

    `siblings_by_host` counts the tasks of its step on each host if these are limited.
    The tasks of a gang run only together, so they need room for all of them twice.
    """

    size: Resources
    service: str
    label: str
    host_limit: int
    siblings_by_host: Map[str, int]
    places: int


@dataclass(frozen=True, kw_only=True, slots=True)
class Room:
    """For how many tasks there is room, and how many hosts were examined for it."""

    places: int
    examined: int


def ready_hosts(tables: SchedulerTables) -> Sequence[Host]:
    """Return the hosts that are ready for the platform."""
    evacuated = tables.operator_settings.evacuated
    return [
        host
        for host in tables.hosts.by_key.values()
        if host.state is ServerState.READY and host.failure_domain not in evacuated
    ]


def have_room_twice(
    tables: SchedulerTables, tasks: Iterable[Task]
) -> Mapping[str, bool]:
    """Return by task id whether the hosts have room for a task twice, or for its gang.

    Tasks are left out once as many hosts have been examined as one search may.
    """
    hosts_by_service = _hosts_by_service(tables)
    room_by_need: dict[Need, Room] = {}
    is_roomy_by_task: dict[str, bool] = {}
    examined = 0
    for task in tasks:
        if examined >= MAX_EXAMINED_HOSTS:
            break
        job = tables.jobs.by_key[task.job_id]
        need = need_of(tables, job, task)
        found = room_by_need.get(need)
        if found is None:
            found = _room(hosts_by_service.get(need.service, ()), need)
            room_by_need[need] = found
            examined += found.examined
        places = found.places + _places_held(tables, task)
        is_roomy_by_task[task.task_id] = places >= need.places
    return is_roomy_by_task


def need_of(tables: SchedulerTables, job: Job, task: Task) -> Need:
    """Return what a task requires."""
    step = job.step(task.step)
    siblings_by_host: Map[str, int] = Map()
    if step.per_host_limit:
        siblings_by_host = Map(
            placing.count_siblings_by_host(
                tables, job.job_id, task.occurrence, task.step
            )
        )
    return Need(
        size=step.committed,
        service=edits.service_of(tables, job),
        label=step.needs_label,
        host_limit=step.per_host_limit,
        siblings_by_host=siblings_by_host,
        places=TIMES * step.count if step.gang else TIMES,
    )


def _hosts_by_service(tables: SchedulerTables) -> Mapping[str, Sequence[Host]]:
    hosts_by_service: defaultdict[str, list[Host]] = defaultdict(list)
    for host in ready_hosts(tables):
        hosts_by_service[host.service].append(host)
    return hosts_by_service


def _room(hosts: Sequence[Host], need: Need) -> Room:
    """Return for how many tasks there is room, up to those needed."""
    places = examined = 0
    for host in hosts:
        examined += 1
        places += _places_on(host, need, need.places - places)
        if places >= need.places:
            break
    return Room(places=places, examined=examined)


def _places_held(tables: SchedulerTables, task: Task) -> int:
    """Return 1 if a task holds the room of a ready host without running there."""
    host = tables.hosts.get(task.host)
    holds = task.state in HOLDING_STATES
    return int(holds and host is not None and host.state is ServerState.READY)


def _places_on(host: Host, need: Need, most: int) -> int:
    """Return how many tasks, up to `most`, fit on a host."""
    size, capacity, committed = need.size, host.capacity, host.committed
    # Most hosts that are full lack processors or memory; this runs for very many.
    if (
        size.processors_m > capacity.processors_m - committed.processors_m
        or size.memory_mb > capacity.memory_mb - committed.memory_mb
        or not size.fits(free := host.free)
        or (need.label and need.label not in host.labels)
    ):
        return 0
    if need.host_limit:
        siblings = need.siblings_by_host.get(host.name, 0)
        most = min(most, need.host_limit - siblings)
    pairs = (
        (size.processors_m, free.processors_m),
        (size.memory_mb, free.memory_mb),
        (size.accelerators, free.accelerators),
    )
    # A task that needs nothing counted fits any number of times.
    fitting = [free_part // part for part, free_part in pairs if part]
    return max(0, min([most, *fitting]))
