"""Measures placement and relief within a cell against simple baselines.

Run with ``PYTHONPATH=. python scripts/measure_policy.py [--seeds 3]``. It drives one
owner of a rack of three workers in virtual time at the sizes of both deployments.
Batch jobs fill the rack; some of them harm the service beside them. After a steady
part the failure domain is drained and returned. For each measure it prints the
baselines (first fit; evict the newest batch task beside a suffering service, or
leave it alone) and the product's policies, as ratios to the first baseline.
"""

from __future__ import annotations

import random
from collections.abc import Iterable
from dataclasses import dataclass, replace
from typing import Any
from unittest import mock

from absl import app, flags
from hdrh.histogram import HdrHistogram

from bulrushpulley.entities.records import DomainState, PolicyRecord
from bulrushpulley.entities.resources import Resources
from bulrushpulley.entities.rows import BacklogRow, TaskClass, TaskRow, TaskState
from bulrushpulley.systems.cell import interference as cell_interference
from bulrushpulley.systems.cell import place as cell_place
from bulrushpulley.systems.cell.placement_policy import FirstFit, PlacementPolicy
from bulrushpulley.systems.cell.relief import (
    EvictNewest,
    NoRelief,
    ReliefPolicy,
    ThrottleFirst,
)
from bulrushpulley.systems.cell.spread_and_pack import SpreadAndPack
from standins import worker_core
from standins.worker_core import RunState
from test.cell_bench import CellBench

FLAGS = flags.FLAGS
SERVICE = "front"
WORKERS = 3
STEADY_S = 600
DRAIN_S = 60
END_S = 900
STEP_S = 1.0
JOB_EVERY_S = 30
JOBS = 20
TASKS_PER_JOB = 8
TASK_RUN_S = (60.0, 180.0)
HARMFUL_PART = 0.3
HARM_MS = (40.0, 90.0)
LARGEST_US = 10_000_000


@dataclass(frozen=True, kw_only=True, slots=True)
class Deployment:
    """The sizes and weights of one organisation."""

    name: str
    capacity: Resources
    service_size: Resources
    task_processors_m: tuple[int, ...]
    latency_weight: float
    eviction_weight: float


@dataclass(frozen=True, kw_only=True, slots=True)
class Variant:
    """The policies of one run."""

    name: str
    placement: PlacementPolicy
    relief: ReliefPolicy


@dataclass(frozen=True, kw_only=True, slots=True)
class Measured:
    """What one run came to; work is in processor seconds."""

    p99_ms: float
    work: float
    evictions: float
    work_across_drain: float
    violations: int


DEPLOYMENTS = (
    Deployment(
        name="Firinzeka",
        capacity=Resources(processors_m=32_000, memory_mb=125_000),
        service_size=Resources(processors_m=4_000, memory_mb=8_000),
        task_processors_m=(2_000, 4_000, 8_000),
        latency_weight=4.0,
        eviction_weight=1.0,
    ),
    Deployment(
        name="Kalamu",
        capacity=Resources(processors_m=16_000, memory_mb=60_000),
        service_size=Resources(processors_m=2_000, memory_mb=4_000),
        task_processors_m=(1_000, 2_000, 4_000),
        latency_weight=1.0,
        eviction_weight=4.0,
    ),
)
VARIANTS = (
    Variant(name="evict newest", placement=FirstFit(), relief=EvictNewest()),
    Variant(name="leave alone", placement=FirstFit(), relief=NoRelief()),
    Variant(name="ours", placement=SpreadAndPack(), relief=ThrottleFirst()),
)


class Rack:
    """One rack, its jobs by a fixed seed, and what is measured of it."""

    def __init__(self, *, deployment: Deployment, seed: int) -> None:
        self.deployment = deployment
        self.chance = random.Random(seed)
        self.latencies = HdrHistogram(1, LARGEST_US, 3)
        self.bench = bench = CellBench(seed=seed, workers=WORKERS)
        bench.capacity = dict.fromkeys(bench.workers, deployment.capacity)
        bench.put_record("cell", bench.cell())
        weights = PolicyRecord(
            name="weights",
            department="bakery",
            latency_weight=deployment.latency_weight,
            eviction_weight=deployment.eviction_weight,
        )
        bench.put_record("policy", weights)
        self.harm_by_job: dict[str, float] = {}
        bench.latency_noise = self.noise
        version = bench.put_service(SERVICE, replicas=WORKERS)
        bench.agent("a")
        bench.run(2.0)
        for index in range(WORKERS):
            bench.task(
                SERVICE,
                index,
                version,
                kind="service",
                task_class=TaskClass.LATENCY_CRITICAL,
                size=deployment.service_size,
                run_s=0.0,
            )
        bench.assign("a")

    def noise(self, now: float) -> float:
        """Return the factor on latencies at a time."""
        return 0.9 + 0.2 * random.Random(int(now)).random()

    def add_job(self, number: int) -> None:
        """Submit the next job."""
        name = f"job{number:02d}"
        if self.chance.random() < HARMFUL_PART:
            self.harm_by_job[name] = self.chance.uniform(*HARM_MS)
        for worker, state in self.bench.workers.items():
            harms = dict(self.harm_by_job)
            self.bench.workers[worker] = replace(state, harm_by_job=harms)
        processors_m = self.chance.choice(self.deployment.task_processors_m)
        size = Resources(processors_m=processors_m, memory_mb=processors_m)
        run_s = self.chance.uniform(*TASK_RUN_S)
        self.bench.job(name, tasks=TASKS_PER_JOB, run_s=run_s, size=size)

    def reassign(self) -> None:
        """Give the cell what it returned to the backlog, as a controller does."""
        for found in self.bench.rows("backlog/"):
            row = found.row
            if isinstance(row, BacklogRow):
                spec = row.spec
                task = TaskRow(
                    spec=spec,
                    state=TaskState.WAITING,
                    generation=row.generation,
                    checkpoint=row.checkpoint,
                    attempts=row.attempts,
                )
                self.bench.put(found.key, None)
                self.bench.put(f"task/c0/{spec.task_id}", task)
        self.bench.assign("a")

    def sample(self) -> None:
        """Record the true latency of every replica."""
        now = self.bench.world.now
        for state in self.bench.workers.values():
            for run in state.runs.rows():
                service = run.start.task_class != "batch"
                if service and run.state is RunState.RUNNING:
                    latency_ms = worker_core.latency_ms(state, run, now)
                    self.latencies.record_value(
                        int(1000 * latency_ms * self.noise(now))
                    )

    def run(self, until: float, *, drained: bool = False) -> None:
        """Let time pass, with jobs, reassignments and samples."""
        while self.bench.world.now < until:
            self.bench.run(STEP_S)
            second = round(self.bench.world.now)
            if second % JOB_EVERY_S == 0 and second // JOB_EVERY_S <= JOBS:
                self.add_job(second // JOB_EVERY_S)
            if second % 5 == 0 and not drained:
                self.reassign()
            self.sample()

    def switch(self, state: DomainState) -> None:
        """Drain the failure domain or return it to service."""
        self.bench.drain()
        if state is DomainState.IN_SERVICE:
            self.bench.put_record("failure_domain", self.bench._domain(state))
            self.bench.drained_at = None
        self.bench.distribute_records()

    def rows_of(self, prefix: str) -> list[Any]:
        """Return the rows of tasks under a prefix."""
        return [self.bench.row(found.key) for found in self.bench.rows(prefix)]

    def work(self) -> float:
        """Return the batch work kept so far in processor seconds."""
        done: float = sum(
            row.spec.size.processors_m * row.spec.run_s / 1000
            for row in self.rows_of("done/")
        )
        running_by_id = {
            run.start.task_id: run.done_s
            for state in self.bench.workers.values()
            for run in state.runs.rows()
            if run.state is RunState.RUNNING
        }
        for row in (*self.rows_of("task/"), *self.rows_of("backlog/")):
            if row.spec.task_class is TaskClass.BATCH:
                saved = float(row.checkpoint or 0.0)
                kept = running_by_id.get(row.spec.task_id, saved)
                done += row.spec.size.processors_m * kept / 1000
        return done


def measure(deployment: Deployment, variant: Variant, seed: int) -> Measured:
    """Run one rack under the policies of a variant."""
    placing = mock.patch.object(cell_place, "PLACEMENT_POLICY", variant.placement)
    relieving = mock.patch.object(cell_interference, "RELIEF_POLICY", variant.relief)
    with placing, relieving:
        rack = Rack(deployment=deployment, seed=seed)
        rack.run(STEADY_S)
        p99_ms = rack.latencies.get_value_at_percentile(99.0) / 1000
        steady = rack.work()
        evictions = sum(1 for d in rack.bench.decisions if d.kind == "task.evict")
        rack.switch(DomainState.DRAINED)
        rack.run(STEADY_S + DRAIN_S, drained=True)
        rack.switch(DomainState.IN_SERVICE)
        rack.run(END_S)
    return Measured(
        p99_ms=p99_ms,
        work=steady,
        evictions=evictions,
        work_across_drain=rack.work() - steady,
        violations=len(rack.bench.violations),
    )


def mean(all_measured: Iterable[Measured]) -> Measured:
    """Return the mean over seeds; violations are added up."""
    runs = list(all_measured)
    return Measured(
        p99_ms=sum(m.p99_ms for m in runs) / len(runs),
        work=sum(m.work for m in runs) / len(runs),
        evictions=sum(m.evictions for m in runs) / len(runs),
        work_across_drain=sum(m.work_across_drain for m in runs) / len(runs),
        violations=sum(m.violations for m in runs),
    )


def report(name: str, one: Measured, base: Measured) -> None:
    """Print the figures of a variant and their ratios to the baseline."""
    evictions = one.evictions / base.evictions if base.evictions else float("nan")
    print(
        f"  {name:13} p99 {one.p99_ms:6.0f} ms ({one.p99_ms / base.p99_ms:.2f})"
        f"  work {one.work:7.0f} ({one.work / base.work:.2f})"
        f"  evictions {one.evictions:5.1f} ({evictions:.2f})"
        f"  across drain {one.work_across_drain:7.0f}"
        f" ({one.work_across_drain / base.work_across_drain:.2f})"
        f"  violations {one.violations}",
        flush=True,
    )


def main(argv: list[str]) -> None:
    """Print the measures of both deployments."""
    del argv
    for deployment in DEPLOYMENTS:
        if FLAGS.only not in ("", deployment.name):
            continue
        print(f"{deployment.name}, {FLAGS.seeds} seeds, ratios to the first line")
        base: Measured | None = None
        for variant in VARIANTS:
            seeds = range(1, FLAGS.seeds + 1)
            one = mean(measure(deployment, variant, seed) for seed in seeds)
            base = base or one
            report(variant.name, one, base)


if __name__ == "__main__":
    flags.DEFINE_integer("seeds", 3, "How many seeds are run, from 1 on.")
    flags.DEFINE_string("only", "", "Measure only the deployment of this name.")
    app.run(main)
