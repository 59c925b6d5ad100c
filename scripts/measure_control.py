"""Prints what a tick and a summary cost the controller, by size.

Usage: PYTHONPATH=. python scripts/measure_control.py

Every figure is processor time of this process, over roles in virtual time.
"""

from __future__ import annotations

import gc
import resource
import time
from collections.abc import Callable

from bulrushpulley.entities.backlog import backlog_key
from bulrushpulley.entities.commit import Committed, VersionedRow
from bulrushpulley.entities.controller_tables import ControllerTables
from bulrushpulley.entities.link import Announce, CellSummary, DepartmentUse, LinkUp
from bulrushpulley.entities.records import (
    CellRecord,
    FailureDomainRecord,
    JobRecord,
    WorkerRecord,
)
from bulrushpulley.entities.resources import NO_RESOURCES, Resources
from bulrushpulley.entities.rows import BacklogRow, RecordRow
from bulrushpulley.entities.step import Event
from bulrushpulley.roles import controller
from bulrushpulley.roles.actor import Role
from bulrushpulley.systems.control.backlog import handle_backlog_rows
from bulrushpulley.systems.control.plans import job_spec
from bulrushpulley.systems.control.records import update_records

CAPACITY = Resources(processors_m=32_000, memory_mb=125_000)
SIZE = Resources(processors_m=1_000, memory_mb=1_000)
DEPARTMENTS = 130
DOMAINS = 7
TICKS = 100


def record(kind: str, held: CellRecord | FailureDomainRecord) -> VersionedRow:
    """Return a record row as the table service would hold it."""
    row = RecordRow(kind=kind, schema_version=1, record=held, author="x", revision=1)
    return VersionedRow(key=f"record/{kind}/{held.name}", version=1, row=row)


def cell_record(number: int) -> CellRecord:
    """Return a cell of three workers."""
    workers = tuple(
        WorkerRecord(worker_id=f"{number}-{w}", url="", rack="", capacity=CAPACITY)
        for w in range(3)
    )
    domain = f"d{number % DOMAINS}"
    return CellRecord(name=f"c{number}", failure_domain=domain, workers=workers)


def summary(number: int, free: Resources) -> CellSummary:
    """Return a summary of a cell in which three departments run tasks."""
    uses = tuple(
        DepartmentUse(department=f"dep{(number + n) % DEPARTMENTS}", committed=SIZE)
        for n in range(3)
    )
    return CellSummary(
        peer=f"agent-{number % 100}",
        cell=f"c{number}",
        owner=f"agent-{number % 100}",
        epoch=1,
        failure_domain=f"d{number % DOMAINS}",
        region="ege",
        free=free,
        largest=free,
        waiting=0,
        running=3,
        uses=uses,
    )


def link(number: int) -> tuple[Event, ...]:
    """Return what an agent says when it links."""
    peer = f"agent-{number}"
    announced = Announce(
        peer=peer,
        agent=peer,
        incarnation=peer,
        service="oven",
        region="ege",
        failure_domain="d0",
        slots=8,
        running=0,
        queued=0,
        healthy=True,
        leaving=False,
        applied_revision=1,
    )
    return (LinkUp(peer=peer, region="ege"), announced)


def built(cells: int, waiting: int) -> tuple[Role[ControllerTables], ControllerTables]:
    """Return a controller with full cells, 100 links and waiting jobs."""
    role = controller.build(
        entry="a", incarnation="a-1", host="127.0.0.1", port=1, region="ege"
    )
    domains = [FailureDomainRecord(name=f"d{n}", region="ege") for n in range(DOMAINS)]
    rows = [record("failure_domain", one) for one in domains]
    rows += [record("cell", cell_record(number)) for number in range(cells)]
    tables = update_records(role.tables, rows)
    events = [event for number in range(100) for event in link(number)]
    events += [summary(number, NO_RESOURCES) for number in range(cells)]
    tables = role.tick(tables, events, 0.0).tables
    backlog = [waiting_row(number) for number in range(waiting)]
    return role, handle_backlog_rows(tables, backlog, 0.0)


def waiting_row(number: int, tasks: int = 1) -> VersionedRow:
    """Return a backlog row of one job."""
    name = f"j{number}"
    department = f"dep{number % DEPARTMENTS}"
    job = JobRecord(name=name, department=department, tasks=tasks, size=SIZE, run_s=1.0)
    row = BacklogRow(spec=job_spec(job), count=tasks)
    return VersionedRow(key=backlog_key(name, 0), version=1, row=row)


def timed(work: Callable[[], None]) -> float:
    """Return the processor time of `work` in milliseconds."""
    gc.collect()
    began = time.process_time()
    work()
    return (time.process_time() - began) * 1_000


def measure(cells: int, waiting: int) -> None:
    """Print the figures of one size."""
    role, tables = built(cells, waiting)
    held = [tables]

    def ticks() -> None:
        for number in range(TICKS):
            held[0] = role.tick(held[0], (), 1.0 + number / 20).tables

    def summaries() -> None:
        events = [summary(number, SIZE.plus(SIZE)) for number in range(cells)]
        for event in events:
            held[0] = role.apply(event, held[0], 11.0).tables

    tick_ms = timed(ticks) / TICKS
    summary_us = timed(summaries) / cells * 1_000
    memory_mb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1_024
    print(
        f"cells {cells:5d}  waiting {waiting:6d}  tick {tick_ms:6.2f} ms"
        f"  summary {summary_us:5.0f} us  peak memory {memory_mb:4.0f} MB"
    )


def assigning(tasks_a_job: int, jobs: int) -> None:
    """Print what assigning costs for each task, its commit answered at once."""
    role, tables = built(200, 0)
    free = Resources(processors_m=10_000_000, memory_mb=10_000_000)
    events: list[Event] = [summary(number, free) for number in range(200)]
    tables = role.tick(tables, events, 1.0).tables
    rows = [waiting_row(number, tasks_a_job) for number in range(jobs)]
    held = [handle_backlog_rows(tables, rows, 1.0)]

    def assign() -> None:
        now, outcomes = 1.0, ()
        while held[0].waiting:
            now += 0.001
            step = role.tick(held[0], outcomes, now)
            held[0] = step.tables
            outcomes = tuple(
                Committed(submission_id=submission_id, revision=2)
                for submission_id in held[0].pending
            )

    spent_ms = timed(assign)
    tasks = tasks_a_job * jobs
    print(
        f"assigning {jobs:5d} jobs of {tasks_a_job:4d} tasks:"
        f" {spent_ms / tasks * 1_000:5.0f} us a task"
    )


def main() -> None:
    """Print the figures at growing sizes."""
    for cells, waiting in ((20, 0), (200, 0), (2_000, 0)):
        measure(cells, waiting)
    for waiting in (1_000, 10_000, 100_000):
        measure(200, waiting)
    for tasks_a_job, jobs in ((1, 2_000), (16, 200), (256, 20)):
        assigning(tasks_a_job, jobs)


if __name__ == "__main__":
    main()
