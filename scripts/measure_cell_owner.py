"""Measures what a cell owner costs by the tasks of its cell.

Run with ``PYTHONPATH=. python scripts/measure_cell_owner.py``. It drives one owner
of three workers in virtual time and prints, for each number of running tasks, the
processor time of its ticks for each second, the memory of its tables, and the bytes
of its reports without usage and HTTP heads; then the processor time of one task
from start to outcome.
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
from bulrushpulley.entities.worker_calls import AskReport
from bulrushpulley.roles.actor import Role
from standins.worker_core import WorkerState
from test.cell_bench import CellBench, runs_of, seat

OWNER = seat("a")
WARM_S = 15.0
MEASURED_S = 60.0
ROOMY = Resources(processors_m=10_000_000, memory_mb=10_000_000)
SMALL = Resources(processors_m=100, memory_mb=100)
FOREVER_S = 1e6


class Meter:
    """Adds up the processor time of a role's ticks."""

    def __init__(self, *, role: Role[Any]) -> None:
        self._role = role
        self.spent_s = 0.0
        self.ticks = 0

    def tick(self, tables: Any, events: Iterable[Event], now: float) -> Step[Any]:
        """Run one tick and add its time."""
        began = time.process_time()
        step = self._role.tick(tables, events, now)
        self.spent_s += time.process_time() - began
        self.ticks += 1
        return step


@dataclass(frozen=True, kw_only=True, slots=True)
class Cost:
    """What one run of the owner cost for each second."""

    tasks: int
    processor_ms: float
    ticks: float
    report_bytes: float


def owner_of(tasks: int, run_s: float) -> tuple[CellBench, Meter]:
    """Return a bench whose owner is about to start `tasks` tasks."""
    bench = CellBench(workers=3)
    bench.capacity = dict.fromkeys(bench.capacity, ROOMY)
    bench.put_record("cell", bench.cell())
    if tasks:
        bench.job("curves", tasks=tasks, run_s=run_s, size=SMALL)
    bench.agent("a")
    meter = Meter(role=bench.world.roles[OWNER])
    bench.world.roles[OWNER] = meter  # type: ignore[assignment]
    return bench, meter


def report_bytes(bench: CellBench, since: float) -> int:
    """Return the bytes of the bodies of the reports since a time."""
    size_by_worker = {w: _answer_bytes(state) for w, state in bench.workers.items()}
    return sum(
        size_by_worker[command.worker_id]
        + len(msgspec.json.encode({"renew": command.renewals}))
        for at, _, command in bench.commands
        if at >= since and isinstance(command, AskReport)
    )


def _answer_bytes(state: WorkerState) -> int:
    return len(msgspec.json.encode({"tasks": runs_of(state), "usage": ()}))


def steady(tasks: int) -> Cost:
    """Measure an owner whose tasks all run."""
    bench, meter = owner_of(tasks, FOREVER_S)
    bench.run(WARM_S)
    meter.spent_s, meter.ticks = 0.0, 0
    since = bench.world.now
    bench.run(MEASURED_S)
    return Cost(
        tasks=tasks,
        processor_ms=1000 * meter.spent_s / MEASURED_S,
        ticks=meter.ticks / MEASURED_S,
        report_bytes=report_bytes(bench, since) / MEASURED_S,
    )


def tables_bytes(tasks: int) -> int:
    """Return the memory of the tables of an owner whose tasks all run."""
    bench, _ = owner_of(tasks, FOREVER_S)
    bench.run(WARM_S)
    tables = bench.tables("a")
    tracemalloc.start()
    copies = replace(
        tables,
        tasks=_rebuilt(tables.tasks),
        workers=_rebuilt(tables.workers),
        records=_rebuilt(tables.records),
    )
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del copies
    return size


def _rebuilt(table: Any) -> Any:
    """Return a table with the same rows in maps of its own."""
    fresh = type(table).empty(indexes=table.index_of)
    for key in table:
        fresh = fresh.put(key, copy.deepcopy(table.by_key[key]))
    return fresh


def life_ms(tasks: int) -> float:
    """Return the processor time of one task from start to outcome."""
    bench, meter = owner_of(tasks, 5.0)
    bench.run(40.0)
    idle, rest = owner_of(0, 5.0)
    idle.run(40.0)
    return 1000 * (meter.spent_s - rest.spent_s) / tasks


def main() -> None:
    """Print the costs."""
    for tasks in (0, 10, 50, 100, 200):
        cost = steady(tasks)
        print(
            f"{cost.tasks} tasks: {cost.processor_ms:.2f} ms/s in"
            f" {cost.ticks:.1f} ticks/s, reports {cost.report_bytes:.0f} B/s,"
            f" tables {tables_bytes(tasks)} B"
        )
    print(f"one task from start to outcome: {life_ms(200):.2f} ms")


if __name__ == "__main__":
    main()
