"""Measures the cost of a cell owner by the number of tasks in its cell.

Run with ``scripts/measure cell_owner``. It drives one owner of three workers in
virtual time. For each number of running tasks it prints the processor time of the
ticks and the bytes of the reports, both per second, and the memory of the tables. The
reports are counted without usage and HTTP headers. Then it prints the processor time
of one task from start to outcome.
"""

from __future__ import annotations

import copy
import time
import tracemalloc
from collections.abc import Iterable
from dataclasses import dataclass, replace
from typing import Any

import msgspec

from bulrushpulley.entities.resources import Resources
from bulrushpulley.entities.step import Event, Step
from bulrushpulley.entities.worker_calls import RequestReport
from bulrushpulley.roles.actor import Role
from standins.worker_core import WorkerState
from test.cell_bench import CellBench, cell_owner_address, runs_of

OWNER = cell_owner_address("a")
WARM_UP_S = 15.0
MEASUREMENT_S = 60.0
LARGE_CAPACITY = Resources(processors_m=10_000_000, memory_mb=10_000_000)
SMALL_TASK_SIZE = Resources(processors_m=100, memory_mb=100)
UNENDING_RUN_S = 1e6


class TickTimer:
    """Adds up the processor time of a role's ticks."""

    def __init__(self, *, role: Role[Any]) -> None:
        self._role = role
        self.processor_s = 0.0
        self.ticks = 0

    def tick(self, tables: Any, events: Iterable[Event], now: float) -> Step[Any]:
        """Run one tick and add its processor time."""
        started_at = time.process_time()
        step = self._role.tick(tables, events, now)
        self.processor_s += time.process_time() - started_at
        self.ticks += 1
        return step


@dataclass(frozen=True, kw_only=True, slots=True)
class Cost:
    """The cost of an owner with `tasks` tasks, per second of virtual time."""

    tasks: int
    processor_ms: float
    ticks: float
    report_bytes: float


def make_bench(tasks: int, run_s: float) -> tuple[CellBench, TickTimer]:
    """Return a bench with a job of `tasks` tasks, and the timer of its owner."""
    bench = CellBench(workers=3)
    bench.capacity = dict.fromkeys(bench.capacity, LARGE_CAPACITY)
    bench.put_record("cell", bench.cell_record())
    if tasks:
        bench.put_job("curves", tasks=tasks, run_s=run_s, size=SMALL_TASK_SIZE)
    bench.start_agent("a")
    timer = TickTimer(role=bench.world.roles[OWNER])
    bench.world.roles[OWNER] = timer  # type: ignore[assignment]
    return bench, timer


def report_bytes(bench: CellBench, since: float) -> int:
    """Return the size of the report bodies, requests and answers, since a time."""
    bytes_by_worker = {w: _answer_bytes(state) for w, state in bench.workers.items()}
    return sum(
        bytes_by_worker[command.worker_id]
        + len(msgspec.json.encode({"renew": command.renewals}))
        for at, _, command in bench.commands
        if at >= since and isinstance(command, RequestReport)
    )


def _answer_bytes(state: WorkerState) -> int:
    return len(msgspec.json.encode({"tasks": runs_of(state), "usage": ()}))


def measure_running_tasks(tasks: int) -> Cost:
    """Measure the cost of an owner while all its tasks run."""
    bench, timer = make_bench(tasks, UNENDING_RUN_S)
    bench.run(WARM_UP_S)
    timer.processor_s, timer.ticks = 0.0, 0
    since = bench.world.now
    bench.run(MEASUREMENT_S)
    return Cost(
        tasks=tasks,
        processor_ms=1000 * timer.processor_s / MEASUREMENT_S,
        ticks=timer.ticks / MEASUREMENT_S,
        report_bytes=report_bytes(bench, since) / MEASUREMENT_S,
    )


def tables_bytes(tasks: int) -> int:
    """Return the memory of an owner's tables while all its tasks run."""
    bench, _ = make_bench(tasks, UNENDING_RUN_S)
    bench.run(WARM_UP_S)
    tables = bench.tables("a")
    # Only memory that is allocated while it is traced is counted, so it is copied.
    tracemalloc.start()
    copies = replace(
        tables,
        tasks=_copy_table(tables.tasks),
        workers=_copy_table(tables.workers),
        records=_copy_table(tables.records),
    )
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del copies
    return size


def _copy_table(table: Any) -> Any:
    """Return a deep copy of a table."""
    copied = type(table).empty(indexes=table.index_functions)
    for key in table:
        copied = copied.put(key, copy.deepcopy(table.by_key[key]))
    return copied


def task_processor_ms(tasks: int) -> float:
    """Return the processor time of one task, without that of an idle owner."""
    bench, timer = make_bench(tasks, 5.0)
    bench.run(40.0)
    idle_bench, idle_timer = make_bench(0, 5.0)
    idle_bench.run(40.0)
    return 1000 * (timer.processor_s - idle_timer.processor_s) / tasks


def main() -> None:
    """Print the costs for several numbers of tasks."""
    for tasks in (0, 10, 50, 100, 200):
        cost = measure_running_tasks(tasks)
        print(
            f"{cost.tasks} tasks: {cost.processor_ms:.2f} ms/s in"
            f" {cost.ticks:.1f} ticks/s, reports {cost.report_bytes:.0f} B/s,"
            f" tables {tables_bytes(tasks)} B"
        )
    print(f"one task from start to outcome: {task_processor_ms(200):.2f} ms")


if __name__ == "__main__":
    main()
