"""Measures the cost of ticks, cell summaries and assignments in the controller.

Run with ``scripts/measure control``. The costs are processor time of this process; the
role runs in virtual time.
"""

from __future__ import annotations

import gc
import resource
import time
from collections.abc import Callable

from bulrushpulley.entities.backlog import backlog_key
from bulrushpulley.entities.commit import Committed, VersionedRow
from bulrushpulley.entities.controller_tables import ControllerTables
from bulrushpulley.entities.link import (
    Announce,
    CellSummary,
    DepartmentUse,
    LinkUp,
)
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
TASK_SIZE = Resources(processors_m=1_000, memory_mb=1_000)
DEPARTMENT_COUNT = 130
DOMAIN_COUNT = 7
TICK_COUNT = 100


def record_row(kind: str, value: CellRecord | FailureDomainRecord) -> VersionedRow:
    """Return the row of a record in the table service."""
    row = RecordRow(kind=kind, schema_version=1, record=value, author="x", revision=1)
    return VersionedRow(key=f"record/{kind}/{value.name}", version=1, row=row)


def cell_record(number: int) -> CellRecord:
    """Return the record of a cell of three workers."""
    workers = tuple(
        WorkerRecord(worker_id=f"{number}-{w}", url="", rack="", capacity=CAPACITY)
        for w in range(3)
    )
    domain = f"d{number % DOMAIN_COUNT}"
    return CellRecord(name=f"c{number}", failure_domain=domain, workers=workers)


def summary(number: int, free: Resources) -> CellSummary:
    """Return a summary of a cell in which three departments run tasks."""
    uses = tuple(
        DepartmentUse(
            department=f"dep{(number + n) % DEPARTMENT_COUNT}", committed=TASK_SIZE
        )
        for n in range(3)
    )
    return CellSummary(
        peer=f"agent-{number % 100}",
        cell=f"c{number}",
        owner=f"agent-{number % 100}",
        epoch=1,
        failure_domain=f"d{number % DOMAIN_COUNT}",
        region="ege",
        free=free,
        largest=free,
        waiting=0,
        running=3,
        uses=uses,
    )


def link_events(number: int) -> tuple[Event, ...]:
    """Return the events by which an agent links and announces itself."""
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


def build_controller(
    cells: int, waiting: int
) -> tuple[Role[ControllerTables], ControllerTables]:
    """Return a controller with full cells, 100 links and waiting jobs."""
    role = controller.build(
        entry="a", incarnation="a-1", host="127.0.0.1", port=1, region="ege"
    )
    domains = [
        FailureDomainRecord(name=f"d{n}", region="ege") for n in range(DOMAIN_COUNT)
    ]
    rows = [record_row("failure_domain", domain) for domain in domains]
    rows += [record_row("cell", cell_record(number)) for number in range(cells)]
    tables = update_records(role.tables, rows)
    events = [event for number in range(100) for event in link_events(number)]
    events += [summary(number, NO_RESOURCES) for number in range(cells)]
    tables = role.tick(tables, events, 0.0).tables
    backlog = [backlog_row(number) for number in range(waiting)]
    return role, handle_backlog_rows(tables, backlog, 0.0)


def backlog_row(number: int, tasks: int = 1) -> VersionedRow:
    """Return the backlog row of a waiting job."""
    name = f"j{number}"
    department = f"dep{number % DEPARTMENT_COUNT}"
    job = JobRecord(
        name=name, department=department, tasks=tasks, size=TASK_SIZE, run_s=1.0
    )
    row = BacklogRow(spec=job_spec(job), count=tasks)
    return VersionedRow(key=backlog_key(name, 0), version=1, row=row)


def processor_ms(work: Callable[[], None]) -> float:
    """Run `work` and return its processor time in milliseconds."""
    gc.collect()
    started_at = time.process_time()
    work()
    return (time.process_time() - started_at) * 1_000


def measure(cells: int, waiting: int) -> None:
    """Print the costs of ticks and summaries, and the memory, for one size."""
    role, tables = build_controller(cells, waiting)
    latest = [tables]

    def ticks() -> None:
        for number in range(TICK_COUNT):
            latest[0] = role.tick(latest[0], (), 1.0 + number / 20).tables

    def summaries() -> None:
        events = [summary(number, TASK_SIZE.plus(TASK_SIZE)) for number in range(cells)]
        for event in events:
            latest[0] = role.apply(event, latest[0], 11.0).tables

    tick_ms = processor_ms(ticks) / TICK_COUNT
    summary_us = processor_ms(summaries) / cells * 1_000
    memory_mb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1_024
    print(
        f"cells {cells:5d}  waiting {waiting:6d}  tick {tick_ms:6.2f} ms"
        f"  summary {summary_us:5.0f} us  peak memory {memory_mb:4.0f} MB"
    )


def measure_assigning(tasks_per_job: int, jobs: int) -> None:
    """Print the cost of assigning a task when commits are answered immediately."""
    role, tables = build_controller(200, 0)
    free = Resources(processors_m=10_000_000, memory_mb=10_000_000)
    events: list[Event] = [summary(number, free) for number in range(200)]
    tables = role.tick(tables, events, 1.0).tables
    rows = [backlog_row(number, tasks_per_job) for number in range(jobs)]
    latest = [handle_backlog_rows(tables, rows, 1.0)]

    def assign() -> None:
        now = 1.0
        outcomes: tuple[Event, ...] = ()
        while latest[0].waiting:
            now += 0.001
            step = role.tick(latest[0], outcomes, now)
            latest[0] = step.tables
            outcomes = tuple(
                Committed(submission_id=submission_id, revision=2)
                for submission_id in latest[0].pending
            )

    spent_ms = processor_ms(assign)
    tasks = tasks_per_job * jobs
    print(
        f"assigning {jobs:5d} jobs of {tasks_per_job:4d} tasks:"
        f" {spent_ms / tasks * 1_000:5.0f} us a task"
    )


def main() -> None:
    """Print the costs for several sizes."""
    for cells, waiting in ((20, 0), (200, 0), (2_000, 0)):
        measure(cells, waiting)
    for waiting in (1_000, 10_000, 100_000):
        measure(200, waiting)
    for tasks_per_job, jobs in ((1, 2_000), (16, 200), (256, 20)):
        measure_assigning(tasks_per_job, jobs)


if __name__ == "__main__":
    main()
