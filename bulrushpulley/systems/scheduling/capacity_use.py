"""Logs how much of the capacity of each service is in use.

The platform excuses jobs that wait while half or more of a service's capacity is in
use, so this shows when it does not.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterator, Sequence

from bulrushpulley.entities.changing import replace
from bulrushpulley.entities.jobs.host import Host
from bulrushpulley.entities.jobs.scheduler_tables import (
    SchedulerStep,
    SchedulerTables,
)
from bulrushpulley.entities.step import Command, Step
from bulrushpulley.systems.scheduling import edits, room

REPORT_INTERVAL_S = 5.0
# Bounds the log; the services with most hosts come first.
MAX_SERVICES_PER_REPORT = 8


def run(tables: SchedulerTables, now: float) -> SchedulerStep:
    """Log the services once the interval has passed."""
    since_report_s = now - tables.capacity_use_reported_at
    if not edits.is_loaded(tables) or since_report_s < REPORT_INTERVAL_S:
        return Step(tables=tables)
    return Step(
        tables=replace(tables, capacity_use_reported_at=now),
        commands=tuple(_lines(tables)),
    )


def _lines(tables: SchedulerTables) -> Iterator[Command]:
    hosts_by_service: defaultdict[str, list[Host]] = defaultdict(list)
    for host in room.ready_hosts(tables):
        hosts_by_service[host.service].append(host)
    services = sorted(
        hosts_by_service.items(), key=lambda item: (-len(item[1]), item[0])
    )
    for service, hosts in services[:MAX_SERVICES_PER_REPORT]:
        chosen = f"{len(hosts)} hosts ready"
        yield edits.log(tables, "capacity.use", service, chosen, _describe(hosts))


def _describe(hosts: Sequence[Host]) -> str:
    """Return the fractions of the hosts' processors and memory, as text."""
    processors_m = max(1, sum(host.capacity.processors_m for host in hosts))
    memory_mb = max(1, sum(host.capacity.memory_mb for host in hosts))

    def fractions(held_m: int, held_mb: int) -> str:
        return (
            f"processors {held_m / processors_m:.3f}, memory {held_mb / memory_mb:.3f}"
        )

    committed_m = sum(host.committed.processors_m for host in hosts)
    committed_mb = sum(host.committed.memory_mb for host in hosts)
    lasting = fractions(
        sum(host.lasting_m for host in hosts), sum(host.lasting_mb for host in hosts)
    )
    filling = fractions(
        sum(host.filling_m for host in hosts), sum(host.filling_mb for host in hosts)
    )
    return (
        f"committed {fractions(committed_m, committed_mb)};"
        f" lasting tasks hold {lasting}; filling tasks request {filling}"
    )
